#include <agatespread/digest.h>
#include <agatespread/distribution.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

// A reader acknowledges a pushed change within one round trip; after this time the push counts as
// lost.
constexpr std::chrono::milliseconds reader_ack_timeout = std::chrono::milliseconds(300);

// Random members per remote failure domain that receive a push in addition to the readers: these
// readers may have failed too, and their successors can pull from any member.
constexpr int extra_members_per_domain = 2;

// Lagging peers to which a member relays a version that did not come from a reader.
constexpr std::size_t relay_fanout = 3;

constexpr std::uint32_t max_pull_backoff_doublings = 2;

// Estimated bytes of a change on the wire besides its path and document: object id and framing.
constexpr std::size_t change_overhead_bytes = 80;

std::size_t size_of(const version_push& content)
{
    std::size_t size = 0;
    for (const subtree_change& changed : content.changes) {
        size += changed.subtree.size() + change_overhead_bytes;
    }
    for (const std::string& object : content.objects) {
        size += object.size();
    }
    return size;
}

} // namespace

void distribution::on_push(const peer_endpoint& from, const version_push& content, time_point now)
{
    members_.record_announced_version(from.node, content.version);
    newest_seen_ = std::max(newest_seen_, content.version);
    apply_push(from, content, now);
    if (members_.reader_position() && from.failure_domain == members_.self().failure_domain) {
        // Acknowledges the push to the node that committed the change.
        send_ack({from.node});
    }
}

void distribution::apply_push(const peer_endpoint& from, const version_push& content,
                              time_point now)
{
    if (!should_apply(content.version)) {
        if (!has_fence()) {
            sources_[from.node] = content.version;
        }
        return;
    }
    sources_[from.node] = content.version;
    std::optional<manifest> tree = manifest_of(content);
    if (!tree) {
        pull(from, false, now);
        return;
    }
    if (sha256_hex(encode_manifest(*tree)) != content.manifest_id) {
        ++counts_.bad_manifests;
        // Pulling again at once after a snapshot with a wrong hash could loop forever.
        if (content.base != 0) {
            pull(from, true, now);
        }
        return;
    }
    std::set<std::string> referenced;
    for (const subtree_change& changed : content.changes) {
        referenced.insert(changed.object_id);
    }
    object_map objects;
    bool is_intact = true;
    for (const std::string& object : content.objects) {
        std::string id = sha256_hex(object);
        if (referenced.count(id) == 0) {
            is_intact = false;
        }
        objects.emplace(std::move(id), object);
    }
    const head new_head{content.version, content.manifest_id, content.change_id};
    const shared_manifest shared = std::make_shared<const manifest>(*std::move(tree));
    if (!is_intact) {
        ++counts_.bad_objects;
        report_failure(content.version,
                       "push from " + from.node +
                           " contains an object whose SHA-256 hash is not in its changes",
                       now);
    }
    if (apply(new_head, shared, objects, &from, now) == apply_result::incomplete) {
        start_fetch(new_head, shared, std::move(objects), now);
    }
}

std::optional<manifest> distribution::manifest_of(const version_push& content) const
{
    if (content.base != 0 && content.base != current_.version) {
        return std::nullopt;
    }
    manifest tree = content.base == 0 ? manifest() : *manifest_;
    for (const subtree_change& changed : content.changes) {
        if (changed.object_id.empty()) {
            tree.erase(changed.subtree);
        }
        else {
            tree[changed.subtree] = changed.object_id;
        }
    }
    return tree;
}

void distribution::on_pull(const peer_endpoint& from, const version_pull& content) const
{
    if (current_.version == 0 || content.held >= current_.version) {
        return;
    }
    const recent_version* base = find_recent(content.held, content.manifest_id);
    if (base != nullptr) {
        version_push delta = make_push(base->version, *base->tree);
        if (size_of(delta) < snapshot_size()) {
            send({from}, std::move(delta));
            return;
        }
    }
    send({from}, make_push(0, {}));
}

std::size_t distribution::snapshot_size() const
{
    std::size_t size = 0;
    for (const std::pair<const std::string, std::string>& document : documents_) {
        size += document.first.size() + change_overhead_bytes + document.second.size();
    }
    return size;
}

