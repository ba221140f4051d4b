#include "gate_request.h"

#include "connect_probe.h"

#include <agatespread/digest.h>

#include <algorithm>
#include <utility>

namespace agatespread::detail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// For refusals that do not depend on the queue: a heartbeat every 1.5 s opens the gate again.
constexpr milliseconds unavailable_retry_after{400};

// The way back of a refusal between failure domains, and the period of the queue's check.
constexpr milliseconds refusal_margin{40};

// The upstream is on the same host: a connection that takes longer is not made at all.
constexpr milliseconds upstream_connect_timeout{500};

} // namespace

gate_request::gate_request(std::shared_ptr<sidecar::impl> owner, std::uint64_t id,
                           forwarded_call call, http_request request, answer_hook answer)
    : owner_(std::move(owner)), id_(id), call_(std::move(call)), request_(std::move(request)),
      answer_(std::move(answer)), request_id_(owner_->dialect.read_request(request_).request_id),
      arrived_(owner_->loop.now()), deadline_(arrived_ + call_.left)
{
}

void gate_request::start()
{
    // The caller's node may hold an entry of an earlier host with this address.
    if (call_.service != owner_->settings.service) {
        answer(answer_outcome::unavailable, {}, "other_service", unavailable_retry_after);
        return;
    }
    fingerprint_ =
        hash64(call_.caller_service,
               request_fingerprint(call_.service, request_.method, request_.target, request_.body));
    const guard_decision entry = owner_->guard.enter(id_, fingerprint_, call_.suspect, arrived_);
    if (entry.verdict == guard_verdict::pass) {
        admit();
        return;
    }
    hold(entry);
}

void gate_request::hold(const guard_decision& entry)
{
    if (entry.verdict == guard_verdict::refuse) {
        release(false, false);
        answer(answer_outcome::blocked, {}, "crash_guard", entry.retry_after);
        return;
    }
    owner_->schedule_gate_check();
}

void gate_request::admit()
{
    if (stage_ != stage::held) {
        return;
    }
    const time_point now = owner_->loop.now();
    const std::uint32_t kind = kind_of(call_.rule);
    if (!owner_->link.accepts(kind, now)) {
        const milliseconds wait = duration_cast<milliseconds>(owner_->link.delay(now));
        release(false, false);
        answer(answer_outcome::not_run, {}, "link_full", wait);
        return;
    }
    stage_ = stage::queued;
    admission_request asked;
    asked.id = id_;
    asked.priority = call_.priority;
    // A refusal must reach the caller's node before its deadline, or nobody knows that the
    // request has not run.
    asked.deadline = deadline_ - refusal_margin;
    asked.kind = kind;
    if (call_.target) {
        asked.target = arrived_ + *call_.target;
    }
    owner_->apply(owner_->gate.offer(asked, now));
    owner_->schedule_gate_check();
}

void gate_request::block()
{
    if (stage_ == stage::done) {
        return;
    }
    const milliseconds rest = owner_->guard.check(fingerprint_, owner_->loop.now()).retry_after;
    release(false, false);
    answer(answer_outcome::blocked, {}, "crash_guard", std::max(rest, unavailable_retry_after));
}

void gate_request::refuse(const admission_refusal& refusal)
{
    if (stage_ != stage::queued) {
        return;
    }
    release(false, false);
    answer_outcome outcome = answer_outcome::not_run;
    if (refusal.reason == refusal_reason::draining) {
        outcome = answer_outcome::draining;
    }
    else if (refusal.reason == refusal_reason::unavailable) {
        outcome = answer_outcome::unavailable;
    }
    answer(outcome, {}, std::string(agatespread::name_of(refusal.reason)), refusal.retry_after);
}

void gate_request::expire(time_point now)
{
    if (stage_ == stage::held && now >= deadline_ - refusal_margin) {
        release(false, false);
        answer(answer_outcome::not_run, {}, "expired", unavailable_retry_after);
    }
}

void gate_request::stop()
{
    if (stage_ != stage::held && stage_ != stage::queued) {
        return;
    }
    const std::shared_ptr<gate_request> self = shared_from_this();
    const bool queued = stage_ == stage::queued;
    release(false, false);
    answer(answer_outcome::draining, {}, "stopping", unavailable_retry_after);
    if (queued) {
        owner_->apply(owner_->gate.cancel(id_, owner_->loop.now()));
    }
}

void gate_request::forward()
{
    if (stage_ != stage::queued) {
        return;
    }
    const time_point now = owner_->loop.now();
    const guard_decision entry = owner_->guard.try_start(id_, now);
    if (entry.verdict != guard_verdict::pass) {
        stage_ = stage::held;
        owner_->apply(owner_->gate.cancel(id_, now));
        hold(entry);
        return;
    }
    const milliseconds left = duration_cast<milliseconds>(deadline_ - now);
    stage_ = stage::running;
    forwarded_ = now;
    instance_ = owner_->upstream.instance();
    http_call call;
    call.request = request_;
    owner_->dialect.write_upstream_call({left, instance_, call_.caller_service}, call.request);
    call.url = "http://" + owner_->settings.upstream_address + call.request.target;
    call.timeout = std::max(left, milliseconds(1));
    call.connect_timeout = upstream_connect_timeout;
    call.max_response_bytes = 64U << 20U;
    call.allow_close_delimited_body = true;
    call.accept_head = [self = shared_from_this()](const http_response& head) {
        return self->accepts(head);
    };
    sent_ = owner_->client.send(std::move(call), [self = shared_from_this()](http_result result) {
        self->upstream_ended(std::move(result));
    });
}

