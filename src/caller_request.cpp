#include "caller_request.h"

#include "gate_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatespread::detail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A node without configuration or a service without upstreams usually recovers within one heartbeat
// period of 1.5 s.
constexpr milliseconds unavailable_retry_after{500};

// Short, because the caller's next attempt reaches another host.
constexpr milliseconds stopping_retry_after{100};

// Refusals by gates after which a request is refused to its caller. A further attempt costs a round
// trip, and load reports are recent enough that the first choices have the most free capacity.
constexpr std::uint32_t max_refusals = 2;

// The same for a call of a run, which would be lost: its gates refuse it only when they expect to
// miss its deadline, and often another upstream is faster at that moment.
constexpr std::uint32_t max_nested_refusals = 4;

// A peer accepts a connection within one round trip; a longer wait indicates a lost packet.
constexpr milliseconds peer_connect_timeout{300};

// Added to the time left, so that this request's own timer fires before the client's timeout.
constexpr milliseconds transfer_margin{500};

// Minimum time left for a retry; an upstream is unlikely to respond in less.
constexpr milliseconds min_retry_time{40};

// EWMA weight of a new response in the mean response size of a rule. Response sizes of one rule
// differ by less than a factor of ten.
constexpr double response_bytes_weight = 0.1;

// One in this many late responses is logged: under overload there are more of them than lines in a
// second, which refusals and failures need as well.
constexpr std::uint64_t late_sample_interval = 8;

// Smaller bodies delay calls behind them no longer than a few calls do: 13 ms on a link of 10
// Mbit/s.
constexpr std::size_t min_offered_bytes = 16U << 10U;

// Spreads the return of refused uploads over about two averaging periods of their links' use.
constexpr milliseconds min_upload_retry_after{300};
constexpr milliseconds max_upload_retry_after{2000};

// Round trips within a failure domain and between two; only used to rank upstreams.
constexpr milliseconds near_round_trip{1};
constexpr milliseconds far_round_trip{10};

std::size_t size_of(const http_headers& headers)
{
    constexpr std::size_t separators = 4; // ": " and the end of the line.
    std::size_t bytes = 0;
    for (const http_headers::field& field : headers.fields()) {
        bytes += field.first.size() + field.second.size() + separators;
    }
    return bytes;
}

// Estimates of the bytes of a message on the link, without packet headers.
std::size_t size_of(const http_request& request)
{
    return request.method.size() + request.target.size() + size_of(request.headers) +
           request.body.size();
}

std::size_t size_of(const http_response& response)
{
    return size_of(response.headers) + response.body.size();
}

http_response make_error_response(int status, std::string_view reason, milliseconds retry_after)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain");
    // Callers retry on a new connection; this one would stay open unused.
    response.headers.add("Connection", "close");
    if (retry_after.count() > 0) {
        response.headers.add("Retry-After",
                             fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1e3));
    }
    response.body = std::string(reason) + "\n";
    return response;
}

} // namespace

caller_request::caller_request(std::shared_ptr<sidecar::impl> owner,
                               std::shared_ptr<http_exchange> exchange)
    : owner_(std::move(owner)), exchange_(std::move(exchange))
{
    times_.started = owner_->loop.now();
    owner_->caller_requests.insert(this);
}

caller_request::~caller_request()
{
    owner_->caller_requests.erase(this);
}

milliseconds caller_request::time_left() const
{
    return duration_cast<milliseconds>(deadline_ - owner_->loop.now());
}

milliseconds caller_request::time_to_objective() const
{
    const time_point now = owner_->loop.now();
    const bool on_time = rule_->latency_objective.count() > 0 && objective_time_ > now;
    return duration_cast<milliseconds>((on_time ? objective_time_ : deadline_) - now);
}

void caller_request::start()
{
    context_ = owner_->dialect.read_request(exchange_->request());
    // Load pattern: callers give up while their requests wait to be read. The end of a connection
    // is read one turn of the event loop after its request, which may have been sent on by then.
    if (exchange_->client_left()) {
        cancel();
        return;
    }
    exchange_->on_cancel([weak = weak_from_this()] {
        if (const std::shared_ptr<caller_request> self = weak.lock()) {
            self->cancel();
        }
    });
    if (owner_->refuses_callers(times_.started)) {
        refuse("stopping", stopping_retry_after);
        return;
    }
    proceed();
}

void caller_request::proceed()
{
    if (!resolve() || !check_crash_guard()) {
        return;
    }
    timer_ = owner_->loop.after(std::max(time_left(), milliseconds(1)),
                                [weak = weak_from_this()](time_point) {
                                    if (const std::shared_ptr<caller_request> self = weak.lock()) {
                                        self->on_timeout();
                                    }
                                });
    owner_->retries.count_request(service_, times_.started);
    owner_->hedging.count_request(service_, times_.started);
    nested_ = owner_->is_nested(*rule_);
    const std::optional<milliseconds> retry_after = owner_->refuse_run(*rule_, service_);
    if (retry_after) {
        refuse("runs_fail", *retry_after);
        return;
    }
    attempt();
}

