#include <agatespread/digest.h>
#include <agatespread/membership.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace agatespread {

namespace {

constexpr std::size_t reader_count = 2;

/// Hashes a record without its version, so that a version change does not change the digest.
///
/// Unreachable and left records hash to 0, because nodes remove them at different times.
std::uint64_t record_hash(const member_record& record)
{
    if (record.state == member_state::unreachable || record.state == member_state::left) {
        return 0;
    }
    std::string text;
    for (const std::string* field :
         {&record.node, &record.failure_domain, &record.peer_address, &record.inbound_address,
          &record.upstream.fleet, &record.upstream.service, &record.upstream.tenant}) {
        absl::StrAppend(&text, field->size(), ":", *field);
    }
    absl::StrAppend(&text, ",", record.incarnation, ",", static_cast<int>(record.state), ",",
                    static_cast<int>(record.ready), ",", record.upstream.slots, ",",
                    static_cast<int>(record.upstream.state));
    return hash64(text);
}

/// Returns whether `candidate` replaces `present`, a record of the same node.
bool supersedes(const member_record& candidate, const member_record& present)
{
    return candidate.incarnation > present.incarnation ||
           (candidate.incarnation == present.incarnation && candidate.state > present.state);
}

/// Returns how often a change is piggybacked: two more than the gossip rounds that reach all
/// members if the number of informed members doubles in each round.
std::uint32_t transmission_limit(std::size_t members)
{
    std::uint32_t rounds = 2;
    for (std::size_t reached = 1; reached < members; reached *= 2) {
        ++rounds;
    }
    return rounds;
}

} // namespace

membership::membership(membership_options options, membership_hooks hooks, random_source random)
    : options_(std::move(options)), hooks_(std::move(hooks)), random_(std::move(random))
{
    self_.node = options_.self;
    self_.failure_domain = options_.failure_domain;
    self_.peer_address = options_.peer_address;
    self_.inbound_address = options_.inbound_address;
    self_.incarnation = options_.first_incarnation;
    update_self_hash();
}

void membership::start(time_point now)
{
    last_tick_ = now;
    last_contact_ = now;
    next_probe_ =
        now + uniform_between(random_, std::chrono::milliseconds(0), options_.probe_period);
    next_reader_probe_ =
        now + uniform_between(random_, std::chrono::milliseconds(0), options_.probe_period);
    next_cleanup_ = now + options_.probe_period;
    next_join_ = now;
    join_nonce_ = random_();
    const auto own = std::find(options_.seeds.begin(), options_.seeds.end(), self_.peer_address);
    if (own != options_.seeds.end()) {
        options_.seeds.erase(own);
    }
    join_state_ = options_.seeds.empty() ? join_state::standalone : join_state::joining;
}

void membership::tick(time_point now)
{
    resume_after_pause(now);
    last_tick_ = now;
    advance_join(now);
    check_probes(now);
    if (now >= next_probe_) {
        next_probe_ += options_.probe_period;
        probe_next(now);
    }
    if (now >= next_reader_probe_) {
        next_reader_probe_ += options_.probe_period;
        probe_reader(now);
    }
    update_cut_off(now);
    expire_suspects(now);
    flush_forwards();
    if (now >= next_cleanup_) {
        next_cleanup_ = now + options_.probe_period;
        erase_expired(now);
    }
}

void membership::receive(const peer_endpoint& from, const message& content, time_point now)
{
    record_contact(from.node, now);
    if (const ping* value = std::get_if<ping>(&content)) {
        on_ping(from, *value, now);
    }
    if (const ack* value = std::get_if<ack>(&content)) {
        on_ack(from, *value, now);
    }
    if (const ping_request* value = std::get_if<ping_request>(&content)) {
        on_ping_request(from, *value, now);
    }
    if (const join* value = std::get_if<join>(&content)) {
        on_join(from, *value, now);
    }
    if (const join_reply* value = std::get_if<join_reply>(&content)) {
        on_join_reply(from, *value, now);
    }
    if (const members_pull* value = std::get_if<members_pull>(&content)) {
        on_members_pull(from, *value);
    }
    if (const members_push* value = std::get_if<members_push>(&content)) {
        on_members_push(from, *value, now);
    }
    if (const domain_summary* value = std::get_if<domain_summary>(&content)) {
        on_domain_summary(from, *value, now);
    }
}

void membership::set_upstream(const upstream_record& upstream, time_point now)
{
    if (!(self_.upstream == upstream)) {
        self_.upstream = upstream;
        announce(now);
    }
}

void membership::set_in_force(config_version version, time_point now)
{
    self_.in_force = version;
    record_announced_version(self_.node, version);
    if (self_.ready != (version > 0)) {
        self_.ready = version > 0;
        announce(now);
    }
}

void membership::leave(time_point now)
{
    self_.state = member_state::left;
    announce(now);
}

