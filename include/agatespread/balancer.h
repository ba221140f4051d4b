#pragma once

#include <agatespread/base.h>
#include <agatespread/kernel.h>
#include <agatespread/snapshot.h>
#include <agatespread/wire.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace agatespread {

/// The thresholds of the choice and of outlier ejection.
struct balancer_options {
    std::uint32_t failures_to_eject = 3;  ///< Consecutive failures.
    std::uint32_t refusals_to_eject = 10; ///< Consecutive, while the others refuse little.
    std::uint32_t samples_to_judge = 20;  ///< Answers before latency may eject.
    double latency_factor = 4.0;          ///< Against the median of the other upstreams.
    std::chrono::milliseconds latency_floor = std::chrono::milliseconds(20);
    std::chrono::milliseconds first_ejection = std::chrono::seconds(1);
    std::chrono::milliseconds longest_ejection = std::chrono::seconds(60);
    std::chrono::milliseconds hint_lifetime = std::chrono::seconds(1);
};

/// The load that an answer carried back; a hint that may be false.
struct carried_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
};

/// How an attempt at an upstream ended, as this node saw it.
enum class attempt_end : std::uint8_t {
    answered,
    failed, ///< Connection lost, truncated or crossed answer.
    down,   ///< Connection refused or crash: a failure that needs no second one.
    timed_out,
    refused,  ///< Refused as not run because of load.
    draining, ///< Refused as not run because the upstream leaves.
    cancelled ///< Says nothing about the upstream.
};

/// One upstream as a policy sees it.
struct candidate {
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0; ///< Calls of this node.
    std::chrono::nanoseconds latency{0};
    double hinted_load = 0;   ///< Announced work per slot, between 0 and 1.
    double failure_share = 0; ///< Of recent attempts, between 0 and 1.
    double refusal_share = 0; ///< Of recent attempts, between 0 and 1.
};

/// Chooses among candidates; each cluster has its own instance, used under the cluster's lock.
class balancing_policy {
public:
    balancing_policy() = default;
    balancing_policy(const balancing_policy&) = delete;
    balancing_policy& operator=(const balancing_policy&) = delete;
    virtual ~balancing_policy() = default;

    /// Returns an index into the candidates, of which there is at least one.
    virtual std::size_t choose(const std::vector<candidate>& candidates,
                               const random_source& random) = 0;
};

/// The plug-ins "least_loaded" and "round_robin".
using policy_registry = registry<std::unique_ptr<balancing_policy>()>;

/// What a call needs from its upstream.
struct choice_request {
    std::vector<node_id> tried;          ///< Upstreams that this call already tried.
    bool may_be_trial = true;            ///< False for calls that must not be lost.
    std::optional<std::uint64_t> pinned; ///< Sends equal values to the same upstream.
};

/// The upstream chosen for an attempt.
struct upstream_choice {
    node_id node;
    std::string address;
    std::string failure_domain;
    bool trial = false;
};

/// Chooses an upstream of a cluster and ejects outliers by what this node observes.
///
/// The own failure domain goes first; others are used when all local upstreams are loaded.
/// Unreachable members are the last choice; starting, draining and gone upstreams are never
/// chosen.
///
///     balancer upstreams("cairo-1", {});
///     upstreams.update_members(members);
///     std::optional<upstream_choice> to = upstreams.choose(*route->destination, {}, now, random);
class balancer {
public:
    balancer(std::string own_failure_domain, const balancer_options& options);

    /// Replaces the member records of the whole mesh.
    void update_members(const std::vector<member_record>& members);

    /// Chooses an upstream and counts the attempt as in flight.
    std::optional<upstream_choice> choose(const cluster& of, const choice_request& request,
                                          time_point now, const random_source& random);

    /// Ends an attempt that `choose` started.
    void finish(const cluster& of, const upstream_choice& choice, attempt_end end,
                std::chrono::nanoseconds latency, const std::optional<carried_load>& load,
                time_point now);

    /// Returns the nodes of a cluster that are ejected now.
    std::vector<node_id> ejected(const cluster& of, time_point now) const;

    /// Returns the typical latency of a cluster's answers, or 0 without any.
    std::chrono::nanoseconds typical_latency(const cluster& of) const;

private:
    struct target {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0; ///< Consecutive.
        std::uint32_t refusals = 0; ///< Consecutive.
        std::uint64_t answers = 0;  ///< Since the last ejection.
        double failure_share = 0;
        double refusal_share = 0;
        std::chrono::nanoseconds latency{0};
        std::chrono::nanoseconds best_latency{0};
        carried_load hint;
        time_point hint_at;
        time_point refused_at;
        time_point left_at; ///< When it refused because of draining.
        time_point ejected_until;
        std::uint32_t ejections = 0;
        bool on_trial = false; ///< Ejected or awaiting its trial call.
        bool trial_runs = false;
        bool local = false;
        time_point last_end;
        std::uint64_t seen = 0; ///< The last selection in which it could be chosen.
    };

    struct cluster_state {
        std::unique_ptr<balancing_policy> policy;
        std::map<node_id, target> targets;
        std::chrono::nanoseconds typical{0};
        std::size_t eligible = 0; ///< Upstreams that could be chosen, for the ejection cap.
        std::uint64_t selections = 0;
    };

    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::string, cluster_state> clusters;
    };

    using service_members = std::map<service_name, std::vector<member_record>>;
    struct selection;

    shard& shard_of(const cluster& of) const;
    cluster_state& state_of(shard& home, const cluster& of) const;
    candidate view_of(const member_record& member, const target& state,
                      std::chrono::nanoseconds typical, time_point now) const;
    bool loaded(const member_record& member, const target& state, time_point now) const;
    selection select(cluster_state& state, const std::vector<member_record>& members,
                     const choice_request& request, time_point now) const;
    void judge(const cluster& of, cluster_state& state, target& subject, time_point now) const;
    bool refusal_outlier(const cluster_state& state, const target& subject) const;
    bool latency_outlier(const cluster_state& state, const target& subject) const;
    static void forget_departed(cluster_state& state, std::size_t members);
    static void observe(cluster_state& state, target& subject, attempt_end end,
                        std::chrono::nanoseconds latency, time_point now);

    const std::string own_failure_domain_;
    const balancer_options options_;
    std::shared_ptr<const service_members> members_; ///< Accessed by std::atomic_load.
    mutable std::array<shard, 16> shards_;
};

} // namespace agatespread
