#pragma once

#include <agatespread/admission.h>
#include <agatespread/base.h>
#include <agatespread/failure_rate.h>
#include <agatespread/link_backlog.h>
#include <agatespread/placement.h>
#include <agatespread/reader_role.h>
#include <agatespread/rollout.h>
#include <agatespread/rule_results.h>
#include <agatespread/upload_link.h>
#include <agatespread/upstream_lifecycle.h>
#include <agatespread/wire.h>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// The addresses of a node, written to the platform's table when the node starts.
struct peer_entry {
    node_id node;
    std::string failure_domain;
    std::string service;        ///< Service of the node's upstream.
    std::string call_address;   ///< Receives requests for the upstream.
    std::string report_address; ///< Receives reports as datagrams.

    friend bool operator==(const peer_entry& left, const peer_entry& right)
    {
        return left.node == right.node && left.failure_domain == right.failure_domain &&
               left.service == right.service && left.call_address == right.call_address &&
               left.report_address == right.report_address;
    }
};

/// A node's part in the quotas of tenants, see `tenant_quota`.
enum class quota_part : std::uint8_t {
    none,    ///< It has no quotas, or is of a version that does not know them.
    active,  ///< It exchanges shares.
    stopping ///< The node stops, not only its upstream, and has given up its share.
};

/// The report that a node sends to the other nodes in a datagram.
struct peer_report {
    peer_entry entry;
    std::uint64_t incarnation = 0; ///< Random number of the node's process.
    std::uint64_t sequence = 0;    ///< Increases with each report of an incarnation.
    upstream_state state = upstream_state::gone;
    reported_load load;
    config_version in_force = 0;
    bool can_read_platform = true;     ///< False if its calls to the platform fail.
    std::uint64_t platform_era = 0;    ///< The latest `feed_position::era` that it knows.
    std::vector<crash_report> crashes; ///< Crashes of the last seconds.
    /// Age of the node's `version_proof`, if it keeps one. Only a hint whom to ask, as nothing
    /// tells how long the report was on its way.
    std::optional<std::chrono::milliseconds> proof_age;
    std::string version;                     ///< Of the upstream's software; empty if not known.
    std::optional<upstream_results> results; ///< During a rollout of the upstream's service.
    std::vector<rollout_state> rollouts;
    quota_part quota = quota_part::none;
    /// Results and arrivals by rule; empty where nothing depends on them.
    std::vector<rule_results> runs;
};

/// A node that may keep the shares of others, and the time since its last message.
struct heard_peer {
    node_id node;
    std::chrono::nanoseconds heard_ago{0};
};

/// Returns the load of the own upstream as a node reports it.
reported_load make_load_report(const admission_load& gate, const link_backlog& link,
                               const failure_rate& failures, time_point now);

/// Encodes a report as CBOR.
std::string encode_report(const peer_report& report);

/// Decodes a report. The error names the first field that is missing or invalid.
absl::StatusOr<peer_report> decode_report(std::string_view bytes);

/// Encodes an entry as CBOR for its row in the platform's table.
std::string encode_entry(const peer_entry& entry);

/// Decodes an entry. The error names the first field that is missing or invalid.
absl::StatusOr<peer_entry> decode_entry(std::string_view bytes);

/// The report rates and timeouts of the peer directory.
struct peer_options {
    /// A peer is not eligible after this number of periods without a report. With a loss of one
    /// datagram in 2,000, three consecutive losses are improbable.
    int max_missed_reports = 3;
    /// Reports per second that a node sends to all peers of its own failure domain, which exchange
    /// most of its requests, and to all peers of other domains.
    double local_reports_per_second = 60;
    double remote_reports_per_second = 30;
    std::chrono::milliseconds min_report_period = std::chrono::milliseconds(100);
    /// Parts in which a node sends its reports of one period, so that neither its own link and
    /// processor nor the reports of all nodes about the same moment come in bursts.
    int parts_of_period = 8;
    /// Another failure domain counts as unreachable if nothing came from any of its nodes for this
    /// time and for this number of reports that were due from them together.
    std::chrono::milliseconds min_domain_silence = std::chrono::milliseconds(600);
    int missed_domain_reports = 10;
    /// Time for which a measured transit time is used; after it, an avoided peer is tried again.
    std::chrono::milliseconds transit_lifetime = std::chrono::milliseconds(500);
    std::chrono::milliseconds expire_after = std::chrono::minutes(10);
    /// Peers of each other failure domain that a reader tells of a new version at once. Its own
    /// readers may be cut off from the platform; one of a few datagrams arrives.
    std::size_t remote_recipients = 2;
};

