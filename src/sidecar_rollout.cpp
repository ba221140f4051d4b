#include "sidecar_impl.h"

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// Part of the rollback bound over which recent results are judged on their own.
constexpr int windows_per_rollback_bound = 3;

// Several nodes read the platform, and each would write a step that is due.
constexpr milliseconds step_jitter{150};

// For short orders.
constexpr int min_jitters_per_rollout = 40;

// Until the next call after one that failed or lost a race.
constexpr milliseconds retry_delay{300};

// For which an ended rollout is reported: as long as nodes keep entries of silent ones, so that a
// node that was cut off hears of it.
constexpr milliseconds report_ended_for = std::chrono::minutes(10);

// For which the results of the own upstream are reported after the end of a rollout.
constexpr milliseconds report_results_for = std::chrono::seconds(60);

// After this time a completed rollout no longer excludes other versions: the old upstreams have
// stopped, and later versions may be started without an order.
constexpr milliseconds exclude_for = std::chrono::seconds(60);

// Bounds the memory for orders that an older copy of the platform may bring back.
constexpr std::size_t max_earlier_orders = 16;

// Clocks of hosts may differ; an older order has ended in any case.
constexpr milliseconds max_age = std::chrono::hours(24);

// Services with orders or with several versions. Deployments have two or three services.
constexpr std::size_t max_rollouts = 64;

milliseconds unix_now()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

milliseconds elapsed(time_point since, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - since);
}

bool is_same(const rollout_state& left, const rollout_state& right)
{
    return left.generation == right.generation && left.order == right.order;
}

/// Returns whether a peer's report shows it in `closing` or `completed` of a rollout.
bool is_closing(const peer_rollouts& peer, const rollout_state& state)
{
    return std::any_of(
        peer.rollouts.begin(), peer.rollouts.end(), [&state](const rollout_state& each) {
            return is_same(each, state) &&
                   (each.phase == rollout_phase::closing || each.phase == rollout_phase::completed);
        });
}

} // namespace

detail::service_rollout& sidecar::impl::rollout_of(const std::string& service)
{
    const auto known = rollouts.find(service);
    if (known != rollouts.end()) {
        return known->second;
    }
    const milliseconds window = settings.rollouts.rollback / windows_per_rollback_bound;
    return rollouts.try_emplace(service, settings.rollouts, window).first->second;
}

void sidecar::impl::read_rollout_orders(const row_changes& changes)
{
    if (dialect.rollout_order_prefix.empty()) {
        return;
    }
    for (const row_write& row : changes.rows) {
        if (row.value && row.key.rfind(dialect.rollout_order_prefix, 0) == 0) {
            read_rollout_order(row, changes.complete);
        }
    }
}

void sidecar::impl::read_rollout_order(const row_write& row, bool complete)
{
    const absl::StatusOr<rollout_order> order = dialect.read_rollout_order(*row.value);
    if (!order.ok() || row.key != dialect.rollout_order_prefix + order->service) {
        log.change("rollout_order_malformed",
                   {{"key", row.key},
                    {"error", order.ok() ? std::string("the key is of another service")
                                         : std::string(order.status().message())}});
        return;
    }
    if (rollouts.size() >= max_rollouts && rollouts.find(order->service) == rollouts.end()) {
        log.change("rollout_order_ignored", {{"service", order->service}, {"reason", "too_many"}});
        return;
    }
    detail::service_rollout& subject = rollout_of(order->service);
    if (subject.state.generation > 0 && subject.state.order == *order) {
        return;
    }
    // All rows are read at the start, after lost history and from an older copy of the platform,
    // where an order may stand that has been replaced.
    if (complete && std::find(subject.earlier.begin(), subject.earlier.end(), *order) !=
                        subject.earlier.end()) {
        log.change("rollout_order_ignored",
                   {{"service", order->service}, {"reason", "replaced_before"}});
        return;
    }
    log.change("rollout_ordered",
               {{"service", order->service}, {"to", order->to}, {"duration", order->duration}});
    subject.read = *order;
    subject.read_at = loop.now();
    subject.read_at_start = complete;
    subject.next_step_at = loop.now();
    advance_rollout(subject, loop.now());
}

