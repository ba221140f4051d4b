#include <agatespread/upstream_lifecycle.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

upstream_heartbeat heartbeat(std::string instance, int started_at, std::uint64_t sequence,
                             bool draining = false)
{
    upstream_heartbeat result;
    result.instance = std::move(instance);
    result.started_at = milliseconds(started_at);
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

// Guards against new requests to a draining upstream after a delayed heartbeat, or after a later
// one that reports it as ready.
TEST(upstream_lifecycle, draining_incarnation_never_becomes_ready_again)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 3, true)), lifecycle_change::closed);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 2)), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 4)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

// Guards against an upstream that is opened again by a heartbeat that it sent before the response
// in which it said that it leaves.
TEST(upstream_lifecycle, incarnation_that_is_leaving_never_becomes_ready_again)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.mark_leaving(), lifecycle_change::closed);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
    EXPECT_EQ(upstream.mark_leaving(), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 2)), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("b", 20, 1)), lifecycle_change::opened);
}

TEST(upstream_lifecycle, deregistered_incarnation_is_closed)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.deregister("a", milliseconds(10)), lifecycle_change::closed);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 5)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

// Guards against a process that leaves before its first heartbeat arrives, which opens the gate
// when it does.
TEST(upstream_lifecycle, deregistration_precedes_the_first_heartbeat_of_an_incarnation)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.deregister("b", milliseconds(20)), lifecycle_change::closed);
    EXPECT_EQ(upstream.replacements(), 1U);
    EXPECT_EQ(upstream.receive(heartbeat("b", 20, 1)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
    EXPECT_EQ(upstream.receive(heartbeat("b", 30, 1)), lifecycle_change::opened);
}

// The same without a start time, so that only the heartbeat tells which process is the later one.
TEST(upstream_lifecycle, deregistration_without_a_start_time_precedes_the_first_heartbeat)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.deregister("b", milliseconds(0)), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 2)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::ready);
    EXPECT_EQ(upstream.receive(heartbeat("b", 20, 1)), lifecycle_change::closed);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
    EXPECT_EQ(upstream.receive(heartbeat("b", 30, 1)), lifecycle_change::opened);
}

// The same on a node that has restarted.
TEST(upstream_lifecycle, deregistration_without_a_start_time_is_the_first_message)
{
    upstream_lifecycle upstream;
    upstream.health_check_passed("a", 8);
    EXPECT_EQ(upstream.deregister("a", milliseconds(0)), lifecycle_change::closed);
    EXPECT_EQ(upstream.health_check_passed("a", 8), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 1)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

// Guards against a node that restarted beside a leaving upstream and learns of that from a
// response, before a heartbeat that was sent earlier arrives.
TEST(upstream_lifecycle, response_before_the_first_heartbeat_closes_the_gate_for_good)
{
    upstream_lifecycle upstream;
    upstream.health_check_passed("a", 8);
    EXPECT_EQ(upstream.mark_leaving(), lifecycle_change::closed);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 5)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
    EXPECT_EQ(upstream.receive(heartbeat("b", 20, 1)), lifecycle_change::opened);
}

// Guards against confusing a restarted upstream with its deregistered incarnation of the same id.
TEST(upstream_lifecycle, next_incarnation_opens_the_gate)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 7));
    upstream.deregister("a", milliseconds(10));
    EXPECT_EQ(upstream.receive(heartbeat("a", 20, 1)), lifecycle_change::opened);
    EXPECT_EQ(upstream.deregister("a", milliseconds(10)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::ready);
}

// Guards against a heartbeat that a partition delayed until after its sender had crashed.
TEST(upstream_lifecycle, message_of_an_earlier_incarnation_is_ignored)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("b", 20, 1));
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 99, true)), lifecycle_change::none);
    EXPECT_EQ(upstream.instance(), "b");
    EXPECT_EQ(upstream.deregister("a", milliseconds(10)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::ready);
    EXPECT_EQ(upstream.ignored_messages(), 2U);
}

// Guards against the end of an upstream process that goes unnoticed because it was restarted at
// once, and against an exit in order that counts as a crash.
TEST(upstream_lifecycle, replaced_incarnations_are_counted)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    upstream.receive(heartbeat("a", 10, 2));
    EXPECT_EQ(upstream.replacements(), 0U);
    upstream.receive(heartbeat("a", 20, 1));
    EXPECT_EQ(upstream.replacements(), 1U);
    EXPECT_FALSE(upstream.exit_announced());
    upstream.receive(heartbeat("a", 20, 2, true));
    upstream.receive(heartbeat("b", 30, 1));
    EXPECT_EQ(upstream.replacements(), 2U);
    EXPECT_TRUE(upstream.exit_announced());
}

