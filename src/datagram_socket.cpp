#include "datagram_socket.h"

#include "endpoint.h"
#include "event_loop_impl.h"

#include <asio/ip/udp.hpp>

#include <array>
#include <string>
#include <unordered_map>
#include <utility>

namespace agatespread {

namespace {

// The largest payload of UDP over IPv4.
constexpr std::size_t max_datagram_bytes = 65507;

} // namespace

struct datagram_socket::impl : std::enable_shared_from_this<datagram_socket::impl> {
    impl(asio::io_context& context, datagram_handler handler)
        : socket(context), on_datagram(std::move(handler))
    {
    }

    // Reads all available datagrams each time the socket becomes readable, so that a burst costs
    // one wake-up.
    void wait_readable()
    {
        socket.async_wait(asio::ip::udp::socket::wait_read,
                          [self = shared_from_this()](const asio::error_code& error) {
                              if (error || !self->socket.is_open()) {
                                  return;
                              }
                              self->read_available();
                              self->wait_readable();
                          });
    }

    void read_available()
    {
        asio::error_code error;
        while (socket.is_open()) {
            asio::ip::udp::endpoint from;
            const std::size_t bytes = socket.receive_from(asio::buffer(buffer), from, 0, error);
            if (error == asio::error::would_block || error == asio::error::try_again) {
                return;
            }
            if (!error) {
                on_datagram(std::string_view(buffer.data(), bytes));
                continue;
            }
            // An ICMP port unreachable for an earlier send is reported here; the socket stays
            // usable.
            if (error != asio::error::connection_refused) {
                return;
            }
        }
    }

    asio::ip::udp::socket socket;
    datagram_handler on_datagram;
    std::array<char, max_datagram_bytes> buffer{};
    std::unordered_map<std::string, asio::ip::udp::endpoint> endpoints;
};

absl::StatusOr<std::unique_ptr<datagram_socket>>
datagram_socket::open(event_loop& loop, std::string_view address, datagram_handler on_datagram)
{
    const absl::StatusOr<asio::ip::tcp::endpoint> parsed = detail::parse_endpoint(address);
    if (!parsed.ok()) {
        return parsed.status();
    }
    std::shared_ptr<impl> state =
        std::make_shared<impl>(loop.native().context, std::move(on_datagram));
    const asio::ip::udp::endpoint local_endpoint(parsed->address(), parsed->port());
    asio::error_code error;
    state->socket.open(local_endpoint.protocol(), error);
    if (!error) {
        state->socket.bind(local_endpoint, error);
    }
    if (!error) {
        state->socket.non_blocking(true, error);
    }
    if (error) {
        return layer_error(absl::StatusCode::kUnavailable, "datagram", "cannot_bind",
                           "cannot bind UDP " + std::string(address) + ": " + error.message());
    }
    state->wait_readable();
    return std::make_unique<datagram_socket>(std::move(state));
}

datagram_socket::datagram_socket(std::shared_ptr<impl> state) : impl_(std::move(state))
{
}

datagram_socket::~datagram_socket()
{
    asio::error_code ignored;
    impl_->socket.close(ignored);
}

bool datagram_socket::send(std::string_view address, std::string_view bytes)
{
    auto cached = impl_->endpoints.find(std::string(address));
    if (cached == impl_->endpoints.end()) {
        const absl::StatusOr<asio::ip::tcp::endpoint> parsed = detail::parse_endpoint(address);
        if (!parsed.ok()) {
            return false;
        }
        cached = impl_->endpoints
                     .emplace(std::string(address),
                              asio::ip::udp::endpoint(parsed->address(), parsed->port()))
                     .first;
    }
    asio::error_code error;
    impl_->socket.send_to(asio::buffer(bytes.data(), bytes.size()), cached->second, 0, error);
    return !error;
}

} // namespace agatespread
