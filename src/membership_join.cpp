#include <agatespread/membership.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

constexpr std::uint32_t attempts_until_standalone = 3;
constexpr std::size_t confirming_members = 6;
constexpr std::chrono::milliseconds confirm_time = std::chrono::seconds(1);
constexpr std::chrono::milliseconds fence_retry = std::chrono::milliseconds(200);
constexpr std::chrono::milliseconds fence_period = std::chrono::seconds(1);

// Readers compare digests with a reader of another failure domain, and in one of
// exchanges_per_seed exchanges with a seed that is not an alive member, so that partitions whose
// members have removed each other's records merge again.
constexpr std::chrono::milliseconds exchange_period = std::chrono::seconds(5);
constexpr std::uint64_t exchanges_per_seed = 4;

// If all failure domains start at once, each may join through its own nodes only; these more
// frequent exchanges then merge them.
constexpr std::chrono::milliseconds bootstrap_time = std::chrono::seconds(10);
constexpr std::chrono::milliseconds bootstrap_exchange_period = std::chrono::milliseconds(500);

} // namespace

void membership::advance_join(time_point now)
{
    if (join_state_ == join_state::confirming) {
        if (now >= confirm_until_) {
            join_state_ = join_state::joined;
        }
        else if (now >= next_fence_request_) {
            next_fence_request_ = now + fence_retry;
            request_fence({confirming_.begin(), confirming_.end()});
        }
    }
    if ((join_state_ == join_state::joining || join_state_ == join_state::standalone) &&
        !options_.seeds.empty() && now >= next_join_) {
        try_join(now);
    }
    if (join_state_ != join_state::joined) {
        return;
    }
    if (!fence_ && self_.in_force == 0 && now >= next_fence_request_) {
        next_fence_request_ = now + fence_period;
        std::vector<node_id> nodes = readers_of(self_.failure_domain);
        // Requests to the readers of all failure domains would overload them in a mass restart, so
        // two are picked at random.
        const std::vector<std::string> domains = failure_domains();
        for (int i = 0; i < 2; ++i) {
            const std::vector<node_id>& readers =
                readers_of(domains[uniform_below(random_, domains.size())]);
            nodes.insert(nodes.end(), readers.begin(), readers.end());
        }
        request_fence(nodes);
    }
    if (now >= next_exchange_) {
        exchange_digests(now);
    }
}

void membership::try_join(time_point now)
{
    if (join_attempts_ >= attempts_until_standalone) {
        join_state_ = join_state::standalone;
    }
    const std::string& address = options_.seeds[uniform_below(random_, options_.seeds.size())];
    send({{"", "", address}}, join{self_, false, join_nonce_});
    const std::chrono::milliseconds max_jitter = std::min(
        options_.join_retry_cap, options_.join_timeout * (1U << std::min(join_attempts_, 8U)));
    ++join_attempts_;
    next_join_ = now + options_.join_timeout +
                 uniform_between(random_, std::chrono::milliseconds(0), max_jitter);
}

void membership::exchange_digests(time_point now)
{
    const std::chrono::milliseconds period =
        now - joined_at_ < bootstrap_time ? bootstrap_exchange_period : exchange_period;
    next_exchange_ =
        now + period / 2 + uniform_between(random_, std::chrono::milliseconds(0), period);
    if (!reader_position()) {
        return;
    }
    std::vector<peer_endpoint> targets;
    for (const std::pair<const std::string, std::set<node_id>>& entry : domains_) {
        for (const node_id& reader : readers_of(entry.first)) {
            if (entry.first != self_.failure_domain) {
                targets.push_back(*endpoint_of(reader));
            }
        }
    }
    const std::vector<std::string> seeds = unknown_seeds();
    const bool use_seed = targets.empty() || uniform_below(random_, exchanges_per_seed) == 0;
    if (use_seed && !seeds.empty()) {
        targets = {{"", "", seeds[uniform_below(random_, seeds.size())]}};
    }
    if (!targets.empty()) {
        send({targets[uniform_below(random_, targets.size())]}, members_pull{all_digests(), true});
    }
}

std::vector<std::string> membership::unknown_seeds() const
{
    std::set<std::string> known = {options_.peer_address};
    for (const std::pair<const node_id, member>& entry : members_) {
        if (entry.second.record.state == member_state::alive) {
            known.insert(entry.second.record.peer_address);
        }
    }
    std::vector<std::string> result;
    for (const std::string& seed : options_.seeds) {
        if (known.count(seed) == 0) {
            result.push_back(seed);
        }
    }
    return result;
}

