#include <agatespread/memory_platform.h>
#include <agatespread/once.h>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>

namespace agatespread {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The wall clock follows the manual clock and can be set independently.
struct test_environment {
    manual_timer_service timers;
    memory_platform driver{timers};
    metrics data;
    std::mt19937_64 engine{42};
    std::chrono::system_clock::time_point wall_offset{hours(500000)};

    std::unique_ptr<once_claims> make_node(const once_options& options = {})
    {
        return std::make_unique<once_claims>(
            timers, driver, [this] { return engine(); }, [this] { return wall(); }, data, options);
    }

    std::chrono::system_clock::time_point wall() const
    {
        return wall_offset + std::chrono::duration_cast<std::chrono::system_clock::duration>(
                                 timers.now().time_since_epoch());
    }

    void set_down(bool down)
    {
        platform_faults faults = driver.faults();
        faults.down = down;
        driver.set_faults(faults);
    }

    void set_delay(milliseconds delay)
    {
        platform_faults faults = driver.faults();
        faults.delay = delay;
        driver.set_faults(faults);
    }

    std::uint64_t count(std::string_view name) { return data.counter_of(name).value(); }
};

std::string name_of(claim_outcome outcome)
{
    static const char* const names[] = {"granted",     "recorded",   "completed",
                                        "in_progress", "mismatched", "not_run"};
    return names[static_cast<std::size_t>(outcome)];
}

class once_test : public testing::Test {
protected:
    // Returns the outcome, or "pending".
    std::string claim(once_claims& node, const std::string& key,
                      const std::string& fingerprint = "f")
    {
        last.reset();
        node.claim({"nile-soy", key, fingerprint},
                   [this](const claim_result& result) { last = result; });
        return outcome();
    }

    std::string outcome() const { return last ? name_of(last->outcome) : "pending"; }

    test_environment env;
    std::unique_ptr<once_claims> first = env.make_node();
    std::unique_ptr<once_claims> second = env.make_node();
    std::optional<claim_result> last;
};

} // namespace

// Guards against running a request twice, and against a repeat with no or a different response.
TEST_F(once_test, repeated_request_gets_the_recorded_answer)
{
    ASSERT_EQ(claim(*first, "k"), "granted");
    const claim_ticket ticket = last->ticket;
    EXPECT_TRUE(first->may_send(ticket));
    EXPECT_EQ(claim(*first, "k"), "in_progress");
    EXPECT_EQ(claim(*second, "k"), "in_progress");
    first->complete(ticket, "answer");
    EXPECT_EQ(claim(*first, "k"), "recorded");
    env.timers.advance(milliseconds(100));
    EXPECT_EQ(first->pending(), 0U);
    EXPECT_EQ(claim(*second, "k"), "recorded");
    EXPECT_EQ(last->answer, "answer");
}

// Guards against returning the response of one request to another that reuses its key.
TEST_F(once_test, key_of_another_request_is_refused)
{
    claim(*first, "k", "f");
    EXPECT_EQ(claim(*first, "k", "g"), "mismatched");
    EXPECT_EQ(claim(*second, "k", "g"), "mismatched");
    EXPECT_EQ(claim(*second, "other", "g"), "granted");
}

// Guards against recording a large response in part, and against running its request again.
TEST_F(once_test, large_answer_is_not_recorded)
{
    claim(*first, "k");
    first->complete(last->ticket, std::string(4097, 'x'));
    env.timers.advance(milliseconds(100));
    EXPECT_EQ(claim(*second, "k"), "completed");
}

// Guards against running requests without a claim while the platform is down.
TEST_F(once_test, claim_is_refused_as_not_run_while_the_platform_is_unreachable)
{
    env.set_down(true);
    EXPECT_EQ(claim(*first, "k"), "not_run");
    EXPECT_EQ(first->pending(), 0U);
    env.set_down(false);
    EXPECT_EQ(claim(*first, "k"), "granted");
}

