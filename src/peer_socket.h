#pragma once

#include <absl/status/statusor.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agatespread::detail {

/// The event handlers of one WebSocket connection.
struct peer_socket_events {
    std::function<void()> open;
    std::function<void(std::string_view frame, bool binary)> frame;
    std::function<void()> closed; ///< Called once, when the connection failed or was closed.
};

/// One WebSocket connection.
class peer_socket {
public:
    peer_socket() = default;
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;
    virtual ~peer_socket() = default;

    /// Replaces the event handlers.
    virtual void set_events(peer_socket_events events) = 0;

    /// Sends a binary frame; returns false if the connection is closed or closing.
    virtual bool send(std::string frame) = 0;

    /// Returns the number of bytes buffered for sending.
    virtual std::size_t buffered() const = 0;

    /// Return the sizes in bytes of the HTTP upgrade request and of its response.
    virtual std::size_t request_bytes() const = 0;
    virtual std::size_t response_bytes() const = 0;

    /// Closes with a close handshake, after the buffered frames were sent.
    virtual void close() = 0;

    /// Closes immediately, without a close handshake.
    virtual void terminate() = 0;
};

/// Opens and accepts WebSocket connections on one event loop.
class peer_sockets {
public:
    struct options {
        std::size_t max_frame_bytes = 0;
        std::chrono::milliseconds unacknowledged_timeout{0};
    };
    using admit_hook = std::function<bool()>;
    using accept_hook = std::function<void(const std::shared_ptr<peer_socket>&)>;

    peer_sockets(asio::io_context& context, const options& limits);
    peer_sockets(const peer_sockets&) = delete;
    peer_sockets& operator=(const peer_sockets&) = delete;
    ~peer_sockets();

    /// Starts listening and returns the bound address. `admit` returns whether an incoming
    /// connection is accepted; `on_accept` receives each one after it is open.
    absl::StatusOr<std::string> listen(const asio::ip::tcp::endpoint& listen_endpoint,
                                       admit_hook admit, accept_hook on_accept);
    void stop_listening();

    /// Starts connecting to an address; returns null if the address is malformed.
    std::shared_ptr<peer_socket> connect(const std::string& address, peer_socket_events events);

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace agatespread::detail
