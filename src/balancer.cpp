#include <agatespread/balancer.h>
#include <agatespread/digest.h>

#include <algorithm>
#include <atomic>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Divisor of the EWMAs: a new latency, failure or refusal has a weight of 1/8.
constexpr int average_weight = 8;

// A target that reports queued calls on full slots counts as loaded only if its latency also
// exceeds its best latency by this factor, so that a false load hint cannot move traffic to another
// domain.
constexpr int loaded_latency_factor = 2;

// A target is a refusal outlier only while the mean refusal share of the others is below this.
constexpr double max_normal_refusal_share = 0.1;

// A local target counts as loaded for this time after it refused a call, so that others are
// preferred while they have free slots.
constexpr milliseconds refusal_avoidance_time = milliseconds(200);

// A target that refused a call because it drains is avoided for this time; its new state arrives
// sooner.
constexpr milliseconds draining_avoidance_time = std::chrono::seconds(5);

// Time after which the penalties of an unused target are halved, so that a target that was not
// ejected gets calls again.
constexpr milliseconds penalty_half_life = std::chrono::seconds(5);

// State is kept for this many departed targets, so that a target that restarts repeatedly keeps its
// ejection history.
constexpr std::size_t max_departed_targets = 64;

// Failures counted for a target that is down, so that it is ejected immediately.
constexpr std::uint32_t failures_when_down = 100;

// Factor of the failure share in the cost of a target.
constexpr double failure_cost_factor = 20;

// The second candidate is chosen only if its cost is below this share of the first one's. Otherwise
// only the cheapest targets of an idle cluster would get calls, and a small false signal would be
// enough to avoid a target.
constexpr double cost_tie_ratio = 0.8;

// Weight of a load hint that is not confirmed by a higher latency.
constexpr double min_hint_weight = 0.2;

// Factor of the refusal share in the cost of a target. Refusals are fast; without this factor, a
// target that refuses calls would attract all of them.
constexpr double refusal_cost_factor = 4;

/// Returns the cost of a candidate. The latency is at least 0.1 ms, so that candidates without a
/// latency remain comparable.
double cost_of(const candidate& item)
{
    const double latency = std::max(1e5, static_cast<double>(item.latency.count()));
    const double queue = 1.0 + static_cast<double>(item.in_flight) / std::max(1U, item.slots) * 4;
    return latency * queue * (1 + item.load_per_slot) *
           (1 + failure_cost_factor * item.failure_share) *
           (1 + refusal_cost_factor * item.refusal_share);
}

/// Chooses the cheaper of two random candidates.
class least_loaded final : public balancing_policy {
public:
    std::size_t choose(const std::vector<candidate>& candidates,
                       const random_source& random) override
    {
        const std::size_t first = uniform_below(random, candidates.size());
        if (candidates.size() == 1) {
            return first;
        }
        const std::size_t step = 1 + uniform_below(random, candidates.size() - 1);
        const std::size_t second = (first + step) % candidates.size();
        return cost_of(candidates[second]) < cost_of(candidates[first]) * cost_tie_ratio ? second
                                                                                         : first;
    }
};

/// Chooses the candidates in turn, as a baseline for comparison.
class round_robin final : public balancing_policy {
public:
    std::size_t choose(const std::vector<candidate>& candidates,
                       const random_source& /*random*/) override
    {
        return next_++ % candidates.size();
    }

private:
    std::size_t next_ = 0;
};

const registration<std::unique_ptr<balancing_policy>()> least_loaded_entry{
    "least_loaded", [] { return std::make_unique<least_loaded>(); }};
const registration<std::unique_ptr<balancing_policy>()> round_robin_entry{
    "round_robin", [] { return std::make_unique<round_robin>(); }};

nanoseconds update_average(nanoseconds current, nanoseconds value)
{
    return current.count() == 0 ? value : current + (value - current) / average_weight;
}

bool accepts_requests(const member_record& member)
{
    return member.state != member_state::left && member.upstream.state == upstream_state::ready;
}

bool contains(const std::vector<node_id>& nodes, const node_id& node)
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

std::size_t ejection_cap(std::size_t eligible, std::uint8_t percent)
{
    // Rounded up so that a cluster of three can eject one target, but limited so that one remains.
    const std::size_t cap = (eligible * percent + 99) / 100;
    return eligible == 0 ? 0 : std::min(cap, eligible - 1);
}

} // namespace

struct balancer::selection {
    std::vector<const member_record*> local;
    std::vector<const member_record*> busy; ///< Local and loaded.
    std::vector<const member_record*> remote;
    std::vector<const member_record*> ejected;
    std::vector<const member_record*> unreachable;
    const member_record* trial = nullptr;

