#include <agatespread/digest.h>
#include <agatespread/distribution.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

// A reader that has the change answers within a round trip; without it the hint was lost.
constexpr std::chrono::milliseconds hint_time = std::chrono::milliseconds(300);

// The readers of other failure domains may be lost too; their new ones pull from any member.
constexpr int members_beside_readers = 2;

constexpr std::size_t spread_width = 3;

constexpr std::uint32_t max_pull_doublings = 2;

/// Bytes of a change besides its document: path, object id and framing.
constexpr std::size_t change_overhead = 80;

std::size_t size_of(const version_push& content)
{
    std::size_t size = 0;
    for (const subtree_change& changed : content.changes) {
        size += changed.subtree.size() + change_overhead;
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
    take_push(from, content, now);
    if (members_.reader_position() && from.failure_domain == members_.self().failure_domain) {
        // Tells the node that committed the change that its hint has arrived.
        send_ack({from.node});
    }
}

void distribution::take_push(const peer_endpoint& from, const version_push& content, time_point now)
{
    if (!is_wanted(content.version)) {
        if (!fence_known()) {
            sources_[from.node] = content.version;
        }
        return;
    }
    sources_[from.node] = content.version;
    std::optional<manifest> tree = tree_of(content);
    if (!tree) {
        pull(from, false, now);
        return;
    }
    if (sha256_hex(encode_manifest(*tree)) != content.manifest_id) {
        ++counts_.bad_manifests;
        // A wrong snapshot is not asked for again at once, which would repeat without end.
        if (content.base != 0) {
            pull(from, true, now);
        }
        return;
    }
    std::set<std::string> named;
    for (const subtree_change& changed : content.changes) {
        named.insert(changed.object_id);
    }
    object_map objects;
    bool is_intact = true;
    for (const std::string& object : content.objects) {
        std::string id = sha256_hex(object);
        if (named.count(id) == 0) {
            is_intact = false;
        }
        objects.emplace(std::move(id), object);
    }
    const head target{content.version, content.manifest_id, content.change_id};
    const shared_manifest shared = std::make_shared<const manifest>(*std::move(tree));
    if (!is_intact) {
        ++counts_.bad_objects;
        report(content.version, "an object from " + from.node + " has another hash", now);
    }
    if (apply(target, shared, objects, &from, now) == apply_result::incomplete) {
        assemble(target, shared, std::move(objects), now);
    }
}

std::optional<manifest> distribution::tree_of(const version_push& content) const
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
        if (size_of(delta) < whole_size()) {
            send({from}, std::move(delta));
            return;
        }
    }
    send({from}, make_push(0, {}));
}