void membership::record_announced_version(const node_id& node, config_version version)
{
    const auto found = members_.find(node);
    if (found != members_.end()) {
        found->second.record.in_force = version;
        record_highest_version(found->second.record.failure_domain, version);
    }
    else if (node == self_.node) {
        record_highest_version(self_.failure_domain, version);
    }
    if (announced_.size() < options_.max_members * 2 || announced_.count(node) != 0) {
        config_version& remembered = announced_[node];
        remembered = std::max(remembered, version);
    }
}

const member_record* membership::find(const node_id& node) const
{
    if (node == self_.node) {
        return &self_;
    }
    const auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second.record;
}

std::vector<member_record> membership::members() const
{
    std::vector<member_record> result = {self_};
    for (const std::pair<const node_id, member>& entry : members_) {
        result.push_back(entry.second.record);
    }
    return result;
}

std::vector<member_record> membership::members_of(const std::string& failure_domain) const
{
    std::vector<member_record> result;
    if (failure_domain == self_.failure_domain) {
        result.push_back(self_);
    }
    const auto domain = domains_.find(failure_domain);
    if (domain != domains_.end()) {
        for (const node_id& node : domain->second) {
            result.push_back(members_.at(node).record);
        }
    }
    return result;
}

std::vector<peer_endpoint> membership::domain_peers() const
{
    std::vector<peer_endpoint> result;
    for (const node_id& node : domain_members(member_state::suspect)) {
        result.push_back(*endpoint_of(node));
    }
    return result;
}

std::vector<std::string> membership::failure_domains() const
{
    std::set<std::string> names = {self_.failure_domain};
    for (const std::pair<const std::string, std::set<node_id>>& entry : domains_) {
        names.insert(entry.first);
    }
    return {names.begin(), names.end()};
}

const std::vector<node_id>& membership::readers_of(const std::string& failure_domain) const
{
    const auto known = readers_.find(failure_domain);
    if (known != readers_.end()) {
        return known->second;
    }
    return readers_.emplace(failure_domain, rank_readers(failure_domain)).first->second;
}

std::vector<node_id> membership::rank_readers(const std::string& failure_domain) const
{
    const std::string role = "readers/" + failure_domain;
    // Members with a version in force rank above those without one.
    std::vector<std::tuple<bool, std::uint64_t, node_id>> ranks;
    bool any_ready = false;
    for (const member_record& record : members_of(failure_domain)) {
        if (record.state == member_state::alive) {
            any_ready = any_ready || record.ready;
            ranks.emplace_back(record.ready, rendezvous_rank(role, record.node), record.node);
        }
    }
    std::sort(ranks.rbegin(), ranks.rend());
    std::vector<node_id> result;
    for (const std::tuple<bool, std::uint64_t, node_id>& rank : ranks) {
        if (result.size() < reader_count && (std::get<0>(rank) || !any_ready)) {
            result.push_back(std::get<2>(rank));
        }
    }
    return result;
}

std::optional<std::size_t> membership::reader_position() const
{
    const std::vector<node_id>& readers = readers_of(self_.failure_domain);
    const auto found = std::find(readers.begin(), readers.end(), self_.node);
    if (found == readers.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - readers.begin());
}

std::optional<peer_endpoint> membership::endpoint_of(const node_id& node) const
{
    const member_record* record = find(node);
    if (record == nullptr) {
        return std::nullopt;
    }
    return peer_endpoint{record->node, record->failure_domain, record->peer_address};
}

config_version membership::last_announced(const node_id& node) const
{
    const auto found = announced_.find(node);
    return found == announced_.end() ? 0 : found->second;
}

config_version membership::highest_announced(const std::string& failure_domain) const
{
    const auto found = highest_.find(failure_domain);
    return found == highest_.end() ? 0 : found->second;
}

void membership::record_highest_version(const std::string& failure_domain, config_version version)
{
    config_version& highest = highest_[failure_domain];
    highest = std::max(highest, version);
}

bool membership::merge(const member_record& record, spread_mode mode, time_point now)
{
    if (record.node == self_.node) {
        refute(record, now);
        return false;
    }
    const auto found = members_.find(record.node);
    if (found == members_.end()) {
        if (record.node.empty() || members_.size() >= options_.max_members ||
            blocked_by_tombstone(record, now)) {
            return false;
        }
        store(record, mode, now);
        return true;
    }
    const member_record& present = found->second.record;
    if (!supersedes(record, present)) {
        if (record.incarnation == present.incarnation && record.in_force > present.in_force) {
            record_announced_version(record.node, record.in_force);
        }
        return false;
    }
    store(record, mode, now);
    return true;
}

bool membership::blocked_by_tombstone(const member_record& record, time_point now)
{
    const auto found = tombstones_.find(record.node);
    if (found == tombstones_.end() || now >= found->second.until ||
        supersedes(record, found->second.record)) {
        return false;
    }
    if (record.state == member_state::alive) {
        // Other nodes may have been able to reach the node all along. The ping carries the record
        // that the node has to refute with a higher incarnation.
        send({{record.node, record.failure_domain, record.peer_address}},
             ping{++sequence_, self_.in_force, table_digest(), {found->second.record}});
    }
    return true;
}

