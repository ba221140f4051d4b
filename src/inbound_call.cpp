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
                           std::shared_ptr<http_exchange> exchange, const worker_context& worker,
                           call_metadata metadata)
    : owner_(std::move(owner)), exchange_(std::move(exchange)), worker_(worker),
      metadata_(std::move(metadata)), id_(hash64(metadata_.call_id)), started_at_(worker.now()),
      deadline_(started_at_ + metadata_.deadline), upstream_(std::atomic_load(&owner_->upstream)),
      series_(owner_->series_of(metadata_.tenant, metadata_.request_class))
{
}

void inbound_call::start()
{
    const std::shared_ptr<inbound_call> self = shared_from_this();
    if (!owner_->add(id_, self)) {
        // Not marked as not run, because the call that holds this id may be running.
        owner_->counters.duplicates.add();
        stage_ = stage::done;
        respond(call_outcome::failed,
                proxy_error_response(400, "duplicate call id", false, milliseconds(0)));
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
    identity_ = identify_request(upstream_->service, request.method, request.target, request.body);
    const guard_decision decision =
        owner_->guard.enter(id_, identity_, metadata_.suspect, started_at_);
    if (decision.verdict == guard_verdict::pass) {
        admit();
        return;
    }
    wait_or_refuse(decision);
}

void inbound_call::wait_or_refuse(const guard_decision& decision)
{
    if (decision.verdict == guard_verdict::refuse) {
        owner_->counters.blocked.add();
        refuse(call_outcome::blocked, "blocked by the crash guard", decision.retry_after);
        return;
    }
    // Another thread may already have released the call; `admit` is then queued on this worker's
    // thread and runs after this function.
    owner_->counters.waited.add();
    owner_->waiting.fetch_add(1);
    waiting_for_guard_ = true;
}

void inbound_call::release_slot(const guard_decision& decision)
{
    stage_ = stage::pending;
    owner_->apply(owner_->gate.cancel(id_, worker_.now()), nullptr);
    wait_or_refuse(decision);
}

void inbound_call::admit()
{
    if (stage_ != stage::pending) {
        return;
    }
    stage_ = stage::admitted;
    if (std::exchange(waiting_for_guard_, false)) {
        owner_->waiting.fetch_sub(1);
    }
    const admission_request request{id_, metadata_.priority, deadline_,
                                    kind_of(metadata_.request_class)};
    owner_->apply(owner_->gate.offer(request, worker_.now()), &worker_);
}

void inbound_call::on_refused(const admission_refusal& refusal)
{
    call_outcome outcome = call_outcome::not_run;
    if (refusal.reason == refusal_reason::draining) {
        outcome = call_outcome::draining;
    }
    else if (refusal.reason == refusal_reason::unavailable) {
        outcome = call_outcome::unavailable;
    }
    refuse(outcome, name_of(refusal.reason), refusal.retry_after);
}

void inbound_call::on_blocked()
{
    owner_->counters.blocked.add();
    const milliseconds remaining_block = owner_->guard.check(identity_, worker_.now()).retry_after;
    refuse(call_outcome::blocked, "blocked by the crash guard",
           std::max(remaining_block, refusal_retry_after));
}

void inbound_call::expire()
{
    if (stage_ == stage::pending && waiting_for_guard_ && worker_.now() >= deadline_) {
        refuse(call_outcome::not_run, name_of(refusal_reason::expired), refusal_retry_after);
    }
}

http_call inbound_call::make_upstream_call(milliseconds time_left)
{
    http_call call;
    call.request = exchange_->request();
    strip_headers(call.request.headers);
    call_context context;
    context.deadline = deadline_;
    context.depth = metadata_.depth + 1;
    context.on_retry_path = metadata_.on_retry_path;
    call.request.headers.set(context_header, owner_->signer.write_context(context));
    call.request.headers.add(deadline_header, std::to_string(time_left.count()));
    call.url = upstream_->url + call.request.target;
    call.timeout = time_left;
    return call;
}

void inbound_call::forward()
{
    const time_point now = worker_.now();
    if (stage_ != stage::admitted) {
        return; // The caller cancelled while this step was queued for the worker's thread.
    }
    const milliseconds time_left = duration_cast<milliseconds>(deadline_ - now);
    if (time_left.count() <= 0) {
        owner_->apply(owner_->gate.cancel(id_, now), nullptr);
        refuse(call_outcome::not_run, name_of(refusal_reason::expired), refusal_retry_after);
        return;
    }
    const guard_decision decision = owner_->guard.try_start(id_, now);
    if (decision.verdict != guard_verdict::pass) {
        release_slot(decision);
        return;
    }
    if (decision.trial && owner_->hooks.report) {
        owner_->hooks.report(*decision.trial);
    }
    stage_ = stage::forwarded;
    forwarded_at_ = now;
    upstream_ = std::atomic_load(&owner_->upstream);
    series_.run.add();
    series_.admission_wait.record(now - started_at_);
    const std::shared_ptr<inbound_call> self = shared_from_this();
    const worker_context::call_id id =
        worker_.send(make_upstream_call(time_left),
                     [self](http_result result) { self->on_upstream_result(std::move(result)); });
    upstream_call_ = id;
}

bool inbound_call::is_crash(const http_result& result) const
{
    if (owner_->hooks.is_crash) {
        return owner_->hooks.is_crash(result);
    }
    return result.outcome == http_outcome::connection_lost ||
           result.outcome == http_outcome::truncated;
}

void inbound_call::on_upstream_result(http_result result)
{
    if (stage_ != stage::forwarded) {
        return;
    }
    const time_point now = worker_.now();
    const bool complete = result.outcome == http_outcome::answered;
    const bool not_sent = result.outcome == http_outcome::not_sent && !result.sent;
    const bool crash = !complete && !not_sent && is_crash(result);
    series_.service_time.record(now - forwarded_at_);
    if (crash) {
        apply_guard(owner_->guard.crashed(id_, now));
    }
    else if (complete) {
        const bool server_error = result.response.status >= 500;
        leave_guard(server_error ? call_end::responded : call_end::succeeded);
    }
    else if (not_sent) {
        leave_guard(call_end::not_run);
        apply_guard(owner_->guard.upstream_refused(now));
    }
    else {
        apply_guard(owner_->guard.leave_unanswered(
            id_, result.outcome == http_outcome::timed_out ? deadline_ : now, now));
    }
    owner_->apply(owner_->gate.finish(id_, complete, now), nullptr);
    if (complete) {
        strip_headers(result.response.headers);
        respond(call_outcome::answered, std::move(result.response));
    }
    else if (not_sent) {
        refuse(call_outcome::unavailable, "the upstream is unreachable", refusal_retry_after);
    }
    else if (result.outcome == http_outcome::timed_out) {
        owner_->counters.timed_out.add();
        respond(call_outcome::timed_out,
                proxy_error_response(504, "the upstream did not respond before the deadline", false,
                                     milliseconds(0)));
    }
    else {
        owner_->counters.failed.add();
        respond(crash ? call_outcome::crashed : call_outcome::failed,
                proxy_error_response(502, "the upstream did not send a complete response", false,
                                     milliseconds(0)));
    }
}

void inbound_call::leave_guard(call_end end)
{
    apply_guard(owner_->guard.leave(id_, end, worker_.now()));
}

void inbound_call::apply_guard(const guard_actions& actions)
{
    owner_->counters.crashes.add(actions.crash_counted ? 1 : 0);
    owner_->apply(actions, nullptr);
}

void inbound_call::refuse(call_outcome outcome, std::string_view text, milliseconds retry_after)
{
    if (stage_ == stage::done) {
        return;
    }
    leave_guard(call_end::not_run);
    respond(outcome, proxy_error_response(503, text, true, retry_after));
}

void inbound_call::respond(call_outcome outcome, http_response response)
{
    const time_point now = worker_.now();
    const bool already_done = stage_ == stage::done;
    stage_ = stage::done;
    if (!already_done) {
        owner_->remove(id_);
        if (std::exchange(waiting_for_guard_, false)) {
            owner_->waiting.fetch_sub(1);
        }
    }
    const admission_load load = owner_->gate.load(now);
    response_metadata metadata;
    metadata.call_id = metadata_.call_id;
    metadata.status = response.status;
    metadata.outcome = outcome;
    metadata.load = load_hint{load.running, load.queued, load.slots};
    owner_->signer.write_response(metadata, response);
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
    if (std::exchange(waiting_for_guard_, false)) {
        owner_->waiting.fetch_sub(1);
    }
    if (running) {
        apply_guard(owner_->guard.leave_unanswered(id_, deadline_, worker_.now()));
        if (upstream_call_) {
            worker_.cancel(*upstream_call_);
        }
    }
    else {
        leave_guard(call_end::not_run);
    }
    if (admitted) {
        owner_->apply(owner_->gate.cancel(id_, worker_.now()), nullptr);
    }
}

} // namespace agatespread::detail
