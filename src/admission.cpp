#include <agatespread/admission.h>

#include <algorithm>
#include <iterator>

namespace agatespread {

namespace {

// Calls enter the queue only with a margin of three mean deviations over the mean service time:
// 4 % of exponentially distributed service times exceed it.
constexpr int offer_margin = 3;

// Calls that reach the head of the queue need a smaller margin, because their wait is known.
constexpr int start_margin = 1;

// Weight of a new service time: an eighth for the mean and a quarter for the deviation, as in the
// estimator of TCP's retransmission timer.
constexpr int mean_weight = 8;
constexpr int deviation_weight = 4;

constexpr std::chrono::milliseconds unavailable_retry_after = std::chrono::seconds(1);

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
    state_ = state;
    slots_ = slots;
    admission_actions actions;
    if (state == upstream_state::gone) {
        refuse_queue(refusal_reason::unavailable, now, actions);
    }
    fill(now, actions);
    return actions;
}

admission_actions admission::offer(const admission_request& request, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    admission_actions actions;
    if (state_ != upstream_state::ready) {
        const bool leaving = state_ == upstream_state::draining;
        refuse(request.id, leaving ? refusal_reason::draining : refusal_reason::unavailable, now,
               actions);
        return actions;
    }
    call entering{request, time_point(), false, false};
    entering.late = !meets_target(entering, expected_wait(place_of(entering), now), now);
    if (entering.late && !late_calls_fit(now)) {
        refuse(request.id, refusal_reason::too_late, now, actions);
        return actions;
    }
    const order place = place_of(entering);
    const bool fits_in_time = fits(request, place, now);
    const bool probe = !fits_in_time && request.deadline > now && take_probe(request.kind, now);
    if (!fits_in_time && !probe) {
        refuse(request.id, refusal_reason::too_late, now, actions);
        return actions;
    }
    if (queue_.size() >= options_.queue_length) {
        if (queue_.empty() || queue_.rbegin()->first < place) {
            refuse(request.id, refusal_reason::queue_full, now, actions);
            return actions;
        }
        const std::uint64_t least_urgent = std::get<3>(queue_.rbegin()->first);
        queue_.erase(std::prev(queue_.end()));
        calls_.erase(least_urgent);
        refuse(least_urgent, refusal_reason::shed, now, actions);
    }
    queue_.emplace(place, expected_duration(request.kind));
    entering.probe = probe;
    calls_[request.id] = entering;
    fill(now, actions);
    drop_late(now, actions);
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
    // An incomplete call still shows that the service time is at least this long.
    if (completed || now - found->second.started > overall_.mean) {
        record(found->second, now);
    }
    calls_.erase(found);
    --running_;
    fill(now, actions);
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
        queue_.erase(place_of(found->second));
    }
    else {
        --running_;
    }
    calls_.erase(found);
    fill(now, actions);
    return actions;
}

admission_actions admission::expire(time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    admission_actions actions;
    fill(now, actions);
    drop_late(now, actions);
    return actions;
}

admission_load admission::load(time_point now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::uint32_t slots = open_slots(now);
    nanoseconds queued{0};
    for (const std::pair<const order, nanoseconds>& each : queue_) {
        queued += each.second;
    }
    const bool free = running_ < slots && queue_.empty();
    return admission_load{
        running_,      static_cast<std::uint32_t>(queue_.size()),          slots,
        overall_.mean, free ? nanoseconds(0) : wait_behind(queued, slots), kinds_};
}

bool admission::idle() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_.empty();
}

std::uint32_t admission::open_slots(time_point now) const
{
    if (slots_ == 0 || state_ == upstream_state::gone || state_ == upstream_state::starting) {
        return 0;
    }
    const std::chrono::duration<double> ready_for = now - ready_since_;
    const std::chrono::duration<double> ramp = options_.ramp;
    const double progress = ramp.count() > 0 ? std::clamp(ready_for / ramp, 0.0, 1.0) : 1.0;
    const double share = options_.ramp_start + (1 - options_.ramp_start) * progress;
    return std::max(1U, static_cast<std::uint32_t>(slots_ * share));
}

admission::nanoseconds admission::expected_duration(std::uint32_t kind) const
{
    const auto found = times_.find(kind);
    return found == times_.end() ? overall_.mean : found->second.mean;
}

admission::nanoseconds admission::expected_wait(const order& place, time_point now) const
{
    const std::uint32_t slots = open_slots(now);
    if (running_ < slots && queue_.empty()) {
        return nanoseconds(0);
    }
    nanoseconds ahead{0};
    for (auto each = queue_.begin(); each != queue_.end() && each->first < place; ++each) {
        ahead += each->second;
    }
    return wait_behind(ahead, slots);
}

admission::nanoseconds admission::wait_behind(nanoseconds work, std::uint32_t slots) const
{
    // The first slot becomes free after about a mean call over the number of slots.
    return (work + overall_.mean) / std::max(1U, slots);
}

admission::order admission::place_of(const call& queued)
{
    const admission_request& request = queued.request;
    const bool by_target = request.target != time_point() && !queued.late;
    return {queued.late, request.priority, by_target ? request.target : request.deadline,
            request.id};
}

bool admission::meets_target(const call& queued, nanoseconds wait, time_point now) const
{
    const admission_request& request = queued.request;
    return request.target == time_point() ||
           now + wait + expected_duration(request.kind) <= request.target;
}

bool admission::late_calls_fit(time_point now) const
{
    return static_cast<double>(queue_.size()) < options_.late_queue * open_slots(now);
}

