#pragma once

#include <agatespread/base.h>
#include <agatespread/rate_limiter.h>
#include <agatespread/wire.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace agatespread {

/// The limits of admission control for the node's own upstream.
struct admission_options {
    std::uint32_t queue_length = 100;
    std::chrono::milliseconds ramp = std::chrono::seconds(10); ///< From cold start to all slots.
    double initial_slot_share = 0.2; ///< Share of the slots that are available at first.
    std::chrono::milliseconds probe_period = std::chrono::seconds(1); ///< See `admission`.
    std::chrono::milliseconds min_retry_after = std::chrono::milliseconds(100);
    /// Time for which queued calls are still started after the upstream began to leave.
    std::chrono::milliseconds leaving_window = std::chrono::seconds(1);
    double late_call_queue_per_slot = 0.5; ///< Late calls are queued below this length per slot.
};

/// A call that requests a slot.
struct admission_request {
    std::uint64_t id = 0;
    std::uint8_t priority = 5; ///< 0 is the most urgent.
    time_point deadline;
    std::uint32_t kind = 0; ///< Calls with similar service times, such as a class; not 0.
    time_point objective{}; ///< When a response loses most of its value; the epoch for none.
    /// A call that an upstream makes during a run. It is served before all others until its
    /// deadline, as the run holds a slot of another upstream and is lost without it.
    bool nested = false;
    std::uint32_t tenant = 0; ///< Calls of equal priority share the slots by tenant; 0 for none.
};

/// The reason of a refusal. Calls are refused only before their first byte is forwarded.
enum class refusal_reason : std::uint8_t {
    too_late,    ///< The call could not finish within its deadline.
    queue_full,  ///< The queue is full of more urgent calls.
    shed,        ///< Removed from a full queue by a more urgent call.
    draining,    ///< The upstream accepts no new calls.
    unavailable, ///< The upstream is gone or not ready.
    expired      ///< The deadline passed while the call was queued.
};

/// Returns the name of a reason, such as `too_late`.
std::string_view name_of(refusal_reason reason);

/// A call that is refused as not run.
struct admission_refusal {
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::unavailable;
    std::chrono::milliseconds retry_after{0};
};

/// The actions for the user of `admission`: forward the calls of `run`, answer those of `refused`.
struct admission_actions {
    std::vector<std::uint64_t> run;
    std::vector<admission_refusal> refused;
};

/// The load reported in responses.
struct admission_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0; ///< Under a rate limit, at most as many as the limit keeps busy.
    std::chrono::nanoseconds service_time{0}; ///< Mean over all kinds; 0 before the first response.
    std::chrono::nanoseconds wait{0};         ///< Expected time until a new call can start.
    kind_times kinds{};
};

/// Admission control for the node's own upstream: assigns its slots to calls by priority and
/// deadline.
///
/// A call that can still meet its latency objective is served before all late calls, so that slots
/// are not spent on late responses under sustained overload. A late call is queued only while the
/// queue is short, and refused immediately otherwise.
///
/// Load pattern: short calls that upstreams make during their runs compete with long requests that
/// may queue for seconds. While an upstream serves many nested calls, the reported wait is theirs;
/// otherwise the queues of the others would hide from the nodes which upstream can take such a
/// call.
///
/// Load pattern: one tenant sends more than the others together. Among queued calls of one
/// priority, the order is that of start-time fair queueing (Goyal et al., 1996): no tenant gets
/// less than its equal share of the slots while another gets more.
///
/// An upstream that leaves gets no new calls, and queued ones only for a limited time; those that
/// cannot start within it are refused, so that another upstream can run them.
///
/// A call is refused immediately if the observed service times, or the rate limit of the upstream,
/// show that it cannot finish within its deadline. While the upstream is idle, and once per probe
/// period for each kind, a call is accepted regardless of the estimate; otherwise an estimate that
/// is too high would never be corrected.
///
///     admission gate({});
///     gate.set_upstream(upstream_state::ready, 10, now);
///     admission_actions next = gate.offer({call, 0, now + std::chrono::seconds(1)}, now);
class admission {
public:
    explicit admission(const admission_options& options);

    /// Sets the state and the number of slots announced by the upstream.
    admission_actions set_upstream(upstream_state state, std::uint32_t slots, time_point now);

    /// Limits the calls that are started per second, as the upstream demands; nothing removes the
    /// limit.
    ///
    /// Load pattern: an upstream under strain accepts fewer calls than its slots allow. Calls wait
    /// for the rate as they do for a slot, in the same order, and the reported load shows the
    /// resulting wait, so that callers choose other upstreams before they are refused.
    admission_actions set_rate_limit(std::optional<double> per_second, time_point now);