std::size_t distribution::whole_size() const
{
    std::size_t size = 0;
    for (const std::pair<const std::string, std::string>& document : documents_) {
        size += document.first.size() + change_overhead + document.second.size();
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
    if (is_wanted(version) && now >= next_pull_) {
        pull(from, false, now);
    }
}

void distribution::pull(const peer_endpoint& from, bool whole, time_point now)
{
    if (now < next_pull_ && !whole) {
        return;
    }
    ++counts_.pulls;
    const std::uint32_t doublings = std::min(pull_attempts_++, max_pull_doublings);
    next_pull_ = now + options_.pull_period * (1U << doublings);
    if (whole) {
        send({from}, version_pull{0, ""});
    }
    else {
        send({from}, version_pull{current_.version, current_.manifest_id});
    }
}

void distribution::repeat_pull(time_point now)
{
    if (now < next_pull_ || !fence_known()) {
        return;
    }
    for (auto source = sources_.begin(); source != sources_.end();) {
        source = source->second <= current_.version ? sources_.erase(source) : std::next(source);
    }
    if (current_.version == 0 && sources_.empty()) {
        find_first_source();
    }
    config_version highest = 0;
    for (const std::pair<const node_id, config_version>& source : sources_) {
        highest = is_wanted(source.second) ? std::max(highest, source.second) : highest;
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
    // A source that does not answer makes room for the others.
    sources_.erase(chosen);
    if (endpoint) {
        pull(*endpoint, false, now);
    }
}

void distribution::find_first_source()
{
    const std::string& domain = members_.self().failure_domain;
    for (const member_record& record : members_.members_of(domain)) {
        if (record.state == member_state::alive && is_wanted(record.in_force)) {
            sources_[record.node] = record.in_force;
        }
    }
    if (!sources_.empty()) {
        return;
    }
    for (const std::string& other : members_.failure_domains()) {
        for (const node_id& reader : members_.readers_of(other)) {
            const member_record* record = members_.find(reader);
            // Versions of other failure domains are not gossiped, so a ready reader may have more.
            const config_version likely =
                std::max(members_.highest_announced(other), members_.fence().value_or(0));
            if (record != nullptr && record->ready && is_wanted(likely)) {
                sources_[reader] = likely;
            }
        }
    }
}

void distribution::spread(const peer_endpoint* from, const recent_version& before, time_point now)
{
    const std::string& domain = members_.self().failure_domain;
    const bool is_origin = from == nullptr;
    if (before.version == 0 && !is_origin) {
        return;
    }
    if (members_.reader_position()) {
        if (before.version == 0) {
            return; // The others of a starting failure domain pull, so that no one sends it twice.
        }
        // Versions from another failure domain were sent to all readers by that one.
        push_to_all(before, from, is_origin || from->failure_domain == domain);
        return;
    }
    const std::vector<node_id>& readers = members_.readers_of(domain);
    if (!is_origin && std::find(readers.begin(), readers.end(), from->node) != readers.end()) {
        return;
    }
    std::vector<peer_endpoint> targets = is_origin ? std::vector<peer_endpoint>() : pick_behind();
    for (const node_id& reader : readers) {
        targets.push_back(*members_.endpoint_of(reader));
    }
    send(std::move(targets), make_push(before.version, *before.tree));
    if (is_origin) {
        hinted_ = before;
        is_hinted_ = true;
        hint_until_ = now + hint_time;
    }
}

std::vector<peer_endpoint> distribution::pick_behind()
{
    // The version did not come from a reader, so the readers may be lost: it spreads by doubling
    // until others take over.
    std::vector<peer_endpoint> behind;
    for (const peer_endpoint& peer : members_.domain_peers()) {
        if (members_.find(peer.node)->in_force < current_.version) {
            behind.push_back(peer);
        }
    }
    const std::size_t picked = std::min(spread_width, behind.size());
    for (std::size_t i = 0; i < picked; ++i) {
        std::swap(behind[i], behind[i + uniform_below(random_, behind.size() - i)]);
    }
    behind.resize(picked);
    return behind;
}

void distribution::push_to_all(const recent_version& before, const peer_endpoint* from,
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
    std::vector<peer_endpoint> targets;
    for (const node_id& node : candidates) {
        const member_record* record = members_.find(node);
        const bool is_sender = from != nullptr && from->node == node;
        if (record != nullptr && record->in_force < current_.version && !is_sender) {
            targets.push_back(*members_.endpoint_of(node));
        }
    }
    send(std::move(targets), make_push(before.version, *before.tree));
}

void distribution::check_hint(time_point now)
{
    if (!is_hinted_ || now < hint_until_) {
        return;
    }
    is_hinted_ = false;
    bool is_known = false;
    for (const node_id& reader : members_.readers_of(members_.self().failure_domain)) {
        const member_record* record = members_.find(reader);
        is_known = is_known || (record != nullptr && reader != members_.self().node &&
                                record->in_force >= current_.version);
    }
    if (!is_known) {
        // Both readers may be lost at once; the change must not wait until others take over.
        push_to_all(hinted_, nullptr, true);
        push_to_others(hinted_);
    }
}

void distribution::push_to_others(const recent_version& before)
{
    std::vector<peer_endpoint> targets;
    for (const std::string& domain : members_.failure_domains()) {
        const std::vector<member_record> records = members_.members_of(domain);
        for (int i = 0; i < members_beside_readers && domain != members_.self().failure_domain;
             ++i) {
            const member_record& record = records[uniform_below(random_, records.size())];
            targets.push_back({record.node, record.failure_domain, record.peer_address});
        }
    }
    send(std::move(targets), make_push(before.version, *before.tree));
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
