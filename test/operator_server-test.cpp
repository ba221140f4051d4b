#include "loop_thread.h"
#include "operator_server.h"
#include "recorded_exchange.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace agatespread {

namespace {

// Runs an operator server with the planes of a node; the platform is out of reach.
class operator_server_test : public testing::Test {
protected:
    void SetUp() override
    {
        settings.node = "a";
        settings.failure_domain = "cairo-1";
        settings.fleet = "nile-soy";
        settings.peer_keys = {{"k1", "0123456789abcdef"}};
        settings.operator_keys.resize(1);
        settings.operator_keys[0] = {"all", "operator-secret-1", {"*"}, true};
        settings.platform_address = "127.0.0.1:1";
        settings.data_threads = 1;
        requests = data_plane::start(settings, data, {}, 1).value();
        thread.call([this] {
            control_hooks hooks;
            hooks.in_force = [](const std::shared_ptr<const snapshot>&) {};
            hooks.members_changed = [](const std::vector<member_record>&) {};
            hooks.crash_reported = [](const crash_report&) { return false; };
            hooks.drain_requested = [this] { ++drains; };
            control = control_plane::start(thread.loop(), settings, requests->inbound_address(),
                                           data, hooks, [] { return std::uint64_t{7}; })
                          .value();
            server = std::make_unique<operator_server>(operator_context{
                settings, thread.loop(), data, *control, *requests, [] { return std::uint64_t{7}; },
                [] { return std::chrono::system_clock::time_point(); }, [] { return true; },
                [](const upstream_announcement&) {}});
        });
    }

    void TearDown() override
    {
        thread.call([this] {
            server.reset();
            control.reset();
        });
        requests->stop();
    }

    http_response handle(const std::string& method, const std::string& target)
    {
        const std::shared_ptr<recorded_exchange> exchange =
            std::make_shared<recorded_exchange>(method, target, "");
        return thread.call([this, &exchange] {
            server->handle(exchange);
            return exchange->recorded_response;
        });
    }

    node_settings settings;
    metrics data;
    loop_thread thread;
    std::unique_ptr<data_plane> requests;
    std::unique_ptr<control_plane> control;
    std::unique_ptr<operator_server> server;
    int drains = 0; ///< Of this node; used on the loop.
};

} // namespace

// Guards against a method that is chosen so that method and path together name a signed endpoint
// in the registry of the open ones.
TEST_F(operator_server_test, method_that_imitates_a_registry_name_reaches_no_signed_endpoint)
{
    EXPECT_EQ(handle("key", "POST /v1/drain?target=a").status, 404);
    EXPECT_EQ(handle("key POST", "/v1/drain?target=a").status, 404);
    EXPECT_EQ(handle("key", "POST /v1/apply?subtree=nile-soy/rounds&change=c1").status, 404);
    EXPECT_EQ(handle("POST", "/v1/drain?target=a").status, 401);
    EXPECT_EQ(drains, 0);
}

TEST_F(operator_server_test, open_endpoints_need_no_signature)
{
    EXPECT_EQ(handle("GET", "/healthz").status, 200);
    EXPECT_EQ(handle("POST", "/healthz").status, 404);
}

} // namespace agatespread
