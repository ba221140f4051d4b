#include "control_port.h"

#include <gtest/gtest.h>

namespace agatespread::adapter {

namespace {

constexpr const char* path = "/v1/instances/i-1/heartbeat";

std::string body(const std::string& state, const std::string& slots = "9",
                 const std::string& born = ",\"born\":1700000000123")
{
    return R"({"address":"10.0.0.1:1","info":{"service":"s","version":"v1","zone":"z","slots":)" +
           slots + R"(},"status":{"state":")" + state + R"(","sequence":4,"warmup_left":"1.5s"})" +
           born + "}";
}

} // namespace

TEST(platform_control, heartbeat_is_parsed)
{
    const absl::StatusOr<upstream_message> message = parse_upstream_message(path, body("draining"));
    ASSERT_TRUE(message.ok()) << message.status();
    EXPECT_FALSE(message->deregisters);
    EXPECT_EQ(message->heartbeat.instance, "i-1");
    EXPECT_EQ(message->heartbeat.started_at, std::chrono::milliseconds(1700000000123));
    EXPECT_EQ(message->heartbeat.sequence, 4U);
    EXPECT_EQ(message->heartbeat.slots, 9U);
    EXPECT_EQ(message->heartbeat.warmup_remaining, std::chrono::milliseconds(1500));
    EXPECT_TRUE(message->heartbeat.draining);
}

TEST(platform_control, deregistration_is_parsed)
{
    const absl::StatusOr<upstream_message> without_body =
        parse_upstream_message("/v1/instances/i-1/deregister", "");
    ASSERT_TRUE(without_body.ok());
    EXPECT_TRUE(without_body->deregisters);
    const absl::StatusOr<upstream_message> with_start_time =
        parse_upstream_message("/v1/instances/i-1/deregister", R"({"born":5})");
    ASSERT_TRUE(with_start_time.ok());
    EXPECT_EQ(with_start_time->heartbeat.started_at, std::chrono::milliseconds(5));
}

// Guards against routing requests to an upstream that a malformed message names.
TEST(platform_control, malformed_messages_are_rejected)
{
    EXPECT_FALSE(parse_upstream_message(path, "").ok());
    EXPECT_FALSE(parse_upstream_message(path, "[]").ok());
    EXPECT_FALSE(parse_upstream_message(path, body("happy")).ok());
    EXPECT_FALSE(parse_upstream_message(path, body("ready", "\"9\"")).ok());
    EXPECT_FALSE(parse_upstream_message(path, body("ready", "0")).ok());
    EXPECT_FALSE(parse_upstream_message(path, body("ready", "9", ",\"born\":\"x\"")).ok());
    EXPECT_FALSE(parse_upstream_message("/v1/instances//heartbeat", body("ready")).ok());
    EXPECT_FALSE(parse_upstream_message("/v1/instances/a/b/heartbeat", body("ready")).ok());
    EXPECT_TRUE(absl::IsNotFound(parse_upstream_message("/v1/other", body("ready")).status()));
}

// Guards against a message of another writer that is taken for one of the own upstream, after which
// what that upstream says is ignored as older.
TEST(platform_control, heartbeats_of_other_writers_are_rejected)
{
    const std::string without_state =
        R"({"address":"10.0.0.1:1","info":{"service":"s","version":"v1","zone":"z","slots":9},)"
        R"("status":{"sequence":4,"warmup_left":"0ms"}})";
    EXPECT_FALSE(parse_upstream_message(path, without_state).ok());
    // Each of the members that every heartbeat has, of another type or missing.
    const std::string whole = body("ready");
    for (const char* const member : {R"("service":"s",)", R"("version":"v1",)", R"("zone":"z",)",
                                     R"(,"warmup_left":"1.5s")"}) {
        std::string changed = whole;
        const std::size_t position = changed.find(member);
        ASSERT_NE(position, std::string::npos) << member;
        EXPECT_FALSE(
            parse_upstream_message(path, changed.erase(position, std::string(member).size())).ok())
            << member;
        changed = whole;
        const std::size_t value = changed.find(':', position) + 1;
        changed.replace(value, changed.find('"', value + 1) + 1 - value, "7");
        EXPECT_FALSE(parse_upstream_message(path, changed).ok()) << changed;
    }
    sidecar_settings settings;
    settings.service = "s";
    settings.upstream_address = "10.0.0.1:1";
    const absl::StatusOr<upstream_message> message = parse_upstream_message(path, body("ready"));
    ASSERT_TRUE(message.ok());
    EXPECT_TRUE(check_sender(*message, settings).ok());
    settings.service = "nobody";
    EXPECT_FALSE(check_sender(*message, settings).ok());
    settings.service = "s";
    settings.upstream_address = "10.0.0.2:1";
    EXPECT_FALSE(check_sender(*message, settings).ok());
}

// Guards against a message that ends the process, or that is read with other values than it has.
TEST(platform_control, odd_messages_of_other_writers_are_rejected)
{
    constexpr std::size_t depth = 100000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    EXPECT_FALSE(parse_upstream_message(path, nested).ok());
    EXPECT_FALSE(parse_upstream_message(path, std::string(depth, '[')).ok());
    EXPECT_FALSE(parse_upstream_message(path, body("ready", nested)).ok());
    EXPECT_FALSE(parse_upstream_message(path, body("ready", "9", ",\"born\":" + nested)).ok());
    for (const char* const slots : {"4294967296", "4294967297", "18446744073709551616", "1e400"}) {
        EXPECT_FALSE(parse_upstream_message(path, body("ready", slots)).ok()) << slots;
    }
    for (const char* const born : {"18446744073709551615", "-5", "1e300", "99999999999999999999"}) {
        EXPECT_FALSE(
            parse_upstream_message(path, body("ready", "9", std::string(",\"born\":") + born)).ok())
            << born;
    }
}

} // namespace agatespread::adapter
