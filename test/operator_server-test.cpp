#include "loop_thread.h"
#include "operator_server.h"
#include "recorded_exchange.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace agatespread {

namespace {

// Runs an operator server with a control plane and a data plane; the platform is unreachable.
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
        data_path = data_plane::start(settings, metric_registry, {}, 1).value();
        thread.call([this] {
            control_hooks hooks;
            hooks.snapshot_applied = [](const std::shared_ptr<const snapshot>&) {};
            hooks.members_changed = [](const std::vector<member_record>&) {};
            hooks.crash_reported = [](const crash_report&) { return false; };
            hooks.drain_requested = [this] { ++drains; };
            control = control_plane::start(thread.loop(), settings, data_path->inbound_address(),
                                           metric_registry, hooks, [] { return std::uint64_t{7}; })
                          .value();
            server = std::make_unique<operator_server>(
                operator_context{settings, thread.loop(), metric_registry, *control, *data_path,
                                 [] { return std::uint64_t{7}; },
                                 [] { return std::chrono::system_clock::time_point(); },
                                 [] { return true; }, [](const upstream_announcement&) {}});
        });
    }

    void TearDown() override
    {
        thread.call([this] {
            server.reset();
            control.reset();
        });
        data_path->stop();
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
    metrics metric_registry;
    loop_thread thread;
    std::unique_ptr<data_plane> data_path;
    std::unique_ptr<control_plane> control;
    std::unique_ptr<operator_server> server;
    int drains = 0; ///< Drain requests to this node; accessed on the loop's thread.
};

} // namespace

// Guards against bypassing the signature check with a crafted method: method and path together
// could match the name of a signed endpoint if it were in the registry of open endpoints.
TEST_F(operator_server_test, crafted_method_does_not_reach_a_signed_endpoint)
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
