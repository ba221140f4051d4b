#include <agatespread/admission.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace agatespread {

namespace {

// Calls are queued only if their deadline leaves a margin of three mean deviations over the mean
// service time, which 4 % of exponentially distributed service times exceed.
constexpr int queue_margin_deviations = 3;

// Calls at the head of the queue need a smaller margin, as their wait is over.
constexpr int start_margin_deviations = 1;

// Divisors of the EWMAs: a new service time has a weight of 1/8 in the mean and 1/4 in the
// deviation, as in TCP's retransmission time-out (RFC 6298).
constexpr int mean_divisor = 8;
constexpr int deviation_divisor = 4;

constexpr std::chrono::milliseconds unavailable_retry_after = std::chrono::seconds(1);

// Time over which the slot time of nested calls is averaged: longer than a slow phase of an
// upstream (0.6 s), shorter than the waves in demand (17 s).
constexpr std::chrono::duration<double> nested_window = std::chrono::seconds(2);

// Share of the slots from which the wait of nested calls is the reported one.
constexpr double min_nested_share = 0.1;

// Other calls are not kept out by the estimate of the nested ones alone.
constexpr double max_nested_share = 0.8;

// Tenants that are remembered per priority before those without queued calls are forgotten.
constexpr std::size_t max_idle_tenants = 64;

// Assumed before the first response, so that calls of one tenant follow each other.
constexpr double min_cost_seconds = 0.001;

} // namespace

std::string_view name_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::too_late:
        return "too_late";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::shed:
        return "shed";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::unavailable:
        return "unavailable";
    case refusal_reason::expired:
        break;
    }
    return "expired";
}

admission::admission(const admission_options& options) : options_(options)
{
}

admission_actions admission::set_upstream(upstream_state state, std::uint32_t slots, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool was_cold = state_ == upstream_state::gone || state_ == upstream_state::starting;
    if (state == upstream_state::ready && was_cold) {
        ready_since_ = now;
    }
    if (state == upstream_state::draining && state_ != upstream_state::draining) {
        leaving_since_ = now;
    }
    state_ = state;
    slots_ = slots;
    admission_actions actions;
    if (state == upstream_state::gone) {
        refuse_queue(refusal_reason::unavailable, now, actions);
    }
    start_queued(now, actions);
    if (state == upstream_state::draining) {
        refuse_expired(now, actions);
    }
    return actions;
}

admission_actions admission::set_rate_limit(std::optional<double> per_second, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    starts_.set_rate(per_second, now);
    admission_actions actions;
    start_queued(now, actions);
    refuse_expired(now, actions);
    return actions;
}

admission_actions admission::offer(const admission_request& request, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    admission_actions actions;
    if (state_ != upstream_state::ready) {
        const bool draining = state_ == upstream_state::draining;
        refuse(request.id, draining ? refusal_reason::draining : refusal_reason::unavailable, now,
               actions);
        return actions;
    }
    call queued_call;
    queued_call.request = request;
    set_start_tag(queued_call);
    const nanoseconds wait = expected_wait(queue_key_of(queued_call), now);
    queued_call.late = !can_meet_target(queued_call, wait, now);
    if (queued_call.late && !accepts_late_calls(now)) {
        refuse(request.id, refusal_reason::too_late, now, actions);
        return actions;
    }
    const queue_key key = queue_key_of(queued_call);
    const bool meets_deadline =
        can_meet_deadline(request, expected_wait(queue_key_of(queued_call), now), now);
    // Unlike a service time, a rate limit is no estimate that a probe could correct.
    const bool probe = !meets_deadline && request.deadline > now && !starts_.rate() &&
                       take_probe(request.kind, now);
    if (!meets_deadline && !probe) {
        refuse(request.id, refusal_reason::too_late, now, actions);
        return actions;
    }
    if (queue_.size() >= options_.queue_length) {
        if (queue_.empty() || queue_.rbegin()->first < key) {
            refuse(request.id, refusal_reason::queue_full, now, actions);
            return actions;
        }
        const std::uint64_t least_urgent = id_of(queue_.rbegin()->first);
        queue_.erase(std::prev(queue_.end()));
        refund_tenant(calls_.at(least_urgent));
        calls_.erase(least_urgent);
        refuse(least_urgent, refusal_reason::shed, now, actions);
    }
    queue_.emplace(key, expected_service_time(request.kind));
    queued_call.probe = probe;
    charge_tenant(queued_call);
    calls_[request.id] = queued_call;
    start_queued(now, actions);
    refuse_expired(now, actions);
    return actions;
}