// Guards against a claim that conflicts with itself after the response to its write was lost.
TEST_F(once_test, claim_with_a_lost_answer_is_resolved_by_its_token)
{
    env.driver.inject_write_outcome(write_outcome::response_lost, 1);
    EXPECT_EQ(claim(*first, "k"), "pending");
    env.timers.advance(milliseconds(20));
    EXPECT_EQ(outcome(), "granted");
    EXPECT_EQ(claim(*second, "k"), "in_progress");
}

// Guards against a key that stays claimed by a request that was refused as not run, and against a
// claim write that is applied after its release and then blocks or overwrites a later claim.
TEST_F(once_test, unresolved_claim_is_released_and_cannot_arrive_late)
{
    env.driver.inject_write_outcome(write_outcome::applied_late, 1);
    EXPECT_EQ(claim(*first, "k"), "pending");
    env.set_down(true);
    env.timers.advance(seconds(1));
    EXPECT_EQ(outcome(), "not_run");
    env.set_down(false);
    env.timers.advance(seconds(5));
    EXPECT_EQ(first->pending(), 0U);
    env.driver.apply_late_writes();
    EXPECT_EQ(claim(*second, "k"), "granted");
}

// Guards against a delayed claim write that replaces the tombstone of a released key, as above.
TEST_F(once_test, unresolved_claim_of_a_released_key_cannot_arrive_late)
{
    claim(*first, "k");
    first->release(last->ticket);
    env.timers.advance(milliseconds(100));
    // Is refused and returns the tombstone.
    env.driver.inject_write_outcome(write_outcome::answered, 1);
    env.driver.inject_write_outcome(write_outcome::applied_late, 1);
    EXPECT_EQ(claim(*second, "k"), "pending");
    env.set_down(true);
    env.timers.advance(seconds(1));
    EXPECT_EQ(outcome(), "not_run");
    env.set_down(false);
    env.timers.advance(seconds(5));
    env.driver.apply_late_writes();
    EXPECT_EQ(claim(*first, "k"), "granted");
}

// Guards against a caller that waits for a slow platform, and a key that stays claimed after it.
TEST_F(once_test, claim_granted_after_its_time_is_released)
{
    env.set_delay(seconds(2));
    EXPECT_EQ(claim(*first, "k"), "pending");
    env.timers.advance(milliseconds(999));
    EXPECT_EQ(outcome(), "pending");
    env.timers.advance(milliseconds(1));
    EXPECT_EQ(outcome(), "not_run");
    env.timers.advance(seconds(10));
    env.set_delay(milliseconds(0));
    EXPECT_EQ(claim(*second, "k"), "granted");
}

// Guards against writing a claim after it was reported to its caller as not run.
TEST_F(once_test, claim_that_was_never_sent_is_withdrawn)
{
    env.set_delay(milliseconds(1500));
    claim(*first, "a");
    EXPECT_EQ(claim(*first, "b"), "pending"); // Waits for the batch in flight.
    env.timers.advance(seconds(1));
    EXPECT_EQ(outcome(), "not_run");
    env.timers.advance(seconds(60));
    EXPECT_EQ(env.driver.rows().size(), 1U);
}

// Guards against a paused claimant that sends its request after its lease or key has expired.
TEST_F(once_test, paused_claimant_must_not_send)
{
    claim(*first, "k");
    const claim_ticket ticket = last->ticket;
    env.timers.advance(milliseconds(4999));
    EXPECT_TRUE(first->may_send(ticket));
    env.timers.advance(milliseconds(1));
    EXPECT_FALSE(first->may_send(ticket));

    // The monotonic clock stopped while the machine was suspended.
    claim(*first, "other");
    const claim_ticket suspended = last->ticket;
    env.wall_offset += hours(24);
    EXPECT_FALSE(first->may_send(suspended));
}

// Guards against running a request again while the outcome of its first run is unknown.
TEST_F(once_test, row_without_an_outcome_stays_claimed_until_it_expires)
{
    claim(*first, "k");
    const claim_ticket ticket = last->ticket;
    first->abandon(ticket);
    EXPECT_EQ(first->pending(), 0U);
    EXPECT_FALSE(first->may_send(ticket));
    first.reset();
    env.wall_offset += hours(24) + seconds(60);
    EXPECT_EQ(claim(*second, "k"), "in_progress"); // The clocks may differ by an hour.
    env.wall_offset += hours(2);
    EXPECT_EQ(claim(*second, "k"), "granted");
}

