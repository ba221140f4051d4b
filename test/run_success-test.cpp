#include <agatespread/run_success.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(1000)};

/// Sixty upstreams of which each ended 18 runs; the first `failing` of them failed `failed` each.
std::vector<run_count> upstreams(std::size_t failing, std::uint64_t failed)
{
    std::vector<run_count> counts(60, {18, 0});
    for (std::size_t index = 0; index < failing; ++index) {
        counts[index].failed = failed;
    }
    return counts;
}

/// Looks at the same failures for a time and returns the share.
double share_after(run_share& admitted, double failures, time_point& now, milliseconds length)
{
    for (const time_point end = now + length; now < end; now += milliseconds(200)) {
        admitted.update(failures, now);
    }
    return admitted.share();
}

} // namespace

// Guards against results of an earlier second that count as those of the last one.
TEST(run_success, log_counts_the_last_second)
{
    run_log log;
    log.add(7, true, start);
    log.add(7, false, start + milliseconds(500));
    EXPECT_EQ(log.count(7, start + milliseconds(600)).ended, 2U);
    EXPECT_EQ(log.count(7, start + milliseconds(1100)).failed, 0U);
    EXPECT_EQ(log.count(7, start + milliseconds(1100)).ended, 1U);
    EXPECT_TRUE(log.recent(start + milliseconds(5000)).empty());
    log.add(7, false, start + milliseconds(5000));
    EXPECT_EQ(log.count(7, start + milliseconds(5000)).ended, 1U);
}

// Guards against state that grows with the names that other nodes send.
TEST(run_success, log_and_arrivals_are_bounded)
{
    run_log log;
    nested_rules nested;
    for (std::uint32_t kind = 1; kind <= 200; ++kind) {
        const time_point now = start + milliseconds(kind * 2);
        log.add(kind, false, now);
        nested.add(kind, true, now);
    }
    std::vector<rule_results> results = log.recent(start + milliseconds(400));
    EXPECT_EQ(results.size(), max_reported_rules);
    EXPECT_EQ(results.back().kind, 200U);
    nested.sample(true, start + milliseconds(4000));
    nested.add_to(results, start + milliseconds(4000));
    EXPECT_EQ(results.size(), max_reported_rules);
}

// Guards against a service that refuses its callers because of a few bad upstreams, which placement
// avoids, and against one that starts runs although they fail everywhere.
TEST(run_success, only_failures_of_most_upstreams_count)
{
    EXPECT_EQ(widespread_failures(upstreams(6, 18)), 0.0);
    EXPECT_EQ(widespread_failures(upstreams(15, 9)), 0.0);
    EXPECT_NEAR(*widespread_failures(upstreams(60, 9)), 0.5, 0.001);
    EXPECT_NEAR(*widespread_failures(upstreams(40, 9)), 0.333, 0.001);
    EXPECT_NEAR(*widespread_failures(upstreams(20, 1)), 0.0185, 0.001);
    EXPECT_FALSE(widespread_failures({{3, 3}}).has_value());
}

// Guards against a share that falls again and again for the same failures, and against one that
// stays low after the reports end.
TEST(run_success, share_falls_once_for_each_failure_and_returns_without_reports)
{
    run_share admitted;
    time_point now = start;
    EXPECT_EQ(share_after(admitted, 0, now, milliseconds(3000)), 1);
    const double fallen = share_after(admitted, 0.4, now, milliseconds(400));
    EXPECT_GT(fallen, 0.5);
    EXPECT_LT(fallen, 0.65);
    for (const time_point end = now + milliseconds(10000); now < end; now += milliseconds(200)) {
        admitted.update(std::nullopt, now);
    }
    EXPECT_EQ(admitted.share(), 1);
}

