#include "control_port.h"
#include "rollout_rows.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace agatespread::adapter {

TEST(platform_rollout, order_is_read)
{
    const absl::StatusOr<rollout_order> order =
        read_rollout_order(R"({"service":"rounds","to":"v2","duration":"12s","note":1})");
    ASSERT_TRUE(order.ok()) << order.status();
    EXPECT_EQ(order->service, "rounds");
    EXPECT_EQ(order->to, "v2");
    EXPECT_EQ(order->duration, std::chrono::seconds(12));
}

// Guards against acting on an order that names no service, version or time.
TEST(platform_rollout, malformed_order_is_rejected)
{
    for (const char* const text : {"", "[]", "{}", R"({"service":"rounds","to":"v2"})",
                                   R"({"service":"rounds","to":2,"duration":"12s"})",
                                   R"({"service":"","to":"v2","duration":"12s"})",
                                   R"({"service":"rounds","to":"v2","duration":"-1s"})",
                                   R"({"service":"rounds","to":"v2","duration":12})"}) {
        EXPECT_FALSE(read_rollout_order(text).ok()) << text;
    }
    const std::string name(max_software_version_bytes + 1, 'v');
    EXPECT_FALSE(
        read_rollout_order(R"({"service":"rounds","duration":"1s","to":")" + name + "\"}").ok());
}

TEST(platform_rollout, status_names_the_end_and_all_other_phases_as_running)
{
    const auto state_of = [](rollout_phase phase) {
        const nlohmann::json row =
            nlohmann::json::parse(write_rollout_status({"rounds", "v2", phase}));
        EXPECT_EQ(row.at("service"), "rounds");
        EXPECT_EQ(row.at("to"), "v2");
        return row.at("state").get<std::string>();
    };
    EXPECT_EQ(state_of(rollout_phase::trial), "running");
    EXPECT_EQ(state_of(rollout_phase::closing), "running");
    EXPECT_EQ(state_of(rollout_phase::completed), "completed");
    EXPECT_EQ(state_of(rollout_phase::rolled_back), "rolled_back");
}

// A heartbeat always has a version; one without it, or with a version of another type, is of
// another writer.
TEST(platform_rollout, heartbeat_states_the_software_version)
{
    const auto version_of = [](const std::string& info) {
        const absl::StatusOr<upstream_message> message = parse_upstream_message(
            "/v1/instances/i-1/heartbeat",
            R"({"status":{"state":"ready","sequence":1,"warmup_left":"0ms"},)"
            R"("info":{"service":"s","zone":"z","slots":8)" +
                info + "}}");
        return message.ok() ? message->heartbeat.version : std::string("-");
    };
    EXPECT_EQ(version_of(R"(,"version":"v2")"), "v2");
    EXPECT_EQ(version_of(""), "-");
    EXPECT_EQ(version_of(R"(,"version":2)"), "-");
    EXPECT_EQ(version_of(R"(,"version":")" + std::string(65, 'v') + "\""), "");
}

} // namespace agatespread::adapter
