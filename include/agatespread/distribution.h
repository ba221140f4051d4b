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

/// Configures how versions are fetched from the platform and distributed among nodes.
struct distribution_options {
    /// Mean time between head reads of the first reader; the second reader uses twice this time.
    std::chrono::milliseconds head_poll_period = std::chrono::seconds(1);
    /// Least time between pulls; doubles with each pull until a version is applied, at most twice.
    std::chrono::milliseconds pull_period = std::chrono::milliseconds(200);
    std::chrono::milliseconds ack_period = std::chrono::seconds(5);
    std::chrono::milliseconds summary_change_period = std::chrono::milliseconds(200);
    std::chrono::milliseconds summary_period = std::chrono::seconds(5);
    /// Least time between summaries that are sent only because member records changed.
    std::chrono::milliseconds summary_records_period = std::chrono::seconds(1);
    std::chrono::milliseconds read_timeout = std::chrono::seconds(3);
    std::size_t recent_versions = 32; ///< Previous manifests kept to compute deltas.
    /// A node without a version that needs more documents than this delays its reads by a random
    /// time, so that after a mass restart a few readers read the tree from the platform and the
    /// other nodes pull it from those readers.
    std::size_t bulk_read_objects = 8;
    /// Upper bound of that delay.
    std::chrono::milliseconds bulk_read_jitter = std::chrono::seconds(1);
    /// Size limit of the documents in a push; the receiver reads the others from the platform.
    std::size_t max_push_bytes = 3U << 20U;
    std::size_t max_behind = 64; ///< Largest number of lagging nodes listed in a summary.
};

/// Callbacks of the distribution. Reads are asynchronous: each result is passed to the function of
/// the distributor that is named at the callback.
struct distribution_hooks {
    std::function<void(outgoing_message)> send;
    /// Reads the head and ends with `on_head`. A checked read is a transaction on the head, which
    /// never returns a stale value.
    std::function<void(bool checked)> read_head;
    std::function<void(const std::string& id)> read_manifest; ///< Ends with `on_manifest`.
    std::function<void(const std::string& id)> read_object;   ///< Ends with `on_object`.
    /// Validates a tree and puts it into force atomically; changes nothing on error.
    std::function<absl::Status(const config_tree& tree, config_version version,
                               const std::string& manifest_id)>
        apply;
    /// Receives the result of `request_status`.
    std::function<void(const status_reply&)> status;
    /// Returns wall-clock milliseconds, the sequence number of the summaries of a failure domain.
    std::function<std::uint64_t()> wall_clock;
};

/// Counters of one node's distribution.
struct distribution_counts {
    std::uint64_t applied = 0;
    std::uint64_t refused = 0;       ///< Versions that the `apply` callback rejected.
    std::uint64_t bad_objects = 0;   ///< Objects whose content did not match their hash.
    std::uint64_t bad_manifests = 0; ///< Manifests that did not match their hash.
    std::uint64_t pulls = 0;
    std::uint64_t head_reads = 0;
    std::uint64_t platform_reads = 0; ///< Reads of manifests and objects, without the head.
};

/// Decides which version this node applies and to which nodes it sends versions.
class distributor {
public:
    distributor() = default;
    distributor(const distributor&) = delete;
    distributor& operator=(const distributor&) = delete;
    virtual ~distributor() = default;

    /// Starts the timers; the first poll of the head follows in `tick`.
    virtual void start(time_point now) = 0;

    /// Runs the timed work that is due; called about every 50 ms.
    virtual void tick(time_point now) = 0;

    /// Handles a message from a peer and ignores messages of other components.
    virtual void receive(const peer_endpoint& from, const message& content, time_point now) = 0;

    /// Handles a change that this node committed to the platform.
    virtual void on_committed(const head& accepted, const change& request, time_point now) = 0;

    /// Handles the result of `read_head`.
    virtual void on_head(const absl::StatusOr<head>& result, bool checked, time_point now) = 0;

    /// Handles the result of `read_manifest`.
    virtual void on_manifest(const std::string& id, const absl::StatusOr<manifest>& result,
                             time_point now) = 0;

    /// Handles the result of `read_object`.
    virtual void on_object(const std::string& id, const absl::StatusOr<std::string>& result,
                           time_point now) = 0;

    /// Requests the convergence of all failure domains; ends with the callback `status`.
    virtual void request_status(std::uint64_t id, time_point now) = 0;

    /// Returns the version in force, 0 for none.
    virtual config_version in_force() const = 0;

    /// Returns the documents in force.
    virtual const config_tree& tree() const = 0;

    /// Returns the counters of this node.
    virtual const distribution_counts& counts() const = 0;
};

/// Creates a distributor; "tree" is the default and "naive" the baseline of tests and benchmarks.
using distributor_factory = std::unique_ptr<distributor>(distribution_options options,
                                                         distribution_hooks hooks,
                                                         membership& members, random_source random);

