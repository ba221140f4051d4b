#include "message_fields.h"

#include <agatespread/peers.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace agatespread {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t max_permille = 1000;

// Blocks of the crash guard end much sooner.
constexpr milliseconds longest_block = std::chrono::hours(24);

// Longer orders and ages are shortened to it.
constexpr milliseconds longest_rollout = std::chrono::hours(24);

// An older proof is of no use to any deployment.
constexpr milliseconds longest_proof_age = std::chrono::hours(1);

// The names are short because each report is sent to every peer, up to several times a second.
json to_json(const peer_entry& entry)
{
    return {{"n", entry.node},
            {"d", entry.failure_domain},
            {"s", entry.service},
            {"c", entry.call_address},
            {"r", entry.report_address}};
}

void read_entry(detail::message_fields& fields, peer_entry& entry)
{
    fields.read("n", entry.node);
    fields.read("d", entry.failure_domain);
    fields.read("s", entry.service);
    fields.read_address("c", entry.call_address);
    fields.read_address("r", entry.report_address);
}

/// Reads a flat list of kinds, each followed by its mean service and transmission times in
/// nanoseconds. Returns false for a malformed list.
bool read_kinds(const json& list, kind_times& kinds)
{
    constexpr std::size_t values_per_kind = 3;
    const bool numbers = std::all_of(list.begin(), list.end(),
                                     [](const json& value) { return value.is_number_unsigned(); });
    if (!numbers || list.size() % values_per_kind != 0 ||
        list.size() > values_per_kind * kinds.size()) {
        return false;
    }
    for (std::size_t index = 0; index < list.size(); index += values_per_kind) {
        if (list[index].get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max() ||
            !detail::is_time(list[index + 1].get<std::uint64_t>()) ||
            !detail::is_time(list[index + 2].get<std::uint64_t>())) {
            return false;
        }
        kinds[index / values_per_kind] = {
            static_cast<std::uint32_t>(list[index].get<std::uint64_t>()),
            std::chrono::nanoseconds(list[index + 1].get<std::uint64_t>()),
            std::chrono::nanoseconds(list[index + 2].get<std::uint64_t>())};
    }
    return true;
}

json to_json(const upstream_results& results)
{
    json list = {results.answered, results.failed};
    for (const kind_results& kind : results.kinds) {
        list.push_back(kind.kind);
        list.push_back(kind.answered);
        list.push_back(kind.failed);
        list.push_back(kind.timed);
        list.push_back(static_cast<std::uint64_t>(kind.total_time.count()));
    }
    return list;
}

/// Reads a flat list: the responses and failures of all kinds, then five numbers for each kind.
bool read_results(const json& list, upstream_results& results)
{
    constexpr std::size_t values_of_all = 2;
    constexpr std::size_t values_per_kind = 5;
    constexpr std::uint64_t largest = 1ULL << 50U; // Sums of such values do not overflow.
    const bool numbers = std::all_of(list.begin(), list.end(), [](const json& value) {
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= largest;
    });
    if (!numbers || list.size() < values_of_all ||
        (list.size() - values_of_all) % values_per_kind != 0 ||
        list.size() > values_of_all + values_per_kind * max_result_kinds) {
        return false;
    }
    results.answered = list[0].get<std::uint64_t>();
    results.failed = list[1].get<std::uint64_t>();
    for (std::size_t index = values_of_all; index < list.size(); index += values_per_kind) {
        kind_results kind;
        kind.kind = static_cast<std::uint32_t>(list[index].get<std::uint64_t>());
        kind.answered = list[index + 1].get<std::uint64_t>();
        kind.failed = list[index + 2].get<std::uint64_t>();
        kind.timed = list[index + 3].get<std::uint64_t>();
        kind.total_time = std::chrono::microseconds(list[index + 4].get<std::int64_t>());
        if (list[index].get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max() ||
            kind.failed + kind.timed > kind.answered) {
            return false;
        }
        results.kinds.push_back(kind);
    }
    return results.failed <= results.answered;
}

json to_json(const std::vector<rollout_state>& rollouts)
{
    json list = json::array();
    for (const rollout_state& each : rollouts) {
        list.push_back({{"s", each.order.service},
                        {"t", each.order.to},
                        {"d", static_cast<std::uint64_t>(each.order.duration.count())},
                        {"g", each.generation},
                        {"p", static_cast<std::uint64_t>(each.phase)},
                        {"h", each.halted ? 1U : 0U},
                        {"a", static_cast<std::uint64_t>(each.age.count())}});
    }
    return list;
}

