#include <agatespread/rollout.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace agatespread {

namespace {

using json = nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Failures that an upstream is allowed above those of the old version: a version with fewer is no
// reason to stop a rollout, and new connections lose a few requests.
constexpr double allowed_failure_share = 0.004;
constexpr double allowed_failure_ratio = 1.25;

// Assumed of an old version that has served too little to be compared with.
constexpr double unknown_failure_share = 0.05;
constexpr std::uint64_t min_old_responses = 20;

// Probability by chance of as many failures as were seen. It is small during the trial because the
// verdict is asked for ten times a second, and larger at its end, where it is asked for once.
constexpr double early_chance = 2e-5;
constexpr double last_chance = 3e-3;
constexpr std::uint64_t early_failures = 4;
constexpr std::uint64_t last_failures = 3;

// With fewer responses at the end of the trial there was too little traffic to judge.
constexpr std::uint64_t min_responses = 100;

// Mean times above this ratio to the old version's count as slow.
constexpr double slow_ratio = 2;
constexpr double early_time_deviations = 4;
constexpr double last_time_deviations = 3;
constexpr std::uint64_t min_timed_responses = 8;

// Relative standard deviation of the times of one kind at one upstream, and of the speeds of
// upstreams (0.5 to 1.7).
constexpr double time_variation = 1;
constexpr double speed_variation = 0.3;

// Snapshots in one window of recent results.
constexpr int snapshots_per_window = 4;

// Time that remains for the answer to an order when its last step is due; the share is for short
// orders. The platform may take 2 s to store a row.
constexpr milliseconds answer_time = std::chrono::seconds(3);
constexpr int max_answer_share = 4;

constexpr int max_phase = static_cast<int>(rollout_phase::rolled_back);

/// Returns the probability of at least `failed` of `answered` with the given share.
double chance_of(std::uint64_t failed, std::uint64_t answered, double share)
{
    const double trials = static_cast<double>(answered);
    if (static_cast<double>(failed) <= trials * share) {
        return 1;
    }
    double sum = 0;
    for (std::uint64_t count = failed; count <= answered; ++count) {
        const double successes = static_cast<double>(count);
        const double log_of_term = std::lgamma(trials + 1) - std::lgamma(successes + 1) -
                                   std::lgamma(trials - successes + 1) +
                                   successes * std::log(share) +
                                   (trials - successes) * std::log1p(-share);
        const double term = std::exp(log_of_term);
        sum += term;
        if (term <= sum * 1e-9) {
            break;
        }
    }
    return sum;
}

/// Returns the share of failures that a version may have beside the old one.
double allowed_share(std::uint64_t answered, std::uint64_t failed)
{
    if (answered < min_old_responses) {
        return unknown_failure_share;
    }
    // Two failures are added (Agresti and Coull, 1998), as few responses without a failure prove
    // little.
    const double trials = static_cast<double>(answered) + 4;
    const double share = (static_cast<double>(failed) + 2) / trials;
    const double deviation = std::sqrt(share * (1 - share) / trials);
    return std::min((share + 2 * deviation) * allowed_failure_ratio + allowed_failure_share, 0.99);
}

bool fails_more(std::uint64_t answered, std::uint64_t failed, double allowed, bool last)
{
    return failed >= (last ? last_failures : early_failures) &&
           chance_of(failed, answered, allowed) < (last ? last_chance : early_chance);
}

double mean_of(const kind_results& kind)
{
    return static_cast<double>(kind.total_time.count()) / static_cast<double>(kind.timed);
}

bool is_slow(const kind_results& fresh, std::size_t fresh_upstreams, const kind_results& old,
             std::size_t old_upstreams, bool last)
{
    if (fresh.timed < min_timed_responses || old.timed < min_old_responses ||
        old.total_time.count() == 0) {
        return false;
    }
    const double log_ratio = std::log(std::max(mean_of(fresh), 1.0) / mean_of(old));
    const double of_responses =
        time_variation * time_variation *
        (1 / static_cast<double>(fresh.timed) + 1 / static_cast<double>(old.timed));
    const double of_upstreams =
        speed_variation * speed_variation *
        (1 / static_cast<double>(std::max<std::size_t>(fresh_upstreams, 1)) +
         1 / static_cast<double>(std::max<std::size_t>(old_upstreams, 1)));
    const double deviations = last ? last_time_deviations : early_time_deviations;
    return log_ratio > std::log(slow_ratio) &&
           log_ratio > deviations * std::sqrt(of_responses + of_upstreams);
}

const kind_results& kind_of_results(const upstream_results& results, std::uint32_t kind)
{
    static const kind_results none;
    const auto found = std::find_if(results.kinds.begin(), results.kinds.end(),
                                    [kind](const kind_results& each) { return each.kind == kind; });
    return found == results.kinds.end() ? none : *found;
}

/// Returns the results of a kind, which is added if there is room; null otherwise.
kind_results* find_or_add(upstream_results& results, std::uint32_t kind)
{
    for (kind_results& each : results.kinds) {
        if (each.kind == kind) {
            return &each;
        }
    }
    if (results.kinds.size() >= max_result_kinds) {
        return nullptr;
    }
    results.kinds.push_back({kind, 0, 0, 0, microseconds(0)});
    return &results.kinds.back();
}

/// Returns whether counts are lower than before, as after a restart of the upstream's node.
bool has_fallen(const upstream_results& now, const upstream_results& before)
{
    if (now.answered < before.answered || now.failed < before.failed) {
        return true;
    }
    return std::any_of(before.kinds.begin(), before.kinds.end(), [&now](const kind_results& each) {
        const kind_results& current = kind_of_results(now, each.kind);
        return current.answered < each.answered || current.failed < each.failed ||
               current.timed < each.timed || current.total_time < each.total_time;
    });
}

std::string describe(const char* what, std::uint64_t fresh, std::uint64_t of_fresh,
                     std::uint64_t old, std::uint64_t of_old)
{
    return fmt::format("{}: new {}/{}, old {}/{}", what, fresh, of_fresh, old, of_old);
}

std::tuple<const std::string&, milliseconds> rank_of(const rollout_order& order)
{
    return {order.to, order.duration};
}

milliseconds read_time(const json& root, const char* name)
{
    const auto found = root.find(name);
    return found != root.end() && found->is_number_integer() ? milliseconds(found->get<int64_t>())
                                                             : milliseconds(0);
}

} // namespace

