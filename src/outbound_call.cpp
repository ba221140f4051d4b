#include "outbound_call.h"

#include "local_exchange.h"
#include "proxy_headers.h"

#include <algorithm>
#include <utility>

namespace agatespread::detail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds refusal_retry_after = std::chrono::seconds(1);

constexpr std::string_view outcome_not_known = "outcome not known";

milliseconds parse_retry_after(const http_response& response)
{
    const std::optional<std::uint32_t> seconds =
        parse_number<std::uint32_t>(response.headers.get("Retry-After"));
    return std::chrono::seconds(std::min(seconds.value_or(0), 3600U));
}

attempt_outcome to_attempt_outcome(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::answered:
        return attempt_outcome::answered;
    case call_outcome::not_run:
    case call_outcome::rejected:
        return attempt_outcome::refused;
    case call_outcome::draining:
        return attempt_outcome::draining;
    case call_outcome::unavailable:
    case call_outcome::crashed:
        return attempt_outcome::down;
    case call_outcome::blocked:
        return attempt_outcome::cancelled;
    case call_outcome::timed_out:
        return attempt_outcome::timed_out;
    case call_outcome::failed:
        break;
    }
    return attempt_outcome::failed;
}

std::string_view error_text(const retry_decision& decision, const request_class& call_class)
{
    if (decision.not_run) {
        return "not run";
    }
    return call_class.once || decision.retry_after.count() == 0 ? outcome_not_known : "no answer";
}

} // namespace

outbound_call::outbound_call(std::shared_ptr<outbound::impl> owner,
                             std::shared_ptr<http_exchange> exchange, const worker_context& worker)
    : owner_(std::move(owner)), exchange_(std::move(exchange)), worker_(worker),
      started_at_(worker.now())
{
    owner_->in_flight.fetch_add(1);
}

outbound_call::~outbound_call()
{
    owner_->in_flight.fetch_sub(1);
}

void outbound_call::start()
{
    const std::weak_ptr<outbound_call> self = weak_from_this();
    exchange_->on_cancel([self] {
        if (const std::shared_ptr<outbound_call> call = self.lock()) {
            call->cancel();
        }
    });
    if (!resolve() || !check_guard()) {
        return;
    }
    owner_->retries.first_attempt(owner_->options.node, route_->assigned_class->name,
                                  context_.depth, context_.on_retry_path, started_at_);
    if (route_->assigned_class->once && exchange_->request().headers.contains("Idempotency-Key")) {
        claim();
        return;
    }
    attempt();
}

bool outbound_call::resolve()
{
    const http_request& request = exchange_->request();
    snapshot_ = owner_->hooks.current_snapshot();
    if (!snapshot_) {
        refuse(503, "no configuration available yet", refusal_retry_after);
        return false;
    }
    const absl::StatusOr<std::shared_ptr<const route>> found =
        snapshot_->resolve(owner_->options.fleet, request.headers.get("Host"), request.target);
    if (!found.ok()) {
        owner_->counters.unresolved.add();
        refuse(404, std::string(found.status().message()), milliseconds(0));
        return false;
    }
    route_ = *found;
    series_ = &owner_->series_of(route_->tenant, route_->assigned_class->name);
    deadline_ = started_at_ + route_->assigned_class->deadline;
    const std::optional<call_context> context =
        owner_->signer.read_context(request.headers.get(context_header));
    if (context) {
        context_ = *context;
        deadline_ = std::min(deadline_, context_.deadline);
    }
    if (time_left().count() <= 0) {
        refuse(503, "the deadline has passed", refusal_retry_after);
        return false;
    }
    return true;
}

bool outbound_call::check_guard()
{
    if (owner_->guard.size() == 0) {
        return true;
    }
    const guard_check check = owner_->guard.check(identity(), started_at_);
    if (check.state == suspicion::blocked) {
        owner_->counters.blocked.add();
        refuse(503, "request blocked: it crashes upstreams", check.retry_after);
        return false;
    }
    suspect_ = check.state == suspicion::suspect;
    owner_->counters.suspects.add(suspect_ ? 1 : 0);
    return true;
}