bool read_rollouts(const json& list, std::vector<rollout_state>& rollouts)
{
    for (const json& entry : list) {
        detail::message_fields fields(entry);
        rollout_state next;
        std::uint64_t duration = 0;
        std::uint64_t phase = 0;
        std::uint64_t halted = 0;
        std::uint64_t age = 0;
        fields.read("s", next.order.service);
        fields.read("t", next.order.to);
        fields.read("d", duration);
        fields.read("g", next.generation);
        fields.read("p", phase);
        fields.read("h", halted);
        fields.read("a", age);
        if (!entry.is_object() || !fields.first_invalid().empty() || next.generation == 0 ||
            phase > static_cast<std::uint64_t>(rollout_phase::rolled_back) ||
            next.order.to.size() > max_software_version_bytes) {
            return false;
        }
        next.order.duration =
            milliseconds(std::min<std::uint64_t>(duration, longest_rollout.count()));
        next.phase = static_cast<rollout_phase>(phase);
        next.halted = halted != 0;
        next.age = milliseconds(std::min<std::uint64_t>(age, longest_rollout.count()));
        rollouts.push_back(std::move(next));
    }
    return true;
}

/// Reads a list with one list for each rule; later versions may append values to these. Returns
/// false for a malformed list.
bool read_results(const json& list, std::vector<rule_results>& results)
{
    constexpr std::size_t values_per_rule = 5;
    if (list.size() > max_reported_rules) {
        return false;
    }
    for (const json& rule : list) {
        if (!rule.is_array() || rule.size() < values_per_rule) {
            return false;
        }
        std::array<std::uint32_t, values_per_rule> values{};
        for (std::size_t index = 0; index < values_per_rule; ++index) {
            if (!rule[index].is_number_unsigned() ||
                rule[index].get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
                return false;
            }
            values[index] = rule[index].get<std::uint32_t>();
        }
        if (values[2] > values[1]) {
            return false;
        }
        results.push_back({values[0], values[1], values[2], values[3], values[4]});
    }
    return true;
}

} // namespace

reported_load make_load_report(const admission_load& gate, const link_backlog& link,
                               const failure_rate& failures, time_point now)
{
    reported_load load;
    load.running = gate.running;
    load.queued = gate.queued;
    load.slots = gate.slots;
    load.service_time = gate.service_time;
    load.wait = gate.wait;
    load.kinds = gate.kinds;
    for (kind_time& known : load.kinds) {
        known.transmission_time = link.transmission_time(known.kind);
    }
    load.link_delay = link.delay(now);
    load.transmission_time = link.transmission_time();
    load.failure_ratio = failures.share(now);
    return load;
}

std::string encode_entry(const peer_entry& entry)
{
    return detail::to_bytes(to_json(entry));
}

absl::StatusOr<peer_entry> decode_entry(std::string_view bytes)
{
    detail::message_fields fields(bytes);
    peer_entry entry;
    read_entry(fields, entry);
    if (!fields.first_invalid().empty()) {
        return detail::malformed_message(fields.first_invalid());
    }
    return entry;
}

std::string encode_report(const peer_report& report)
{
    json crashes = json::array();
    for (const crash_report& crash : report.crashes) {
        crashes.push_back({{"f", crash.fingerprint},
                           {"b", crash.crashes},
                           {"k", crash.cleared ? 1U : 0U},
                           {"m", static_cast<std::uint64_t>(crash.blocked_for.count())},
                           {"s", crash.suspects}});
    }
    json value = to_json(report.entry);
    value["p"] = report.incarnation;
    value["q"] = report.sequence;
    value["t"] = static_cast<std::uint64_t>(report.state);
    value["u"] = report.load.running;
    value["w"] = report.load.queued;
    value["l"] = report.load.slots;
    value["m"] = static_cast<std::uint64_t>(report.load.service_time.count());
    value["k"] = static_cast<std::uint64_t>(report.load.link_delay.count());
    value["i"] = static_cast<std::uint64_t>(report.load.wait.count());
    value["h"] = json::array();
    for (const kind_time& known : report.load.kinds) {
        if (known.kind != 0) {
            value["h"].push_back(known.kind);
            value["h"].push_back(static_cast<std::uint64_t>(known.mean.count()));
            value["h"].push_back(static_cast<std::uint64_t>(known.transmission_time.count()));
        }
    }
    value["a"] = static_cast<std::uint64_t>(report.load.transmission_time.count());
    value["e"] = to_permille(report.load.failure_ratio);
    if (report.load.upload_time.count() > 0) {
        value["U"] = static_cast<std::uint64_t>(report.load.upload_time.count());
    }
    value["v"] = report.in_force;
    value["f"] = report.can_read_platform ? 1U : 0U;
    if (report.platform_era != 0) {
        value["g"] = report.platform_era;
    }
    if (report.proof_age) {
        value["j"] = static_cast<std::uint64_t>(report.proof_age->count());
    }
    if (report.quota != quota_part::none) {
        value["qs"] = static_cast<std::uint64_t>(report.quota);
    }
    for (const rule_results& rule : report.runs) {
        value["y"].push_back(
            {rule.kind, rule.ended, rule.failed, rule.expected_idle, rule.seen_idle});
    }
    value["x"] = std::move(crashes);
    if (!report.version.empty()) {
        value["b"] = report.version;
    }
    if (report.results) {
        value["z"] = to_json(*report.results);
    }
    if (!report.rollouts.empty()) {
        value["o"] = to_json(report.rollouts);
    }
    return detail::to_bytes(value);
}

