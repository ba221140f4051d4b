#include "load_model.h"

#include <algorithm>
#include <cmath>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr nanoseconds near_way = std::chrono::microseconds(200);
constexpr nanoseconds far_way = milliseconds(4);
constexpr milliseconds gate_check{20};
constexpr milliseconds failed_call{2};

// Packets of 1,514 bytes carry 1,448; the headers of a message fill most of one more.
constexpr double link_overhead = 1514.0 / 1448;
constexpr double link_headers = 600;
constexpr std::uint32_t max_gates = 2; // As in the caller's node.
constexpr const char* service = "charts";

} // namespace

load_model::load_model(model_options options)
    : options_(std::move(options)), engine_(options_.seed), random_([this] { return engine_(); }),
      start_(std::chrono::seconds(100)), now_(start_)
{
    const std::size_t per_domain = options_.upstreams_per_domain + options_.callers_per_domain;
    for (std::size_t index = 0; index < options_.domains * per_domain; ++index) {
        const std::size_t position = index % per_domain;
        node next;
        next.name = "node-" + std::to_string(index);
        next.domain = "domain-" + std::to_string(index / per_domain);
        next.has_upstream = position < options_.upstreams_per_domain;
        next.speed = options_.speeds[position % options_.speeds.size()];
        next.others = std::make_unique<peers>(next.name, next.domain, options_.peers);
        next.link = std::make_unique<link_backlog>(options_.link_bytes_per_second);
        next.gate = std::make_unique<admission>(options_.admission);
        nodes_.push_back(std::move(next));
    }
    for (node& each : nodes_) {
        for (const node& other : nodes_) {
            each.others->add_entry({other.name, other.domain,
                                    other.has_upstream ? service : std::string("other"), other.name,
                                    other.name},
                                   now_);
        }
        if (each.has_upstream) {
            each.gate->set_upstream(upstream_state::ready, options_.slots, now_);
        }
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        for (const bool own : {true, false}) {
            const milliseconds period = nodes_[index].others->report_period(own);
            after(std::chrono::duration_cast<nanoseconds>(period * draw()),
                  [this, index, own] { report(index, own); });
        }
    }
    for (std::size_t domain = 0; domain < options_.domains; ++domain) {
        for (std::size_t kind = 0; kind < options_.kinds.size(); ++kind) {
            // Reports come first, as callers come only to nodes that are ready.
            after(milliseconds(1000), [this, domain, kind] { arrive(domain, kind); });
        }
    }
    after(gate_check, [this] { check_gates(); });
    start_ += milliseconds(1000);
}

double load_model::draw()
{
    return (static_cast<double>(engine_() >> 11) + 0.5) / 9007199254740992.0;
}

void load_model::after(nanoseconds delay, std::function<void()> run)
{
    events_.push({now_ + delay, ++order_, std::move(run)});
}

nanoseconds load_model::way(std::size_t from, std::size_t to) const
{
    if (from == to) {
        return nanoseconds(0);
    }
    return nodes_[from].domain == nodes_[to].domain ? near_way : far_way;
}

void load_model::run_until(milliseconds end)
{
    while (!events_.empty() && events_.top().at < start_ + end) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = start_ + end;
}

void load_model::open(std::size_t index)
{
    nodes_[index].open = true;
    apply(index, nodes_[index].gate->set_upstream(upstream_state::ready, options_.slots, now_));
    report(index, true);
    report(index, false);
}

void load_model::close(std::size_t index)
{
    nodes_[index].open = false;
    apply(index, nodes_[index].gate->set_upstream(upstream_state::gone, options_.slots, now_));
}

reported_load load_model::load_of(std::size_t index) const
{
    const node& subject = nodes_[index];
    return make_load_report(subject.gate->load(now_), *subject.link, subject.failures, now_);
}

void load_model::report(std::size_t from, bool own_domain)
{
    node& sender = nodes_[from];
    peer_report next;
    next.entry = {sender.name, sender.domain, sender.has_upstream ? service : "other", sender.name,
                  sender.name};
    next.incarnation = 1;
    next.sequence = ++sender.sequence;
    next.state = sender.has_upstream && sender.open ? upstream_state::ready : upstream_state::gone;
    next.load = load_of(from);
    next.in_force = 1;
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (to != from && (nodes_[to].domain == sender.domain) == own_domain) {
            after(way(from, to), [this, to, next] { nodes_[to].others->receive(next, now_); });
        }
    }
    const milliseconds period = sender.others->report_period(own_domain);
    after(period, [this, from, own_domain] { report(from, own_domain); });
}

