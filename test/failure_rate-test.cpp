#include <agatespread/failure_rate.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(100)};

} // namespace

TEST(failure_rate, share_is_zero_before_the_first_outcome)
{
    EXPECT_EQ(failure_rate().share(start), 0);
}

// Guards against an upstream that fails half of its calls and still counts as healthy.
TEST(failure_rate, follows_the_share_of_failures)
{
    failure_rate rate;
    for (int call = 0; call < 100; ++call) {
        rate.add(call % 2 == 0, start + milliseconds(10) * call);
    }
    EXPECT_NEAR(rate.share(start + milliseconds(1000)), 0.5, 0.1);
}

// Guards against an upstream that gets no more calls after a single failure.
TEST(failure_rate, single_failure_is_not_reported)
{
    failure_rate rate;
    rate.add(true, start);
    EXPECT_EQ(rate.share(start), 0);
}

// Guards against an upstream that is never tried again after a long failure.
TEST(failure_rate, decays_without_outcomes)
{
    failure_rate rate;
    for (int call = 0; call < 100; ++call) {
        rate.add(true, start);
    }
    EXPECT_GT(rate.share(start), 0.99);
    EXPECT_NEAR(rate.share(start + std::chrono::seconds(2)), 0.5, 0.01);
    EXPECT_LT(rate.share(start + std::chrono::seconds(20)), 0.01);
}

} // namespace agatespread
