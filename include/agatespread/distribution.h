#pragma once

#include <agatespread/base.h>
#include <agatespread/membership.h>
#include <agatespread/store.h>
#include <agatespread/tree.h>
#include <agatespread/wire.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatespread {

/// Settings of the distribution.
struct distribution_options {
    std::chrono::milliseconds head_poll_period = std::chrono::seconds(1);
    std::chrono::milliseconds pull_period = std::chrono::milliseconds(200);
    std::chrono::milliseconds ack_period = std::chrono::seconds(5);
    std::chrono::milliseconds summary_change_period = std::chrono::milliseconds(200);
    std::chrono::milliseconds summary_period = std::chrono::seconds(5);
    /// How often changed records alone lead to a summary.
    std::chrono::milliseconds summary_records_period = std::chrono::seconds(1);
    std::chrono::milliseconds read_timeout = std::chrono::seconds(3);
    std::size_t recent_versions = 32; ///< Manifests kept to compute deltas.
    /// A node without any version that lacks more documents than this waits for a random time, so
    /// that after a mass restart a few readers read the tree and the others get it from them.
    std::size_t bulk_read_objects = 8;
    std::chrono::milliseconds bulk_read_spread = std::chrono::seconds(1);
    /// Documents beyond this are left out of a push; the receiver reads them from the platform.
    std::size_t max_push_bytes = 3U << 20U;
    std::size_t max_behind = 64; ///< Nodes named in a summary.
};

/// What the distribution asks of the outside; each read ends with the input of its name.
struct distribution_hooks {
    std::function<void(outgoing_message)> send;
    std::function<void(bool checked)> read_head;              ///< Ends with `on_head`.
    std::function<void(const std::string& id)> read_manifest; ///< Ends with `on_manifest`.
    std::function<void(const std::string& id)> read_object;   ///< Ends with `on_object`.
    /// Validates a tree and puts it into force as a whole, or changes nothing.
    std::function<absl::Status(const config_tree& tree, config_version version,
                               const std::string& manifest_id)>
        apply;
    /// Receives the end of `request_status`.
    std::function<void(const status_reply&)> status;
    /// Returns wall-clock milliseconds, which order the summaries of a failure domain.
    std::function<std::uint64_t()> wall_clock;
};

/// Counts of one node's distribution.
struct distribution_counts {
    std::uint64_t applied = 0;
    std::uint64_t refused = 0;       ///< Versions that the apply hook refused.
    std::uint64_t bad_objects = 0;   ///< Objects whose hash differed.
    std::uint64_t bad_manifests = 0; ///< Deltas that did not lead to the manifest they named.
    std::uint64_t pulls = 0;
    std::uint64_t head_reads = 0;
    std::uint64_t platform_reads = 0; ///< Manifests and objects.
};

/// Decides which version this node applies and whom it tells.
class distributor {
public:
    distributor() = default;
    distributor(const distributor&) = delete;
    distributor& operator=(const distributor&) = delete;
    virtual ~distributor() = default;

    /// Starts polling and, where needed, the first read.
    virtual void start(time_point now) = 0;

    /// Does what falls due; called about every 50 ms.
    virtual void tick(time_point now) = 0;

    /// Takes any message and ignores those that do not concern the distribution.
    virtual void receive(const peer_endpoint& from, const message& content, time_point now) = 0;

    /// Takes a change that this node committed.
    virtual void on_committed(const head& accepted, const change& request, time_point now) = 0;

    /// Takes the end of a read of the head.
    virtual void on_head(const absl::StatusOr<head>& result, bool checked, time_point now) = 0;

    /// Takes the end of a read of a manifest.
    virtual void on_manifest(const std::string& id, const absl::StatusOr<manifest>& result,
                             time_point now) = 0;

    /// Takes the end of a read of an object.
    virtual void on_object(const std::string& id, const absl::StatusOr<std::string>& result,
                           time_point now) = 0;

    /// Asks for the convergence of all failure domains; ends with the hook `status`.
    virtual void request_status(std::uint64_t id, time_point now) = 0;

    /// Returns the version in force, 0 for none.
    virtual config_version in_force() const = 0;

    /// Returns the documents in force.
    virtual const config_tree& tree() const = 0;

    /// Returns the counts of this node.
    virtual const distribution_counts& counts() const = 0;
};

/// Makes a distributor; "tree" is the default and "naive" the baseline.
using distributor_factory = std::unique_ptr<distributor>(distribution_options options,
                                                         distribution_hooks hooks,
                                                         membership& members, random_source random);

/// Distributes versions by readers, deltas and pulls.
///
///     distribution versions({}, hooks, members, random);
///     versions.start(timers.now());
class distribution final : public distributor {
public:
    distribution(distribution_options options, distribution_hooks hooks, membership& members,
                 random_source random);

    void start(time_point now) override;
    void tick(time_point now) override;
    void receive(const peer_endpoint& from, const message& content, time_point now) override;
    void on_committed(const head& accepted, const change& request, time_point now) override;
    void on_head(const absl::StatusOr<head>& result, bool checked, time_point now) override;
    void on_manifest(const std::string& id, const absl::StatusOr<manifest>& result,
                     time_point now) override;
    void on_object(const std::string& id, const absl::StatusOr<std::string>& result,
                   time_point now) override;
    void request_status(std::uint64_t id, time_point now) override;
    config_version in_force() const override { return current_.version; }
    const config_tree& tree() const override { return documents_; }
    const distribution_counts& counts() const override { return counts_; }

