#include <agatespread/rate_limiter.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));

int take_all(rate_limiter& limiter, time_point from, time_point to)
{
    int taken = 0;
    for (time_point now = from; now < to; now += milliseconds(1)) {
        taken += limiter.try_take(now) ? 1 : 0;
    }
    return taken;
}

} // namespace

TEST(rate_limiter, no_rate_is_no_limit)
{
    rate_limiter limiter;
    EXPECT_EQ(take_all(limiter, start, start + seconds(1)), 1000);
    EXPECT_EQ(limiter.delay(1000, start).count(), 0);
}

// Guards against a burst after idle time or after each change of the rate.
TEST(rate_limiter, any_window_holds_the_rate_and_one_burst)
{
    rate_limiter limiter;
    limiter.set_rate(20, start);
    EXPECT_EQ(take_all(limiter, start, start + seconds(4)), 84);
    EXPECT_LE(take_all(limiter, start + seconds(60), start + seconds(64)), 85);
    for (int change = 0; change < 100; ++change) {
        limiter.set_rate(19 + change % 2, start + seconds(64));
    }
    EXPECT_LE(take_all(limiter, start + seconds(64), start + seconds(68)), 81);
}

TEST(rate_limiter, delay_is_the_time_until_a_token_is_left)
{
    rate_limiter limiter;
    limiter.set_rate(4, start);
    EXPECT_EQ(limiter.delay(0, start).count(), 0);
    EXPECT_EQ(limiter.delay(2, start), milliseconds(500));
    EXPECT_TRUE(limiter.try_take(start));
    EXPECT_EQ(limiter.delay(0, start), milliseconds(250));
    EXPECT_FALSE(limiter.try_take(start + milliseconds(249)));
    EXPECT_TRUE(limiter.try_take(start + milliseconds(250)));
}

// Guards against a limit of 0 that stops all calls, so that its end is never noticed.
TEST(rate_limiter, lowest_rate_allows_a_call_from_time_to_time)
{
    rate_limiter limiter;
    limiter.set_rate(0, start);
    const int taken = take_all(limiter, start, start + seconds(4));
    EXPECT_GE(taken, 1);
    EXPECT_LE(taken, 5);
    limiter.set_rate(std::nullopt, start + seconds(4));
    EXPECT_TRUE(limiter.try_take(start + seconds(4)));
}

// Guards against a burst after a host was suspended, in which no token was taken.
TEST(rate_limiter, pause_leaves_the_tokens_of_one_burst)
{
    constexpr double per_second = 20;
    rate_limiter limiter;
    limiter.set_rate(per_second, time_point());
    const time_point resumed = time_point() + std::chrono::minutes(1);
    int taken = 0;
    while (limiter.try_take(resumed)) {
        ++taken;
    }
    EXPECT_EQ(taken, static_cast<int>(per_second * 0.25)); // The default burst is 250 ms.
}

} // namespace agatespread