void outbound_call::claim()
{
    keyed_request request;
    request.tenant = route_->tenant;
    request.key = std::string(exchange_->request().headers.get("Idempotency-Key"));
    request.fingerprint = identity().exact;
    request.time_left = time_left();
    claimed_request_ = request;
    if (!owner_->hooks.claim) {
        on_claimed(claim_reply());
        return;
    }
    const std::shared_ptr<outbound_call> self = shared_from_this();
    owner_->hooks.claim(request, [self](claim_reply result) {
        self->worker_.post([self, result = std::move(result)] { self->on_claimed(result); });
    });
}

void outbound_call::on_claimed(claim_reply result)
{
    if (result.state != claim_state::granted) {
        claimed_request_.reset();
    }
    claim_token_ = result.token;
    may_send_until_ = result.may_send_until;
    if (done_) {
        // The caller cancelled before the claim was granted, so no attempt has been sent.
        if (claimed_request_) {
            settle(settled_state::not_run, {});
        }
        return;
    }
    switch (result.state) {
    case claim_state::granted:
        attempt();
        return;
    case claim_state::recorded:
        owner_->counters.claims_repeated.add();
        respond(std::move(result.response));
        return;
    case claim_state::unknown:
        owner_->counters.claims_refused.add();
        respond(proxy_error_response(409, outcome_not_known, false, milliseconds(0)));
        return;
    case claim_state::mismatched:
        owner_->counters.claims_refused.add();
        respond(proxy_error_response(422, "the Idempotency-Key was used for a different request",
                                     true, milliseconds(0)));
        return;
    case claim_state::unavailable:
        owner_->counters.claims_refused.add();
        refuse(503, "the Idempotency-Key cannot be claimed", refusal_retry_after);
        return;
    }
}

void outbound_call::attempt()
{
    const time_point now = worker_.now();
    const milliseconds attempt_timeout = std::min(time_left(), route_->timeout);
    choice_request request;
    request.tried = tried_;
    request.allow_trial = !route_->assigned_class->once;
    if (suspect_) {
        request.affinity_key = identity().exact;
    }
    // The lease of the claim may have expired while this process was paused; the request must then
    // not be sent.
    if (attempt_timeout.count() > 0 && now < may_send_until_) {
        chosen_upstream_ =
            owner_->upstreams.choose(*route_->destination, request, now, worker_.random);
    }
    if (!chosen_upstream_) {
        retry_decision decision;
        decision.not_run = !may_have_run_;
        decision.status = decision.not_run ? 503 : 502;
        const bool repeatable = decision.not_run || route_->idempotent;
        decision.retry_after = repeatable ? refusal_retry_after : milliseconds(0);
        give_up(decision);
        return;
    }
    ++attempts_;
    tried_.push_back(chosen_upstream_->node);
    attempt_started_ = now;
    owner_->counters.trials.add(chosen_upstream_->trial ? 1 : 0);
    owner_->counters.spilled.add(
        chosen_upstream_->failure_domain != owner_->options.failure_domain ? 1 : 0);
    send_attempt(make_attempt_call(attempt_timeout));
}

call_metadata outbound_call::make_metadata(milliseconds time_left) const
{
    call_metadata call;
    call.call_id = call_id_;
    call.deadline = time_left;
    call.request_class = route_->assigned_class->name;
    call.priority = route_->assigned_class->priority;
    call.tenant = route_->tenant;
    call.depth = context_.depth;
    call.attempt = attempts_;
    call.on_retry_path = context_.on_retry_path || attempts_ > 1;
    call.suspect = suspect_;
    return call;
}

http_call outbound_call::make_attempt_call(milliseconds time_left)
{
    http_call call;
    call.request = exchange_->request();
    strip_headers(call.request.headers);
    call.request.headers.remove(context_header);
    call.url = "http://" + chosen_upstream_->address + call.request.target;
    call.timeout = time_left;
    call_id_ = new_call_id();
    owner_->signer.write_call(make_metadata(time_left), worker_.wall_clock(), call.request);
    return call;
}

void outbound_call::send_attempt(http_call call)
{
    const std::shared_ptr<outbound_call> self = shared_from_this();
    const std::uint32_t attempt = attempts_;
    std::function<void(http_result)> on_end = [self, attempt](http_result result) {
        self->on_attempt_ended(attempt, std::move(result));
    };
    if (chosen_upstream_->node == owner_->options.node && owner_->hooks.deliver_local) {
        const std::shared_ptr<local_exchange> local =
            std::make_shared<local_exchange>(std::move(call.request), std::move(on_end));
        cancel_attempt_ = [local] { local->cancel(); };
        owner_->hooks.deliver_local(local, worker_);
        return;
    }
    const worker_context::call_id id = worker_.send(std::move(call), std::move(on_end));
    if (chosen_upstream_ && attempts_ == attempt) {
        cancel_attempt_ = [self, id] { self->worker_.cancel(id); };
    }
}

