#include <agatespread/digest.h>
#include <agatespread/membership.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

constexpr std::chrono::milliseconds pull_period = std::chrono::seconds(2);

// Digests also differ while gossip is in flight, so a pull waits until the table has not changed
// for settle_time, but no longer than settle_limit after the previous pull.
constexpr std::chrono::milliseconds settle_time = std::chrono::seconds(1);
constexpr std::chrono::milliseconds settle_limit = std::chrono::seconds(10);

// If a whole failure domain starts at once, gossip alone takes 20 s to reach 80 nodes; a node that
// joined within bootstrap_time therefore pulls without waiting for gossip to settle.
constexpr std::chrono::milliseconds bootstrap_time = std::chrono::seconds(10);
constexpr std::chrono::milliseconds bootstrap_pull_period = std::chrono::milliseconds(300);

// A push with more records is a response to a pull; other nodes already hold these records, so they
// are not gossiped again.
constexpr std::size_t max_spread_records = 32;

} // namespace

std::vector<member_record> membership::take_updates()
{
    std::vector<std::pair<std::uint32_t, node_id>> candidates;
    for (const node_id& node : updates_) {
        candidates.emplace_back(members_.at(node).remaining_sends, node);
    }
    const std::size_t taken = std::min(candidates.size(), options_.updates_per_message);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken),
                      candidates.end(), std::greater<>());
    std::vector<member_record> result;
    for (std::size_t i = 0; i < taken; ++i) {
        member& entry = members_.at(candidates[i].second);
        result.push_back(entry.record);
        if (--entry.remaining_sends == 0) {
            updates_.erase(candidates[i].second);
        }
    }
    if (self_remaining_sends_ > 0) {
        --self_remaining_sends_;
        result.push_back(self_);
    }
    return result;
}

void membership::add_unless_alive(std::vector<member_record>& updates, const node_id& node) const
{
    const auto removed = tombstones_.find(node);
    if (removed != tombstones_.end()) {
        updates.push_back(removed->second.record);
        return;
    }
    const member_record* record = find(node);
    if (record != nullptr && record->state != member_state::alive) {
        updates.push_back(*record);
    }
}

void membership::merge_updates(const std::vector<member_record>& updates, time_point now)
{
    for (const member_record& record : updates) {
        merge(record, spread_mode::gossip, now);
    }
}

void membership::flush_forwards()
{
    if (forwards_.empty()) {
        return;
    }
    members_push batch;
    for (const node_id& node : forwards_) {
        batch.members.push_back(members_.at(node).record);
    }
    forwards_.clear();
    if (reader_position()) {
        send(domain_peers(), std::move(batch));
    }
}

std::uint64_t membership::table_digest() const
{
    std::uint64_t digest = 0;
    for (const std::pair<const std::string, std::uint64_t>& entry : digests_) {
        if (entry.second != 0) {
            digest ^= hash64(entry.first, entry.second);
        }
    }
    return digest;
}

std::uint64_t membership::digest_of(const std::string& failure_domain) const
{
    const auto found = digests_.find(failure_domain);
    return found == digests_.end() ? 0 : found->second;
}

std::vector<domain_digest> membership::all_digests() const
{
    std::vector<domain_digest> result;
    for (const std::pair<const std::string, std::uint64_t>& entry : digests_) {
        result.push_back({entry.first, entry.second});
    }
    return result;
}

void membership::compare_digest(const peer_endpoint& from, std::uint64_t digest, time_point now)
{
    if (digest == table_digest()) {
        return;
    }
    const bool is_bootstrapping = now - joined_at_ < bootstrap_time;
    const bool is_settling = now - last_change_ < settle_time && now - last_pull_ < settle_limit;
    if (now - last_pull_ < (is_bootstrapping ? bootstrap_pull_period : pull_period) ||
        (!is_bootstrapping && is_settling)) {
        return;
    }
    last_pull_ = now;
    send({from}, members_pull{all_digests(), true});
}

void membership::on_members_pull(const peer_endpoint& from, const members_pull& content) const
{
    members_push reply;
    std::set<std::string> listed;
    for (const domain_digest& held : content.held) {
        listed.insert(held.failure_domain);
        if (held.members_digest != digest_of(held.failure_domain)) {
            const std::vector<member_record> records = members_of(held.failure_domain);
            reply.members.insert(reply.members.end(), records.begin(), records.end());
        }
    }
    for (const std::string& failure_domain : failure_domains()) {
        if (content.all_domains && listed.count(failure_domain) == 0) {
            const std::vector<member_record> records = members_of(failure_domain);
            reply.members.insert(reply.members.end(), records.begin(), records.end());
        }
    }
    if (!reply.members.empty()) {
        send({from}, std::move(reply));
    }
    // Exchanges between failure domains are bidirectional.
    const auto own =
        std::find_if(content.held.begin(), content.held.end(), [&from](const domain_digest& held) {
            return held.failure_domain == from.failure_domain;
        });
    if (content.all_domains && from.failure_domain != self_.failure_domain &&
        own != content.held.end() && own->members_digest != digest_of(from.failure_domain)) {
        send({from}, members_pull{{{from.failure_domain, digest_of(from.failure_domain)}}, false});
    }
}

void membership::on_members_push(const peer_endpoint& from, const members_push& content,
                                 time_point now)
{
    const spread_mode mode =
        content.members.size() <= max_spread_records ? spread_mode::gossip : spread_mode::none;
    for (const member_record& record : content.members) {
        merge(record, mode, now);
    }
    const member_record* sender = find(from.node);
    if (sender != nullptr && pulled_domains_.erase(sender->failure_domain) != 0 &&
        sender->failure_domain != self_.failure_domain && content.members.size() > 1) {
        mark_missing(sender->failure_domain, content, now);
    }
}

void membership::mark_missing(const std::string& failure_domain, const members_push& content,
                              time_point now)
{
    std::set<node_id> listed;
    for (const member_record& record : content.members) {
        listed.insert(record.node);
    }
    for (member_record& record : members_of(failure_domain)) {
        // The failure domain has removed this record; if it stayed here, the digests would never
        // match.
        if (listed.count(record.node) == 0 && record.state <= member_state::suspect) {
            record.state = member_state::unreachable;
            store(record, spread_mode::gossip, now);
        }
    }
}

void membership::on_domain_summary(const peer_endpoint& from, const domain_summary& content,
                                   time_point now)
{
    if (content.failure_domain == self_.failure_domain) {
        return;
    }
    record_highest_version(content.failure_domain, content.highest);
    merge_updates(content.records, now);
    if (content.members_digest == digest_of(content.failure_domain)) {
        mismatches_.erase(content.failure_domain);
        return;
    }
    const bool is_new = domains_.count(content.failure_domain) == 0;
    const auto mismatch = mismatches_.emplace(content.failure_domain, now);
    if (is_new || now - mismatch.first->second >= settle_time) {
        mismatch.first->second = now;
        pulled_domains_.insert(content.failure_domain);
        send({from},
             members_pull{{{content.failure_domain, digest_of(content.failure_domain)}}, false});
    }
}

std::vector<member_record> membership::recent_changes(const std::string& failure_domain,
                                                      std::size_t limit) const
{
    std::vector<member_record> result;
    if (self_remaining_sends_ > 0 && failure_domain == self_.failure_domain) {
        result.push_back(self_);
    }
    for (const node_id& node : updates_) {
        const member_record& record = members_.at(node).record;
        if (result.size() < limit && record.failure_domain == failure_domain) {
            result.push_back(record);
        }
    }
    return result;
}

} // namespace agatespread
