#pragma once

#include <agatespread/base.h>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// Longest name of a software version; longer ones count as not stated.
inline constexpr std::size_t max_software_version_bytes = 64;

/// The bounds of a rollout.
struct rollout_options {
    /// Share of the requests between an order and its deadline that a bad version may get. A node
    /// sends half of it to a version that is not judged, so that the rest remains for `moving`.
    double exposure_share = 0.1;
    double exposure_slack = 50; ///< Requests of all nodes that are allowed in addition.
    /// Time from the 50th bad response until the last request may be sent to a bad version.
    std::chrono::milliseconds rollback = std::chrono::milliseconds(5000);
    /// Without an order, a version that few upstreams have is limited as well, because the order
    /// may not have arrived yet. Off where upstreams are replaced without orders.
    bool limit_without_order = true;
};

/// The phases in their order; only `trial` and `moving` may be followed by `rolled_back`.
enum class rollout_phase : std::uint8_t { trial, moving, closing, completed, rolled_back };

/// Returns the name of a phase, such as `rolled_back`.
std::string_view name_of(rollout_phase phase);

/// Returns whether a rollout has ended.
inline bool has_ended(rollout_phase phase)
{
    return phase == rollout_phase::completed || phase == rollout_phase::rolled_back;
}

/// Returns whether a phase may replace another one of the same order.
bool may_follow(rollout_phase before, rollout_phase next);

/// An order to move a service to a software version.
struct rollout_order {
    std::string service;
    std::string to;
    std::chrono::milliseconds duration{0};

    friend bool operator==(const rollout_order& left, const rollout_order& right)
    {
        return left.service == right.service && left.to == right.to &&
               left.duration == right.duration;
    }
};

/// What the users' platform is told of a rollout.
struct rollout_status {
    std::string service;
    std::string to;
    rollout_phase phase = rollout_phase::trial;
};

/// The state of a rollout, as nodes tell it to each other.
struct rollout_state {
    rollout_order order;
    std::uint64_t generation = 0; ///< Increases with each order of a service; 0 for none.
    rollout_phase phase = rollout_phase::trial;
    /// A reader has found the version to be bad, and no node sends it requests. The phase follows
    /// when the platform has stored it.
    bool halted = false;
    std::chrono::milliseconds age{0}; ///< Since the order was first read.
};

/// Applies a heard state to a known one, of which the later order and the later phase are kept.
/// Returns whether anything but the age has changed.
bool merge(rollout_state& known, const rollout_state& heard);

/// Encodes the row that holds a rollout; `evidence` is a text for operators, `started_at` a Unix
/// time.
std::string encode_rollout(const rollout_state& state, std::chrono::milliseconds started_at,
                           std::string_view evidence);

/// A row that holds a rollout.
struct rollout_row {
    rollout_state state;
    std::chrono::milliseconds started_at{0};
};

/// Decodes the row of a rollout.
absl::StatusOr<rollout_row> decode_rollout(std::string_view value);

/// The results of the requests of one kind at an upstream, since its start.
struct kind_results {
    std::uint32_t kind = 0;
    std::uint64_t answered = 0; ///< Including the failed ones.
    std::uint64_t failed = 0;
    std::uint64_t timed = 0;                 ///< Successes after the upstream's warm-up.
    std::chrono::microseconds total_time{0}; ///< Of the timed ones.
};

/// The results of an upstream since its start.
struct upstream_results {
    std::uint64_t answered = 0; ///< Including the failed ones.
    std::uint64_t failed = 0;
    std::vector<kind_results> kinds; ///< At most `max_result_kinds`.
};

inline constexpr std::size_t max_result_kinds = 8;

/// Counts a result; a failure, or a response during the warm-up, has no time.
void record_result(upstream_results& results, std::uint32_t kind, bool failed,
                   std::optional<std::chrono::nanoseconds> time);

