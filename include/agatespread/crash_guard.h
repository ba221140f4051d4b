#pragma once

#include <agatespread/base.h>
#include <agatespread/wire.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string_view>
#include <vector>

namespace agatespread {

/// The durations and limits of the crash guard.
struct crash_guard_options {
    std::chrono::milliseconds suspect_duration = std::chrono::minutes(10);
    std::chrono::milliseconds initial_block = std::chrono::minutes(10);
    std::chrono::milliseconds max_block = std::chrono::hours(1);
    /// How long after the end of a block the next one is twice as long; later blocks start at
    /// `initial_block` again.
    std::chrono::milliseconds block_count_retention = std::chrono::hours(4);
    /// Connections lost within this time of a crash do not count as further crashes.
    std::chrono::milliseconds crash_window = std::chrono::seconds(1);
    std::size_t max_fingerprints = 8192;
    std::size_t max_waiting = 32; ///< Suspects queued for the upstream; more are refused.
};

/// Returns a hash that identifies equal requests and is the same on every node.
std::uint64_t request_fingerprint(std::string_view service, std::string_view method,
                                  std::string_view path, std::string_view body);

/// The state of a fingerprint.
enum class suspicion : std::uint8_t { none, suspect, blocked };

/// The result of `check`; `retry_after` is the remaining time of a block.
struct guard_check {
    suspicion state = suspicion::none;
    std::chrono::milliseconds retry_after{0};
};

/// Whether a call may be sent to this node's upstream.
enum class guard_verdict : std::uint8_t {
    pass,
    wait,  ///< Another suspect is running; `leave` or `crashed` releases the call.
    refuse ///< The fingerprint is blocked, or the queue of suspects is full.
};

/// The result of `enter` and `try_start`.
struct guard_decision {
    guard_verdict verdict = guard_verdict::pass;
    std::chrono::milliseconds retry_after{0};
};

/// The actions that follow an event: calls to send or to refuse, and reports for other nodes.
struct guard_actions {
    std::vector<std::uint64_t> pass;
    std::vector<std::uint64_t> refuse;
    std::vector<crash_report> reports;
    bool crash_counted = false;
};

/// Detects requests that crash upstreams and blocks them.
///
/// All fingerprints in flight at a crash become suspects. Suspects run one at a time on an
/// upstream, so that a crash identifies the one suspect in flight, whose fingerprint is blocked. A
/// suspect that completes is cleared.
///
///     crash_guard guard({});
///     guard_decision entry = guard.enter(call, fingerprint, false, now);
///     entry = guard.try_start(call, now);
///     guard_actions next = guard.leave(call, true, now);
class crash_guard {
public:
    explicit crash_guard(const crash_guard_options& options);

    /// Returns the state of a fingerprint; called before a request is sent to any upstream.
    guard_check check(std::uint64_t fingerprint, time_point now) const;

    /// Marks a fingerprint as suspect, such as when a response reports that its upstream crashed.
    void suspect(std::uint64_t fingerprint, time_point now);

    /// Blocks a fingerprint that a response reports as the suspect in flight at a crash.
    void confirm(std::uint64_t fingerprint, time_point now);

    /// Admits a call to this node's upstream; `suspected` is set if its sender lists it as suspect.
    guard_decision enter(std::uint64_t call, std::uint64_t fingerprint, bool suspected,
                         time_point now);

    /// Checks a call again right before it is sent to the upstream and marks it as running.
    ///
    /// The fingerprint may have become suspect while the call was queued for a slot. On `wait` the
    /// caller returns the slot, and the call is released as after `enter`.
    guard_decision try_start(std::uint64_t call, time_point now);

    /// Ends a call; `completed` is set if the upstream sent a complete response.
    guard_actions leave(std::uint64_t call, bool completed, time_point now);

    /// Ends a call whose connection was lost because this node's upstream crashed.
    ///
    /// The connections of the other running calls are lost within `crash_window` for the same
    /// reason; they are not counted as further crashes.
    guard_actions crashed(std::uint64_t call, time_point now);

    /// Applies a report of another node; returns whether it changed the state and is to be
    /// forwarded.
    bool receive(const crash_report& report, time_point now);

    /// Removes expired fingerprints.
    void expire(time_point now);

    /// Returns the number of stored fingerprints.
    std::size_t size() const { return size_.load(std::memory_order_relaxed); }

private:
    struct entry {
        suspicion state = suspicion::none;
        std::uint32_t blocks = 0;
        time_point until;      ///< End of the suspicion or block.
        time_point expires_at; ///< When the entry and its number of blocks expire.
    };

    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::uint64_t, entry> entries;
    };

    struct call {
        std::uint64_t fingerprint = 0;
        bool holds_suspect_slot = false; ///< It is the one suspect that may run.
        bool running = false;
        bool in_counted_crash = false; ///< Was running at a crash that is already counted.
    };

    shard& shard_of(std::uint64_t fingerprint) const;
    static guard_check current_state(const entry& known, time_point now);
    entry& find_or_insert(shard& owning_shard, std::uint64_t fingerprint, time_point now);
    static void evict(shard& owning_shard, time_point now, std::atomic<std::size_t>& size);
    bool make_suspect(std::uint64_t fingerprint, time_point now);
    std::chrono::milliseconds block(std::uint64_t fingerprint, time_point now);
    bool clear(std::uint64_t fingerprint, time_point now);
    bool block_until(std::uint64_t fingerprint, std::uint32_t blocks,
                     std::chrono::milliseconds length, time_point now);
    guard_decision admit(std::uint64_t id, call& entered, time_point now);
    void release(guard_actions& actions, time_point now);
    void attribute_crash(guard_actions& actions, time_point now);

    const crash_guard_options options_;
    mutable std::array<shard, 16> shards_;
    std::atomic<std::size_t> size_{0};

    std::mutex calls_mutex_; ///< Guards the members below; locked before a shard's mutex.
    absl::flat_hash_map<std::uint64_t, call> calls_;
    std::deque<std::uint64_t> waiting_;
    bool suspect_running_ = false;
    time_point last_crash_;
};

} // namespace agatespread