bool caller_request::resolve()
{
    const http_request& request = exchange_->request();
    const std::shared_ptr<const routing_table> table = owner_->table;
    if (!table) {
        owner_->counters.unconfigured.add();
        refuse("no_configuration", unavailable_retry_after);
        return false;
    }
    version_ = table->version();
    rule_ = table->find(request.headers.get("Host"), request.target);
    if (!rule_ && wait_for_version()) {
        return false;
    }
    if (!rule_) {
        owner_->counters.unrouted.add();
        owner_->log.request("request_unrouted", context_.request_id,
                            {{"version", version_},
                             {"in_force_for", owner_->versions.in_force_for(times_.started)},
                             {"newest_heard", owner_->versions.newest()},
                             {"behind_for", owner_->versions.behind_for(times_.started)},
                             {"host", request.headers.get("Host")},
                             {"target", std::string_view(request.target).substr(0, 60)}},
                            times_.started);
        deliver(make_error_response(404, "no route", milliseconds(0)));
        return false;
    }
    series_ = &owner_->series_for(rule_->name);
    if (!identify_tenant() || !take_quota()) {
        return false;
    }
    service_ = rule_->services[owner_->shares.pick(*rule_)].service;
    const milliseconds caller_wait = context_.time_left.value_or(rule_->timeout);
    set_deadlines(caller_wait, series_->age.record(caller_wait));
    if (caller_wait.count() <= 0) {
        refuse("deadline_passed", milliseconds(0));
        return false;
    }
    return true;
}

void caller_request::set_deadlines(milliseconds caller_wait, milliseconds age)
{
    deadline_ = times_.started + std::min(caller_wait, rule_->timeout);
    objective_time_ = times_.started + rule_->latency_objective - age;
}

bool caller_request::identify_tenant()
{
    const std::shared_ptr<const routing_table> table = owner_->table;
    tenant_ = nullptr;
    if (!rule_->needs_key) {
        return true;
    }
    const std::optional<std::string_view> reason = owner_->refuse_keys();
    if (reason) {
        owner_->count_tenant_request({}, *reason);
        refuse(*reason, unavailable_retry_after);
        return false;
    }
    tenant_ = table->tenants()->find_by_key(context_.key);
    if (!tenant_ && wait_for_version()) {
        return false;
    }
    if (!tenant_) {
        refuse_unknown_key();
        return false;
    }
    return true;
}

bool caller_request::take_quota()
{
    if (token_ && (!tenant_ || token_->tenant != tenant_->name)) {
        // A newer version has given the key to another tenant.
        return_quota();
    }
    if (token_ || !tenant_ || !owner_->quota.limits(tenant_->name)) {
        return true;
    }
    const std::optional<quota_token> token = owner_->take_quota(shared_from_this(), tenant_->name);
    if (token) {
        token_ = token;
    }
    return token.has_value();
}

void caller_request::continue_with(const quota_outcome& outcome)
{
    if (done_) {
        if (outcome.token) {
            owner_->return_quota(*outcome.token);
        }
        return;
    }
    if (outcome.token) {
        token_ = outcome.token;
        proceed();
        return;
    }
    refuse(outcome.exhausted ? "over_quota" : "quota_unavailable", outcome.retry_after,
           outcome.exhausted ? 429 : 503);
}

void caller_request::return_quota()
{
    if (token_) {
        owner_->return_quota(*std::exchange(token_, std::nullopt));
    }
}

void caller_request::refuse_unknown_key()
{
    owner_->count_tenant_request({}, "unknown_key");
    // A version of the last moments may have brought the key, and this node has not heard of it.
    if (owner_->keeps_proof() &&
        !owner_->proof.younger_than(owner_->settings.version_bound, owner_->settings.boot_now())) {
        refuse("configuration_stale", unavailable_retry_after);
        return;
    }
    owner_->log.request("key_unknown", context_.request_id,
                        {{"version", version_},
                         {"in_force_for", owner_->versions.in_force_for(times_.started)},
                         {"newest_heard", owner_->versions.newest()},
                         {"rule", rule_->name}},
                        times_.started);
    finish();
    exchange_->respond(make_error_response(401, "unknown key", milliseconds(0)));
}

bool caller_request::wait_for_version()
{
    const milliseconds behind = owner_->versions.behind_for(owner_->loop.now());
    if (!owner_->versions.behind() || behind >= owner_->times.lost_version_age ||
        owner_->stopping) {
        return false;
    }
    owner_->unrouted_requests.push_back(weak_from_this());
    if (waiting_for_version_) {
        return true;
    }
    waiting_for_version_ = true;
    timer_ = owner_->loop.after(owner_->times.unrouted_wait,
                                [self = shared_from_this()](time_point) mutable {
                                    // Ending the request destroys this function object.
                                    const std::shared_ptr<caller_request> request = std::move(self);
                                    request->refuse_unrouted();
                                });
    return true;
}

