#pragma once

#include <agatespread/event_loop.h>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

namespace agatespread {

/// A UDP socket on one event loop; datagrams that cannot be sent at once are dropped.
class datagram_socket {
public:
    /// Is called on the loop's thread with the bytes of each datagram.
    using receiver = std::function<void(std::string_view bytes)>;

    /// Binds a socket to an address such as "10.1.0.38:7380".
    static absl::StatusOr<std::unique_ptr<datagram_socket>>
    open(event_loop& loop, std::string_view address, receiver call);

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    ~datagram_socket();

    /// Sends a datagram and returns whether the network took it.
    bool send(std::string_view address, std::string_view bytes);

    struct impl;
    explicit datagram_socket(std::shared_ptr<impl> state);

private:
    std::shared_ptr<impl> impl_;
};

} // namespace agatespread
