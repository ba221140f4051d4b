#include <agatespread/digest.h>
#include <agatespread/distribution.h>
#include <agatespread/kernel.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

// Bounds the reads that one node has in flight while it reads a whole tree.
constexpr std::size_t max_reads_in_flight = 32;

constexpr std::size_t max_reason_bytes = 1024;

const registration<distributor_factory> entry{
    "tree",
    [](distribution_options options, distribution_hooks hooks, membership& members,
       random_source random) -> std::unique_ptr<distributor> {
        return std::make_unique<distribution>(options, std::move(hooks), members,
                                              std::move(random));
    }};

} // namespace

distribution::distribution(distribution_options options, distribution_hooks hooks,
                           membership& members, random_source random)
    : options_(options), hooks_(std::move(hooks)), members_(members), random_(std::move(random))
{
}

void distribution::start(time_point now)
{
    now_ = now;
    next_poll_ = now;
    next_ack_ = now + options_.ack_period;
    next_summary_ = now + options_.summary_period;
}

void distribution::tick(time_point now)
{
    now_ = now;
    if (assembly_ && now - assembly_->started >= options_.read_timeout) {
        assembly_.reset();
    }
    if (assembly_ && assembly_->read_at && now >= *assembly_->read_at) {
        request_objects(now);
    }
    poll_head(now);
    repeat_pull(now);
    check_hint(now);
    update_acks(now);
    update_summary(now);
}

void distribution::receive(const peer_endpoint& from, const message& content, time_point now)
{
    now_ = now;
    if (const ping* value = std::get_if<ping>(&content)) {
        on_peer_version(from, value->in_force, now);
    }
    if (const ack* value = std::get_if<ack>(&content)) {
        // A relayed answer tells the version of another node than the sender.
        if (value->subject == from.node) {
            on_peer_version(from, value->in_force, now);
        }
    }
    if (const version_push* value = std::get_if<version_push>(&content)) {
        on_push(from, *value, now);
    }
    if (const version_pull* value = std::get_if<version_pull>(&content)) {
        on_pull(from, *value);
    }
    if (const version_ack* value = std::get_if<version_ack>(&content)) {
        on_version_ack(from, *value, now);
    }
    if (const domain_summary* value = std::get_if<domain_summary>(&content)) {
        on_summary(from, *value, now);
    }
    if (const status_request* value = std::get_if<status_request>(&content)) {
        send({from}, status_reply{value->id, convergence()});
    }
    if (const status_reply* value = std::get_if<status_reply>(&content)) {
        if (hooks_.status) {
            hooks_.status(*value);
        }
    }
}

bool distribution::fence_known() const
{
    return current_.version > 0 || members_.fence().has_value() || checked_head_.has_value();
}

bool distribution::is_wanted(config_version version) const
{
    if (version <= current_.version || version == refused_for_good_ || !fence_known()) {
        return false;
    }
    const config_version fence = members_.fence().value_or(checked_head_.value_or(0));
    return current_.version > 0 || version >= fence;
}

distribution::apply_result distribution::apply(const head& target, shared_manifest tree,
                                               const object_map& objects, const peer_endpoint* from,
                                               time_point now)
{
    config_tree documents;
    for (const std::pair<const std::string, std::string>& subtree : *tree) {
        const auto held = manifest_->find(subtree.first);
        const auto received = objects.find(subtree.second);
        if (held != manifest_->end() && held->second == subtree.second) {
            documents[subtree.first] = documents_.at(subtree.first);
        }
        else if (received != objects.end()) {
            documents[subtree.first] = received->second;
        }
        else {
            return apply_result::incomplete;
        }
    }
    const absl::Status status = hooks_.apply(documents, target.version, target.manifest_id);
    if (!status.ok()) {
        ++counts_.refused;
        refused_for_good_ = target.version;
        report(target.version, std::string(status.message()), now);
        return apply_result::refused;
    }
    enter_force(target, std::move(tree), std::move(documents), from, now);
    return apply_result::applied;
}

