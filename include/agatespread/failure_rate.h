#pragma once

#include <agatespread/base.h>

#include <chrono>

namespace agatespread {

struct failure_rate_options {
    /// Weight of one outcome: 20 failures in a row bring the share to two thirds.
    double weight = 0.05;
    /// Smaller shares count as none: a few scattered failures say nothing about the next call, and
    /// differences between sound upstreams would unbalance their load.
    double ignored_share = 0.15;
    /// Time in which the share halves without an outcome, so that an upstream that gets little
    /// work because it failed is tried again.
    std::chrono::milliseconds half_life = std::chrono::seconds(2);
};

/// Estimates the share of its calls that an upstream fails at present.
///
/// Load pattern: an upstream that fails part of its calls at once while its health check is good.
/// Its slots look free and its failures are fast, so that it would draw most of the calls.
class failure_rate {
public:
    explicit failure_rate(const failure_rate_options& options = {}) : options_(options) {}

    /// Counts an outcome.
    void add(bool failed, time_point now);

    /// Returns the share, between 0 and 1.
    double share(time_point now) const;

private:
    double estimate(time_point now) const;

    failure_rate_options options_;
    double share_ = 0;
    time_point at_;
};

} // namespace agatespread
