#pragma once

#include <agatespread/base.h>
#include <agatespread/wire.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace agatespread {

/// The durations and limits of the crash guard.
struct crash_guard_options {
    std::chrono::milliseconds suspect_duration = std::chrono::minutes(10);
    /// Short, because unrelated crashes may block a harmless request; each further block without a
    /// success is `block_growth` times as long.
    std::chrono::milliseconds initial_block = std::chrono::seconds(40);
    int block_growth = 10;
    std::chrono::milliseconds max_block = std::chrono::hours(24);
    /// How long after the end of a block the next one is longer; later blocks start at
    /// `initial_block` again.
    std::chrono::milliseconds block_count_retention = std::chrono::hours(4);
    /// While a fingerprint that was blocked or in flight at two crashes runs on one upstream, all
    /// nodes block it for this time, which suffices to learn how the call ended.
    std::chrono::milliseconds trial_duration = std::chrono::seconds(3);
    /// Most trials end sooner, by the response of a harmless request.
    std::chrono::milliseconds trial_retry_after = std::chrono::milliseconds(250);
    /// Crashes within this time of each other may have one cause outside of the requests.
    std::chrono::milliseconds crash_window = std::chrono::seconds(1);
    /// A fingerprint in flight at this number of crashes, each more than `crash_window` after the
    /// previous one, is blocked even if another call may have caused each of them.
    std::uint32_t max_separate_crashes = 3;
    /// A call that started when the upstream had not responded to earlier ones for longer than this
    /// does not identify the crash, since the upstream had probably ended before.
    std::chrono::milliseconds max_silence = std::chrono::milliseconds(500);
    /// How long after an unanswered call the end of a silent upstream is attributed to it.
    std::chrono::milliseconds unanswered_retention = std::chrono::seconds(15);
    /// The same for an upstream that has responded since: it may be a new process whose first
    /// heartbeat is late.
    std::chrono::milliseconds restart_notice = std::chrono::seconds(3);
    std::size_t max_unanswered = 256;
    /// Reports of other nodes do not make a fingerprint suspect within this time of a success:
    /// they may have been sent before it.
    std::chrono::milliseconds success_retention = std::chrono::seconds(5);
    /// A path is not suspect within this time of a success: requests to it that differ in query or
    /// body do not all crash their upstream.
    std::chrono::milliseconds path_success_retention = std::chrono::seconds(10);
    /// A path without a success is suspect after this number of crashes.
    std::uint32_t min_path_crashes = 2;
    std::size_t max_fingerprints = 8192;
    std::size_t max_waiting = 32; ///< Suspects queued for the upstream; more are refused.
};

/// Returns a hash that identifies equal requests and is the same on every node.
///
/// `scope` is what the path belongs to: a host, or a service that has paths of its own. `path`
/// includes the query.
std::uint64_t request_fingerprint(std::string_view scope, std::string_view method,
                                  std::string_view path, std::string_view body);

/// The hashes by which a guard knows a request.
struct request_identity {
    request_identity(std::uint64_t exact_hash, std::uint64_t path_hash = 0)
        : exact(exact_hash), path(path_hash)
    {
    }

    std::uint64_t exact; ///< The result of `request_fingerprint`.
    /// The same for requests that differ in query, body or in methods of equal safety; 0 if none.
    std::uint64_t path;
};

/// Returns the identity of a request; the parameters are those of `request_fingerprint`.
request_identity identify_request(std::string_view scope, std::string_view method,
                                  std::string_view path, std::string_view body);

/// The state of a fingerprint.
enum class suspicion : std::uint8_t { none, suspect, blocked };

/// The result of `check`; `retry_after` is the remaining time of a block.
struct guard_check {
    suspicion state = suspicion::none;
    std::chrono::milliseconds retry_after{0};
};

/// What a guard knows of a fingerprint.
struct known_fingerprint {
    std::uint64_t fingerprint = 0;
    suspicion state = suspicion::none;
    std::uint32_t crashes = 0; ///< With a call in flight, since the last success.
    std::uint32_t blocks = 0;  ///< Including the present one.
    std::chrono::milliseconds blocked_for{0};
    std::chrono::milliseconds known_for{0}; ///< Since the fingerprint became suspect.
};