void caller_request::refuse_unrouted()
{
    // Whether the route exists is not known, so 404 could be wrong.
    refuse("configuration_behind", unavailable_retry_after);
}

void caller_request::resume()
{
    if (done_) {
        return;
    }
    // The timer that is replaced here may hold the last reference.
    const std::shared_ptr<caller_request> self = shared_from_this();
    proceed();
}

bool caller_request::check_crash_guard()
{
    if (owner_->guard.size() == 0) {
        return true;
    }
    const request_identity identity = identity_of(exchange_->request());
    const guard_check known = owner_->guard.check(identity, times_.started);
    if (known.state == suspicion::blocked) {
        owner_->counters.crash_refusals.add();
        owner_->log.request("crash_guard_refused", context_.request_id,
                            {{"fingerprint", identity.exact},
                             {"path_fingerprint", identity.path},
                             {"rule", rule_->name}},
                            times_.started);
        refuse("crash_guard", known.retry_after);
        return false;
    }
    suspect_ = known.state == suspicion::suspect;
    return true;
}

std::vector<caller_request::destination> caller_request::destinations() const
{
    const time_point now = owner_->loop.now();
    std::vector<destination> result;
    const bool own = service_ == owner_->settings.service &&
                     owner_->gate_state() == upstream_state::ready && !owner_->stopping;
    if (own) {
        destination local;
        local.node = owner_->settings.node;
        local.version = owner_->upstream.version();
        local.load.load = owner_->own_load();
        // Neither a request to the upstream on this host nor its response uses the link.
        local.load.load.link_delay = std::chrono::nanoseconds(0);
        local.load.load.transmission_time = std::chrono::nanoseconds(0);
        local.load.load.upload_time = std::chrono::nanoseconds(0);
        result.push_back(std::move(local));
    }
    for (const eligible_peer& peer : owner_->known_peers.eligible(service_, now)) {
        destination remote;
        remote.node = peer.node;
        remote.address = peer.call_address;
        remote.version = peer.version;
        remote.load.load = peer.load;
        remote.load.sent_since_report = peer.sent_since_report;
        remote.load.local_domain = peer.local_domain;
        // The measured transit time includes the queueing on a link busy with large responses.
        remote.load.round_trip_time = std::max<std::chrono::nanoseconds>(
            peer.local_domain ? near_round_trip : far_round_trip, peer.transit);
        result.push_back(std::move(remote));
    }
    keep_usable(result);
    return result;
}

std::vector<std::string_view> caller_request::versions_of(const std::vector<destination>& all)
{
    std::vector<std::string_view> versions;
    versions.reserve(all.size());
    for (const destination& each : all) {
        versions.push_back(each.version);
    }
    return versions;
}

void caller_request::keep_usable(std::vector<destination>& all) const
{
    const std::vector<version_use> uses =
        owner_->version_uses(service_, versions_of(all), tried_.empty());
    for (std::size_t index = 0; index < uses.size(); ++index) {
        all[index].limited = uses[index] == version_use::limited;
        all[index].usable = uses[index] != version_use::none;
    }
    all.erase(std::remove_if(all.begin(), all.end(),
                             [this](const destination& each) {
                                 return !each.usable || std::find(tried_.begin(), tried_.end(),
                                                                  each.node) != tried_.end();
                             }),
              all.end());
    const std::string_view doubtful = owner_->version_in_doubt(service_);
    if (!doubtful.empty()) {
        prefer_for_rollout(all, doubtful);
    }
}

void caller_request::prefer_for_rollout(std::vector<destination>& all,
                                        std::string_view doubtful) const
{
    const bool first = tried_.empty();
    const auto preferred_end =
        std::stable_partition(all.begin(), all.end(), [first, doubtful](const destination& each) {
            const reported_load& load = each.load.load;
            const bool has_slot =
                load.queued == 0 && load.running + each.load.sent_since_report < load.slots;
            return first ? each.limited && has_slot : each.version != doubtful;
        });
    if (preferred_end != all.begin()) {
        all.erase(preferred_end, all.end());
    }
}

std::vector<placement_candidate>
caller_request::loads_of(const std::vector<destination>& candidates)
{
    std::vector<placement_candidate> loads;
    loads.reserve(candidates.size());
    for (const destination& each : candidates) {
        loads.push_back(each.load);
    }
    return loads;
}

placement_request caller_request::placement_properties() const
{
    return {kind_of(rule_->name), time_to_objective(),
            series_ == nullptr ? 0 : series_->mean_response_bytes, upload_bytes()};
}

