#pragma once

#include <agatespread/base.h>
#include <agatespread/wire.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string_view>
#include <tuple>
#include <vector>

namespace agatespread {

/// The limits of the own upstream's admission queue.
struct admission_options {
    std::uint32_t queue_length = 100;
    std::chrono::milliseconds ramp = std::chrono::seconds(10); ///< From cold start to all slots.
    double ramp_start = 0.2;                                   ///< Share of slots at the start.
    std::chrono::milliseconds probe_period = std::chrono::seconds(1); ///< See `admission`.
    std::chrono::milliseconds min_retry_after = std::chrono::milliseconds(100);
    double late_queue = 0.5; ///< Queued calls per slot up to which late calls are still taken.
};

/// A call that asks for a slot.
struct admission_request {
    std::uint64_t id = 0;
    std::uint8_t priority = 5; ///< 0 is the most urgent.
    time_point deadline;
    std::uint32_t kind = 0; ///< Groups calls with similar service times, such as a class; not 0.
    time_point target{};    ///< When an answer loses most of its value; the epoch for never.
};

/// Why a call was refused; every refusal happens before the first byte.
enum class refusal_reason : std::uint8_t {
    too_late,    ///< The call could not finish within its deadline.
    queue_full,  ///< More urgent calls fill the queue.
    shed,        ///< A more urgent call took the place.
    draining,    ///< The upstream takes no new work.
    unavailable, ///< The upstream is gone or not ready.
    expired      ///< The deadline passed in the queue.
};

/// Returns the name of a reason, such as "too_late".
std::string_view name_of(refusal_reason reason);

/// A call that is refused as not run.
struct admission_refusal {
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::unavailable;
    std::chrono::milliseconds retry_after{0};
};

/// What the caller of `admission` does next: forward `run`, answer `refused`.
struct admission_actions {
    std::vector<std::uint64_t> run;
    std::vector<admission_refusal> refused;
};

/// The load reported in answers.
struct admission_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::chrono::nanoseconds service_time{0}; ///< Mean over all kinds; 0 before the first answer.
    std::chrono::nanoseconds wait{0};         ///< Until a slot is free for a new call.
    kind_times kinds{};
};

/// Grants the slots of the own upstream to calls by class priority and deadline.
///
/// A call with a target latency that it can still meet goes before all calls that are late, so
/// that under sustained overload the slots earn the full value of what they run. A late call is
/// taken only while the queue is short, and refused at once otherwise.
///
/// A call is refused at once when the observed service times show that it cannot finish within
/// its deadline. An idle upstream, and each kind once in a probe period, takes a call in spite of
/// the estimate; otherwise an estimate that was too high would never be corrected.
///
///     admission gate({});
///     gate.set_upstream(upstream_state::ready, 10, now);
///     admission_actions next = gate.offer({call, 0, now + std::chrono::seconds(1)}, now);
class admission {
public:
    explicit admission(const admission_options& options);

    /// Takes the state and slots announced by the upstream.
    admission_actions set_upstream(upstream_state state, std::uint32_t slots, time_point now);

    /// Takes a new call.
    admission_actions offer(const admission_request& request, time_point now);

    /// Ends a running call; `completed` tells whether its duration is a service time.
    admission_actions finish(std::uint64_t id, bool completed, time_point now);

    /// Ends a call whose caller went away, queued or running.
    admission_actions cancel(std::uint64_t id, time_point now);

    /// Refuses queued calls that can no longer finish in time and starts others as the ramp grows.
    admission_actions expire(time_point now);

    /// Returns the load of the upstream.
    admission_load load(time_point now) const;

    /// Returns whether no call is queued or running.
    bool idle() const;

private:
    using nanoseconds = std::chrono::nanoseconds;
    /// Late, priority, due time, id; the most urgent first.
    using order = std::tuple<bool, std::uint8_t, time_point, std::uint64_t>;

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
        bool late = false; ///< Cannot meet its target any more.
    };

    static order place_of(const call& queued);
    bool meets_target(const call& queued, nanoseconds wait, time_point now) const;
    bool late_calls_fit(time_point now) const;
    std::uint32_t open_slots(time_point now) const;
    nanoseconds expected_duration(std::uint32_t kind) const;
    nanoseconds wait_behind(nanoseconds work, std::uint32_t slots) const;
    nanoseconds expected_wait(const order& place, time_point now) const;
    bool take_probe(std::uint32_t kind, time_point now);
    bool fits(const admission_request& request, const order& place, time_point now);
    std::chrono::milliseconds retry_after(time_point now) const;
    void refuse(std::uint64_t id, refusal_reason reason, time_point now,
                admission_actions& actions);
    void refuse_queue(refusal_reason reason, time_point now, admission_actions& actions);
    void drop_late(time_point now, admission_actions& actions);
    void fill(time_point now, admission_actions& actions);
    void record(const call& ended, time_point now);
    void note_kind(std::uint32_t kind, nanoseconds mean);

    const admission_options options_;
    mutable std::mutex mutex_;
    upstream_state state_ = upstream_state::gone;
    std::uint32_t slots_ = 0;
    time_point ready_since_;
    std::uint32_t running_ = 0;
    std::map<order, nanoseconds> queue_; ///< With the expected time on a slot.
    absl::flat_hash_map<std::uint64_t, call> calls_;
    absl::flat_hash_map<std::uint32_t, service_time> times_;
    kind_times kinds_; ///< The latest first.
    service_time overall_;
};

} // namespace agatespread
