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

/// The request path of a node: threads with a listener, a client and a lane each.
class data_plane {
public:
    struct hooks {
        decltype(outbound_hooks::claim) claim;
        decltype(outbound_hooks::settle) settle;
        std::function<void(const crash_report&)> report; ///< Called on any data thread.
    };

    static absl::StatusOr<std::unique_ptr<data_plane>>
    start(const node_settings& settings, metrics& data, hooks connections, std::uint64_t seed);

    data_plane(const data_plane&) = delete;
    data_plane& operator=(const data_plane&) = delete;
    ~data_plane();

    std::string mesh_address() const { return workers_.front()->mesh->address(); }
    std::string inbound_address() const { return workers_.front()->arrivals->address(); }

    /// Puts a snapshot into force for requests that start from now on; from any thread.
    void set_snapshot(std::shared_ptr<const snapshot> next);

    /// Returns the snapshot in force; from any thread.
    std::shared_ptr<const snapshot> current_snapshot() const;

    /// Takes the member records of the whole mesh; from any thread.
    void update_members(const std::vector<member_record>& members);

    /// Takes the announcement of the own upstream; from any thread.
    void set_upstream(std::string url, const upstream_record& record, time_point now);

    /// Takes a crash report of another node and returns whether it was news; from any thread.
    bool receive_crash_report(const crash_report& report, time_point now);

    /// Closes the mesh and inbound listeners; later requests on open connections are refused as
    /// not run and their connections closed.
    void stop_accepting();

    /// Returns whether no request is queued or running; from any thread.
    bool idle() const;

    /// Ends all threads.
    void stop();

private:
    struct worker {
        event_loop loop;
        std::mt19937_64 engine;
        std::unique_ptr<http_client> client;
        std::unique_ptr<http_server> mesh;
        std::unique_ptr<http_server> arrivals;
        worker_context lane;
        std::vector<subscription> timers;
        std::thread thread;
    };

    data_plane(const node_settings& settings, metrics& data, hooks connections);

    absl::Status open(const node_settings& settings, std::uint64_t seed);
    absl::Status open_worker(worker& opened, const node_settings& settings);
    worker_context make_lane(worker& owner);
    void refuse_after_stop(http_exchange& exchange) const;

    hooks connections_;
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
