#include <agatespread/second_attempt.h>

#include <algorithm>

namespace agatespread {

namespace {

using std::chrono::nanoseconds;

// With 64 times, three lie above the 95th percentile, so that a single one does not decide.
constexpr std::size_t min_times = 64;

// The quantiles are computed once in this number of responses.
constexpr std::size_t update_interval = 8;

// Attempts before most upstreams may count as slow.
constexpr std::size_t min_results = 10;

// Pairs of a service and a kind. Configurations have a few dozen rules; those of earlier versions
// are replaced.
constexpr std::size_t max_measured = 256;

repeat_budget_options limit_of(const second_attempt_options& options)
{
    repeat_budget_options limit;
    limit.ratio = options.share;
    limit.slack = 0;
    limit.window = options.window;
    limit.slow_share = 1;
    return limit;
}

std::int64_t free_slots(const placement_candidate& candidate)
{
    const reported_load& load = candidate.load;
    const std::int64_t taken =
        static_cast<std::int64_t>(load.running) + load.queued + candidate.sent_since_report;
    return std::max<std::int64_t>(static_cast<std::int64_t>(load.slots) - taken, 0);
}

bool short_of_slots(const std::vector<placement_candidate>& others, double min_free_share)
{
    std::int64_t slots = 0;
    std::int64_t free = 0;
    for (const placement_candidate& each : others) {
        slots += each.load.slots;
        free += free_slots(each);
    }
    return free == 0 || static_cast<double>(free) < min_free_share * static_cast<double>(slots);
}

} // namespace

std::string_view name_of(second_refusal refusal)
{
    constexpr std::array<std::string_view, 12> names = {
        "off",      "not_idempotent", "suspect",     "attempts", "unmeasured",   "slow_upstreams",
        "deadline", "no_slots",       "no_upstream", "share",    "retry_budget", "stopping"};
    return names[static_cast<std::size_t>(refusal)];
}

second_attempts::second_attempts(const second_attempt_options& options)
    : options_(options), limit_(limit_of(options))
{
}

void second_attempts::count_request(std::string_view service, time_point now)
{
    if (enabled()) {
        limit_.count_request(service, now);
    }
}

second_attempts::measured& second_attempts::times_of(std::string_view service, std::uint32_t kind)
{
    const key name(std::string(service), kind);
    if (times_.size() >= max_measured && times_.count(name) == 0) {
        times_.erase(std::min_element(times_.begin(), times_.end(),
                                      [](const std::pair<const key, measured>& left,
                                         const std::pair<const key, measured>& right) {
                                          return left.second.last_used < right.second.last_used;
                                      }));
    }
    measured& known = times_[name];
    known.last_used = ++uses_;
    return known;
}

const second_attempts::measured* second_attempts::find(std::string_view service,
                                                       std::uint32_t kind) const
{
    const auto found = times_.find(key(std::string(service), kind));
    return found == times_.end() ? nullptr : &found->second;
}

void second_attempts::record(std::string_view service, std::uint32_t kind, nanoseconds taken,
                             bool overdue)
{
    if (!enabled()) {
        return;
    }
    measured& known = times_of(service, kind);
    known.times[known.recorded++ % kept_times] = taken;
    if (!overdue) {
        known.overdue[known.results++ % kept_results] = false;
    }
    if (known.recorded >= min_times && known.recorded % update_interval == 0) {
        update_quantiles(known);
    }
}

void second_attempts::record_overdue(std::string_view service, std::uint32_t kind)
{
    measured& known = times_of(service, kind);
    known.overdue[known.results++ % kept_results] = true;
}

void second_attempts::update_quantiles(measured& known) const
{
    std::array<nanoseconds, kept_times> sorted = known.times;
    const std::size_t count = std::min(known.recorded, kept_times);
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count));
    const std::size_t above =
        static_cast<std::size_t>(options_.quantile * static_cast<double>(count));
    known.percentile = sorted[std::min(above, count - 1)];
    known.median = sorted[count / 2];
}

std::optional<nanoseconds> second_attempts::delay(std::string_view service,
                                                  std::uint32_t kind) const
{
    const measured* const known = find(service, kind);
    if (known == nullptr || known->percentile.count() == 0) {
        return std::nullopt;
    }
    return std::max<nanoseconds>(known->percentile, options_.min_delay);
}

bool second_attempts::most_are_slow(const measured& known) const
{
    const std::size_t count = std::min(known.results, kept_results);
    const std::ptrdiff_t overdue = std::count(
        known.overdue.begin(), known.overdue.begin() + static_cast<std::ptrdiff_t>(count), true);
    return count >= min_results &&
           static_cast<double>(overdue) > options_.slow_share * static_cast<double>(count);
}

std::optional<second_refusal>
second_attempts::refuse(const second_attempt_request& request,
                        const std::vector<placement_candidate>& others, time_point now) const
{
    if (!enabled()) {
        return second_refusal::off;
    }
    if (!request.idempotent) {
        return second_refusal::not_idempotent;
    }
    if (request.suspect) {
        return second_refusal::suspect;
    }
    if (request.attempts >= request.max_attempts) {
        return second_refusal::attempts;
    }
    const measured* const known = find(request.service, request.kind);
    if (known == nullptr || known->percentile.count() == 0) {
        return second_refusal::unmeasured;
    }
    if (request.time_left < known->median) {
        return second_refusal::deadline;
    }
    if (most_are_slow(*known)) {
        return second_refusal::slow_upstreams;
    }
    if (others.empty()) {
        return second_refusal::no_upstream;
    }
    if (short_of_slots(others, options_.min_free_share)) {
        return second_refusal::no_slots;
    }
    // The share is not split between nodes, as each counts only its own requests.
    if (!limit_.allows(request.service, repeat_reason::slow, 1, now)) {
        return second_refusal::share;
    }
    return std::nullopt;
}

void second_attempts::charge(std::string_view service, time_point now)
{
    limit_.try_acquire(service, repeat_reason::slow, 1, now);
}

std::vector<std::size_t> second_candidates(const std::vector<placement_candidate>& others)
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    for (std::size_t index = 0; index < others.size(); ++index) {
        if (free_slots(others[index]) > 0) {
            (others[index].local_domain ? local : remote).push_back(index);
        }
    }
    return local.empty() ? remote : local;
}

} // namespace agatespread