void sidecar::impl::hear_rollouts(const std::vector<rollout_state>& heard, const node_id& from)
{
    for (const rollout_state& each : heard) {
        if (rollouts.size() < max_rollouts || rollouts.find(each.order.service) != rollouts.end()) {
            adopt_rollout(each, from);
        }
    }
}

void sidecar::impl::adopt_rollout(const rollout_state& state, std::string_view cause)
{
    const time_point now = loop.now();
    detail::service_rollout& subject = rollout_of(state.order.service);
    const rollout_state before = subject.state;
    if (before.generation > 0) {
        subject.state.age = elapsed(subject.started, now);
    }
    const bool changed = merge(subject.state, state);
    if (subject.state.generation > 0) {
        subject.started = now - subject.state.age;
    }
    if (subject.read && subject.state.order == *subject.read) {
        subject.read.reset();
    }
    if (!changed) {
        return;
    }
    const bool is_new_order = !is_same(before, subject.state);
    if (is_new_order) {
        if (before.generation > 0 && !(before.order == subject.state.order)) {
            subject.earlier.push_back(before.order);
        }
        if (subject.earlier.size() > max_earlier_orders) {
            subject.earlier.erase(subject.earlier.begin());
        }
        subject.evidence =
            rollout_evidence(settings.rollouts.rollback / windows_per_rollback_bound);
        subject.exposure.reset();
        subject.reason.clear();
        subject.passed.reset();
    }
    subject.idle_reported = false;
    subject.changed = now;
    if (is_new_order && has_ended(subject.state.phase)) {
        // Heard of after its end, for example by a node that has just started.
        subject.changed -=
            std::max(subject.state.age - subject.state.order.duration, milliseconds(0));
    }
    subject.next_step_at = now;
    subject.due_step_at.reset();
    rollout_changes.add({{"service", subject.state.order.service},
                         {"phase", std::string(name_of(subject.state.phase))}});
    log.change("rollout_phase", {{"service", subject.state.order.service},
                                 {"to", subject.state.order.to},
                                 {"generation", subject.state.generation},
                                 {"phase", name_of(subject.state.phase)},
                                 {"halted", subject.state.halted ? 1 : 0},
                                 {"after", subject.state.age},
                                 {"cause", cause},
                                 {"evidence", subject.reason}});
    // In `closing` each node waits for the reports of all others.
    if (subject.state.phase == rollout_phase::closing) {
        send_report();
        return;
    }
    send_report(known_peers.version_recipients(reading_configuration, random, now), "rollout");
}

void sidecar::impl::add_rollouts(peer_report& report) const
{
    const time_point now = loop.now();
    report.version = upstream.version();
    for (const std::pair<const std::string, detail::service_rollout>& each : rollouts) {
        const detail::service_rollout& subject = each.second;
        const milliseconds since = elapsed(subject.changed, now);
        const bool ended = has_ended(subject.state.phase);
        if (subject.state.generation == 0 || (ended && since > report_ended_for)) {
            continue;
        }
        report.rollouts.push_back(subject.state);
        report.rollouts.back().age = elapsed(subject.started, now);
        if (each.first == settings.service && (!ended || since <= report_results_for)) {
            report.results = results;
        }
    }
}

void sidecar::impl::repeat_rollouts()
{
    for (std::pair<const std::string, detail::service_rollout>& each : rollouts) {
        each.second.verify = each.second.state.generation > 0;
    }
}

void sidecar::impl::advance_rollouts(time_point now)
{
    for (std::pair<const std::string, detail::service_rollout>& each : rollouts) {
        advance_rollout(each.second, now);
    }
}

