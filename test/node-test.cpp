#include "local_mesh.h"
#include "raw_upstream.h"

#include <gmock/gmock.h>

#include <atomic>
#include <future>

namespace agatespread::test {

namespace {

using testing::HasSubstr;

http_request keyed_request(const std::string& path, const std::string& key)
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

TEST(node, change_reaches_all_nodes_and_reroutes_requests)
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

    std::string rerouted = service_document("rounds");
    rerouted.replace(rerouted.find("name: all, service: rounds"), 26,
                     "name: all, service: rounds-next");
    version = mesh.apply("nile-soy/rounds", rerouted);
    for (const char* name : {"a", "b", "c"}) {
        EXPECT_TRUE(mesh.wait_for_version(name, version));
        EXPECT_EQ(mesh.call(name, "rounds", "/stops").response.body, "b ran /stops");
    }
}

TEST(node, status_lists_each_failure_domain_with_its_lowest_version)
{
    local_mesh mesh;
    mesh.start_node("a", "cairo-1");
    mesh.start_node("b", "west-1");
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    EXPECT_TRUE(mesh.eventually([&] {
        const absl::StatusOr<operator_response<mesh_status>> response = mesh.client("b").status();
        if (!response.ok() || response->content.domains.size() != 2) {
            return false;
        }
        return response->content.domains[0].lowest == version &&
               response->content.domains[1].lowest == version;
    }));
}

// Guards against a key that changes a subtree outside its scope, and against an unsigned change.
TEST(node, key_may_change_only_its_own_subtree)
{
    local_mesh mesh;
    mesh.start_node("a");
    const absl::StatusOr<operator_response<applied_version>> foreign =
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

// Guards against a node that is not ready, or serves an older version, after a restart during a
// platform outage.
TEST(node, restart_during_a_platform_outage_fetches_the_version_from_peers)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    mesh.stop_node("b");
    platform_faults outage;
    outage.down = true;
    mesh.fake_platform.set_faults(outage);
    mesh.start_node("b");
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    EXPECT_EQ(mesh.call_operator("b", {"GET", "/readyz", {}, ""}).response.status, 200);
}

// Guards against a corrupt object in the platform that is not counted, so that the metrics do not
// show why the node has no version.
TEST(node, corrupt_platform_object_is_counted_and_not_applied)
{
    local_mesh mesh;
    mesh.start_node("a");
    const config_version version = mesh.apply("nile-soy/rounds", service_document("rounds"));
    const absl::StatusOr<operator_response<std::vector<version_entry>>> history =
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

TEST(node, platform_outage_rejects_changes_but_requests_are_still_served)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    mesh.start_upstream("a", "orders");
    mesh.apply("nile-soy/free", service_document("free"));
    const config_version version = mesh.apply("nile-soy/orders", service_document("orders", true));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    platform_faults outage;
    outage.down = true;
    mesh.fake_platform.set_faults(outage);
    EXPECT_EQ(mesh.call("b", "orders", "/list").response.status, 200);
    const http_result keyed = mesh.call("b", keyed_request("/confirm", "key-1"));
    EXPECT_EQ(keyed.response.status, 503);
    EXPECT_EQ(keyed.response.headers.get("X-Agatespread-Not-Run"), "1");
    const absl::StatusOr<operator_response<applied_version>> refused =
        mesh.client("a").apply("nile-soy/free", "c9", service_document("free2"), false);
    EXPECT_EQ(reason_of(refused.status(), "operator"), "unavailable");
}

// Guards against a keyed request that runs twice when its caller retries it at another node.
TEST(node, retry_with_the_same_key_at_another_node_gets_the_recorded_response)
{
    local_mesh mesh;
    mesh.start_node("a");
    mesh.start_node("b");
    local_upstream& upstream = mesh.start_upstream("a", "orders");
    const config_version version = mesh.apply("nile-soy/orders", service_document("orders", true));
    EXPECT_TRUE(mesh.wait_for_version("b", version));
    const http_result first = mesh.call("a", keyed_request("/confirm", "key-1"));
    EXPECT_EQ(first.response.body, "a ran /confirm");
    EXPECT_TRUE(mesh.eventually([&] {
        const http_result repeated = mesh.call("b", keyed_request("/confirm", "key-1"));
        return repeated.response.status == 200 && repeated.response.body == first.response.body;
    }));
    EXPECT_EQ(mesh.call("b", keyed_request("/other", "key-1")).response.status, 422);
    EXPECT_EQ(upstream.runs(), 1U);
}

TEST(node, truncated_upstream_response_is_not_forwarded)
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

TEST(node, drained_target_receives_no_new_requests)
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

// Guards against a graceful shutdown that aborts a request while the upstream processes it.
TEST(node, graceful_shutdown_completes_the_requests_in_flight)
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
