#include <agatespread/upstream_lifecycle.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

upstream_heartbeat heartbeat(std::string instance, int born, std::uint64_t sequence,
                             bool draining = false)
{
    upstream_heartbeat result;
    result.instance = std::move(instance);
    result.born = milliseconds(born);
    result.sequence = sequence;
    result.draining = draining;
    result.slots = 9;
    return result;
}

} // namespace

TEST(upstream_lifecycle, first_heartbeat_opens_the_gate)
{
    upstream_lifecycle upstream;
    EXPECT_EQ(upstream.state(), upstream_state::gone);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 1)), lifecycle_change::opened);
    EXPECT_EQ(upstream.instance(), "a");
    EXPECT_EQ(upstream.slots(), 9U);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 2)), lifecycle_change::none);
}

// Guards against new work for a leaving upstream after a delayed heartbeat or after a later one
// that says ready again.
TEST(upstream_lifecycle, life_that_leaves_never_takes_work_again)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 3, true)), lifecycle_change::closed);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 2)), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 4)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

TEST(upstream_lifecycle, deregistered_life_is_closed)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.leave("a", milliseconds(10)), lifecycle_change::closed);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 5)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

// Guards against the next life under the same id being taken for the one that left.
TEST(upstream_lifecycle, next_life_opens_the_gate)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 7));
    upstream.leave("a", milliseconds(10));
    EXPECT_EQ(upstream.receive(heartbeat("a", 20, 1)), lifecycle_change::opened);
    EXPECT_EQ(upstream.leave("a", milliseconds(10)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::ready);
}

// Guards against a heartbeat that a partition held up beyond the crash of its sender.
TEST(upstream_lifecycle, earlier_life_changes_nothing)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("b", 20, 1));
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 99, true)), lifecycle_change::none);
    EXPECT_EQ(upstream.instance(), "b");
    EXPECT_EQ(upstream.leave("a", milliseconds(10)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::ready);
}

TEST(upstream_lifecycle, unreachable_upstream_is_opened_by_its_next_heartbeat)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.lost(), lifecycle_change::closed);
    EXPECT_EQ(upstream.lost(), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 2)), lifecycle_change::opened);
}

// Guards against a node that was restarted alone and waits for a heartbeat, and against a health
// check that overrules one.
TEST(upstream_lifecycle, health_check_opens_only_before_the_first_heartbeat)
{
    upstream_lifecycle upstream;
    EXPECT_EQ(upstream.healthy("", 8), lifecycle_change::none);
    EXPECT_EQ(upstream.healthy("a", 8), lifecycle_change::opened);
    EXPECT_EQ(upstream.slots(), 8U);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 5, true)), lifecycle_change::closed);
    EXPECT_EQ(upstream.healthy("a", 8), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

} // namespace agatespread
