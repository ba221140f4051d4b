#include <agatespread/rate_limiter.h>

#include <algorithm>

namespace agatespread {

double rate_limiter::depth() const
{
    return std::max(1.0, *rate_ * std::chrono::duration<double>(options_.burst).count());
}

double rate_limiter::tokens(time_point now) const
{
    const double elapsed = std::chrono::duration<double>(now - updated_at_).count();
    return std::min(depth(), tokens_ + *rate_ * std::max(elapsed, 0.0));
}

void rate_limiter::set_rate(std::optional<double> per_second, time_point now)
{
    if (!per_second) {
        rate_.reset();
        return;
    }
    const double next = std::max(*per_second, options_.min_rate);
    const std::optional<double> available = rate_ ? std::make_optional(tokens(now)) : std::nullopt;
    rate_ = next;
    tokens_ = std::min(depth(), available.value_or(depth()));
    updated_at_ = now;
}

std::chrono::nanoseconds rate_limiter::delay(std::size_t ahead, time_point now) const
{
    if (!rate_) {
        return std::chrono::nanoseconds(0);
    }
    const double missing = static_cast<double>(ahead) + 1 - tokens(now);
    const std::chrono::duration<double> wait(std::max(missing, 0.0) / *rate_);
    return std::chrono::ceil<std::chrono::nanoseconds>(wait);
}

bool rate_limiter::try_take(time_point now)
{
    if (!rate_) {
        return true;
    }
    const double available = tokens(now);
    if (available < 1) {
        return false;
    }
    tokens_ = available - 1;
    updated_at_ = now;
    return true;
}

} // namespace agatespread