    /// Returns the version in force with its manifest and change.
    const head& current() const { return current_; }

    /// Returns the manifest in force.
    const manifest& current_manifest() const { return *manifest_; }

    /// Returns whether a version at or above the fence is in force.
    bool is_ready() const { return current_.version > 0; }

    /// Returns the last version that could not be applied; its node is this one.
    const std::optional<lagging_node>& refused() const { return refused_; }

    /// Returns the convergence of all failure domains as far as this node knows it.
    std::vector<domain_summary> convergence() const;

private:
    using shared_manifest = std::shared_ptr<const manifest>;
    using object_map = std::map<std::string, std::string>;

    struct recent_version {
        config_version version = 0;
        std::string manifest_id;
        shared_manifest tree;
    };
    /// A version that is being read from the platform.
    struct assembly {
        head target;
        shared_manifest tree; ///< Null until the manifest is known.
        object_map objects;
        std::set<std::string> missing;
        std::set<std::string> requested;
        time_point started;
        std::optional<time_point> read_at; ///< When a bulk read starts.
    };
    /// What a member reported about a version that it could not apply.
    struct refusal {
        config_version version = 0;
        std::string reason;
    };
    enum class apply_result : std::uint8_t { applied, refused, incomplete };

    // distribution.cpp: versions at this node
    bool fence_known() const;
    bool is_wanted(config_version version) const;
    apply_result apply(const head& target, shared_manifest tree, const object_map& objects,
                       const peer_endpoint* from, time_point now);
    void enter_force(const head& target, shared_manifest tree, config_tree documents,
                     const peer_endpoint* from, time_point now);
    void report(config_version version, std::string reason, time_point now);
    void assemble(const head& target, shared_manifest tree, object_map objects, time_point now);
    void request_objects(time_point now);
    bool may_read(time_point now);
    void end_failed_read(const absl::Status& status, const std::string& what, time_point now);
    void poll_head(time_point now);

    // distribution_push.cpp: versions between nodes
    void on_push(const peer_endpoint& from, const version_push& content, time_point now);
    std::optional<manifest> tree_of(const version_push& content) const;
    void take_push(const peer_endpoint& from, const version_push& content, time_point now);
    std::size_t whole_size() const;
    void on_pull(const peer_endpoint& from, const version_pull& content) const;
    void on_peer_version(const peer_endpoint& from, config_version version, time_point now);
    void pull(const peer_endpoint& from, bool whole, time_point now);
    void repeat_pull(time_point now);
    void find_first_source();
    void spread(const peer_endpoint* from, const recent_version& before, time_point now);
    void push_to_all(const recent_version& before, const peer_endpoint* from, bool to_remote) const;
    std::vector<peer_endpoint> pick_behind();
    void push_to_others(const recent_version& before);
    void check_hint(time_point now);
    version_push make_push(config_version base, const manifest& base_tree) const;
    const recent_version* find_recent(config_version version, const std::string& id) const;

    // distribution_status.cpp: convergence
    void on_version_ack(const peer_endpoint& from, const version_ack& content, time_point now);
    void on_summary(const peer_endpoint& from, const domain_summary& content, time_point now);
    void send_ack(const std::vector<node_id>& readers) const;
    void update_acks(time_point now);
    void update_summary(time_point now);
    domain_summary own_summary() const;
    std::vector<peer_endpoint> summary_targets(time_point now);
    void send(std::vector<peer_endpoint> to, message content) const;

    distribution_options options_;
    distribution_hooks hooks_;
    membership& members_;
    random_source random_;
    distribution_counts counts_;

    head current_;
    shared_manifest manifest_ = std::make_shared<const manifest>();
    config_tree documents_;
    std::deque<recent_version> recent_;
    std::optional<lagging_node> refused_;
    config_version refused_for_good_ = 0; ///< Not tried again; its tree is not valid here.
    std::optional<config_version> checked_head_;
    std::optional<assembly> assembly_;
    config_version newest_seen_ = 0;

    time_point next_poll_;
    time_point poll_sent_;
    bool poll_running_ = false;
    bool was_reader_ = false;

    time_point next_pull_;
    std::uint32_t pull_attempts_ = 0;
    std::map<node_id, config_version> sources_; ///< Peers that announced a higher version.
    recent_version hinted_;                     ///< What was in force before a local change.
    bool is_hinted_ = false;
    time_point hint_until_;
    time_point applied_at_;

    std::uint64_t seen_revision_ = 0;
    std::vector<node_id> acked_readers_;
    time_point next_ack_;
    std::map<node_id, refusal> refusals_; ///< Kept by readers, of their own failure domain.
    std::map<std::string, domain_summary> summaries_;
    std::map<std::string, time_point> summary_heard_;
    domain_summary sent_summary_;
    std::optional<time_point> summary_changed_;
    time_point next_summary_;
    time_point next_summary_check_;
    time_point sent_at_; ///< The last summary.
    time_point now_;     ///< Of the last input.
};

} // namespace agatespread