void distribution::enter_force(const head& target, shared_manifest tree, config_tree documents,
                               const peer_endpoint* from, time_point now)
{
    ++counts_.applied;
    const recent_version before{current_.version, current_.manifest_id, manifest_};
    if (current_.version > 0) {
        recent_.push_back(before);
        if (recent_.size() > options_.recent_versions) {
            recent_.pop_front();
        }
    }
    current_ = target;
    applied_at_ = now;
    manifest_ = std::move(tree);
    documents_ = std::move(documents);
    newest_seen_ = std::max(newest_seen_, current_.version);
    pull_attempts_ = 0;
    if (refused_ && refused_->in_force <= current_.version) {
        refused_.reset();
    }
    if (assembly_ && assembly_->target.version <= current_.version) {
        assembly_.reset();
    }
    members_.set_in_force(current_.version, now);
    spread(from, before, now);
    send_ack(members_.readers_of(members_.self().failure_domain));
}

void distribution::report(config_version version, std::string reason, time_point now)
{
    reason.resize(std::min(reason.size(), max_reason_bytes));
    const bool is_new = !refused_ || refused_->in_force != version || refused_->reason != reason;
    refused_ = lagging_node{members_.self().node, version, std::move(reason)};
    if (is_new) {
        send_ack(members_.readers_of(members_.self().failure_domain));
        next_ack_ = now + options_.ack_period;
    }
}

void distribution::on_committed(const head& accepted, const change& request, time_point now)
{
    now_ = now;
    newest_seen_ = std::max(newest_seen_, accepted.version);
    if (!fence_known()) {
        checked_head_ = accepted.version; // The commit was a transaction on the head.
    }
    if (!is_wanted(accepted.version)) {
        return;
    }
    std::shared_ptr<manifest> tree = std::make_shared<manifest>(request.base_manifest);
    object_map objects;
    if (request.document.empty()) {
        tree->erase(request.subtree);
    }
    else {
        const std::string id = sha256_hex(request.document);
        (*tree)[request.subtree] = id;
        objects[id] = request.document;
    }
    if (sha256_hex(encode_manifest(*tree)) != accepted.manifest_id) {
        // A repeated change names a version whose base is not known here.
        assemble(accepted, nullptr, {}, now);
        return;
    }
    if (apply(accepted, tree, objects, nullptr, now) == apply_result::incomplete) {
        assemble(accepted, tree, std::move(objects), now);
    }
}

void distribution::poll_head(time_point now)
{
    if (poll_running_ && now - poll_sent_ >= options_.read_timeout) {
        poll_running_ = false;
    }
    if (now < next_poll_ || poll_running_) {
        return;
    }
    const bool has_peers = members_.state() == join_state::joined;
    const std::optional<std::size_t> position = members_.reader_position();
    if (!position || !(has_peers || members_.state() == join_state::standalone)) {
        return;
    }
    const std::chrono::milliseconds period = options_.head_poll_period * (*position == 0 ? 1 : 2);
    next_poll_ = now + uniform_between(random_, period * 4 / 5, period * 6 / 5);
    poll_running_ = true;
    poll_sent_ = now;
    ++counts_.head_reads;
    // Without a fence from peers a stale head could lie below a version served before.
    hooks_.read_head(!fence_known());
}

void distribution::on_head(const absl::StatusOr<head>& result, bool checked, time_point now)
{
    now_ = now;
    poll_running_ = false;
    if (!result.ok()) {
        return;
    }
    if (checked) {
        checked_head_ = std::max(checked_head_.value_or(0), result->version);
    }
    newest_seen_ = std::max(newest_seen_, result->version);
    if (!is_wanted(result->version)) {
        return;
    }
    // A node without any version takes the tree from a peer, which spares the platform.
    if (current_.version == 0 && !sources_.empty() && pull_attempts_ < 3) {
        return;
    }
    assemble(*result, nullptr, {}, now);
}

