#include <agatespread/timer.h>

#include <gtest/gtest.h>

#include <vector>

namespace agatespread {

using std::chrono::milliseconds;

TEST(timer, timers_fire_in_order_of_due_time)
{
    manual_timer_service timers;
    std::vector<int> calls;
    const subscription late =
        timers.after(milliseconds(20), [&](time_point) { calls.push_back(2); });
    const subscription early =
        timers.after(milliseconds(10), [&](time_point) { calls.push_back(1); });
    timers.advance(milliseconds(15));
    EXPECT_EQ(calls, std::vector<int>({1}));
    timers.advance(milliseconds(5));
    EXPECT_EQ(calls, std::vector<int>({1, 2}));
}

TEST(timer, periodic_timer_stops_when_cancelled)
{
    manual_timer_service timers;
    int calls = 0;
    subscription tick = timers.every(milliseconds(10), [&](time_point) { ++calls; });
    timers.advance(milliseconds(35));
    EXPECT_EQ(calls, 3);
    tick.cancel();
    timers.advance(milliseconds(100));
    EXPECT_EQ(calls, 3);
}

TEST(timer, callback_may_cancel_its_own_subscription)
{
    manual_timer_service timers;
    int calls = 0;
    subscription tick;
    tick = timers.every(milliseconds(10), [&](time_point) {
        ++calls;
        tick.cancel();
    });
    timers.advance(milliseconds(100));
    EXPECT_EQ(calls, 1);
}

} // namespace agatespread
