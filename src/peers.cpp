#include <agatespread/peers.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatespread {

using std::chrono::milliseconds;

namespace {

// A proof of another failure domain is asked for only if it is younger by more than this, which
// shows that the readers of the own domain do not reach the platform.
constexpr milliseconds remote_proof_advantage{1500};

// Peers whose proofs differ by less share the questions.
constexpr milliseconds similar_proofs{300};

// Results of a peer count until this time after its next report was due: results of several seconds
// ago tell nothing of the load now.
constexpr milliseconds results_lifetime{500};

} // namespace

peers::peers(node_id own, std::string failure_domain, const peer_options& options)
    : own_(std::move(own)), failure_domain_(std::move(failure_domain)), options_(options)
{
    // Each node begins at its own position, so that a peer hears of the others one after another.
    near_reports_.last = own_;
    far_reports_.last = own_;
}

void peers::set_entry(peer& subject, const peer_entry& entry)
{
    subject.entry = entry;
    const auto found =
        std::find_if(domains_.begin(), domains_.end(), [&entry](const domain_contact& each) {
            return each.name == entry.failure_domain;
        });
    subject.domain = static_cast<std::size_t>(found - domains_.begin());
    if (found == domains_.end()) {
        domains_.push_back({entry.failure_domain, 0, time_point()});
    }
    update_counts();
}

void peers::hear(peer& subject, time_point now)
{
    subject.last_received_at = now;
    domains_[subject.domain].last_heard_at = now;
}

void peers::add_entry(const peer_entry& entry, time_point now)
{
    if (entry.node == own_) {
        return;
    }
    peer& known = peers_[entry.node];
    set_entry(known, entry);
    known.last_updated_at = now;
}

void peers::remove(const node_id& node, time_point now)
{
    const auto found = peers_.find(node);
    if (found != peers_.end() && !is_alive(found->second, now)) {
        peers_.erase(found);
        update_counts();
    }
}

bool peers::receive(const peer_report& report, time_point now)
{
    if (report.entry.node == own_) {
        return false;
    }
    const auto before = peers_.find(report.entry.node);
    if (before != peers_.end() && before->second.incarnation == report.incarnation &&
        report.sequence <= before->second.sequence) {
        return false;
    }
    peer& known = peers_[report.entry.node];
    if (!(known.entry == report.entry)) {
        set_entry(known, report.entry);
    }
    known.incarnation = report.incarnation;
    known.sequence = report.sequence;
    known.state = report.state;
    known.load = report.load;
    known.in_force = report.in_force;
    known.can_read_platform = report.can_read_platform;
    known.quota = report.quota;
    if (report.proof_age) {
        known.proven_at = now - *report.proof_age;
    }
    known.version = report.version;
    known.idle = report.load.running == 0 && report.load.queued == 0;
    known.results = report.results;
    known.rollouts = report.rollouts;
    known.sent_since_report = 0;
    known.runs = report.runs;
    known.reported_at = now;
    hear(known, now);
    known.last_updated_at = now;
    known.suspended = false;
    return true;
}

void peers::record_sent(const node_id& node)
{
    const auto found = peers_.find(node);
    if (found != peers_.end()) {
        ++found->second.sent_since_report;
    }
}

void peers::record_response(const node_id& node, const reported_load& load,
                            std::chrono::nanoseconds transit, time_point now)
{
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        return;
    }
    peer& known = found->second;
    // Responses omit the times per kind and of uploads to stay small.
    const kind_times kinds = known.load.kinds;
    const std::chrono::nanoseconds upload_time = known.load.upload_time;
    known.load = load;
    known.load.kinds = kinds;
    known.load.upload_time = upload_time;
    known.sent_since_report = 0;
    hear(known, now);
    const bool is_recent = now - known.transit_measured_at <= options_.transit_lifetime;
    // EWMA with a weight of 1/4, so that one large response does not count as a slow link.
    known.transit = is_recent ? known.transit + (transit - known.transit) / 4 : transit / 2;
    known.transit_measured_at = now;
}

