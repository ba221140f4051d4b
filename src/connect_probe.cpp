#include "connect_probe.h"

#include "endpoint.h"
#include "event_loop_impl.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace agatespread::detail {

namespace {

constexpr std::chrono::milliseconds late_handler_grace{20};

struct probe : std::enable_shared_from_this<probe> {
    explicit probe(asio::io_context& context) : socket(context), timer(context) {}

    void end(bool connected)
    {
        if (done) {
            asio::error_code ignored;
            timer.cancel();
            socket.close(ignored);
            std::exchange(done, nullptr)(connected);
        }
    }

    /// Ends the probe as not connected, unless the connection was established while the loop was
    /// late and its handler is still queued.
    void end_after_grace()
    {
        timer.expires_after(late_handler_grace);
        timer.async_wait([state = shared_from_this()](const asio::error_code& error) {
            if (!error) {
                state->end(false);
            }
        });
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(bool)> done;
};

} // namespace

void probe_connection(event_loop& loop, std::string_view address, std::chrono::milliseconds timeout,
                      std::function<void(bool)> done)
{
    asio::io_context& context = loop.native().context;
    const absl::StatusOr<asio::ip::tcp::endpoint> endpoint = parse_endpoint(address);
    if (!endpoint.ok()) {
        asio::post(context, [call = std::move(done)] { call(false); });
        return;
    }
    const std::shared_ptr<probe> state = std::make_shared<probe>(context);
    state->done = std::move(done);
    state->timer.expires_after(timeout);
    state->timer.async_wait([state](const asio::error_code& error) {
        if (!error) {
            state->end_after_grace();
        }
    });
    state->socket.async_connect(*endpoint,
                                [state](const asio::error_code& error) { state->end(!error); });
}

} // namespace agatespread::detail
