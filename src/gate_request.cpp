#include "gate_request.h"

#include "connect_probe.h"
#include "state_names.h"

#include <algorithm>
#include <utility>

namespace agatespread::detail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// For refusals that do not depend on the queue; the gate reopens at a heartbeat, which comes every
// 1.5 s.
constexpr milliseconds unavailable_retry_after{400};

// Time for a refusal to reach another failure domain, plus the interval of the queue's deadline
// check.
constexpr milliseconds refusal_margin{40};

// The upstream is on the same host; a connection that is not established by then never will be.
constexpr milliseconds upstream_connect_timeout{500};

// An upstream that has sent nothing for this time since it got a request is probed.
constexpr milliseconds silence_timeout = std::chrono::seconds(1);

} // namespace

gate_request::gate_request(std::shared_ptr<sidecar::impl> owner, std::uint64_t id,
                           forwarded_request_metadata metadata, http_request request,
                           response_handler handler)
    : owner_(std::move(owner)), id_(id), metadata_(std::move(metadata)),
      request_(std::move(request)), handler_(std::move(handler)),
      request_id_(owner_->dialect.read_request(request_).request_id), arrived_(owner_->loop.now()),
      deadline_(arrived_ + metadata_.time_left)
{
}

void gate_request::start()
{
    // The caller's node may still have the entry of another host that used this address before.
    if (metadata_.service != owner_->settings.service) {
        respond(call_outcome::unavailable, {}, "other_service", unavailable_retry_after);
        return;
    }
    // Load pattern: a node whose reports are late or lost is still chosen while it stops. What it
    // accepted now would be cut off when the process ends.
    if (owner_->stopping) {
        respond(call_outcome::draining, {}, "stopping", unavailable_retry_after);
        return;
    }
    if (owner_->refuses_as_replaced()) {
        respond(call_outcome::unavailable, {}, "version_replaced", unavailable_retry_after);
        return;
    }
    if (tenant_was_removed()) {
        respond(call_outcome::blocked, {}, "tenant_removed", unavailable_retry_after);
        return;
    }
    if (metadata_.announced) {
        owner_->apply_peer_announcement(*metadata_.announced);
    }
    identity_ = identity_of(request_);
    const guard_decision entry = owner_->guard.enter(id_, identity_, metadata_.suspect, arrived_);
    if (entry.verdict == guard_verdict::pass) {
        admit();
        return;
    }
    hold(entry);
}

bool gate_request::tenant_was_removed() const
{
    const std::shared_ptr<const routing_table>& table = owner_->table;
    return !metadata_.tenant.empty() && table && table->version() > metadata_.tenant_version &&
           table->has_tenants() && !table->tenants()->find(metadata_.tenant);
}

