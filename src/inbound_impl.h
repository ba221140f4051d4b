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

/// The series of one tenant and class at the inbound side.
struct inbound_series {
    inbound_series(metrics& data, const std::string& tenant, const std::string& request_class);

    counter& requests;
    counter& run;
    histogram& wait;
    histogram& service;
};

/// The series of decisions that do not depend on tenant and class.
struct inbound_counters {
    explicit inbound_counters(metrics& data);

    std::array<counter*, 6> refused; ///< By refusal reason.
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
    /// Where the own upstream listens and which service it runs.
    struct upstream_address {
        std::string url;
        std::string service;
    };

    struct call_shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::uint64_t, std::shared_ptr<detail::inbound_call>> calls;
    };

    impl(inbound_hooks connected, const admission_options& options, const mesh_signer& signs,
         crash_guard& guards, metrics& data);

    detail::inbound_series& series_of(const std::string& tenant, const std::string& request_class);

    /// Adds a call; returns false when its id is in use.
    bool add(std::uint64_t id, const std::shared_ptr<detail::inbound_call>& call);
    void remove(std::uint64_t id);
    std::shared_ptr<detail::inbound_call> find(std::uint64_t id);

    /// Continues the calls that an event concerns, each on its own lane.
    void apply(const admission_actions& actions, const worker_context* current);
    void apply(const guard_actions& actions, const worker_context* current);
    void on_lane_of(std::uint64_t id, const worker_context* current,
                    void (detail::inbound_call::*step)());

    const inbound_hooks hooks;
    const mesh_signer& signer;
    crash_guard& guard;
    metrics& numbers;
    admission gate;
    detail::inbound_counters counters;
    std::shared_ptr<const upstream_address> upstream; ///< Accessed by std::atomic_load.
    std::atomic<std::size_t> waiting{0};              ///< Calls held back by the crash guard.
    std::array<call_shard, 16> shards;
    std::mutex series_mutex;
    absl::flat_hash_map<std::string, std::unique_ptr<detail::inbound_series>> series;
};

} // namespace agatespread
