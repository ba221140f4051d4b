#include <agatespread/peers.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatespread {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

absl::Status malformed(std::string_view field)
{
    return layer_error(absl::StatusCode::kInvalidArgument, "peers", "malformed",
                       "peer message: field " + std::string(field) + " is missing or wrong");
}

// Reads the fields of one message and remembers the first that is wrong.
class fields {
public:
    explicit fields(std::string_view bytes)
    {
        // The parser throws for absurd sizes even where it is told not to.
        try {
            object_ = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        }
        catch (const json::exception&) {
            object_ = json(json::value_t::discarded);
        }
        if (!object_.is_object()) {
            wrong_ = "(message)";
        }
    }

    explicit fields(json object) : object_(std::move(object)) {}

    void read(const char* name, std::string& target)
    {
        const auto found = find(name);
        if (found == object_.end() || !found->is_string()) {
            fail(name);
            return;
        }
        target = found->get<std::string>();
    }

    template <typename Number>
    void read(const char* name, Number& target)
    {
        const auto found = find(name);
        if (found == object_.end() || !found->is_number_unsigned()) {
            fail(name);
            return;
        }
        target = static_cast<Number>(found->get<std::uint64_t>());
    }

    json list(const char* name)
    {
        const auto found = find(name);
        if (found == object_.end() || !found->is_array()) {
            fail(name);
            return json::array();
        }
        return *found;
    }

    const std::string& wrong() const { return wrong_; }

private:
    json::const_iterator find(const char* name) const
    {
        return object_.is_object() ? object_.find(name) : object_.end();
    }

    void fail(const char* name)
    {
        if (wrong_.empty()) {
            wrong_ = name;
        }
    }

    json object_;
    std::string wrong_;
};

// The names are short because a report is sent to every peer several times a second.
json to_json(const peer_entry& entry)
{
    return {{"n", entry.node},
            {"d", entry.failure_domain},
            {"s", entry.service},
            {"c", entry.call_address},
            {"r", entry.report_address}};
}

void read_entry(fields& from, peer_entry& entry)
{
    from.read("n", entry.node);
    from.read("d", entry.failure_domain);
    from.read("s", entry.service);
    from.read("c", entry.call_address);
    from.read("r", entry.report_address);
}

/// Reads a kind and its two mean times, for several kinds.
bool read_kinds(const json& list, kind_times& kinds)
{
    constexpr std::size_t fields_of_kind = 3;
    const bool numbers = std::all_of(list.begin(), list.end(),
                                     [](const json& value) { return value.is_number_unsigned(); });
    if (!numbers || list.size() % fields_of_kind != 0 ||
        list.size() > fields_of_kind * kinds.size()) {
        return false;
    }
    for (std::size_t index = 0; index < list.size(); index += fields_of_kind) {
        kinds[index / fields_of_kind] = {
            static_cast<std::uint32_t>(list[index].get<std::uint64_t>()),
            std::chrono::nanoseconds(list[index + 1].get<std::uint64_t>()),
            std::chrono::nanoseconds(list[index + 2].get<std::uint64_t>())};
    }
    return true;
}

std::string to_bytes(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
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
        known.link = link.transmission_time(known.kind);
    }
    load.link_delay = link.delay(now);
    load.transmission_time = link.transmission_time();
    load.failure_ratio = failures.share(now);
    return load;
}

std::string encode_entry(const peer_entry& entry)
{
    return to_bytes(to_json(entry));
}

absl::StatusOr<peer_entry> decode_entry(std::string_view bytes)
{
    fields from(bytes);
    peer_entry entry;
    read_entry(from, entry);
    if (!from.wrong().empty()) {
        return malformed(from.wrong());
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
            value["h"].push_back(static_cast<std::uint64_t>(known.link.count()));
        }
    }
    value["a"] = static_cast<std::uint64_t>(report.load.transmission_time.count());
    value["e"] = to_permille(report.load.failure_ratio);
    value["v"] = report.in_force;
    value["f"] = report.can_read_platform ? 1U : 0U;
    value["x"] = std::move(crashes);
    return to_bytes(value);
}