const distribution::recent_version* distribution::find_recent(config_version version,
                                                              const std::string& id) const
{
    for (const recent_version& candidate : recent_) {
        if (candidate.version == version && candidate.manifest_id == id) {
            return &candidate;
        }
    }
    return nullptr;
}

version_push distribution::make_push(config_version base, const manifest& base_tree) const
{
    version_push content{current_.version, base, current_.manifest_id, current_.change_id, {}, {}};
    std::set<std::string> included;
    std::size_t bytes = 0;
    for (const std::pair<const std::string, std::string>& subtree : *manifest_) {
        const auto held = base_tree.find(subtree.first);
        if (held != base_tree.end() && held->second == subtree.second) {
            continue;
        }
        content.changes.push_back({subtree.first, subtree.second});
        const std::string& document = documents_.at(subtree.first);
        if (bytes + document.size() <= options_.max_push_bytes &&
            included.insert(subtree.second).second) {
            bytes += document.size();
            content.objects.push_back(document);
        }
    }
    for (const std::pair<const std::string, std::string>& subtree : base_tree) {
        if (manifest_->count(subtree.first) == 0) {
            content.changes.push_back({subtree.first, ""});
        }
    }
    return content;
}

void distribution::on_peer_version(const peer_endpoint& from, config_version version,
                                   time_point now)
{
    newest_seen_ = std::max(newest_seen_, version);
    if (version <= current_.version) {
        sources_.erase(from.node);
        return;
    }
    sources_[from.node] = version;
    if (should_apply(version) && now >= next_pull_) {
        pull(from, false, now);
    }
}

void distribution::pull(const peer_endpoint& from, bool full_snapshot, time_point now)
{
    if (now < next_pull_ && !full_snapshot) {
        return;
    }
    ++counts_.pulls;
    const std::uint32_t doublings = std::min(pull_attempts_++, max_pull_backoff_doublings);
    next_pull_ = now + options_.pull_period * (1U << doublings);
    if (full_snapshot) {
        send({from}, version_pull{0, ""});
    }
    else {
        send({from}, version_pull{current_.version, current_.manifest_id});
    }
}

void distribution::retry_pull(time_point now)
{
    if (now < next_pull_ || !has_fence()) {
        return;
    }
    for (auto source = sources_.begin(); source != sources_.end();) {
        source = source->second <= current_.version ? sources_.erase(source) : std::next(source);
    }
    if (current_.version == 0 && sources_.empty()) {
        find_initial_sources();
    }
    config_version highest = 0;
    for (const std::pair<const node_id, config_version>& source : sources_) {
        highest = should_apply(source.second) ? std::max(highest, source.second) : highest;
    }
    std::vector<node_id> best;
    for (const std::pair<const node_id, config_version>& source : sources_) {
        if (source.second == highest) {
            best.push_back(source.first);
        }
    }
    if (highest == 0 || best.empty()) {
        return;
    }
    const node_id chosen = best[uniform_below(random_, best.size())];
    const std::optional<peer_endpoint> endpoint = members_.endpoint_of(chosen);
    // Removed so that the next retry uses another source if this one does not respond.
    sources_.erase(chosen);
    if (endpoint) {
        pull(*endpoint, false, now);
    }
}

void distribution::find_initial_sources()
{
    const std::string& domain = members_.self().failure_domain;
    for (const member_record& record : members_.members_of(domain)) {
        if (record.state == member_state::alive && should_apply(record.in_force)) {
            sources_[record.node] = record.in_force;
        }
    }
    if (!sources_.empty()) {
        return;
    }
    for (const std::string& other : members_.failure_domains()) {
        for (const node_id& reader : members_.readers_of(other)) {
            const member_record* record = members_.find(reader);
            // Versions are not gossiped across failure domains, so a ready reader may have a higher
            // version than its record shows.
            const config_version assumed =
                std::max(members_.highest_announced(other), members_.fence().value_or(0));
            if (record != nullptr && record->ready && should_apply(assumed)) {
                sources_[reader] = assumed;
            }
        }
    }
}