/// Returns the report of a block; `blocks` is its number for the fingerprint, from 1, or that of
/// the previous block for a trial.
crash_report make_block_report(std::uint64_t fingerprint, std::uint32_t blocks,
                               std::chrono::milliseconds blocked_for);

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
    /// A report for other nodes, which must not run the fingerprint at the same time.
    std::optional<crash_report> trial;
};

/// How a call that got a response, or was not run, ended.
enum class call_end : std::uint8_t {
    not_run,
    succeeded, ///< A complete response without a server error; clears the fingerprint.
    responded  ///< Another response: an upstream may send a server error without running the call.
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
/// suspect that succeeds is cleared. After a block, and after two crashes, a suspect runs on one
/// upstream of the whole mesh at a time.
///
/// Requests may crash upstreams although each has another fingerprint. The path that they share is
/// therefore counted as well, with a fingerprint of its own, as long as no request to it succeeds.
///
/// An upstream does not always close its connections when it ends. A call without a response is
/// therefore remembered after its end, and is in flight at a crash that becomes known later.
///
///     crash_guard guard({});
///     guard_decision entry = guard.enter(call, fingerprint, false, now);
///     entry = guard.try_start(call, now);
///     guard_actions next = guard.leave(call, call_end::succeeded, now);
class crash_guard {
public:
    explicit crash_guard(const crash_guard_options& options);

    /// Returns the state of a fingerprint.
    guard_check check(std::uint64_t fingerprint, time_point now) const;

    /// Returns the state of a request before it is sent to any upstream: blocked if its path is.
    guard_check check(const request_identity& request, time_point now) const;

    /// Marks a fingerprint as suspect, such as when a response reports that its upstream crashed.
    void suspect(std::uint64_t fingerprint, time_point now);

    /// Blocks a fingerprint that a response reports as the suspect in flight at a crash.
    void confirm(std::uint64_t fingerprint, time_point now);

    /// Admits a call to this node's upstream; `suspected` is set if its sender lists it as suspect.
    guard_decision enter(std::uint64_t call, const request_identity& request, bool suspected,
                         time_point now);

    /// Checks a call again right before it is sent to the upstream and marks it as running.
    ///
    /// The fingerprint may have become suspect, or blocked by another node, while the call was
    /// queued for a slot. The caller then returns the slot; on `wait` the call is released as after
    /// `enter`, on `refuse` the caller ends it by `leave`.
    guard_decision try_start(std::uint64_t call, time_point now);

    /// Ends a call that got a response or was not run.
    guard_actions leave(std::uint64_t call, call_end end, time_point now);

    /// Ends a call without a response; the upstream may run it until `runs_until`.
    guard_actions leave_unanswered(std::uint64_t call, time_point runs_until, time_point now);

    /// Ends a call whose connection was lost because this node's upstream crashed.
    ///
    /// The other running calls end for the same reason, those on a silent upstream only at their
    /// deadlines; they are not counted as further crashes.
    guard_actions crashed(std::uint64_t call, time_point now);

    /// Attributes the end of this node's upstream, which refuses connections, to the unanswered
    /// calls; the calls that run lose their connections and end by `crashed`.
    guard_actions upstream_refused(time_point now);

    /// Attributes the end of this node's upstream, which another process has replaced, to the
    /// running and the unanswered calls, unless it was announced.
    guard_actions upstream_replaced(bool announced, time_point now);

    /// Applies a report of another node; returns whether it changed the state and is to be
    /// forwarded.
    bool receive(const crash_report& report, time_point now);

    /// Returns the suspects and blocks, in no order.
    std::vector<known_fingerprint> known_fingerprints(time_point now) const;

    /// Removes expired fingerprints.
    void expire(time_point now);

    /// Returns the number of stored fingerprints.
    std::size_t size() const { return size_.load(std::memory_order_relaxed); }

private:
    struct entry {
        suspicion state = suspicion::none;
        std::uint32_t blocks = 0;
        std::uint32_t crashes = 0;          ///< With a call in flight, since the last success.
        std::uint32_t separate_crashes = 0; ///< As `crashes`, but one in each `crash_window`.
        time_point last_separate_crash;
        time_point suspected_at;
        time_point cleared_at;
        time_point until;      ///< End of the suspicion or block.
        time_point expires_at; ///< When the entry and its number of blocks expire.
    };