    /// Returns the upstream for an affinity key by rendezvous hashing, regardless of load.
    const member_record* rendezvous_choice(std::uint64_t value) const
    {
        const std::string key = std::to_string(value);
        std::vector<const member_record*> all = local;
        all.insert(all.end(), busy.begin(), busy.end());
        if (all.empty()) {
            all = pool();
        }
        const auto first = std::max_element(
            all.begin(), all.end(), [&key](const member_record* left, const member_record* right) {
                return rendezvous_rank(key, left->node) < rendezvous_rank(key, right->node);
            });
        return first == all.end() ? nullptr : *first;
    }

    /// Returns the members of the first non-empty group: local, remote, ejected, unreachable.
    const std::vector<const member_record*>& pool() const
    {
        if (!local.empty()) {
            return local;
        }
        if (!remote.empty()) {
            return remote;
        }
        return ejected.empty() ? unreachable : ejected;
    }
};

balancer::balancer(std::string own_failure_domain, const balancer_options& options)
    : own_failure_domain_(std::move(own_failure_domain)), options_(options),
      members_(std::make_shared<service_members>())
{
}

void balancer::update_members(const std::vector<member_record>& members)
{
    const std::shared_ptr<service_members> by_service = std::make_shared<service_members>();
    for (const member_record& member : members) {
        if (accepts_requests(member)) {
            (*by_service)[{member.upstream.fleet, member.upstream.service}].push_back(member);
        }
    }
    std::atomic_store(&members_, std::shared_ptr<const service_members>(by_service));
}

balancer::shard& balancer::shard_of(const cluster& cluster_config) const
{
    return shards_[hash64(cluster_config.name) % shards_.size()];
}

balancer::cluster_state& balancer::state_of(shard& cluster_shard,
                                            const cluster& cluster_config) const
{
    cluster_state& state = cluster_shard.clusters[cluster_config.name];
    if (!state.policy) {
        policy_registry::factory make = policy_registry::instance().find(cluster_config.policy);
        state.policy = make ? make() : std::make_unique<least_loaded>();
    }
    return state;
}

candidate balancer::make_candidate(const member_record& member, const target& state,
                                   nanoseconds cluster_latency, time_point now) const
{
    candidate view;
    view.slots = std::max(1U, member.upstream.slots);
    view.in_flight = state.in_flight;
    const std::chrono::duration<double> idle = now - state.last_finished_at;
    const std::chrono::duration<double> half_life = penalty_half_life;
    const double decay = 1 / (1 + idle / half_life);
    view.failure_share = state.failure_share * decay;
    view.refusal_share = state.refusal_share * decay;
    // A target without a response gets the cluster's average; with a latency of zero it would
    // attract all calls.
    view.latency = state.latency.count() == 0 ? cluster_latency : state.latency;
    if (state.latency > cluster_latency) {
        const std::chrono::duration<double> excess = state.latency - cluster_latency;
        view.latency = cluster_latency + std::chrono::duration_cast<nanoseconds>(excess * decay);
    }
    if (now - state.hint_received_at < options_.hint_lifetime) {
        const double work = static_cast<double>(state.hint.running) + state.hint.queued;
        view.load_per_slot = std::min(1.0, work / std::max(1U, state.hint.slots));
        const double excess =
            static_cast<double>(state.latency.count()) /
                static_cast<double>(std::max<std::int64_t>(1, cluster_latency.count())) -
            1;
        view.load_per_slot *= std::clamp(excess, min_hint_weight, 1.0);
    }
    return view;
}

bool balancer::is_loaded(const member_record& member, const target& state, time_point now) const
{
    if (state.in_flight >= std::max(1U, member.upstream.slots) ||
        now - state.refused_at < refusal_avoidance_time) {
        return true;
    }
    const bool announced = now - state.hint_received_at < options_.hint_lifetime &&
                           state.hint.queued > 0 && state.hint.running >= state.hint.slots;
    return announced && state.latency > state.best_latency * loaded_latency_factor;
}

void balancer::erase_departed(cluster_state& state, std::size_t members)
{
    if (state.targets.size() <= members + max_departed_targets) {
        return;
    }
    for (auto each = state.targets.begin(); each != state.targets.end();) {
        const bool departed = each->second.last_selection != state.selection_count;
        each = departed && each->second.in_flight == 0 ? state.targets.erase(each) : ++each;
    }
}

