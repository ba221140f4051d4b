#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace agatespread {

/// Estimates how long ago the callers of one rule sent the first attempt of a request, from the
/// time that they will still wait.
///
/// Load pattern: a caller that repeats a request waits only for what is left of its time, so that a
/// short wait shows an old request. But callers also differ in the wait of their first attempt.
/// Only a wait that is shorter than nearly all recent ones counts as that of a repeated request,
/// and only by the difference: a request that is taken for older than it is comes last in each
/// queue.
class attempt_age {
public:
    /// Records the wait of an attempt and returns the age of its request, which is at least 0. The
    /// estimate is low rather than high.
    std::chrono::milliseconds record(std::chrono::milliseconds wait);

private:
    static constexpr std::size_t sample_size = 64;

    std::array<std::chrono::milliseconds, sample_size> recent_{}; ///< The latest waits.
    std::size_t recorded_ = 0;
};

} // namespace agatespread
