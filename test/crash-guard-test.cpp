#include "fake_mesh.h"

#include <agatespread/crash_guard.h>

#include <gtest/gtest.h>

#include <iostream>

namespace agatespread {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using test::fake_mesh;

constexpr time_point start = time_point(hours(1));

/// Starts a call and crashes the upstream while it is running.
guard_actions crash_with(crash_guard& guard, std::uint64_t call, std::uint64_t fingerprint,
                         time_point now)
{
    EXPECT_EQ(guard.enter(call, fingerprint, false, now).verdict, guard_verdict::pass);
    EXPECT_EQ(guard.try_start(call, now).verdict, guard_verdict::pass);
    return guard.crashed(call, now);
}

/// Starts a call that ends without a response.
void run_unanswered(crash_guard& guard, std::uint64_t call, std::uint64_t fingerprint,
                    time_point now)
{
    EXPECT_EQ(guard.enter(call, fingerprint, false, now).verdict, guard_verdict::pass);
    EXPECT_EQ(guard.try_start(call, now).verdict, guard_verdict::pass);
    guard.leave_unanswered(call, now, now);
}

/// Runs a call that gets a response.
void run_answered(crash_guard& guard, std::uint64_t call, std::uint64_t fingerprint, call_end end,
                  time_point now)
{
    EXPECT_EQ(guard.enter(call, fingerprint, false, now).verdict, guard_verdict::pass);
    EXPECT_EQ(guard.try_start(call, now).verdict, guard_verdict::pass);
    guard.leave(call, end, now);
}

int total_crashes(const fake_mesh& mesh, const std::string& domain)
{
    int total = 0;
    for (const std::unique_ptr<fake_mesh::node_state>& node : mesh.nodes) {
        total += node->domain == domain ? node->upstream->crashes : 0;
    }
    return total;
}

} // namespace

TEST(crash_guard, second_crash_blocks_and_each_further_block_is_ten_times_as_long)
{
    crash_guard guard({});
    const guard_actions first = crash_with(guard, 1, 7, start);
    ASSERT_EQ(first.reports.size(), 1U);
    EXPECT_EQ(first.reports[0].suspects, std::vector<std::uint64_t>({7}));
    EXPECT_EQ(guard.check(7, start).state, suspicion::suspect);
    time_point now = start + seconds(5);
    for (const seconds length :
         {seconds(40), seconds(400), seconds(4000), seconds(40000), seconds(86400)}) {
        const guard_actions next = crash_with(guard, 1, 7, now);
        ASSERT_EQ(next.reports.size(), 1U);
        EXPECT_EQ(next.reports[0].blocked_for, length);
        EXPECT_EQ(guard.enter(2, 7, false, now + length - seconds(1)).verdict,
                  guard_verdict::refuse);
        now += length + seconds(1);
        EXPECT_EQ(guard.check(7, now).state, suspicion::suspect);
    }
}

TEST(crash_guard, one_crash_that_ends_many_calls_counts_once)
{
    // Guards against blocking unrelated requests because each lost connection counted as a crash.
    crash_guard guard({});
    for (std::uint64_t call = 1; call <= 5; ++call) {
        guard.enter(call, 100 + call, false, start);
        guard.try_start(call, start);
    }
    EXPECT_TRUE(guard.crashed(1, start).crash_counted);
    for (std::uint64_t call = 2; call <= 5; ++call) {
        EXPECT_FALSE(guard.crashed(call, start + milliseconds(call)).crash_counted);
        EXPECT_EQ(guard.check(100 + call, start).state, suspicion::suspect);
    }
}

TEST(crash_guard, suspects_run_one_at_a_time_beside_others)
{
    crash_guard guard({});
    guard.suspect(7, start);
    guard.suspect(8, start);
    EXPECT_EQ(guard.enter(1, 7, false, start).verdict, guard_verdict::pass);
    EXPECT_EQ(guard.enter(2, 8, false, start).verdict, guard_verdict::wait);
    EXPECT_EQ(guard.enter(3, 9, false, start).verdict, guard_verdict::pass);
    const guard_actions next = guard.leave(1, call_end::succeeded, start);
    EXPECT_EQ(next.pass, std::vector<std::uint64_t>({2}));
    ASSERT_EQ(next.reports.size(), 1U);
    EXPECT_TRUE(next.reports[0].cleared);
    EXPECT_EQ(guard.check(7, start).state, suspicion::none);
}