void load_model::arrive(std::size_t domain, std::size_t kind)
{
    const std::size_t per_domain = options_.upstreams_per_domain + options_.callers_per_domain;
    request next;
    next.kind = kind;
    next.origin = domain * per_domain + uniform_below(random_, per_domain);
    next.first = now_;
    next.arrived = now_;
    requests_.push_back(std::move(next));
    ++by_millisecond_[(now_ - start_) / milliseconds(1)].asked;
    attempt(requests_.size() - 1);
    const double gap = -std::log(draw()) / (options_.kinds[kind].per_second * rate_);
    after(nanoseconds(static_cast<std::int64_t>(gap * 1e9)),
          [this, domain, kind] { arrive(domain, kind); });
}

void load_model::attempt(std::size_t id)
{
    request& asked = requests_[id];
    const model_kind& kind = options_.kinds[asked.kind];
    node& origin = nodes_[asked.origin];
    std::vector<placement_candidate> candidates;
    std::vector<std::size_t> indices;
    const auto tried = [&asked](std::size_t index) {
        return std::find(asked.tried.begin(), asked.tried.end(), index) != asked.tried.end();
    };
    if (origin.has_upstream && origin.open && !tried(asked.origin)) {
        placement_candidate here;
        here.load = load_of(asked.origin);
        here.load.link_delay = nanoseconds(0);
        here.load.transmission_time = nanoseconds(0);
        candidates.push_back(here);
        indices.push_back(asked.origin);
    }
    for (const eligible_peer& peer : origin.others->eligible(service, now_)) {
        const std::size_t index = std::stoul(peer.node.substr(5));
        if (tried(index)) {
            continue;
        }
        placement_candidate there;
        there.load = peer.load;
        there.sent_since_report = peer.sent_since_report;
        there.local_domain = peer.local_domain;
        there.round_trip_time = std::max<nanoseconds>(
            peer.local_domain ? milliseconds(1) : milliseconds(10), peer.transit);
        candidates.push_back(there);
        indices.push_back(index);
    }
    const nanoseconds left = asked.first + kind.target - now_;
    const std::optional<std::size_t> chosen = choose_upstream(
        candidates,
        {static_cast<std::uint32_t>(asked.kind + 1), left, static_cast<double>(kind.answer_bytes)},
        options_.placement, random_);
    if (!chosen) {
        refused(id, asked.origin, milliseconds(500));
        return;
    }
    const std::size_t to = indices[*chosen];
    asked.tried.push_back(to);
    asked.at = to;
    if (to != asked.origin) {
        origin.others->record_sent(nodes_[to].name);
    }
    after(way(asked.origin, to), [this, id, to] { offer(id, to); });
}

void load_model::offer(std::size_t id, std::size_t to)
{
    const request& asked = requests_[id];
    const model_kind& kind = options_.kinds[asked.kind];
    admission_request next;
    next.id = id + 1;
    next.priority = kind.priority;
    next.deadline = asked.arrived + kind.timeout;
    next.kind = static_cast<std::uint32_t>(asked.kind + 1);
    next.target = asked.first + kind.target;
    if (!nodes_[to].link->accepts(next.kind, now_)) {
        const milliseconds wait =
            std::chrono::duration_cast<milliseconds>(nodes_[to].link->delay(now_));
        apply(to, {{}, {{next.id, refusal_reason::too_late, wait}}});
        return;
    }
    apply(to, nodes_[to].gate->offer(next, now_));
    model_result& at = by_millisecond_[(now_ - start_) / milliseconds(1)];
    at.most_queued = std::max<std::uint64_t>(at.most_queued, load_of(to).queued);
}

