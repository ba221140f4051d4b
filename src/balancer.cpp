#include <agatespread/balancer.h>
#include <agatespread/digest.h>

#include <algorithm>
#include <atomic>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Weight of a new latency or failure in the averages.
constexpr int average_weight = 8;

// A target whose queue is announced as full counts as loaded only when its answers are this much
// slower than its best, so that an announcement alone cannot move traffic to another domain.
constexpr int loaded_latency_factor = 2;

// Refusals make an outlier only while the other targets refuse less than this share.
constexpr double usual_refusal_share = 0.1;

// How long one refusal keeps a local target out of the choice while others have room.
constexpr milliseconds refusal_memory = milliseconds(200);

// How long a target that said it leaves is avoided; its new state arrives sooner.
constexpr milliseconds leaving_memory = std::chrono::seconds(5);

// Time after which half of a bad impression of an unused target is forgotten, so that it is tried
// again without an ejection.
constexpr milliseconds impression_half_life = std::chrono::seconds(5);

// Records of departed targets that a cluster keeps, so that a target that restarts again and again
// is known.
constexpr std::size_t max_departed = 64;

// A target that is down counts as having failed this often, so that it is ejected at once.
constexpr std::uint32_t down_failures = 100;

// A target that failed lately looks up to this many times more expensive.
constexpr double failure_cost = 20;

// Costs that differ by less count as equal; otherwise an idle cluster would starve every target but
// the cheapest ones, and a small false signal would be enough to leave a target.
constexpr double equal_cost = 0.8;

// An announced load that shows in no latency counts for this share.
constexpr double unproven_hint = 0.2;

// A target that refuses calls answers them fast; without this cost it would attract all calls.
constexpr double refusal_cost = 4;

/// Counts the work of a candidate as a cost; latency has a floor so that zero is comparable.
double cost_of(const candidate& of)
{
    const double latency = std::max(1e5, static_cast<double>(of.latency.count()));
    const double queue = 1.0 + static_cast<double>(of.in_flight) / std::max(1U, of.slots) * 4;
    return latency * queue * (1 + of.hinted_load) * (1 + failure_cost * of.failure_share) *
           (1 + refusal_cost * of.refusal_share);
}

/// Takes the cheaper of two random candidates.
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
        return cost_of(candidates[second]) < cost_of(candidates[first]) * equal_cost ? second
                                                                                     : first;
    }
};

/// Takes the candidates in turn, as the naive baseline.
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

nanoseconds average(nanoseconds known, nanoseconds value)
{
    return known.count() == 0 ? value : known + (value - known) / average_weight;
}

bool takes_work(const member_record& member)
{
    return member.state != member_state::left && member.upstream.state == upstream_state::ready;
}

bool contains(const std::vector<node_id>& nodes, const node_id& node)
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

std::size_t ejection_cap(std::size_t eligible, std::uint8_t percent)
{
    // Rounded up, so that a cluster of three can eject one, but never all.
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

    /// Returns the upstream for a pinned value, which does not depend on load.
    const member_record* rendezvous_choice(std::uint64_t value) const
    {
        const std::string role = std::to_string(value);
        std::vector<const member_record*> all = local;
        all.insert(all.end(), busy.begin(), busy.end());
        if (all.empty()) {
            all = pool();
        }
        const auto first = std::max_element(
            all.begin(), all.end(), [&role](const member_record* left, const member_record* right) {
                return rendezvous_rank(role, left->node) < rendezvous_rank(role, right->node);
            });
        return first == all.end() ? nullptr : *first;
    }

    /// Returns the group to choose from, best first.
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
        if (takes_work(member)) {
            (*by_service)[{member.upstream.fleet, member.upstream.service}].push_back(member);
        }
    }
    std::atomic_store(&members_, std::shared_ptr<const service_members>(by_service));
}

balancer::shard& balancer::shard_of(const cluster& of) const
{
    return shards_[hash64(of.name) % shards_.size()];
}

balancer::cluster_state& balancer::state_of(shard& home, const cluster& of) const
{
    cluster_state& state = home.clusters[of.name];
    if (!state.policy) {
        policy_registry::factory make = policy_registry::instance().find(of.policy);
        state.policy = make ? make() : std::make_unique<least_loaded>();
    }
    return state;
}