TEST(crash_guard, queued_call_that_became_suspect_waits_for_the_running_suspect)
{
    // Guards against queued equal requests that crash the upstream again after each restart.
    crash_guard guard({});
    guard.enter(1, 7, false, start);
    guard.enter(2, 7, false, start);
    guard.enter(3, 7, false, start);
    guard.try_start(1, start);
    guard.crashed(1, start);
    EXPECT_EQ(guard.try_start(2, start + seconds(2)).verdict, guard_verdict::pass);
    EXPECT_EQ(guard.try_start(3, start + seconds(2)).verdict, guard_verdict::wait);
    const guard_actions next = guard.crashed(2, start + seconds(3));
    EXPECT_EQ(next.refuse, std::vector<std::uint64_t>({3}));
    EXPECT_EQ(guard.check(7, start + seconds(3)).state, suspicion::blocked);
}

// Guards against an upstream that fails every request without running it, which says nothing of
// the request.
TEST(crash_guard, only_a_success_clears_a_suspect)
{
    crash_guard guard({});
    guard.suspect(7, start);
    run_answered(guard, 1, 7, call_end::responded, start);
    run_answered(guard, 2, 7, call_end::not_run, start);
    EXPECT_EQ(guard.check(7, start).state, suspicion::suspect);
    run_answered(guard, 3, 7, call_end::succeeded, start);
    EXPECT_EQ(guard.check(7, start).state, suspicion::none);
}

// Guards against an upstream that ends silently, so that no call loses its connection.
// Guards against a suspect that waits for a slot of a busy upstream while another node blocks it.
TEST(crash_guard, queued_suspect_is_refused_after_a_block)
{
    crash_guard guard{crash_guard_options()};
    guard.suspect(7, start);
    ASSERT_EQ(guard.enter(1, 7, false, start).verdict, guard_verdict::pass);
    guard.receive(make_block_report(7, 1, seconds(40)), start + milliseconds(100));
    const guard_decision decision = guard.try_start(1, start + milliseconds(400));
    EXPECT_EQ(decision.verdict, guard_verdict::refuse);
    EXPECT_EQ(decision.retry_after, milliseconds(39700));
    EXPECT_FALSE(decision.trial);
    // The next suspect does not wait for the refused one.
    guard.suspect(8, start + milliseconds(400));
    EXPECT_EQ(guard.enter(2, 8, false, start + milliseconds(400)).verdict, guard_verdict::pass);
}

// The same for a trial on another node: two trials at a time end two upstreams.
TEST(crash_guard, queued_suspect_is_refused_during_a_trial_of_another_node)
{
    crash_guard guard{crash_guard_options()};
    crash_report second_crash;
    second_crash.crashes = 2;
    second_crash.suspects = {7};
    guard.receive(second_crash, start);
    ASSERT_EQ(guard.enter(1, 7, false, start).verdict, guard_verdict::pass);
    guard.receive(make_block_report(7, 0, seconds(3)), start + milliseconds(100));
    EXPECT_EQ(guard.try_start(1, start + milliseconds(400)).verdict, guard_verdict::refuse);
}

// Guards against suspects that wait forever behind a queued one that was refused.
TEST(crash_guard, refused_queued_suspect_releases_the_waiting_ones)
{
    crash_guard guard{crash_guard_options()};
    guard.suspect(7, start);
    guard.suspect(8, start);
    ASSERT_EQ(guard.enter(1, 7, false, start).verdict, guard_verdict::pass);
    ASSERT_EQ(guard.enter(2, 8, false, start).verdict, guard_verdict::wait);
    guard.receive(make_block_report(7, 1, seconds(40)), start + milliseconds(100));
    ASSERT_EQ(guard.try_start(1, start + milliseconds(200)).verdict, guard_verdict::refuse);
    const guard_actions next = guard.leave(1, call_end::not_run, start + milliseconds(200));
    EXPECT_EQ(next.pass, std::vector<std::uint64_t>{2});
}

