#pragma once

#include <agatespread/base.h>

#include <absl/container/flat_hash_map.h>

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

    /// Counts the body of a message that is handed to the link; its headers and those of its
    /// packets are added.
    void add(std::size_t body_bytes, time_point now);

    /// Counts an answer of the own upstream to another host; kinds are those of `kind_of`.
    void add_response(std::uint32_t kind, std::size_t body_bytes, time_point now);

    /// Returns the mean time for which answers of the own upstream occupy the link.
    std::chrono::nanoseconds transmission_time() const;

    /// Returns the same for the answers to one kind of request; 0 before the first one.
    std::chrono::nanoseconds transmission_time(std::uint32_t kind) const;

    /// Returns whether the link has room for the answer to a request of a kind.
    ///
    /// Load pattern: more large answers than the link carries. Without a bound the wait grows until
    /// callers give up, and reports, configuration and all small answers of the host wait as long.
    bool accepts(std::uint32_t kind, time_point now) const;

    /// Returns how long further bytes wait.
    std::chrono::nanoseconds delay(time_point now) const;

private:
    std::chrono::nanoseconds time_of(double bytes) const;

    double rate_;
    double bytes_ = 0;
    double mean_answer_ = 0;                           ///< Bytes; 0 before the first answer.
    absl::flat_hash_map<std::uint32_t, double> kinds_; ///< The same for each kind.
    time_point at_;
};

} // namespace agatespread
