#include "local_mesh.h"
#include "raw_upstream.h"

#include <gmock/gmock.h>

#include <atomic>
#include <future>

namespace agatespread::test {

namespace {

using testing::HasSubstr;

http_request order(const std::string& path, const std::string& key)
{
    http_request request;
    request.method = "POST";
    request.target = path;
    request.headers.set("Host", "orders");
    request.headers.set("Idempotency-Key", key);
    request.body = "{\"boxes\": 3}";
    return request;
}

} // namespace

TEST(node, change_reaches_all_nodes_and_alters_the_answer)
{
    local_mesh mesh;
    for (const char* name : {"a", "b", "c"}) {
        mesh.start_node(name);
    }
    mesh.start_upstream("a", "rounds");
    mesh.start_upstream("b", "rounds-next");
    mesh.apply("nile-soy/next", service_document("rounds-next"));
    config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    EXPECT_TRUE(mesh.wait_for_version("c", version));
    EXPECT_EQ(mesh.call("c", "rounds", "/stops").response.body, "a ran /stops");

    std::string moved = service_document("rounds");
    moved.replace(moved.find("name: all, service: rounds"), 26, "name: all, service: rounds-next");
    version = mesh.apply("nile-soy/rounds", moved);
    for (const char* name : {"a", "b", "c"}) {
        EXPECT_TRUE(mesh.wait_for_version(name, version));
        EXPECT_EQ(mesh.call(name, "rounds", "/stops").response.body, "b ran /stops");
    }
}

TEST(node, status_names_each_failure_domain_with_its_lowest_version)
{
    local_mesh mesh;
    mesh.start_node("a", "cairo-1");
    mesh.start_node("b", "west-1");
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    EXPECT_TRUE(mesh.eventually([&] {
        const absl::StatusOr<operator_answer<mesh_status>> answer = mesh.client("b").status();
        if (!answer.ok() || answer->content.domains.size() != 2) {
            return false;
        }
        return answer->content.domains[0].lowest == version &&
               answer->content.domains[1].lowest == version;
    }));
}

// Guards against a team that changes another team's subtree, and against an unsigned change.
TEST(node, key_changes_only_its_own_subtree)
{
    local_mesh mesh;
    mesh.start_node("a");
    const absl::StatusOr<operator_answer<applied_version>> foreign =
        mesh.client("a", "rounds")
            .apply("nile-soy/orders", "c1", service_document("orders"), false);
    ASSERT_FALSE(foreign.ok());
    EXPECT_EQ(reason_of(foreign.status(), "operator"), "unauthorized");
    EXPECT_THAT(std::string(foreign.status().message()), HasSubstr("nile-soy/rounds"));
    EXPECT_TRUE(mesh.client("a", "rounds")
                    .apply("nile-soy/rounds", "c2", service_document("rounds"), false)
                    .ok());
    const http_result unsigned_call =
        mesh.call_operator("a", {"POST", "/v1/apply?subtree=nile-soy/rounds&change=c3", {}, "{}"});
    EXPECT_EQ(unsigned_call.response.status, 401);
}

// Guards against a node that cannot serve, or serves an older version, after it restarts while
// the platform is down.
TEST(node, restart_during_a_platform_outage_takes_the_version_from_peers)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    mesh.stop_node("b");
    platform_faults down;
    down.down = true;
    mesh.fake_platform.set_faults(down);
    mesh.start_node("b");
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    EXPECT_EQ(mesh.call_operator("b", {"GET", "/readyz", {}, ""}).response.status, 200);
}

// Guards against a corrupt object of the platform that is neither counted nor reported, so that a
// node stays without a version for no visible reason.
TEST(node, corrupt_object_of_the_platform_is_counted_and_not_applied)
{
    local_mesh mesh;
    mesh.start_node("a");
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    const absl::StatusOr<operator_answer<std::vector<version_entry>>> history =
        mesh.client("a").history(1);
    ASSERT_TRUE(history.ok());
    mesh.stop_node("a");
    platform_faults corrupt;
    corrupt.corrupt_objects = {history->content.at(0).manifest_id};
    mesh.fake_platform.set_faults(corrupt);
    mesh.start_node("b");
    EXPECT_TRUE(mesh.eventually([&] { return mesh.metric("b", "agatespread_bad_objects") > 0; }));
    EXPECT_LE(mesh.metric("b", "agatespread_version_in_force"), 0);
    mesh.fake_platform.set_faults({});
    EXPECT_TRUE(mesh.wait_for_version("b", version));
}

