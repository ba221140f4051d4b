#include <agatespread/attempt_age.h>

#include <algorithm>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// Of ten attempts at most one is taken for a repeated one while none is.
constexpr std::size_t repeated_share_divisor = 10;

// Attempts before the first estimate.
constexpr std::size_t min_sample_size = 10;

} // namespace

milliseconds attempt_age::record(milliseconds wait)
{
    recent_[recorded_++ % sample_size] = wait;
    const std::size_t known = std::min(recorded_, sample_size);
    if (known < min_sample_size) {
        return milliseconds(0);
    }
    std::array<milliseconds, sample_size> sorted = recent_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(known);
    const auto shortest_first =
        sorted.begin() + static_cast<std::ptrdiff_t>(known / repeated_share_divisor);
    std::nth_element(sorted.begin(), shortest_first, end);
    return std::max(*shortest_first - wait, milliseconds(0));
}

} // namespace agatespread
