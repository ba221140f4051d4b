#include "crash_model.h"

#include <algorithm>
#include <string>
#include <utility>

namespace agatespread::test {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::uint64_t crashing_request = 1U << 20U;

constexpr std::ptrdiff_t slots = 9; // Of each upstream.
constexpr milliseconds network_delay{5};
constexpr milliseconds time_to_crash{10};
constexpr milliseconds mean_service_time{90};
constexpr milliseconds request_timeout{2000};
constexpr milliseconds silence_timeout{1000};
constexpr milliseconds probe_timeout{500};
constexpr milliseconds upstream_restart_time{4000};
constexpr milliseconds node_restart_time{1000};
constexpr milliseconds heartbeat_delay{200};
constexpr milliseconds share_period{250};
constexpr milliseconds drain_time{2500};
constexpr milliseconds trial_duration = crash_guard_options().trial_duration;

} // namespace

crash_model::crash_model(const crash_model_options& options)
    : options_(options), engine_(options.seed), nodes_(options.nodes)
{
    for (std::size_t rank = 1; rank <= options.distinct_requests; ++rank) {
        weights_.push_back(1.0 / static_cast<double>(rank));
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        start_node(index);
    }
    every(options.crash_period, [this] { send_crashing(); });
    every(options.node_restart_period, [this] { stop_node(below(nodes_.size())); });
    every(options.all_nodes_restart_period, [this] {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            stop_node(index);
        }
    });
    every(options.upstream_kill_period, [this] {
        for (std::size_t count = 0; count < options_.killed_upstreams; ++count) {
            end_upstream(below(nodes_.size()), true, false);
        }
    });
    every(options.release_period, [this] {
        const std::size_t index = below(nodes_.size());
        nodes_[index].gate_open = false;
        queue_.after(drain_time, [this, index] { end_upstream(index, true, true); });
    });
    every(milliseconds(static_cast<int>(1000 / options.requests_per_second)),
          [this] { send_harmless(); });
    every(share_period, [this] {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_[index].up) {
                send_reports(index, below(nodes_.size()),
                             nodes_[index].sharing->next_page(queue_.now()));
            }
        }
    });
}

bool crash_model::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(engine_) < probability;
}

std::size_t crash_model::below(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(engine_);
}

void crash_model::every(milliseconds period, std::function<void()> call)
{
    if (period.count() > 0) {
        queue_.after(period, [this, period, call = std::move(call)] {
            call();
            every(period, call);
        });
    }
}

void crash_model::start_node(std::size_t index)
{
    model_node& node = nodes_[index];
    node.guard = std::make_unique<crash_guard>(crash_guard_options());
    node.sharing =
        std::make_unique<detail::crash_sharing>(*node.guard, detail::crash_sharing_options());
    node.up = true;
    node.gate_open = node.upstream_up;
    ++node.process;
    for (const auto& each : stored_blocks_) {
        crash_report block = each.second.first;
        block.blocked_for = std::max(duration_cast<milliseconds>(each.second.second - queue_.now()),
                                     milliseconds(1));
        node.guard->receive(block, queue_.now());
    }
}

void crash_model::stop_node(std::size_t index)
{
    model_node& node = nodes_[index];
    if (!node.up) {
        return;
    }
    node.up = false;
    node.calls.clear();
    node.queue.clear();
    queue_.after(node_restart_time, [this, index] { start_node(index); });
}

void crash_model::send_crashing()
{
    const std::uint64_t variant = options_.varies_query ? crashing_sent_ : 0;
    ++crashing_sent_;
    send(crashing_request + variant, options_.returns_after_refusal);
}

bool crash_model::crashes_upstream(std::uint64_t fingerprint) const
{
    return fingerprint >= crashing_request;
}

request_identity crash_model::identity_of(std::uint64_t fingerprint) const
{
    const bool has_shared_path = options_.shares_path || crashes_upstream(fingerprint);
    const std::string path = has_shared_path ? "/shared" : "/" + std::to_string(fingerprint);
    return {fingerprint, identify_request("mesh.example", "GET", path, "").path};
}