void caller_request::attempt()
{
    if (owner_->shutdown_timed_out) {
        stop();
        return;
    }
    if (tried_.empty()) {
        owner_->count_version_request(service_);
    }
    const std::vector<destination> candidates = destinations();
    const std::vector<placement_candidate> loads = loads_of(candidates);
    const std::optional<std::size_t> chosen =
        choose_upstream(loads, placement_properties(), owner_->settings.placement, owner_->random);
    if (!chosen) {
        if (may_have_run_) {
            fail(502, "no_other_upstream");
        }
        else {
            refuse("no_upstream", unavailable_retry_after);
        }
        return;
    }
    if (candidates[*chosen].limited) {
        owner_->record_limited_request(service_);
    }
    count_remote_request(candidates, candidates[*chosen]);
    send(candidates[*chosen]);
}

double caller_request::upload_bytes() const
{
    return rule_->uploads ? static_cast<double>(exchange_->request().body.size()) : 0;
}

void caller_request::count_remote_request(const std::vector<destination>& candidates,
                                          const destination& chosen) const
{
    if (chosen.load.local_domain) {
        return;
    }
    const bool has_local =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const destination& each) { return each.load.local_domain; });
    const bool repeated = arrivals_ > 0 || refusals_ > 0;
    const char* const reason = repeated ? "repeated" : has_local ? "load" : "no_upstream";
    owner_->remote_requests.add({{"reason", reason}});
}

void caller_request::send(const destination& to, bool second)
{
    times_.last = owner_->loop.now();
    const std::uint32_t attempt = in_flight_.add(to.node, times_.last, second);
    if (times_.first == time_point()) {
        times_.first = times_.last;
    }
    times_.last_held.reset();
    tried_.push_back(to.node);
    forwarded_request_metadata metadata;
    metadata.caller_service = owner_->settings.service;
    metadata.service = service_;
    metadata.rule = rule_->name;
    metadata.priority = tenant_ && tenant_->priority ? *tenant_->priority : rule_->priority;
    if (tenant_) {
        metadata.tenant = tenant_->name;
        metadata.tenant_version = version_;
    }
    metadata.suspect = suspect_;
    metadata.nested = nested_;
    metadata.time_left = time_left();
    if (rule_->latency_objective.count() > 0) {
        metadata.time_to_objective =
            duration_cast<milliseconds>(objective_time_ - owner_->loop.now());
    }
    if (to.address.empty()) {
        send_local(attempt, std::move(metadata));
    }
    else if (asks_before_sending()) {
        offer_upload(attempt, to, std::move(metadata));
    }
    else {
        send_to_peer(attempt, to, std::move(metadata));
    }
    if (!second) {
        schedule_second_attempt(attempt);
    }
}

void caller_request::schedule_second_attempt(std::uint32_t attempt)
{
    // A gate on this host may have refused the request already.
    if (!owner_->hedging.enabled() || done_ || !in_flight_.contains(attempt)) {
        return;
    }
    overdue_ = false;
    const std::optional<std::chrono::nanoseconds> delay =
        owner_->hedging.delay(service_, kind_of(rule_->name));
    if (!delay) {
        return;
    }
    const milliseconds wait = std::chrono::ceil<milliseconds>(*delay);
    second_timer_ = owner_->loop.after(wait, [weak = weak_from_this(), attempt](time_point) {
        if (const std::shared_ptr<caller_request> self = weak.lock()) {
            self->on_slow_attempt(attempt);
        }
    });
}

void caller_request::on_slow_attempt(std::uint32_t attempt)
{
    if (done_ || !in_flight_.contains(attempt)) {
        return;
    }
    const time_point now = owner_->loop.now();
    overdue_ = true;
    owner_->hedging.record_overdue(service_, kind_of(rule_->name));
    std::vector<destination> others = destinations();
    const std::vector<placement_candidate> loads = loads_of(others);
    const std::optional<second_refusal> refusal = refuse_second(
        loads, arrivals_ + static_cast<std::uint32_t>(in_flight_.size()), time_left());
    if (refusal) {
        owner_->second_refusals.add({{"reason", std::string(name_of(*refusal))}});
        return;
    }
    std::vector<destination> free;
    for (const std::size_t index : second_candidates(loads)) {
        free.push_back(std::move(others[index]));
    }
    const std::optional<std::size_t> chosen = choose_upstream(
        loads_of(free), placement_properties(), owner_->settings.placement, owner_->random);
    // Both are charged before the request is sent, as its run can't be taken back.
    if (!chosen || !owner_->retries.try_acquire(service_, repeat_reason::slow,
                                                owner_->known_peers.size(), now)) {
        return;
    }
    owner_->hedging.charge(service_, now);
    series_->retries.add();
    second_sent_ = true;
    owner_->log.request("second_attempt", context_.request_id,
                        {{"rule", rule_->name},
                         {"service", service_},
                         {"sent_to", free[*chosen].node},
                         {"slow", in_flight_.oldest().node},
                         {"after", duration_cast<milliseconds>(now - in_flight_.oldest().sent)},
                         {"left", time_left()}},
                        now);
    count_remote_request(free, free[*chosen]);
    send(free[*chosen], true);
}