admission_actions admission::finish(std::uint64_t id, bool completed, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    admission_actions actions;
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.started == time_point()) {
        return actions;
    }
    // The duration of an incomplete call is a lower bound of its service time.
    if (completed || now - found->second.started > overall_service_time_.mean) {
        record_service_time(found->second, now);
    }
    calls_.erase(found);
    --running_;
    start_queued(now, actions);
    return actions;
}

admission_actions admission::cancel(std::uint64_t id, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    admission_actions actions;
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return actions;
    }
    if (found->second.started == time_point()) {
        queue_.erase(queue_key_of(found->second));
        refund_tenant(found->second);
    }
    else {
        --running_;
    }
    calls_.erase(found);
    start_queued(now, actions);
    return actions;
}

admission_actions admission::expire(time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    admission_actions actions;
    start_queued(now, actions);
    refuse_expired(now, actions);
    return actions;
}

admission_load admission::load(time_point now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool free = running_ < available_slots(now) && queue_.empty();
    return admission_load{running_,
                          static_cast<std::uint32_t>(queue_.size()),
                          busy_slots_within_rate(now),
                          overall_service_time_.mean,
                          free ? starts_.delay(0, now) : wait_behind_queue(now),
                          recent_kinds_};
}

bool admission::idle() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_.empty();
}

std::uint32_t admission::available_slots(time_point now) const
{
    if (slots_ == 0 || state_ == upstream_state::gone || state_ == upstream_state::starting) {
        return 0;
    }
    const std::chrono::duration<double> ready_for = now - ready_since_;
    const std::chrono::duration<double> ramp = options_.ramp;
    const double progress = ramp.count() > 0 ? std::clamp(ready_for / ramp, 0.0, 1.0) : 1.0;
    const double share = options_.initial_slot_share + (1 - options_.initial_slot_share) * progress;
    return std::max(1U, static_cast<std::uint32_t>(slots_ * share));
}

std::uint32_t admission::busy_slots_within_rate(time_point now) const
{
    const std::uint32_t slots = available_slots(now);
    if (slots == 0 || !starts_.rate() || overall_service_time_.samples == 0) {
        return slots;
    }
    // Little's law.
    const double busy =
        *starts_.rate() * std::chrono::duration<double>(overall_service_time_.mean).count();
    return static_cast<std::uint32_t>(
        std::clamp(std::round(busy), 1.0, static_cast<double>(slots)));
}

admission::nanoseconds admission::expected_service_time(std::uint32_t kind) const
{
    const auto found = service_times_by_kind_.find(kind);
    return found == service_times_by_kind_.end() ? overall_service_time_.mean : found->second.mean;
}

admission::nanoseconds admission::expected_wait(const queue_key& key, time_point now) const
{
    const std::uint32_t slots = available_slots(now);
    if (running_ < slots && queue_.empty()) {
        return starts_.delay(0, now);
    }
    nanoseconds ahead{0};
    std::size_t calls_ahead = 0;
    for (auto entry = queue_.begin(); entry != queue_.end() && entry->first < key; ++entry) {
        ahead += entry->second;
        ++calls_ahead;
    }
    const nanoseconds wait = std::max(wait_for_slot(ahead, slots), starts_.delay(calls_ahead, now));
    if (std::get<0>(key) == rank::nested || !serves_nested(now)) {
        return wait;
    }
    // Nested calls that arrive during the wait go first (Cobham, 1954).
    const double nested_share =
        recent_nested_seconds(now) / (nested_window.count() * std::max(1U, slots));
    return std::chrono::duration_cast<nanoseconds>(wait /
                                                   (1 - std::min(nested_share, max_nested_share)));
}

admission::nanoseconds admission::wait_for_slot(nanoseconds work, std::uint32_t slots) const
{
    // The first of n busy slots becomes free after about 1/n of the mean service time.
    return (work + overall_service_time_.mean) / std::max(1U, slots);
}

admission::nanoseconds admission::wait_behind_queue(time_point now) const
{
    nanoseconds ahead{0};
    std::size_t calls_ahead = 0;
    const bool nested_only = serves_nested(now);
    for (const std::pair<const queue_key, nanoseconds>& entry : queue_) {
        if (nested_only && std::get<0>(entry.first) != rank::nested) {
            break;
        }
        ahead += entry.second;
        ++calls_ahead;
    }
    return std::max(wait_for_slot(ahead, available_slots(now)), starts_.delay(calls_ahead, now));
}

admission::queue_key admission::queue_key_of(const call& queued)
{
    const admission_request& request = queued.request;
    const bool by_objective = request.objective != time_point() && !queued.late && !request.nested;
    const rank first = request.nested ? rank::nested : queued.late ? rank::late : rank::on_time;
    return {first, request.priority, queued.start_tag,
            by_objective ? request.objective : request.deadline, request.id};
}

