#include "peer_socket.h"

#include "endpoint.h"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

#include <utility>

namespace agatespread::detail {

/// The websocketpp configuration of both clients and servers: single-threaded, no logging, small
/// buffers.
struct socket_config : websocketpp::config::asio {
    using type = socket_config;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type =
        websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;

    struct transport_config : websocketpp::config::asio::transport_config {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        static const bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    static const bool enable_multithreading = false;
    static const bool drop_on_protocol_error = true;
    static const bool silent_close = true;
    static const long timeout_close_handshake = 1000;
    // Small because a node may hold 130 connections within 64 MB of memory.
    static const std::size_t connection_read_buffer_size = 2048;
    static const std::size_t max_http_body_size = 1024;
};

namespace {

using websocketpp::connection_hdl;
using client_endpoint = websocketpp::client<socket_config>;
using server_endpoint = websocketpp::server<socket_config>;
using connection_ptr = server_endpoint::connection_ptr;

// How long the endpoints outlive `peer_sockets`. Longer than all timers of websocketpp, because
// their handlers refer to the endpoints.
constexpr std::chrono::seconds endpoint_retention{20};

class websocket final : public peer_socket, public std::enable_shared_from_this<websocket> {
public:
    explicit websocket(connection_ptr connection) : connection_(std::move(connection)) {}

    void set_events(peer_socket_events events) override { events_ = std::move(events); }

    // The handlers hold weak references, so that events stop when the owner releases this object.
    void set_handlers()
    {
        const std::weak_ptr<websocket> weak = weak_from_this();
        const auto report_closed = [weak](const connection_hdl&) {
            const std::shared_ptr<websocket> self = weak.lock();
            if (self && self->events_.closed) {
                std::exchange(self->events_, {}).closed();
            }
        };
        connection_->set_close_handler(report_closed);
        connection_->set_fail_handler(report_closed);
        connection_->set_message_handler(
            [weak](const connection_hdl&, const server_endpoint::message_ptr& frame) {
                const std::shared_ptr<websocket> self = weak.lock();
                if (self && self->events_.frame) {
                    self->events_.frame(frame->get_payload(),
                                        frame->get_opcode() == websocketpp::frame::opcode::binary);
                }
            });
    }

    // For outgoing connections only: an incoming one is already open when its handlers are set.
    void observe_open(std::chrono::milliseconds unacknowledged_timeout)
    {
        connection_->set_open_handler(
            [weak = weak_from_this(), unacknowledged_timeout](const connection_hdl&) {
                const std::shared_ptr<websocket> self = weak.lock();
                if (self && self->events_.open) {
                    self->set_socket_options(unacknowledged_timeout);
                    self->events_.open();
                }
            });
    }

    void set_socket_options(std::chrono::milliseconds unacknowledged_timeout)
    {
        using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        asio::error_code ignored;
        asio::ip::tcp::socket& socket = connection_->get_raw_socket();
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket.set_option(user_timeout(static_cast<int>(unacknowledged_timeout.count())), ignored);
    }

    bool send(std::string frame) override
    {
        const server_endpoint::message_ptr content =
            connection_->get_message(websocketpp::frame::opcode::binary, 0);
        content->get_raw_payload() = std::move(frame);
        return !connection_->send(content);
    }

    std::size_t buffered() const override { return connection_->get_buffered_amount(); }
    std::size_t request_bytes() const override { return connection_->get_request().raw().size(); }
    std::size_t response_bytes() const override { return connection_->get_response().raw().size(); }

    void close() override
    {
        websocketpp::lib::error_code error;
        connection_->close(websocketpp::close::status::normal, "", error);
        if (error) {
            terminate();
        }
    }

    void terminate() override
    {
        connection_->terminate(
            websocketpp::error::make_error_code(websocketpp::error::operation_canceled));
    }

private:
    connection_ptr connection_;
    peer_socket_events events_;
};

} // namespace

/// The websocketpp endpoints; pending handlers in the event loop refer to them.
struct peer_sockets::impl {
    impl(asio::io_context& io_context, const options& socket_limits)
        : context(io_context), limits(socket_limits)
    {
    }

    asio::io_context& context;
    options limits;
    client_endpoint client;
    server_endpoint server;
    admit_hook admit;
    accept_hook on_accept;
};

peer_sockets::peer_sockets(asio::io_context& context, const options& limits)
    : impl_(std::make_shared<impl>(context, limits))
{
    websocketpp::lib::error_code ignored;
    impl_->client.init_asio(&context, ignored);
    impl_->server.init_asio(&context, ignored);
    impl_->server.set_reuse_addr(true);
    impl_->server.set_max_message_size(limits.max_frame_bytes);
    impl_->client.set_max_message_size(limits.max_frame_bytes);
}

peer_sockets::~peer_sockets()
{
    stop_listening();
    impl_->admit = nullptr;
    impl_->on_accept = nullptr;
    const std::shared_ptr<asio::steady_timer> retention =
        std::make_shared<asio::steady_timer>(impl_->context, endpoint_retention);
    retention->async_wait([retention, kept = impl_](const asio::error_code&) {});
}

absl::StatusOr<std::string> peer_sockets::listen(const asio::ip::tcp::endpoint& listen_endpoint,
                                                 admit_hook admit, accept_hook on_accept)
{
    impl_->admit = std::move(admit);
    impl_->on_accept = std::move(on_accept);
    impl* const self = impl_.get();
    impl_->server.set_validate_handler(
        [self](const connection_hdl&) { return self->admit && self->admit(); });
    impl_->server.set_open_handler([self](const connection_hdl& handle) {
        websocketpp::lib::error_code error;
        const connection_ptr incoming = self->server.get_con_from_hdl(handle, error);
        if (!error && self->on_accept) {
            const std::shared_ptr<websocket> socket = std::make_shared<websocket>(incoming);
            socket->set_handlers();
            socket->set_socket_options(self->limits.unacknowledged_timeout);
            self->on_accept(socket);
        }
    });
    websocketpp::lib::error_code error;
    impl_->server.listen(listen_endpoint, error);
    if (!error) {
        impl_->server.start_accept(error);
    }
    if (error) {
        return absl::UnavailableError(
            fmt::format("cannot listen on {}: {}", to_string(listen_endpoint), error.message()));
    }
    asio::error_code ignored;
    return to_string(impl_->server.get_local_endpoint(ignored));
}

void peer_sockets::stop_listening()
{
    websocketpp::lib::error_code ignored;
    impl_->server.stop_listening(ignored);
}

std::shared_ptr<peer_socket> peer_sockets::connect(const std::string& address,
                                                   peer_socket_events events)
{
    websocketpp::lib::error_code error;
    const connection_ptr outgoing = impl_->client.get_connection("ws://" + address + "/", error);
    if (error || !outgoing) {
        return nullptr;
    }
    std::shared_ptr<websocket> socket = std::make_shared<websocket>(outgoing);
    socket->set_handlers();
    socket->observe_open(impl_->limits.unacknowledged_timeout);
    socket->set_events(std::move(events));
    impl_->client.connect(outgoing);
    return socket;
}

} // namespace agatespread::detail