void membership::on_join(const peer_endpoint& from, const join& content, time_point now)
{
    join_reply reply;
    reply.nonce = content.nonce;
    const node_id& node = content.self.node;
    const bool is_known = announced_.count(node) != 0 && last_announced(node) > 0;
    reply.fence = is_known ? last_announced(node) : highest_announced(content.self.failure_domain);
    if (content.fence_only) {
        send({from}, std::move(reply));
        return;
    }
    reply.retry_after = defer_join(now);
    if (reply.retry_after.count() > 0) {
        reply.fence = 0;
        send({from}, std::move(reply));
        return;
    }
    // The previous record of the node contains the incarnation that it has to exceed.
    reply.members = members();
    const auto removed = tombstones_.find(node);
    if (removed != tombstones_.end()) {
        reply.members.push_back(removed->second.record);
    }
    merge(content.self, spread_mode::gossip, now);
    send({from}, std::move(reply));
}

std::chrono::milliseconds membership::defer_join(time_point now)
{
    if (now - join_window_start_ >= options_.join_window) {
        const std::size_t windows =
            static_cast<std::size_t>((now - join_window_start_) / options_.join_window);
        const std::size_t served = windows * options_.joins_per_window;
        joins_deferred_ -= std::min(joins_deferred_, served);
        joins_accepted_ = 0;
        join_window_start_ = now;
    }
    if (joins_accepted_ < options_.joins_per_window) {
        ++joins_accepted_;
        return std::chrono::milliseconds(0);
    }
    // The retry delay is uniform over the time that the deferred joins need, so that the retries
    // arrive at an even rate.
    ++joins_deferred_;
    const std::size_t windows = joins_deferred_ / options_.joins_per_window + 1;
    const std::chrono::milliseconds needed = options_.join_window * windows;
    return uniform_between(random_, std::chrono::milliseconds(1), needed + options_.join_window);
}

void membership::on_join_reply(const peer_endpoint& from, const join_reply& content, time_point now)
{
    // A reply to a join that an earlier incarnation of this node sent may contain too low a fence:
    // it may predate the last version that this incarnation served.
    if (content.nonce != join_nonce_) {
        return;
    }
    if (content.retry_after.count() > 0) {
        if (join_state_ == join_state::joining || join_state_ == join_state::standalone) {
            next_join_ = now + content.retry_after;
        }
        return;
    }
    if (content.fence > 0) {
        fence_ = std::max(fence_.value_or(0), content.fence);
    }
    if (join_state_ == join_state::confirming) {
        confirming_.erase(from.node);
        if (confirming_.empty()) {
            join_state_ = join_state::joined;
        }
        return;
    }
    if (join_state_ == join_state::joined || content.members.empty()) {
        return;
    }
    for (const member_record& record : content.members) {
        if (record.node == self_.node) {
            self_.incarnation = std::max(self_.incarnation, record.incarnation);
        }
        else {
            merge(record, spread_mode::none, now);
        }
    }
    announce(now);
    begin_confirming(from.node, now);
}

void membership::begin_confirming(const node_id& responder, time_point now)
{
    // A single peer may have missed this node's last version; the readers receive every
    // announcement.
    confirming_.clear();
    for (const node_id& node : readers_of(self_.failure_domain)) {
        confirming_.insert(node);
    }
    for (const node_id& node : sample_alive_members(confirming_members, responder)) {
        confirming_.insert(node);
    }
    // Members that the responder holds unreachable may be reachable from this node.
    for (const node_id& node : domain_members(member_state::unreachable)) {
        if (confirming_.size() < confirming_members) {
            confirming_.insert(node);
        }
    }
    confirming_.erase(responder);
    confirming_.erase(self_.node);
    join_state_ = confirming_.empty() ? join_state::joined : join_state::confirming;
    confirm_until_ = now + confirm_time;
    joined_at_ = now;
    next_fence_request_ = now + fence_retry;
    next_exchange_ =
        now + uniform_between(random_, std::chrono::milliseconds(0), bootstrap_exchange_period);
    request_fence({confirming_.begin(), confirming_.end()});
}

void membership::request_fence(const std::vector<node_id>& nodes) const
{
    std::vector<peer_endpoint> targets;
    for (const node_id& node : nodes) {
        const std::optional<peer_endpoint> target = endpoint_of(node);
        if (target && node != self_.node) {
            targets.push_back(*target);
        }
    }
    send(std::move(targets), join{self_, true, join_nonce_});
}

} // namespace agatespread
