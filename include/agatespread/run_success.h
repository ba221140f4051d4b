#pragma once

#include <agatespread/base.h>
#include <agatespread/rule_results.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespread {

/// Counts the results of the runs at the node's own upstream over the last second, by rule.
class run_log {
public:
    /// Records the end of a run.
    void add(std::uint32_t kind, bool failed, time_point now);

    /// Returns the results of the last second of a rule.
    run_count count(std::uint32_t kind, time_point now) const;

    /// Returns the results of the last second by rule; `kind`, `ended` and `failed` are set.
    std::vector<rule_results> recent(time_point now) const;

private:
    static constexpr std::size_t parts = 10;
    static constexpr std::chrono::milliseconds part_length{100};

    struct rule_counts {
        std::array<run_count, parts> recent; ///< By number of the part, modulo `parts`.
        std::int64_t last_part = 0;
    };

    static std::int64_t part_of(time_point now);
    static run_count sum(const rule_counts& counts, time_point now);
    void make_room();

    std::map<std::uint32_t, rule_counts> rules_;
};

/// Remembers why calls of the own upstream's runs failed, to name the cause of a failed run.
///
/// A call does not name its run. With several runs at a time, the cause of a run that failed for a
/// reason of its own may be the failed call of another one.
class call_failures {
public:
    /// Records that a call failed.
    void add(std::string reason, time_point now);

    /// Returns the reason of the latest call that failed at `since` or later, or an empty text.
    std::string_view latest_since(time_point since) const;

private:
    std::string reason_;
    time_point failed_at_;
};

/// Returns whether a call failed because the gates of the called service had no room for it.
///
/// Only such failures become fewer if fewer runs are started. An error of the upstream's own, a
/// lost connection, a node that is cut off or a slow link fail the same share of any number of
/// runs.
bool is_refused_for_load(std::string_view reason);

/// Returns the share of failed runs of a rule if the failures are spread over the upstreams of the
/// service, otherwise 0; nothing with too few runs to tell.
///
/// Failures of a few bad upstreams are concentrated: far fewer upstreams see failures than if the
/// same number of failures were spread at random. Placement avoids such upstreams.
std::optional<double> widespread_failures(const std::vector<run_count>& by_upstream);

/// The parameters of `run_share`.
struct run_share_options {
    std::chrono::milliseconds step{200}; ///< Between two looks at the reports.
    /// Share of failed runs up to which the admitted share rises. A tenth of the waste that the
    /// deployment accepts would never be reached by random failures; this is half of it.
    double tolerated_failures = 0.015;
    /// A share that is admitted in any case, so that the recovery of the service is seen.
    double min_share = 0.1;
    /// When the runs of the reports were admitted, before now: a run takes 0.2 s, the counts cover
    /// one second, and reports between failure domains are up to 1.7 s old in a mesh of 76 nodes.
    /// With only the youngest reports, the share varied more and fewer requests were served.
    std::chrono::milliseconds latest_admission{400};
    std::chrono::milliseconds earliest_admission{2000};
    /// Relative rise per second while far below the share at which runs failed last, and near it.
    double fast_rise = 0.8;
    double slow_rise = 0.05;
    double near_limit = 0.93; ///< Of that share; the slow rise begins there.
    double past_limit = 1.05; ///< Of that share; beyond it the fast rise begins again.
    /// Failures that do not depend on the load: if at this share the failures are not fewer than
    /// this part of the most seen before, everything is admitted for a while.
    double futile_share = 0.25;
    double futile_failures = 0.8;
    std::chrono::milliseconds futile_pause = std::chrono::seconds(20);
};

/// The share of the requests of one rule that are admitted at the entry, so that only work that can
/// be finished is started.
///
/// Load pattern: the runs of a rule make calls to a second service that is overloaded. Its gates
/// refuse part of the calls, and each run that made one of them fails after it held a slot. The
/// more runs are started, the fewer of them finish, and their callers repeat them.
///
/// The share in effect when the failed runs were admitted is reduced by the share of the failures,
/// so that the same failures do not reduce it twice. It rises fast to just below the share at which
/// runs failed last, then slowly, and fast again once that share is clearly passed.
class run_share {
public:
    explicit run_share(const run_share_options& options = {}) : options_(options) {}

    /// Returns whether `update` is to be called before the next decision.
    bool due(time_point now) const { return now - updated_at_ >= options_.step; }

    /// Adjusts the share to the results that the nodes of the service report.
    void update(std::optional<double> failures, time_point now);

    /// Returns whether to admit the next request; the admitted ones are evenly spaced.
    bool admit();

    /// Returns the admitted share, between `min_share` and 1.
    double share() const { return share_; }

    /// Returns when a refused request may come back, spread over the expected recovery by
    /// `position`, between 0 and 1.
    std::chrono::milliseconds retry_after(double position) const;

private:
    double share_at_admission(time_point now) const;
    bool is_futile(double failures, time_point now) const;
    void fall(double failures, time_point now);
    void rise(double seconds);

    run_share_options options_;
    time_point updated_at_;
    double share_ = 1;
    double limit_ = 1;          ///< The share at which runs failed last.
    double worst_failures_ = 0; ///< Since the share left 1; 0 before.
    time_point lowest_since_;   ///< Since when the share is at most `futile_share`.
    time_point paused_until_;
    double credit_ = 1;
    std::deque<std::pair<time_point, double>> history_;
};

/// Learns which rules are used by upstreams during their runs, without knowing the upstreams.
///
/// The requests of such a rule arrive at a node only while a run of its own upstream is in
/// progress. All others arrive at random, and thus as often as the upstream is idle without one.
/// How often it is idle is taken from before and after an arrival, at a distance longer than most
/// runs; the lower of the two counts, so that neither the start of load nor its end misleads.
class nested_rules {
public:
    /// Records whether a run is in progress; called at regular intervals.
    void sample(bool running, time_point now);

    /// Records the arrival of a request of a caller on the node's host.
    void add(std::uint32_t kind, bool running, time_point now);

    /// Returns the recent arrivals of a rule at this node, without those of the last seconds.
    idle_arrivals count(std::uint32_t kind, time_point now) const;

    /// Adds the recent arrivals to the results of a report.
    void add_to(std::vector<rule_results>& results, time_point now) const;

    /// Returns whether the arrivals at all nodes show that a rule's requests come from runs. False
    /// as long as there is too little to tell.
    static bool is_nested(const idle_arrivals& at_all_nodes);

private:
    struct rule_arrivals {
        idle_arrivals counts;
        time_point updated_at;
    };

    struct arrival_count {
        double all = 0;
        double idle = 0; ///< While no run was in progress.
    };

    /// What was seen in one part of the time.
    struct part {
        std::int64_t number = 0;
        double samples = 0;
        double idle_samples = 0;
        std::map<std::uint32_t, arrival_count> arrivals; ///< By kind.
    };

    static idle_arrivals decayed(const rule_arrivals& arrivals, time_point now);
    part& part_at(time_point now);
    void evaluate(const part& subject, time_point now);
    double idle_share(std::int64_t first, std::int64_t last) const;

    std::deque<part> parts_; ///< The latest last.
    std::map<std::uint32_t, rule_arrivals> rules_;
};

} // namespace agatespread