void distribution::propagate(const peer_endpoint* from, const recent_version& previous,
                             time_point now)
{
    const std::string& domain = members_.self().failure_domain;
    const bool is_origin = from == nullptr;
    if (previous.version == 0 && !is_origin) {
        return;
    }
    if (members_.reader_position()) {
        if (previous.version == 0) {
            // While a failure domain starts, its members pull, which avoids duplicate snapshots.
            return;
        }
        // The sender in another failure domain has already pushed to the readers of all domains.
        push_to_all(previous, from, is_origin || from->failure_domain == domain);
        return;
    }
    const std::vector<node_id>& readers = members_.readers_of(domain);
    if (!is_origin && std::find(readers.begin(), readers.end(), from->node) != readers.end()) {
        return;
    }
    std::vector<peer_endpoint> recipients =
        is_origin ? std::vector<peer_endpoint>() : pick_lagging_peers();
    for (const node_id& reader : readers) {
        recipients.push_back(*members_.endpoint_of(reader));
    }
    send(std::move(recipients), make_push(previous.version, *previous.tree));
    if (is_origin) {
        unacked_base_ = previous;
        awaits_reader_ack_ = true;
        reader_ack_deadline_ = now + reader_ack_timeout;
    }
}

std::vector<peer_endpoint> distribution::pick_lagging_peers()
{
    // The version did not come from a reader, so the readers may have failed. Until new readers are
    // chosen, each member relays it to a few random peers.
    std::vector<peer_endpoint> behind;
    for (const peer_endpoint& peer : members_.domain_peers()) {
        if (members_.find(peer.node)->in_force < current_.version) {
            behind.push_back(peer);
        }
    }
    const std::size_t picked = std::min(relay_fanout, behind.size());
    for (std::size_t i = 0; i < picked; ++i) {
        std::swap(behind[i], behind[i + uniform_below(random_, behind.size() - i)]);
    }
    behind.resize(picked);
    return behind;
}

void distribution::push_to_all(const recent_version& previous, const peer_endpoint* from,
                               bool to_remote) const
{
    const std::string& domain = members_.self().failure_domain;
    std::vector<node_id> candidates;
    for (const peer_endpoint& peer : members_.domain_peers()) {
        candidates.push_back(peer.node);
    }
    for (const std::string& other : members_.failure_domains()) {
        if (to_remote && other != domain) {
            const std::vector<node_id>& readers = members_.readers_of(other);
            candidates.insert(candidates.end(), readers.begin(), readers.end());
        }
    }
    std::vector<peer_endpoint> recipients;
    for (const node_id& node : candidates) {
        const member_record* record = members_.find(node);
        const bool is_sender = from != nullptr && from->node == node;
        if (record != nullptr && record->in_force < current_.version && !is_sender) {
            recipients.push_back(*members_.endpoint_of(node));
        }
    }
    send(std::move(recipients), make_push(previous.version, *previous.tree));
}

void distribution::check_reader_ack(time_point now)
{
    if (!awaits_reader_ack_ || now < reader_ack_deadline_) {
        return;
    }
    awaits_reader_ack_ = false;
    bool is_acked = false;
    for (const node_id& reader : members_.readers_of(members_.self().failure_domain)) {
        const member_record* record = members_.find(reader);
        is_acked = is_acked || (record != nullptr && reader != members_.self().node &&
                                record->in_force >= current_.version);
    }
    if (!is_acked) {
        // Both readers may have failed at once; the change must not wait for new readers.
        push_to_all(unacked_base_, nullptr, true);
        push_to_remote_members(unacked_base_);
    }
}

void distribution::push_to_remote_members(const recent_version& previous)
{
    std::vector<peer_endpoint> recipients;
    for (const std::string& domain : members_.failure_domains()) {
        const std::vector<member_record> records = members_.members_of(domain);
        for (int i = 0; i < extra_members_per_domain && domain != members_.self().failure_domain;
             ++i) {
            const member_record& record = records[uniform_below(random_, records.size())];
            recipients.push_back({record.node, record.failure_domain, record.peer_address});
        }
    }
    send(std::move(recipients), make_push(previous.version, *previous.tree));
}

void distribution::send(std::vector<peer_endpoint> to, message content) const
{
    const node_id& self = members_.self().node;
    to.erase(std::remove_if(to.begin(), to.end(),
                            [&self](const peer_endpoint& peer) { return peer.node == self; }),
             to.end());
    if (!to.empty()) {
        hooks_.send({std::move(to), std::move(content)});
    }
}

} // namespace agatespread