std::string_view name_of(rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::trial:
        return "trial";
    case rollout_phase::moving:
        return "moving";
    case rollout_phase::closing:
        return "closing";
    case rollout_phase::completed:
        return "completed";
    case rollout_phase::rolled_back:
        break;
    }
    return "rolled_back";
}

bool may_follow(rollout_phase before, rollout_phase next)
{
    if (next == rollout_phase::rolled_back) {
        return before == rollout_phase::trial || before == rollout_phase::moving;
    }
    return before != rollout_phase::rolled_back && next > before;
}

bool merge(rollout_state& known, const rollout_state& heard)
{
    const bool other_order = !(known.order == heard.order);
    // Two orders get the same generation only if the platform has lost the first of them.
    const bool later = heard.generation > known.generation ||
                       (heard.generation == known.generation && other_order &&
                        rank_of(heard.order) > rank_of(known.order));
    if (later) {
        known = heard;
        return true;
    }
    if (heard.generation != known.generation || other_order) {
        return false;
    }
    known.age = std::max(known.age, heard.age);
    const bool halts = heard.halted && !known.halted;
    known.halted = known.halted || heard.halted;
    if (!may_follow(known.phase, heard.phase)) {
        return halts;
    }
    known.phase = heard.phase;
    return true;
}

std::string encode_rollout(const rollout_state& state, milliseconds started_at,
                           std::string_view evidence)
{
    return json{{"service", state.order.service},
                {"to", state.order.to},
                {"duration_ms", state.order.duration.count()},
                {"generation", state.generation},
                {"phase", std::string(name_of(state.phase))},
                {"started_ms", started_at.count()},
                {"evidence", std::string(evidence)}}
        .dump();
}

absl::StatusOr<rollout_row> decode_rollout(std::string_view value)
{
    const json root = json::parse(value.begin(), value.end(), nullptr, false);
    const auto malformed = [](std::string_view field) {
        return layer_error(absl::StatusCode::kInvalidArgument, "rollout", "malformed",
                           fmt::format("row of a rollout: {} is missing or invalid", field));
    };
    if (!root.is_object()) {
        return malformed("(row)");
    }
    rollout_row row;
    for (const auto& [name, target] :
         {std::pair{"service", &row.state.order.service}, std::pair{"to", &row.state.order.to}}) {
        const auto found = root.find(name);
        if (found == root.end() || !found->is_string()) {
            return malformed(name);
        }
        *target = found->get<std::string>();
    }
    const auto generation = root.find("generation");
    if (generation == root.end() || !generation->is_number_unsigned() || *generation == 0) {
        return malformed("generation");
    }
    row.state.generation = generation->get<std::uint64_t>();
    row.state.order.duration = read_time(root, "duration_ms");
    row.started_at = read_time(root, "started_ms");
    const auto phase = root.find("phase");
    for (int index = 0; phase != root.end() && index <= max_phase; ++index) {
        const rollout_phase each = static_cast<rollout_phase>(index);
        if (phase->is_string() && *phase == std::string(name_of(each))) {
            row.state.phase = each;
            return row;
        }
    }
    return malformed("phase");
}

