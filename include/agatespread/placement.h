#pragma once

#include <agatespread/base.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace agatespread {

/// The load of an upstream as its node reported it.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::chrono::nanoseconds service_time{0}; ///< Mean time of a call on a slot.
    std::chrono::nanoseconds link_delay{0};   ///< How long an answer waits for the host's link.
};

/// An upstream that a request may go to.
struct placement_candidate {
    reported_load load;
    std::uint32_t sent_since = 0;         ///< Requests sent by this node since the report.
    std::chrono::nanoseconds distance{0}; ///< Round trip to the upstream's node.
    bool local_domain = true;
};

/// The weights of a placement.
struct placement_options {
    /// Costs within this share of the service time count as equal, so that nodes with the same
    /// reports do not all choose the same upstream.
    double spread = 0.25;
    /// Part of the time to the target latency that a request may take in the own failure domain
    /// before it goes to another one; the rest absorbs the spread of service times.
    double local_share = 0.8;
    /// Another domain must be expected to answer within this part of the own domain's time: the
    /// estimates are means of few requests, and differ as much between equal upstreams.
    double far_gain = 0.7;
    /// Upstreams that one choice looks at. All nodes hold the same reports, which are up to a
    /// period old: with more, they would all choose the same few upstreams until the next one.
    std::size_t sample = 2;
    /// Assumed before any upstream has answered; one that has not counts as fast as the others
    /// on average.
    std::chrono::nanoseconds unknown_service_time = std::chrono::milliseconds(100);
};

/// Returns how long a request is expected to take at a candidate.
std::chrono::nanoseconds expected_time(const placement_candidate& candidate,
                                       const placement_options& options);

/// Chooses the upstream that is expected to answer first, or nothing without candidates.
///
/// Load pattern: steady load near the capacity, with upstreams of different speeds and a failure
/// domain whose callers need more slots than it has. Requests stay in their failure domain, as
/// links between domains are slow and expensive, until its upstreams are expected to answer
/// later than the local share of `time_left`, and another domain clearly sooner. Among many
/// upstreams, the better of two is taken that are drawn in proportion to their speed.
std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           std::chrono::nanoseconds time_left,
                                           const placement_options& options,
                                           const random_source& random);

} // namespace agatespread