TEST(crash_guard, unanswered_calls_are_in_flight_at_a_crash_that_becomes_known_later)
{
    crash_guard guard({});
    run_unanswered(guard, 1, 7, start);
    EXPECT_EQ(guard.check(7, start).state, suspicion::none);
    EXPECT_TRUE(guard.upstream_replaced(false, start + seconds(5)).crash_counted);
    EXPECT_EQ(guard.check(7, start + seconds(5)).state, suspicion::suspect);
    run_unanswered(guard, 2, 7, start + seconds(10));
    EXPECT_TRUE(guard.upstream_refused(start + seconds(15)).crash_counted);
    EXPECT_EQ(guard.check(7, start + seconds(15)).state, suspicion::blocked);
}

// Guards against suspects that the upstream outlived, or that ran on one that exited in order.
TEST(crash_guard, unanswered_calls_do_not_become_suspects_without_a_crash)
{
    crash_guard guard({});
    run_unanswered(guard, 1, 7, start);
    EXPECT_FALSE(guard.upstream_replaced(true, start + seconds(1)).crash_counted);
    run_unanswered(guard, 2, 8, start + seconds(2));
    run_answered(guard, 3, 9, call_end::succeeded, start + seconds(3));
    EXPECT_FALSE(guard.upstream_replaced(false, start + seconds(6)).crash_counted);
    run_unanswered(guard, 4, 10, start + seconds(7));
    EXPECT_FALSE(guard.upstream_replaced(false, start + seconds(23)).crash_counted);
    EXPECT_EQ(guard.size(), 0U);
}

// Guards against a new process that responds before its first heartbeat, which must not hide that
// the old process ended.
TEST(crash_guard, response_of_a_restarted_upstream_does_not_hide_the_crash)
{
    crash_guard guard({});
    run_unanswered(guard, 1, 7, start);
    run_answered(guard, 2, 9, call_end::succeeded, start + milliseconds(1500));
    EXPECT_TRUE(guard.upstream_replaced(false, start + seconds(2)).crash_counted);
    EXPECT_EQ(guard.check(7, start + seconds(2)).state, suspicion::suspect);
}

// Guards against a block of a suspect that another unanswered suspect may have been.
TEST(crash_guard, crash_with_two_unanswered_suspects_blocks_neither)
{
    crash_guard guard({});
    guard.suspect(7, start);
    guard.suspect(8, start);
    const time_point crash = start + seconds(5);
    run_unanswered(guard, 1, 7, crash);
    run_unanswered(guard, 2, 8, crash);
    guard.upstream_replaced(false, crash);
    EXPECT_EQ(guard.check(7, crash).state, suspicion::suspect);
    EXPECT_EQ(guard.check(8, crash).state, suspicion::suspect);
}

// Guards against two runs of one request on a silent upstream that count as two suspects.
TEST(crash_guard, crash_with_two_unanswered_runs_of_one_suspect_blocks_it)
{
    crash_guard guard({});
    guard.suspect(7, start);
    const time_point crash = start + seconds(5);
    run_unanswered(guard, 1, 7, crash);
    run_unanswered(guard, 2, 7, crash);
    guard.upstream_replaced(false, crash);
    EXPECT_EQ(guard.check(7, crash).state, suspicion::blocked);
}

// Guards against a request that always crashes its upstream beside another suspect.
TEST(crash_guard, fingerprint_in_flight_at_three_crashes_without_a_success_is_blocked)
{
    crash_guard guard({});
    time_point now = start;
    guard.suspect(7, now); // The first crash.
    for (int crash = 2; crash <= 3; ++crash) {
        EXPECT_NE(guard.check(7, now).state, suspicion::blocked);
        now += seconds(5);
        guard.suspect(8, now);
        run_unanswered(guard, 1, 7, now);
        run_unanswered(guard, 2, 8, now);
        guard.upstream_replaced(false, now);
        run_answered(guard, 3, 8, call_end::succeeded, now);
    }
    EXPECT_EQ(guard.check(7, now).state, suspicion::blocked);
    EXPECT_EQ(guard.check(8, now).state, suspicion::none);
}

