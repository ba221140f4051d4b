#include <agatespread/digest.h>
#include <agatespread/distribution.h>
#include <agatespread/kernel.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

// Limits the object reads that one node has in flight while it fetches a tree.
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
    if (fetch_ && now - fetch_->started >= options_.read_timeout) {
        fetch_.reset();
    }
    if (fetch_ && fetch_->read_due && now >= *fetch_->read_due) {
        request_objects(now);
    }
    poll_head(now);
    retry_pull(now);
    check_reader_ack(now);
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
        // A relayed ack carries the version of a node other than the sender.
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

bool distribution::has_fence() const
{
    return current_.version > 0 || members_.fence().has_value() || checked_head_.has_value();
}

bool distribution::should_apply(config_version version) const
{
    if (version <= current_.version || version == permanently_refused_ || !has_fence()) {
        return false;
    }
    const config_version fence = members_.fence().value_or(checked_head_.value_or(0));
    return current_.version > 0 || version >= fence;
}

distribution::apply_result distribution::apply(const head& new_head, shared_manifest tree,
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
    const absl::Status status = hooks_.apply(documents, new_head.version, new_head.manifest_id);
    if (!status.ok()) {
        ++counts_.refused;
        permanently_refused_ = new_head.version;
        report_failure(new_head.version, std::string(status.message()), now);
        return apply_result::refused;
    }
    activate(new_head, std::move(tree), std::move(documents), from, now);
    return apply_result::applied;
}

void distribution::activate(const head& new_head, shared_manifest tree, config_tree documents,
                            const peer_endpoint* from, time_point now)
{
    ++counts_.applied;
    const recent_version previous{current_.version, current_.manifest_id, manifest_};
    if (current_.version > 0) {
        recent_.push_back(previous);
        if (recent_.size() > options_.recent_versions) {
            recent_.pop_front();
        }
    }
    current_ = new_head;
    applied_at_ = now;
    manifest_ = std::move(tree);
    documents_ = std::move(documents);
    newest_seen_ = std::max(newest_seen_, current_.version);
    pull_attempts_ = 0;
    if (refused_ && refused_->in_force <= current_.version) {
        refused_.reset();
    }
    if (fetch_ && fetch_->new_head.version <= current_.version) {
        fetch_.reset();
    }
    members_.set_in_force(current_.version, now);
    propagate(from, previous, now);
    send_ack(members_.readers_of(members_.self().failure_domain));
}

void distribution::report_failure(config_version version, std::string reason, time_point now)
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
    if (!has_fence()) {
        // The commit was a transaction on the head, so its version is not stale.
        checked_head_ = accepted.version;
    }
    if (!should_apply(accepted.version)) {
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
        // A retried change may have been committed earlier, on a base other than the one in the
        // request, so the manifest has to be read.
        start_fetch(accepted, nullptr, {}, now);
        return;
    }
    if (apply(accepted, tree, objects, nullptr, now) == apply_result::incomplete) {
        start_fetch(accepted, tree, std::move(objects), now);
    }
}

void distribution::poll_head(time_point now)
{
    if (poll_in_flight_ && now - poll_started_at_ >= options_.read_timeout) {
        poll_in_flight_ = false;
    }
    if (now < next_poll_ || poll_in_flight_) {
        return;
    }
    const bool has_peers = members_.state() == join_state::joined;
    const std::optional<std::size_t> position = members_.reader_position();
    if (!position || !(has_peers || members_.state() == join_state::standalone)) {
        return;
    }
    const std::chrono::milliseconds period = options_.head_poll_period * (*position == 0 ? 1 : 2);
    next_poll_ = now + uniform_between(random_, period * 4 / 5, period * 6 / 5);
    poll_in_flight_ = true;
    poll_started_at_ = now;
    ++counts_.head_reads;
    // Without a fence from peers, a stale head could be below a version that this node served
    // before it restarted, so the read must be checked.
    hooks_.read_head(!has_fence());
}

void distribution::on_head(const absl::StatusOr<head>& result, bool checked, time_point now)
{
    now_ = now;
    poll_in_flight_ = false;
    if (!result.ok()) {
        return;
    }
    if (checked) {
        checked_head_ = std::max(checked_head_.value_or(0), result->version);
    }
    newest_seen_ = std::max(newest_seen_, result->version);
    if (!should_apply(result->version)) {
        return;
    }
    // A node without a version pulls the tree from a peer first, to limit the platform's load.
    if (current_.version == 0 && !sources_.empty() && pull_attempts_ < 3) {
        return;
    }
    start_fetch(*result, nullptr, {}, now);
}