balancer::selection balancer::select(cluster_state& state,
                                     const std::vector<member_record>& members,
                                     const choice_request& request, time_point now) const
{
    selection result;
    state.eligible = 0;
    ++state.selection_count;
    for (const member_record& member : members) {
        target& target_state = state.targets[member.node];
        target_state.last_selection = state.selection_count;
        target_state.local = member.failure_domain == own_failure_domain_;
        if (member.state != member_state::unreachable) {
            ++state.eligible;
        }
        if (contains(request.tried, member.node) ||
            now - target_state.drain_refused_at < draining_avoidance_time) {
            continue;
        }
        if (member.state == member_state::unreachable) {
            result.unreachable.push_back(&member);
        }
        else if (target_state.on_trial) {
            const bool due = target_state.ejected_until <= now && !target_state.trial_in_flight;
            result.trial = due && result.trial == nullptr ? &member : result.trial;
            result.ejected.push_back(&member);
        }
        else if (!target_state.local) {
            result.remote.push_back(&member);
        }
        else {
            (is_loaded(member, target_state, now) ? result.busy : result.local).push_back(&member);
        }
    }
    if (result.local.empty()) {
        // All local targets are loaded; they are compared with the remote ones.
        result.remote.insert(result.remote.end(), result.busy.begin(), result.busy.end());
    }
    return result;
}

std::optional<upstream_choice> balancer::choose(const cluster& cluster_config,
                                                const choice_request& request, time_point now,
                                                const random_source& random)
{
    const std::shared_ptr<const service_members> all = std::atomic_load(&members_);
    const auto members = all->find(cluster_config.service);
    if (members == all->end()) {
        return std::nullopt;
    }
    shard& cluster_shard = shard_of(cluster_config);
    const std::lock_guard<std::mutex> lock(cluster_shard.mutex);
    cluster_state& state = state_of(cluster_shard, cluster_config);
    erase_departed(state, members->second.size());
    const selection found = select(state, members->second, request, now);
    const std::vector<const member_record*>& pool = found.pool();
    const member_record* chosen = nullptr;
    if (request.affinity_key) {
        chosen = found.rendezvous_choice(*request.affinity_key);
    }
    else if (found.trial != nullptr && request.allow_trial) {
        chosen = found.trial;
        state.targets[chosen->node].trial_in_flight = true;
    }
    else if (!pool.empty()) {
        std::vector<candidate> views;
        views.reserve(pool.size());
        for (const member_record* member : pool) {
            views.push_back(
                make_candidate(*member, state.targets[member->node], state.average_latency, now));
        }
        chosen = pool[state.policy->choose(views, random)];
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    ++state.targets[chosen->node].in_flight;
    return upstream_choice{chosen->node, chosen->inbound_address, chosen->failure_domain,
                           chosen == found.trial && !request.affinity_key && request.allow_trial};
}

void balancer::record_outcome(cluster_state& state, target& subject, attempt_outcome outcome,
                              nanoseconds latency, time_point now)
{
    const bool failed = outcome == attempt_outcome::failed ||
                        outcome == attempt_outcome::timed_out || outcome == attempt_outcome::down;
    if (outcome == attempt_outcome::refused || outcome == attempt_outcome::answered) {
        const double refused = outcome == attempt_outcome::refused ? 1.0 : 0.0;
        subject.refusal_share += (refused - subject.refusal_share) / average_weight;
    }
    if (failed || outcome == attempt_outcome::answered) {
        subject.failure_share += ((failed ? 1.0 : 0.0) - subject.failure_share) / average_weight;
    }
    if (failed) {
        subject.failures += outcome == attempt_outcome::down ? failures_when_down : 1;
        // A call that timed out took at least this long.
        subject.latency = std::max(subject.latency, update_average(subject.latency, latency));
    }
    else if (outcome == attempt_outcome::answered) {
        subject.failures = 0;
        subject.refusals = 0;
        ++subject.responses;
        subject.latency = update_average(subject.latency, latency);
        subject.best_latency =
            subject.best_latency.count() == 0
                ? latency
                : std::min(subject.best_latency + subject.best_latency / 1000, latency);
        state.average_latency = update_average(state.average_latency, latency);
    }
    else if (outcome == attempt_outcome::refused) {
        ++subject.refusals;
        subject.refused_at = now;
    }
    else if (outcome == attempt_outcome::draining) {
        subject.drain_refused_at = now;
    }
}

bool balancer::is_refusal_outlier(const cluster_state& state, const target& subject) const
{
    if (subject.refusals < options_.refusals_to_eject) {
        return false;
    }
    // Under overload all upstreams refuse calls; ejecting some of them would only waste their
    // slots.
    double sum = 0;
    std::size_t others = 0;
    for (const std::pair<const node_id, target>& each : state.targets) {
        if (&each.second != &subject && each.second.last_selection == state.selection_count) {
            sum += each.second.refusal_share;
            ++others;
        }
    }
    return others > 0 && sum / static_cast<double>(others) < max_normal_refusal_share;
}

bool balancer::is_latency_outlier(const cluster_state& state, const target& subject) const
{
    if (subject.responses < options_.min_latency_samples ||
        subject.latency < options_.min_outlier_latency) {
        return false;
    }
    std::vector<nanoseconds> others;
    for (const std::pair<const node_id, target>& each : state.targets) {
        // Latencies of local and remote targets differ by their round-trip times.
        if (&each.second != &subject && each.second.local == subject.local &&
            each.second.responses >= options_.min_latency_samples) {
            others.push_back(each.second.latency);
        }
    }
    if (others.empty()) {
        return false;
    }
    const auto median = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), median, others.end());
    return static_cast<double>(subject.latency.count()) >
           options_.latency_factor * static_cast<double>(median->count());
}

