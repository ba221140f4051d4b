#include <agatespread/membership.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

// Probe periods between two probes of an unreachable member; they only serve to detect the end of a
// partition, which need not be fast.
constexpr std::uint32_t unreachable_probe_interval = 3;

// A failed reader delays configuration changes, so the members of a failure domain together send
// about this many additional probes per probe period to their readers.
constexpr std::size_t reader_probes_per_period = 6;

// After two failed probes and no message from the failure domain in between, this node itself is
// presumed cut off.
constexpr std::uint32_t failed_probes_when_cut_off = 2;

} // namespace

std::vector<node_id> membership::domain_members(member_state max_state) const
{
    std::vector<node_id> result;
    const auto domain = domains_.find(self_.failure_domain);
    if (domain != domains_.end()) {
        for (const node_id& node : domain->second) {
            if (members_.at(node).record.state <= max_state) {
                result.push_back(node);
            }
        }
    }
    return result;
}

std::vector<node_id> membership::sample_alive_members(std::size_t count, const node_id& except)
{
    std::vector<node_id> candidates = domain_members(member_state::alive);
    candidates.erase(std::remove(candidates.begin(), candidates.end(), except), candidates.end());
    const std::size_t picked = std::min(count, candidates.size());
    for (std::size_t i = 0; i < picked; ++i) {
        std::swap(candidates[i], candidates[i + uniform_below(random_, candidates.size() - i)]);
    }
    candidates.resize(picked);
    return candidates;
}

void membership::probe_next(time_point now)
{
    if (self_.state == member_state::left) {
        return;
    }
    if (++probe_count_ % unreachable_probe_interval == 0) {
        probe_unreachable();
    }
    // Probing in shuffled rounds over all members bounds the time until each member is probed.
    const member_record* subject = nullptr;
    for (int round = 0; round < 2 && subject == nullptr; ++round) {
        while (!probe_order_.empty() && subject == nullptr) {
            const member_record* record = find(probe_order_.back());
            probe_order_.pop_back();
            if (record != nullptr && record->state <= member_state::suspect) {
                subject = record;
            }
        }
        if (subject == nullptr) {
            probe_order_ = domain_members(member_state::suspect);
            for (std::size_t i = probe_order_.size(); i > 1; --i) {
                std::swap(probe_order_[i - 1], probe_order_[uniform_below(random_, i)]);
            }
        }
    }
    if (subject != nullptr) {
        start_probe(*subject, now);
    }
}

void membership::probe_reader(time_point now)
{
    const std::vector<node_id>& readers = readers_of(self_.failure_domain);
    const std::size_t members = domain_members(member_state::alive).size() + 1;
    if (readers.empty() || self_.state == member_state::left ||
        uniform_below(random_, members) >= reader_probes_per_period) {
        return;
    }
    const node_id& reader = readers[uniform_below(random_, readers.size())];
    if (reader != self_.node) {
        start_probe(members_.at(reader).record, now);
    }
}

void membership::start_probe(const member_record& subject, time_point now)
{
    const node_id node = subject.node;
    const std::uint64_t sequence = send_ping(subject);
    probes_.push_back({node, sequence, now, false});
}

void membership::end_probes_of(const node_id& subject)
{
    probes_.erase(
        std::remove_if(probes_.begin(), probes_.end(),
                       [&subject](const probe& running) { return running.subject == subject; }),
        probes_.end());
}

void membership::probe_unreachable()
{
    std::vector<node_id> unreachable;
    for (const node_id& node : domain_members(member_state::unreachable)) {
        if (members_.at(node).record.state == member_state::unreachable) {
            unreachable.push_back(node);
        }
    }
    if (!unreachable.empty()) {
        send_ping(members_.at(unreachable[uniform_below(random_, unreachable.size())]).record);
    }
}

std::uint64_t membership::send_ping(const member_record& subject)
{
    std::vector<member_record> updates = take_updates();
    add_unless_alive(updates, subject.node);
    const std::uint64_t sequence = ++sequence_;
    send({{subject.node, subject.failure_domain, subject.peer_address}},
         ping{sequence, self_.in_force, table_digest(), std::move(updates)});
    return sequence;
}

void membership::check_probes(time_point now)
{
    for (auto entry = relays_.begin(); entry != relays_.end();) {
        entry = now >= entry->second.until ? relays_.erase(entry) : std::next(entry);
    }
    std::set<node_id> failed;
    for (probe& running : probes_) {
        if (now - running.sent >= options_.probe_timeout * 2) {
            failed.insert(running.subject);
        }
        else if (now - running.sent >= options_.probe_timeout && !running.indirect) {
            running.indirect = true;
            request_indirect_probes(running);
        }
    }
    for (const node_id& subject : failed) {
        end_probes_of(subject);
        on_probe_failed(subject, now);
    }
}

void membership::request_indirect_probes(const probe& running)
{
    std::vector<peer_endpoint> helpers;
    for (const node_id& node : sample_alive_members(options_.indirect_probes, running.subject)) {
        helpers.push_back(*endpoint_of(node));
    }
    send(std::move(helpers), ping_request{running.sequence, running.subject});
}

