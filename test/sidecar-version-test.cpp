#include "deflate.h"
#include "peer_stand_ins.h"
#include "sidecar_fixture.h"

namespace agatespread::test {

namespace {

using std::chrono::milliseconds;

/// A node whose version 1 has no routes, and two peers that read the platform for it.
struct sidecar_version : sidecar_fixture {
    void SetUp() override
    {
        adjust_dialect = [](sidecar_dialect& dialect) {
            dialect.read_configuration =
                [read = dialect.read_configuration](
                    std::string_view text) -> absl::StatusOr<std::shared_ptr<const routing_table>> {
                absl::StatusOr<std::shared_ptr<const routing_table>> table = read(text);
                if (table.ok() && (*table)->version() == 1) {
                    return std::make_shared<const routing_table>(1, caller_limits());
                }
                return table;
            };
        };
        adjust_settings = [this](sidecar_settings& settings) {
            report_address = settings.report_address;
            settings.version_bound = version_bound;
        };
        start_node();
    }

    void start_node()
    {
        start(first, "z", "rounds");
        configure("1 1000 idempotent rounds");
        ASSERT_TRUE(eventually_ready(first));
        send_heartbeat(first);
    }

    void start_peers()
    {
        peers = std::make_unique<peer_stand_ins>(
            thread, report_address, 2,
            [this](std::size_t, const std::shared_ptr<http_exchange>& exchange) {
                asked = true;
                fetches.push_back(exchange);
            });
        peers->report(1);
        std::this_thread::sleep_for(milliseconds(300)); // Until the node has ceased to be a reader.
    }

    void TearDown() override
    {
        thread.call([this] { fetches.clear(); });
        peers.reset();
        sidecar_fixture::TearDown();
    }

    milliseconds version_bound = std::chrono::seconds(2);
    std::string report_address;
    std::atomic<bool> asked{false};
    std::vector<std::shared_ptr<http_exchange>> fetches;
    std::unique_ptr<peer_stand_ins> peers;
};

} // namespace

// Guards against 404 for a route of a version that the node knows of and has not got yet.
TEST_F(sidecar_version, request_without_a_route_waits_for_a_newer_version)
{
    EXPECT_EQ(send(first, "1").response.status, 404);
    start_peers();
    peers->report(2);
    ASSERT_TRUE(thread.eventually([this] { return asked.load(); }));
    subscription answer;
    thread.call([&] {
        answer = thread.loop().after(milliseconds(100), [this](time_point) {
            http_response response;
            response.body = detail::deflate_bytes("2 1000 idempotent rounds");
            fetches.front()->respond(std::move(response));
        });
    });
    EXPECT_EQ(send(first, "2").response.status, 200);
    EXPECT_EQ(first.request_count, 1);
}

// Guards against 404, or an endless wait, while the newer version can't be had.
TEST_F(sidecar_version, request_without_a_route_is_refused_while_the_newer_version_is_missing)
{
    start_peers();
    peers->report(2);
    ASSERT_TRUE(thread.eventually([this] { return asked.load(); }));
    const time_point sent_at = std::chrono::steady_clock::now();
    const http_result result = send(first, "1");
    EXPECT_EQ(result.response.status, 503);
    EXPECT_TRUE(result.response.headers.contains("Retry-After"));
    EXPECT_LT(std::chrono::steady_clock::now() - sent_at, std::chrono::seconds(1));
}

// Guards against 503 for good instead of 404 after a version was lost with the nodes that had it.
TEST_F(sidecar_version, version_that_no_node_has_any_more_counts_as_lost)
{
    thread.call([this] { first.node.reset(); });
    first.upstream.reset();
    version_bound = milliseconds(200);
    start_node();
    start_peers();
    peers->report(2);
    ASSERT_TRUE(thread.eventually([this] { return asked.load(); }));
    EXPECT_EQ(send(first, "1").response.status, 503);
    EXPECT_TRUE(eventually_responds_with(first, 404));
}

// Guards against a node that stays behind although the platform has the version and responds.
TEST_F(sidecar_version, version_is_read_from_the_platform_when_no_peer_answers)
{
    start_peers();
    const time_point written_at = std::chrono::steady_clock::now();
    configure("2 1000 idempotent rounds");
    peers->report(2);
    EXPECT_TRUE(eventually_responds_with(first, 200));
    EXPECT_LT(std::chrono::steady_clock::now() - written_at, std::chrono::seconds(2));
}

} // namespace agatespread::test
