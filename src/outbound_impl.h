#pragma once

#include <agatespread/proxy.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace agatespread {

namespace detail {

/// The outbound metrics of one tenant and request class.
struct outbound_series {
    outbound_series(metrics& metric_registry, const std::string& tenant,
                    const std::string& request_class);

    counter& answered;
    counter& retries;
    counter& not_run;
    counter& failed;
    counter& unknown;
    counter& cancelled;
    histogram& duration;
};

/// The outbound counters without tenant and class labels.
struct outbound_counters {
    explicit outbound_counters(metrics& metric_registry);

    counter& unresolved; ///< Requests whose service or route cannot be resolved.
    counter& blocked;
    counter& suspects;
    counter& crossed_answers; ///< Responses without a valid signature for the call.
    counter& late_answers;    ///< Responses that arrived after their attempt had ended.
    counter& spilled;         ///< Attempts sent to another failure domain.
    counter& trials;          ///< Attempts that test whether an ejected upstream has recovered.
    counter& denied_budget;
    counter& denied_deadline;
    counter& denied_unsafe;
    counter& denied_other;
    counter& claims_refused;
    counter& claims_repeated;
};

} // namespace detail

struct outbound::impl {
    impl(outbound_options initial_options, outbound_hooks callbacks,
         const mesh_signer& header_signer, crash_guard& request_guard, balancer& upstream_balancer,
         metrics& metric_registry);

    /// Returns the metrics of a tenant and class, which are registered on first use.
    detail::outbound_series& series_of(const std::string& tenant, const std::string& request_class);

    struct series_shard {
        std::mutex mutex;
        absl::flat_hash_map<std::string, std::unique_ptr<detail::outbound_series>> series;
    };

    const outbound_options options;
    const outbound_hooks hooks;
    const mesh_signer& signer;
    crash_guard& guard;
    balancer& upstreams;
    metrics& series_registry;
    retry_policy retries;
    detail::outbound_counters counters;
    std::atomic<std::size_t> in_flight{0};
    std::array<series_shard, 16> shards;
};

} // namespace agatespread