void membership::on_probe_failed(const node_id& subject, time_point now)
{
    ++failed_probes_;
    // If no message arrives from any member, the fault is presumed to be on this node, and the
    // member is not suspected.
    if (!is_domain_silent()) {
        mark_suspect(subject, now);
    }
}

void membership::mark_suspect(const node_id& node, time_point now)
{
    const auto found = members_.find(node);
    if (found == members_.end() || found->second.record.state != member_state::alive) {
        return;
    }
    const std::vector<node_id>& readers = readers_of(self_.failure_domain);
    const bool was_reader = std::find(readers.begin(), readers.end(), node) != readers.end();
    member_record record = found->second.record;
    record.state = member_state::suspect;
    store(record, spread_mode::gossip, now);
    if (was_reader) {
        // Another member becomes reader, so the failure domain is notified without waiting for
        // gossip.
        send(domain_peers(), members_push{{record}});
    }
}

void membership::expire_suspects(time_point now)
{
    if (cut_off_) {
        return;
    }
    for (const node_id& node : domain_members(member_state::suspect)) {
        const member& entry = members_.at(node);
        if (entry.record.state == member_state::suspect &&
            now - entry.since >= options_.suspicion_timeout) {
            member_record record = entry.record;
            record.state = member_state::unreachable;
            store(std::move(record), spread_mode::gossip, now);
        }
    }
}

bool membership::is_domain_silent() const
{
    return failed_probes_ >= failed_probes_when_cut_off &&
           domain_members(member_state::suspect).size() >= 2;
}

void membership::update_cut_off(time_point now)
{
    std::size_t not_alive = 0;
    std::size_t counted = 1;
    for (const node_id& node : domain_members(member_state::unreachable)) {
        const member& entry = members_.at(node);
        // While this node is cut off, losses do not leave the window; otherwise the state would end
        // by itself before the partition does.
        const bool is_outside_window = !cut_off_ &&
                                       entry.record.state == member_state::unreachable &&
                                       now - entry.since >= options_.detection_window;
        counted += is_outside_window ? 0 : 1;
        not_alive += !is_outside_window && entry.record.state != member_state::alive ? 1 : 0;
    }
    const bool cut_off = not_alive * 2 > counted || is_domain_silent();
    if (cut_off_ && !cut_off) {
        // Suspects get the full suspicion timeout again to refute suspicions raised while this node
        // was cut off.
        for (const node_id& node : domain_members(member_state::suspect)) {
            members_.at(node).since = now;
        }
    }
    cut_off_ = cut_off;
}

void membership::resume_after_pause(time_point now)
{
    if (now - last_tick_ <= options_.probe_period) {
        return;
    }
    // Responses to the last probes may be unread in the sockets, so overdue probes are no evidence
    // of a failure.
    probes_.clear();
    failed_probes_ = 0;
    for (const node_id& node : domain_members(member_state::suspect)) {
        members_.at(node).since = now;
    }
    next_probe_ = now + options_.probe_timeout;
}

void membership::record_contact(const node_id& node, time_point now)
{
    const auto found = members_.find(node);
    if (found != members_.end() && found->second.record.failure_domain == self_.failure_domain) {
        last_contact_ = now;
        failed_probes_ = 0;
        end_probes_of(node);
    }
}

void membership::on_ping(const peer_endpoint& from, const ping& content, time_point now)
{
    merge_updates(content.updates, now);
    record_announced_version(from.node, content.in_force);
    std::vector<member_record> updates = take_updates();
    add_unless_alive(updates, from.node);
    send({from},
         ack{content.sequence, self_.node, self_.in_force, table_digest(), std::move(updates)});
    compare_digest(from, content.members_digest, now);
}

void membership::on_ack(const peer_endpoint& from, const ack& content, time_point now)
{
    merge_updates(content.updates, now);
    record_announced_version(content.subject, content.in_force);
    const bool is_answer =
        std::any_of(probes_.begin(), probes_.end(), [&content](const probe& running) {
            return running.sequence == content.sequence && running.subject == content.subject;
        });
    if (is_answer) {
        end_probes_of(content.subject);
    }
    if (content.subject != from.node) {
        return;
    }
    const auto found = relays_.find(content.sequence);
    if (found != relays_.end()) {
        ack relayed = content;
        relayed.sequence = found->second.sequence;
        relayed.updates.clear();
        send({found->second.requester}, std::move(relayed));
        relays_.erase(found);
    }
    compare_digest(from, content.members_digest, now);
}

void membership::on_ping_request(const peer_endpoint& from, const ping_request& content,
                                 time_point now)
{
    const member_record* subject = find(content.subject);
    if (subject != nullptr && subject->node != self_.node) {
        const std::uint64_t sequence = send_ping(*subject);
        relays_[sequence] = {from, content.sequence, now + options_.probe_timeout * 3};
    }
}

} // namespace agatespread