void sidecar::impl::advance_rollout(detail::service_rollout& subject, time_point now)
{
    rollout_state& state = subject.state;
    const std::string service = subject.read ? subject.read->service : state.order.service;
    if (state.generation > 0 && !has_ended(state.phase)) {
        state.age = elapsed(subject.started, now);
        collect_evidence(subject, now);
        const bool replaced = service == settings.service && upstream.version() != state.order.to;
        if (state.phase == rollout_phase::closing && replaced && !subject.idle_reported &&
            gate.idle()) {
            subject.idle_reported = true;
            send_report();
        }
    }
    if (!reading_configuration || subject.in_flight || now < subject.next_step_at || stopping ||
        service.empty()) {
        return;
    }
    if (subject.read || subject.verify) {
        subject.next_step_at = now + retry_delay;
        step_rollout(service);
        return;
    }
    if (state.generation == 0) {
        return;
    }
    const rollout_situation situation = situation_of(subject, now);
    if (situation.verdict == rollout_verdict::bad && !state.halted) {
        rollout_state halted = state;
        halted.halted = true;
        adopt_rollout(halted, "verdict");
        step_rollout(service); // Without jitter: the platform must hear of it soon.
        return;
    }
    if (!next_phase(situation)) {
        subject.due_step_at.reset();
        return;
    }
    if (!subject.due_step_at) {
        subject.due_step_at =
            now +
            uniform_between(random, milliseconds(0),
                            std::min(step_jitter, state.order.duration / min_jitters_per_rollout));
    }
    if (now >= *subject.due_step_at) {
        step_rollout(service);
    }
}

void sidecar::impl::collect_evidence(detail::service_rollout& subject, time_point now)
{
    const rollout_order& order = subject.state.order;
    if (subject.state.phase == rollout_phase::closing) {
        return;
    }
    for (const peer_rollouts& peer : known_peers.rollouts(now)) {
        if (peer.service == order.service && peer.results) {
            subject.evidence.add(peer.node, peer.version == order.to, *peer.results, now);
        }
    }
    if (order.service == settings.service) {
        subject.evidence.add(settings.node, upstream.version() == order.to, results, now);
    }
}

rollout_situation sidecar::impl::situation_of(detail::service_rollout& subject, time_point now)
{
    rollout_situation situation;
    situation.state = subject.state;
    const rollout_order& order = subject.state.order;
    const rollout_phase phase = subject.state.phase;
    if (subject.state.generation == 0 || has_ended(phase)) {
        return situation;
    }
    const bool own = order.service == settings.service;
    const bool own_new = upstream.version() == order.to;
    situation.new_ready = own && own_new && gate_state() == upstream_state::ready;
    situation.all_closing = true;
    situation.old_idle = !own || own_new || gate.idle();
    for (const peer_rollouts& peer : known_peers.rollouts(now)) {
        situation.all_closing = situation.all_closing && is_closing(peer, subject.state);
        if (peer.service != order.service) {
            continue;
        }
        const bool is_new = peer.version == order.to;
        situation.new_ready =
            situation.new_ready || (is_new && peer.state == upstream_state::ready);
        situation.old_idle = situation.old_idle && (is_new || peer.idle);
    }
    if (phase == rollout_phase::closing) {
        return situation;
    }
    const rollout_times limits(order.duration);
    const milliseconds end = phase == rollout_phase::trial ? limits.trial_end : limits.moving_end;
    const bool last = subject.state.age >= end && subject.passed != phase;
    const rollout_judgement judged = subject.evidence.judge(last, now);
    subject.reason = judged.reason;
    situation.verdict = judged.verdict;
    if (last && judged.verdict == rollout_verdict::good) {
        subject.passed = phase;
    }
    if (judged.verdict == rollout_verdict::open && subject.passed == phase) {
        situation.verdict = rollout_verdict::good;
    }
    return situation;
}

