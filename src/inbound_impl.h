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

class inbound_call;

/// The inbound metrics of one tenant and request class.
struct inbound_series {
    inbound_series(metrics& metric_registry, const std::string& tenant,
                   const std::string& request_class);

    counter& requests;
    counter& run; ///< Calls forwarded to the upstream.
    histogram& admission_wait;
    histogram& service_time;
};

/// The inbound counters without tenant and class labels.
struct inbound_counters {
    explicit inbound_counters(metrics& metric_registry);

    std::array<counter*, 6> refused; ///< Indexed by `refusal_reason`.
    counter& unauthenticated;
    counter& duplicates;
    counter& blocked;
    counter& waited;
    counter& crashes;
    counter& failed;
    counter& timed_out;
    counter& cancelled;
};

} // namespace detail

struct inbound::impl {
    /// The base URL of the local upstream and the service that it runs.
    struct upstream_address {
        std::string url;
        std::string service;
    };

    struct call_shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::uint64_t, std::shared_ptr<detail::inbound_call>> calls;
    };

    impl(inbound_hooks callbacks, const admission_options& options,
         const mesh_signer& header_signer, crash_guard& request_guard, metrics& metric_registry);

    detail::inbound_series& series_of(const std::string& tenant, const std::string& request_class);

    /// Registers a call; returns false if the id is in use.
    bool add(std::uint64_t id, const std::shared_ptr<detail::inbound_call>& call);
    void remove(std::uint64_t id);
    std::shared_ptr<detail::inbound_call> find(std::uint64_t id);

    /// Resumes the affected calls, each on its own worker thread. `current_worker` is the worker of
    /// the calling thread, or null on any other thread.
    void apply(const admission_actions& actions, const worker_context* current_worker);
    void apply(const guard_actions& actions, const worker_context* current_worker);
    void run_on_worker_of(std::uint64_t id, const worker_context* current_worker,
                          void (detail::inbound_call::*step)());

    const inbound_hooks hooks;
    const mesh_signer& signer;
    crash_guard& guard;
    metrics& series_registry;
    admission gate;
    detail::inbound_counters counters;
    std::shared_ptr<const upstream_address> upstream; ///< Accessed by std::atomic_load.
    std::atomic<std::size_t> waiting{0};              ///< Calls that wait for the crash guard.
    std::array<call_shard, 16> shards;
    std::mutex series_mutex;
    absl::flat_hash_map<std::string, std::unique_ptr<detail::inbound_series>> series;
};

} // namespace agatespread
