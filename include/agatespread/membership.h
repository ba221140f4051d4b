#pragma once

#include <agatespread/base.h>
#include <agatespread/peer.h>
#include <agatespread/wire.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// A message and all of its receivers; it is encoded once for all of them.
struct outgoing_message {
    std::vector<peer_endpoint> to;
    message content;
};

/// Timeouts, limits and identity of a `membership`.
struct membership_options {
    node_id self;
    std::string failure_domain;
    std::string peer_address;
    std::string inbound_address;
    std::vector<std::string> seeds; ///< Peer addresses to which join requests are sent.
    /// The first incarnation; wall-clock seconds make it increase across restarts.
    std::uint64_t first_incarnation = 1;
    std::chrono::milliseconds probe_period = std::chrono::seconds(1);
    std::chrono::milliseconds probe_timeout = std::chrono::milliseconds(300);
    std::chrono::milliseconds suspicion_timeout = std::chrono::seconds(2);
    /// Members that became unreachable within this window count as evidence that the node itself
    /// is cut off.
    std::chrono::milliseconds detection_window = std::chrono::seconds(30);
    std::chrono::milliseconds unreachable_retention = std::chrono::minutes(10);
    std::chrono::milliseconds left_retention = std::chrono::minutes(1);
    std::chrono::milliseconds join_timeout = std::chrono::milliseconds(500);
    std::chrono::milliseconds join_retry_cap = std::chrono::seconds(2);
    std::chrono::milliseconds join_window = std::chrono::milliseconds(100);
    std::size_t joins_per_window = 8; ///< Joins that get a full reply; others get a retry delay.
    std::size_t indirect_probes = 3;
    std::size_t updates_per_message = 8;
    std::size_t max_members = 8000;
};

/// Callbacks through which the membership sends messages and reports changes.
struct membership_hooks {
    std::function<void(outgoing_message)> send;
    /// Called when a record is added or changes in more than its version.
    std::function<void(const member_record&)> changed;
    std::function<void(const node_id&)> removed;
};

/// Progress of a join; `standalone` means without seeds, or not joined after the first attempts.
enum class join_state : std::uint8_t { joining, confirming, joined, standalone };

/// Maintains the member list by gossip and failure detection; it does no I/O and owns no clock or
/// random generator.
///
/// The owner calls `tick` about every 50 ms and passes every received message to `receive`.
///
///     membership members(options, {send, changed, removed}, random);
///     members.start(timers.now());
class membership {
public:
    membership(membership_options options, membership_hooks hooks, random_source random);

    /// Starts joining through the seeds.
    void start(time_point now);

    /// Sends due probes and join retries, declares suspects unreachable after the suspicion timeout
    /// and removes expired records.
    void tick(time_point now);

    /// Handles a membership message; other messages only count as contact with the sender.
    void receive(const peer_endpoint& from, const message& content, time_point now);

    /// Sets the upstream record of this target and announces a change immediately.
    void set_upstream(const upstream_record& upstream, time_point now);

    /// Sets the version in force; the node is ready when it is above 0. Only a change of readiness
    /// is announced immediately.
    void set_in_force(config_version version, time_point now);

    /// Announces to the members that this node leaves.
    void leave(time_point now);

    /// Records the version that a node announced.
    void record_announced_version(const node_id& node, config_version version);

    /// Returns the record of this node.
    const member_record& self() const { return self_; }

    /// Returns the record of a node, or null.
    const member_record* find(const node_id& node) const;

    /// Returns all records, including this node's own.
    std::vector<member_record> members() const;

    /// Returns the records of a failure domain, including this node's own if it is in it.
    std::vector<member_record> members_of(const std::string& failure_domain) const;

    /// Returns the endpoints of the other alive or suspect members of this node's failure domain.
    std::vector<peer_endpoint> domain_peers() const;

    /// Returns all known failure domains.
    std::vector<std::string> failure_domains() const;

    /// Returns at most two readers of a failure domain, the highest rank first.
    ///
    /// Readers are ready members. If no member is ready, alive members are ranked instead, so that
    /// only two nodes read the platform after all nodes of a failure domain restarted.
    const std::vector<node_id>& readers_of(const std::string& failure_domain) const;

    /// Returns this node's position among the readers of its failure domain.
    std::optional<std::size_t> reader_position() const;

    /// Returns the peer endpoint of a node, or nothing for an unknown one.
    std::optional<peer_endpoint> endpoint_of(const node_id& node) const;

    /// Returns whether this node appears to be partitioned from its failure domain.
    bool is_cut_off() const { return cut_off_; }

    /// Returns the progress of the join.
    join_state state() const { return join_state_; }

    /// Returns the lowest version that this node may serve, or nothing until it has joined and a
    /// peer has sent one.
    std::optional<config_version> fence() const
    {
        return join_state_ == join_state::joined ? fence_ : std::nullopt;
    }

    /// Returns the highest version that a node announced, or 0 if none is stored.
    config_version last_announced(const node_id& node) const;

    /// Returns the highest version announced in a failure domain, or 0 if none is stored.
    config_version highest_announced(const std::string& failure_domain) const;

    /// Raises the highest version of a failure domain; a lower version is ignored.
    void record_highest_version(const std::string& failure_domain, config_version version);

    /// Returns the digest of the records of a failure domain, excluding versions and members that
    /// are unreachable or left.
    std::uint64_t digest_of(const std::string& failure_domain) const;

    /// Returns the records of a failure domain that are still being piggybacked, at most `limit`.
    std::vector<member_record> recent_changes(const std::string& failure_domain,
                                              std::size_t limit) const;

