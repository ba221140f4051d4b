#include "loop_thread.h"

#include <agatespread/event_loop.h>

#include <gtest/gtest.h>

#include <csignal>
#include <stdexcept>
#include <vector>

namespace agatespread {

using std::chrono::milliseconds;

TEST(event_loop, timers_fire_in_order_until_cancelled)
{
    event_loop loop;
    std::vector<int> calls;
    const subscription late = loop.after(milliseconds(10), [&](time_point) {
        calls.push_back(2);
        loop.stop();
    });
    const subscription early = loop.after(milliseconds(1), [&](time_point) { calls.push_back(1); });
    subscription cancelled = loop.after(milliseconds(5), [&](time_point) { calls.push_back(3); });
    cancelled.cancel();
    loop.run();
    EXPECT_EQ(calls, std::vector<int>({1, 2}));
}

TEST(event_loop, periodic_timer_may_cancel_itself)
{
    event_loop loop;
    int calls = 0;
    subscription tick;
    tick = loop.every(milliseconds(1), [&](time_point) {
        if (++calls == 3) {
            tick.cancel();
            loop.post([&loop] { loop.stop(); });
        }
    });
    loop.run();
    EXPECT_EQ(calls, 3);
}

// Guards against an exception from one callback ending the loop's thread and with it the process.
TEST(event_loop, exception_from_a_callback_does_not_end_the_loop)
{
    event_loop loop;
    bool reached = false;
    loop.post([] { throw std::runtime_error("callback fails"); });
    loop.post([] { throw 7; });
    loop.post([&] {
        reached = true;
        loop.stop();
    });
    loop.run();
    EXPECT_TRUE(reached);
}

TEST(event_loop, stop_before_run_ends_the_next_run)
{
    event_loop loop;
    loop.stop();
    loop.run();
    loop.post([&loop] { loop.stop(); });
    loop.run();
}

TEST(event_loop, subscription_may_outlive_its_loop)
{
    subscription timer;
    {
        event_loop loop;
        timer = loop.after(milliseconds(1000), [](time_point) {});
    }
    timer.cancel();
}

TEST(event_loop, each_signal_is_reported)
{
    event_loop loop;
    int calls = 0;
    loop.on_signals({SIGUSR1}, [&](int number) {
        EXPECT_EQ(number, SIGUSR1);
        if (++calls == 2) {
            loop.stop();
            return;
        }
        std::raise(SIGUSR1);
    });
    std::raise(SIGUSR1);
    loop.run();
    EXPECT_EQ(calls, 2);
}

} // namespace agatespread