/// A peer whose upstream may receive a request.
struct eligible_peer {
    node_id node;
    std::string call_address;
    bool local_domain = false;
    reported_load load;
    std::uint32_t sent_since_report = 0;
    std::string version;                 ///< Of the upstream's software; empty if not known.
    std::chrono::nanoseconds transit{0}; ///< Measured network time; 0 without a recent response.
};

/// The slots of several upstreams.
struct slot_use {
    std::uint64_t slots = 0;
    std::uint64_t free = 0; ///< Of those, without a running or queued request.

    void add(const reported_load& load);
};

/// What a peer's last report says that concerns rollouts.
struct peer_rollouts {
    node_id node;
    std::string service;
    std::string version;
    upstream_state state = upstream_state::gone;
    bool idle = false; ///< Its gate has neither running nor queued requests.
    std::optional<upstream_results> results;
    std::vector<rollout_state> rollouts;
};

/// The directory of the mesh's nodes, from the platform's table and from the nodes' reports.
///
///     peers others("cairo-1", "cairo", {});
///     others.add_entry(entry, now);
///     bool updated = others.receive(report, now);
///     std::vector<eligible_peer> to = others.eligible("charts", now);
class peers {
public:
    peers(node_id own, std::string failure_domain, const peer_options& options);

    /// Adds or updates an entry of the platform's table.
    void add_entry(const peer_entry& entry, time_point now);

    /// Removes a node whose entry was deleted from the table, unless it still sends reports.
    void remove(const node_id& node, time_point now);

    /// Applies a report. Returns false if it is from this node or not newer than the last one of
    /// its node.
    bool receive(const peer_report& report, time_point now);

    /// Counts a request that was sent to a peer.
    void record_sent(const node_id& node);

    /// Records the load that a peer reported in a response, and the network time of the request and
    /// the response.
    void record_response(const node_id& node, const reported_load& load,
                         std::chrono::nanoseconds transit, time_point now);

    /// Records that a request to a peer got no response for a time and was given up. Without it, a
    /// peer that loses requests would appear as near as one that was never asked.
    void record_silence(const node_id& node, std::chrono::nanoseconds waited, time_point now);

    /// Records what a peer's upstream said in a response; nothing if it named neither a limit nor
    /// its leaving. A leaving is kept until another incarnation says something.
    void record_announcement(const node_id& node,
                             const std::optional<upstream_announcement>& announced);

    /// Returns what a peer's upstream said last.
    std::optional<upstream_announcement> announcement_of(const node_id& node) const;

    /// Records that a peer's upstream refused a request; it is not eligible until its next report.
    void record_refusal(const node_id& node, time_point now);

    /// Records that a peer could not be reached; it is not eligible until its next report.
    void record_failure(const node_id& node, time_point now);

    /// Returns the peers with a ready upstream of a service that have reported recently.
    ///
    /// Load pattern: a failure domain is cut off. In a large mesh a single node of it counts as
    /// recent for many seconds, and each request that is sent there is lost or late. Peers of a
    /// domain of which nothing is heard are returned only if there are no others.
    std::vector<eligible_peer> eligible(std::string_view service, time_point now) const;

    /// Returns what the peers that have reported recently say of rollouts.
    std::vector<peer_rollouts> rollouts(time_point now) const;

    /// Returns the results of a rule that the peers with upstreams of a service reported recently.
    std::vector<run_count> runs_of(std::string_view service, std::uint32_t kind,
                                   time_point now) const;

    /// Returns the slots of the upstreams that may receive requests of a service, as reported.
    slot_use slots_of(std::string_view service, time_point now) const;

    /// Returns the arrivals of a rule's requests that all peers reported recently.
    idle_arrivals arrivals_of(std::uint32_t kind, time_point now) const;

    /// Returns the peers of the own failure domain, or those of all other domains.
    std::vector<peer_entry> in_domain(bool own) const;

    /// Returns the interval between two parts of the regular reports, see `next_recipients`.
    std::chrono::milliseconds report_interval(bool own_domain) const;

    /// Returns the peers, of the own failure domain or of the others, that get the next part of the
    /// regular reports. Called each `report_interval`, it returns each peer once in a
    /// `report_period`. `elapsed` is the time since the last call.
    std::vector<peer_entry> next_recipients(bool own_domain, std::chrono::milliseconds elapsed);