void membership::store(member_record record, spread_mode mode, time_point now)
{
    const node_id node = record.node;
    const std::string failure_domain = record.failure_domain;
    member& entry = members_[node];
    if (!entry.record.failure_domain.empty() && entry.record.failure_domain != failure_domain) {
        digests_[entry.record.failure_domain] ^= entry.hash;
        std::set<node_id>& previous = domains_[entry.record.failure_domain];
        previous.erase(node);
        if (previous.empty()) {
            domains_.erase(entry.record.failure_domain);
        }
        mark_changed(entry.record.failure_domain, now);
        entry.hash = 0;
    }
    if (entry.record.state != record.state || entry.record.node.empty()) {
        entry.since = now;
    }
    const std::uint64_t hash = record_hash(record);
    digests_[failure_domain] ^= entry.hash ^ hash;
    entry.hash = hash;
    entry.record = std::move(record);
    domains_[failure_domain].insert(node);
    tombstones_.erase(node);
    record_announced_version(node, entry.record.in_force);
    if (mode == spread_mode::gossip) {
        entry.remaining_sends = transmission_limit(domains_[self_.failure_domain].size() + 1);
        updates_.insert(node);
        if (failure_domain != self_.failure_domain) {
            forwards_.insert(node);
        }
    }
    mark_changed(failure_domain, now);
    if (hooks_.changed) {
        hooks_.changed(entry.record);
    }
}

void membership::refute(const member_record& about_self, time_point now)
{
    const bool newer = about_self.incarnation > self_.incarnation;
    const bool differs = about_self.incarnation == self_.incarnation &&
                         about_self.state != self_.state && self_.state == member_state::alive;
    if (newer || differs) {
        self_.incarnation = about_self.incarnation;
        announce(now);
    }
}

void membership::announce(time_point now)
{
    ++self_.incarnation;
    update_self_hash();
    mark_changed(self_.failure_domain, now);
    self_remaining_sends_ = transmission_limit(domains_[self_.failure_domain].size() + 1);
    std::vector<peer_endpoint> targets = domain_peers();
    if (self_.state == member_state::left || self_.upstream.state == upstream_state::draining ||
        (self_.upstream.state == upstream_state::gone && !self_.upstream.service.empty())) {
        // Other failure domains must stop sending requests immediately. Other changes reach them
        // by summaries, so that a mass restart does not connect every node to all readers.
        add_remote_readers(targets);
    }
    send(std::move(targets), members_push{{self_}});
    if (hooks_.changed) {
        hooks_.changed(self_);
    }
}

void membership::update_self_hash()
{
    const std::uint64_t hash = record_hash(self_);
    digests_[self_.failure_domain] ^= self_hash_ ^ hash;
    self_hash_ = hash;
}

void membership::add_remote_readers(std::vector<peer_endpoint>& targets) const
{
    for (const std::pair<const std::string, std::set<node_id>>& entry : domains_) {
        if (entry.first != self_.failure_domain) {
            for (const node_id& reader : readers_of(entry.first)) {
                targets.push_back(*endpoint_of(reader));
            }
        }
    }
}

void membership::mark_changed(const std::string& failure_domain, time_point now)
{
    ++revision_;
    last_change_ = now;
    readers_.erase(failure_domain);
}

void membership::erase_expired(time_point now)
{
    std::vector<node_id> expired;
    for (const std::pair<const node_id, member>& entry : members_) {
        const member_state state = entry.second.record.state;
        const std::chrono::milliseconds retention =
            state == member_state::left ? options_.left_retention : options_.unreachable_retention;
        if (state >= member_state::unreachable && now - entry.second.since >= retention) {
            expired.push_back(entry.first);
        }
    }
    for (const node_id& node : expired) {
        remove_member(node, now);
    }
    for (auto entry = tombstones_.begin(); entry != tombstones_.end();) {
        entry = now >= entry->second.until ? tombstones_.erase(entry) : std::next(entry);
    }
}

void membership::remove_member(const node_id& node, time_point now)
{
    const member removed = members_.at(node);
    members_.erase(node);
    // Other nodes remove the record later; the tombstone keeps anti-entropy from restoring it.
    tombstones_[node] = {removed.record, now + 2 * options_.unreachable_retention};
    digests_[removed.record.failure_domain] ^= removed.hash;
    const auto domain = domains_.find(removed.record.failure_domain);
    domain->second.erase(node);
    if (domain->second.empty()) {
        domains_.erase(domain);
    }
    updates_.erase(node);
    forwards_.erase(node);
    mark_changed(removed.record.failure_domain, now);
    if (hooks_.removed) {
        hooks_.removed(node);
    }
}

void membership::send(std::vector<peer_endpoint> to, message content) const
{
    if (!to.empty() && hooks_.send) {
        hooks_.send({std::move(to), std::move(content)});
    }
}

} // namespace agatespread