std::optional<second_refusal>
caller_request::refuse_second(const std::vector<placement_candidate>& others,
                              std::uint32_t attempts, std::chrono::nanoseconds time_left) const
{
    if (second_sent_) {
        return second_refusal::attempts;
    }
    if (owner_->stopping) {
        return second_refusal::stopping;
    }
    const time_point now = owner_->loop.now();
    second_attempt_request request;
    request.service = service_;
    request.kind = kind_of(rule_->name);
    request.idempotent = rule_->idempotent;
    request.suspect = suspect_;
    request.attempts = attempts;
    request.max_attempts = rule_->max_attempts;
    request.time_left = time_left;
    const std::optional<second_refusal> refusal = owner_->hedging.refuse(request, others, now);
    if (refusal) {
        return refusal;
    }
    if (!owner_->retries.allows(service_, repeat_reason::slow, owner_->known_peers.size(), now)) {
        return second_refusal::retry_budget;
    }
    return std::nullopt;
}

bool caller_request::end_attempt(std::uint32_t attempt)
{
    std::optional<attempts_in_flight::attempt> ended = in_flight_.take(attempt);
    if (!ended) {
        return false;
    }
    ended_ = *std::move(ended);
    times_.last = ended_.sent;
    times_.last_held.reset();
    return true;
}

http_request caller_request::outgoing_request() const
{
    http_request request = exchange_->request();
    strip_headers(request.headers);
    if (owner_->table->has_tenants()) {
        owner_->dialect.remove_tenant(request);
    }
    return request;
}

void caller_request::send_local(std::uint32_t attempt, forwarded_request_metadata metadata)
{
    http_request request = outgoing_request();
    const std::uint64_t id = ++owner_->last_gate_id;
    const std::shared_ptr<gate_request> local = std::make_shared<gate_request>(
        owner_, id, std::move(metadata), std::move(request),
        [self = shared_from_this(), attempt](const forwarded_response_metadata& response_metadata,
                                             http_response response) {
            if (!self->done_ && self->end_attempt(attempt)) {
                self->on_attempt_ended(self->owner_->settings.node, response_metadata,
                                       std::move(response));
            }
        });
    owner_->gate_requests.emplace(id, local);
    in_flight_.set_cancel(attempt, [local] { return local->cancel(); });
    local->start();
}

bool caller_request::asks_before_sending() const
{
    return rule_->uploads && exchange_->request().body.size() >= min_offered_bytes;
}

void caller_request::offer_upload(std::uint32_t attempt, const destination& to,
                                  forwarded_request_metadata metadata)
{
    upload_question question;
    question.id = owner_->random();
    question.bytes = exchange_->request().body.size();
    question.time_left =
        std::max(metadata.time_to_objective.value_or(milliseconds(0)), milliseconds(0));
    http_call call;
    call.request.method = "POST";
    write_upload_question(question, call.request.headers);
    call.url = "http://" + to.address + std::string(upload_offer_path);
    call.timeout = std::max(metadata.time_left, milliseconds(1)) + transfer_margin;
    call.connect_timeout = peer_connect_timeout;
    const http_client::call_id id = owner_->client.send(
        std::move(call), [self = shared_from_this(), attempt, to, metadata = std::move(metadata),
                          grant = question.id](http_result result) mutable {
            if (!self->done_ && self->in_flight_.contains(attempt)) {
                self->on_offer_answered(attempt, to, std::move(metadata), grant, std::move(result));
            }
        });
    in_flight_.set_cancel(attempt, [owner = owner_, id] {
        owner->client.cancel(id);
        return false; // The request itself has not been sent.
    });
}

void caller_request::on_offer_answered(std::uint32_t attempt, const destination& to,
                                       forwarded_request_metadata metadata, std::uint64_t grant,
                                       http_result result)
{
    const bool answered = result.outcome == http_outcome::answered;
    // A node of an earlier version knows no offers.
    if (answered && (result.response.status == 200 || result.response.status == 404)) {
        times_.last = owner_->loop.now();
        in_flight_.set_sent(attempt, times_.last);
        metadata.time_left = time_left();
        if (metadata.time_to_objective) {
            metadata.time_to_objective = duration_cast<milliseconds>(objective_time_ - times_.last);
        }
        send_to_peer(attempt, to, std::move(metadata), result.response.status == 200 ? grant : 0);
        return;
    }
    end_attempt(attempt);
    forwarded_response_metadata refusal;
    if (answered) {
        refusal.outcome = call_outcome::not_run;
        refusal.reason = "link_full";
        refusal.retry_after =
            uniform_between(owner_->random, min_upload_retry_after, max_upload_retry_after);
    }
    else {
        owner_->known_peers.record_failure(to.node, owner_->loop.now());
        refusal.outcome = call_outcome::unavailable;
        refusal.reason = "peer_unreachable";
        owner_->log.request(
            "peer_failed", context_.request_id,
            {{"peer", to.node}, {"reason", refusal.reason}, {"error", result.error}},
            owner_->loop.now());
    }
    on_attempt_ended(to.node, refusal, {});
}