TEST(crash_guard, frequent_request_in_flight_at_many_crashes_is_not_blocked)
{
    // Guards against blocking a frequent request when a third of the upstreams is killed at once.
    crash_guard guard({});
    guard.enter(1, 7, false, start);
    guard.try_start(1, start);
    crash_report remote_report;
    remote_report.suspects = {7};
    EXPECT_TRUE(guard.receive(remote_report, start));
    EXPECT_FALSE(guard.receive(remote_report, start));
    guard.crashed(1, start);
    EXPECT_EQ(guard.check(7, start).state, suspicion::suspect);
}

TEST(crash_guard, block_reported_by_another_node_is_applied)
{
    crash_guard guard({});
    crash_report report;
    report.fingerprint = 7;
    report.crashes = 3; // Two blocks.
    report.blocked_for = minutes(20);
    EXPECT_TRUE(guard.receive(report, start));
    EXPECT_EQ(guard.check(7, start).state, suspicion::blocked);
    report.blocked_for = minutes(0);
    report.cleared = true;
    EXPECT_FALSE(guard.receive(report, start));
    EXPECT_EQ(guard.check(7, start).state, suspicion::blocked);
    EXPECT_EQ(crash_with(guard, 1, 7, start + minutes(21)).reports[0].blocked_for, seconds(4000));
}

TEST(crash_guard, number_of_fingerprints_is_bounded)
{
    crash_guard_options options;
    options.max_fingerprints = 64;
    crash_guard guard(options);
    guard.confirm(5, start);
    for (std::uint64_t fingerprint = 1000; fingerprint < 11000; ++fingerprint) {
        guard.suspect(fingerprint, start + milliseconds(fingerprint));
    }
    EXPECT_LE(guard.size(), 64U);
    EXPECT_EQ(guard.check(5, start).state, suspicion::blocked);
    guard.expire(start + hours(10));
    EXPECT_EQ(guard.size(), 0U);
}

TEST(crash_guard, crashing_request_sent_100_times_crashes_two_upstreams_of_six)
{
    for (const std::size_t domains : {1U, 3U}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            test::mesh_options options;
            options.seed = seed;
            options.nodes = 6;
            options.failure_domains = domains;
            fake_mesh mesh(options);
            for (int i = 0; i < 100; ++i) {
                mesh.queue.after(milliseconds(50) * i, [&mesh, i] {
                    mesh.call(mesh.engine() % 6, "/stops/crash");
                    for (int other = 0; other < 5; ++other) {
                        mesh.call(mesh.engine() % 6, "/stops/" + std::to_string(i * 10 + other));
                    }
                });
            }
            mesh.queue.run_for(seconds(8));
            int unrelated_answered = 0;
            for (const std::unique_ptr<test::call_record>& call : mesh.calls) {
                const bool unrelated = call->target != "/stops/crash";
                unrelated_answered += unrelated && call->response.status == 200 ? 1 : 0;
            }
            int total = 0;
            for (std::size_t i = 0; i < domains; ++i) {
                const int crashes = total_crashes(mesh, "domain-" + std::to_string(i));
                total += crashes;
                EXPECT_LE(crashes, 2) << "seed " << seed << ", domain " << i;
            }
            EXPECT_GE(unrelated_answered, 490) << "seed " << seed;
            std::cout << domains << " domains, seed " << seed << ": " << total << " crashes, "
                      << unrelated_answered << " of 500 unrelated calls answered\n";
        }
    }
}