void distribution::start_fetch(const head& new_head, shared_manifest tree, object_map objects,
                               time_point now)
{
    if (fetch_ && fetch_->new_head.version >= new_head.version) {
        return;
    }
    fetch_ =
        version_fetch{new_head, std::move(tree), std::move(objects), {}, {}, now, std::nullopt};
    if (fetch_->tree) {
        request_objects(now);
        return;
    }
    ++counts_.platform_reads;
    hooks_.read_manifest(new_head.manifest_id);
}

void distribution::on_manifest(const std::string& id, const absl::StatusOr<manifest>& result,
                               time_point now)
{
    now_ = now;
    if (!fetch_ || fetch_->tree || fetch_->new_head.manifest_id != id) {
        return;
    }
    if (!result.ok()) {
        fail_fetch(result.status(), "manifest " + id, now);
        return;
    }
    if (sha256_hex(encode_manifest(*result)) != id) {
        ++counts_.bad_manifests;
        fail_fetch(absl::DataLossError("the content does not match its SHA-256 hash"),
                   "manifest " + id, now);
        return;
    }
    fetch_->tree = std::make_shared<const manifest>(*result);
    request_objects(now);
}

void distribution::request_objects(time_point now)
{
    for (const std::pair<const std::string, std::string>& subtree : *fetch_->tree) {
        const auto held = manifest_->find(subtree.first);
        const bool is_held = held != manifest_->end() && held->second == subtree.second;
        if (!is_held && fetch_->objects.count(subtree.second) == 0) {
            fetch_->missing.insert(subtree.second);
        }
    }
    if (fetch_->missing.empty()) {
        const version_fetch fetched = *std::exchange(fetch_, std::nullopt);
        if (should_apply(fetched.new_head.version)) {
            apply(fetched.new_head, fetched.tree, fetched.objects, nullptr, now);
        }
        return;
    }
    if (!may_read_objects(now)) {
        return;
    }
    // A read may complete within the call and change `fetch_`, so the ids are collected first.
    std::vector<std::string> ids;
    for (const std::string& id : fetch_->missing) {
        if (fetch_->requested.size() < max_reads_in_flight && fetch_->requested.insert(id).second) {
            ids.push_back(id);
        }
    }
    for (const std::string& id : ids) {
        ++counts_.platform_reads;
        hooks_.read_object(id);
    }
}

bool distribution::may_read_objects(time_point now)
{
    if (current_.version > 0 || fetch_->missing.size() <= options_.bulk_read_objects) {
        return true;
    }
    if (!fetch_->read_due) {
        fetch_->read_due =
            now + uniform_between(random_, std::chrono::milliseconds(0), options_.bulk_read_jitter);
        fetch_->started = *fetch_->read_due;
    }
    return now >= *fetch_->read_due;
}

void distribution::on_object(const std::string& id, const absl::StatusOr<std::string>& result,
                             time_point now)
{
    now_ = now;
    if (!fetch_ || fetch_->missing.count(id) == 0) {
        return;
    }
    if (!result.ok()) {
        fail_fetch(result.status(), "object " + id, now);
        return;
    }
    if (sha256_hex(*result) != id) {
        fail_fetch(absl::DataLossError("the content does not match its SHA-256 hash"),
                   "object " + id, now);
        return;
    }
    fetch_->objects[id] = *result;
    fetch_->missing.erase(id);
    fetch_->requested.erase(id);
    fetch_->started = now;
    request_objects(now);
}

void distribution::fail_fetch(const absl::Status& status, const std::string& what, time_point now)
{
    // The next poll is moved forward: the platform served the head moments ago, so the failure is
    // likely transient.
    const config_version version = fetch_->new_head.version;
    counts_.bad_objects += absl::IsDataLoss(status) ? 1 : 0;
    fetch_.reset();
    next_poll_ = std::min(next_poll_, now + uniform_between(random_, options_.pull_period / 2,
                                                            options_.pull_period * 2));
    if (!absl::IsUnavailable(status)) {
        report_failure(version, absl::StrCat(what, ": ", status.message()), now);
    }
}

} // namespace agatespread