void sidecar::impl::step_rollout(const std::string& service)
{
    rollout_of(service).in_flight = true;
    driver.read(settings.rollouts_prefix + service,
                [weak = weak_from_this(),
                 service](const absl::StatusOr<std::optional<std::string>>& result) {
                    const std::shared_ptr<impl> self = weak.lock();
                    if (!self) {
                        return;
                    }
                    self->rollout_of(service).in_flight = false;
                    if (!result.ok()) {
                        self->log_rollout_error(service, "read", result.status());
                        return;
                    }
                    self->on_rollout_row(service, *result);
                });
}

void sidecar::impl::on_rollout_row(const std::string& service,
                                   const std::optional<std::string>& value)
{
    const time_point now = loop.now();
    detail::service_rollout& subject = rollout_of(service);
    std::optional<rollout_row> stored;
    if (value) {
        absl::StatusOr<rollout_row> row = decode_rollout(*value);
        if (row.ok() && row->state.order.service == service) {
            stored = *std::move(row);
        }
        else {
            // It cannot be continued and is replaced by the state that this node knows.
            log.change("rollout_row_malformed", {{"service", service}});
        }
    }
    if (stored) {
        const bool after_restart = subject.read && subject.read_at_start;
        stored->state.age = subject.read ? elapsed(subject.read_at, now) : milliseconds(0);
        if (after_restart) {
            stored->state.age =
                std::clamp<milliseconds>(unix_now() - stored->started_at, milliseconds(0), max_age);
        }
        adopt_rollout(stored->state, "platform");
    }
    rollout_state next = subject.state;
    next.age = elapsed(subject.started, now);
    if (subject.read) {
        next = rollout_state();
        next.order = *subject.read;
        next.generation = subject.state.generation + 1;
        next.age = elapsed(subject.read_at, now);
    }
    else if (const std::optional<rollout_phase> due = next_phase(situation_of(subject, now))) {
        next.phase = *due;
    }
    const bool same = stored && is_same(stored->state, next) && stored->state.phase == next.phase;
    if (same || next.generation == 0) {
        subject.verify = false;
        return;
    }
    write_rollout(service, value, next);
}

void sidecar::impl::write_rollout(const std::string& service,
                                  const std::optional<std::string>& before,
                                  const rollout_state& next)
{
    detail::service_rollout& subject = rollout_of(service);
    subject.in_flight = true;
    transaction step;
    const std::string key = settings.rollouts_prefix + service;
    step.preconditions.push_back({key, before});
    step.writes.push_back({key, encode_rollout(next, unix_now() - next.age, subject.reason)});
    step.writes.push_back({dialect.rollout_status_prefix + service,
                           dialect.write_rollout_status({service, next.order.to, next.phase})});
    driver.commit(std::move(step), [weak = weak_from_this(), service,
                                    next](const absl::StatusOr<transaction_result>& result) {
        if (const std::shared_ptr<impl> self = weak.lock()) {
            self->on_rollout_written(service, next, result);
        }
    });
}

void sidecar::impl::on_rollout_written(const std::string& service, const rollout_state& next,
                                       const absl::StatusOr<transaction_result>& result)
{
    detail::service_rollout& subject = rollout_of(service);
    subject.in_flight = false;
    if (!result.ok()) {
        // The write may have been applied; the next step reads the row first.
        log_rollout_error(service, "write", result.status());
        return;
    }
    if (result->committed) {
        subject.verify = false;
        adopt_rollout(next, "own_step");
        return;
    }
    // Another node was first; its state is in the row.
    subject.next_step_at = loop.now() + uniform_between(random, milliseconds(0), step_jitter);
    for (const row& current : result->conflicts) {
        absl::StatusOr<rollout_row> stored = decode_rollout(current.value);
        if (stored.ok() && stored->state.order.service == service) {
            stored->state.age = is_same(stored->state, next) ? next.age : milliseconds(0);
            adopt_rollout(stored->state, "platform");
        }
    }
}

