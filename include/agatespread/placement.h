#pragma once

#include <agatespread/base.h>
#include <agatespread/wire.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace agatespread {

/// The load of an upstream, as reported by its node.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::chrono::nanoseconds service_time{0}; ///< Mean time on a slot, over all kinds.
    std::chrono::nanoseconds wait{0};       ///< Expected time until a slot is free for a new call.
    kind_times kinds{};                     ///< Mean times for each kind of call.
    std::chrono::nanoseconds link_delay{0}; ///< Time that a response waits for the host's link.
    std::chrono::nanoseconds transmission_time{0}; ///< Mean time to send a response over that link.
    /// Expected time to receive a body of `reference_upload_bytes`; 0 where none are received.
    std::chrono::nanoseconds upload_time{0};
    double failure_ratio = 0; ///< Share of calls that fail, between 0 and 1.
};

/// Converts a share to thousandths, the form used in messages, and back. Values outside of the
/// range are clamped.
std::uint64_t to_permille(double share);
double from_permille(std::uint64_t permille);

/// An upstream that a request may be sent to.
struct placement_candidate {
    reported_load load;
    std::uint32_t sent_since_report = 0;         ///< Requests that this node sent since the report.
    std::chrono::nanoseconds round_trip_time{0}; ///< Between this node and the upstream's node.
    bool local_domain = true;
};

/// The properties of a request that placement depends on.
struct placement_request {
    std::uint32_t kind = 0;                        ///< As in `kind_time`; 0 for none.
    std::chrono::nanoseconds time_to_objective{0}; ///< Until the response loses most of its value.
    double response_bytes = 0;                     ///< Mean size of the responses to its kind.
    double upload_bytes = 0;                       ///< Of the request's body; 0 unless it is large.
};

/// The parameters of placement.
struct placement_options {
    /// Random addition to each cost, as a share of the service time, so that nodes with the same
    /// reports do not all choose the same upstream.
    double cost_jitter = 0.25;
    /// Share of `time_to_objective` within which the own failure domain must be expected to
    /// respond; otherwise other domains are considered. The rest absorbs the variance of service
    /// times.
    double local_objective_share = 0.8;
    /// Another domain is chosen only if its expected time is at most this share of the local one.
    /// The estimates are means of few requests and may differ by as much between equal upstreams.
    double remote_time_ratio = 0.7;
    /// The same for large responses, because traffic between domains is billed by the byte.
    double large_response_remote_time_ratio = 0.4;
    /// Mean size in bytes from which responses count as large: between the pages of 5 kB and the
    /// images of 90 kB that the upstreams send.
    double large_response_bytes = 30000;
    /// Upstreams that are compared for one request. All nodes have the same reports, which are up
    /// to one period old: with a larger sample, all nodes would choose the same few upstreams until
    /// the next report.
    std::size_t sample_size = 2;
    /// Assumed before any upstream has responded. After that, an upstream without a time of its own
    /// gets the mean of the others.
    std::chrono::nanoseconds default_service_time = std::chrono::milliseconds(100);
};

/// Returns the expected time until the response of a candidate for a request with the given
/// service time: round trip, queue, service and transmission.
std::chrono::nanoseconds expected_time(const placement_candidate& candidate,
                                       std::chrono::nanoseconds service);

/// The terms of the cost of sending a request to a candidate.
struct placement_terms {
    std::chrono::nanoseconds service_time{0}; ///< Expected for the request's kind.
    std::chrono::nanoseconds response{0};     ///< Expected time until the response.
    std::chrono::nanoseconds failures{0};     ///< Expected loss of time by failures.
    std::chrono::nanoseconds slot_delay{0};   ///< Caused for the requests that wait for a slot.
    std::chrono::nanoseconds link_delay{0};   ///< Caused for the responses that wait for the link.
    /// The sum of the above and of the random addition; nothing if the candidate was not drawn.
    std::optional<std::chrono::nanoseconds> cost;
};

/// Why a candidate was chosen.
enum class placement_reason : std::uint8_t {
    none,      ///< There was no candidate.
    in_domain, ///< It is in the own failure domain, which responds in time.
    no_better, ///< No other failure domain is expected to respond clearly sooner.
    faster,    ///< It is in another failure domain, and clearly faster.
    no_local,  ///< The own failure domain has no candidate.
};

/// Returns the name of a reason, such as "in_domain".
std::string_view name_of(placement_reason reason);

/// A choice of `choose_upstream` with the terms of each candidate's cost.
struct placement_choice {
    std::optional<std::size_t> chosen;
    placement_reason reason = placement_reason::none;
    std::vector<placement_terms> terms; ///< In the order of the candidates.
};

/// Chooses as `choose_upstream` does, with the same draws, and returns why.
placement_choice explain_upstream(const std::vector<placement_candidate>& candidates,
                                  const placement_request& request,
                                  const placement_options& options, const random_source& random);

/// Returns the index of the upstream with the lowest expected cost, or nothing without candidates.
///
/// Load pattern: steady load near the capacity, with upstreams of different speeds and a failure
/// domain whose callers need more slots than it has. Requests stay in their failure domain, as
/// links between domains are slow and expensive, until its upstreams are expected to respond
/// later than `local_objective_share` of `time_to_objective`, and another domain clearly sooner.
/// Among many upstreams, two are drawn at random, weighted by throughput, and the cheaper one is
/// chosen. A failure costs the caller `time_to_objective`, weighted by the upstream's failure
/// ratio.
///
/// Service times are compared for the kind of the request, and a queue counts by its expected
/// service time rather than its length. With one mean for all kinds, an upstream that has just
/// served short calls appears faster than it is and gets most requests, while the others are idle.
std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           const placement_request& request,
                                           const placement_options& options,
                                           const random_source& random);

} // namespace agatespread