void peers::record_silence(const node_id& node, std::chrono::nanoseconds waited, time_point now)
{
    const auto found = peers_.find(node);
    if (found != peers_.end()) {
        peer& known = found->second;
        const bool is_recent = now - known.transit_measured_at <= options_.transit_lifetime;
        known.transit = std::max(is_recent ? known.transit : std::chrono::nanoseconds(0), waited);
        known.transit_measured_at = now;
    }
}

void peers::record_announcement(const node_id& node,
                                const std::optional<upstream_announcement>& announced)
{
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        return;
    }
    std::optional<upstream_announcement>& known = found->second.announced;
    const bool leaving = known && known->leaving;
    if (announced) {
        const bool same_incarnation = known && known->instance == announced->instance &&
                                      known->started_at == announced->started_at;
        known = announced;
        known->leaving = announced->leaving || (leaving && same_incarnation);
    }
    else if (leaving) {
        known->rate_limit.reset();
    }
    else {
        known.reset();
    }
}

std::optional<upstream_announcement> peers::announcement_of(const node_id& node) const
{
    const auto found = peers_.find(node);
    return found == peers_.end() ? std::nullopt : found->second.announced;
}

void peers::record_refusal(const node_id& node, time_point now)
{
    record_failure(node, now);
}

void peers::record_failure(const node_id& node, time_point /*now*/)
{
    const auto found = peers_.find(node);
    if (found != peers_.end()) {
        found->second.suspended = true;
    }
}

bool peers::is_local(const peer& subject) const
{
    return subject.entry.failure_domain == failure_domain_;
}

bool peers::is_alive(const peer& subject, time_point now) const
{
    // The peer has entries of about as many nodes, so its period is about the same as this node's.
    const milliseconds period = report_period(is_local(subject));
    return subject.last_received_at != time_point() &&
           now - subject.last_received_at <=
               period * options_.max_missed_reports + options_.min_report_period / 2;
}

bool peers::is_domain_silent(const peer& subject, time_point now) const
{
    const domain_contact& of_subject = domains_[subject.domain];
    if (is_local(subject) || of_subject.last_heard_at == time_point()) {
        return false;
    }
    const std::chrono::nanoseconds between_reports =
        std::chrono::nanoseconds(report_period(false)) /
        static_cast<std::int64_t>(std::max<std::size_t>(of_subject.peers, 1));
    return now - of_subject.last_heard_at >
           std::max<std::chrono::nanoseconds>(options_.min_domain_silence,
                                              between_reports * options_.missed_domain_reports);
}

std::vector<eligible_peer> peers::eligible(std::string_view service, time_point now) const
{
    std::vector<eligible_peer> result;
    std::vector<eligible_peer> in_silent_domains;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (subject.entry.service != service || subject.state != upstream_state::ready ||
            subject.suspended || !is_alive(subject, now)) {
            continue;
        }
        std::vector<eligible_peer>& list =
            is_domain_silent(subject, now) ? in_silent_domains : result;
        list.push_back({each.first, subject.entry.call_address, is_local(subject), subject.load,
                        subject.sent_since_report, subject.version,
                        now - subject.transit_measured_at <= options_.transit_lifetime
                            ? subject.transit
                            : std::chrono::nanoseconds(0)});
    }
    return result.empty() ? in_silent_domains : result;
}

std::vector<peer_rollouts> peers::rollouts(time_point now) const
{
    std::vector<peer_rollouts> result;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (is_alive(subject, now)) {
            result.push_back({each.first, subject.entry.service, subject.version, subject.state,
                              subject.idle, subject.results, subject.rollouts});
        }
    }
    return result;
}

bool peers::has_recent_report(const peer& subject, time_point now) const
{
    return subject.reported_at != time_point() &&
           now - subject.reported_at <= report_period(is_local(subject)) + results_lifetime;
}

