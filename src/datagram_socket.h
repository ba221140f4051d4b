#pragma once

#include <agatespread/event_loop.h>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

namespace agatespread {

/// A non-blocking UDP socket on one event loop. Datagrams that cannot be sent immediately are
/// dropped.
class datagram_socket {
public:
    /// Called on the loop's thread with the payload of each received datagram.
    using datagram_handler = std::function<void(std::string_view bytes)>;

    /// Binds a socket to an address such as "10.1.0.38:7380"; fails if the address is malformed or
    /// cannot be bound.
    static absl::StatusOr<std::unique_ptr<datagram_socket>>
    open(event_loop& loop, std::string_view address, datagram_handler on_datagram);

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    ~datagram_socket();

    /// Sends a datagram; returns false if the address is malformed or the system does not accept
    /// the datagram.
    bool send(std::string_view address, std::string_view bytes);

    struct impl;
    explicit datagram_socket(std::shared_ptr<impl> state);

private:
    std::shared_ptr<impl> impl_;
};

} // namespace agatespread