TEST(upstream_lifecycle, unreachable_upstream_is_opened_by_its_next_heartbeat)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.mark_unreachable(), lifecycle_change::closed);
    EXPECT_EQ(upstream.mark_unreachable(), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 2)), lifecycle_change::opened);
}

// Guards against a restarted node that leaves its running upstream closed until a heartbeat, and
// against a health check that overrides a heartbeat.
TEST(upstream_lifecycle, health_check_opens_only_before_the_first_heartbeat)
{
    upstream_lifecycle upstream;
    EXPECT_EQ(upstream.health_check_passed("", 8), lifecycle_change::none);
    EXPECT_EQ(upstream.health_check_passed("a", 8), lifecycle_change::opened);
    EXPECT_EQ(upstream.slots(), 8U);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 5, true)), lifecycle_change::closed);
    EXPECT_EQ(upstream.health_check_passed("a", 8), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

// Guards against a node that restarts beside an upstream that has left.
TEST(upstream_lifecycle, restored_departure_keeps_the_gate_closed)
{
    upstream_lifecycle upstream;
    upstream.restore({"a", milliseconds(10)});
    EXPECT_EQ(upstream.health_check_passed("a", 8), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 3)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
    EXPECT_EQ(upstream.departure(), (upstream_departure{"a", milliseconds(10)}));
    EXPECT_EQ(upstream.receive(heartbeat("a", 20, 1)), lifecycle_change::opened);
    EXPECT_FALSE(upstream.departure());
}

// The platform may answer after the first heartbeat.
TEST(upstream_lifecycle, late_restored_departure_closes_the_gate)
{
    upstream_lifecycle upstream;
    upstream.receive(heartbeat("a", 10, 3));
    EXPECT_EQ(upstream.restore({"b", milliseconds(10)}), lifecycle_change::none);
    EXPECT_EQ(upstream.restore({"a", milliseconds(9)}), lifecycle_change::none);
    EXPECT_EQ(upstream.restore({"a", milliseconds(10)}), lifecycle_change::closed);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 4)), lifecycle_change::none);
}

// Guards against an earlier departure that closes the gate for the next process.
TEST(upstream_lifecycle, restored_departure_does_not_concern_the_next_incarnation)
{
    upstream_lifecycle upstream;
    upstream.restore({"a", milliseconds(10)});
    EXPECT_EQ(upstream.health_check_passed("b", 8), lifecycle_change::opened);
    EXPECT_EQ(upstream.receive(heartbeat("b", 20, 1)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::ready);
}

// Guards against a gate that a health check opened for an upstream whose leaving another node
// knows.
TEST(upstream_lifecycle,
     departure_known_to_another_node_closes_an_upstream_opened_by_a_health_check)
{
    upstream_lifecycle upstream;
    EXPECT_EQ(upstream.health_check_passed("i-1", 4), lifecycle_change::opened);
    EXPECT_EQ(upstream.restore({"i-0", std::chrono::milliseconds(0)}), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::ready);
    EXPECT_EQ(upstream.restore({"i-1", std::chrono::milliseconds(5)}), lifecycle_change::closed);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
    // The first one restored is older and does not replace it.
    upstream.restore({"i-0", std::chrono::milliseconds(0)});
    upstream_heartbeat late;
    late.instance = "i-1";
    late.started_at = std::chrono::milliseconds(5);
    late.sequence = 9;
    late.slots = 4;
    EXPECT_EQ(upstream.receive(late), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

// Promise: an acknowledged leaving holds although the node that acknowledged it was killed. Guards
// against a late heartbeat that opens the gate of a node that has just started.
TEST(upstream_lifecycle, late_heartbeat_after_a_restart_opens_nothing)
{
    upstream_lifecycle upstream(true);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 7)), lifecycle_change::none);
    EXPECT_TRUE(upstream.awaits_confirmation());
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 6)), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 8)), lifecycle_change::none);
    EXPECT_NE(upstream.state(), upstream_state::ready);
}

