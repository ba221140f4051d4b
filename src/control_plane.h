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

/// What the control plane tells the rest of the node.
struct control_hooks {
    std::function<void(std::shared_ptr<const snapshot>)> in_force;
    std::function<void(const std::vector<member_record>&)> members_changed;
    /// Takes a crash report of another node and returns whether it was news.
    std::function<bool(const crash_report&)> crash_reported;
    std::function<void()> drain_requested;
};

/// The shares of frames that are dropped on purpose, for tests of faults.
struct transport_faults {
    double drop_domain = 0; ///< Between nodes of this failure domain.
    double drop_remote = 0; ///< To nodes of other failure domains.
    bool cut_remote = false;
};

/// Membership, distribution and the platform's store on the control thread.
///
/// All functions are called on the loop's thread.
class control_plane {
public:
    static absl::StatusOr<std::unique_ptr<control_plane>>
    start(event_loop& loop, const node_settings& settings, std::string inbound_address,
          metrics& data, control_hooks hooks, random_source random);

    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    ~control_plane();

    std::string peer_address() const { return transport_->address(); }
    membership& members() { return *members_; }
    distributor& versions() { return *versions_; }
    config_store& store() { return *store_; }
    platform& driver() { return *driver_; }

    /// Returns whether the node serves a version at or above its fence.
    bool ready() const;

    /// Announces the upstream of this target.
    void set_upstream(const upstream_record& upstream);

    /// Takes a change that this node committed.
    void committed(const head& accepted, const change& request);

    /// Sends a crash report of this node to the nodes that need it.
    void report_crash(const crash_report& report);

    /// Asks a node to drain its upstream; returns false for an unknown node.
    bool request_drain(const node_id& target, const std::string& operator_id);

    /// Calls back with the convergence of all failure domains, from a reader where one answers.
    void request_status(std::function<void(std::vector<domain_summary>)> done);

    /// Tells all members that this node leaves.
    void leave();

    /// Drops frames as given.
    void inject(const transport_faults& faults);

private:
    struct status_wait {
        std::function<void(std::vector<domain_summary>)> done;
        subscription timeout;
    };

    control_plane(event_loop& loop, const node_settings& settings, metrics& data,
                  control_hooks hooks, random_source random);

    absl::Status open(const node_settings& settings, std::string inbound_address);
    absl::Status open_transport(const node_settings& settings);
    void open_members(const node_settings& settings, std::string inbound_address);
    membership_hooks make_membership_hooks();
    distribution_hooks make_distribution_hooks();
    void tick(time_point now);
    void receive(const peer_endpoint& from, const message& content);
    void receive_crash_report(const peer_endpoint& from, const crash_report& report);
    void receive_drain(const drain& request);
    void send(const outgoing_message& batch);
    absl::Status apply(const config_tree& tree, config_version version,
                       const std::string& manifest_id);
    void publish_members();
    void update_gauges();
    void end_status(std::uint64_t id, std::vector<domain_summary> domains);
    std::vector<peer_endpoint> crash_report_targets(bool to_remote) const;

    event_loop& loop_;
    metrics& data_;
    control_hooks hooks_;
    random_source random_;
    const node_id self_;
    const std::string failure_domain_;

    std::unique_ptr<platform> driver_;
    std::unique_ptr<config_store> store_;
    std::unique_ptr<peer_transport> transport_;
    std::unique_ptr<membership> members_;
    std::unique_ptr<distributor> versions_;
    subscription tick_;
    time_point next_gauges_;
    bool members_dirty_ = false;
    std::optional<bool> logged_reader_;
    std::uint64_t logged_bad_objects_ = 0;
    std::uint64_t next_status_ = 1;
    std::map<std::uint64_t, status_wait> status_waits_;
};

} // namespace agatespread