void record_result(upstream_results& results, std::uint32_t kind, bool failed,
                   std::optional<std::chrono::nanoseconds> time)
{
    ++results.answered;
    results.failed += failed ? 1 : 0;
    kind_results* const of_kind = find_or_add(results, kind);
    if (of_kind == nullptr) {
        return;
    }
    ++of_kind->answered;
    of_kind->failed += failed ? 1 : 0;
    if (time && !failed) {
        ++of_kind->timed;
        of_kind->total_time += std::chrono::duration_cast<microseconds>(*time);
    }
}

void add_difference(upstream_results& sum, const upstream_results& now,
                    const upstream_results& before)
{
    sum.answered += now.answered - before.answered;
    sum.failed += now.failed - before.failed;
    for (const kind_results& each : now.kinds) {
        const kind_results& earlier = kind_of_results(before, each.kind);
        kind_results* const of_kind = find_or_add(sum, each.kind);
        if (of_kind != nullptr) {
            of_kind->answered += each.answered - earlier.answered;
            of_kind->failed += each.failed - earlier.failed;
            of_kind->timed += each.timed - earlier.timed;
            of_kind->total_time += each.total_time - earlier.total_time;
        }
    }
}

rollout_judgement judge(const version_results& fresh, const version_results& old, bool last)
{
    const upstream_results& news = fresh.sum;
    const upstream_results& olds = old.sum;
    const std::string failures =
        describe("failures", news.failed, news.answered, olds.failed, olds.answered);
    if (fails_more(news.answered, news.failed, allowed_share(olds.answered, olds.failed), last)) {
        return {rollout_verdict::bad, failures};
    }
    for (const kind_results& kind : news.kinds) {
        const kind_results& other = kind_of_results(olds, kind.kind);
        if (fails_more(kind.answered, kind.failed, allowed_share(other.answered, other.failed),
                       last)) {
            return {rollout_verdict::bad, describe("failures of a kind", kind.failed, kind.answered,
                                                   other.failed, other.answered)};
        }
        if (is_slow(kind, fresh.upstreams, other, old.upstreams, last)) {
            return {rollout_verdict::bad,
                    fmt::format("times of a kind: new {:.0f} us of {}, old {:.0f} us of {}",
                                mean_of(kind), kind.timed, mean_of(other), other.timed)};
        }
    }
    if (!last) {
        return {rollout_verdict::open, failures};
    }
    const bool few = news.answered < min_responses;
    const bool more_failures =
        news.failed > 0 &&
        static_cast<double>(news.failed) * static_cast<double>(olds.answered) >
            static_cast<double>(olds.failed) * static_cast<double>(news.answered);
    if (few && more_failures) {
        return {rollout_verdict::bad, failures + ", too little traffic"};
    }
    return {rollout_verdict::good, failures + (few ? ", too little traffic" : "")};
}

void rollout_evidence::add(const node_id& node, bool is_new, const upstream_results& results,
                           time_point now)
{
    const auto known = sources_.find(node);
    if (known == sources_.end() || known->second.is_new != is_new) {
        source next;
        next.is_new = is_new;
        next.latest = results;
        if (is_new) {
            next.total = results;
        }
        sources_[node] = std::move(next);
        // The totals of the node's earlier upstream are no base for those of this one.
        for (snapshot& each : snapshots_) {
            each.totals.erase(node);
        }
        return;
    }
    source& subject = known->second;
    const bool restarted = has_fallen(results, subject.latest);
    add_difference(subject.total, results, restarted ? upstream_results() : subject.latest);
    subject.latest = results;
    while (!snapshots_.empty() && now - snapshots_.front().at > window_) {
        snapshots_.pop_front();
    }
}

