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

// Guards against more repeats in some sliding window than the platform allows: at every step one
// of three nodes tries to repeat a request, at random times relative to the requests.
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
            if (budget.try_acquire("s", repeat_reason::lost, nodes, now)) {
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

// Guards against a budget that allows no repeats.
TEST(repeat_budget, part_of_the_limit_is_usable)
{
    repeat_budget budget(options_of(0.2, 0));
    for (int request = 0; request < 1000; ++request) {
        budget.count_request("s", start + milliseconds(request));
    }
    int acquired = 0;
    while (budget.try_acquire("s", repeat_reason::lost, 1, start + seconds(1))) {
        ++acquired;
    }
    EXPECT_EQ(acquired, 70); // 0.35 of 0.2 of 1,000
}

// Guards against repeats after upstream failures that exhaust the budget for lost requests.
TEST(repeat_budget, failures_leave_room_for_lost_requests)
{
    repeat_budget budget(options_of(0.2, 0));
    for (int request = 0; request < 1000; ++request) {
        budget.count_request("s", start);
    }
    int failures = 0;
    while (budget.try_acquire("s", repeat_reason::failure, 1, start)) {
        ++failures;
    }
    EXPECT_EQ(failures, 24); // 0.12 of 0.2 of 1,000
    EXPECT_TRUE(budget.try_acquire("s", repeat_reason::lost, 1, start));
}

// Guards against every node using the whole slack.
TEST(repeat_budget, slack_is_shared_by_the_nodes)
{
    repeat_budget single_node(options_of(0, 100));
    repeat_budget ten_nodes(options_of(0, 100));
    int single_node_acquired = 0;
    int ten_nodes_acquired = 0;
    while (single_node.try_acquire("s", repeat_reason::lost, 1, start)) {
        ++single_node_acquired;
    }
    while (ten_nodes.try_acquire("s", repeat_reason::lost, 10, start)) {
        ++ten_nodes_acquired;
    }
    EXPECT_EQ(single_node_acquired, 35);
    EXPECT_EQ(ten_nodes_acquired, 3);
}

// Guards against charging repeats of one service to the budget of another.
TEST(repeat_budget, each_service_has_its_own_budget)
{
    repeat_budget budget(options_of(0.2, 0));
    for (int request = 0; request < 1000; ++request) {
        budget.count_request("a", start);
    }
    EXPECT_FALSE(budget.try_acquire("b", repeat_reason::lost, 1, start));
}

} // namespace agatespread