TEST(crash_guard, concurrent_sends_after_the_first_crash_stay_bounded)
{
    // Guards against further crashes when the caller repeats the request on all nodes at once right
    // after the first crash.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        test::mesh_options options;
        options.seed = seed;
        options.nodes = 6;
        fake_mesh mesh(options);
        mesh.call(0, "/plain/crash", "POST");
        for (int round = 0; round < 10; ++round) {
            mesh.queue.run_for(milliseconds(20));
            for (std::size_t i = 0; i < 10; ++i) {
                mesh.call(i % 6, "/plain/crash", "POST");
            }
        }
        mesh.queue.run_for(seconds(5));
        EXPECT_LE(total_crashes(mesh, "domain-0"), 2) << "seed " << seed;
    }
}

namespace {

request_identity request_to_path(const std::string& query)
{
    return identify_request("mesh.example", "GET", "/rounds?" + query, "");
}

/// Crashes the upstream with requests that differ in their query; returns how many of them ran.
int crash_with_queries(crash_guard& guard, int first, int count, time_point now)
{
    int ran = 0;
    for (int number = first; number < first + count; ++number) {
        const std::uint64_t id = static_cast<std::uint64_t>(number);
        const request_identity request = request_to_path(std::to_string(number));
        if (guard.enter(id, request, false, now).verdict == guard_verdict::pass &&
            guard.try_start(id, now).verdict == guard_verdict::pass) {
            guard.crashed(id, now);
            ++ran;
        }
    }
    return ran;
}

} // namespace

TEST(crash_guard, path_is_blocked_after_three_crashes_by_different_queries)
{
    crash_guard guard({});
    EXPECT_EQ(crash_with_queries(guard, 1, 10, start), 3);
    EXPECT_EQ(guard.check(request_to_path("other"), start).state, suspicion::blocked);
    const request_identity other_path = identify_request("mesh.example", "GET", "/orders", "");
    EXPECT_EQ(guard.check(other_path, start).state, suspicion::none);
}

TEST(crash_guard, path_with_a_recent_success_is_not_blocked)
{
    crash_guard guard({});
    guard.enter(1, request_to_path("harmless"), false, start);
    guard.try_start(1, start);
    guard.leave(1, call_end::succeeded, start);
    EXPECT_EQ(crash_with_queries(guard, 2, 5, start + seconds(9)), 5);
    EXPECT_EQ(guard.check(request_to_path("other"), start + seconds(9)).state, suspicion::none);
}

TEST(crash_guard, block_of_a_path_that_succeeds_here_is_ignored)
{
    crash_guard guard({});
    const request_identity harmless = request_to_path("harmless");
    guard.enter(1, harmless, false, start);
    guard.try_start(1, start);
    guard.leave(1, call_end::succeeded, start);
    EXPECT_FALSE(guard.receive(make_block_report(harmless.path, 1, seconds(40)), start));
    EXPECT_EQ(guard.check(harmless, start).state, suspicion::none);
    EXPECT_TRUE(
        guard.receive(make_block_report(harmless.path, 1, seconds(40)), start + seconds(11)));
    EXPECT_EQ(guard.check(harmless, start + seconds(11)).state, suspicion::blocked);
}

// The same request under which an upstream crashes again says nothing about others of its path.
TEST(crash_guard, repeated_request_does_not_block_its_path)
{
    crash_guard guard({});
    const request_identity crashing = request_to_path("crash");
    for (std::uint64_t id = 1; id <= 2; ++id) {
        guard.enter(id, crashing, false, start);
        guard.try_start(id, start);
        guard.crashed(id, start);
    }
    EXPECT_EQ(guard.check(crashing, start).state, suspicion::blocked);
    EXPECT_EQ(guard.check(request_to_path("harmless"), start).state, suspicion::none);
}

TEST(crash_guard, identity_of_a_path_ignores_query_body_and_methods_of_equal_safety)
{
    const auto path_of = [](std::string_view method, std::string_view path, std::string_view body) {
        return identify_request("mesh.example", method, path, body).path;
    };
    const std::uint64_t path = path_of("GET", "/rounds", "");
    EXPECT_EQ(path_of("HEAD", "/rounds?n=1", "body"), path);
    EXPECT_NE(path_of("POST", "/rounds", ""), path);
    EXPECT_NE(path_of("GET", "/rounds/2", ""), path);
}

} // namespace agatespread
