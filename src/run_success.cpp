#include <agatespread/admission.h>
#include <agatespread/run_success.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// With fewer runs, one random failure would exceed the tolerated share several times.
constexpr std::uint64_t min_runs = 20;

// Of the upstreams that would see failures at random, how many must see some.
constexpr double min_spread = 0.5;

// After a fall, room for the variation of demand and of the results.
constexpr double fall_margin = 0.97;

// Within this time after the share became low, the reports are of runs admitted before.
constexpr milliseconds futile_evidence = std::chrono::seconds(3);

// Refused callers come back over this time: soon, while their objective can still be met, and later
// the more of them are refused. A third of the usual deadline of 3 s is the longest they wait.
constexpr milliseconds min_retry_after{100};
constexpr milliseconds shallow_spread{300};
constexpr milliseconds deep_spread{900};

// Parts of the time in which arrivals and samples of the idle upstream are counted, and which of
// them, before and after, tell how often it is idle: 1 s to 2.5 s away, as most runs are shorter.
constexpr milliseconds idle_part{500};
constexpr std::int64_t nearest_part = 2;
constexpr std::int64_t farthest_part = 5;
constexpr double min_samples = 10;

// Arrivals count for about this time, so that a rule's change of use shows.
constexpr std::chrono::duration<double> arrival_half_life = std::chrono::seconds(30);

// If arrivals did not depend on runs, with 8 expected idle arrivals at most 0.8 would be seen in 3
// of 10,000 cases. Calls whose run ended early, such as at its deadline, arrive later.
constexpr double min_expected_arrivals = 8;
constexpr double max_idle_share = 0.1;

constexpr double hundredths = 100;

std::uint32_t to_hundredths(double value)
{
    return static_cast<std::uint32_t>(std::lround(std::min(value, 1e7) * hundredths));
}

} // namespace

std::int64_t run_log::part_of(time_point now)
{
    return now.time_since_epoch() / part_length;
}

void run_log::make_room()
{
    if (rules_.size() <= max_reported_rules) {
        return;
    }
    const auto oldest =
        std::min_element(rules_.begin(), rules_.end(), [](const auto& left, const auto& right) {
            return left.second.last_part < right.second.last_part;
        });
    rules_.erase(oldest);
}

void run_log::add(std::uint32_t kind, bool failed, time_point now)
{
    rule_counts& counts = rules_[kind];
    const std::int64_t part = part_of(now);
    const std::int64_t first_unused =
        std::max(counts.last_part + 1, part - static_cast<std::int64_t>(parts) + 1);
    for (std::int64_t next = first_unused; next <= part; ++next) {
        counts.recent[static_cast<std::size_t>(next) % parts] = {};
    }
    counts.last_part = part;
    run_count& current = counts.recent[static_cast<std::size_t>(part) % parts];
    ++current.ended;
    current.failed += failed ? 1 : 0;
    make_room();
}

run_count run_log::sum(const rule_counts& counts, time_point now)
{
    run_count total;
    const std::int64_t oldest = part_of(now) - static_cast<std::int64_t>(parts) + 1;
    const std::int64_t first =
        std::max(oldest, counts.last_part - static_cast<std::int64_t>(parts) + 1);
    for (std::int64_t part = first; part <= counts.last_part; ++part) {
        const run_count& each = counts.recent[static_cast<std::size_t>(part) % parts];
        total.ended += each.ended;
        total.failed += each.failed;
    }
    return total;
}

run_count run_log::count(std::uint32_t kind, time_point now) const
{
    const auto found = rules_.find(kind);
    return found == rules_.end() ? run_count() : sum(found->second, now);
}

std::vector<rule_results> run_log::recent(time_point now) const
{
    std::vector<rule_results> results;
    for (const std::pair<const std::uint32_t, rule_counts>& rule : rules_) {
        const run_count total = sum(rule.second, now);
        if (total.ended > 0) {
            results.push_back({rule.first, static_cast<std::uint32_t>(total.ended),
                               static_cast<std::uint32_t>(total.failed), 0, 0});
        }
    }
    return results;
}

