#include <agatespread/distribution.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

constexpr std::size_t max_summary_records = 32;

// A member that still reports a lower version this long after the push has missed the push.
constexpr std::chrono::milliseconds push_grace_period = std::chrono::milliseconds(100);

// A failure domain without a summary for this many periods counts as unreachable.
constexpr int max_missed_summaries = 3;

} // namespace

void distribution::on_version_ack(const peer_endpoint& from, const version_ack& content,
                                  time_point now)
{
    members_.record_announced_version(from.node, content.in_force);
    if (content.refused > content.in_force) {
        refusals_[from.node] = {content.refused, content.reason};
    }
    else {
        refusals_.erase(from.node);
    }
    on_peer_version(from, content.in_force, now);
    const member_record* record = members_.find(from.node);
    const bool is_same_domain =
        record != nullptr && record->failure_domain == members_.self().failure_domain;
    if (is_same_domain && content.in_force > 0 && content.in_force < current_.version &&
        content.refused != current_.version && now - applied_at_ >= push_grace_period) {
        // The push to this member was lost, or the readers that should have sent it have failed.
        const auto base = std::find_if(recent_.begin(), recent_.end(),
                                       [&content](const recent_version& candidate) {
                                           return candidate.version == content.in_force;
                                       });
        if (base != recent_.end()) {
            send({from}, make_push(base->version, *base->tree));
        }
    }
}

void distribution::send_ack(const std::vector<node_id>& readers) const
{
    std::vector<peer_endpoint> recipients;
    for (const node_id& reader : readers) {
        const std::optional<peer_endpoint> endpoint = members_.endpoint_of(reader);
        if (endpoint) {
            recipients.push_back(*endpoint);
        }
    }
    send(std::move(recipients), version_ack{current_.version, refused_ ? refused_->in_force : 0,
                                            refused_ ? refused_->reason : std::string()});
}

void distribution::update_acks(time_point now)
{
    if (members_.revision() != membership_revision_) {
        membership_revision_ = members_.revision();
        const std::vector<node_id>& readers = members_.readers_of(members_.self().failure_domain);
        std::vector<node_id> added;
        for (const node_id& reader : readers) {
            if (std::find(acked_readers_.begin(), acked_readers_.end(), reader) ==
                acked_readers_.end()) {
                added.push_back(reader);
            }
        }
        acked_readers_ = readers;
        const bool is_reader = members_.reader_position().has_value();
        if (is_reader && !was_reader_) {
            // The previous readers may have failed before they distributed a change.
            next_poll_ = now;
        }
        was_reader_ = is_reader;
        send_ack(added);
        for (auto entry = refusals_.begin(); entry != refusals_.end();) {
            entry =
                members_.find(entry->first) == nullptr ? refusals_.erase(entry) : std::next(entry);
        }
    }
    if (now >= next_ack_) {
        next_ack_ = now + uniform_between(random_, options_.ack_period * 4 / 5,
                                          options_.ack_period * 6 / 5);
        send_ack(acked_readers_);
    }
}

domain_summary distribution::own_summary() const
{
    domain_summary summary;
    const member_record& self = members_.self();
    summary.failure_domain = self.failure_domain;
    summary.members_digest = members_.digest_of(self.failure_domain);
    const std::vector<member_record> records = members_.members_of(self.failure_domain);
    bool is_first = true;
    for (const member_record& record : records) {
        if (record.state == member_state::left) {
            continue;
        }
        ++summary.members;
        if (record.state == member_state::unreachable) {
            ++summary.unreachable;
            continue;
        }
        summary.lowest = is_first ? record.in_force : std::min(summary.lowest, record.in_force);
        summary.highest = std::max(summary.highest, record.in_force);
        is_first = false;
    }
    for (const member_record& record : records) {
        if (record.state > member_state::suspect || record.in_force >= newest_seen_ ||
            summary.behind.size() >= options_.max_behind) {
            continue;
        }
        const auto refused = refusals_.find(record.node);
        std::string reason = refused == refusals_.end() ? std::string() : refused->second.reason;
        if (record.node == self.node && refused_) {
            reason = refused_->reason;
        }
        summary.behind.push_back({record.node, record.in_force, std::move(reason)});
    }
    return summary;
}