TEST(upstream_lifecycle, health_check_confirms_the_first_heartbeat)
{
    upstream_lifecycle upstream(true);
    upstream.receive(heartbeat("a", 10, 1));
    EXPECT_EQ(upstream.health_check_passed("b", 9), lifecycle_change::none);
    EXPECT_EQ(upstream.health_check_passed("a", 9), lifecycle_change::opened);
    EXPECT_FALSE(upstream.awaits_confirmation());
    EXPECT_EQ(upstream.receive(heartbeat("b", 20, 1)), lifecycle_change::none); // Still ready.
    EXPECT_EQ(upstream.state(), upstream_state::ready);
    EXPECT_EQ(upstream.instance(), "b");
}

TEST(upstream_lifecycle, health_check_before_the_first_heartbeat_confirms_it)
{
    upstream_lifecycle upstream(true);
    EXPECT_EQ(upstream.health_check_passed("a", 9), lifecycle_change::opened);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 1)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::ready);
    EXPECT_FALSE(upstream.awaits_confirmation());
}

// Guards against a late heartbeat of a process that left, which takes the place of the one that a
// health check has found at its address.
TEST(upstream_lifecycle, late_heartbeat_of_another_instance_than_the_healthy_one_is_not_trusted)
{
    upstream_lifecycle upstream(true);
    upstream.health_check_passed("b", 9);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 7)), lifecycle_change::closed);
    EXPECT_EQ(upstream.receive(heartbeat("b", 20, 1)), lifecycle_change::opened);
}

// Guards against an upstream whose health checks fail although it serves, and which gets no
// requests for as long as the process of the node lives.
TEST(upstream_lifecycle, heartbeats_that_go_on_confirm_an_upstream)
{
    upstream_lifecycle upstream(true);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 1)), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 2)), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 3)), lifecycle_change::opened);
}

TEST(upstream_lifecycle, confirmation_does_not_open_a_leaving_upstream)
{
    upstream_lifecycle upstream(true);
    upstream.receive(heartbeat("a", 10, 1));
    upstream.deregister("a", milliseconds(10));
    EXPECT_EQ(upstream.health_check_passed("a", 9), lifecycle_change::none);
    EXPECT_EQ(upstream.receive(heartbeat("a", 10, 3)), lifecycle_change::none);
    EXPECT_EQ(upstream.state(), upstream_state::draining);
}

// Promise: an acknowledged leaving holds, also after a restart of the node. Guards against a late
// heartbeat of a process before the one that has left, after which the leaving was forgotten and
// late heartbeats of the one that has left opened the gate.
TEST(upstream_lifecycle, restored_departure_outlasts_late_heartbeats_of_earlier_processes)
{
    for (const int earlier : {10, 0}) {
        upstream_lifecycle upstream(true);
        upstream.restore({"b", milliseconds(20)});
        EXPECT_EQ(upstream.receive(heartbeat("a", earlier, 7)), lifecycle_change::none);
        for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
            EXPECT_EQ(upstream.receive(heartbeat("b", 20, sequence)), lifecycle_change::none);
        }
        EXPECT_NE(upstream.state(), upstream_state::ready) << earlier;
        EXPECT_TRUE(upstream.departure().has_value()) << earlier;
    }
}

// The same for a late deregistration of an earlier process.
TEST(upstream_lifecycle, restored_departure_outlasts_a_late_deregistration_of_an_earlier_process)
{
    upstream_lifecycle upstream(true);
    upstream.restore({"b", milliseconds(20)});
    upstream.deregister("a", milliseconds(10));
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        EXPECT_EQ(upstream.receive(heartbeat("b", 20, sequence)), lifecycle_change::none);
    }
    EXPECT_NE(upstream.state(), upstream_state::ready);
}

// Guards against an upstream that gets no work for the rest of its life because the clock was set
// back before it started.
TEST(upstream_lifecycle, process_that_started_with_an_earlier_clock_is_opened_by_its_health_check)
{
    upstream_lifecycle upstream(true);
    upstream.restore({"b", milliseconds(20)});
    upstream.receive(heartbeat("c", 10, 1));
    EXPECT_EQ(upstream.health_check_passed("c", 9), lifecycle_change::opened);
    upstream.receive(heartbeat("c", 10, 2));
    EXPECT_EQ(upstream.state(), upstream_state::ready);
    EXPECT_EQ(upstream.instance(), "c");
    EXPECT_EQ(upstream.receive(heartbeat("c", 10, 3, true)), lifecycle_change::closed);
}

} // namespace agatespread