bool admission::take_probe(std::uint32_t kind, time_point now)
{
    service_time& known = times_[kind];
    if (now - known.last_probe < options_.probe_period) {
        return false;
    }
    known.last_probe = now;
    return true;
}

bool admission::fits(const admission_request& request, const order& place, time_point now)
{
    if (request.deadline <= now) {
        return false;
    }
    if (running_ == 0 && queue_.empty()) {
        return true;
    }
    const nanoseconds mean = expected_duration(request.kind);
    const nanoseconds left = request.deadline - now;
    const nanoseconds wait = expected_wait(place, now);
    // With a free slot there is nothing better to run, so a likely success is enough.
    const auto known = times_.find(request.kind);
    const nanoseconds deviation =
        known == times_.end() ? overall_.deviation : known->second.deviation;
    const nanoseconds margin = wait.count() == 0 ? nanoseconds(0) : deviation * offer_margin;
    return wait + mean + margin <= left;
}

std::chrono::milliseconds admission::retry_after(time_point now) const
{
    if (state_ == upstream_state::gone || state_ == upstream_state::starting) {
        return std::max(options_.min_retry_after, unavailable_retry_after);
    }
    nanoseconds queued{0};
    for (const std::pair<const order, nanoseconds>& each : queue_) {
        queued += each.second;
    }
    return std::max(options_.min_retry_after, std::chrono::duration_cast<std::chrono::milliseconds>(
                                                  wait_behind(queued, open_slots(now))));
}

void admission::refuse(std::uint64_t id, refusal_reason reason, time_point now,
                       admission_actions& actions)
{
    actions.refused.push_back(admission_refusal{id, reason, retry_after(now)});
}

void admission::refuse_queue(refusal_reason reason, time_point now, admission_actions& actions)
{
    for (const std::pair<const order, nanoseconds>& each : queue_) {
        const std::uint64_t id = std::get<3>(each.first);
        calls_.erase(id);
        refuse(id, reason, now, actions);
    }
    queue_.clear();
}

void admission::drop_late(time_point now, admission_actions& actions)
{
    const std::uint32_t slots = std::max(1U, open_slots(now));
    nanoseconds ahead{0};
    for (auto place = queue_.begin(); place != queue_.end();) {
        const call& queued = calls_.at(std::get<3>(place->first));
        const nanoseconds needed =
            wait_behind(ahead, slots) + expected_duration(queued.request.kind);
        const nanoseconds left = queued.request.deadline - now;
        if (left > nanoseconds(0) && (queued.probe || needed <= left)) {
            ahead += place->second;
            ++place;
            continue;
        }
        const refusal_reason reason =
            left > nanoseconds(0) ? refusal_reason::too_late : refusal_reason::expired;
        const std::uint64_t id = queued.request.id;
        calls_.erase(id);
        place = queue_.erase(place);
        refuse(id, reason, now, actions);
    }
}

void admission::fill(time_point now, admission_actions& actions)
{
    const std::uint32_t slots = open_slots(now);
    while (running_ < slots && !queue_.empty()) {
        const std::uint64_t id = std::get<3>(queue_.begin()->first);
        queue_.erase(queue_.begin());
        call& next = calls_.at(id);
        if (!next.late && !meets_target(next, nanoseconds(0), now) && running_ > 0) {
            next.late = true;
            if (late_calls_fit(now)) {
                queue_.emplace(place_of(next), expected_duration(next.request.kind));
                continue;
            }
            calls_.erase(id);
            refuse(id, refusal_reason::too_late, now, actions);
            continue;
        }
        const auto known = times_.find(next.request.kind);
        const nanoseconds margin =
            known == times_.end() ? nanoseconds(0) : known->second.deviation * start_margin;
        const nanoseconds left = next.request.deadline - now;
        // The last queued call runs without a margin, as nothing else would use the slot.
        const nanoseconds needed =
            expected_duration(next.request.kind) + (queue_.empty() ? nanoseconds(0) : margin);
        const bool must_run = next.probe || running_ == 0;
        if (left <= nanoseconds(0) || (needed > left && !must_run)) {
            calls_.erase(id);
            refuse(id, left > nanoseconds(0) ? refusal_reason::too_late : refusal_reason::expired,
                   now, actions);
            continue;
        }
        next.started = now;
        ++running_;
        actions.run.push_back(id);
    }
}

void admission::record(const call& ended, time_point now)
{
    const nanoseconds taken = now - ended.started;
    service_time& kind = times_[ended.request.kind];
    kind.last_probe = now;
    for (service_time* known : {&kind, &overall_}) {
        if (known->samples++ == 0) {
            known->mean = taken;
            known->deviation = taken / 2;
            continue;
        }
        const nanoseconds error = taken - known->mean;
        const nanoseconds distance = error.count() < 0 ? -error : error;
        known->mean += error / mean_weight;
        known->deviation += (distance - known->deviation) / deviation_weight;
    }
    note_kind(ended.request.kind, kind.mean);
}

void admission::note_kind(std::uint32_t kind, nanoseconds mean)
{
    const auto known = std::find_if(kinds_.begin(), kinds_.end(),
                                    [kind](const kind_time& each) { return each.kind == kind; });
    // The latest kind goes first, so that one that comes no more is replaced by a new one.
    const auto last = known == kinds_.end() ? std::prev(kinds_.end()) : known;
    std::move_backward(kinds_.begin(), last, std::next(last));
    kinds_.front() = {kind, mean, nanoseconds(0)};
}

} // namespace agatespread