// Guards against refusing a request that never reached an upstream.
TEST_F(once_test, released_key_can_be_claimed_again)
{
    claim(*first, "k", "f");
    const claim_ticket ticket = last->ticket;
    first->release(ticket);
    EXPECT_FALSE(first->may_send(ticket));
    env.timers.advance(milliseconds(100));
    EXPECT_EQ(claim(*second, "k", "g"), "granted");
    EXPECT_EQ(claim(*first, "k", "g"), "in_progress");
}

// Guards against a claim that is retried forever because the row that it replaces was removed
// meanwhile: the platform does not report absent rows.
TEST_F(once_test, row_removed_during_the_claim_is_claimed)
{
    claim(*first, "k");
    first->release(last->ticket);
    env.timers.advance(milliseconds(100));
    const std::string key = env.driver.rows().begin()->first;
    env.set_delay(milliseconds(10));
    claim(*second, "k");
    std::optional<claim_result> other;
    second->claim({"nile-soy", "other", "f"}, [&](const claim_result& end) { other = end; });
    // The second attempt, with the present value, is in flight.
    env.timers.advance(milliseconds(15));
    env.set_delay(milliseconds(0));
    env.driver.commit({{}, {{key, std::nullopt}}}, [](const auto&) {});
    env.set_delay(milliseconds(10));
    env.timers.advance(milliseconds(200));
    EXPECT_EQ(outcome(), "granted");
    ASSERT_TRUE(other.has_value());
    EXPECT_EQ(name_of(other->outcome), "granted");
}

// Guards against a claimed key that fails all claims of its batch, and against one transaction for
// each claim.
TEST_F(once_test, batch_continues_without_the_conflicting_rows)
{
    claim(*first, "k7");
    env.set_delay(milliseconds(10));
    const std::uint64_t before = env.count("agatespread_once_transactions_total");
    std::map<std::string, int> outcomes;
    for (int i = 0; i < 50; ++i) {
        second->claim({"nile-soy", fmt::format("k{}", i), "f"},
                      [&](const claim_result& end) { ++outcomes[name_of(end.outcome)]; });
    }
    env.timers.advance(milliseconds(30));
    EXPECT_EQ(outcomes, (std::map<std::string, int>({{"granted", 49}, {"in_progress", 1}})));
    // The first claim alone, the other 49, and these again without the claimed key.
    EXPECT_EQ(env.count("agatespread_once_transactions_total") - before, 3U);
}

// Guards against a full batch that waits for a slow one in flight.
TEST_F(once_test, full_batch_does_not_wait)
{
    env.set_delay(milliseconds(10));
    int granted = 0;
    for (int i = 0; i < 101; ++i) {
        first->claim({"nile-soy", fmt::format("k{}", i), "f"}, [&](const claim_result& end) {
            granted += end.outcome == claim_outcome::granted ? 1 : 0;
        });
    }
    env.timers.advance(milliseconds(10));
    EXPECT_EQ(granted, 101);
}

// Guards against losing a result in an outage of the platform, and against keeping it in memory
// forever.
TEST_F(once_test, result_is_written_after_an_outage_or_dropped)
{
    claim(*first, "k");
    const claim_ticket ticket = last->ticket;
    claim(*first, "dropped");
    const claim_ticket dropped = last->ticket;
    env.set_down(true);
    first->complete(ticket, "answer");
    env.timers.advance(seconds(10));
    env.set_down(false);
    env.timers.advance(seconds(3));
    EXPECT_EQ(claim(*second, "k"), "recorded");
    env.set_down(true);
    first->complete(dropped, "answer");
    env.timers.advance(seconds(40));
    EXPECT_EQ(first->pending(), 0U);
    EXPECT_EQ(env.count("agatespread_once_results_dropped_total"), 1U);
    env.set_down(false);
    EXPECT_EQ(claim(*second, "dropped"), "in_progress");
}