void load_model::apply(std::size_t at, const admission_actions& actions)
{
    for (const admission_refusal& each : actions.refused) {
        const std::size_t id = each.id - 1;
        after(way(requests_[id].origin, at),
              [this, id, at, wait = each.retry_after, load = load_of(at)] {
                  node& origin = nodes_[requests_[id].origin];
                  origin.others->record_response(nodes_[at].name, load, nanoseconds(0), now_);
                  refused(id, at, wait);
              });
    }
    for (const std::uint64_t gate_id : actions.run) {
        const std::size_t id = gate_id - 1;
        const model_kind& kind = options_.kinds[requests_[id].kind];
        const double normal = std::sqrt(-2 * std::log(draw())) * std::cos(6.283185307 * draw());
        const double factor = std::exp(kind.spread * normal - kind.spread * kind.spread / 2);
        const nanoseconds taken(static_cast<std::int64_t>(
            static_cast<double>(nanoseconds(kind.work).count()) * factor / nodes_[at].speed));
        if (nodes_[at].failure_ratio > 0 && draw() < nodes_[at].failure_ratio) {
            fail_call(id, at);
            continue;
        }
        ++nodes_[at].runs;
        after(taken, [this, id, at] {
            nodes_[at].failures.add(false, now_);
            apply(at, nodes_[at].gate->finish(id + 1, true, now_));
            const nanoseconds transit =
                requests_[id].origin == at
                    ? nanoseconds(0)
                    : send_answer(at, requests_[id].kind) + way(requests_[id].origin, at);
            after(transit, [this, id, at, transit, load = load_of(at)] {
                node& origin = nodes_[requests_[id].origin];
                origin.others->record_response(nodes_[at].name, load, transit, now_);
                answered(id, at);
            });
        });
    }
}

nanoseconds load_model::send_answer(std::size_t from, std::size_t kind)
{
    node& sender = nodes_[from];
    const std::size_t bytes = options_.kinds[kind].answer_bytes;
    sender.link->add_response(static_cast<std::uint32_t>(kind + 1), bytes, now_);
    if (options_.link_bytes_per_second <= 0) {
        return nanoseconds(0);
    }
    const double seconds = (static_cast<double>(bytes) * link_overhead + link_headers) /
                           options_.link_bytes_per_second;
    sender.link_free =
        std::max(sender.link_free, now_) + nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
    return sender.link_free - now_;
}

void load_model::fail_call(std::size_t id, std::size_t at)
{
    ++by_millisecond_[(requests_[id].first - start_) / milliseconds(1)].failures;
    after(failed_call, [this, id, at] {
        nodes_[at].failures.add(true, now_);
        apply(at, nodes_[at].gate->finish(id + 1, false, now_));
        after(way(requests_[id].origin, at), [this, id, at, load = load_of(at)] {
            node& origin = nodes_[requests_[id].origin];
            origin.others->record_response(nodes_[at].name, load, nanoseconds(0), now_);
            refused(id, at, milliseconds(400));
        });
    });
}

void load_model::refused(std::size_t id, std::size_t by, milliseconds retry_after)
{
    request& asked = requests_[id];
    const model_kind& kind = options_.kinds[asked.kind];
    model_result& count = by_millisecond_[(asked.first - start_) / milliseconds(1)];
    if (by != asked.origin || !asked.tried.empty()) {
        if (asked.tried.size() < max_gates) {
            attempt(id);
            return;
        }
    }
    ++count.refusals;
    const nanoseconds left = asked.first + kind.timeout - now_;
    const nanoseconds wait =
        std::min<nanoseconds>(std::max(retry_after, milliseconds(100)), left / 3);
    if (asked.tries >= options_.retries || left <= nanoseconds(0)) {
        ++count.refused;
        return;
    }
    ++asked.tries;
    asked.tried.clear();
    after(wait, [this, id] {
        requests_[id].arrived = now_;
        attempt(id);
    });
}

void load_model::answered(std::size_t id, std::size_t by)
{
    const request& asked = requests_[id];
    model_result& count = by_millisecond_[(asked.first - start_) / milliseconds(1)];
    const bool on_time = now_ - asked.first <= options_.kinds[asked.kind].target;
    count.waited += now_ - asked.first;
    ++(on_time ? count.on_time : count.late);
    count.far += nodes_[by].domain != nodes_[asked.origin].domain ? 1 : 0;
}

void load_model::check_gates()
{
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        apply(index, nodes_[index].gate->expire(now_));
    }
    after(gate_check, [this] { check_gates(); });
}

model_result load_model::result(milliseconds from, milliseconds to) const
{
    model_result sum;
    for (auto each = by_millisecond_.lower_bound(from.count());
         each != by_millisecond_.lower_bound(to.count()); ++each) {
        sum.asked += each->second.asked;
        sum.on_time += each->second.on_time;
        sum.late += each->second.late;
        sum.refused += each->second.refused;
        sum.refusals += each->second.refusals;
        sum.failures += each->second.failures;
        sum.waited += each->second.waited;
        sum.far += each->second.far;
        sum.most_queued = std::max(sum.most_queued, each->second.most_queued);
    }
    return sum;
}

} // namespace agatespread