    /// Starts, queues or refuses a new call; a more urgent call may displace queued ones.
    admission_actions offer(const admission_request& request, time_point now);

    /// Ends a running call. `completed` states whether its duration is a complete service time.
    admission_actions finish(std::uint64_t id, bool completed, time_point now);

    /// Ends a queued or running call that its caller has cancelled.
    admission_actions cancel(std::uint64_t id, time_point now);

    /// Refuses queued calls that can no longer finish in time, and starts others on slots that the
    /// ramp has made available.
    admission_actions expire(time_point now);

    /// Returns the load of the upstream at `now`.
    admission_load load(time_point now) const;

    /// Returns whether no call is queued or running.
    bool idle() const;

private:
    using nanoseconds = std::chrono::nanoseconds;
    enum class rank : std::uint8_t { nested, on_time, late };
    /// Rank, priority, start tag of the tenant, objective or deadline, id; the most urgent first.
    using queue_key = std::tuple<rank, std::uint8_t, double, time_point, std::uint64_t>;

    struct service_time {
        nanoseconds mean{0};
        nanoseconds deviation{0};
        std::uint64_t samples = 0;
        time_point last_probe;
    };

    struct call {
        admission_request request;
        time_point started; ///< The epoch while queued.
        bool probe = false;
        bool late = false;    ///< Can no longer meet its latency objective.
        double start_tag = 0; ///< In seconds of slot time; 0 without a tenant.
        double cost = 0;      ///< By which the tenant's next start tag is later.
    };

    /// Start-time fair queueing among the tenants of one priority, in seconds of slot time.
    struct tenant_shares {
        double virtual_time = 0; ///< Start tag of the last started call.
        absl::flat_hash_map<std::uint32_t, double> next_tags;
    };

    static queue_key queue_key_of(const call& queued);
    static std::uint64_t id_of(const queue_key& key) { return std::get<4>(key); }
    void set_start_tag(call& next);
    void charge_tenant(const call& queued);
    void refund_tenant(const call& queued);
    void advance_tenants(const call& started);
    bool serves_nested(time_point now) const;
    double recent_nested_seconds(time_point now) const;
    nanoseconds deviation_of(std::uint32_t kind) const;
    bool can_meet_target(const call& queued, nanoseconds wait, time_point now) const;
    bool accepts_late_calls(time_point now) const;
    std::uint32_t available_slots(time_point now) const;
    std::uint32_t busy_slots_within_rate(time_point now) const;
    nanoseconds expected_service_time(std::uint32_t kind) const;
    nanoseconds wait_for_slot(nanoseconds work, std::uint32_t slots) const;
    nanoseconds wait_behind_queue(time_point now) const;
    nanoseconds expected_wait(const queue_key& key, time_point now) const;
    bool take_probe(std::uint32_t kind, time_point now);
    bool can_meet_deadline(const admission_request& request, nanoseconds wait, time_point now);
    std::chrono::milliseconds retry_after(time_point now) const;
    void refuse(std::uint64_t id, refusal_reason reason, time_point now,
                admission_actions& actions);
    void refuse_queue(refusal_reason reason, time_point now, admission_actions& actions);
    void refuse_expired(time_point now, admission_actions& actions);
    bool past_leaving_window(nanoseconds wait, time_point now) const;
    void start_queued(time_point now, admission_actions& actions);
    void record_service_time(const call& ended, time_point now);
    void update_recent_kinds(std::uint32_t kind, nanoseconds mean);

    const admission_options options_;
    mutable std::mutex mutex_;
    upstream_state state_ = upstream_state::gone;
    std::uint32_t slots_ = 0;
    time_point ready_since_;
    time_point leaving_since_; ///< While the state is `draining`.
    std::uint32_t running_ = 0;
    rate_limiter starts_;
    std::map<queue_key, nanoseconds> queue_; ///< Expected service time of each queued call.
    absl::flat_hash_map<std::uint64_t, call> calls_;
    absl::flat_hash_map<std::uint32_t, service_time> service_times_by_kind_;
    kind_times recent_kinds_; ///< The most recent first.
    service_time overall_service_time_;
    std::map<std::uint8_t, tenant_shares> tenant_shares_; ///< By priority.
    double nested_seconds_ = 0; ///< Recent slot time of nested calls, with an exponential decay.
    time_point nested_updated_at_;
};

} // namespace agatespread
