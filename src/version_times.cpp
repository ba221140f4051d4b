#include <agatespread/version_times.h>

#include <algorithm>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds longest_bound = std::chrono::seconds(2);

milliseconds percent_of(milliseconds bound, int percent)
{
    return std::max(milliseconds(1), std::min(bound, longest_bound) * percent / 100);
}

} // namespace

version_times::version_times(milliseconds bound)
    : poll_delay(percent_of(bound, 10)), poll_wait(percent_of(bound, 50)),
      late_poll_delay(percent_of(bound, 20)), near_fetch_jitter(percent_of(bound, 7)),
      far_fetch_delay(percent_of(bound, 15)), reader_fetch_delay(percent_of(bound, 20)),
      next_fetch_delay(percent_of(bound, 10)), fetch_timeout(percent_of(bound, 50)),
      platform_read_delay(percent_of(bound, 40)), unrouted_wait(percent_of(bound, 25)),
      lost_version_age(percent_of(bound, 400))
{
}

} // namespace agatespread