absl::StatusOr<peer_report> decode_report(std::string_view bytes)
{
    detail::message_fields fields(bytes);
    peer_report report;
    read_entry(fields, report.entry);
    std::uint64_t state = 0;
    std::uint64_t failure_ratio = 0;
    std::uint64_t reads = 0;
    fields.read("p", report.incarnation);
    fields.read("q", report.sequence);
    fields.read("t", state);
    fields.read("u", report.load.running);
    fields.read("w", report.load.queued);
    fields.read("l", report.load.slots);
    fields.read("m", report.load.service_time);
    fields.read("k", report.load.link_delay);
    fields.read("i", report.load.wait);
    if (!read_kinds(fields.list("h"), report.load.kinds)) {
        return detail::malformed_message("h");
    }
    fields.read("a", report.load.transmission_time);
    fields.read("e", failure_ratio);
    if (fields.contains("U")) {
        fields.read("U", report.load.upload_time);
    }
    fields.read("v", report.in_force);
    fields.read("f", reads);
    fields.read_optional("g", report.platform_era);
    if (fields.contains("j")) {
        std::uint64_t age = 0;
        fields.read("j", age);
        report.proof_age = milliseconds(std::min<std::uint64_t>(age, longest_proof_age.count()));
    }
    std::uint64_t quota = 0;
    fields.read_optional("qs", quota);
    // A value of a later version means a part that this version does not know.
    report.quota = quota <= static_cast<std::uint64_t>(quota_part::stopping)
                       ? static_cast<quota_part>(quota)
                       : quota_part::none;
    if (fields.contains("y") && !read_results(fields.list("y"), report.runs)) {
        return detail::malformed_message("y");
    }
    for (const json& entry : fields.list("x")) {
        detail::message_fields crash(entry);
        crash_report next;
        std::uint64_t cleared = 0;
        std::uint64_t blocked_for = 0;
        crash.read("f", next.fingerprint);
        crash.read("b", next.crashes);
        crash.read("k", cleared);
        crash.read("m", blocked_for);
        for (const json& suspect : crash.list("s")) {
            if (!suspect.is_number_unsigned()) {
                return detail::malformed_message("x.s");
            }
            next.suspects.push_back(suspect.get<std::uint64_t>());
        }
        if (!crash.first_invalid().empty()) {
            return detail::malformed_message("x." + crash.first_invalid());
        }
        next.cleared = cleared != 0;
        if (blocked_for > static_cast<std::uint64_t>(longest_block.count())) {
            return detail::malformed_message("x.m");
        }
        next.blocked_for = milliseconds(blocked_for);
        report.crashes.push_back(next);
    }
    fields.read_optional("b", report.version);
    if (report.version.size() > max_software_version_bytes) {
        report.version.clear();
    }
    if (fields.contains("z")) {
        report.results = upstream_results();
        if (!read_results(fields.list("z"), *report.results)) {
            return detail::malformed_message("z");
        }
    }
    if (fields.contains("o") && !read_rollouts(fields.list("o"), report.rollouts)) {
        return detail::malformed_message("o");
    }
    if (state > static_cast<std::uint64_t>(upstream_state::draining)) {
        return detail::malformed_message("t");
    }
    if (failure_ratio > max_permille) {
        return detail::malformed_message("e");
    }
    if (!fields.first_invalid().empty()) {
        return detail::malformed_message(fields.first_invalid());
    }
    report.state = static_cast<upstream_state>(state);
    report.load.failure_ratio = from_permille(failure_ratio);
    report.can_read_platform = reads != 0;
    return report;
}

} // namespace agatespread
