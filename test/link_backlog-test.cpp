#include <agatespread/link_backlog.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr time_point start = time_point(std::chrono::hours(1));

} // namespace

// Guards against requests to a host whose slots are free while its link is saturated. At 1.3 MB/s,
// 90 kB with 500 bytes of headers and 8 % for packets take 75 ms.
TEST(link_backlog, large_responses_delay_later_bytes)
{
    link_backlog link(1.3e6);
    EXPECT_EQ(link.delay(start), milliseconds(0));
    link.add(90000, start);
    link.add(90000, start);
    EXPECT_NEAR(std::chrono::duration<double>(link.delay(start)).count(), 0.1504, 0.001);
    EXPECT_NEAR(std::chrono::duration<double>(link.delay(start + milliseconds(100))).count(),
                0.0504, 0.001);
    EXPECT_EQ(link.delay(start + milliseconds(200)), milliseconds(0));
    link.add(12500, start + milliseconds(500));
    EXPECT_NEAR(std::chrono::duration<double>(link.delay(start + milliseconds(500))).count(),
                0.0108, 0.001);
}

// Guards against a host that appears idle although the responses of its running calls will saturate
// its link.
TEST(link_backlog, mean_transmission_time_follows_response_sizes)
{
    link_backlog link(1.3e6);
    EXPECT_EQ(link.transmission_time(), milliseconds(0));
    for (int i = 0; i < 1000; ++i) {
        link.add_response(i % 2 == 0 ? 1 : 2, i % 2 == 0 ? 90000 : 0, start);
    }
    // Half of 75 ms, plus headers.
    EXPECT_NEAR(std::chrono::duration<double>(link.transmission_time()).count(), 0.038, 0.002);
    EXPECT_NEAR(std::chrono::duration<double>(link.transmission_time(1)).count(), 0.075, 0.001);
    EXPECT_EQ(link.transmission_time(3), milliseconds(0));
}

// Guards against an unlimited backlog, which delays everything that the host sends.
TEST(link_backlog, saturated_link_accepts_only_small_responses)
{
    constexpr std::uint32_t large = 1;
    constexpr std::uint32_t small = 2;
    link_backlog link(1.3e6);
    link.add_response(small, 500, start);
    int accepted = 0;
    while (accepted < 100 && link.accepts(large, start)) {
        link.add_response(large, 90000, start);
        ++accepted;
    }
    // The sixth response of 75 ms exceeds the limit of 400 ms.
    EXPECT_EQ(accepted, 6);
    EXPECT_TRUE(link.accepts(small, start));
    EXPECT_TRUE(link.accepts(large, start + milliseconds(200)));
}

TEST(link_backlog, zero_rate_means_no_delay)
{
    link_backlog link(0);
    link.add(1000000, start);
    EXPECT_EQ(link.delay(start), milliseconds(0));
}

} // namespace agatespread
