#pragma once

#include <agatespread/event_loop.h>
#include <agatespread/http.h>
#include <agatespread/metrics.h>
#include <agatespread/proxy.h>
#include <agatespread/settings.h>
#include <agatespread/snapshot.h>

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace agatespread {

/// The request path of a node: worker threads, each with its own event loop, listeners and HTTP
/// client.
class data_plane {
public:
    struct hooks {
        decltype(outbound_hooks::claim) claim;
        decltype(outbound_hooks::settle) settle;
        std::function<void(const crash_report&)> report; ///< Called on any worker thread.
    };

    /// Opens the listeners and starts the worker threads; fails if an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<data_plane>> start(const node_settings& settings,
                                                             metrics& metric_registry,
                                                             hooks callbacks, std::uint64_t seed);

    data_plane(const data_plane&) = delete;
    data_plane& operator=(const data_plane&) = delete;
    ~data_plane();

    std::string mesh_address() const { return workers_.front()->mesh_server->address(); }
    std::string inbound_address() const { return workers_.front()->inbound_server->address(); }

    /// Sets the configuration snapshot for new requests; thread-safe.
    void set_snapshot(std::shared_ptr<const snapshot> next);

    /// Returns the current configuration snapshot, or null before the first one; thread-safe.
    std::shared_ptr<const snapshot> current_snapshot() const;

    /// Replaces the member records of the whole mesh; thread-safe.
    void update_members(const std::vector<member_record>& members);

    /// Updates the local upstream from its announcement; thread-safe.
    void set_upstream(std::string url, const upstream_record& record, time_point now);

    /// Applies a crash report of another node and returns whether it changed the state of the crash
    /// guard; thread-safe.
    bool receive_crash_report(const crash_report& report, time_point now);

    /// Closes the mesh and inbound listeners. Later mesh requests on open connections are refused
    /// as not run, and their connections are closed.
    void stop_accepting();

    /// Returns whether no request is queued or running; thread-safe.
    bool idle() const;

    /// Stops and joins all worker threads.
    void stop();

private:
    struct worker {
        event_loop loop;
        std::mt19937_64 engine;
        std::unique_ptr<http_client> client;
        std::unique_ptr<http_server> mesh_server;
        std::unique_ptr<http_server> inbound_server;
        worker_context context;
        std::vector<subscription> timers;
        std::thread thread;
    };

    data_plane(const node_settings& settings, metrics& metric_registry, hooks callbacks);

    absl::Status open(const node_settings& settings, std::uint64_t seed);
    absl::Status open_worker(worker& new_worker, const node_settings& settings);
    worker_context make_worker_context(worker& owner);
    void refuse_after_stop(http_exchange& exchange) const;

    hooks hooks_;
    mesh_signer signer_;
    crash_guard guard_;
    balancer balancer_;
    std::shared_ptr<const snapshot> snapshot_; ///< Accessed by std::atomic_load and _store.
    std::atomic<bool> stopping_{false};
    std::unique_ptr<outbound> outbound_;
    std::unique_ptr<inbound> inbound_;
    std::vector<std::unique_ptr<worker>> workers_;
};

} // namespace agatespread
