#pragma once

#include <agatespread/base.h>

#include <chrono>
#include <cstddef>
#include <optional>

namespace agatespread {

/// The parameters of a rate limiter.
struct rate_limiter_options {
    /// The bucket holds the tokens of this time, but at least one.
    std::chrono::milliseconds burst = std::chrono::milliseconds(250);
    /// Lower rates are raised to this one, in tokens per second; otherwise the end of a limit of 0
    /// would never be noticed.
    double min_rate = 0.5;
};

/// A token bucket whose rate may change; without a rate, it has tokens at any time.
class rate_limiter {
public:
    explicit rate_limiter(const rate_limiter_options& options = {}) : options_(options) {}

    /// Sets the rate in tokens per second; nothing removes the limit. A new limit starts with a
    /// full bucket.
    void set_rate(std::optional<double> per_second, time_point now);

    /// Returns the rate in use, in tokens per second.
    std::optional<double> rate() const { return rate_; }

    /// Returns the time until a token is left after `ahead` others were taken; 0 if there is one.
    std::chrono::nanoseconds delay(std::size_t ahead, time_point now) const;

    /// Takes a token if there is one.
    bool try_take(time_point now);

private:
    double depth() const;
    double tokens(time_point now) const;

    rate_limiter_options options_;
    std::optional<double> rate_;
    double tokens_ = 0;
    time_point updated_at_;
};

} // namespace agatespread
