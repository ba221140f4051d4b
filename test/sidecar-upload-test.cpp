#include "sidecar_call.h"
#include "sidecar_fixture.h"

#include <thread>
#include <vector>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t body_bytes = 64U << 10U;

/// A node whose callers send uploads to the upstream of another one, which has a slow link.
struct sidecar_upload_test : test::sidecar_fixture {
    sidecar_upload_test()
    {
        adjust_dialect = [](sidecar_dialect& dialect) {
            const auto read = dialect.read_configuration;
            dialect.read_configuration = [read](std::string_view text) -> decltype(read(text)) {
                absl::StatusOr<std::shared_ptr<const routing_table>> plain = read(text);
                if (!plain.ok()) {
                    return plain;
                }
                const std::shared_ptr<routing_table> table =
                    std::make_shared<routing_table>((*plain)->version(), caller_limits());
                route_rule rule = *(*plain)->find("mesh.example", "/x/1");
                rule.uploads = true;
                rule.latency_objective = milliseconds(700);
                const absl::Status added = table->add("mesh.example", std::move(rule));
                return added.ok() ? absl::StatusOr<std::shared_ptr<const routing_table>>(table)
                                  : added;
            };
        };
        adjust_settings = [](sidecar_settings& settings) {
            settings.link_bytes_per_second = 1.25e6;
        };
    }

    void SetUp() override
    {
        start(first, "a", "orders");
        start(second, "b", "rounds");
        configure("1 5000 once rounds");
        ASSERT_TRUE(eventually_ready(first));
        ASSERT_TRUE(eventually_ready(second));
        send_heartbeat(second);
        ASSERT_TRUE(eventually_responds_with(first, 200));
    }

    http_call upload(const std::string& id)
    {
        http_call call;
        call.url =
            "http://" + thread.call([this] { return first.node->caller_address(); }) + "/x/1";
        call.request.method = "POST";
        call.request.headers.set("Host", "mesh.example");
        call.request.headers.set(test::id_header, id);
        call.request.body = std::string(body_bytes, 'u');
        call.timeout = std::chrono::seconds(10);
        return call;
    }

    http_result send_call(http_call call)
    {
        std::promise<http_result> promise;
        thread.loop().post([&] {
            client.send(std::move(call),
                        [&promise](http_result result) { promise.set_value(std::move(result)); });
        });
        return promise.get_future().get();
    }

    /// Offers an upload to the second node as another node would, and keeps its grant.
    http_result offer(std::uint64_t id, milliseconds time_left)
    {
        http_call call;
        call.url = "http://" + thread.call([this] { return second.node->call_address(); }) +
                   std::string(detail::upload_offer_path);
        call.request.method = "POST";
        detail::write_upload_question({id, body_bytes, time_left}, call.request.headers);
        return send_call(std::move(call));
    }
};

} // namespace

// Guards against an upload that is lost or changed on its way through an offer.
TEST_F(sidecar_upload_test, uploads_arrive_whole_one_after_another)
{
    constexpr int uploads = 6;
    std::vector<std::thread> callers;
    callers.reserve(uploads);
    std::atomic<int> served{0};
    for (int caller = 0; caller < uploads; ++caller) {
        callers.emplace_back([this, caller, &served] {
            served += send_call(upload("u" + std::to_string(caller))).response.status == 200;
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(served, uploads);
    EXPECT_EQ(thread.call([this] { return second.last_request.body.size(); }), body_bytes);
    EXPECT_FALSE(thread.call(
        [this] { return second.last_request.headers.contains("X-Agatespread-Upload-Grant"); }));
}

// Guards against bodies that are sent to a full link, where they would arrive too late and delay
// the calls behind them.
TEST_F(sidecar_upload_test, upload_to_a_full_link_is_refused_before_its_body_is_sent)
{
    ASSERT_EQ(offer(1, milliseconds(0)).response.status, 200);
    std::vector<std::thread> waiting;
    for (std::uint64_t id = 2; id <= 14; ++id) {
        waiting.emplace_back([this, id] { offer(id, milliseconds(0)); });
    }
    const auto queued = [this] {
        return data.gauge_of("agatespread_upload_offers_waiting").value();
    };
    ASSERT_TRUE(thread.eventually([&queued] { return queued() == 13; }));
    const int arrived = second.request_count;
    const http_result result = send_call(upload("late"));
    EXPECT_EQ(result.response.status, 503);
    EXPECT_EQ(result.response.body, "link_full\n");
    EXPECT_TRUE(result.response.headers.contains("Retry-After"));
    EXPECT_EQ(second.request_count, arrived);
    // The grants of lost senders end, so that the link is used again.
    for (std::thread& each : waiting) {
        each.join();
    }
    EXPECT_TRUE(thread.eventually([&queued] { return queued() == 0; }));
}

// Guards against a client that leaves while its upload waits for a grant, and whose body is sent
// all the same.
TEST_F(sidecar_upload_test, upload_is_not_sent_after_its_client_has_left)
{
    ASSERT_EQ(offer(1, milliseconds(0)).response.status, 200);
    const int arrived = second.request_count;
    http_client::call_id id = 0;
    http_call call = upload("left");
    thread.call([&] { id = client.send(std::move(call), [](const http_result&) {}); });
    const auto queued = [this] {
        return data.gauge_of("agatespread_upload_offers_waiting").value();
    };
    ASSERT_TRUE(thread.eventually([&queued] { return queued() == 1; }));
    thread.call([&] { client.cancel(id); });
    EXPECT_TRUE(thread.eventually([&queued] { return queued() == 0; }));
    std::this_thread::sleep_for(milliseconds(700)); // The lease of the first grant ends.
    EXPECT_EQ(second.request_count, arrived);
}

// Guards against callers of a leaving host whose uploads wait for a grant that never comes.
TEST_F(sidecar_upload_test, waiting_offers_are_refused_when_the_upstream_leaves)
{
    ASSERT_EQ(offer(1, milliseconds(0)).response.status, 200);
    std::atomic<int> status{0};
    std::thread waiting([this, &status] { status = offer(2, milliseconds(0)).response.status; });
    const auto queued = [this] {
        return data.gauge_of("agatespread_upload_offers_waiting").value();
    };
    EXPECT_TRUE(thread.eventually([&queued] { return queued() == 1; }));
    send_heartbeat(second, "i-1", true, 2);
    waiting.join();
    EXPECT_EQ(status, 503);
}

} // namespace agatespread