void distribution::assemble(const head& target, shared_manifest tree, object_map objects,
                            time_point now)
{
    if (assembly_ && assembly_->target.version >= target.version) {
        return;
    }
    assembly_ = assembly{target, std::move(tree), std::move(objects), {}, {}, now, std::nullopt};
    if (assembly_->tree) {
        request_objects(now);
        return;
    }
    ++counts_.platform_reads;
    hooks_.read_manifest(target.manifest_id);
}

void distribution::on_manifest(const std::string& id, const absl::StatusOr<manifest>& result,
                               time_point now)
{
    now_ = now;
    if (!assembly_ || assembly_->tree || assembly_->target.manifest_id != id) {
        return;
    }
    if (!result.ok()) {
        end_failed_read(result.status(), "manifest " + id, now);
        return;
    }
    if (sha256_hex(encode_manifest(*result)) != id) {
        ++counts_.bad_manifests;
        end_failed_read(absl::DataLossError("the hash differs"), "manifest " + id, now);
        return;
    }
    assembly_->tree = std::make_shared<const manifest>(*result);
    request_objects(now);
}

void distribution::request_objects(time_point now)
{
    for (const std::pair<const std::string, std::string>& subtree : *assembly_->tree) {
        const auto held = manifest_->find(subtree.first);
        const bool is_held = held != manifest_->end() && held->second == subtree.second;
        if (!is_held && assembly_->objects.count(subtree.second) == 0) {
            assembly_->missing.insert(subtree.second);
        }
    }
    if (assembly_->missing.empty()) {
        const assembly whole = *std::exchange(assembly_, std::nullopt);
        if (is_wanted(whole.target.version)) {
            apply(whole.target, whole.tree, whole.objects, nullptr, now);
        }
        return;
    }
    if (!may_read(now)) {
        return;
    }
    // A read may end within the call, so the ids are collected first.
    std::vector<std::string> ids;
    for (const std::string& id : assembly_->missing) {
        if (assembly_->requested.size() < max_reads_in_flight &&
            assembly_->requested.insert(id).second) {
            ids.push_back(id);
        }
    }
    for (const std::string& id : ids) {
        ++counts_.platform_reads;
        hooks_.read_object(id);
    }
}

bool distribution::may_read(time_point now)
{
    if (current_.version > 0 || assembly_->missing.size() <= options_.bulk_read_objects) {
        return true;
    }
    if (!assembly_->read_at) {
        assembly_->read_at =
            now + uniform_between(random_, std::chrono::milliseconds(0), options_.bulk_read_spread);
        assembly_->started = *assembly_->read_at;
    }
    return now >= *assembly_->read_at;
}

void distribution::on_object(const std::string& id, const absl::StatusOr<std::string>& result,
                             time_point now)
{
    now_ = now;
    if (!assembly_ || assembly_->missing.count(id) == 0) {
        return;
    }
    if (!result.ok()) {
        end_failed_read(result.status(), "object " + id, now);
        return;
    }
    if (sha256_hex(*result) != id) {
        end_failed_read(absl::DataLossError("the hash differs"), "object " + id, now);
        return;
    }
    assembly_->objects[id] = *result;
    assembly_->missing.erase(id);
    assembly_->requested.erase(id);
    assembly_->started = now;
    request_objects(now);
}

void distribution::end_failed_read(const absl::Status& status, const std::string& what,
                                   time_point now)
{
    // A poll starts again soon: the head was just read, so the platform is not down for good.
    const config_version version = assembly_->target.version;
    counts_.bad_objects += absl::IsDataLoss(status) ? 1 : 0;
    assembly_.reset();
    next_poll_ = std::min(next_poll_, now + uniform_between(random_, options_.pull_period / 2,
                                                            options_.pull_period * 2));
    if (!absl::IsUnavailable(status)) {
        report(version, absl::StrCat(what, ": ", status.message()), now);
    }
}

} // namespace agatespread
