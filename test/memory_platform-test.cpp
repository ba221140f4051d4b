#include <agatespread/memory_platform.h>

#include <gtest/gtest.h>

#include <optional>

namespace agatespread {

namespace {

class memory_platform_test : public testing::Test {
protected:
    // Returns the reason of an error, "done" or "refused", or "pending".
    std::string write(const std::string& key, const std::string& value,
                      std::optional<std::string> expected = std::nullopt)
    {
        outcome = "pending";
        driver.commit({{{key, std::move(expected)}}, {{key, value}}},
                      [this](const absl::StatusOr<transaction_result>& result) {
                          outcome = !result.ok() ? reason_of(result.status(), "platform")
                                                 : (result->committed ? "done" : "refused");
                      });
        return outcome;
    }

    std::string read(const std::string& key)
    {
        std::string found = "pending";
        driver.read(key, [&](const absl::StatusOr<std::optional<std::string>>& result) {
            found =
                result.ok() ? result->value_or("absent") : reason_of(result.status(), "platform");
        });
        return found;
    }

    manual_timer_service timers;
    memory_platform driver{timers};
    std::string outcome;
};

} // namespace

// Guards against a transaction that applies a part of its writes or ignores a precondition.
TEST_F(memory_platform_test, writes_are_applied_only_if_all_preconditions_hold)
{
    EXPECT_EQ(write("a", "1"), "done");
    std::optional<transaction_result> result;
    driver.commit({{{"a", std::nullopt}, {"b", std::nullopt}, {"c", "x"}}, {{"b", "2"}}},
                  [&](const absl::StatusOr<transaction_result>& end) { result = *end; });
    EXPECT_FALSE(result->committed);
    ASSERT_EQ(result->conflicts.size(), 1U);
    EXPECT_EQ(result->conflicts[0].value, "1");
    EXPECT_EQ(read("b"), "absent");
    EXPECT_EQ(write("absent", "2", "1"), "refused");
    EXPECT_EQ(write("a", "2"), "refused");
    EXPECT_EQ(write("a", "2", "1"), "done");
    EXPECT_EQ(read("a"), "2");
}

// Guards against a scan that returns keys with other prefixes, or in ascending order.
TEST_F(memory_platform_test, scan_is_descending_and_limited)
{
    for (const char* key : {"u", "v/1", "v/2", "v/3", "w"}) {
        write(key, "x");
    }
    std::vector<std::string> keys;
    driver.scan("v/", 2, [&](const absl::StatusOr<std::vector<row>>& rows) {
        for (const row& entry : *rows) {
            keys.push_back(entry.key);
        }
    });
    EXPECT_EQ(keys, std::vector<std::string>({"v/3", "v/2"}));
}

// Guards against injected outcomes without the effect that tests of other modules rely on.
TEST_F(memory_platform_test, injected_outcomes_determine_effect_and_response)
{
    driver.inject_write_outcome(write_outcome::response_lost, 1);
    driver.inject_write_outcome(write_outcome::request_lost, 1);
    driver.inject_write_outcome(write_outcome::applied_late, 1);
    EXPECT_EQ(write("a", "1"), "outcome_unknown");
    EXPECT_EQ(write("b", "1"), "outcome_unknown");
    EXPECT_EQ(write("c", "1"), "outcome_unknown");
    EXPECT_EQ(read("a") + read("b") + read("c"), "1absentabsent");
    driver.apply_late_writes();
    EXPECT_EQ(read("c"), "1");
    EXPECT_EQ(write("d", "1"), "done");
}

// Guards against a rate limit that counts over the lifetime of the process or not at all.
TEST_F(memory_platform_test, rate_limits_apply_per_second)
{
    platform_faults limited;
    limited.writes_per_second = 1;
    limited.reads_per_second = 2;
    driver.set_faults(limited);
    EXPECT_EQ(write("a", "1"), "done");
    EXPECT_EQ(write("b", "1"), "overloaded");
    EXPECT_EQ(read("a") + read("b"), "1absent");
    EXPECT_EQ(read("a"), "overloaded");
    timers.advance(std::chrono::seconds(1));
    EXPECT_EQ(write("b", "1"), "done");
    EXPECT_EQ(driver.counts().writes, 3U);
    EXPECT_EQ(driver.counts().refused_writes, 1U);
    EXPECT_EQ(driver.counts().refused_reads, 1U);
}

// Guards against a delayed call that takes effect or is answered before the delay.
TEST_F(memory_platform_test, delayed_call_takes_effect_after_the_delay)
{
    platform_faults slow;
    slow.delay = std::chrono::milliseconds(50);
    driver.set_faults(slow);
    EXPECT_EQ(write("a", "1"), "pending");
    timers.advance(std::chrono::milliseconds(49));
    EXPECT_TRUE(driver.rows().empty());
    timers.advance(std::chrono::milliseconds(1));
    EXPECT_EQ(outcome, "done");
}

// Guards against writes that are refused but take effect while the platform is down.
TEST_F(memory_platform_test, calls_to_a_down_platform_have_no_effect)
{
    platform_faults outage;
    outage.down = true;
    driver.set_faults(outage);
    EXPECT_EQ(write("a", "1"), "unavailable");
    EXPECT_EQ(read("a"), "unavailable");
    EXPECT_TRUE(driver.rows().empty());
}

} // namespace agatespread
