#include "inbound_call.h"

#include "proxy_headers.h"

#include <agatespread/digest.h>

#include <algorithm>
#include <utility>

namespace agatespread::detail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds refusal_retry_after = std::chrono::seconds(1);

} // namespace

inbound_call::inbound_call(std::shared_ptr<inbound::impl> owner,
                           std::shared_ptr<http_exchange> exchange, const data_lane& lane,
                           call_metadata call)
    : owner_(std::move(owner)), exchange_(std::move(exchange)), lane_(lane), call_(std::move(call)),
      id_(hash64(call_.call)), started_(lane.now()), deadline_(started_ + call_.deadline),
      upstream_(std::atomic_load(&owner_->upstream)),
      series_(owner_->series_of(call_.tenant, call_.request_class))
{
}

void inbound_call::start()
{
    const std::shared_ptr<inbound_call> self = shared_from_this();
    if (!owner_->add(id_, self)) {
        // Not marked as not run, since the call with the same id may be running.
        owner_->counters.duplicates.add();
        stage_ = stage::done;
        respond(answer_outcome::failed,
                final_response(400, "the call id is in use", false, milliseconds(0)));
        return;
    }
    series_.requests.add();
    const std::weak_ptr<inbound_call> weak = self;
    exchange_->on_cancel([weak] {
        if (const std::shared_ptr<inbound_call> call = weak.lock()) {
            call->cancel();
        }
    });
    const http_request& request = exchange_->request();
    fingerprint_ =
        request_fingerprint(upstream_->service, request.method, request.target, request.body);
    const guard_decision entry = owner_->guard.enter(id_, fingerprint_, call_.suspect, started_);
    if (entry.verdict == guard_verdict::pass) {
        admit();
        return;
    }
    hold(entry);
}

void inbound_call::hold(const guard_decision& entry)
{
    if (entry.verdict == guard_verdict::refuse) {
        owner_->counters.blocked.add();
        refuse(answer_outcome::blocked, "blocked by the crash guard", entry.retry_after);
        return;
    }
    // The call may be released on another thread before this line, in which case `admit` is
    // already posted to this lane and runs after it.
    owner_->counters.waited.add();
    owner_->waiting.fetch_add(1);
    waits_ = true;
}

void inbound_call::give_back(const guard_decision& entry)
{
    stage_ = stage::held;
    owner_->apply(owner_->gate.cancel(id_, lane_.now()), nullptr);
    hold(entry);
}

void inbound_call::admit()
{
    if (stage_ != stage::held) {
        return;
    }
    stage_ = stage::admitted;
    if (std::exchange(waits_, false)) {
        owner_->waiting.fetch_sub(1);
    }
    const admission_request request{id_, call_.priority, deadline_, kind_of(call_.request_class)};
    owner_->apply(owner_->gate.offer(request, lane_.now()), &lane_);
}

void inbound_call::refused(const admission_refusal& refusal)
{
    answer_outcome outcome = answer_outcome::not_run;
    if (refusal.reason == refusal_reason::draining) {
        outcome = answer_outcome::draining;
    }
    else if (refusal.reason == refusal_reason::unavailable) {
        outcome = answer_outcome::unavailable;
    }
    refuse(outcome, name_of(refusal.reason), refusal.retry_after);
}

void inbound_call::blocked()
{
    owner_->counters.blocked.add();
    const milliseconds rest = owner_->guard.check(fingerprint_, lane_.now()).retry_after;
    refuse(answer_outcome::blocked, "blocked by the crash guard",
           std::max(rest, refusal_retry_after));
}

void inbound_call::expire()
{
    if (stage_ == stage::held && waits_ && lane_.now() >= deadline_) {
        refuse(answer_outcome::not_run, name_of(refusal_reason::expired), refusal_retry_after);
    }
}

http_call inbound_call::prepare(milliseconds left)
{
    http_call call;
    call.request = exchange_->request();
    strip_headers(call.request.headers);
    call_context context;
    context.deadline = deadline_;
    context.depth = call_.depth + 1;
    context.on_retry_path = call_.on_retry_path;
    call.request.headers.set(context_header, owner_->signer.write_context(context));
    call.request.headers.add(deadline_header, std::to_string(left.count()));
    call.url = upstream_->url + call.request.target;
    call.timeout = left;
    return call;
}