void outbound_call::end_attempt(attempt_outcome outcome, const std::optional<load_hint>& load)
{
    const time_point now = worker_.now();
    owner_->upstreams.finish(*route_->destination, *chosen_upstream_, outcome,
                             now - attempt_started_, load, now);
    chosen_upstream_.reset();
    cancel_attempt_ = nullptr;
}

void outbound_call::on_attempt_ended(std::uint32_t attempt, http_result result)
{
    if (done_ || !chosen_upstream_ || attempt != attempts_) {
        owner_->counters.late_answers.add(result.outcome == http_outcome::answered ? 1 : 0);
        return;
    }
    if (result.outcome == http_outcome::answered) {
        const std::optional<response_metadata> metadata =
            owner_->signer.read_response(call_id_, result.response);
        if (metadata) {
            on_response(std::move(result.response), *metadata);
            return;
        }
        // The response belongs to another call or was not signed by an inbound listener.
        owner_->counters.crossed_answers.add();
        result.sent = true;
    }
    const bool sent = result.sent || result.outcome != http_outcome::not_sent;
    const bool timed_out = result.outcome == http_outcome::timed_out;
    const attempt_outcome outcome = sent ? attempt_outcome::failed : attempt_outcome::down;
    end_attempt(timed_out ? attempt_outcome::timed_out : outcome, std::nullopt);
    may_have_run_ = may_have_run_ || sent;
    if (!sent) {
        on_attempt_failed(attempt_failure::not_run, milliseconds(0));
    }
    else {
        on_attempt_failed(timed_out ? attempt_failure::timed_out : attempt_failure::unanswered,
                          milliseconds(0));
    }
}

void outbound_call::on_response(http_response response, const response_metadata& metadata)
{
    const bool overloaded = metadata.outcome == call_outcome::answered && response.status == 503;
    end_attempt(overloaded ? attempt_outcome::refused : to_attempt_outcome(metadata.outcome),
                metadata.load);
    const milliseconds retry_after = parse_retry_after(response);
    switch (metadata.outcome) {
    case call_outcome::answered:
        may_have_run_ = true;
        strip_headers(response.headers);
        if (suspect_ && response.status < 500) {
            clear_suspicion();
        }
        if (overloaded) {
            overload_response_ = std::move(response);
            on_attempt_failed(attempt_failure::overloaded, retry_after);
            return;
        }
        settle(settled_state::completed, response);
        respond(std::move(response));
        return;
    case call_outcome::blocked:
        on_blocked(retry_after);
        return;
    case call_outcome::not_run:
    case call_outcome::rejected:
    case call_outcome::draining:
    case call_outcome::unavailable:
        on_attempt_failed(attempt_failure::not_run, retry_after);
        return;
    case call_outcome::crashed:
        may_have_run_ = true;
        on_crash();
        return;
    case call_outcome::failed:
    case call_outcome::timed_out:
        break;
    }
    may_have_run_ = true;
    on_attempt_failed(metadata.outcome == call_outcome::timed_out ? attempt_failure::timed_out
                                                                  : attempt_failure::unanswered,
                      milliseconds(0));
}

void outbound_call::on_crash()
{
    if (!suspect_) {
        // The next attempt carries the suspect flag, because it may reach its node before the crash
        // report does.
        owner_->guard.suspect(identity().exact, worker_.now());
        suspect_ = true;
        on_attempt_failed(attempt_failure::unanswered, milliseconds(0));
        return;
    }
    owner_->guard.confirm(identity().exact, worker_.now());
    owner_->counters.blocked.add();
    retry_decision decision;
    decision.status = route_->assigned_class->once ? 504 : 502;
    give_up(decision);
}

void outbound_call::on_blocked(milliseconds retry_after)
{
    // No retry: an upstream whose node has not yet received the block would crash as well.
    owner_->counters.blocked.add();
    retry_decision decision;
    decision.not_run = !may_have_run_;
    decision.status = decision.not_run ? 503 : 502;
    decision.retry_after = retry_after;
    give_up(decision);
}

