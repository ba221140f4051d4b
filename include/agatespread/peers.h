#pragma once

#include <agatespread/admission.h>
#include <agatespread/base.h>
#include <agatespread/failure_rate.h>
#include <agatespread/link_backlog.h>
#include <agatespread/placement.h>
#include <agatespread/wire.h>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// Where a node is reached; written to the platform when the node starts.
struct peer_entry {
    node_id node;
    std::string failure_domain;
    std::string service;        ///< Of the upstream beside the node.
    std::string call_address;   ///< Takes requests for the upstream.
    std::string report_address; ///< Takes reports as datagrams.

    friend bool operator==(const peer_entry& left, const peer_entry& right)
    {
        return left.node == right.node && left.failure_domain == right.failure_domain &&
               left.service == right.service && left.call_address == right.call_address &&
               left.report_address == right.report_address;
    }
};

/// What a node tells the others in each datagram.
struct peer_report {
    peer_entry entry;
    std::uint64_t incarnation = 0; ///< Random; another one is another process of the node.
    std::uint64_t sequence = 0;    ///< Grows with each report of a process.
    upstream_state state = upstream_state::gone;
    reported_load load;
    config_version in_force = 0;
    bool can_read_platform = true;     ///< Its calls to the platform succeed, or it makes none.
    std::vector<crash_report> crashes; ///< Of the last seconds.
};

/// Returns what a node reports of its own upstream.
reported_load make_load_report(const admission_load& gate, const link_backlog& link,
                               const failure_rate& failures, time_point now);

/// Returns the CBOR form of a report.
std::string encode_report(const peer_report& report);

/// Reads a report; the error names the field that is wrong.
absl::StatusOr<peer_report> decode_report(std::string_view bytes);

/// Returns the CBOR form of an entry, its row in the platform's table.
std::string encode_entry(const peer_entry& entry);

/// Reads an entry; the error names the field that is wrong.
absl::StatusOr<peer_entry> decode_entry(std::string_view bytes);

/// The times of the peer directory.
struct peer_options {
    /// A peer that sent no report for so many of its periods is silent. One lost datagram in
    /// 2,000 makes three in a row improbable.
    int missed_reports = 3;
    /// Reports that a node sends in a second to the peers of its own failure domain, which get
    /// most of its requests, and to those of all others.
    double near_reports_per_second = 60;
    double far_reports_per_second = 30;
    std::chrono::milliseconds shortest_period = std::chrono::milliseconds(100);
    /// A measured transit time holds for so long; an avoided peer is tried again after it.
    std::chrono::milliseconds transit_memory = std::chrono::milliseconds(500);
    std::chrono::milliseconds forget_after = std::chrono::minutes(10);
};

/// A peer whose upstream may get a request.
struct eligible_peer {
    node_id node;
    std::string call_address;
    bool local_domain = false;
    reported_load load;
    std::uint32_t sent_since_report = 0;
    std::chrono::nanoseconds transit{
        0}; ///< Time on the way, as measured; 0 without a recent answer.
};

/// The nodes of the mesh, from the platform's table and from their own reports.
///
///     peers others("cairo-1", "cairo", {});
///     others.learn(entry);
///     bool news = others.receive(report, now);
///     std::vector<eligible_peer> to = others.eligible("charts", now);
class peers {
public:
    peers(node_id own, std::string failure_domain, const peer_options& options);

    /// Takes an entry of the platform's table.
    void add_entry(const peer_entry& entry, time_point now);

    /// Forgets a node whose entry was removed, unless it still sends reports.
    void remove(const node_id& node, time_point now);

    /// Takes a report and returns whether it is newer than the last one of its node.
    bool receive(const peer_report& report, time_point now);

    /// Counts a request that was sent to a peer.
    void record_sent(const node_id& node);

    /// Takes the load that a peer stated in an answer, and the time that request and answer
    /// spent on the way.
    void record_response(const node_id& node, const reported_load& load,
                         std::chrono::nanoseconds transit, time_point now);

    /// Takes that a peer's upstream refused work; it gets none until its next report.
    void record_refusal(const node_id& node, time_point now);

    /// Takes that a peer could not be reached; it gets nothing until its next report.
    void record_failure(const node_id& node, time_point now);

    /// Returns the peers with a ready upstream of a service that were heard lately.
    std::vector<eligible_peer> eligible(std::string_view service, time_point now) const;

    /// Returns the known peers of the own failure domain, or those of all others.
    std::vector<peer_entry> in_domain(bool own) const;

    /// Returns the number of known nodes with the own one.
    std::size_t size() const { return peers_.size() + 1; }

    /// Returns the period of reports to the peers of the own failure domain, or to all others.
    std::chrono::milliseconds report_period(bool own_domain) const;

    /// Returns the peers, of the own failure domain or of all others, that reported the highest
    /// version above `version`.
    std::vector<peer_entry> ahead_of(config_version version, bool own_domain, time_point now) const;

    /// Returns whether the own node is one of the first `readers` nodes of its failure domain, in
    /// the order of their ids, among those that can read the platform.
    bool is_reader(std::size_t readers, time_point now) const;

    /// Forgets peers that were silent for long.
    void expire(time_point now);

private:
    struct peer {
        peer_entry entry;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        upstream_state state = upstream_state::gone;
        reported_load load;
        config_version in_force = 0;
        bool can_read_platform = true;
        std::uint32_t sent_since_report = 0;
        std::chrono::nanoseconds transit{0};
        time_point transit_at;
        time_point heard;       ///< The epoch before the first report.
        time_point last_known;  ///< Of a report or an entry.
        bool suspended = false; ///< Until the next report.
    };

    bool is_heard(const peer& subject, time_point now) const;
    bool is_near(const peer& subject) const;
    void count_near();

    const node_id own_;
    const std::string failure_domain_;
    const peer_options options_;
    std::map<node_id, peer> peers_;
    std::size_t near_count_ = 0; ///< Peers of the own failure domain.
};

} // namespace agatespread