void sidecar::impl::log_rollout_error(const std::string& service, std::string_view action,
                                      const absl::Status& status)
{
    counters.platform_errors.add();
    rollout_of(service).next_step_at = loop.now() + retry_delay;
    log.change(
        "rollout_row_failed",
        {{"service", service}, {"action", action}, {"error", std::string(status.message())}});
}

void sidecar::impl::note_upstream_version(milliseconds warmup)
{
    if (upstream.version() != results_version) {
        results_version = upstream.version();
        results = upstream_results();
        log.change("upstream_version",
                   {{"instance", upstream.instance()}, {"version", results_version}});
    }
    upstream_warm_at = loop.now() + warmup;
}

void sidecar::impl::record_upstream_result(const std::string& rule, bool failed,
                                           std::optional<std::chrono::nanoseconds> time)
{
    const bool warm = loop.now() >= upstream_warm_at;
    record_result(results, kind_of(rule), failed, warm ? time : std::nullopt);
}

bool sidecar::impl::refuses_as_replaced() const
{
    const auto found = rollouts.find(settings.service);
    if (found == rollouts.end() || found->second.state.generation == 0) {
        return false;
    }
    const rollout_state& state = found->second.state;
    const bool closed = state.phase == rollout_phase::closing ||
                        (state.phase == rollout_phase::completed &&
                         elapsed(found->second.changed, loop.now()) <= exclude_for);
    return closed && upstream.version() != state.order.to;
}

std::vector<version_use> sidecar::impl::version_uses(const std::string& service,
                                                     const std::vector<std::string_view>& stated,
                                                     bool first_attempt)
{
    const bool single = std::all_of(stated.begin(), stated.end(), [&stated](std::string_view each) {
        return each == stated.front();
    });
    const auto known = rollouts.find(service);
    const bool ordered = known != rollouts.end() && known->second.state.generation > 0;
    if (!ordered && (single || !settings.rollouts.limit_without_order)) {
        return {};
    }
    if (known == rollouts.end() && rollouts.size() < max_rollouts) {
        rollout_of(service); // From now on, its requests are counted.
    }
    const rollout_state* state = ordered ? &known->second.state : nullptr;
    const bool long_ended = ordered && has_ended(state->phase) &&
                            elapsed(known->second.changed, loop.now()) > exclude_for;
    if (long_ended && (single || state->phase == rollout_phase::completed)) {
        state = nullptr;
    }
    const std::string majority = state == nullptr ? majority_version(stated) : std::string();
    std::vector<version_use> uses;
    uses.reserve(stated.size());
    for (const std::string_view each : stated) {
        uses.push_back(use_of(each, state, majority));
    }
    const bool any_full = std::find(uses.begin(), uses.end(), version_use::full) != uses.end();
    const bool allowed =
        first_attempt &&
        (known == rollouts.end() ? exposure_limit(settings.rollouts).allows(known_peers.size())
                                 : known->second.exposure.allows(known_peers.size()));
    // Without any judged upstream the others serve, as refusing all requests would be worse.
    if (any_full && !allowed) {
        std::replace(uses.begin(), uses.end(), version_use::limited, version_use::none);
    }
    return uses;
}

std::string_view sidecar::impl::version_in_doubt(const std::string& service) const
{
    const auto found = rollouts.find(service);
    const bool in_doubt = found != rollouts.end() && found->second.state.generation > 0 &&
                          found->second.state.phase <= rollout_phase::moving;
    return in_doubt ? std::string_view(found->second.state.order.to) : std::string_view();
}

void sidecar::impl::count_version_request(const std::string& service)
{
    const auto known = rollouts.find(service);
    if (known != rollouts.end()) {
        known->second.exposure.count_request();
    }
}

void sidecar::impl::record_limited_request(const std::string& service)
{
    if (rollouts.size() < max_rollouts || rollouts.find(service) != rollouts.end()) {
        rollout_of(service).exposure.record_sent();
    }
}

} // namespace agatespread
