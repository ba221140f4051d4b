#include <agatespread/version_progress.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

time_point at(int ms)
{
    return time_point() + milliseconds(ms);
}

} // namespace

TEST(version_progress, behind_since_the_first_newer_version_was_heard_of)
{
    version_progress progress;
    progress.take(1, at(0));
    EXPECT_EQ(progress.behind_for(at(50)), milliseconds(0));
    EXPECT_FALSE(progress.behind());
    EXPECT_TRUE(progress.hear(2, at(100)));
    EXPECT_TRUE(progress.behind());
    EXPECT_FALSE(progress.hear(2, at(150)));
    EXPECT_TRUE(progress.hear(4, at(200)));
    EXPECT_EQ(progress.newest(), 4U);
    EXPECT_EQ(progress.behind_for(at(300)), milliseconds(200));
    progress.take(2, at(300));
    EXPECT_EQ(progress.behind_for(at(300)), milliseconds(100)) << "of version 4";
    progress.take(4, at(350));
    EXPECT_EQ(progress.behind_for(at(400)), milliseconds(0));
    EXPECT_EQ(progress.in_force_for(at(400)), milliseconds(50));
    EXPECT_FALSE(progress.behind());
}

TEST(version_progress, older_versions_are_no_news)
{
    version_progress progress;
    EXPECT_EQ(progress.in_force_for(at(10)), milliseconds(0));
    progress.take(7, at(0));
    EXPECT_FALSE(progress.hear(6, at(10)));
    EXPECT_FALSE(progress.hear(7, at(10)));
    EXPECT_EQ(progress.newest(), 7U);
    EXPECT_EQ(progress.behind_for(at(20)), milliseconds(0));
}

TEST(version_progress, memory_is_bounded_and_the_first_time_is_kept)
{
    version_progress progress;
    for (int version = 1; version <= 1000; ++version) {
        progress.hear(static_cast<config_version>(version), at(version));
    }
    EXPECT_EQ(progress.newest(), 1000U);
    EXPECT_EQ(progress.behind_for(at(1001)), milliseconds(1000));
    progress.take(999, at(1001));
    EXPECT_EQ(progress.newest(), 1000U);
}

} // namespace agatespread
