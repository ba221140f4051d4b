#include <agatespread/version_times.h>

#include <gtest/gtest.h>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// A report and a response within a failure domain, or a call to a platform that is not slow.
constexpr milliseconds exchange{20};

/// Expects that a version is in force in time if a call to the platform takes `platform_call`.
void expect_in_time(milliseconds bound, milliseconds platform_call)
{
    const version_times times(bound);
    const milliseconds silent_reader = times.poll_wait + times.late_poll_delay + platform_call +
                                       exchange + times.near_fetch_jitter + exchange;
    EXPECT_LT(silent_reader.count(), bound.count());
    const milliseconds heard = times.poll_delay + platform_call + exchange;
    const milliseconds silent_peers = heard + times.platform_read_delay + platform_call;
    EXPECT_LT(silent_peers.count(), bound.count());
    const milliseconds third_peer = heard + times.far_fetch_delay + times.near_fetch_jitter +
                                    2 * times.next_fetch_delay + exchange;
    EXPECT_LT(third_peer.count(), bound.count());
}

} // namespace

// Guards against waits that do not follow the bound of the deployment.
TEST(version_times, each_chain_of_waits_ends_within_the_bound)
{
    for (const milliseconds bound : {milliseconds(500), milliseconds(1000), milliseconds(1500)}) {
        expect_in_time(bound, exchange);
    }
    constexpr milliseconds slow_platform_call{340};
    for (const milliseconds bound : {milliseconds(2000), milliseconds(2500), milliseconds(3000)}) {
        expect_in_time(bound, slow_platform_call);
    }
}

TEST(version_times, longer_bounds_do_not_slow_down_the_distribution)
{
    EXPECT_EQ(version_times(milliseconds(3000)).poll_delay,
              version_times(milliseconds(2000)).poll_delay);
    EXPECT_LT(version_times(milliseconds(500)).poll_delay,
              version_times(milliseconds(2000)).poll_delay);
}

} // namespace agatespread