absl::StatusOr<peer_report> decode_report(std::string_view bytes)
{
    fields from(bytes);
    peer_report report;
    read_entry(from, report.entry);
    std::uint64_t state = 0;
    std::uint64_t service_time = 0;
    std::uint64_t link_delay = 0;
    std::uint64_t wait = 0;
    std::uint64_t transmission_time = 0;
    std::uint64_t failure_ratio = 0;
    std::uint64_t reads = 0;
    from.read("p", report.incarnation);
    from.read("q", report.sequence);
    from.read("t", state);
    from.read("u", report.load.running);
    from.read("w", report.load.queued);
    from.read("l", report.load.slots);
    from.read("m", service_time);
    from.read("k", link_delay);
    from.read("i", wait);
    if (!read_kinds(from.list("h"), report.load.kinds)) {
        return malformed("h");
    }
    from.read("a", transmission_time);
    from.read("e", failure_ratio);
    from.read("v", report.in_force);
    from.read("f", reads);
    for (const json& entry : from.list("x")) {
        fields crash(entry);
        crash_report next;
        std::uint64_t cleared = 0;
        std::uint64_t blocked_for = 0;
        crash.read("f", next.fingerprint);
        crash.read("b", next.crashes);
        crash.read("k", cleared);
        crash.read("m", blocked_for);
        for (const json& suspect : crash.list("s")) {
            if (!suspect.is_number_unsigned()) {
                return malformed("x.s");
            }
            next.suspects.push_back(suspect.get<std::uint64_t>());
        }
        if (!crash.wrong().empty()) {
            return malformed("x." + crash.wrong());
        }
        next.cleared = cleared != 0;
        next.blocked_for = milliseconds(blocked_for);
        report.crashes.push_back(next);
    }
    if (state > static_cast<std::uint64_t>(upstream_state::draining)) {
        return malformed("t");
    }
    if (!from.wrong().empty()) {
        return malformed(from.wrong());
    }
    report.state = static_cast<upstream_state>(state);
    report.load.service_time = std::chrono::nanoseconds(service_time);
    report.load.link_delay = std::chrono::nanoseconds(link_delay);
    report.load.wait = std::chrono::nanoseconds(wait);
    report.load.transmission_time = std::chrono::nanoseconds(transmission_time);
    report.load.failure_ratio = from_permille(failure_ratio);
    report.can_read_platform = reads != 0;
    return report;
}

peers::peers(node_id own, std::string failure_domain, const peer_options& options)
    : own_(std::move(own)), failure_domain_(std::move(failure_domain)), options_(options)
{
}

void peers::add_entry(const peer_entry& entry, time_point now)
{
    if (entry.node == own_) {
        return;
    }
    peer& known = peers_[entry.node];
    known.entry = entry;
    known.last_known = now;
    count_near();
}

void peers::remove(const node_id& node, time_point now)
{
    const auto found = peers_.find(node);
    if (found != peers_.end() && !is_heard(found->second, now)) {
        peers_.erase(found);
        count_near();
    }
}

bool peers::receive(const peer_report& report, time_point now)
{
    if (report.entry.node == own_) {
        return false;
    }
    peer& known = peers_[report.entry.node];
    if (known.incarnation == report.incarnation && report.sequence <= known.sequence) {
        return false;
    }
    const bool news = !(known.entry == report.entry);
    known.entry = report.entry;
    if (news) {
        count_near();
    }
    known.incarnation = report.incarnation;
    known.sequence = report.sequence;
    known.state = report.state;
    known.load = report.load;
    known.in_force = report.in_force;
    known.can_read_platform = report.can_read_platform;
    known.sent_since_report = 0;
    known.heard = now;
    known.last_known = now;
    known.suspended = false;
    return true;
}

void peers::record_sent(const node_id& node)
{
    const auto found = peers_.find(node);
    if (found != peers_.end()) {
        ++found->second.sent_since_report;
    }
}