void gate_request::hold(const guard_decision& entry)
{
    if (entry.verdict == guard_verdict::refuse) {
        leave_guard(call_end::not_run);
        owner_->counters.crash_refusals.add();
        respond(call_outcome::blocked, {}, "crash_guard", entry.retry_after);
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
    const std::uint32_t kind = kind_of(metadata_.rule);
    if (!owner_->link.accepts(kind, now)) {
        const milliseconds wait = duration_cast<milliseconds>(owner_->link.delay(now));
        leave_guard(call_end::not_run);
        respond(call_outcome::not_run, {}, "link_full", wait);
        return;
    }
    stage_ = stage::queued;
    admission_request offered;
    offered.id = id_;
    offered.priority = metadata_.priority;
    // A refusal must reach the caller's node before the deadline; otherwise the caller cannot tell
    // that the request has not run.
    offered.deadline = deadline_ - refusal_margin;
    offered.kind = kind;
    if (owner_->protects_runs()) {
        offered.nested = metadata_.nested;
        offered.tenant = metadata_.tenant.empty() ? 0 : kind_of(metadata_.tenant);
    }
    if (metadata_.time_to_objective) {
        offered.objective = arrived_ + *metadata_.time_to_objective;
    }
    owner_->apply(owner_->gate.offer(offered, now));
    owner_->schedule_gate_check();
}

void gate_request::block()
{
    if (stage_ == stage::done) {
        return;
    }
    const milliseconds remaining = owner_->guard.check(identity_, owner_->loop.now()).retry_after;
    leave_guard(call_end::not_run);
    respond(call_outcome::blocked, {}, "crash_guard", std::max(remaining, unavailable_retry_after));
}

void gate_request::refuse(const admission_refusal& refusal)
{
    if (stage_ != stage::queued) {
        return;
    }
    leave_guard(call_end::not_run);
    call_outcome outcome = call_outcome::not_run;
    if (refusal.reason == refusal_reason::draining) {
        outcome = call_outcome::draining;
    }
    else if (refusal.reason == refusal_reason::unavailable) {
        outcome = call_outcome::unavailable;
    }
    respond(outcome, {}, std::string(agatespread::name_of(refusal.reason)), refusal.retry_after);
}

void gate_request::expire(time_point now)
{
    if (stage_ == stage::held && now >= deadline_ - refusal_margin) {
        leave_guard(call_end::not_run);
        respond(call_outcome::not_run, {}, "expired", unavailable_retry_after);
    }
}

void gate_request::stop()
{
    if (stage_ != stage::held && stage_ != stage::queued) {
        return;
    }
    const std::shared_ptr<gate_request> self = shared_from_this();
    const bool queued = stage_ == stage::queued;
    leave_guard(call_end::not_run);
    respond(call_outcome::draining, {}, "stopping", unavailable_retry_after);
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
    if (entry.trial) {
        owner_->publish_crashes({*entry.trial});
    }
    if (owner_->gate_state() != upstream_state::ready) {
        owner_->log.request("gate_started_late", request_id_,
                            {{"rule", metadata_.rule},
                             {"instance", owner_->upstream.instance()},
                             {"state", name_of(owner_->gate_state())},
                             {"closed_for", duration_cast<milliseconds>(now - owner_->gate_closed)},
                             {"held", duration_cast<milliseconds>(now - arrived_)}},
                            now);
    }
    const milliseconds time_left = duration_cast<milliseconds>(deadline_ - now);
    stage_ = stage::running;
    forwarded_ = now;
    instance_ = owner_->upstream.instance();
    http_call call;
    call.request = request_;
    owner_->dialect.write_upstream_request(
        {time_left, instance_, metadata_.caller_service, metadata_.tenant}, call.request);
    call.url = "http://" + owner_->settings.upstream_address + call.request.target;
    call.timeout = std::max(time_left, milliseconds(1));
    call.connect_timeout = upstream_connect_timeout;
    call.max_response_bytes = 64U << 20U;
    call.allow_close_delimited_body = true;
    call.detect_dead_peer = false;
    call.accept_head = [self = shared_from_this()](const http_response& head) {
        return self->accepts_head(head);
    };
    silence_timer_ = owner_->loop.after(silence_timeout, [weak = weak_from_this()](time_point) {
        if (const std::shared_ptr<gate_request> self = weak.lock()) {
            self->check_silence();
        }
    });
    upstream_call_ =
        owner_->client.send(std::move(call), [self = shared_from_this()](http_result result) {
            self->on_upstream_result(std::move(result));
        });
}

bool gate_request::accepts_head(const http_response& head) const
{
    return owner_->dialect.read_upstream_response(head).request_id == request_id_;
}

void gate_request::on_upstream_result(http_result result)
{
    if (stage_ != stage::running) {
        return;
    }
    if (result.outcome == http_outcome::answered) {
        on_upstream_response(std::move(result));
        return;
    }
    if (result.outcome == http_outcome::not_sent && !result.sent) {
        owner_->mark_upstream_unreachable("connect_failed");
        leave_guard(call_end::not_run);
        owner_->apply(owner_->guard.upstream_refused(owner_->loop.now()), "connect_failed");
        owner_->apply(owner_->gate.finish(id_, false, owner_->loop.now()));
        respond(call_outcome::unavailable, {}, "upstream_unreachable", unavailable_retry_after);
        return;
    }
    on_upstream_lost(result);
}

void gate_request::on_upstream_response(http_result result)
{
    const time_point now = owner_->loop.now();
    const upstream_response_metadata metadata =
        owner_->dialect.read_upstream_response(result.response);
    const bool succeeded = result.response.status >= 200 && result.response.status < 300;
    // A refusal that belongs to another request says nothing about this one, which may run.
    const bool refused =
        (metadata.not_run || metadata.other_instance) && metadata.request_id == request_id_;
    const bool unattributed = !refused && (metadata.not_run || metadata.other_instance);
    const bool malformed = (succeeded && !metadata.authentic) || metadata.encoded ||
                           (succeeded && metadata.request_id != request_id_);
    const bool invalid = unattributed || (!refused && malformed);
    owner_->failures.add(refused || invalid || result.response.status >= 500, now);
    owner_->upstream_responded_at = now;
    if (!refused) {
        const bool failed = invalid || result.response.status >= 500;
        owner_->record_upstream_result(
            metadata_.rule, failed, failed ? std::nullopt : std::make_optional(now - forwarded_));
    }
    if (!unattributed) {
        owner_->apply_announcements(metadata, instance_);
        keep_announcement(metadata);
    }
    if (refused) {
        leave_guard(call_end::not_run);
    }
    else {
        const bool success = !invalid && result.response.status < 500;
        leave_guard(success ? call_end::succeeded : call_end::responded);
    }
    owner_->apply(owner_->gate.finish(id_, succeeded && !invalid, now));
    if (refused && metadata.other_instance) {
        owner_->mark_upstream_unreachable("other_instance");
        respond(call_outcome::unavailable, {}, "other_instance", unavailable_retry_after);
    }
    else if (refused) {
        respond(call_outcome::rejected, {}, "upstream_refused", unavailable_retry_after);
    }
    else if (invalid) {
        owner_->counters.upstream_invalid_responses.add();
        respond(call_outcome::failed, {}, "spoiled_answer", milliseconds(0));
    }
    else {
        owner_->record_run(metadata_.rule, result.response.status, forwarded_);
        respond(call_outcome::answered, std::move(result.response), {}, milliseconds(0));
    }
}

void gate_request::keep_announcement(const upstream_response_metadata& response)
{
    if (!response.other_instance && (response.leaving || response.rate_limit)) {
        const bool current = instance_ == owner_->upstream.instance();
        announced_ = upstream_announcement{
            instance_, current ? owner_->upstream.started_at() : std::chrono::milliseconds(0),
            response.leaving, response.rate_limit};
    }
}

void gate_request::check_silence()
{
    if (stage_ != stage::running || owner_->upstream_responded_at >= forwarded_ ||
        owner_->probing_upstream) {
        return;
    }
    owner_->probing_upstream = true;
    probe_connection(owner_->loop, owner_->settings.upstream_address, upstream_connect_timeout,
                     [owner = owner_](bool connected) {
                         owner->probing_upstream = false;
                         if (!connected) {
                             owner->end_running_requests();
                         }
                     });
}

void gate_request::end_with_upstream()
{
    if (stage_ == stage::running) {
        owner_->record_upstream_result(metadata_.rule, true, std::nullopt);
        finish_lost_request(true, "silent", "the upstream refused a connection after silence");
        owner_->client.cancel(upstream_call_);
    }
}

void gate_request::on_upstream_lost(const http_result& result)
{
    owner_->failures.add(true, owner_->loop.now());
    owner_->record_upstream_result(metadata_.rule, true, std::nullopt);
    switch (result.outcome) {
    case http_outcome::timed_out:
        respond(call_outcome::timed_out, {}, "upstream_timeout", milliseconds(0));
        leave_unanswered(true);
        return;
    case http_outcome::connection_lost:
    case http_outcome::truncated:
        owner_->counters.upstream_lost.add();
        // A new connection shows whether the upstream crashed or only closed this connection.
        probe_connection(owner_->loop, owner_->settings.upstream_address, upstream_connect_timeout,
                         [self = shared_from_this(), error = result.error](bool connected) {
                             if (self->stage_ == stage::running) {
                                 self->finish_lost_request(!connected, "connection_lost", error);
                             }
                         });
        return;
    default:
        owner_->counters.upstream_lost.add();
        leave_guard(call_end::responded);
        owner_->apply(owner_->gate.finish(id_, false, owner_->loop.now()));
        respond(call_outcome::failed, {}, result.error, milliseconds(0));
        return;
    }
}

void gate_request::finish_lost_request(bool crashed, std::string_view cause,
                                       const std::string& error)
{
    const time_point now = owner_->loop.now();
    if (crashed) {
        owner_->mark_upstream_unreachable("crashed");
        owner_->apply(owner_->guard.crashed(id_, now), cause);
    }
    else {
        owner_->apply(owner_->guard.leave_unanswered(id_, now, now), cause);
    }
    owner_->apply(owner_->gate.finish(id_, false, now));
    respond(crashed ? call_outcome::crashed : call_outcome::failed, {},
            crashed ? "upstream_crashed" : error, milliseconds(0));
}

void gate_request::leave_unanswered(bool reached_deadline)
{
    const auto leave = [self = shared_from_this(), reached_deadline](bool connected) {
        sidecar::impl& owner = *self->owner_;
        const time_point now = owner.loop.now();
        --owner.unanswered_in_slots;
        if (connected) {
            owner.apply(owner.guard.leave_unanswered(self->id_, self->deadline_, now), "silent");
        }
        else {
            owner.mark_upstream_unreachable("silent");
            owner.apply(owner.guard.crashed(self->id_, now), "silent");
        }
        owner.apply(reached_deadline ? owner.gate.finish(self->id_, false, now)
                                     : owner.gate.cancel(self->id_, now));
    };
    ++owner_->unanswered_in_slots;
    if (owner_->upstream_responded_at >= forwarded_) {
        leave(true);
        return;
    }
    // The upstream has sent nothing since the request. The slot stays taken until the connection
    // shows whether it still runs.
    probe_connection(owner_->loop, owner_->settings.upstream_address, upstream_connect_timeout,
                     leave);
}

void gate_request::leave_guard(call_end end)
{
    owner_->apply(owner_->guard.leave(id_, end, owner_->loop.now()), "response");
}

void gate_request::respond(call_outcome outcome, http_response response, std::string reason,
                           milliseconds retry_after)
{
    if (stage_ == stage::done) {
        return;
    }
    stage_ = stage::done;
    const time_point now = owner_->loop.now();
    const admission_load load = owner_->gate.load(now);
    if (outcome != call_outcome::answered) {
        owner_->log.request("gate_ended", request_id_,
                            {{"outcome", name_of(outcome)},
                             {"reason", reason},
                             {"rule", metadata_.rule},
                             {"fingerprint", identity_.exact},
                             {"instance", instance_},
                             {"running", load.running},
                             {"queued", load.queued},
                             {"slots", load.slots},
                             {"held", duration_cast<milliseconds>(now - arrived_)}},
                            now);
    }
    forwarded_response_metadata metadata;
    metadata.outcome = outcome;
    metadata.load = owner_->own_load();
    metadata.retry_after = retry_after;
    metadata.held = duration_cast<milliseconds>(now - arrived_);
    metadata.queued =
        duration_cast<milliseconds>((forwarded_ == time_point() ? now : forwarded_) - arrived_);
    metadata.reason = std::move(reason);
    metadata.announced = std::move(announced_);
    const response_handler handler = std::exchange(handler_, nullptr);
    owner_->gate_requests.erase(id_);
    handler(metadata, std::move(response));
}

bool gate_request::cancel()
{
    if (stage_ == stage::done) {
        return true;
    }
    const stage before = std::exchange(stage_, stage::done);
    if (before == stage::running) {
        // Closes the connection, upon which the upstream cancels the request.
        owner_->client.cancel(upstream_call_);
        if (owner_->loop.now() >= deadline_ - refusal_margin) {
            // The caller's node gives up at the deadline, as this one does.
            owner_->record_upstream_result(metadata_.rule, true, std::nullopt);
        }
    }
    const std::shared_ptr<gate_request> self = shared_from_this();
    handler_ = nullptr;
    owner_->gate_requests.erase(id_);
    if (before == stage::running) {
        leave_unanswered(false);
        return true;
    }
    leave_guard(call_end::not_run);
    if (before == stage::queued) {
        owner_->apply(owner_->gate.cancel(id_, owner_->loop.now()));
    }
    return false;
}

} // namespace agatespread::detail
