#pragma once

#include <agatespread/base.h>
#include <agatespread/wire.h>

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
    std::chrono::nanoseconds service_time{0}; ///< Mean time of a call on a slot, over all kinds.
    std::chrono::nanoseconds wait{0};         ///< Until a slot is free for a new call.
    kind_times kinds{};                       ///< The same mean for the kinds it serves.
    std::chrono::nanoseconds link_delay{0};   ///< How long an answer waits for the host's link.
    std::chrono::nanoseconds transmission_time{0}; ///< Time on that link of a mean answer.
    double failure_ratio = 0;                      ///< Share of its calls that the upstream fails.
};

/// Shares travel in messages as thousandths.
std::uint64_t to_permille(double share);
double from_permille(std::uint64_t permille);

/// An upstream that a request may go to.
struct placement_candidate {
    reported_load load;
    std::uint32_t sent_since_report = 0;         ///< Requests sent by this node since the report.
    std::chrono::nanoseconds round_trip_time{0}; ///< Round trip to the upstream's node.
    bool local_domain = true;
};

/// A request that looks for an upstream.
struct placement_request {
    std::uint32_t kind = 0;                ///< As in `kind_time`; 0 for none.
    std::chrono::nanoseconds time_left{0}; ///< Until an answer loses most of its value.
    double answer_bytes = 0;               ///< Mean size of the answers to its kind.
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
    /// The same for large answers, as operators pay for the bytes between domains (measured against
    /// 0.7 and 0.5 for all answers, docs/rounds.md, round 11).
    double large_far_gain = 0.4;
    /// Mean size in bytes from which answers count as large: between the pages of 5 kB and the
    /// pictures of 90 kB that the users' services send.
    double large_answer_bytes = 30000;
    /// Upstreams that one choice looks at. All nodes hold the same reports, which are up to a
    /// period old: with more, they would all choose the same few upstreams until the next one.
    std::size_t sample = 2;
    /// Assumed before any upstream has answered; one that has not counts as fast as the others
    /// on average.
    std::chrono::nanoseconds unknown_service_time = std::chrono::milliseconds(100);
};

/// Returns how long a request with a time on a slot is expected to take at a candidate.
std::chrono::nanoseconds expected_time(const placement_candidate& candidate,
                                       std::chrono::nanoseconds service);

/// Chooses the upstream that is expected to answer first, or nothing without candidates.
///
/// Load pattern: steady load near the capacity, with upstreams of different speeds and a failure
/// domain whose callers need more slots than it has. Requests stay in their failure domain, as
/// links between domains are slow and expensive, until its upstreams are expected to answer
/// later than the local share of `time_left`, and another domain clearly sooner. Among many
/// upstreams, the better of two is taken that are drawn in proportion to their speed. A failure
/// costs the caller `time_left`, which counts by the share of calls that an upstream fails.
///
/// Service times are compared for the kind of the request, and a queue counts by its work. With one
/// mean for all kinds, an upstream that has just served short ones looks faster than it is and
/// draws most requests, while its neighbours are idle.
std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           const placement_request& request,
                                           const placement_options& options,
                                           const random_source& random);

} // namespace agatespread
