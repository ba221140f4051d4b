#pragma once

#include <agatespread/base.h>

#include <chrono>

namespace agatespread {

/// The parameters of a failure rate estimate.
struct failure_rate_options {
    /// Weight of one outcome in the EWMA: 20 consecutive failures raise the share to two thirds.
    double outcome_weight = 0.05;
    /// Smaller shares are reported as 0. A few scattered failures do not predict the next call, and
    /// small differences between healthy upstreams would unbalance their load.
    double min_reported_share = 0.15;
    /// Time after which the share is halved if there are no outcomes, so that an upstream that gets
    /// few calls because of its failures is tried again.
    std::chrono::milliseconds half_life = std::chrono::seconds(2);
};

/// Estimates the share of recent calls that an upstream failed, as an EWMA with decay over time.
///
/// Load pattern: an upstream immediately fails part of its calls while its health check passes. Its
/// slots appear free and its failures are fast, so that it would get most of the calls.
class failure_rate {
public:
    explicit failure_rate(const failure_rate_options& options = {}) : options_(options) {}

    /// Records the outcome of a call.
    void add(bool failed, time_point now);

    /// Returns the share of failures, between 0 and 1.
    double share(time_point now) const;

private:
    double decayed_share(time_point now) const;

    failure_rate_options options_;
    double share_ = 0;
    time_point updated_at_;
};

} // namespace agatespread