void crash_model::send_harmless()
{
    ++harmless_sent_;
    send(std::discrete_distribution<std::uint64_t>(weights_.begin(), weights_.end())(engine_), 0);
}

void crash_model::return_later(std::uint64_t fingerprint, std::size_t returns,
                               milliseconds retry_after)
{
    if (returns > 0) {
        queue_.after(retry_after, [this, fingerprint, returns] { send(fingerprint, returns - 1); });
    }
}

void crash_model::send(std::uint64_t fingerprint, std::size_t returns)
{
    const model_node& caller = nodes_[below(nodes_.size())];
    if (!caller.up) {
        return;
    }
    const guard_check known = caller.guard->check(identity_of(fingerprint), queue_.now());
    if (known.state == suspicion::blocked) {
        record_refusal(fingerprint);
        return_later(fingerprint, returns, known.retry_after);
        return;
    }
    std::vector<std::size_t> gates;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (nodes_[index].up && nodes_[index].gate_open) {
            gates.push_back(index);
        }
    }
    if (gates.empty()) {
        return;
    }
    const std::size_t gate = gates[below(gates.size())];
    queue_.after(network_delay,
                 [this, gate, fingerprint, suspect = known.state == suspicion::suspect] {
                     deliver(gate, fingerprint, suspect, false);
                 });
}

void crash_model::retry(std::size_t crashed_gate, const model_call& call)
{
    if (!options_.retries_after_crash || call.retried) {
        return;
    }
    std::vector<std::size_t> gates;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (index != crashed_gate && nodes_[index].up && nodes_[index].gate_open) {
            gates.push_back(index);
        }
    }
    if (!gates.empty()) {
        const std::size_t gate = gates[below(gates.size())];
        queue_.after(2 * network_delay, [this, gate, fingerprint = call.fingerprint] {
            deliver(gate, fingerprint, true, true);
        });
    }
}

void crash_model::deliver(std::size_t gate, std::uint64_t fingerprint, bool suspect, bool retried)
{
    model_node& node = nodes_[gate];
    if (!node.up || !node.gate_open) {
        return;
    }
    const std::uint64_t id = ++next_id_;
    const time_point now = queue_.now();
    node.calls[id] = {fingerprint, 0, now + request_timeout, false, retried};
    queue_.after(request_timeout, [this, gate, id] { end_at_deadline(gate, id); });
    queue_.after(silence_timeout, [this, gate, process = node.process] {
        queue_.after(probe_timeout, [this, gate, process] { end_running(gate, process); });
    });
    const guard_decision entry = node.guard->enter(id, identity_of(fingerprint), suspect, now);
    if (entry.verdict == guard_verdict::pass) {
        offer_call(gate, id);
    }
    else if (entry.verdict == guard_verdict::refuse) {
        node.calls.erase(id);
        record_refusal(fingerprint);
    }
}

bool crash_model::has_free_slot(const model_node& node)
{
    const auto is_running = [](const std::pair<const std::uint64_t, model_call>& each) {
        return each.second.running;
    };
    return std::count_if(node.calls.begin(), node.calls.end(), is_running) < slots;
}

void crash_model::offer_call(std::size_t gate, std::uint64_t id)
{
    model_node& node = nodes_[gate];
    const auto found = node.calls.find(id);
    if (found == node.calls.end()) {
        return;
    }
    if (node.gate_open && has_free_slot(node)) {
        start_call(gate, id);
        return;
    }
    if (node.gate_open && node.queue.size() < options_.queue_length) {
        node.queue.push_back(id);
        return;
    }
    node.calls.erase(found);
    apply(gate, node.guard->leave(id, call_end::not_run, queue_.now()));
}