    /// Returns a counter that increases with each change of the records, except of versions.
    std::uint64_t revision() const { return revision_; }

private:
    struct member {
        member_record record;
        /// Time of the last state change, or of the last restart of the suspicion timeout.
        time_point since;
        std::uint64_t hash = 0;            ///< Hash of the record without its version.
        std::uint32_t remaining_sends = 0; ///< Messages that will still piggyback the record.
    };
    struct probe {
        node_id subject;
        std::uint64_t sequence = 0;
        time_point sent;
        bool indirect = false;
    };
    struct relay {
        peer_endpoint requester;
        std::uint64_t sequence = 0;
        time_point until;
    };

    struct tombstone {
        member_record record;
        time_point until;
    };
    enum class spread_mode : std::uint8_t { none, gossip };

    // membership.cpp: member table
    bool merge(const member_record& record, spread_mode mode, time_point now);
    void store(member_record record, spread_mode mode, time_point now);
    bool blocked_by_tombstone(const member_record& record, time_point now);
    void refute(const member_record& about_self, time_point now);
    void announce(time_point now);
    void erase_expired(time_point now);
    void remove_member(const node_id& node, time_point now);
    void mark_changed(const std::string& failure_domain, time_point now);
    void update_self_hash();
    std::vector<node_id> rank_readers(const std::string& failure_domain) const;
    void add_remote_readers(std::vector<peer_endpoint>& targets) const;
    void send(std::vector<peer_endpoint> to, message content) const;

    // membership_probe.cpp: failure detection
    void probe_next(time_point now);
    void probe_unreachable();
    void probe_reader(time_point now);
    void start_probe(const member_record& subject, time_point now);
    void end_probes_of(const node_id& subject);
    void check_probes(time_point now);
    void request_indirect_probes(const probe& running);
    void on_probe_failed(const node_id& subject, time_point now);
    void mark_suspect(const node_id& node, time_point now);
    void expire_suspects(time_point now);
    bool is_domain_silent() const;
    void update_cut_off(time_point now);
    void resume_after_pause(time_point now);
    std::uint64_t send_ping(const member_record& subject);
    std::vector<node_id> sample_alive_members(std::size_t count, const node_id& except);
    std::vector<node_id> domain_members(member_state max_state) const;
    void on_ping(const peer_endpoint& from, const ping& content, time_point now);
    void on_ack(const peer_endpoint& from, const ack& content, time_point now);
    void on_ping_request(const peer_endpoint& from, const ping_request& content, time_point now);
    void record_contact(const node_id& node, time_point now);

    // membership_gossip.cpp: piggybacking and anti-entropy
    std::vector<member_record> take_updates();
    void add_unless_alive(std::vector<member_record>& updates, const node_id& node) const;
    void merge_updates(const std::vector<member_record>& updates, time_point now);
    void flush_forwards();
    void compare_digest(const peer_endpoint& from, std::uint64_t digest, time_point now);
    void on_members_pull(const peer_endpoint& from, const members_pull& content) const;
    void on_members_push(const peer_endpoint& from, const members_push& content, time_point now);
    void on_domain_summary(const peer_endpoint& from, const domain_summary& content,
                           time_point now);
    void mark_missing(const std::string& failure_domain, const members_push& content,
                      time_point now);
    std::uint64_t table_digest() const;
    std::vector<domain_digest> all_digests() const;

    // membership_join.cpp: join and fence requests
    void try_join(time_point now);
    void exchange_digests(time_point now);
    std::vector<std::string> unknown_seeds() const;
    void on_join(const peer_endpoint& from, const join& content, time_point now);
    std::chrono::milliseconds defer_join(time_point now);
    void on_join_reply(const peer_endpoint& from, const join_reply& content, time_point now);
    void begin_confirming(const node_id& responder, time_point now);
    void request_fence(const std::vector<node_id>& nodes) const;
    void advance_join(time_point now);

    membership_options options_;
    membership_hooks hooks_;
    random_source random_;
    member_record self_;
    std::map<node_id, member> members_; ///< Excludes this node.
    std::map<std::string, std::uint64_t> digests_;
    std::map<std::string, std::set<node_id>> domains_; ///< Excludes this node.
    mutable std::map<std::string, std::vector<node_id>> readers_;
    std::uint64_t revision_ = 0;
    std::uint64_t self_hash_ = 0;

    time_point last_tick_;
    time_point next_probe_;
    time_point next_reader_probe_;
    time_point next_cleanup_;
    std::vector<node_id> probe_order_;
    std::vector<probe> probes_;
    std::map<std::uint64_t, relay> relays_;
    std::uint64_t sequence_ = 0;
    time_point last_contact_;
    std::uint32_t failed_probes_ = 0; ///< Since the last message from this node's failure domain.
    std::uint32_t probe_count_ = 0;
    bool cut_off_ = false;

    std::set<node_id> updates_;  ///< Nodes whose records are still piggybacked.
    std::set<node_id> forwards_; ///< Records of other failure domains that a reader forwards.
    std::map<node_id, tombstone> tombstones_;
    std::map<std::string, time_point> mismatches_; ///< Failure domains whose digest differed.
    std::set<std::string> pulled_domains_;
    std::uint32_t self_remaining_sends_ = 0;
    time_point last_pull_;
    time_point last_change_;

    join_state join_state_ = join_state::joining;
    std::uint64_t join_nonce_ = 0;
    std::uint32_t join_attempts_ = 0;
    time_point next_exchange_;
    time_point next_fence_request_;
    time_point next_join_;
    time_point confirm_until_;
    time_point joined_at_;
    std::set<node_id> confirming_;
    std::optional<config_version> fence_;
    time_point join_window_start_;
    std::size_t joins_accepted_ = 0;
    std::size_t joins_deferred_ = 0;
    std::map<node_id, config_version> announced_; ///< Kept after a record is removed.
    std::map<std::string, config_version> highest_;
};

} // namespace agatespread
