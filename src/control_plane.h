#pragma once

#include <agatespread/distribution.h>
#include <agatespread/event_loop.h>
#include <agatespread/membership.h>
#include <agatespread/metrics.h>
#include <agatespread/peer.h>
#include <agatespread/platform.h>
#include <agatespread/settings.h>
#include <agatespread/snapshot.h>
#include <agatespread/store.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespread {

/// Callbacks from the control plane to the rest of the node; all run on the loop's thread.
struct control_hooks {
    /// Receives the snapshot of each version that the node starts to serve.
    std::function<void(std::shared_ptr<const snapshot>)> snapshot_applied;
    std::function<void(const std::vector<member_record>&)> members_changed;
    /// Applies a crash report of another node and returns whether it was new to this node.
    std::function<bool(const crash_report&)> crash_reported;
    std::function<void()> drain_requested;
};

/// Faults injected into outgoing peer frames, for fault-injection tests.
struct transport_faults {
    double drop_domain = 0;  ///< Drop probability within this failure domain, 0 to 1.
    double drop_remote = 0;  ///< Drop probability to other failure domains, 0 to 1.
    bool cut_remote = false; ///< Drops all frames to other failure domains.
};

/// Runs membership, configuration distribution and access to the platform's store on the control
/// thread.
///
/// All functions must be called on the loop's thread.
class control_plane {
public:
    /// Opens the peer transport and starts membership and distribution; fails with the reason
    /// "settings" for an unknown driver or distribution, or if the peer address cannot be opened.
    static absl::StatusOr<std::unique_ptr<control_plane>>
    start(event_loop& loop, const node_settings& settings, std::string inbound_address,
          metrics& metric_registry, control_hooks hooks, random_source random);

    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    ~control_plane();

    std::string peer_address() const { return transport_->address(); }
    membership& members() { return *members_; }
    distributor& config_distributor() { return *distributor_; }
    config_store& store() { return *store_; }
    platform& driver() { return *driver_; }

    /// Returns whether the node serves a version at or above its fence.
    bool ready() const;

    /// Publishes the state of this target's upstream to the members.
    void set_upstream(const upstream_record& upstream);

    /// Starts to distribute a change that this node committed.
    void on_change_committed(const head& accepted, const change& request);

    /// Sends a crash report of this node to its failure domain and to the readers of the others.
    void report_crash(const crash_report& report);

    /// Asks a node to drain its upstream; returns false for an unknown node.
    bool request_drain(const node_id& target, const std::string& operator_id);

    /// Calls `done` with the convergence of all failure domains, or with an empty list if no reader
    /// responds before the timeout.
    void request_status(std::function<void(std::vector<domain_summary>)> done);

    /// Announces to the members that this node leaves.
    void leave();

    /// Replaces the injected transport faults.
    void set_transport_faults(const transport_faults& faults);

private:
    struct pending_status_request {
        std::function<void(std::vector<domain_summary>)> done;
        subscription timeout;
    };

    control_plane(event_loop& loop, const node_settings& settings, metrics& metric_registry,
                  control_hooks hooks, random_source random);

    absl::Status open(const node_settings& settings, std::string inbound_address);
    absl::Status open_transport(const node_settings& settings);
    void create_membership(const node_settings& settings, std::string inbound_address);
    membership_hooks make_membership_hooks();
    distribution_hooks make_distribution_hooks();
    void tick(time_point now);
    void receive(const peer_endpoint& from, const message& content);
    void receive_crash_report(const peer_endpoint& from, const crash_report& report);
    void receive_drain(const drain& request);
    void send(const outgoing_message& outgoing);
    absl::Status apply(const config_tree& tree, config_version version,
                       const std::string& manifest_id);
    void publish_members();
    void update_gauges();
    void complete_status_request(std::uint64_t id, std::vector<domain_summary> domains);
    std::vector<peer_endpoint> crash_report_recipients(bool to_remote) const;

    event_loop& loop_;
    metrics& metric_registry_;
    control_hooks hooks_;
    random_source random_;
    const node_id self_;
    const std::string failure_domain_;

    std::unique_ptr<platform> driver_;
    std::unique_ptr<config_store> store_;
    std::unique_ptr<peer_transport> transport_;
    std::unique_ptr<membership> members_;
    std::unique_ptr<distributor> distributor_;
    subscription tick_;
    time_point next_gauge_update_;
    bool members_dirty_ = false;
    std::optional<bool> logged_reader_;
    std::uint64_t logged_bad_objects_ = 0;
    std::uint64_t next_status_id_ = 1;
    std::map<std::uint64_t, pending_status_request> pending_status_requests_;
};

} // namespace agatespread
