#include "control_port.h"

#include <gtest/gtest.h>

namespace agatespread::adapter {

namespace {

constexpr const char* path = "/v1/instances/i-1/heartbeat";

std::string body(const std::string& state, const std::string& slots = "9",
                 const std::string& born = ",\"born\":1700000000123")
{
    return R"({"address":"10.0.0.1:1","info":{"service":"s","slots":)" + slots +
           R"(},"status":{"state":")" + state + R"(","sequence":4,"warmup_left":"1.5s"})" + born +
           "}";
}

} // namespace

TEST(platform_control, heartbeat_is_read)
{
    const absl::StatusOr<upstream_message> read = read_upstream_message(path, body("draining"));
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_FALSE(read->leaves);
    EXPECT_EQ(read->heartbeat.instance, "i-1");
    EXPECT_EQ(read->heartbeat.started_at, std::chrono::milliseconds(1700000000123));
    EXPECT_EQ(read->heartbeat.sequence, 4U);
    EXPECT_EQ(read->heartbeat.slots, 9U);
    EXPECT_EQ(read->heartbeat.warmup_remaining, std::chrono::milliseconds(1500));
    EXPECT_TRUE(read->heartbeat.draining);
}

TEST(platform_control, last_message_of_a_life_is_read)
{
    const absl::StatusOr<upstream_message> bare =
        read_upstream_message("/v1/instances/i-1/deregister", "");
    ASSERT_TRUE(bare.ok());
    EXPECT_TRUE(bare->leaves);
    const absl::StatusOr<upstream_message> born =
        read_upstream_message("/v1/instances/i-1/deregister", R"({"born":5})");
    ASSERT_TRUE(born.ok());
    EXPECT_EQ(born->heartbeat.started_at, std::chrono::milliseconds(5));
}

// Guards against messages of another writer that name an upstream to use.
TEST(platform_control, malformed_messages_are_rejected)
{
    EXPECT_FALSE(read_upstream_message(path, "").ok());
    EXPECT_FALSE(read_upstream_message(path, "[]").ok());
    EXPECT_FALSE(read_upstream_message(path, body("happy")).ok());
    EXPECT_FALSE(read_upstream_message(path, body("ready", "\"9\"")).ok());
    EXPECT_FALSE(read_upstream_message(path, body("ready", "0")).ok());
    EXPECT_FALSE(read_upstream_message(path, body("ready", "9", ",\"born\":\"x\"")).ok());
    EXPECT_FALSE(read_upstream_message("/v1/instances//heartbeat", body("ready")).ok());
    EXPECT_FALSE(read_upstream_message("/v1/instances/a/b/heartbeat", body("ready")).ok());
    EXPECT_TRUE(absl::IsNotFound(read_upstream_message("/v1/other", body("ready")).status()));
}

} // namespace agatespread::adapter