version_results rollout_evidence::sum_of(bool is_new, const snapshot* since) const
{
    version_results result;
    for (const std::pair<const node_id, source>& each : sources_) {
        if (each.second.is_new != is_new) {
            continue;
        }
        upstream_results before;
        if (since != nullptr) {
            const auto found = since->totals.find(each.first);
            before = found == since->totals.end() ? upstream_results() : found->second;
        }
        add_difference(result.sum, each.second.total, before);
        result.upstreams += each.second.total.answered > before.answered ? 1 : 0;
    }
    return result;
}

rollout_judgement rollout_evidence::judge(bool last, time_point now)
{
    rollout_judgement recent = snapshots_.empty()
                                   ? rollout_judgement()
                                   : agatespread::judge(sum_of(true, &snapshots_.front()),
                                                        sum_of(false, &snapshots_.front()), false);
    if (snapshots_.empty() || now - snapshots_.back().at >= window_ / snapshots_per_window) {
        snapshot next;
        next.at = now;
        for (const std::pair<const node_id, source>& each : sources_) {
            next.totals.emplace(each.first, each.second.total);
        }
        snapshots_.push_back(std::move(next));
    }
    if (recent.verdict == rollout_verdict::bad) {
        return recent;
    }
    return agatespread::judge(sum_of(true, nullptr), sum_of(false, nullptr), last);
}

rollout_times::rollout_times(milliseconds duration)
    : trial_end(duration / 2), moving_end(duration * 5 / 8),
      last_step(duration - std::min(answer_time, duration / max_answer_share))
{
}

std::optional<rollout_phase> next_phase(const rollout_situation& situation)
{
    const rollout_state& state = situation.state;
    const rollout_times times(state.order.duration);
    const bool over = state.age >= times.last_step;
    if (state.generation == 0 || has_ended(state.phase)) {
        return std::nullopt;
    }
    if (state.phase == rollout_phase::closing) {
        const bool done = situation.all_closing && situation.old_idle;
        return done || over ? std::make_optional(rollout_phase::completed) : std::nullopt;
    }
    if (state.halted || situation.verdict == rollout_verdict::bad || over) {
        return rollout_phase::rolled_back;
    }
    const bool good = situation.verdict == rollout_verdict::good && situation.new_ready;
    if (state.phase == rollout_phase::trial) {
        return good && state.age >= times.trial_end ? std::make_optional(rollout_phase::moving)
                                                    : std::nullopt;
    }
    return good && state.age >= times.moving_end ? std::make_optional(rollout_phase::closing)
                                                 : std::nullopt;
}

std::string majority_version(const std::vector<std::string_view>& versions)
{
    // The candidate of the Boyer-Moore majority vote, which is then counted.
    std::string_view candidate;
    std::size_t votes = 0;
    for (const std::string_view each : versions) {
        if (each.empty()) {
            continue;
        }
        if (votes == 0) {
            candidate = each;
        }
        votes += each == candidate ? 1 : static_cast<std::size_t>(-1);
    }
    std::size_t stated = 0;
    std::size_t equal = 0;
    for (const std::string_view each : versions) {
        stated += each.empty() ? 0 : 1;
        equal += !each.empty() && each == candidate ? 1 : 0;
    }
    return equal * 2 > stated ? std::string(candidate) : std::string();
}

version_use use_of(std::string_view version, const rollout_state* rollout,
                   std::string_view majority)
{
    if (rollout == nullptr) {
        const bool differs = !version.empty() && !majority.empty() && version != majority;
        return differs ? version_use::limited : version_use::full;
    }
    const bool is_new = version == rollout->order.to;
    switch (rollout->phase) {
    case rollout_phase::trial:
        return !is_new           ? version_use::full
               : rollout->halted ? version_use::none
                                 : version_use::limited;
    case rollout_phase::moving:
        return is_new && rollout->halted ? version_use::none : version_use::full;
    case rollout_phase::closing:
    case rollout_phase::completed:
        return is_new ? version_use::full : version_use::none;
    case rollout_phase::rolled_back:
        break;
    }
    return is_new ? version_use::none : version_use::full;
}

bool exposure_limit::allows(std::size_t nodes) const
{
    const double slack = std::floor(options_.exposure_slack / 2 /
                                    static_cast<double>(std::max<std::size_t>(nodes, 1)));
    return static_cast<double>(sent_ + 1) <=
           static_cast<double>(requests_) * options_.exposure_share / 2 + slack;
}

} // namespace agatespread
