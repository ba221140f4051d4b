#include "inbound_call.h"
#include "proxy_headers.h"

#include <agatespread/digest.h>

#include <utility>

namespace agatespread {

using std::chrono::milliseconds;

namespace detail {

namespace {

counter& refusal_counter(metrics& data, refusal_reason reason)
{
    return data.counter_of("agatespread_admission_refused_total",
                           {{"reason", std::string(name_of(reason))}});
}

} // namespace

inbound_series::inbound_series(metrics& data, const std::string& tenant,
                               const std::string& request_class)
    : requests(data.counter_of("agatespread_inbound_requests_total",
                               {{"tenant", tenant}, {"class", request_class}})),
      run(data.counter_of("agatespread_inbound_run_total",
                          {{"tenant", tenant}, {"class", request_class}})),
      wait(data.histogram_of("agatespread_admission_wait_seconds",
                             {{"tenant", tenant}, {"class", request_class}})),
      service(data.histogram_of("agatespread_upstream_seconds",
                                {{"tenant", tenant}, {"class", request_class}}))
{
}

inbound_counters::inbound_counters(metrics& data)
    : refused{&refusal_counter(data, refusal_reason::too_late),
              &refusal_counter(data, refusal_reason::queue_full),
              &refusal_counter(data, refusal_reason::shed),
              &refusal_counter(data, refusal_reason::draining),
              &refusal_counter(data, refusal_reason::unavailable),
              &refusal_counter(data, refusal_reason::expired)},
      unauthenticated(data.counter_of("agatespread_inbound_unauthenticated_total")),
      duplicates(data.counter_of("agatespread_inbound_duplicates_total")),
      blocked(data.counter_of("agatespread_crash_guard_blocked_total", {{"side", "inbound"}})),
      waited(data.counter_of("agatespread_crash_guard_waits_total")),
      crashes(data.counter_of("agatespread_upstream_crashes_total")),
      failed(data.counter_of("agatespread_upstream_failed_total")),
      timed_out(data.counter_of("agatespread_upstream_timed_out_total")),
      cancelled(data.counter_of("agatespread_inbound_cancelled_total"))
{
}

} // namespace detail

inbound::impl::impl(inbound_hooks connected, const admission_options& options,
                    const mesh_signer& signs, crash_guard& guards, metrics& data)
    : hooks(std::move(connected)), signer(signs), guard(guards), numbers(data), gate(options),
      counters(data), upstream(std::make_shared<upstream_address>())
{
}

detail::inbound_series& inbound::impl::series_of(const std::string& tenant,
                                                 const std::string& request_class)
{
    const std::string key = tenant + '\n' + request_class;
    const std::lock_guard<std::mutex> lock(series_mutex);
    std::unique_ptr<detail::inbound_series>& known = series[key];
    if (!known) {
        known = std::make_unique<detail::inbound_series>(numbers, tenant, request_class);
    }
    return *known;
}

bool inbound::impl::add(std::uint64_t id, const std::shared_ptr<detail::inbound_call>& call)
{
    call_shard& home = shards[id % shards.size()];
    const std::lock_guard<std::mutex> lock(home.mutex);
    return home.calls.emplace(id, call).second;
}

void inbound::impl::remove(std::uint64_t id)
{
    call_shard& home = shards[id % shards.size()];
    const std::lock_guard<std::mutex> lock(home.mutex);
    home.calls.erase(id);
}

std::shared_ptr<detail::inbound_call> inbound::impl::find(std::uint64_t id)
{
    call_shard& home = shards[id % shards.size()];
    const std::lock_guard<std::mutex> lock(home.mutex);
    const auto found = home.calls.find(id);
    return found == home.calls.end() ? nullptr : found->second;
}

void inbound::impl::on_lane_of(std::uint64_t id, const worker_context* current,
                               void (detail::inbound_call::*step)())
{
    const std::shared_ptr<detail::inbound_call> call = find(id);
    if (!call) {
        return;
    }
    if (&call->lane() == current) {
        (*call.*step)();
        return;
    }
    call->lane().post([call, step] { (*call.*step)(); });
}

void inbound::impl::apply(const admission_actions& actions, const worker_context* current)
{
    for (const admission_refusal& refusal : actions.refused) {
        counters.refused[static_cast<std::size_t>(refusal.reason)]->add();
        const std::shared_ptr<detail::inbound_call> call = find(refusal.id);
        if (call && &call->lane() == current) {
            call->refused(refusal);
        }
        else if (call) {
            call->lane().post([call, refusal] { call->refused(refusal); });
        }
    }
    for (const std::uint64_t id : actions.run) {
        on_lane_of(id, current, &detail::inbound_call::forward);
    }
}

void inbound::impl::apply(const guard_actions& actions, const worker_context* current)
{
    for (const crash_report& report : actions.reports) {
        if (hooks.report) {
            hooks.report(report);
        }
    }
    for (const std::uint64_t id : actions.refuse) {
        on_lane_of(id, current, &detail::inbound_call::blocked);
    }
    for (const std::uint64_t id : actions.pass) {
        on_lane_of(id, current, &detail::inbound_call::admit);
    }
}

inbound::inbound(inbound_hooks hooks, const admission_options& options, const mesh_signer& signer,
                 crash_guard& guard, metrics& data)
    : impl_(std::make_shared<impl>(std::move(hooks), options, signer, guard, data))
{
}

inbound::~inbound() = default;

void inbound::set_upstream(std::string url, const upstream_record& record, time_point now)
{
    const std::shared_ptr<impl::upstream_address> next = std::make_shared<impl::upstream_address>();
    next->url = std::move(url);
    next->service = record.service + "." + record.fleet;
    std::atomic_store(&impl_->upstream, std::shared_ptr<const impl::upstream_address>(next));
    impl_->apply(impl_->gate.set_upstream(record.state, record.slots, now), nullptr);
}

void inbound::handle(std::shared_ptr<http_exchange> exchange, const worker_context& lane)
{
    std::optional<call_metadata> call =
        impl_->signer.read_call(exchange->request(), lane.wall_clock());
    if (!call) {
        impl_->counters.unauthenticated.add();
        exchange->respond(
            proxy_error_response(403, "not a call of a node of this mesh", false, milliseconds(0)));
        return;
    }
    std::make_shared<detail::inbound_call>(impl_, std::move(exchange), lane, std::move(*call))
        ->start();
}

void inbound::tick(time_point now)
{
    impl_->apply(impl_->gate.expire(now), nullptr);
    if (impl_->waiting.load() == 0) {
        return;
    }
    for (impl::call_shard& home : impl_->shards) {
        std::vector<std::shared_ptr<detail::inbound_call>> calls;
        {
            const std::lock_guard<std::mutex> lock(home.mutex);
            for (const auto& each : home.calls) {
                calls.push_back(each.second);
            }
        }
        for (const std::shared_ptr<detail::inbound_call>& call : calls) {
            call->lane().post([call] { call->expire(); });
        }
    }
}

bool inbound::idle() const
{
    for (const impl::call_shard& home : impl_->shards) {
        const std::lock_guard<std::mutex> lock(home.mutex);
        if (!home.calls.empty()) {
            return false;
        }
    }
    return true;
}

admission_load inbound::load(time_point now) const
{
    return impl_->gate.load(now);
}

} // namespace agatespread