    struct path_success {
        std::uint64_t path = 0;
        time_point at;
    };

    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::uint64_t, entry> entries;
        std::array<path_success, 64> successes; ///< By hash; a later path replaces an earlier one.
    };

    struct call {
        request_identity identity{0};
        bool holds_suspect_slot = false; ///< It is the one suspect that may run.
        bool running = false;
        bool in_counted_crash = false; ///< Was running at a crash that is already counted.
        time_point started_at;
    };

    /// A call that was running at a crash or may have been.
    struct call_in_flight {
        request_identity identity{0};
        bool held_suspect_slot = false;
        time_point started_at;
    };

    struct unanswered_call {
        call_in_flight run;
        bool upstream_responded = false; ///< After `runs_until`, to another call.
        time_point runs_until;
    };

    struct crash_count {
        std::uint32_t crashes = 0;
        std::uint32_t separate = 0;
        bool decided = false; ///< The fingerprint is blocked for longer than a trial.
    };

    shard& shard_of(std::uint64_t fingerprint) const;
    guard_check stored_state(const entry& known, time_point now) const;
    /// As `stored_state`, but a path with less than `min_path_crashes` is no suspect yet.
    guard_check current_state(std::uint64_t fingerprint, const entry& known, time_point now) const;
    /// As `check`, but a request to a suspect path is suspect.
    guard_check gate_state(const request_identity& request, time_point now) const;
    void record_path_success(std::uint64_t path, time_point now);
    bool path_succeeded_recently(std::uint64_t path, time_point now) const;
    entry& find_or_insert(shard& owning_shard, std::uint64_t fingerprint, time_point now);
    static void evict(shard& owning_shard, time_point now, std::atomic<std::size_t>& size);
    bool make_suspect(std::uint64_t fingerprint, std::uint32_t crashes, time_point now);
    void count_crash(std::uint64_t fingerprint,
                     std::map<std::uint32_t, crash_report>& suspects_by_crashes,
                     guard_actions& actions, time_point now);
    crash_count crashes_of(std::uint64_t fingerprint, time_point now) const;
    crash_report block(std::uint64_t fingerprint, time_point now);
    bool is_undecided(std::uint64_t fingerprint, const entry& known, time_point now) const;
    bool is_undecided(std::uint64_t fingerprint, time_point now) const;
    bool is_undecided(const request_identity& request, time_point now) const;
    std::optional<crash_report> begin_trial(const request_identity& request, time_point now);
    std::optional<crash_report> begin_trial(std::uint64_t fingerprint, time_point now);
    /// Returns the number of blocks that the success ended, or nothing if none was suspect.
    std::optional<std::uint32_t> clear(std::uint64_t fingerprint, time_point now);
    void clear(const request_identity& request, guard_actions& actions, time_point now);
    bool block_until(std::uint64_t fingerprint, std::uint32_t blocks,
                     std::chrono::milliseconds length, time_point now);
    guard_decision admit(std::uint64_t id, call& entered, time_point now);
    void release(guard_actions& actions, time_point now);
    call end_call(absl::flat_hash_map<std::uint64_t, call>::iterator position);
    void record_response(time_point now);
    std::vector<call_in_flight> take_running();
    std::vector<call_in_flight> take_unanswered(time_point now);
    bool identifies_crash(const call_in_flight& candidate, time_point earliest_start,
                          time_point now) const;
    /// Returns the one suspect that may have caused the crash, or the one that was in flight at
    /// most crashes before.
    std::optional<std::uint64_t> find_cause(const std::vector<call_in_flight>& in_flight,
                                            time_point now) const;
    void attribute_crash(const std::vector<call_in_flight>& in_flight, guard_actions& actions,
                         time_point now);
    bool cleared_recently(std::uint64_t fingerprint, time_point now) const;

    const crash_guard_options options_;
    mutable std::array<shard, 16> shards_;
    std::atomic<std::size_t> size_{0};

    std::mutex calls_mutex_; ///< Guards the members below; locked before a shard's mutex.
    absl::flat_hash_map<std::uint64_t, call> calls_;
    std::deque<std::uint64_t> waiting_;
    std::deque<unanswered_call> unanswered_;
    bool suspect_running_ = false;
    time_point last_response_; ///< Of this node's upstream.
};

} // namespace agatespread
