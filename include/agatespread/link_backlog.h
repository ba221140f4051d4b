#pragma once

#include <agatespread/base.h>

#include <chrono>
#include <cstdint>

namespace agatespread {

/// Estimates how long bytes wait for the host's link, from what the process sends.
///
/// Load pattern: large answers fill a slow link for longer than the work behind them takes, while
/// the slots of the upstream are free. The estimate drains at the link's rate.
class link_backlog {
public:
    /// `bytes_per_second` 0 stands for a link that never fills.
    explicit link_backlog(double bytes_per_second) : rate_(bytes_per_second) {}

    /// Counts bytes that are handed to the link.
    void add(std::size_t bytes, time_point now);

    /// Returns how long further bytes wait.
    std::chrono::nanoseconds delay(time_point now) const;

private:
    double rate_;
    double bytes_ = 0;
    time_point at_;
};

} // namespace agatespread