void admission::set_start_tag(call& next)
{
    const admission_request& request = next.request;
    if (request.tenant == 0) {
        return;
    }
    const tenant_shares& shares = tenant_shares_[request.priority];
    const auto tag = shares.next_tags.find(request.tenant);
    next.start_tag = tag == shares.next_tags.end() ? shares.virtual_time
                                                   : std::max(shares.virtual_time, tag->second);
    const std::chrono::duration<double> service = expected_service_time(request.kind);
    next.cost = std::max(service.count(), min_cost_seconds);
}

void admission::charge_tenant(const call& queued)
{
    if (queued.request.tenant != 0) {
        tenant_shares_[queued.request.priority].next_tags[queued.request.tenant] =
            queued.start_tag + queued.cost;
    }
}

void admission::refund_tenant(const call& queued)
{
    if (queued.request.tenant == 0) {
        return;
    }
    tenant_shares& shares = tenant_shares_[queued.request.priority];
    const auto tag = shares.next_tags.find(queued.request.tenant);
    if (tag != shares.next_tags.end()) {
        tag->second = std::max(shares.virtual_time, tag->second - queued.cost);
    }
}

void admission::advance_tenants(const call& started)
{
    if (started.request.tenant == 0) {
        return;
    }
    tenant_shares& shares = tenant_shares_[started.request.priority];
    shares.virtual_time = std::max(shares.virtual_time, started.start_tag);
    if (shares.next_tags.size() > max_idle_tenants) {
        absl::erase_if(shares.next_tags,
                       [&shares](const std::pair<const std::uint32_t, double>& tag) {
                           return tag.second <= shares.virtual_time;
                       });
    }
}

double admission::recent_nested_seconds(time_point now) const
{
    return nested_seconds_ * std::exp(-((now - nested_updated_at_) / nested_window));
}

bool admission::serves_nested(time_point now) const
{
    return recent_nested_seconds(now) >
           min_nested_share * nested_window.count() * available_slots(now);
}

admission::nanoseconds admission::deviation_of(std::uint32_t kind) const
{
    const auto estimate = service_times_by_kind_.find(kind);
    return estimate == service_times_by_kind_.end() ? overall_service_time_.deviation
                                                    : estimate->second.deviation;
}

bool admission::can_meet_target(const call& queued, nanoseconds wait, time_point now) const
{
    const admission_request& request = queued.request;
    return request.objective == time_point() || request.nested ||
           now + wait + expected_service_time(request.kind) <= request.objective;
}

bool admission::accepts_late_calls(time_point now) const
{
    return static_cast<double>(queue_.size()) <
           options_.late_call_queue_per_slot * busy_slots_within_rate(now);
}

bool admission::take_probe(std::uint32_t kind, time_point now)
{
    service_time& estimate = service_times_by_kind_[kind];
    if (now - estimate.last_probe < options_.probe_period) {
        return false;
    }
    estimate.last_probe = now;
    return true;
}

bool admission::can_meet_deadline(const admission_request& request, nanoseconds wait,
                                  time_point now)
{
    if (request.deadline <= now) {
        return false;
    }
    if (running_ == 0 && queue_.empty() && wait.count() == 0) {
        return true;
    }
    const nanoseconds mean = expected_service_time(request.kind);
    const nanoseconds left = request.deadline - now;
    // With a free slot no margin is needed, as no other call waits for it.
    const int deviations = request.nested ? start_margin_deviations : queue_margin_deviations;
    const nanoseconds margin =
        wait.count() == 0 ? nanoseconds(0) : deviation_of(request.kind) * deviations;
    return wait + mean + margin <= left;
}

std::chrono::milliseconds admission::retry_after(time_point now) const
{
    if (state_ == upstream_state::gone || state_ == upstream_state::starting) {
        return std::max(options_.min_retry_after, unavailable_retry_after);
    }
    return std::max(options_.min_retry_after,
                    std::chrono::duration_cast<std::chrono::milliseconds>(wait_behind_queue(now)));
}

void admission::refuse(std::uint64_t id, refusal_reason reason, time_point now,
                       admission_actions& actions)
{
    actions.refused.push_back(admission_refusal{id, reason, retry_after(now)});
}

void admission::refuse_queue(refusal_reason reason, time_point now, admission_actions& actions)
{
    for (const std::pair<const queue_key, nanoseconds>& entry : queue_) {
        const std::uint64_t id = id_of(entry.first);
        refund_tenant(calls_.at(id));
        calls_.erase(id);
        refuse(id, reason, now, actions);
    }
    queue_.clear();
}