void peers::record_response(const node_id& node, const reported_load& load,
                            std::chrono::nanoseconds transit, time_point now)
{
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        return;
    }
    peer& known = found->second;
    // Answers leave the kinds out to stay small.
    const kind_times kinds = known.load.kinds;
    known.load = load;
    known.load.kinds = kinds;
    known.sent_since_report = 0;
    known.heard = now;
    const bool fresh = now - known.transit_at <= options_.transit_memory;
    // A quarter for each new value: one large answer must not count as a slow link.
    known.transit = fresh ? known.transit + (transit - known.transit) / 4 : transit / 2;
    known.transit_at = now;
}

void peers::record_refusal(const node_id& node, time_point now)
{
    record_failure(node, now);
}

void peers::record_failure(const node_id& node, time_point /*now*/)
{
    const auto found = peers_.find(node);
    if (found != peers_.end()) {
        found->second.suspended = true;
    }
}

bool peers::is_near(const peer& subject) const
{
    return subject.entry.failure_domain == failure_domain_;
}

bool peers::is_heard(const peer& subject, time_point now) const
{
    // The peer knows about as many nodes, so that its period is about the own one.
    const milliseconds period = report_period(is_near(subject));
    return subject.heard != time_point() &&
           now - subject.heard <= period * options_.missed_reports + options_.shortest_period / 2;
}

std::vector<eligible_peer> peers::eligible(std::string_view service, time_point now) const
{
    std::vector<eligible_peer> result;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (subject.entry.service != service || subject.state != upstream_state::ready ||
            subject.suspended || !is_heard(subject, now)) {
            continue;
        }
        result.push_back({each.first, subject.entry.call_address, is_near(subject), subject.load,
                          subject.sent_since_report,
                          now - subject.transit_at <= options_.transit_memory
                              ? subject.transit
                              : std::chrono::nanoseconds(0)});
    }
    return result;
}

std::vector<peer_entry> peers::in_domain(bool own) const
{
    std::vector<peer_entry> result;
    for (const std::pair<const node_id, peer>& each : peers_) {
        if (is_near(each.second) == own) {
            result.push_back(each.second.entry);
        }
    }
    return result;
}

milliseconds peers::report_period(bool own_domain) const
{
    const std::size_t count = own_domain ? near_count_ : peers_.size() - near_count_;
    const double rate =
        own_domain ? options_.near_reports_per_second : options_.far_reports_per_second;
    const double seconds = static_cast<double>(count) / rate;
    return std::max(options_.shortest_period,
                    milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000))));
}

void peers::count_near()
{
    near_count_ = 0;
    for (const std::pair<const node_id, peer>& each : peers_) {
        near_count_ += is_near(each.second) ? 1 : 0;
    }
}

std::vector<peer_entry> peers::ahead_of(config_version version, bool own_domain,
                                        time_point now) const
{
    std::vector<peer_entry> result;
    config_version highest = version;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        if (is_near(subject) != own_domain || !is_heard(subject, now) ||
            subject.in_force <= version || subject.in_force < highest) {
            continue;
        }
        if (subject.in_force > highest) {
            highest = subject.in_force;
            result.clear();
        }
        result.push_back(subject.entry);
    }
    return result;
}

bool peers::is_reader(std::size_t readers, time_point now) const
{
    std::size_t before = 0;
    for (const std::pair<const node_id, peer>& each : peers_) {
        const peer& subject = each.second;
        before += each.first < own_ && is_near(subject) && is_heard(subject, now) &&
                          subject.can_read_platform
                      ? 1
                      : 0;
    }
    return before < readers;
}

void peers::expire(time_point now)
{
    for (auto each = peers_.begin(); each != peers_.end();) {
        const bool silent = now - each->second.last_known > options_.forget_after;
        each = silent ? peers_.erase(each) : std::next(each);
    }
    count_near();
}

} // namespace agatespread
