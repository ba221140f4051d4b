#pragma once

#include <agatespread/event_loop.h>
#include <agatespread/metrics.h>
#include <agatespread/wire.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// Settings of the transport between nodes.
struct peer_options {
    node_id self;
    std::string failure_domain;
    std::string listen_address;  ///< Port 0 selects a free port.
    std::vector<frame_key> keys; ///< The first key signs; all are accepted.
    std::size_t max_frame_bytes = 4U << 20U;
    std::chrono::milliseconds connect_timeout = std::chrono::seconds(1);
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
    std::size_t max_queued_bytes = 8U << 20U; ///< Per connection; messages above it are dropped.

    /// Incoming connections are refused while this many are open in both directions.
    std::size_t max_connections = 1000;

    /// How long sent bytes may stay unacknowledged before the connection is closed
    /// (TCP_USER_TIMEOUT).
    std::chrono::milliseconds unacknowledged_timeout = std::chrono::seconds(5);

    /// For the reconnect jitter; if empty, a randomly seeded generator is used.
    random_source random;
};

/// The identity and address of another node.
struct peer_endpoint {
    node_id node; ///< Empty if only the address is known.
    std::string failure_domain;
    std::string address;
};

/// Sends and receives messages between nodes over authenticated WebSocket connections.
///
/// Sending never blocks, and delivery is not guaranteed. All functions must be called on the
/// loop's thread.
class peer_transport {
public:
    using receive_hook = std::function<void(const peer_endpoint& from, message content)>;

    /// Returns whether a message to a peer is dropped; used for fault injection.
    using fault_hook = std::function<bool(const peer_endpoint& to)>;

    /// Starts listening; `receive` is called on the loop's thread for each message. Fails with
    /// reason "bad_address" or "cannot_listen".
    static absl::StatusOr<std::unique_ptr<peer_transport>>
    listen(event_loop& loop, peer_options options, metrics& counters, receive_hook receive);

    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    ~peer_transport();

    /// Returns the listening address with the bound port.
    std::string address() const;

    /// Sends an encoded message; without a connection, queues it and connects first.
    void send(const peer_endpoint& to, const std::shared_ptr<const std::string>& encoded);

    /// Replaces the keys, also on open connections; the first key signs from now on.
    void set_keys(const std::vector<frame_key>& keys);

    /// Sets the fault injection hook; null removes it.
    void set_fault_hook(fault_hook should_drop);

    /// Stops listening and closes all connections after their buffered frames were sent.
    void close();

    struct impl;
    explicit peer_transport(std::shared_ptr<impl> state);

private:
    std::shared_ptr<impl> impl_; ///< Shared with the callbacks of open connections.
};

} // namespace agatespread