void crash_model::start_queued(std::size_t gate)
{
    model_node& node = nodes_[gate];
    while (!node.queue.empty() && (!node.gate_open || has_free_slot(node))) {
        const std::uint64_t id = node.queue.front();
        node.queue.pop_front();
        if (node.gate_open) {
            start_call(gate, id);
        }
        else if (node.calls.erase(id) > 0) {
            apply(gate, node.guard->leave(id, call_end::not_run, queue_.now()));
        }
    }
}

void crash_model::start_call(std::size_t gate, std::uint64_t id)
{
    model_node& node = nodes_[gate];
    const auto found = node.calls.find(id);
    if (found == node.calls.end()) {
        return;
    }
    const guard_decision entry = node.guard->try_start(id, queue_.now());
    if (entry.verdict == guard_verdict::refuse) {
        record_refusal(found->second.fingerprint);
        node.calls.erase(found);
        apply(gate, node.guard->leave(id, call_end::not_run, queue_.now()));
    }
    if (entry.verdict != guard_verdict::pass) {
        return;
    }
    found->second.running = true;
    found->second.upstream_incarnation = node.upstream_incarnation;
    if (entry.trial) {
        guard_actions trial;
        trial.reports.push_back(*entry.trial);
        apply(gate, trial);
    }
    if (!node.upstream_up) {
        return; // Stays without an answer until its deadline.
    }
    const bool fails = chance(options_.server_error_ratio);
    if (crashes_upstream(found->second.fingerprint) && !fails) {
        run_crashing(gate, id);
    }
    else {
        run_to_response(gate, id, fails);
    }
}

void crash_model::run_crashing(std::size_t gate, std::uint64_t id)
{
    crash_times_.push_back(queue_.now());
    if (options_.ending == crash_ending::caller_left) {
        const model_call call = nodes_[gate].calls.at(id);
        nodes_[gate].calls.erase(id);
        apply(gate, nodes_[gate].guard->leave_unanswered(id, call.deadline, queue_.now()));
    }
    queue_.after(time_to_crash, [this, gate, incarnation = nodes_[gate].upstream_incarnation] {
        if (nodes_[gate].upstream_incarnation == incarnation) {
            end_upstream(gate, options_.ending == crash_ending::closes_connections, false);
        }
    });
}

void crash_model::run_to_response(std::size_t gate, std::uint64_t id, bool failed)
{
    std::exponential_distribution<double> service_time(1.0 / mean_service_time.count());
    const milliseconds taken(static_cast<int>(service_time(engine_)));
    queue_.after(failed ? milliseconds(1) : taken, [this, gate, id, failed] {
        model_node& node = nodes_[gate];
        const auto found = node.calls.find(id);
        if (found == node.calls.end() ||
            found->second.upstream_incarnation != node.upstream_incarnation || !node.upstream_up) {
            return;
        }
        const std::uint64_t fingerprint = found->second.fingerprint;
        node.calls.erase(found);
        if (!failed) {
            record_success(fingerprint);
        }
        apply(gate, node.guard->leave(id, failed ? call_end::responded : call_end::succeeded,
                                      queue_.now()));
    });
}

void crash_model::end_at_deadline(std::size_t gate, std::uint64_t id)
{
    model_node& node = nodes_[gate];
    const auto found = node.calls.find(id);
    if (found == node.calls.end()) {
        return;
    }
    const model_call call = found->second;
    node.calls.erase(found);
    if (!call.running) {
        apply(gate, node.guard->leave(id, call_end::not_run, queue_.now()));
        return;
    }
    queue_.after(node.upstream_up ? milliseconds(0) : probe_timeout, [this, gate, id, call,
                                                                      process = node.process] {
        model_node& later = nodes_[gate];
        if (later.process != process || !later.up) {
            return;
        }
        if (later.upstream_up) {
            apply(gate, later.guard->leave_unanswered(id, call.deadline, queue_.now()));
            return;
        }
        later.gate_open = false;
        apply(gate, later.guard->crashed(id, queue_.now()));
    });
}

