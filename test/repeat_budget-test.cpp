#include <agatespread/repeat_budget.h>

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));

repeat_budget_options options_of(double ratio, double slack)
{
    repeat_budget_options options;
    options.ratio = ratio;
    options.slack = slack;
    return options;
}

} // namespace

// Guards against more repeats in some sliding window than the platform allows, whatever the
// moments of requests and repeats: three nodes ask for a repeat at every step.
TEST(repeat_budget, no_sliding_window_exceeds_the_limit_of_all_nodes)
{
    constexpr std::size_t nodes = 3;
    constexpr double ratio = 0.2;
    constexpr double slack = 30;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::mt19937_64 engine(seed);
        std::vector<repeat_budget> budgets(nodes, repeat_budget(options_of(ratio, slack)));
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
        for (int step = 0; step < 20000; ++step) {
            const time_point now = start + milliseconds(step * 2);
            repeat_budget& budget = budgets[engine() % nodes];
            // Bursts of requests with pauses between them.
            if (step % 4000 < 2500 && engine() % 2 == 0) {
                budget.count_request("s", now);
                requests.push_back(now);
            }
            if (budget.take("s", repeat_reason::lost, nodes, now)) {
                repeats.push_back(now);
            }
            while (!repeats.empty() && now - repeats.front() > seconds(10)) {
                repeats.pop_front();
            }
            while (!requests.empty() && now - requests.front() > seconds(10)) {
                requests.pop_front();
            }
            ASSERT_LE(static_cast<double>(repeats.size()),
                      ratio * static_cast<double>(requests.size()) + slack)
                << "seed " << seed << " step " << step;
        }
    }
}

// Guards against a budget that never lets anything be repeated.
TEST(repeat_budget, part_of_the_limit_is_usable)
{
    repeat_budget budget(options_of(0.2, 0));
    for (int request = 0; request < 1000; ++request) {
        budget.count_request("s", start + milliseconds(request));
    }
    int taken = 0;
    while (budget.take("s", repeat_reason::lost, 1, start + seconds(1))) {
        ++taken;
    }
    EXPECT_EQ(taken, 70); // 0.35 of 0.2 of 1,000
}

// Guards against failures of upstreams that use up what lost requests need.
TEST(repeat_budget, failures_leave_room_for_lost_requests)
{
    repeat_budget budget(options_of(0.2, 0));
    for (int request = 0; request < 1000; ++request) {
        budget.count_request("s", start);
    }
    int failures = 0;
    while (budget.take("s", repeat_reason::failure, 1, start)) {
        ++failures;
    }
    EXPECT_EQ(failures, 24); // 0.12 of 0.2 of 1,000
    EXPECT_TRUE(budget.take("s", repeat_reason::lost, 1, start));
}

// Guards against the slack being given out whole by every node.
TEST(repeat_budget, slack_is_shared_by_the_nodes)
{
    repeat_budget alone(options_of(0, 100));
    repeat_budget shared(options_of(0, 100));
    int alone_taken = 0;
    int shared_taken = 0;
    while (alone.take("s", repeat_reason::lost, 1, start)) {
        ++alone_taken;
    }
    while (shared.take("s", repeat_reason::lost, 10, start)) {
        ++shared_taken;
    }
    EXPECT_EQ(alone_taken, 35);
    EXPECT_EQ(shared_taken, 3);
}

// Guards against one service's repeats being paid for by another's requests.
TEST(repeat_budget, services_have_budgets_of_their_own)
{
    repeat_budget budget(options_of(0.2, 0));
    for (int request = 0; request < 1000; ++request) {
        budget.count_request("a", start);
    }
    EXPECT_FALSE(budget.take("b", repeat_reason::lost, 1, start));
}

} // namespace agatespread