// Guards against unbounded memory for the claims made in an outage.
TEST_F(once_test, pending_claims_are_bounded)
{
    once_options options;
    options.max_pending = 2;
    const std::unique_ptr<once_claims> node = env.make_node(options);
    EXPECT_EQ(claim(*node, "a"), "granted");
    EXPECT_EQ(claim(*node, "b"), "granted");
    EXPECT_EQ(claim(*node, "c"), "not_run");
}

// Guards against a table that grows forever, and against removing a row that has not expired or
// that was replaced after a stale scan.
TEST_F(once_test, sweep_removes_expired_rows_only)
{
    const auto sweep = [this](const sweep_limits& limits) {
        std::optional<sweep_result> end;
        sweep_once_rows(env.driver, "once/nile-soy/", env.wall(), limits,
                        [&](const absl::StatusOr<sweep_result>& result) { end = *result; });
        return std::make_pair(end->removed, end->is_complete);
    };
    for (const char* key : {"a", "b", "c"}) {
        claim(*first, key);
        first->abandon(last->ticket);
    }
    env.wall_offset += hours(26);
    claim(*first, "young");
    EXPECT_EQ(sweep({1000, 2}), std::make_pair(std::size_t(2), false));
    platform_faults stale;
    stale.stale_reads = true;
    env.driver.set_faults(stale);
    for (const char* key : {"a", "b", "c"}) {
        EXPECT_EQ(claim(*second, key), "granted"); // One of them replaces the expired row.
    }
    EXPECT_EQ(sweep({1000, 2}), std::make_pair(std::size_t(0), false));
    env.driver.set_faults({});
    EXPECT_EQ(sweep({1000, 2}), std::make_pair(std::size_t(0), true));
    EXPECT_EQ(env.driver.rows().size(), 4U);
}

namespace {

// Three nodes that receive the same few requests under random platform faults.
class random_schedule {
public:
    explicit random_schedule(std::uint64_t seed) : engine_(seed)
    {
        for (int i = 0; i < 3; ++i) {
            nodes_.push_back(env_.make_node());
        }
    }

    // Returns the highest number of runs of a key.
    int run()
    {
        for (int step = 0; step < 400; ++step) {
            inject_faults();
            const std::string key = std::to_string(engine_() % 5);
            const std::size_t node = engine_() % nodes_.size();
            nodes_[node]->claim({"nile-soy", key, key}, [this, node, key](const claim_result& end) {
                claimed(node, key, end);
            });
            env_.timers.advance(milliseconds(engine_() % 300));
        }
        env_.driver.set_faults({});
        env_.timers.advance(seconds(60));
        int most = 0;
        for (const std::pair<const std::string, int>& entry : runs_) {
            most = std::max(most, entry.second);
        }
        return most;
    }

    std::size_t keys_run() const { return runs_.size(); }
    bool wrong_answer() const { return wrong_answer_; }
    std::size_t pending() const
    {
        return nodes_[0]->pending() + nodes_[1]->pending() + nodes_[2]->pending();
    }

private:
    void inject_faults()
    {
        if (engine_() % 4 == 0) {
            platform_faults faults;
            faults.down = engine_() % 4 == 0;
            faults.delay = milliseconds(engine_() % 3 == 0 ? engine_() % 3000 : 0);
            faults.writes_per_second = engine_() % 4 == 0 ? 2 : 0;
            env_.driver.set_faults(faults);
        }
        if (engine_() % 3 == 0) {
            env_.driver.inject_write_outcome(static_cast<write_outcome>(engine_() % 4),
                                             1 + engine_() % 3);
        }
        if (engine_() % 10 == 0) {
            env_.driver.apply_late_writes();
        }
        if (engine_() % 40 == 0) {
            nodes_[engine_() % nodes_.size()] = env_.make_node(); // A node is replaced.
        }
    }

    void claimed(std::size_t node, const std::string& key, const claim_result& end)
    {
        wrong_answer_ = wrong_answer_ ||
                        (end.outcome == claim_outcome::recorded && end.answer != "answer " + key);
        if (end.outcome != claim_outcome::granted) {
            return;
        }
        if (engine_() % 2 == 0 || !nodes_[node]->may_send(end.ticket)) {
            nodes_[node]->release(end.ticket); // No upstream was reached.
            return;
        }
        ++runs_[key];
        if (engine_() % 2 == 0) {
            nodes_[node]->complete(end.ticket, "answer " + key);
        }
        else {
            nodes_[node]->abandon(end.ticket);
        }
    }