void inbound_call::forward()
{
    const time_point now = lane_.now();
    if (stage_ != stage::admitted) {
        return; // The caller went away while the call was on its way to this thread.
    }
    const milliseconds left = duration_cast<milliseconds>(deadline_ - now);
    if (left.count() <= 0) {
        owner_->apply(owner_->gate.cancel(id_, now), nullptr);
        refuse(answer_outcome::not_run, name_of(refusal_reason::expired), refusal_retry_after);
        return;
    }
    const guard_decision entry = owner_->guard.try_start(id_, now);
    if (entry.verdict != guard_verdict::pass) {
        give_back(entry);
        return;
    }
    stage_ = stage::forwarded;
    forwarded_ = now;
    upstream_ = std::atomic_load(&owner_->upstream);
    series_.run.add();
    series_.wait.record(now - started_);
    const std::shared_ptr<inbound_call> self = shared_from_this();
    const data_lane::call_id id = lane_.send(
        prepare(left), [self](http_result result) { self->upstream_ended(std::move(result)); });
    sent_ = id;
}

bool inbound_call::is_crash(const http_result& result) const
{
    if (owner_->hooks.is_crash) {
        return owner_->hooks.is_crash(result);
    }
    return result.outcome == http_outcome::connection_lost ||
           result.outcome == http_outcome::truncated;
}

void inbound_call::upstream_ended(http_result result)
{
    if (stage_ != stage::forwarded) {
        return;
    }
    const time_point now = lane_.now();
    const bool whole = result.outcome == http_outcome::answered;
    const bool not_sent = result.outcome == http_outcome::not_sent && !result.sent;
    const bool crash = !whole && !not_sent && is_crash(result);
    series_.service.record(now - forwarded_);
    leave(whole, crash);
    owner_->apply(owner_->gate.finish(id_, whole, now), nullptr);
    if (whole) {
        strip_headers(result.response.headers);
        respond(answer_outcome::answered, std::move(result.response));
    }
    else if (not_sent) {
        refuse(answer_outcome::unavailable, "the upstream cannot be reached", refusal_retry_after);
    }
    else if (result.outcome == http_outcome::timed_out) {
        owner_->counters.timed_out.add();
        respond(answer_outcome::timed_out,
                final_response(504, "the upstream did not answer in time", false, milliseconds(0)));
    }
    else {
        owner_->counters.failed.add();
        respond(crash ? answer_outcome::crashed : answer_outcome::failed,
                final_response(502, "the upstream did not answer whole", false, milliseconds(0)));
    }
}

void inbound_call::leave(bool completed, bool crashed)
{
    const time_point now = lane_.now();
    const guard_actions actions =
        crashed ? owner_->guard.crashed(id_, now) : owner_->guard.leave(id_, completed, now);
    owner_->counters.crashes.add(actions.crash_counted ? 1 : 0);
    owner_->apply(actions, nullptr);
}

void inbound_call::refuse(answer_outcome outcome, std::string_view text, milliseconds retry_after)
{
    if (stage_ == stage::done) {
        return;
    }
    leave(false, false);
    respond(outcome, final_response(503, text, true, retry_after));
}

void inbound_call::respond(answer_outcome outcome, http_response response)
{
    const time_point now = lane_.now();
    const bool duplicate = stage_ == stage::done;
    stage_ = stage::done;
    if (!duplicate) {
        owner_->remove(id_);
        if (std::exchange(waits_, false)) {
            owner_->waiting.fetch_sub(1);
        }
    }
    const admission_load load = owner_->gate.load(now);
    answer_metadata answer;
    answer.call = call_.call;
    answer.status = response.status;
    answer.outcome = outcome;
    answer.load = load_hint{load.running, load.queued, load.slots};
    owner_->signer.write_answer(answer, response);
    exchange_->respond(std::move(response));
}

void inbound_call::cancel()
{
    if (stage_ == stage::done) {
        return;
    }
    const bool running = stage_ == stage::forwarded;
    const bool admitted = running || stage_ == stage::admitted;
    stage_ = stage::done;
    owner_->counters.cancelled.add();
    owner_->remove(id_);
    if (std::exchange(waits_, false)) {
        owner_->waiting.fetch_sub(1);
    }
    leave(false, false);
    if (running && sent_) {
        lane_.cancel(*sent_);
    }
    if (admitted) {
        owner_->apply(owner_->gate.cancel(id_, lane_.now()), nullptr);
    }
}

} // namespace agatespread::detail