void outbound_call::clear_suspicion()
{
    crash_report report;
    report.fingerprint = identity().exact;
    report.cleared = true;
    owner_->guard.receive(report, worker_.now());
}

void outbound_call::on_attempt_failed(attempt_failure failure, milliseconds retry_after)
{
    retry_context context;
    context.caller = owner_->options.node;
    context.request_class = route_->assigned_class->name;
    context.depth = context_.depth;
    context.on_retry_path = context_.on_retry_path;
    context.once = route_->assigned_class->once;
    context.idempotent = route_->idempotent;
    context.attempts = attempts_;
    context.failure = failure;
    context.may_have_run = may_have_run_;
    context.remaining = time_left();
    context.expected_duration =
        duration_cast<milliseconds>(owner_->upstreams.average_latency(*route_->destination));
    context.retry_after = retry_after;
    const retry_decision decision = owner_->retries.decide(context, worker_.now());
    if (decision.should_retry) {
        series_->retries.add();
        attempt();
        return;
    }
    count_denial(decision.reason);
    give_up(decision);
}

void outbound_call::count_denial(std::string_view reason)
{
    outbound_counters& counters = owner_->counters;
    if (reason == "budget") {
        counters.denied_budget.add();
    }
    else if (reason == "deadline") {
        counters.denied_deadline.add();
    }
    else if (reason == "once" || reason == "not_idempotent") {
        counters.denied_unsafe.add();
    }
    else {
        counters.denied_other.add();
    }
}

void outbound_call::give_up(const retry_decision& decision)
{
    if (overload_response_) {
        const http_response response = std::move(*overload_response_);
        settle(settled_state::completed, response);
        respond(response);
        return;
    }
    count_result(decision.not_run ? series_->not_run : series_->unknown);
    settle(decision.not_run ? settled_state::not_run : settled_state::unknown, {});
    respond(proxy_error_response(decision.status, error_text(decision, *route_->assigned_class),
                                 decision.not_run, decision.retry_after));
}

void outbound_call::refuse(int status, std::string_view text, milliseconds retry_after)
{
    if (series_ != nullptr) {
        count_result(series_->not_run);
    }
    respond(proxy_error_response(status, text, true, retry_after));
}

// Counts only the first result of a call.
void outbound_call::count_result(counter& result)
{
    if (!std::exchange(result_counted_, true)) {
        result.add();
    }
}

void outbound_call::respond(http_response response)
{
    if (done_) {
        return;
    }
    done_ = true;
    if (series_ != nullptr) {
        count_result(response.status < 500 ? series_->answered : series_->failed);
        series_->duration.record(worker_.now() - started_at_);
    }
    exchange_->respond(std::move(response));
}

void outbound_call::settle(settled_state state, const http_response& response)
{
    if (claimed_request_ && owner_->hooks.settle) {
        owner_->hooks.settle(*claimed_request_, claim_token_, state, response);
    }
    claimed_request_.reset();
}

void outbound_call::cancel()
{
    if (done_) {
        return;
    }
    if (series_ != nullptr) {
        count_result(series_->cancelled);
    }
    if (claimed_request_ && chosen_upstream_) {
        // Let the attempt finish. A caller that lost its connection repeats the request with the
        // same key and then gets the recorded response; cancelling would leave the outcome unknown.
        return;
    }
    done_ = true;
    if (!chosen_upstream_) {
        return; // A pending claim is settled in `on_claimed`.
    }
    const std::function<void()> cancel_attempt = std::move(cancel_attempt_);
    end_attempt(attempt_outcome::cancelled, std::nullopt);
    if (cancel_attempt) {
        cancel_attempt();
    }
}

milliseconds outbound_call::time_left() const
{
    return duration_cast<milliseconds>(deadline_ - worker_.now());
}

const request_identity& outbound_call::identity()
{
    if (!identity_) {
        const http_request& request = exchange_->request();
        identity_ = identify_request(route_->service.service + "." + route_->service.fleet,
                                     request.method, request.target, request.body);
    }
    return *identity_;
}

std::string outbound_call::new_call_id() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id;
    id.reserve(32);
    for (int word = 0; word < 2; ++word) {
        std::uint64_t value = worker_.random();
        for (int i = 0; i < 16; ++i, value >>= 4U) {
            id.push_back(digits[value & 0x0fU]);
        }
    }
    return id;
}

} // namespace agatespread::detail