TEST(node, platform_outage_leaves_calls_served_and_changes_refused)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    mesh.start_upstream("a", "orders");
    mesh.apply("nile-soy/free", service_document("free"));
    const config_version version = mesh.apply("nile-soy/orders", service_document("orders", true));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    platform_faults down;
    down.down = true;
    mesh.fake_platform.set_faults(down);
    EXPECT_EQ(mesh.call("b", "orders", "/list").response.status, 200);
    const http_result keyed = mesh.call("b", order("/confirm", "key-1"));
    EXPECT_EQ(keyed.response.status, 503);
    EXPECT_EQ(keyed.response.headers.get("X-Agatespread-Not-Run"), "1");
    const absl::StatusOr<operator_answer<applied_version>> refused =
        mesh.client("a").apply("nile-soy/free", "c9", service_document("free2"), false);
    EXPECT_EQ(reason_of(refused.status(), "operator"), "unavailable");
}

// Guards against an order that runs again when its caller repeats the key at another node.
TEST(node, repeated_key_at_another_node_gets_the_recorded_answer)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    local_upstream& upstream = mesh.start_upstream("a", "orders");
    const config_version version = mesh.apply("nile-soy/orders", service_document("orders", true));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    const http_result first = mesh.call("a", order("/confirm", "key-1"));
    EXPECT_EQ(first.response.body, "a ran /confirm");
    EXPECT_TRUE(mesh.eventually([&] {
        const http_result repeated = mesh.call("b", order("/confirm", "key-1"));
        return repeated.response.status == 200 && repeated.response.body == first.response.body;
    }));
    EXPECT_EQ(mesh.call("b", order("/other", "key-1")).response.status, 422);
    EXPECT_EQ(upstream.runs(), 1U);
}

TEST(node, truncated_answer_of_an_upstream_is_not_passed_on)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    std::atomic<int> answered{0};
    const raw_upstream upstream([&answered](asio::ip::tcp::socket& socket, int) {
        raw_upstream::read_request(socket);
        raw_upstream::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
        ++answered;
    });
    mesh.announce("a", "rounds", upstream.address());
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    const http_result result = mesh.call("b", "rounds", "/stops");
    EXPECT_GE(result.response.status, 500);
    EXPECT_THAT(result.response.body, testing::Not(HasSubstr("part")));
    EXPECT_GE(answered, 1);
}

TEST(node, drained_target_gets_no_new_work)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    local_upstream& leaving = mesh.start_upstream("a", "rounds");
    mesh.start_upstream("b", "rounds");
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    ASSERT_TRUE(mesh.client("b").drain("a").ok());
    const std::size_t before = leaving.runs();
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(mesh.call(i % 2 == 0 ? "a" : "b", "rounds", "/stops").response.body,
                  "b ran /stops");
    }
    EXPECT_EQ(leaving.runs(), before);
}

// Guards against a planned stop that cuts off a request which its upstream is running.
TEST(node, planned_stop_finishes_the_requests_in_flight)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    local_upstream& upstream = mesh.start_upstream("b", "rounds");
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    upstream.hold_responses();
    std::future<http_result> from_other =
        std::async(std::launch::async, [&] { return mesh.call("a", "rounds", "/one"); });
    std::future<http_result> from_self =
        std::async(std::launch::async, [&] { return mesh.call("b", "rounds", "/two"); });
    EXPECT_TRUE(mesh.eventually([&] { return upstream.runs() == 2; }));
    std::future<void> stopped = std::async(std::launch::async, [&] { mesh.stop_node("b"); });
    EXPECT_TRUE(
        mesh.eventually([&] { return mesh.metric("a", "agatespread_upstreams_ready") == 0; }));
    upstream.release_responses();
    EXPECT_EQ(from_other.get().response.body, "b ran /one");
    EXPECT_EQ(from_self.get().response.body, "b ran /two");
    stopped.get();
}

} // namespace agatespread::test
