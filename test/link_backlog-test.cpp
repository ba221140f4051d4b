#include <agatespread/link_backlog.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr time_point start = time_point(std::chrono::hours(1));

} // namespace

// Guards against a host whose slots are free while its link is full: 90 kB at 1.3 MB/s take 69 ms.
TEST(link_backlog, large_answers_delay_what_follows)
{
    link_backlog link(1.3e6);
    EXPECT_EQ(link.delay(start), milliseconds(0));
    link.add(90000, start);
    link.add(90000, start);
    EXPECT_NEAR(std::chrono::duration<double>(link.delay(start)).count(), 0.138, 0.001);
    EXPECT_NEAR(std::chrono::duration<double>(link.delay(start + milliseconds(100))).count(), 0.038,
                0.001);
    EXPECT_EQ(link.delay(start + milliseconds(200)), milliseconds(0));
    link.add(13000, start + milliseconds(500));
    EXPECT_NEAR(std::chrono::duration<double>(link.delay(start + milliseconds(500))).count(), 0.01,
                0.001);
}

TEST(link_backlog, unknown_rate_is_no_delay)
{
    link_backlog link(0);
    link.add(1000000, start);
    EXPECT_EQ(link.delay(start), milliseconds(0));
}

} // namespace agatespread