void caller_request::send_to_peer(std::uint32_t attempt, const destination& to,
                                  forwarded_request_metadata metadata, std::uint64_t grant)
{
    http_call call;
    call.request = outgoing_request();
    metadata.announced = owner_->known_peers.announcement_of(to.node);
    write_forwarded_request(metadata, call.request.headers);
    if (grant != 0) {
        write_upload_grant(grant, call.request.headers);
    }
    call.url = "http://" + to.address + call.request.target;
    if (!to.load.local_domain) {
        owner_->count_remote_bytes("request", size_of(call.request));
    }
    call.timeout = std::max(metadata.time_left, milliseconds(1)) + transfer_margin;
    call.connect_timeout = peer_connect_timeout;
    call.max_response_bytes = 64U << 20U;
    owner_->known_peers.record_sent(to.node);
    const http_client::call_id id =
        owner_->client.send(std::move(call), [self = shared_from_this(), node = to.node, attempt,
                                              remote = !to.load.local_domain](http_result result) {
            if (remote) {
                self->owner_->count_remote_bytes("response", size_of(result.response));
            }
            if (!self->done_ && self->end_attempt(attempt)) {
                self->on_peer_result(node, std::move(result));
            }
        });
    in_flight_.set_cancel(attempt, [owner = owner_, id] {
        owner->client.cancel(id);
        return true;
    });
}

void caller_request::on_peer_result(const node_id& node, http_result result)
{
    const time_point now = owner_->loop.now();
    if (result.outcome == http_outcome::answered) {
        std::optional<forwarded_response_metadata> metadata =
            read_forwarded_response(result.response.headers);
        if (metadata) {
            owner_->known_peers.record_response(node, metadata->load,
                                                now - times_.last - metadata->held, now);
            if (metadata->outcome == call_outcome::answered ||
                metadata->outcome == call_outcome::rejected) {
                owner_->known_peers.record_announcement(node, metadata->announced);
            }
            on_attempt_ended(node, *metadata, std::move(result.response));
            return;
        }
        if (result.response.status == 503) {
            // The node's server refused the request before it was handled.
            forwarded_response_metadata refusal;
            refusal.outcome = call_outcome::unavailable;
            refusal.reason = "peer_refused";
            on_attempt_ended(node, refusal, {});
            return;
        }
        result.error = "not an answer of a node";
        result.sent = true;
    }
    owner_->known_peers.record_failure(node, now);
    forwarded_response_metadata failure;
    const bool sent = result.sent || result.outcome != http_outcome::not_sent;
    failure.outcome = sent ? call_outcome::failed : call_outcome::unavailable;
    failure.reason = sent ? "peer_lost" : "peer_unreachable";
    owner_->log.request("peer_failed", context_.request_id,
                        {{"peer", node}, {"reason", failure.reason}, {"error", result.error}}, now);
    on_attempt_ended(node, failure, {});
}

void caller_request::on_attempt_ended(const node_id& node,
                                      const forwarded_response_metadata& metadata,
                                      http_response response)
{
    if (metadata.held.count() > 0 || metadata.queued) {
        times_.last_held = held_time{metadata.held, metadata.queued};
    }
    record_attempt_time(metadata, response);
    const bool succeeded = metadata.outcome == call_outcome::answered && response.status < 500;
    if (!in_flight_.empty() && !succeeded) {
        await_other(node, metadata, std::move(response));
        return;
    }
    switch (metadata.outcome) {
    case call_outcome::answered:
        ++arrivals_;
        if (response.status >= 500 && rule_->idempotent && arrivals_ < rule_->max_attempts &&
            !destinations().empty() && take_retry(repeat_reason::failure)) {
            may_have_run_ = true;
            failure_ = std::move(response);
            attempt();
            return;
        }
        deliver(std::move(response));
        return;
    case call_outcome::blocked:
        if (may_have_run_) {
            fail(502, metadata.reason);
        }
        else {
            refuse(metadata.reason, metadata.retry_after);
        }
        return;
    case call_outcome::draining:
    case call_outcome::unavailable:
        owner_->known_peers.record_refusal(node, owner_->loop.now());
        after_refusal(metadata);
        return;
    case call_outcome::not_run:
        after_refusal(metadata);
        return;
    case call_outcome::rejected:
        ++arrivals_;
        if (arrivals_ < rule_->max_attempts && take_retry(repeat_reason::lost)) {
            attempt();
            return;
        }
        if (may_have_run_) {
            fail(502, metadata.reason);
        }
        else {
            refuse(metadata.reason, metadata.retry_after);
        }
        return;
    case call_outcome::crashed:
        suspect_ = true;
        owner_->guard.suspect(identity_of(exchange_->request()).exact, owner_->loop.now());
        after_failure(metadata, 502);
        return;
    case call_outcome::failed:
        after_failure(metadata, 502);
        return;
    case call_outcome::timed_out:
        after_failure(metadata, 504);
        return;
    }
}

