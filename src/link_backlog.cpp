#include <agatespread/link_backlog.h>

#include <algorithm>

namespace agatespread {

namespace {

using seconds = std::chrono::duration<double>;

} // namespace

void link_backlog::add(std::size_t bytes, time_point now)
{
    if (rate_ <= 0) {
        return;
    }
    bytes_ =
        std::max(0.0, bytes_ - seconds(now - at_).count() * rate_) + static_cast<double>(bytes);
    at_ = now;
}

std::chrono::nanoseconds link_backlog::delay(time_point now) const
{
    if (rate_ <= 0) {
        return std::chrono::nanoseconds(0);
    }
    const double left = bytes_ - seconds(now - at_).count() * rate_;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        seconds(std::max(0.0, left) / rate_));
}

} // namespace agatespread
