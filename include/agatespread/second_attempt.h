#pragma once

#include <agatespread/base.h>
#include <agatespread/placement.h>
#include <agatespread/repeat_budget.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespread {

/// When a request is sent to a second upstream although the first one may still respond.
struct second_attempt_options {
    /// Second attempts per request of a service in any window; 0 means none.
    double share = 0;
    std::chrono::milliseconds window = std::chrono::seconds(10);
    /// Share of the responses of a kind that arrive before the second upstream is asked.
    double quantile = 0.95;
    /// A shorter delay is less than the round trip to another failure domain.
    std::chrono::milliseconds min_delay = std::chrono::milliseconds(10);
    /// Share of the slots of the other upstreams that must be free. The demand of a failure domain
    /// varies by half within seconds, so that a service with fewer free slots may soon have none.
    double min_free_share = 0.25;
    /// Share of recent requests beyond the delay from which most upstreams count as slow. One in 20
    /// is expected.
    double slow_share = 0.5;
};

/// Why no second upstream is asked.
enum class second_refusal : std::uint8_t {
    off,            ///< The setting does not allow second attempts.
    not_idempotent, ///< The rule does not allow a request to run twice.
    suspect,        ///< The request was in flight when an upstream crashed.
    attempts,       ///< Another attempt could exceed the rule's number of attempts.
    unmeasured,     ///< Too few responses of the kind have been measured.
    slow_upstreams, ///< Most upstreams of the service are slow.
    deadline,       ///< A second response would probably arrive after the deadline.
    no_slots,       ///< The service is short of slots, or no other upstream has a free one.
    no_upstream,    ///< There is no other upstream.
    share,          ///< The limit on second attempts is reached.
    retry_budget,   ///< The repeat budget of the mesh is used up.
    stopping,       ///< The node stops.
};

/// Returns the name of a reason, such as "no_slots".
std::string_view name_of(second_refusal refusal);

/// A request whose first attempt is in flight.
struct second_attempt_request {
    std::string_view service;
    std::uint32_t kind = 0; ///< As in `kind_time`.
    bool idempotent = false;
    bool suspect = false;
    std::uint32_t attempts = 1; ///< That reached an upstream or may, with the one in flight.
    std::uint32_t max_attempts = 1;
    std::chrono::nanoseconds time_left{0}; ///< Until the deadline.
};

/// Decides whether and when a request is sent to a second upstream, from the times of earlier
/// responses.
///
/// Load pattern: moderate load, with single upstreams that are slow for a moment, so that a few
/// responses take several times as long as most. Under high load, or when all upstreams are slow,
/// second attempts would take the slots that first attempts need; none are made then.
///
///     second_attempts hedging(options);
///     hedging.count_request("library", now);
///     std::optional<std::chrono::nanoseconds> wait = hedging.delay("library", kind);
///     // After the delay without a response:
///     hedging.record_overdue("library", kind);
///     if (!hedging.refuse(request, others, now)) { hedging.charge("library", now); /* send */ }
class second_attempts {
public:
    explicit second_attempts(const second_attempt_options& options);

    bool enabled() const { return options_.share > 0; }

    /// Counts a request of a caller for a service.
    void count_request(std::string_view service, time_point now);

    /// Records the time from a first attempt to its response. `overdue` is whether
    /// `record_overdue` was called for it. An attempt that was cancelled because the second one
    /// won is recorded with the time until then: without it, the delay would shrink with each
    /// success.
    void record(std::string_view service, std::uint32_t kind, std::chrono::nanoseconds taken,
                bool overdue);

    /// Records that a first attempt has no response after the delay.
    void record_overdue(std::string_view service, std::uint32_t kind);

    /// Returns the time after which a second upstream is asked, or nothing before enough responses
    /// have been measured.
    std::optional<std::chrono::nanoseconds> delay(std::string_view service,
                                                  std::uint32_t kind) const;

    /// Returns why no second upstream is asked, or nothing if one is. `others` are the upstreams
    /// that were not asked yet.
    std::optional<second_refusal> refuse(const second_attempt_request& request,
                                         const std::vector<placement_candidate>& others,
                                         time_point now) const;

    /// Counts a second attempt that `refuse` has allowed.
    void charge(std::string_view service, time_point now);

private:
    static constexpr std::size_t kept_times = 256;
    static constexpr std::size_t kept_results = 20;

    struct measured {
        std::array<std::chrono::nanoseconds, kept_times> times{}; ///< The latest.
        std::size_t recorded = 0;
        std::chrono::nanoseconds percentile{0}; ///< At `quantile`; 0 before enough times.
        std::chrono::nanoseconds median{0};
        std::array<bool, kept_results> overdue{}; ///< Of the latest attempts.
        std::size_t results = 0;
        std::uint64_t last_used = 0;
    };

    using key = std::pair<std::string, std::uint32_t>;

    measured& times_of(std::string_view service, std::uint32_t kind);
    const measured* find(std::string_view service, std::uint32_t kind) const;
    bool most_are_slow(const measured& known) const;
    void update_quantiles(measured& known) const;

    const second_attempt_options options_;
    repeat_budget limit_;
    std::map<key, measured> times_;
    std::uint64_t uses_ = 0;
};

/// Returns the indices of the upstreams that a second attempt may be sent to: those with a free
/// slot, of the own failure domain if there are any.
std::vector<std::size_t> second_candidates(const std::vector<placement_candidate>& others);

} // namespace agatespread