void call_failures::add(std::string reason, time_point now)
{
    reason_ = std::move(reason);
    failed_at_ = now;
}

std::string_view call_failures::latest_since(time_point since) const
{
    return failed_at_ >= since ? std::string_view(reason_) : std::string_view();
}

bool is_refused_for_load(std::string_view reason)
{
    constexpr std::array<refusal_reason, 4> reasons = {
        refusal_reason::too_late, refusal_reason::queue_full, refusal_reason::shed,
        refusal_reason::expired};
    return std::any_of(reasons.begin(), reasons.end(),
                       [reason](refusal_reason each) { return name_of(each) == reason; });
}

std::optional<double> widespread_failures(const std::vector<run_count>& by_upstream)
{
    run_count total;
    double failing = 0;
    for (const run_count& each : by_upstream) {
        total.ended += each.ended;
        total.failed += each.failed;
        failing += each.failed > 0 ? 1 : 0;
    }
    if (total.ended < min_runs) {
        return std::nullopt;
    }
    const double share = static_cast<double>(total.failed) / static_cast<double>(total.ended);
    double expected_failing = 0;
    for (const run_count& each : by_upstream) {
        expected_failing += 1 - std::pow(1 - share, static_cast<double>(each.ended));
    }
    return failing >= min_spread * expected_failing ? share : 0;
}

double run_share::share_at_admission(time_point now) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const std::pair<time_point, double>& each : history_) {
        if (each.first >= now - options_.earliest_admission &&
            each.first <= now - options_.latest_admission) {
            sum += each.second;
            ++count;
        }
    }
    return count == 0 ? share_ : sum / static_cast<double>(count);
}

bool run_share::is_futile(double failures, time_point now) const
{
    return share_ <= options_.futile_share && now - lowest_since_ >= futile_evidence &&
           failures >= options_.futile_failures * worst_failures_;
}

void run_share::fall(double failures, time_point now)
{
    const double admitted = share_at_admission(now);
    worst_failures_ = std::max(worst_failures_, failures);
    if (is_futile(failures, now)) {
        share_ = 1;
        limit_ = 1;
        worst_failures_ = 0;
        paused_until_ = now + options_.futile_pause;
        return;
    }
    limit_ = admitted;
    share_ =
        std::max(options_.min_share, std::min(share_, admitted * (1 - failures) * fall_margin));
}

void run_share::rise(double seconds)
{
    const bool near = share_ >= limit_ * options_.near_limit;
    const bool past = share_ > limit_ * options_.past_limit;
    const double rate = near && !past ? options_.slow_rise : options_.fast_rise;
    share_ = std::min(1.0, share_ * (1 + rate * seconds));
    if (share_ == 1) {
        worst_failures_ = 0;
    }
}

void run_share::update(std::optional<double> failures, time_point now)
{
    const bool first = updated_at_ == time_point();
    const std::chrono::duration<double> elapsed = first ? options_.step : now - updated_at_;
    updated_at_ = now;
    if (share_ > options_.futile_share) {
        lowest_since_ = now;
    }
    if (failures && *failures > options_.tolerated_failures && now >= paused_until_) {
        fall(*failures, now);
    }
    else {
        rise(elapsed.count());
    }
    history_.emplace_back(now, share_);
    while (history_.front().first < now - options_.earliest_admission) {
        history_.pop_front();
    }
}

bool run_share::admit()
{
    credit_ = std::min(credit_ + share_, 2.0);
    // The sum of many shares of 1 must not fall short of 1 by rounding.
    constexpr double rounding = 1e-9;
    if (credit_ < 1 - rounding) {
        return false;
    }
    credit_ -= 1;
    return true;
}

