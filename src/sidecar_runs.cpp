#include "sidecar_impl.h"

#include <agatespread/run_success.h>

#include <fmt/format.h>

#include <utility>

namespace agatespread {

/// What a node knows of the runs at its own upstream and of the calls that they make.
struct detail::run_state {
    struct nested_state {
        bool nested = false;
        time_point checked_at;
    };

    struct room_state {
        bool free = true;
        time_point checked_at;
    };

    run_log results; ///< Of the upstream on this host.
    call_failures failed_calls;
    nested_rules nested;
    std::map<std::uint32_t, nested_state> nested_states;             ///< By kind.
    std::map<std::pair<std::string, std::string>, run_share> shares; ///< By service and rule.
    std::map<std::string, room_state> rooms;                         ///< By service.
};

std::shared_ptr<detail::run_state> detail::make_run_state()
{
    return std::make_shared<run_state>();
}

namespace {

using std::chrono::milliseconds;

// Far above the number of rules of a configuration; rules that were removed are dropped with it.
constexpr std::size_t max_run_states = 512;

// Interval at which the arrivals that all nodes report are looked at.
constexpr milliseconds nested_check_period{500};

constexpr double max_permille = 1000;

// Interval at which the slots that all nodes report are looked at.
constexpr milliseconds room_check_period{100};

// Share of a service's slots from which refusals count as made while there was room. Below it,
// the free slots are those between the end of one run and the start of the next.
constexpr double min_free_share = 0.125;

// Statuses with which an upstream ends a run whose own calls failed.
constexpr int internal_error = 500;
constexpr int upstream_out_of_time = 504;

} // namespace

bool sidecar::impl::protects_runs() const
{
    return table && (table->has_tenants() || table->has_uploads());
}

void sidecar::impl::record_run(const std::string& rule, int status, time_point started)
{
    const bool failed = status == internal_error || status == upstream_out_of_time;
    const std::string_view call =
        failed ? runs->failed_calls.latest_since(started) : std::string_view();
    runs->results.add(kind_of(rule), is_refused_for_load(call), loop.now());
    if (failed && protects_runs()) {
        const std::string own = status == internal_error ? "own_error" : "own_deadline";
        failed_runs.add(
            {{"cause", call.empty() ? own : "call_" + std::string(call)}, {"rule", rule}});
    }
}

void sidecar::impl::record_failed_call(std::string_view reason)
{
    runs->failed_calls.add(std::string(reason), loop.now());
}

bool sidecar::impl::has_free_slots(const std::string& service)
{
    if (runs->rooms.size() >= max_run_states) {
        runs->rooms.clear();
    }
    detail::run_state::room_state& state = runs->rooms[service];
    const time_point now = loop.now();
    if (now - state.checked_at < room_check_period) {
        return state.free;
    }
    state.checked_at = now;
    slot_use use = known_peers.slots_of(service, now);
    if (service == settings.service && gate_state() == upstream_state::ready) {
        use.add(own_load());
    }
    state.free = use.slots > 0 &&
                 static_cast<double>(use.free) >= min_free_share * static_cast<double>(use.slots);
    return state.free;
}

void sidecar::impl::count_refusal(const std::string& rule, const std::string& service,
                                  std::string_view reason)
{
    refusals.add({{"reason", std::string(reason)},
                  {"room", has_free_slots(service) ? "free" : "full"},
                  {"rule", rule}});
}

std::string sidecar::impl::describe_run_shares() const
{
    std::string text;
    for (const std::pair<const std::pair<std::string, std::string>, run_share>& each :
         runs->shares) {
        if (each.second.share() < 1) {
            text += fmt::format("{}{}/{}:{:.0f}", text.empty() ? "" : ",", each.first.second,
                                each.first.first, each.second.share() * max_permille);
        }
    }
    return text.empty() ? "-" : text;
}

void sidecar::impl::sample_runs()
{
    runs->nested.sample(!gate.idle(), loop.now());
}

std::vector<rule_results> sidecar::impl::own_results() const
{
    if (!protects_runs()) {
        return {};
    }
    std::vector<rule_results> by_rule = runs->results.recent(loop.now());
    runs->nested.add_to(by_rule, loop.now());
    return by_rule;
}

bool sidecar::impl::is_nested(const route_rule& rule)
{
    if (!protects_runs()) {
        return false;
    }
    if (table->has_tenants()) {
        return !rule.needs_key;
    }
    const time_point now = loop.now();
    const std::uint32_t kind = kind_of(rule.name);
    runs->nested.add(kind, !gate.idle(), now);
    if (runs->nested_states.size() >= max_run_states) {
        runs->nested_states.clear();
    }
    detail::run_state::nested_state& state = runs->nested_states[kind];
    if (now - state.checked_at < nested_check_period) {
        return state.nested;
    }
    state.checked_at = now;
    const idle_arrivals own = runs->nested.count(kind, now);
    const idle_arrivals others = known_peers.arrivals_of(kind, now);
    const idle_arrivals all{own.expected + others.expected, own.seen + others.seen};
    const bool before = std::exchange(state.nested, nested_rules::is_nested(all));
    if (before != state.nested) {
        log.change("nested_rule", {{"rule", rule.name},
                                   {"nested", state.nested ? 1 : 0},
                                   {"expected", static_cast<std::uint64_t>(all.expected)},
                                   {"seen", static_cast<std::uint64_t>(all.seen)}});
    }
    return state.nested;
}

std::optional<milliseconds> sidecar::impl::refuse_run(const route_rule& rule,
                                                      const std::string& service)
{
    if (!protects_runs()) {
        return std::nullopt;
    }
    const time_point now = loop.now();
    const std::uint32_t kind = kind_of(rule.name);
    if (runs->shares.size() >= max_run_states) {
        runs->shares.clear();
    }
    run_share& admitted = runs->shares[{service, rule.name}];
    if (admitted.due(now)) {
        std::vector<run_count> counts = known_peers.runs_of(service, kind, now);
        if (service == settings.service) {
            counts.push_back(runs->results.count(kind, now));
        }
        const double before = admitted.share();
        const std::optional<double> failed = widespread_failures(counts);
        admitted.update(failed, now);
        log_run_share(rule.name, service, before, admitted.share(), failed.value_or(0));
    }
    if (admitted.admit()) {
        return std::nullopt;
    }
    data.counter_of("agatespread_runs_refused_total", {{"rule", rule.name}}).add();
    constexpr std::uint64_t positions = 1000;
    return admitted.retry_after(static_cast<double>(uniform_below(random, positions)) / positions);
}

void sidecar::impl::log_run_share(const std::string& rule, const std::string& service,
                                  double before, double after, double failed)
{
    if (before == after) {
        return;
    }
    data.gauge_of("agatespread_run_share_permille", {{"rule", rule}, {"service", service}})
        .set(static_cast<std::int64_t>(after * max_permille));
    if ((before == 1) != (after == 1)) {
        log.change(after == 1 ? "runs_admitted" : "runs_limited",
                   {{"rule", rule},
                    {"service", service},
                    {"failed_permille", static_cast<std::uint64_t>(failed * max_permille)},
                    {"admitted_permille", static_cast<std::uint64_t>(after * max_permille)}});
    }
}

} // namespace agatespread
