#pragma once

#include <agatespread/distribution.h>
#include <agatespread/kernel.h>
#include <agatespread/membership.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace agatespread::test {

/// Faults of messages between nodes and of platform reads.
struct link_faults {
    double loss = 0;        ///< Between failure domains, and of manifest and object reads.
    double duplication = 0; ///< Of any message.
    std::chrono::milliseconds delay{2}; ///< Maximum delay; a larger value reorders more messages.
    std::set<std::pair<std::string, std::string>> partitions; ///< Pairs of failure domains, sorted.
    bool platform_down = false;
    bool stale_head = false; ///< Unchecked reads of the head return the previous version.
};

/// Simulates nodes without sockets or threads: their `membership` and `distributor` objects
/// exchange messages over one event queue with one clock and one random generator.
class mesh {
public:
    /// The version of a node that a peer stored when the node started.
    struct peer_version {
        node_id node;
        std::uint64_t incarnation = 0;
        config_version version = 0;
    };
    struct host {
        node_id id;
        std::string failure_domain;
        bool up = false;
        bool paused = false;
        std::uint64_t incarnation = 0; ///< Incremented by each start and stop.
        std::unique_ptr<membership> members;
        std::unique_ptr<distributor> versions;
        std::vector<std::function<void()>> inbox; ///< Events deferred during a pause.
        config_version highest_served = 0;        ///< Over all incarnations.
        config_version served_since_start = 0;    ///< The highest of this incarnation.
        std::vector<peer_version> peer_versions;  ///< Of peers reachable at the start.
        std::set<config_version> refused_versions;
    };

    /// Builds hosts "a0", "a1", ... in the failure domains "a", "b", ...
    mesh(std::uint64_t seed, std::size_t domains, std::size_t nodes,
         const std::string& distributor_name = "");

    host& at(const node_id& id) { return hosts_.at(id); }
    std::map<node_id, host>& hosts() { return hosts_; }
    std::mt19937_64& engine() { return engine_; }
    time_point now() const { return now_; }

    void start(const node_id& id);
    void start_all()
    {
        for (const std::pair<const node_id, host>& entry : hosts_) {
            start(entry.first);
        }
    }
    void stop(const node_id& id)
    {
        at(id).up = false;
        ++at(id).incarnation;
    }
    void pause(const node_id& id) { at(id).paused = true; }
    void resume(const node_id& id);
    void advance(std::chrono::milliseconds step);

    /// Advances the clock until the condition holds; returns false if it does not within `limit`.
    bool wait(std::chrono::milliseconds limit, const std::function<bool()>& condition);

    /// Commits a document through a host, or removes the subtree if the document is empty. With
    /// `notify_host`, the host's distributor is notified of the commit immediately.
    config_version commit(const node_id& id, const std::string& subtree,
                          const std::string& document, bool notify_host = true);

    /// Returns whether the newest version is in force on all hosts that are up.
    bool converged() const;

    /// Returns the newest committed version.
    config_version newest() const { return heads_.size(); }

    link_faults faults;
    bool count_bytes = false;
    std::map<std::string, std::uint64_t> messages; ///< Sent messages by type, one per receiver.
    std::uint64_t bytes = 0;
    std::uint64_t cross_domain_bytes = 0; ///< Sent between failure domains.
    std::uint64_t platform_reads = 0;
    std::uint64_t platform_bytes = 0;
    std::vector<std::string> violations;
    std::function<bool(const node_id& from, const node_id& to, const message& content)> drop;

private:
    bool chance(double probability);
    void dispatch(const node_id& id, std::uint64_t incarnation,
                  const std::function<void(host&)>& call);
    void deliver(const node_id& from, const node_id& to,
                 const std::shared_ptr<const message>& content);
    void send(const node_id& from, const outgoing_message& batch);
    template <typename Result>
    absl::StatusOr<Result> read(bool fails, const Result& value, std::size_t size);
    void schedule_response(const node_id& id, const std::function<void(host&)>& call);
    distribution_hooks make_hooks(const node_id& id);
    absl::Status apply(host& target, const config_tree& tree, config_version version);
    void check_restart(const host& target, config_version version);
    void run_due();

    std::mt19937_64 engine_;
    time_point now_{std::chrono::hours(1)};
    std::string distributor_name_;
    std::map<node_id, host> hosts_;
    std::multimap<time_point, std::function<void()>> events_;
    time_point next_tick_;
    std::vector<head> heads_;
    std::map<config_version, config_tree> trees_;
    std::map<std::string, manifest> manifests_;
    std::map<std::string, std::string> objects_;
};

} // namespace agatespread::test
