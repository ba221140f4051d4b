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

/// The thresholds of upstream selection and outlier ejection.
struct balancer_options {
    std::uint32_t failures_to_eject = 3;  ///< Consecutive failures.
    std::uint32_t refusals_to_eject = 10; ///< Consecutive refusals, while the others rarely refuse.
    std::uint32_t min_latency_samples = 20; ///< Responses before a target may be a latency outlier.
    double latency_factor = 4.0;            ///< Multiple of the median of the other upstreams.
    std::chrono::milliseconds min_outlier_latency = std::chrono::milliseconds(20);
    std::chrono::milliseconds base_ejection_time = std::chrono::seconds(1);
    std::chrono::milliseconds max_ejection_time = std::chrono::seconds(60);
    std::chrono::milliseconds hint_lifetime = std::chrono::seconds(1);
};

/// The load reported with a response. It is not trusted, as it may be wrong or outdated.
struct load_hint {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
};

/// The outcome of an attempt at an upstream, as observed by this node.
enum class attempt_outcome : std::uint8_t {
    answered,
    failed, ///< Connection lost, or response truncated or for another request.
    down,   ///< Connection refused or crash; ejects without further failures.
    timed_out,
    refused,  ///< Refused as not run because of load.
    draining, ///< Refused as not run because the upstream drains.
    cancelled ///< Does not count for or against the upstream.
};

/// The properties of an upstream that a policy compares.
struct candidate {
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0; ///< Calls of this node.
    std::chrono::nanoseconds latency{0};
    double load_per_slot = 0; ///< Calls per slot by the last load hint, weighted, between 0 and 1.
    double failure_share = 0; ///< Of recent attempts, between 0 and 1.
    double refusal_share = 0; ///< Of recent attempts, between 0 and 1.
};

/// Chooses among candidates. Each cluster has its own instance, which is called with the shard's
/// mutex held.
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

/// The constraints of a call on its upstream.
struct choice_request {
    std::vector<node_id> tried;                ///< Upstreams that this call has already tried.
    bool allow_trial = true;                   ///< False for calls that must not be lost.
    std::optional<std::uint64_t> affinity_key; ///< Equal keys are sent to the same upstream.
};

/// The upstream chosen for an attempt.
struct upstream_choice {
    node_id node;
    std::string address;
    std::string failure_domain;
    bool trial = false;
};

/// Chooses an upstream of a cluster and ejects outliers by the outcomes that this node observes.
///
/// Upstreams in the node's own failure domain are preferred; others are used when all local ones
/// are loaded. Unreachable members are used only if there is no other; starting, draining and gone
/// upstreams are never chosen.
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
    std::optional<upstream_choice> choose(const cluster& cluster_config,
                                          const choice_request& request, time_point now,
                                          const random_source& random);

    /// Records the outcome of an attempt started by `choose`, and ejects the upstream if it is an
    /// outlier.
    void finish(const cluster& cluster_config, const upstream_choice& choice,
                attempt_outcome outcome, std::chrono::nanoseconds latency,
                const std::optional<load_hint>& load, time_point now);

    /// Returns the nodes of a cluster that are ejected at `now`.
    std::vector<node_id> ejected(const cluster& cluster_config, time_point now) const;

    /// Returns the average latency of a cluster's responses, or 0 before the first one.
    std::chrono::nanoseconds average_latency(const cluster& cluster_config) const;

private:
    struct target {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0;  ///< Consecutive.
        std::uint32_t refusals = 0;  ///< Consecutive.
        std::uint64_t responses = 0; ///< Since the last ejection.
        double failure_share = 0;
        double refusal_share = 0;
        std::chrono::nanoseconds latency{0};
        std::chrono::nanoseconds best_latency{0};
        load_hint hint;
        time_point hint_received_at;
        time_point refused_at;
        time_point drain_refused_at; ///< Time of the last refusal because of draining.
        time_point ejected_until;
        std::uint32_t ejections = 0;
        bool on_trial = false; ///< Ejected, or waiting for its trial call.
        bool trial_in_flight = false;
        bool local = false;
        time_point last_finished_at;
        std::uint64_t last_selection = 0; ///< The last selection in which it was a member.
    };

    struct cluster_state {
        std::unique_ptr<balancing_policy> policy;
        std::map<node_id, target> targets;
        std::chrono::nanoseconds average_latency{0};
        std::size_t eligible = 0; ///< Upstreams that could be chosen, for the ejection cap.
        std::uint64_t selection_count = 0;
    };

    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::string, cluster_state> clusters;
    };

    using service_members = std::map<service_name, std::vector<member_record>>;
    struct selection;

    shard& shard_of(const cluster& cluster_config) const;
    cluster_state& state_of(shard& cluster_shard, const cluster& cluster_config) const;
    candidate make_candidate(const member_record& member, const target& state,
                             std::chrono::nanoseconds cluster_latency, time_point now) const;
    bool is_loaded(const member_record& member, const target& state, time_point now) const;
    selection select(cluster_state& state, const std::vector<member_record>& members,
                     const choice_request& request, time_point now) const;
    void eject_if_outlier(const cluster& cluster_config, cluster_state& state, target& subject,
                          time_point now) const;
    bool is_refusal_outlier(const cluster_state& state, const target& subject) const;
    bool is_latency_outlier(const cluster_state& state, const target& subject) const;
    static void erase_departed(cluster_state& state, std::size_t members);
    static void record_outcome(cluster_state& state, target& subject, attempt_outcome outcome,
                               std::chrono::nanoseconds latency, time_point now);

    const std::string own_failure_domain_;
    const balancer_options options_;
    std::shared_ptr<const service_members> members_; ///< Accessed by std::atomic_load.
    mutable std::array<shard, 16> shards_;
};

} // namespace agatespread