void crash_model::end_running(std::size_t index, std::uint64_t process)
{
    model_node& node = nodes_[index];
    if (node.upstream_up || !node.up || node.process != process) {
        return;
    }
    node.gate_open = false;
    std::vector<std::uint64_t> lost;
    for (const std::pair<const std::uint64_t, model_call>& each : node.calls) {
        if (each.second.running) {
            lost.push_back(each.first);
        }
    }
    for (const std::uint64_t id : lost) {
        const model_call call = node.calls.at(id);
        node.calls.erase(id);
        apply(index, node.guard->crashed(id, queue_.now()));
        retry(index, call);
    }
}

void crash_model::end_upstream(std::size_t index, bool closes_connections, bool announced)
{
    model_node& node = nodes_[index];
    if (!node.upstream_up) {
        return;
    }
    node.upstream_up = false;
    node.exit_announced = announced;
    if (closes_connections) {
        end_running(index, node.process);
    }
    queue_.after(upstream_restart_time, [this, index] {
        model_node& restarted = nodes_[index];
        restarted.upstream_up = true;
        ++restarted.upstream_incarnation;
        queue_.after(heartbeat_delay, [this, index, process = restarted.process] {
            model_node& later = nodes_[index];
            later.gate_open = later.up;
            if (later.up && later.process == process) {
                apply(index, later.guard->upstream_replaced(later.exit_announced, queue_.now()));
            }
        });
    });
}

void crash_model::apply(std::size_t index, const guard_actions& actions)
{
    model_node& node = nodes_[index];
    for (const crash_report& report : actions.reports) {
        node.sharing->add(report, queue_.now());
        if (report.cleared) {
            stored_blocks_.erase(report.fingerprint);
        }
        if (report.blocked_for.count() > 0 && report.crashes > 1) {
            stored_blocks_[report.fingerprint] = {report, queue_.now() + report.blocked_for};
        }
    }
    if (!actions.reports.empty()) {
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            send_reports(index, to, actions.reports);
        }
    }
    for (const std::uint64_t id : actions.refuse) {
        const auto found = node.calls.find(id);
        if (found != node.calls.end()) {
            record_refusal(found->second.fingerprint);
            node.calls.erase(found);
        }
    }
    for (const std::uint64_t id : actions.pass) {
        offer_call(index, id);
    }
    start_queued(index);
}

void crash_model::send_reports(std::size_t from, std::size_t to, std::vector<crash_report> reports)
{
    if (from == to || reports.empty() || chance(options_.report_loss)) {
        return;
    }
    queue_.after(network_delay, [this, to, reports = std::move(reports)] {
        if (nodes_[to].up) {
            for (const crash_report& report : reports) {
                nodes_[to].guard->receive(report, queue_.now());
            }
        }
    });
}

void crash_model::record_refusal(std::uint64_t fingerprint)
{
    if (crashes_upstream(fingerprint)) {
        return;
    }
    ++harmless_refused_;
    refusal_span& span = refusals_[fingerprint];
    if (!std::exchange(span.refusing, true)) {
        span.since = queue_.now();
    }
    harmless_refused_long_ += queue_.now() - span.since > trial_duration ? 1 : 0;
    longest_refusal_ =
        std::max<std::chrono::nanoseconds>(longest_refusal_, queue_.now() - span.since);
}

void crash_model::record_success(std::uint64_t fingerprint)
{
    refusals_[fingerprint].refusing = false;
}

std::size_t crash_model::late_crashes(milliseconds settle_time) const
{
    if (crash_times_.size() < 3) {
        return 0;
    }
    const time_point settled = crash_times_[2] + settle_time;
    return static_cast<std::size_t>(
        std::count_if(crash_times_.begin(), crash_times_.end(),
                      [settled](time_point each) { return each > settled; }));
}

milliseconds crash_model::longest_refusal() const
{
    return duration_cast<milliseconds>(longest_refusal_);
}

} // namespace agatespread::test
