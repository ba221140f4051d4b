#include <agatespread/repeat_budget.h>

#include <algorithm>

namespace agatespread {

repeat_budget::repeat_budget(const repeat_budget_options& options) : options_(options)
{
}

repeat_budget::usage& repeat_budget::usage_of(std::string_view service, time_point now)
{
    usage& used = services_[std::string(service)];
    advance(used, now);
    return used;
}

void repeat_budget::advance(usage& used, time_point now) const
{
    const std::int64_t slot =
        now.time_since_epoch() / std::chrono::duration_cast<time_point::duration>(
                                     options_.window / static_cast<std::int64_t>(slots_per_window));
    const std::int64_t elapsed =
        std::min(slot - used.current, static_cast<std::int64_t>(kept_slots));
    for (std::int64_t step = 0; step < elapsed; ++step) {
        const std::size_t index = static_cast<std::size_t>(slot - step) % kept_slots;
        used.requests[index] = 0;
        used.repeats[index] = 0;
    }
    used.current = std::max(used.current, slot);
}

void repeat_budget::count_request(std::string_view service, time_point now)
{
    usage& used = usage_of(service, now);
    ++used.requests[static_cast<std::size_t>(used.current) % kept_slots];
}

bool repeat_budget::try_acquire(std::string_view service, repeat_reason reason, std::size_t nodes,
                                time_point now)
{
    usage& used = usage_of(service, now);
    if (!permits(used, reason, nodes)) {
        return false;
    }
    ++used.repeats[static_cast<std::size_t>(used.current) % kept_slots];
    return true;
}

bool repeat_budget::allows(std::string_view service, repeat_reason reason, std::size_t nodes,
                           time_point now) const
{
    const auto found = services_.find(std::string(service));
    usage used = found == services_.end() ? usage() : found->second;
    advance(used, now);
    return permits(used, reason, nodes);
}

bool repeat_budget::permits(const usage& used, repeat_reason reason, std::size_t nodes) const
{
    // A sliding window may begin anywhere in a slot. Repeats are counted over one slot more than a
    // window, which covers all of it. Requests are counted over the current, partial slot and the
    // full slots before it that lie inside the window.
    std::uint64_t repeats = 0;
    std::uint64_t requests = 0;
    for (std::size_t age = 0; age <= slots_per_window; ++age) {
        const std::size_t index =
            static_cast<std::size_t>(used.current - static_cast<std::int64_t>(age)) % kept_slots;
        repeats += used.repeats[index];
        requests += age < slots_per_window ? used.requests[index] : 0;
    }
    const double slack = options_.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double share = reason == repeat_reason::lost      ? options_.lost_share
                         : reason == repeat_reason::failure ? options_.failure_share
                                                            : options_.slow_share;
    const double limit = share * (options_.ratio * static_cast<double>(requests) + slack);
    return static_cast<double>(repeats + 1) <= limit;
}

} // namespace agatespread