bool gate_request::accepts(const http_response& head) const
{
    const std::string answered = owner_->dialect.read_answer(head).request_id;
    return answered.empty() || answered == request_id_;
}

void gate_request::upstream_ended(http_result result)
{
    if (stage_ != stage::running) {
        return;
    }
    if (result.outcome == http_outcome::answered) {
        take_answer(std::move(result));
        return;
    }
    if (result.outcome == http_outcome::not_sent && !result.sent) {
        owner_->upstream_unreachable("connect_failed");
        release(false, false);
        owner_->apply(owner_->gate.finish(id_, false, owner_->loop.now()));
        answer(answer_outcome::unavailable, {}, "upstream_unreachable", unavailable_retry_after);
        return;
    }
    lost(result);
}

void gate_request::take_answer(http_result result)
{
    const time_point now = owner_->loop.now();
    const upstream_answer facts = owner_->dialect.read_answer(result.response);
    const bool served = result.response.status >= 200 && result.response.status < 300;
    const bool refused = facts.not_run || facts.other_instance;
    const bool spoiled = !refused && ((served && !facts.authentic) || facts.encoded ||
                                      (served && facts.request_id != request_id_));
    owner_->failures.add(refused || spoiled || result.response.status >= 500, now);
    release(!refused && !spoiled, false);
    owner_->apply(owner_->gate.finish(id_, served && !spoiled, now));
    if (facts.other_instance) {
        owner_->upstream_unreachable("other_instance");
        answer(answer_outcome::unavailable, {}, "other_instance", unavailable_retry_after);
    }
    else if (facts.not_run) {
        answer(answer_outcome::rejected, {}, "upstream_refused", unavailable_retry_after);
    }
    else if (spoiled) {
        owner_->counters.upstream_spoiled.add();
        answer(answer_outcome::failed, {}, "spoiled_answer", milliseconds(0));
    }
    else {
        answer(answer_outcome::answered, std::move(result.response), {}, milliseconds(0));
    }
}

void gate_request::lost(const http_result& result)
{
    owner_->failures.add(true, owner_->loop.now());
    if (result.outcome == http_outcome::timed_out) {
        release(false, false);
        owner_->apply(owner_->gate.finish(id_, false, owner_->loop.now()));
        answer(answer_outcome::timed_out, {}, "upstream_timeout", milliseconds(0));
        return;
    }
    owner_->counters.upstream_lost.add();
    if (result.outcome != http_outcome::connection_lost) {
        finish_lost(false, result.error);
        return;
    }
    // Only a new connection tells an upstream that crashed from one that lost an answer.
    probe_connection(owner_->loop, owner_->settings.upstream_address, upstream_connect_timeout,
                     [self = shared_from_this(), error = result.error](bool connected) {
                         if (self->stage_ == stage::running) {
                             self->finish_lost(!connected, error);
                         }
                     });
}

void gate_request::finish_lost(bool crashed, const std::string& error)
{
    if (crashed) {
        owner_->upstream_unreachable("crashed");
    }
    release(false, crashed);
    owner_->apply(owner_->gate.finish(id_, false, owner_->loop.now()));
    answer(crashed ? answer_outcome::crashed : answer_outcome::failed, {},
           crashed ? "upstream_crashed" : error, milliseconds(0));
}

void gate_request::release(bool completed, bool crashed)
{
    const time_point now = owner_->loop.now();
    const guard_actions next =
        crashed ? owner_->guard.crashed(id_, now) : owner_->guard.leave(id_, completed, now);
    if (next.crash_counted) {
        owner_->counters.upstream_crashes.add();
        owner_->log.change("upstream_crashed",
                           {{"instance", instance_},
                            {"reports", static_cast<std::uint64_t>(next.reports.size())}});
    }
    owner_->apply(next);
}

void gate_request::answer(answer_outcome outcome, http_response response, std::string reason,
                          milliseconds retry_after)
{
    if (stage_ == stage::done) {
        return;
    }
    stage_ = stage::done;
    const time_point now = owner_->loop.now();
    const admission_load load = owner_->gate.load(now);
    if (outcome != answer_outcome::answered) {
        owner_->log.request("gate_ended", request_id_,
                            {{"outcome", name_of(outcome)},
                             {"reason", reason},
                             {"rule", call_.rule},
                             {"instance", instance_},
                             {"running", load.running},
                             {"queued", load.queued},
                             {"slots", load.slots},
                             {"held", duration_cast<milliseconds>(now - arrived_)}},
                            now);
    }
    forwarded_answer facts;
    facts.outcome = outcome;
    facts.load = owner_->own_load();
    facts.retry_after = retry_after;
    facts.held = duration_cast<milliseconds>(now - arrived_);
    facts.reason = std::move(reason);
    const answer_hook call = std::exchange(answer_, nullptr);
    owner_->gate_requests.erase(id_);
    call(facts, std::move(response));
}

bool gate_request::cancel()
{
    if (stage_ == stage::done) {
        return true;
    }
    const stage before = std::exchange(stage_, stage::done);
    if (before == stage::running) {
        // Closes the connection, at which the upstream drops the request.
        owner_->client.cancel(sent_);
    }
    const std::shared_ptr<gate_request> self = shared_from_this();
    release(false, false);
    answer_ = nullptr;
    owner_->gate_requests.erase(id_);
    if (before != stage::held) {
        owner_->apply(owner_->gate.cancel(id_, owner_->loop.now()));
    }
    return before == stage::running;
}

} // namespace agatespread::detail