    /// Returns the entry of a peer.
    std::optional<peer_entry> find(const node_id& node) const;

    /// Returns a peer to ask for its `version_proof`: one of those with nearly the youngest proof
    /// of the own failure domain, or of all if those of the own domain are clearly older. Without
    /// any reported proof, a random peer of the own domain.
    std::optional<peer_entry> proof_source(const random_source& random, time_point now) const;

    /// Returns the number of nodes that were heard of within `period` and do not stop, including
    /// the own one.
    std::size_t count_heard(std::chrono::milliseconds period, time_point now) const;

    /// Returns the peers of the own failure domain that have reported recently and take part in
    /// quotas.
    std::vector<heard_peer> quota_peers(time_point now) const;

    /// Returns the number of nodes, including the own one.
    std::size_t size() const { return peers_.size() + 1; }

    /// Returns the period of reports to the peers of the own failure domain, or to those of all
    /// other domains.
    std::chrono::milliseconds report_period(bool own_domain) const;

    /// Returns the peers that reported the highest version above `version`, from the own failure
    /// domain or from all other domains, without the nodes in `except`.
    std::vector<peer_entry> ahead_of(config_version version, bool own_domain,
                                     const std::set<node_id>& except, time_point now) const;

    /// Returns the peers that are told of a new version at once: those of the own failure domain,
    /// and, if the own node is a reader, `remote_recipients` random ones of each other domain.
    ///
    /// The others hear of it from a node of their domain, so that the datagrams between domains do
    /// not grow with the number of nodes.
    std::vector<peer_entry> version_recipients(bool is_reader, const random_source& random,
                                               time_point now) const;

    /// Returns the peers that have an entry but have not reported recently.
    std::vector<peer_entry> unheard(time_point now) const;

    /// Returns whether the own node is among the first `readers` nodes of its failure domain, by
    /// id, that can read the platform.
    bool is_reader(std::size_t readers, time_point now) const;

    /// Returns the nodes of the own failure domain that come before the own one by id.
    ///
    /// Load pattern: many nodes start at the same time. A node whose entry was read counts until
    /// its first report is overdue, so that not each of them takes itself for the first one.
    nodes_ahead ahead_by_id(time_point now) const;

    /// Removes peers without a report or an entry for `expire_after`.
    void expire(time_point now);

private:
    struct domain_contact {
        std::string name;
        std::size_t peers = 0;
        time_point last_heard_at; ///< Last report or response of any peer; the epoch for none.
    };

    /// The position in the regular reports to one group of peers.
    struct rotation {
        node_id last;           ///< The last recipient.
        double outstanding = 0; ///< Reports that are due, with fractions.
    };

    struct peer {
        peer_entry entry;
        std::size_t domain = 0; ///< Index in `domains_`.
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        upstream_state state = upstream_state::gone;
        reported_load load;
        config_version in_force = 0;
        bool can_read_platform = true;
        std::uint32_t sent_since_report = 0;
        std::chrono::nanoseconds transit{0};
        time_point transit_measured_at;
        time_point last_received_at; ///< Last report or response; the epoch for none.
        time_point last_updated_at;  ///< Last report or table entry.
        bool suspended = false;      ///< Not eligible until the next report.
        time_point proven_at;        ///< Of its last reported proof; the epoch for none.
        std::optional<upstream_announcement> announced;
        std::string version;
        bool idle = false; ///< As of its last report.
        std::optional<upstream_results> results;
        std::vector<rollout_state> rollouts;
        quota_part quota = quota_part::none;
        std::vector<rule_results> runs;
        time_point reported_at; ///< Of the last report; the epoch for none.
    };

    bool has_recent_report(const peer& subject, time_point now) const;
    bool is_alive(const peer& subject, time_point now) const;
    /// Returns whether a peer that has never been heard may still send its first report.
    bool is_expected(const peer& subject, time_point now) const;
    bool is_local(const peer& subject) const;
    bool is_domain_silent(const peer& subject, time_point now) const;
    void set_entry(peer& subject, const peer_entry& entry);
    void hear(peer& subject, time_point now);
    void update_counts();

    const node_id own_;
    const std::string failure_domain_;
    const peer_options options_;
    std::map<node_id, peer> peers_;
    std::vector<domain_contact> domains_;
    rotation near_reports_;
    rotation far_reports_;
    std::size_t local_count_ = 0; ///< Peers of the own failure domain.
};

} // namespace agatespread