void caller_request::record_attempt_time(const forwarded_response_metadata& metadata,
                                         const http_response& response)
{
    if (metadata.outcome != call_outcome::answered || response.status >= 500) {
        return;
    }
    if (ended_.second && in_flight_.empty()) {
        return;
    }
    const time_point sent = ended_.second ? in_flight_.oldest().sent : ended_.sent;
    owner_->hedging.record(service_, kind_of(rule_->name), owner_->loop.now() - sent, overdue_);
}

void caller_request::await_other(const node_id& node, const forwarded_response_metadata& metadata,
                                 http_response response)
{
    const time_point now = owner_->loop.now();
    switch (metadata.outcome) {
    case call_outcome::answered:
        failure_ = std::move(response);
        break;
    case call_outcome::draining:
    case call_outcome::unavailable:
        owner_->known_peers.record_refusal(node, now);
        ++refusals_;
        return;
    case call_outcome::not_run:
    case call_outcome::blocked:
        ++refusals_;
        return;
    case call_outcome::rejected:
        ++arrivals_;
        return;
    case call_outcome::crashed:
        suspect_ = true;
        owner_->guard.suspect(identity_of(exchange_->request()).exact, now);
        break;
    case call_outcome::failed:
    case call_outcome::timed_out:
        break;
    }
    ++arrivals_;
    may_have_run_ = true;
}

void caller_request::count_second(std::string_view result)
{
    if (second_sent_ && !std::exchange(second_counted_, true)) {
        owner_->second_results.add({{"result", std::string(result)}});
    }
}

bool caller_request::take_retry(repeat_reason reason)
{
    if (time_left() < min_retry_time) {
        return false;
    }
    if (!owner_->retries.try_acquire(service_, reason, owner_->known_peers.size(),
                                     owner_->loop.now())) {
        owner_->counters.retry_budget_exhausted.add();
        return false;
    }
    series_->retries.add();
    return true;
}

void caller_request::after_refusal(const forwarded_response_metadata& metadata)
{
    ++refusals_;
    last_refusal_ = metadata.reason;
    if (refusals_ < (nested_ ? max_nested_refusals : max_refusals) ||
        metadata.outcome == call_outcome::unavailable ||
        metadata.outcome == call_outcome::draining) {
        if (!destinations().empty()) {
            owner_->counters.rerouted.add();
            attempt();
            return;
        }
    }
    if (may_have_run_) {
        fail(502, metadata.reason);
        return;
    }
    refuse(metadata.reason, std::max(metadata.retry_after, milliseconds(100)));
}

void caller_request::after_failure(const forwarded_response_metadata& metadata, int status)
{
    ++arrivals_;
    may_have_run_ = true;
    if (rule_->idempotent && arrivals_ < rule_->max_attempts && !destinations().empty() &&
        take_retry(repeat_reason::lost)) {
        owner_->log.request(
            "request_repeated", context_.request_id,
            {{"reason", metadata.reason}, {"rule", rule_->name}, {"left", time_left()}},
            owner_->loop.now());
        attempt();
        return;
    }
    fail(status, metadata.reason);
}

void caller_request::refuse(std::string_view reason, milliseconds retry_after, int status)
{
    if (done_) {
        return;
    }
    return_quota();
    count_second("failed");
    if (series_ != nullptr) {
        series_->refused.add();
        owner_->count_refusal(rule_->name, service_, reason);
    }
    if (nested_) {
        owner_->record_failed_call(reason);
    }
    if (tenant_) {
        owner_->count_tenant_request(tenant_->name, status == 429 ? "over_quota" : "refused");
    }
    owner_->log.request("request_refused", context_.request_id,
                        {{"reason", reason},
                         {"rule", rule_ ? std::string_view(rule_->name) : std::string_view("-")},
                         {"service", service_},
                         {"version", version_},
                         {"tried", static_cast<std::uint64_t>(tried_.size())},
                         {"held", duration_cast<milliseconds>(owner_->loop.now() - times_.started)},
                         {"stages", describe(stages_of(times_, owner_->loop.now()))},
                         {"retry_after", retry_after}},
                        owner_->loop.now());
    http_response response = make_error_response(status, reason, retry_after);
    finish();
    exchange_->respond(std::move(response));
}