std::vector<run_count> peers::runs_of(std::string_view service, std::uint32_t kind,
                                      time_point now) const
{
    std::vector<run_count> result;
    for (const std::pair<const node_id, peer>& each : peers_) {
        if (each.second.entry.service != service || !has_recent_report(each.second, now)) {
            continue;
        }
        for (const rule_results& rule : each.second.runs) {
            if (rule.kind == kind && rule.ended > 0) {
                result.push_back({rule.ended, rule.failed});
            }
        }
    }
    return result;
}

void slot_use::add(const reported_load& load)
{
    const std::uint64_t taken = std::uint64_t{load.running} + load.queued;
    slots += load.slots;
    free += load.slots - std::min<std::uint64_t>(load.slots, taken);
}

slot_use peers::slots_of(std::string_view service, time_point now) const
{
    slot_use sum;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (subject.entry.service == service && subject.state == upstream_state::ready &&
            !subject.suspended && is_alive(subject, now)) {
            sum.add(subject.load);
        }
    }
    return sum;
}

idle_arrivals peers::arrivals_of(std::uint32_t kind, time_point now) const
{
    constexpr double hundredths = 100;
    idle_arrivals sum;
    for (const std::pair<const node_id, peer>& each : peers_) {
        if (!has_recent_report(each.second, now)) {
            continue;
        }
        for (const rule_results& rule : each.second.runs) {
            if (rule.kind == kind) {
                sum.expected += rule.expected_idle / hundredths;
                sum.seen += rule.seen_idle / hundredths;
            }
        }
    }
    return sum;
}

std::vector<peer_entry> peers::in_domain(bool own) const
{
    std::vector<peer_entry> result;
    for (const std::pair<const node_id, peer>& each : peers_) {
        if (is_local(each.second) == own) {
            result.push_back(each.second.entry);
        }
    }
    return result;
}

std::optional<peer_entry> peers::find(const node_id& node) const
{
    const auto found = peers_.find(node);
    return found == peers_.end() ? std::nullopt : std::make_optional(found->second.entry);
}

std::optional<peer_entry> peers::proof_source(const random_source& random, time_point now) const
{
    std::vector<const peer*> own;
    std::vector<const peer*> all;
    time_point youngest_own;
    time_point youngest;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (!is_alive(subject, now)) {
            continue;
        }
        all.push_back(&subject);
        youngest = std::max(youngest, subject.proven_at);
        if (is_local(subject)) {
            own.push_back(&subject);
            youngest_own = std::max(youngest_own, subject.proven_at);
        }
    }
    const bool stay = !own.empty() && youngest - youngest_own <= remote_proof_advantage;
    std::vector<const peer*>& pool = stay ? own : all;
    const time_point from = (stay ? youngest_own : youngest) - similar_proofs;
    pool.erase(std::remove_if(pool.begin(), pool.end(),
                              [from](const peer* each) { return each->proven_at < from; }),
               pool.end());
    if (pool.empty()) {
        return std::nullopt;
    }
    return pool[uniform_below(random, pool.size())]->entry;
}

std::size_t peers::count_heard(milliseconds period, time_point now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(peers_.begin(), peers_.end(),
                                 [period, now](const std::pair<const node_id, peer>& each) {
                                     return each.second.quota != quota_part::stopping &&
                                            now - std::max(each.second.last_updated_at,
                                                           each.second.last_received_at) <=
                                                period;
                                 }));
}

std::vector<heard_peer> peers::quota_peers(time_point now) const
{
    std::vector<heard_peer> result;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (subject.quota == quota_part::active && is_local(subject) && is_alive(subject, now)) {
            result.push_back({each.first, now - subject.last_received_at});
        }
    }
    return result;
}

milliseconds peers::report_interval(bool own_domain) const
{
    return std::max(options_.min_report_period,
                    report_period(own_domain) / options_.parts_of_period);
}