milliseconds run_share::retry_after(double position) const
{
    const milliseconds spread = std::chrono::duration_cast<milliseconds>(
        shallow_spread + (deep_spread - shallow_spread) * (1 - share_));
    return min_retry_after + std::chrono::duration_cast<milliseconds>(spread * position);
}

nested_rules::part& nested_rules::part_at(time_point now)
{
    const std::int64_t number = now.time_since_epoch() / idle_part;
    if (parts_.empty() || parts_.back().number < number) {
        parts_.push_back({});
        parts_.back().number = number;
        while (parts_.front().number < number - 2 * farthest_part - 1) {
            parts_.pop_front();
        }
        for (const part& each : parts_) {
            if (each.number == number - farthest_part - 1) {
                evaluate(each, now);
            }
        }
    }
    return parts_.back();
}

double nested_rules::idle_share(std::int64_t first, std::int64_t last) const
{
    double samples = 0;
    double idle = 0;
    for (const part& each : parts_) {
        if (each.number >= first && each.number <= last) {
            samples += each.samples;
            idle += each.idle_samples;
        }
    }
    return samples < min_samples ? 0 : idle / samples;
}

void nested_rules::evaluate(const part& subject, time_point now)
{
    const double before = idle_share(subject.number - farthest_part, subject.number - nearest_part);
    const double after = idle_share(subject.number + nearest_part, subject.number + farthest_part);
    for (const std::pair<const std::uint32_t, arrival_count>& each : subject.arrivals) {
        if (rules_.count(each.first) == 0 && rules_.size() >= max_reported_rules) {
            rules_.erase(std::min_element(
                rules_.begin(), rules_.end(), [](const auto& left, const auto& right) {
                    return left.second.updated_at < right.second.updated_at;
                }));
        }
        rule_arrivals& rule = rules_[each.first];
        rule.counts = decayed(rule, now);
        rule.counts.expected += each.second.all * std::min(before, after);
        rule.counts.seen += each.second.idle;
        rule.updated_at = now;
    }
}

void nested_rules::sample(bool running, time_point now)
{
    part& current = part_at(now);
    ++current.samples;
    current.idle_samples += running ? 0 : 1;
}

idle_arrivals nested_rules::decayed(const rule_arrivals& arrivals, time_point now)
{
    const double factor = std::exp2(-((now - arrivals.updated_at) / arrival_half_life));
    return {arrivals.counts.expected * factor, arrivals.counts.seen * factor};
}

void nested_rules::add(std::uint32_t kind, bool running, time_point now)
{
    part& current = part_at(now);
    if (current.arrivals.count(kind) == 0 && current.arrivals.size() >= max_reported_rules) {
        return;
    }
    arrival_count& count = current.arrivals[kind];
    ++count.all;
    count.idle += running ? 0 : 1;
}

idle_arrivals nested_rules::count(std::uint32_t kind, time_point now) const
{
    const auto found = rules_.find(kind);
    return found == rules_.end() ? idle_arrivals() : decayed(found->second, now);
}

void nested_rules::add_to(std::vector<rule_results>& results, time_point now) const
{
    for (const std::pair<const std::uint32_t, rule_arrivals>& rule : rules_) {
        auto found =
            std::find_if(results.begin(), results.end(),
                         [&rule](const rule_results& each) { return each.kind == rule.first; });
        if (found == results.end()) {
            results.push_back({});
            found = std::prev(results.end());
            found->kind = rule.first;
        }
        const idle_arrivals counts = decayed(rule.second, now);
        found->expected_idle = to_hundredths(counts.expected);
        found->seen_idle = to_hundredths(counts.seen);
    }
    if (results.size() > max_reported_rules) {
        results.resize(max_reported_rules);
    }
}

bool nested_rules::is_nested(const idle_arrivals& at_all_nodes)
{
    return at_all_nodes.expected >= min_expected_arrivals &&
           at_all_nodes.seen <= max_idle_share * at_all_nodes.expected;
}

} // namespace agatespread
