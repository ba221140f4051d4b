#include "block_rows.h"

#include <agatespread/crash_guard.h>
#include <agatespread/memory_platform.h>

#include <gtest/gtest.h>

#include <vector>

namespace agatespread {

namespace {

using detail::block_rows;
using std::chrono::minutes;
using std::chrono::seconds;

struct block_rows_fixture : ::testing::Test {
    block_rows make_rows()
    {
        return block_rows(
            driver, timers, [this] { return wall_time; },
            [this](std::string_view action, const absl::Status&) { errors.emplace_back(action); },
            {});
    }

    void load(block_rows& rows)
    {
        loaded.clear();
        rows.load([this](const crash_report& block) { loaded.push_back(block); });
    }

    void advance(std::chrono::milliseconds time)
    {
        wall_time += time;
        timers.advance(time);
    }

    std::size_t rows_on_platform()
    {
        std::size_t count = 0;
        driver.scan("blocks/", 100, [&count](const absl::StatusOr<std::vector<row>>& rows) {
            count = rows->size();
        });
        return count;
    }

    manual_timer_service timers;
    memory_platform driver{timers};
    std::chrono::system_clock::time_point wall_time{std::chrono::hours(500000)};
    std::vector<std::string> errors;
    std::vector<crash_report> loaded;
};

using block_rows_test = block_rows_fixture;

} // namespace

// Guards against the loss of all blocks when all nodes are killed at the same time.
TEST_F(block_rows_test, block_is_read_with_its_remaining_time)
{
    block_rows rows = make_rows();
    rows.store(make_block_report(7, 3, minutes(10)));
    advance(minutes(4));
    block_rows restarted = make_rows();
    load(restarted);
    ASSERT_EQ(loaded.size(), 1U);
    EXPECT_EQ(loaded[0].fingerprint, 7U);
    EXPECT_EQ(loaded[0].crashes, 4U);
    EXPECT_EQ(loaded[0].blocked_for, minutes(6));
}

// Guards against the loss of writes and removals that the platform acknowledged before it returned
// from an older copy, and against the return of blocks that have ended.
TEST_F(block_rows_test, writes_and_removals_are_repeated)
{
    block_rows rows = make_rows();
    rows.store(make_block_report(6, 1, minutes(10)));
    driver.save_copy();
    rows.store(make_block_report(7, 3, minutes(10)));
    rows.store(make_block_report(8, 1, seconds(5)));
    rows.store(make_block_report(9, 1, minutes(10)));
    rows.forget(9);
    rows.remove(6);
    driver.restore_copy();
    advance(seconds(6));
    rows.repeat_writes();
    block_rows restarted = make_rows();
    load(restarted);
    ASSERT_EQ(loaded.size(), 1U);
    EXPECT_EQ(loaded[0].fingerprint, 7U);
}

// Guards against a block that is lost, or not read, because the platform was down.
TEST_F(block_rows_test, failed_calls_are_repeated)
{
    platform_faults down;
    down.down = true;
    driver.set_faults(down);
    block_rows rows = make_rows();
    rows.store(make_block_report(7, 1, minutes(10)));
    load(rows);
    rows.store(make_block_report(8, 1, minutes(10)));
    EXPECT_FALSE(errors.empty());
    driver.set_faults({});
    advance(seconds(2));
    EXPECT_EQ(rows_on_platform(), 2U);
    load(rows);
    EXPECT_EQ(loaded.size(), 2U);
}

// Guards against a write of a lost response that another one of the same block undoes.
TEST_F(block_rows_test, write_with_a_lost_response_is_repeated)
{
    driver.inject_write_outcome(write_outcome::response_lost, 1);
    block_rows rows = make_rows();
    rows.store(make_block_report(7, 1, minutes(10)));
    advance(seconds(2));
    load(rows);
    ASSERT_EQ(loaded.size(), 1U);
    EXPECT_EQ(loaded[0].blocked_for, minutes(10) - seconds(2));
}

// Guards against a harmless request that is blocked for longer because of a block that it cleared.
TEST_F(block_rows_test, row_of_a_cleared_block_is_removed)
{
    block_rows rows = make_rows();
    rows.store(make_block_report(7, 1, minutes(10)));
    EXPECT_EQ(rows_on_platform(), 1U);
    rows.remove(7);
    EXPECT_EQ(rows_on_platform(), 0U);
}

// Guards against a restart that resets the number of blocks, and against a table that grows without
// limit.
TEST_F(block_rows_test, ended_blocks_count_until_they_are_removed)
{
    block_rows rows = make_rows();
    rows.store(make_block_report(7, 2, minutes(10)));
    advance(minutes(10) + seconds(2));
    load(rows);
    ASSERT_EQ(loaded.size(), 1U);
    EXPECT_EQ(loaded[0].blocked_for, std::chrono::milliseconds(1));
    EXPECT_EQ(loaded[0].crashes, 3U);
    EXPECT_EQ(rows_on_platform(), 1U);
    advance(std::chrono::hours(4));
    load(rows);
    EXPECT_EQ(rows_on_platform(), 0U);
}

// Guards against a row of another writer that ends the load.
TEST_F(block_rows_test, malformed_rows_are_skipped)
{
    transaction change;
    change.writes.push_back({"blocks/0000000000000001", "x"});
    change.writes.push_back({"blocks/zz", "1 1"});
    driver.commit(std::move(change), [](const absl::StatusOr<transaction_result>&) {});
    block_rows rows = make_rows();
    rows.store(make_block_report(7, 1, minutes(10)));
    load(rows);
    EXPECT_EQ(loaded.size(), 1U);
    EXPECT_EQ(errors, (std::vector<std::string>{"decode", "decode"}));
}

} // namespace agatespread