/// Adds the results `now` without those `before`, both since the start of one upstream.
void add_difference(upstream_results& sum, const upstream_results& now,
                    const upstream_results& before);

/// The sum of the results of the upstreams of one version.
struct version_results {
    upstream_results sum;
    std::size_t upstreams = 0; ///< With at least one result.
};

enum class rollout_verdict : std::uint8_t { open, good, bad };

/// A verdict on a version and the numbers behind it.
struct rollout_judgement {
    rollout_verdict verdict = rollout_verdict::open;
    std::string reason; ///< For operators.
};

/// Compares the results of the new version with those of the old one over the same time.
///
/// Load pattern: both versions serve the same mix of requests, but the new one gets only a small
/// share of it, on upstreams of different speeds. The verdict is asked for many times, so an early
/// `bad` needs strong evidence. With `last`, the trial ends: the verdict is not `open`, and weaker
/// evidence against the version is enough.
rollout_judgement judge(const version_results& fresh, const version_results& old, bool last);

/// The results of the upstreams of a service since an order, by version.
///
/// Verdicts use all results and those of the last `window`, as a version may become bad late.
class rollout_evidence {
public:
    explicit rollout_evidence(std::chrono::milliseconds window) : window_(window) {}

    /// Applies the results of an upstream since its start. Results of an old upstream from before
    /// the first call are not counted.
    void add(const node_id& node, bool is_new, const upstream_results& results, time_point now);

    /// Returns the verdict; `last` as in `judge`.
    rollout_judgement judge(bool last, time_point now);

private:
    struct source {
        bool is_new = false;
        upstream_results latest;
        upstream_results total; ///< Since the order.
    };
    struct snapshot {
        time_point at;
        std::map<node_id, upstream_results> totals;
    };

    version_results sum_of(bool is_new, const snapshot* since) const;

    std::chrono::milliseconds window_;
    std::map<node_id, source> sources_;
    std::deque<snapshot> snapshots_;
};

/// What a proposer knows when it decides on the next step.
struct rollout_situation {
    rollout_state state;
    rollout_verdict verdict = rollout_verdict::open;
    bool new_ready = false;   ///< An upstream of the new version is ready.
    bool all_closing = false; ///< All nodes that are heard from are in `closing` or later.
    bool old_idle = false;    ///< No heard gate of an old upstream has running or queued requests.
};

/// The times of a rollout after its order.
struct rollout_times {
    explicit rollout_times(std::chrono::milliseconds duration);

    std::chrono::milliseconds trial_end;
    std::chrono::milliseconds moving_end;
    /// After this, a rollout that is not in `closing` is rolled back, and one that is completes
    /// without the nodes that are silent.
    std::chrono::milliseconds last_step;
};

/// Returns the next phase that is due, if any.
std::optional<rollout_phase> next_phase(const rollout_situation& situation);

/// How a version of a service's upstreams may be used for a request.
enum class version_use : std::uint8_t { full, limited, none };

/// Returns the version of most of the upstreams that state one, or an empty text.
std::string majority_version(const std::vector<std::string_view>& versions);

/// Returns how a version may be used. `rollout` is null without an order; `majority` is used then.
version_use use_of(std::string_view version, const rollout_state* rollout,
                   std::string_view majority);

/// Limits the requests that a node sends to versions that are not judged.
class exposure_limit {
public:
    explicit exposure_limit(const rollout_options& options) : options_(options) {}

    /// Starts to count anew.
    void reset() { requests_ = sent_ = 0; }

    /// Counts a request of the service.
    void count_request() { ++requests_; }

    /// Returns whether one more request may be sent to a version that is not judged; `nodes` share
    /// the slack.
    bool allows(std::size_t nodes) const;

    /// Counts a request that was sent to a version that is not judged.
    void record_sent() { ++sent_; }

private:
    rollout_options options_;
    std::uint64_t requests_ = 0;
    std::uint64_t sent_ = 0;
};

} // namespace agatespread