// Guards against a rule that fails for a reason of its own, such as a fault in the upstreams: fewer
// runs do not fail less, and those that succeed would be refused for nothing.
TEST(run_success, failures_that_do_not_depend_on_load_end_the_limit)
{
    run_share admitted;
    time_point now = start;
    double sum = 0;
    constexpr int looks = 600;
    for (int look = 0; look < looks; ++look) {
        sum += share_after(admitted, 0.3, now, milliseconds(200));
    }
    EXPECT_GT(sum / looks, 0.7);
}

// Guards against bursts: with a share of a quarter, each fourth request is admitted.
TEST(run_success, admitted_requests_are_evenly_spaced)
{
    run_share admitted({milliseconds(200), 0.015, 0.25});
    time_point now = start;
    share_after(admitted, 0.9, now, milliseconds(1000));
    ASSERT_EQ(admitted.share(), 0.25);
    int admissions = 0;
    admitted.admit();
    admitted.admit();
    for (int request = 0; request < 100; ++request) {
        admissions += admitted.admit() ? 1 : 0;
    }
    EXPECT_NEAR(admissions, 25, 1);
    EXPECT_LT(admitted.retry_after(0), admitted.retry_after(0.5));
    EXPECT_LE(admitted.retry_after(1), milliseconds(1000));
}

namespace {

/// What a node learns while its upstream is at work in `busy` of ten parts of the time. `nested`
/// requests arrive only then, others at all times.
idle_arrivals learn(bool nested, int busy)
{
    nested_rules rules;
    time_point now = start;
    for (int tick = 0; tick < 600; ++tick) {
        const bool running = tick % 10 < busy;
        rules.sample(running, now);
        if (running || !nested) {
            rules.add(3, running, now);
        }
        now += milliseconds(100);
    }
    return rules.count(3, now);
}

} // namespace

// Guards against calls of runs that are taken for new requests, and against new requests that get
// precedence because upstreams are mostly at work or there is too little to tell.
TEST(run_success, rules_whose_requests_arrive_only_during_runs_are_nested)
{
    EXPECT_TRUE(nested_rules::is_nested(learn(true, 9)));
    EXPECT_TRUE(nested_rules::is_nested(learn(true, 5)));
    EXPECT_FALSE(nested_rules::is_nested(learn(false, 9)));
    EXPECT_FALSE(nested_rules::is_nested(learn(false, 5)));
    EXPECT_FALSE(nested_rules::is_nested(learn(true, 10)));
    EXPECT_FALSE(nested_rules::is_nested({7, 0}));
}

// Guards against requests that are taken for calls of runs because the upstreams were idle before
// the load began.
TEST(run_success, start_of_load_makes_no_rule_nested)
{
    nested_rules rules;
    time_point now = start;
    for (int tick = 0; tick < 600; ++tick) {
        const bool loaded = tick >= 100;
        rules.sample(loaded, now);
        for (int request = 0; loaded && request < 20; ++request) {
            rules.add(3, true, now);
        }
        now += milliseconds(100);
    }
    EXPECT_FALSE(nested_rules::is_nested(rules.count(3, now)));
}

// Guards against a failed run whose cause is given as a call that failed before it started.
TEST(run_success, cause_of_a_failed_run_is_a_call_that_failed_during_it)
{
    call_failures calls;
    EXPECT_EQ(calls.latest_since(start), "");
    calls.add("call_too_late", start);
    EXPECT_EQ(calls.latest_since(start - milliseconds(50)), "call_too_late");
    EXPECT_EQ(calls.latest_since(start + milliseconds(1)), "");
}

// Guards against a share that falls for failures which fewer runs would not avoid.
TEST(run_success, only_calls_refused_for_load_count_against_the_share)
{
    for (const char* const reason : {"too_late", "queue_full", "shed", "expired"}) {
        EXPECT_TRUE(is_refused_for_load(reason)) << reason;
    }
    for (const char* const reason :
         {"", "failed_502", "failed_504", "error_response", "no_upstream", "draining",
          "unavailable", "upstream_refused", "crash_guard", "stopping", "link_full"}) {
        EXPECT_FALSE(is_refused_for_load(reason)) << reason;
    }
}

} // namespace agatespread