std::vector<peer_entry> peers::next_recipients(bool own_domain, milliseconds elapsed)
{
    const std::size_t count = own_domain ? local_count_ : peers_.size() - local_count_;
    rotation& position = own_domain ? near_reports_ : far_reports_;
    // After a late call nobody gets more than one report.
    position.outstanding = std::min(
        position.outstanding + static_cast<double>(count) * static_cast<double>(elapsed.count()) /
                                   static_cast<double>(report_period(own_domain).count()),
        static_cast<double>(count));
    std::vector<peer_entry> result;
    auto next = peers_.upper_bound(position.last);
    for (std::size_t visited = 0; visited < peers_.size() && position.outstanding >= 1; ++visited) {
        next = next == peers_.end() ? peers_.begin() : next;
        if (is_local(next->second) == own_domain) {
            result.push_back(next->second.entry);
            position.last = next->first;
            position.outstanding -= 1;
        }
        ++next;
    }
    return result;
}

milliseconds peers::report_period(bool own_domain) const
{
    const std::size_t count = own_domain ? local_count_ : peers_.size() - local_count_;
    const double rate =
        own_domain ? options_.local_reports_per_second : options_.remote_reports_per_second;
    const double seconds = static_cast<double>(count) / rate;
    return std::max(options_.min_report_period,
                    milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000))));
}

void peers::update_counts()
{
    for (domain_contact& each : domains_) {
        each.peers = 0;
    }
    local_count_ = 0;
    for (const std::pair<const node_id, peer>& each : peers_) {
        ++domains_[each.second.domain].peers;
        local_count_ += is_local(each.second) ? 1 : 0;
    }
}

bool peers::is_expected(const peer& subject, time_point now) const
{
    return subject.last_received_at == time_point() &&
           now - subject.last_updated_at <=
               report_period(is_local(subject)) * options_.max_missed_reports;
}

std::vector<peer_entry> peers::ahead_of(config_version version, bool own_domain,
                                        const std::set<node_id>& except, time_point now) const
{
    std::vector<peer_entry> result;
    config_version highest = version;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (is_local(subject) != own_domain || !is_alive(subject, now) ||
            subject.in_force <= version || subject.in_force < highest ||
            except.count(each.first) > 0) {
            continue;
        }
        if (subject.in_force > highest) {
            highest = subject.in_force;
            result.clear();
        }
        result.push_back(subject.entry);
    }
    return result;
}

std::vector<peer_entry> peers::version_recipients(bool is_reader, const random_source& random,
                                                  time_point now) const
{
    std::vector<peer_entry> result;
    std::map<std::string, std::vector<const peer*>> remote;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (is_local(subject)) {
            result.push_back(subject.entry);
        }
        else if (is_reader && is_alive(subject, now)) {
            remote[subject.entry.failure_domain].push_back(&subject);
        }
    }
    for (std::pair<const std::string, std::vector<const peer*>>& domain : remote) {
        std::vector<const peer*>& candidates = domain.second;
        for (std::size_t count = 0; count < options_.remote_recipients && !candidates.empty();
             ++count) {
            const std::size_t index = uniform_below(random, candidates.size());
            result.push_back(candidates[index]->entry);
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return result;
}

std::vector<peer_entry> peers::unheard(time_point now) const
{
    std::vector<peer_entry> result;
    for (const std::pair<const node_id, peer>& each : peers_) {
        if (!is_alive(each.second, now)) {
            result.push_back(each.second.entry);
        }
    }
    return result;
}

bool peers::is_reader(std::size_t readers, time_point now) const
{
    return ahead_by_id(now).able < readers;
}

nodes_ahead peers::ahead_by_id(time_point now) const
{
    nodes_ahead ahead;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (each.first < own_ && is_local(subject) &&
            (is_alive(subject, now) || is_expected(subject, now))) {
            ++(subject.can_read_platform ? ahead.able : ahead.failing);
        }
    }
    return ahead;
}

void peers::expire(time_point now)
{
    for (auto each = peers_.begin(); each != peers_.end();) {
        const bool expired = now - each->second.last_updated_at > options_.expire_after;
        each = expired ? peers_.erase(each) : std::next(each);
    }
    update_counts();
}

} // namespace agatespread