    test_environment env_;
    std::mt19937_64 engine_;
    std::vector<std::unique_ptr<once_claims>> nodes_;
    std::map<std::string, int> runs_;
    bool wrong_answer_ = false;
};

} // namespace

// Guards against a second run, a wrong recorded response or a claim that never ends, in random
// schedules of outages, slow, lost and delayed writes, replaced nodes, releases and unknown
// outcomes.
TEST(once, runs_at_most_once_in_random_schedules)
{
    std::size_t keys_run = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_schedule schedule(seed);
        EXPECT_LE(schedule.run(), 1) << "seed " << seed;
        EXPECT_FALSE(schedule.wrong_answer()) << "seed " << seed;
        EXPECT_EQ(schedule.pending(), 0U) << "seed " << seed;
        keys_run += schedule.keys_run();
    }
    EXPECT_GT(keys_run, 200U * 4); // The schedules let nearly all requests run.
}

namespace {

struct cost {
    double transactions_per_claim = 0;
    double transactions_per_second = 0;
    double mean_wait_ms = 0;
};

// Claims keys at a rate for 10 s and records each result 20 ms later.
cost measure(double claims_per_second, milliseconds round_trip, milliseconds min_batch_interval)
{
    constexpr int run_seconds = 10;
    test_environment env;
    env.set_delay(round_trip);
    once_options options;
    options.min_batch_interval = min_batch_interval;
    const std::unique_ptr<once_claims> node = env.make_node(options);
    std::mt19937_64 engine(7);
    std::poisson_distribution<int> arrivals(claims_per_second / 1000);
    std::vector<subscription> calls;
    std::uint64_t claims = 0;
    std::uint64_t granted = 0;
    double waited_ms = 0;
    for (int tick = 0; tick < run_seconds * 1000; ++tick) {
        for (int i = arrivals(engine); i > 0; --i) {
            const time_point start = env.timers.now();
            node->claim(
                {"nile-soy", std::to_string(claims++), "f"}, [&, start](const claim_result& end) {
                    ++granted;
                    waited_ms +=
                        std::chrono::duration<double, std::milli>(env.timers.now() - start).count();
                    calls.push_back(env.timers.after(milliseconds(20),
                                                     [&node, ticket = end.ticket](time_point) {
                                                         node->complete(ticket, "answer");
                                                     }));
                });
        }
        env.timers.advance(milliseconds(1));
    }
    const double transactions =
        static_cast<double>(env.count("agatespread_once_transactions_total"));
    return {transactions / static_cast<double>(claims), transactions / run_seconds,
            waited_ms / static_cast<double>(granted)};
}

} // namespace

// Guards against claims that are not batched and so exceed the platform's write rate. The table
// is quoted in docs/notes/at-most-once.md.
TEST(once, transactions_per_claim_decrease_with_the_claim_rate)
{
    fmt::print("claims/s  round trip  pace  transactions/claim  transactions/s  mean wait\n");
    const std::vector<std::pair<int, std::vector<double>>> series = {
        {0, {3.7, 37, 296, 925, 7400}}, {30, {3.7, 296, 925}}, {100, {3.7, 37, 296, 925}}};
    for (const std::pair<int, std::vector<double>>& rates : series) {
        for (const double rate : rates.second) {
            const cost result = measure(rate, milliseconds(5), milliseconds(rates.first));
            fmt::print("{:8.1f}  {:7d} ms  {:4d}  {:18.3f}  {:14.1f}  {:6.1f} ms\n", rate, 5,
                       rates.first, result.transactions_per_claim, result.transactions_per_second,
                       result.mean_wait_ms);
        }
    }
    // A failure domain of 80 nodes with one batching member fits into 1/25 of 300 writes a second.
    EXPECT_LT(measure(296, milliseconds(5), milliseconds(100)).transactions_per_second, 12);
}

} // namespace agatespread
