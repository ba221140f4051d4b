#include <agatespread/retry.h>

#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <random>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));

retry_context failed_call()
{
    retry_context context;
    context.caller = "node-1";
    context.request_class = "chart";
    context.idempotent = true;
    context.failure = attempt_failure::unanswered;
    context.may_have_run = true;
    context.remaining = seconds(1);
    context.expected_duration = milliseconds(10);
    return context;
}

} // namespace

TEST(retry, single_failure_at_the_root_is_retried)
{
    retry_policy retries({});
    retries.first_attempt("node-1", "chart", 0, false, start);
    EXPECT_TRUE(retries.decide(failed_call(), start).should_retry);
}

TEST(retry, share_of_first_attempts_bounds_retries)
{
    retry_policy retries({});
    int retry_count = 0;
    for (int i = 0; i < 10000; ++i) {
        retries.first_attempt("node-1", "chart", 0, false, start);
        retry_count += retries.decide(failed_call(), start).should_retry ? 1 : 0;
    }
    EXPECT_EQ(retry_count, 500);
}

TEST(retry, share_holds_over_any_sequence_of_windows)
{
    // Guards against counting the first attempts of a window again in the adjacent windows.
    std::mt19937_64 engine(5);
    retry_policy retries({});
    time_point now = start;
    double first = 0;
    double retry_count = 0;
    for (int window = 0; window < 200; ++window) {
        const std::uint64_t calls = engine() % 2 == 0 ? 1000 : 50;
        const bool failing = engine() % 2 == 0;
        for (std::uint64_t i = 0; i < calls; ++i) {
            ++first;
            retries.first_attempt("node-1", "chart", 0, false, now);
            retry_count += failing && retries.decide(failed_call(), now).should_retry ? 1 : 0;
        }
        now += seconds(10);
    }
    EXPECT_LE(retry_count / first, 0.05);
}

TEST(retry, deeper_levels_have_a_tenth_of_the_budget_and_no_minimum)
{
    retry_policy retries({});
    retry_context context = failed_call();
    context.depth = 3;
    int retry_count = 0;
    for (int i = 0; i < 10000; ++i) {
        retries.first_attempt("node-1", "chart", 3, false, start);
        retry_count += retries.decide(context, start).should_retry ? 1 : 0;
    }
    EXPECT_EQ(retry_count, 50);
}

TEST(retry, no_retry_on_a_retry_path)
{
    retry_policy retries({});
    retry_context context = failed_call();
    context.on_retry_path = true;
    const retry_decision decision = retries.decide(context, start);
    EXPECT_FALSE(decision.should_retry);
    EXPECT_EQ(decision.reason, "retry_path");
}

TEST(retry, budgets_are_separate_by_caller_and_class)
{
    retry_policy retries({});
    retry_context context = failed_call();
    EXPECT_TRUE(retries.decide(context, start).should_retry);
    EXPECT_TRUE(retries.decide(context, start).should_retry);
    EXPECT_FALSE(retries.decide(context, start).should_retry);
    context.request_class = "booking";
    EXPECT_TRUE(retries.decide(context, start).should_retry);
}

TEST(retry, at_most_once_request_is_not_retried_after_its_first_byte)
{
    retry_policy retries({});
    retry_context context = failed_call();
    context.once = true;
    const retry_decision sent = retries.decide(context, start);
    EXPECT_FALSE(sent.should_retry);
    EXPECT_EQ(sent.status, 504);
    EXPECT_FALSE(sent.not_run);
    EXPECT_EQ(sent.retry_after, milliseconds(0));
    context.may_have_run = false;
    context.failure = attempt_failure::not_run;
    EXPECT_TRUE(retries.decide(context, start).should_retry);
}

TEST(retry, not_idempotent_route_is_retried_only_when_not_run)
{
    retry_policy retries({});
    retry_context context = failed_call();
    context.idempotent = false;
    const retry_decision sent = retries.decide(context, start);
    EXPECT_FALSE(sent.should_retry);
    EXPECT_EQ(sent.status, 502);
    EXPECT_EQ(sent.retry_after, milliseconds(0));
    context.may_have_run = false;
    EXPECT_TRUE(retries.decide(context, start).should_retry);
}

TEST(retry, deadline_must_leave_time_for_another_attempt)
{
    retry_policy retries({});
    retry_context context = failed_call();
    context.may_have_run = false;
    context.remaining = milliseconds(10);
    context.expected_duration = milliseconds(20);
    context.retry_after = seconds(3);
    const retry_decision decision = retries.decide(context, start);
    EXPECT_FALSE(decision.should_retry);
    EXPECT_EQ(decision.status, 503);
    EXPECT_TRUE(decision.not_run);
    EXPECT_EQ(decision.retry_after, seconds(3));
}

TEST(retry, attempts_are_bounded)
{
    retry_policy retries({});
    retry_context context = failed_call();
    context.attempts = 3;
    EXPECT_FALSE(retries.decide(context, start).should_retry);
}

TEST(retry, retries_are_denied_when_the_budget_table_is_full)
{
    retry_options options;
    options.max_budgets = 16;
    retry_policy retries(options);
    int retry_count = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string caller = "node-" + std::to_string(i);
        retry_context context = failed_call();
        context.caller = caller;
        retry_count += retries.decide(context, start).should_retry ? 1 : 0;
    }
    EXPECT_LE(retry_count, 16);
}

TEST(retry, chain_of_11_levels_amplifies_by_at_most_10_percent)
{
    // Guards against retries that multiply over the levels, which is worst if every call fails.
    constexpr std::uint32_t levels = 11;
    std::vector<std::unique_ptr<retry_policy>> nodes;
    for (std::uint32_t i = 0; i < levels; ++i) {
        nodes.push_back(std::make_unique<retry_policy>(retry_options()));
    }
    std::vector<std::uint64_t> sent(levels, 0);
    const std::function<void(std::uint32_t, bool, time_point)> call =
        [&](std::uint32_t depth, bool on_retry_path, time_point now) {
            if (depth == levels) {
                return;
            }
            nodes[depth]->first_attempt("node", "chart", depth, on_retry_path, now);
            retry_context context = failed_call();
            context.caller = "node";
            context.depth = depth;
            context.on_retry_path = on_retry_path;
            for (bool should_retry = true; should_retry; ++context.attempts) {
                ++sent[depth];
                call(depth + 1, on_retry_path || context.attempts > 1, now);
                should_retry = nodes[depth]->decide(context, now).should_retry;
            }
        };
    constexpr std::uint64_t roots = 20000;
    for (std::uint64_t i = 0; i < roots; ++i) {
        call(0, false, start + milliseconds(10) * static_cast<std::int64_t>(i));
    }
    const double leaves = static_cast<double>(sent.back()) / static_cast<double>(roots);
    std::cout << "amplification at the last of 11 levels: " << leaves << "\n";
    EXPECT_LE(leaves, 1.10);
    EXPECT_GE(leaves, 1.05);
}

} // namespace agatespread
