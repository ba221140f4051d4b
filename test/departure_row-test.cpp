#include "departure_row.h"

#include <agatespread/memory_platform.h>

#include <gtest/gtest.h>

#include <vector>

namespace agatespread {

namespace {

using detail::departure_row;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* key = "departures/a";

struct departure_row_test : ::testing::Test {
    departure_row make_row()
    {
        return departure_row(
            driver, timers, key,
            [this](std::string_view action, const absl::Status&) { errors.emplace_back(action); });
    }

    void load(departure_row& row)
    {
        row.load([this](const std::optional<upstream_departure>& departure) {
            loaded.push_back(departure);
        });
    }

    void write(const std::string& value)
    {
        transaction change;
        change.writes.push_back({key, value});
        driver.commit(std::move(change), [](const absl::StatusOr<transaction_result>&) {});
    }

    manual_timer_service timers;
    memory_platform driver{timers};
    std::vector<std::string> errors;
    std::vector<std::optional<upstream_departure>> loaded;
};

const upstream_departure departure_of_b{"b", milliseconds(20)};

} // namespace

TEST_F(departure_row_test, departure_is_read_after_a_restart)
{
    departure_row row = make_row();
    load(row);
    row.store({"a", milliseconds(10)});
    row.store(departure_of_b);
    departure_row restarted = make_row();
    load(restarted);
    ASSERT_EQ(loaded.size(), 2U);
    EXPECT_FALSE(loaded[0]);
    EXPECT_EQ(loaded[1], departure_of_b);
}

// Guards against a departure that is forgotten because the platform was down when it was recorded.
TEST_F(departure_row_test, calls_are_repeated_after_an_outage)
{
    platform_faults down;
    down.down = true;
    driver.set_faults(down);
    departure_row row = make_row();
    row.store({"a", milliseconds(10)});
    row.store(departure_of_b);
    departure_row restarted = make_row();
    load(restarted);
    timers.advance(seconds(2));
    EXPECT_TRUE(loaded.empty());
    EXPECT_FALSE(errors.empty());
    driver.set_faults({});
    timers.advance(seconds(1));
    ASSERT_FALSE(loaded.empty());
    load(restarted);
    EXPECT_EQ(loaded.back(), departure_of_b);
}

// Guards against the loss of a write that the platform acknowledged before it returned from an
// older copy.
TEST_F(departure_row_test, write_is_repeated)
{
    departure_row row = make_row();
    driver.save_copy();
    row.store(departure_of_b);
    driver.restore_copy();
    row.repeat_write();
    load(row);
    ASSERT_EQ(loaded.size(), 1U);
    EXPECT_EQ(loaded[0], departure_of_b);
}

TEST_F(departure_row_test, malformed_rows_are_reported)
{
    departure_row row = make_row();
    for (const char* const value : {"", "10", "x b", "10 b c", "10 "}) {
        write(value);
        load(row);
        EXPECT_FALSE(loaded.back()) << value;
    }
    EXPECT_EQ(errors.size(), 5U);
}

} // namespace agatespread