void caller_request::fail(int status, std::string_view reason)
{
    if (done_) {
        return;
    }
    if (failure_) {
        // The error response of the first upstream is more specific than the refusal of its retry.
        deliver(*std::exchange(failure_, std::nullopt));
        return;
    }
    count_second("failed");
    series_->failed.add();
    if (nested_) {
        // A call that ran out of time after refusals was lost to them.
        owner_->record_failed_call(last_refusal_.empty() ? fmt::format("failed_{}", status)
                                                         : last_refusal_);
    }
    if (tenant_) {
        owner_->count_tenant_request(tenant_->name, "failed");
    }
    owner_->log.request("request_failed", context_.request_id,
                        {{"status", status},
                         {"reason", reason},
                         {"rule", rule_->name},
                         {"service", service_},
                         {"version", version_},
                         {"sent_to", tried_.empty() ? std::string("-") : tried_.back()},
                         {"arrivals", arrivals_},
                         {"held", duration_cast<milliseconds>(owner_->loop.now() - times_.started)},
                         {"stages", describe(stages_of(times_, owner_->loop.now()))}},
                        owner_->loop.now());
    finish();
    exchange_->respond(make_error_response(status, reason, milliseconds(0)));
}

void caller_request::deliver(http_response response)
{
    if (done_) {
        return;
    }
    if (tenant_) {
        owner_->count_tenant_request(tenant_->name, "answered");
    }
    count_second(response.status >= 500 ? "failed" : ended_.second ? "won" : "lost");
    if (nested_ && response.status >= 500) {
        owner_->record_failed_call("error_response");
    }
    if (series_ != nullptr) {
        const time_point now = owner_->loop.now();
        const std::chrono::nanoseconds taken = now - times_.started;
        const request_stages stages = stages_of(times_, now);
        const bool late = rule_->latency_objective.count() > 0 && now > objective_time_;
        series_->answered.add();
        series_->late.add(late ? 1 : 0);
        series_->duration.record(taken);
        series_->record(stages);
        const double bytes = static_cast<double>(response.body.size());
        series_->mean_response_bytes +=
            (bytes - series_->mean_response_bytes) * response_bytes_weight;
        const bool late_sample = late && series_->late.value() % late_sample_interval == 1;
        if (late_sample || response.status >= 500 || owner_->log.sample_success()) {
            owner_->log.request(
                "request_answered", context_.request_id,
                {{"status", response.status},
                 {"rule", rule_->name},
                 {"version", version_},
                 {"sent_to", ended_.node.empty() ? std::string("-") : ended_.node},
                 {"tried", static_cast<std::uint64_t>(tried_.size())},
                 {"took", duration_cast<milliseconds>(taken)},
                 {"late", late ? 1 : 0},
                 {"time_left", context_.time_left.value_or(rule_->timeout)},
                 {"objective", duration_cast<milliseconds>(objective_time_ - times_.started)},
                 {"stages", describe(stages)}},
                now);
        }
    }
    strip_headers(response.headers);
    owner_->link.add(response.body.size(), owner_->loop.now());
    finish();
    exchange_->respond(std::move(response));
}

void caller_request::on_timeout()
{
    const time_point now = owner_->loop.now();
    for (const attempts_in_flight::attempt& each : in_flight_.all()) {
        owner_->known_peers.record_silence(each.node, now - each.sent, now);
    }
    end_early("out_of_time", milliseconds(0));
}

void caller_request::stop()
{
    end_early("stopping", stopping_retry_after);
}

void caller_request::end_early(std::string_view reason, milliseconds retry_after)
{
    if (done_) {
        return;
    }
    count_second("cancelled");
    may_have_run_ = in_flight_.cancel_all() || may_have_run_;
    if (may_have_run_) {
        fail(504, reason);
        return;
    }
    refuse(reason, retry_after);
}

void caller_request::cancel()
{
    if (done_) {
        return;
    }
    if (series_ != nullptr) {
        series_->cancelled.add();
    }
    owner_->log.request(
        "request_cancelled", context_.request_id,
        {{"sent_to", tried_.empty() ? std::string("-") : tried_.back()},
         {"held", duration_cast<milliseconds>(owner_->loop.now() - times_.started)}},
        owner_->loop.now());
    count_second("cancelled");
    may_have_run_ = in_flight_.cancel_all() || may_have_run_;
    if (!may_have_run_) {
        return_quota();
    }
    finish();
}

void caller_request::finish()
{
    done_ = true;
    timer_.cancel();
    second_timer_.cancel();
    in_flight_.cancel_all();
}

} // namespace agatespread::detail