void admission::refuse_expired(time_point now, admission_actions& actions)
{
    const std::uint32_t slots = std::max(1U, available_slots(now));
    nanoseconds ahead{0};
    std::size_t calls_ahead = 0;
    for (auto entry = queue_.begin(); entry != queue_.end();) {
        const call& queued = calls_.at(id_of(entry->first));
        const nanoseconds wait =
            std::max(wait_for_slot(ahead, slots), starts_.delay(calls_ahead, now));
        const nanoseconds needed = wait + expected_service_time(queued.request.kind);
        const nanoseconds left = queued.request.deadline - now;
        const bool leaving = past_leaving_window(wait, now);
        if (left > nanoseconds(0) && !leaving && (queued.probe || needed <= left)) {
            ahead += entry->second;
            ++calls_ahead;
            ++entry;
            continue;
        }
        refusal_reason reason =
            left > nanoseconds(0) ? refusal_reason::too_late : refusal_reason::expired;
        if (leaving) {
            reason = refusal_reason::draining;
        }
        const std::uint64_t id = queued.request.id;
        refund_tenant(queued);
        calls_.erase(id);
        entry = queue_.erase(entry);
        refuse(id, reason, now, actions);
    }
}

bool admission::past_leaving_window(nanoseconds wait, time_point now) const
{
    return state_ == upstream_state::draining &&
           now + wait >= leaving_since_ + options_.leaving_window;
}

void admission::start_queued(time_point now, admission_actions& actions)
{
    if (past_leaving_window(nanoseconds(0), now)) {
        refuse_queue(refusal_reason::draining, now, actions);
        return;
    }
    const std::uint32_t slots = available_slots(now);
    while (running_ < slots && !queue_.empty() && starts_.delay(0, now).count() == 0) {
        const std::uint64_t id = id_of(queue_.begin()->first);
        queue_.erase(queue_.begin());
        call& next = calls_.at(id);
        if (!next.late && !can_meet_target(next, nanoseconds(0), now) && running_ > 0) {
            next.late = true;
            if (accepts_late_calls(now)) {
                queue_.emplace(queue_key_of(next), expected_service_time(next.request.kind));
                continue;
            }
            refund_tenant(next);
            calls_.erase(id);
            refuse(id, refusal_reason::too_late, now, actions);
            continue;
        }
        const auto estimate = service_times_by_kind_.find(next.request.kind);
        const nanoseconds margin = estimate == service_times_by_kind_.end()
                                       ? nanoseconds(0)
                                       : estimate->second.deviation * start_margin_deviations;
        const nanoseconds left = next.request.deadline - now;
        // The last queued call needs no margin, as no other call would use the slot.
        const nanoseconds needed =
            expected_service_time(next.request.kind) + (queue_.empty() ? nanoseconds(0) : margin);
        const bool must_run = next.probe || running_ == 0;
        if (left <= nanoseconds(0) || (needed > left && !must_run)) {
            refund_tenant(next);
            calls_.erase(id);
            refuse(id, left > nanoseconds(0) ? refusal_reason::too_late : refusal_reason::expired,
                   now, actions);
            continue;
        }
        starts_.try_take(now);
        advance_tenants(next);
        next.started = now;
        ++running_;
        actions.run.push_back(id);
    }
}

void admission::record_service_time(const call& ended, time_point now)
{
    const nanoseconds taken = now - ended.started;
    service_time& kind = service_times_by_kind_[ended.request.kind];
    kind.last_probe = now;
    for (service_time* estimate : {&kind, &overall_service_time_}) {
        if (estimate->samples++ == 0) {
            estimate->mean = taken;
            estimate->deviation = taken / 2;
            continue;
        }
        const nanoseconds error = taken - estimate->mean;
        const nanoseconds absolute_error = error.count() < 0 ? -error : error;
        estimate->mean += error / mean_divisor;
        estimate->deviation += (absolute_error - estimate->deviation) / deviation_divisor;
    }
    if (ended.request.nested) {
        nested_seconds_ = recent_nested_seconds(now) + std::chrono::duration<double>(taken).count();
        nested_updated_at_ = now;
    }
    update_recent_kinds(ended.request.kind, kind.mean);
}

void admission::update_recent_kinds(std::uint32_t kind, nanoseconds mean)
{
    const auto found = std::find_if(recent_kinds_.begin(), recent_kinds_.end(),
                                    [kind](const kind_time& entry) { return entry.kind == kind; });
    // The latest kind comes first, so that the least recently used one is replaced by a new kind.
    const auto last = found == recent_kinds_.end() ? std::prev(recent_kinds_.end()) : found;
    std::move_backward(recent_kinds_.begin(), last, std::next(last));
    recent_kinds_.front() = {kind, mean, nanoseconds(0)};
}

} // namespace agatespread