candidate balancer::view_of(const member_record& member, const target& state, nanoseconds typical,
                            time_point now) const
{
    candidate view;
    view.slots = std::max(1U, member.upstream.slots);
    view.in_flight = state.in_flight;
    const std::chrono::duration<double> idle = now - state.last_end;
    const std::chrono::duration<double> half_life = impression_half_life;
    const double kept = 1 / (1 + idle / half_life);
    view.failure_share = state.failure_share * kept;
    view.refusal_share = state.refusal_share * kept;
    // A target without any answer counts as typical; as the fastest it would attract all calls.
    view.latency = state.latency.count() == 0 ? typical : state.latency;
    if (state.latency > typical) {
        const std::chrono::duration<double> excess = state.latency - typical;
        view.latency = typical + std::chrono::duration_cast<nanoseconds>(excess * kept);
    }
    if (now - state.hint_at < options_.hint_lifetime) {
        const double work = static_cast<double>(state.hint.running) + state.hint.queued;
        view.hinted_load = std::min(1.0, work / std::max(1U, state.hint.slots));
        const double excess = static_cast<double>(state.latency.count()) /
                                  static_cast<double>(std::max<std::int64_t>(1, typical.count())) -
                              1;
        view.hinted_load *= std::clamp(excess, unproven_hint, 1.0);
    }
    return view;
}

bool balancer::loaded(const member_record& member, const target& state, time_point now) const
{
    if (state.in_flight >= std::max(1U, member.upstream.slots) ||
        now - state.refused_at < refusal_memory) {
        return true;
    }
    const bool announced = now - state.hint_at < options_.hint_lifetime && state.hint.queued > 0 &&
                           state.hint.running >= state.hint.slots;
    return announced && state.latency > state.best_latency * loaded_latency_factor;
}

void balancer::forget_departed(cluster_state& state, std::size_t members)
{
    if (state.targets.size() <= members + max_departed) {
        return;
    }
    for (auto each = state.targets.begin(); each != state.targets.end();) {
        const bool departed = each->second.seen != state.selections;
        each = departed && each->second.in_flight == 0 ? state.targets.erase(each) : ++each;
    }
}

balancer::selection balancer::select(cluster_state& state,
                                     const std::vector<member_record>& members,
                                     const choice_request& request, time_point now) const
{
    selection result;
    state.eligible = 0;
    ++state.selections;
    for (const member_record& member : members) {
        target& known = state.targets[member.node];
        known.seen = state.selections;
        known.local = member.failure_domain == own_failure_domain_;
        if (member.state != member_state::unreachable) {
            ++state.eligible;
        }
        if (contains(request.tried, member.node) || now - known.left_at < leaving_memory) {
            continue;
        }
        if (member.state == member_state::unreachable) {
            result.unreachable.push_back(&member);
        }
        else if (known.on_trial) {
            const bool due = known.ejected_until <= now && !known.trial_runs;
            result.trial = due && result.trial == nullptr ? &member : result.trial;
            result.ejected.push_back(&member);
        }
        else if (!known.local) {
            result.remote.push_back(&member);
        }
        else {
            (loaded(member, known, now) ? result.busy : result.local).push_back(&member);
        }
    }
    if (result.local.empty()) {
        // All local targets are loaded, so they compete with the remote ones.
        result.remote.insert(result.remote.end(), result.busy.begin(), result.busy.end());
    }
    return result;
}