void distribution::update_summary(time_point now)
{
    if (!members_.reader_position() || now < next_summary_check_) {
        return;
    }
    next_summary_check_ = now + options_.summary_change_period / 2;
    domain_summary summary = own_summary();
    const bool is_changed = summary.lowest != sent_summary_.lowest ||
                            summary.highest != sent_summary_.highest ||
                            summary.behind.size() != sent_summary_.behind.size() ||
                            summary.members != sent_summary_.members ||
                            summary.members_digest != sent_summary_.members_digest ||
                            summary.unreachable != sent_summary_.unreachable;
    if (is_changed && !summary_changed_) {
        summary_changed_ = now;
    }
    // A changed summary is delayed by the period, so that several changes share one message.
    const bool is_due =
        summary_changed_ && now - *summary_changed_ >= options_.summary_change_period;
    const bool has_new_records = summary.members_digest != sent_summary_.members_digest &&
                                 now - summary_sent_at_ >= options_.summary_records_period;
    if (!is_due && !has_new_records && now < next_summary_) {
        return;
    }
    summary_changed_.reset();
    summary_sent_at_ = now;
    next_summary_ = now + uniform_between(random_, options_.summary_period * 4 / 5,
                                          options_.summary_period * 6 / 5);
    summary.sequence = hooks_.wall_clock ? hooks_.wall_clock() : 0;
    sent_summary_ = summary;
    summary.records = members_.recent_changes(summary.failure_domain, max_summary_records);
    send(summary_recipients(now), std::move(summary));
}

std::vector<peer_endpoint> distribution::summary_recipients(time_point now)
{
    std::vector<peer_endpoint> recipients;
    for (const std::string& domain : members_.failure_domains()) {
        if (domain == members_.self().failure_domain) {
            continue;
        }
        std::vector<node_id> nodes = members_.readers_of(domain);
        const time_point received_at = summary_received_at_.emplace(domain, now).first->second;
        if (now - received_at >= options_.summary_period * max_missed_summaries) {
            // The readers recorded here may have been replaced; any member of the domain can
            // correct the records.
            const std::vector<member_record> records = members_.members_of(domain);
            nodes.push_back(records[uniform_below(random_, records.size())].node);
        }
        for (const node_id& node : nodes) {
            recipients.push_back(*members_.endpoint_of(node));
        }
    }
    return recipients;
}

void distribution::on_summary(const peer_endpoint& from, const domain_summary& content,
                              time_point now)
{
    if (content.failure_domain == members_.self().failure_domain) {
        return;
    }
    domain_summary& stored = summaries_[content.failure_domain];
    time_point& received_at = summary_received_at_[content.failure_domain];
    // Sequence numbers are wall-clock times: after the sender's clock was set back, its summaries
    // must not be discarded forever.
    const bool is_silent = now - received_at >= options_.summary_period * max_missed_summaries;
    if (content.sequence > stored.sequence || is_silent) {
        stored = content;
        stored.records.clear();
    }
    received_at = now;
    on_peer_version(from, content.highest, now);
}

void distribution::request_status(std::uint64_t id, time_point now)
{
    now_ = now;
    const std::vector<node_id>& readers = members_.readers_of(members_.self().failure_domain);
    std::vector<peer_endpoint> recipients;
    for (const node_id& reader : readers) {
        if (reader != members_.self().node) {
            recipients.push_back(*members_.endpoint_of(reader));
        }
    }
    if (members_.reader_position() || recipients.empty()) {
        if (hooks_.status) {
            hooks_.status({id, convergence()});
        }
        return;
    }
    send(std::move(recipients), status_request{id});
}

std::vector<domain_summary> distribution::convergence() const
{
    std::vector<domain_summary> result = {own_summary()};
    for (const std::pair<const std::string, domain_summary>& entry : summaries_) {
        if (entry.first == members_.self().failure_domain) {
            continue;
        }
        domain_summary summary = entry.second;
        const auto received_at = summary_received_at_.find(entry.first);
        if (now_ - received_at->second >= options_.summary_period * max_missed_summaries) {
            summary.unreachable = summary.members;
        }
        result.push_back(std::move(summary));
    }
    for (const std::string& domain : members_.failure_domains()) {
        if (domain != members_.self().failure_domain && summaries_.count(domain) == 0) {
            // No summary has arrived yet, so the versions of the members are unknown.
            domain_summary summary;
            summary.failure_domain = domain;
            summary.members = static_cast<std::uint32_t>(members_.members_of(domain).size());
            summary.unreachable = summary.members;
            result.push_back(std::move(summary));
        }
    }
    return result;
}

} // namespace agatespread