void balancer::eject_if_outlier(const cluster& cluster_config, cluster_state& state,
                                target& subject, time_point now) const
{
    const bool outlier = subject.failures >= options_.failures_to_eject ||
                         is_refusal_outlier(state, subject) || is_latency_outlier(state, subject);
    if (!outlier || subject.on_trial) {
        return;
    }
    std::size_t ejected = 0;
    for (const std::pair<const node_id, target>& each : state.targets) {
        ejected +=
            each.second.on_trial && each.second.last_selection == state.selection_count ? 1 : 0;
    }
    if (ejected >= ejection_cap(state.eligible, cluster_config.max_ejected_percent)) {
        return;
    }
    subject.on_trial = true;
    subject.ejected_until =
        now + std::min(options_.base_ejection_time * (1 << std::min(subject.ejections, 16U)),
                       options_.max_ejection_time);
    ++subject.ejections;
}

void balancer::finish(const cluster& cluster_config, const upstream_choice& choice,
                      attempt_outcome outcome, nanoseconds latency,
                      const std::optional<load_hint>& load, time_point now)
{
    shard& cluster_shard = shard_of(cluster_config);
    const std::lock_guard<std::mutex> lock(cluster_shard.mutex);
    cluster_state& state = state_of(cluster_shard, cluster_config);
    target& subject = state.targets[choice.node];
    subject.in_flight -= std::min(subject.in_flight, 1U);
    if (load) {
        subject.hint = *load;
        subject.hint_received_at = now;
    }
    record_outcome(state, subject, outcome, latency, now);
    subject.last_finished_at = now;
    if (outcome == attempt_outcome::answered &&
        now - subject.ejected_until > options_.max_ejection_time) {
        subject.ejections = 0;
    }
    if (!choice.trial) {
        eject_if_outlier(cluster_config, state, subject, now);
        return;
    }
    subject.trial_in_flight = false;
    if (outcome == attempt_outcome::answered) {
        // The latency is reset, as the old average would eject the target again immediately.
        subject.on_trial = false;
        subject.responses = 0;
        subject.latency = latency;
        subject.failure_share = 0;
    }
    else if (outcome != attempt_outcome::cancelled) {
        subject.on_trial = false;
        subject.failures = options_.failures_to_eject;
        eject_if_outlier(cluster_config, state, subject, now);
    }
}

std::vector<node_id> balancer::ejected(const cluster& cluster_config, time_point now) const
{
    shard& cluster_shard = shard_of(cluster_config);
    const std::lock_guard<std::mutex> lock(cluster_shard.mutex);
    std::vector<node_id> result;
    const auto found = cluster_shard.clusters.find(cluster_config.name);
    if (found == cluster_shard.clusters.end()) {
        return result;
    }
    for (const std::pair<const node_id, target>& each : found->second.targets) {
        if (each.second.on_trial && each.second.ejected_until > now) {
            result.push_back(each.first);
        }
    }
    return result;
}

nanoseconds balancer::average_latency(const cluster& cluster_config) const
{
    shard& cluster_shard = shard_of(cluster_config);
    const std::lock_guard<std::mutex> lock(cluster_shard.mutex);
    const auto found = cluster_shard.clusters.find(cluster_config.name);
    return found == cluster_shard.clusters.end() ? nanoseconds(0) : found->second.average_latency;
}

} // namespace agatespread