/// Distributes versions from the platform to all nodes of the mesh.
///
/// The readers of each failure domain poll the head on the platform and push new versions as deltas
/// to the members of their domain and to the readers of the other domains. A node that missed a
/// push pulls the version from a peer that announced it.
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

    /// Returns whether a version is in force; such a version is never below the fence.
    bool is_ready() const { return current_.version > 0; }

    /// Returns the last version that this node could not apply, with the reason.
    const std::optional<lagging_node>& refused() const { return refused_; }

    /// Returns the convergence of all failure domains by the last summaries received.
    std::vector<domain_summary> convergence() const;

private:
    using shared_manifest = std::shared_ptr<const manifest>;
    using object_map = std::map<std::string, std::string>;

    struct recent_version {
        config_version version = 0;
        std::string manifest_id;
        shared_manifest tree; ///< Object ids by subtree path.
    };
    /// A version that is being read from the platform.
    struct version_fetch {
        head new_head;
        shared_manifest tree; ///< Null until the manifest has been read.
        object_map objects;
        std::set<std::string> missing;
        std::set<std::string> requested;
        time_point started;                 ///< Start or last progress, for `read_timeout`.
        std::optional<time_point> read_due; ///< When a delayed bulk read starts.
    };
    /// A version that a member reported as not applicable.
    struct refusal {
        config_version version = 0;
        std::string reason;
    };
    enum class apply_result : std::uint8_t { applied, refused, incomplete };

    // distribution.cpp: fetching and applying versions on this node
    bool has_fence() const;
    bool should_apply(config_version version) const;
    apply_result apply(const head& new_head, shared_manifest tree, const object_map& objects,
                       const peer_endpoint* from, time_point now);
    void activate(const head& new_head, shared_manifest tree, config_tree documents,
                  const peer_endpoint* from, time_point now);
    void report_failure(config_version version, std::string reason, time_point now);
    void start_fetch(const head& new_head, shared_manifest tree, object_map objects,
                     time_point now);
    void request_objects(time_point now);
    bool may_read_objects(time_point now);
    void fail_fetch(const absl::Status& status, const std::string& what, time_point now);
    void poll_head(time_point now);

    // distribution_push.cpp: sending versions between nodes
    void on_push(const peer_endpoint& from, const version_push& content, time_point now);
    std::optional<manifest> manifest_of(const version_push& content) const;
    void apply_push(const peer_endpoint& from, const version_push& content, time_point now);
    std::size_t snapshot_size() const;
    void on_pull(const peer_endpoint& from, const version_pull& content) const;
    void on_peer_version(const peer_endpoint& from, config_version version, time_point now);
    void pull(const peer_endpoint& from, bool full_snapshot, time_point now);
    void retry_pull(time_point now);
    void find_initial_sources();
    void propagate(const peer_endpoint* from, const recent_version& previous, time_point now);
    void push_to_all(const recent_version& previous, const peer_endpoint* from,
                     bool to_remote) const;
    std::vector<peer_endpoint> pick_lagging_peers();
    void push_to_remote_members(const recent_version& previous);
    void check_reader_ack(time_point now);
    version_push make_push(config_version base, const manifest& base_tree) const;
    const recent_version* find_recent(config_version version, const std::string& id) const;

    // distribution_status.cpp: reporting convergence
    void on_version_ack(const peer_endpoint& from, const version_ack& content, time_point now);
    void on_summary(const peer_endpoint& from, const domain_summary& content, time_point now);
    void send_ack(const std::vector<node_id>& readers) const;
    void update_acks(time_point now);
    void update_summary(time_point now);
    domain_summary own_summary() const;
    std::vector<peer_endpoint> summary_recipients(time_point now);
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
    config_version permanently_refused_ = 0; ///< Failed validation on this node and is not retried.
    std::optional<config_version> checked_head_;
    std::optional<version_fetch> fetch_;
    config_version newest_seen_ = 0;

    time_point next_poll_;
    time_point poll_started_at_;
    bool poll_in_flight_ = false;
    bool was_reader_ = false;

    time_point next_pull_;
    std::uint32_t pull_attempts_ = 0;
    std::map<node_id, config_version> sources_; ///< Peers that announced a higher version.
    recent_version unacked_base_;               ///< The version before the local change.
    /// A reader has yet to confirm a change committed on this node.
    bool awaits_reader_ack_ = false;
    time_point reader_ack_deadline_;
    time_point applied_at_;

    std::uint64_t membership_revision_ = 0;
    std::vector<node_id> acked_readers_;
    time_point next_ack_;
    std::map<node_id, refusal> refusals_; ///< Reported by members of the own failure domain.
    std::map<std::string, domain_summary> summaries_;
    std::map<std::string, time_point> summary_received_at_;
    domain_summary sent_summary_;
    std::optional<time_point> summary_changed_;
    time_point next_summary_;
    time_point next_summary_check_;
    time_point summary_sent_at_; ///< Time of the last summary.
    time_point now_;             ///< Time of the last call.
};

} // namespace agatespread