std::optional<upstream_choice> balancer::choose(const cluster& of, const choice_request& request,
                                                time_point now, const random_source& random)
{
    const std::shared_ptr<const service_members> all = std::atomic_load(&members_);
    const auto members = all->find(of.service);
    if (members == all->end()) {
        return std::nullopt;
    }
    shard& home = shard_of(of);
    const std::lock_guard<std::mutex> lock(home.mutex);
    cluster_state& state = state_of(home, of);
    forget_departed(state, members->second.size());
    const selection found = select(state, members->second, request, now);
    const std::vector<const member_record*>& pool = found.pool();
    const member_record* chosen = nullptr;
    if (request.affinity_key) {
        chosen = found.rendezvous_choice(*request.affinity_key);
    }
    else if (found.trial != nullptr && request.allow_trial) {
        chosen = found.trial;
        state.targets[chosen->node].trial_runs = true;
    }
    else if (!pool.empty()) {
        std::vector<candidate> views;
        views.reserve(pool.size());
        for (const member_record* member : pool) {
            views.push_back(view_of(*member, state.targets[member->node], state.typical, now));
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

void balancer::observe(cluster_state& state, target& subject, attempt_outcome end,
                       nanoseconds latency, time_point now)
{
    const bool failed = end == attempt_outcome::failed || end == attempt_outcome::timed_out ||
                        end == attempt_outcome::down;
    if (end == attempt_outcome::refused || end == attempt_outcome::answered) {
        const double refused = end == attempt_outcome::refused ? 1.0 : 0.0;
        subject.refusal_share += (refused - subject.refusal_share) / average_weight;
    }
    if (failed || end == attempt_outcome::answered) {
        subject.failure_share += ((failed ? 1.0 : 0.0) - subject.failure_share) / average_weight;
    }
    if (failed) {
        subject.failures += end == attempt_outcome::down ? down_failures : 1;
        // A call that timed out took at least this long.
        subject.latency = std::max(subject.latency, average(subject.latency, latency));
    }
    else if (end == attempt_outcome::answered) {
        subject.failures = 0;
        subject.refusals = 0;
        ++subject.answers;
        subject.latency = average(subject.latency, latency);
        subject.best_latency =
            subject.best_latency.count() == 0
                ? latency
                : std::min(subject.best_latency + subject.best_latency / 1000, latency);
        state.typical = average(state.typical, latency);
    }
    else if (end == attempt_outcome::refused) {
        ++subject.refusals;
        subject.refused_at = now;
    }
    else if (end == attempt_outcome::draining) {
        subject.left_at = now;
    }
}

bool balancer::refusal_outlier(const cluster_state& state, const target& subject) const
{
    if (subject.refusals < options_.refusals_to_eject) {
        return false;
    }
    // Under overload all upstreams refuse; to eject some of them would only waste their slots.
    double sum = 0;
    std::size_t others = 0;
    for (const std::pair<const node_id, target>& each : state.targets) {
        if (&each.second != &subject && each.second.seen == state.selections) {
            sum += each.second.refusal_share;
            ++others;
        }
    }
    return others > 0 && sum / static_cast<double>(others) < usual_refusal_share;
}

bool balancer::latency_outlier(const cluster_state& state, const target& subject) const
{
    if (subject.answers < options_.samples_to_judge || subject.latency < options_.latency_floor) {
        return false;
    }
    std::vector<nanoseconds> others;
    for (const std::pair<const node_id, target>& each : state.targets) {
        // Distance explains a difference between local and remote targets.
        if (&each.second != &subject && each.second.local == subject.local &&
            each.second.answers >= options_.samples_to_judge) {
            others.push_back(each.second.latency);
        }
    }
    if (others.empty()) {
        return false;
    }
    const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), middle, others.end());
    return static_cast<double>(subject.latency.count()) >
           options_.latency_factor * static_cast<double>(middle->count());
}

void balancer::judge(const cluster& of, cluster_state& state, target& subject, time_point now) const
{
    const bool outlier = subject.failures >= options_.failures_to_eject ||
                         refusal_outlier(state, subject) || latency_outlier(state, subject);
    if (!outlier || subject.on_trial) {
        return;
    }
    std::size_t ejected = 0;
    for (const std::pair<const node_id, target>& each : state.targets) {
        ejected += each.second.on_trial && each.second.seen == state.selections ? 1 : 0;
    }
    if (ejected >= ejection_cap(state.eligible, of.max_ejected_percent)) {
        return;
    }
    subject.on_trial = true;
    subject.ejected_until =
        now + std::min(options_.first_ejection * (1 << std::min(subject.ejections, 16U)),
                       options_.longest_ejection);
    ++subject.ejections;
}

void balancer::finish(const cluster& of, const upstream_choice& choice, attempt_outcome end,
                      nanoseconds latency, const std::optional<load_hint>& load, time_point now)
{
    shard& home = shard_of(of);
    const std::lock_guard<std::mutex> lock(home.mutex);
    cluster_state& state = state_of(home, of);
    target& subject = state.targets[choice.node];
    subject.in_flight -= std::min(subject.in_flight, 1U);
    if (load) {
        subject.hint = *load;
        subject.hint_at = now;
    }
    observe(state, subject, end, latency, now);
    subject.last_end = now;
    if (end == attempt_outcome::answered &&
        now - subject.ejected_until > options_.longest_ejection) {
        subject.ejections = 0;
    }
    if (!choice.trial) {
        judge(of, state, subject, now);
        return;
    }
    subject.trial_runs = false;
    if (end == attempt_outcome::answered) {
        // Latency counts afresh, as the old average would eject the target again at once.
        subject.on_trial = false;
        subject.answers = 0;
        subject.latency = latency;
        subject.failure_share = 0;
    }
    else if (end != attempt_outcome::cancelled) {
        subject.on_trial = false;
        subject.failures = options_.failures_to_eject;
        judge(of, state, subject, now);
    }
}

std::vector<node_id> balancer::ejected(const cluster& of, time_point now) const
{
    shard& home = shard_of(of);
    const std::lock_guard<std::mutex> lock(home.mutex);
    std::vector<node_id> result;
    const auto found = home.clusters.find(of.name);
    if (found == home.clusters.end()) {
        return result;
    }
    for (const std::pair<const node_id, target>& each : found->second.targets) {
        if (each.second.on_trial && each.second.ejected_until > now) {
            result.push_back(each.first);
        }
    }
    return result;
}

nanoseconds balancer::average_latency(const cluster& of) const
{
    shard& home = shard_of(of);
    const std::lock_guard<std::mutex> lock(home.mutex);
    const auto found = home.clusters.find(of.name);
    return found == home.clusters.end() ? nanoseconds(0) : found->second.typical;
}

} // namespace agatespread
