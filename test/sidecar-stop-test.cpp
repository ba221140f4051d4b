// What a planned stop still owes to callers and to other nodes.

#include "sidecar_call.h"
#include "sidecar_fixture.h"

#include <agatespread/sidecar.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

struct sidecar_stop : test::sidecar_fixture {
    /// Sends a request to a gate as another node does, without reading the response.
    static void send_as_node(raw_connection& connection, const std::string& id)
    {
        detail::forwarded_request_metadata metadata;
        metadata.caller_service = "orders";
        metadata.service = "rounds";
        metadata.rule = "all";
        metadata.time_left = std::chrono::seconds(5);
        http_headers headers;
        detail::write_forwarded_request(metadata, headers);
        std::string text = "GET /x/1 HTTP/1.1\r\nHost: mesh.example\r\n";
        text += std::string(test::id_header) + ": " + id + "\r\n";
        for (const http_headers::field& field : headers.fields()) {
            text += field.first + ": " + field.second + "\r\n";
        }
        connection.send(text + "\r\n");
    }
};

// The other node would answer 502 although the upstream has answered.
TEST_F(sidecar_stop, response_to_another_node_is_written_before_the_process_ends)
{
    constexpr std::size_t body_bytes = 24U << 20U; // More than the buffers of both sockets hold.
    adjust_settings = [](sidecar_settings& settings) {
        settings.shutdown_delay = milliseconds(50);
    };
    start(first, "a", "rounds");
    configure("1 5000 idempotent rounds");
    ASSERT_TRUE(eventually_ready(first));
    send_heartbeat(first);
    ASSERT_TRUE(eventually_responds_with(first, 200));
    first.serve = [](const std::shared_ptr<http_exchange>& exchange) {
        http_response response = test::make_response(exchange->request());
        response.body = std::string(body_bytes, 'x');
        exchange->respond(std::move(response));
    };
    raw_connection node(thread.call([this] { return first.node->call_address(); }));
    send_as_node(node, "large");
    ASSERT_EQ(node.read_bytes(1).size(), 1U); // The response has begun.
    std::promise<void> ended;
    std::future<void> end = ended.get_future();
    thread.call([&] {
        first.node->shut_down([&] {
            first.node.reset();
            ended.set_value();
        });
    });
    EXPECT_EQ(end.wait_for(milliseconds(500)), std::future_status::timeout);
    EXPECT_GE(node.read_bytes(body_bytes).size(), body_bytes);
    EXPECT_EQ(end.wait_for(event_timeout), std::future_status::ready);
}

} // namespace

} // namespace agatespread
