#include "inbound_call.h"
#include "proxy_headers.h"

#include <agatespread/digest.h>

#include <utility>

namespace agatespread {

using std::chrono::milliseconds;

namespace detail {

namespace {

counter& refusal_counter(metrics& metric_registry, refusal_reason reason)
{
    return metric_registry.counter_of("agatespread_admission_refused_total",
                                      {{"reason", std::string(name_of(reason))}});
}

} // namespace

inbound_series::inbound_series(metrics& metric_registry, const std::string& tenant,
                               const std::string& request_class)
    : requests(metric_registry.counter_of("agatespread_inbound_requests_total",
                                          {{"tenant", tenant}, {"class", request_class}})),
      run(metric_registry.counter_of("agatespread_inbound_run_total",
                                     {{"tenant", tenant}, {"class", request_class}})),
      admission_wait(metric_registry.histogram_of("agatespread_admission_wait_seconds",
                                                  {{"tenant", tenant}, {"class", request_class}})),
      service_time(metric_registry.histogram_of("agatespread_upstream_seconds",
                                                {{"tenant", tenant}, {"class", request_class}}))
{
}

inbound_counters::inbound_counters(metrics& metric_registry)
    : refused{&refusal_counter(metric_registry, refusal_reason::too_late),
              &refusal_counter(metric_registry, refusal_reason::queue_full),
              &refusal_counter(metric_registry, refusal_reason::shed),
              &refusal_counter(metric_registry, refusal_reason::draining),
              &refusal_counter(metric_registry, refusal_reason::unavailable),
              &refusal_counter(metric_registry, refusal_reason::expired)},
      unauthenticated(metric_registry.counter_of("agatespread_inbound_unauthenticated_total")),
      duplicates(metric_registry.counter_of("agatespread_inbound_duplicates_total")),
      blocked(metric_registry.counter_of("agatespread_crash_guard_blocked_total",
                                         {{"side", "inbound"}})),
      waited(metric_registry.counter_of("agatespread_crash_guard_waits_total")),
      crashes(metric_registry.counter_of("agatespread_upstream_crashes_total")),
      failed(metric_registry.counter_of("agatespread_upstream_failed_total")),
      timed_out(metric_registry.counter_of("agatespread_upstream_timed_out_total")),
      cancelled(metric_registry.counter_of("agatespread_inbound_cancelled_total"))
{
}

} // namespace detail

inbound::impl::impl(inbound_hooks callbacks, const admission_options& options,
                    const mesh_signer& header_signer, crash_guard& request_guard,
                    metrics& metric_registry)
    : hooks(std::move(callbacks)), signer(header_signer), guard(request_guard),
      series_registry(metric_registry), gate(options), counters(metric_registry),
      upstream(std::make_shared<upstream_address>())
{
}

detail::inbound_series& inbound::impl::series_of(const std::string& tenant,
                                                 const std::string& request_class)
{
    const std::string key = tenant + '\n' + request_class;
    const std::lock_guard<std::mutex> lock(series_mutex);
    std::unique_ptr<detail::inbound_series>& entry = series[key];
    if (!entry) {
        entry = std::make_unique<detail::inbound_series>(series_registry, tenant, request_class);
    }
    return *entry;
}

bool inbound::impl::add(std::uint64_t id, const std::shared_ptr<detail::inbound_call>& call)
{
    call_shard& shard = shards[id % shards.size()];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    return shard.calls.emplace(id, call).second;
}

void inbound::impl::remove(std::uint64_t id)
{
    call_shard& shard = shards[id % shards.size()];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.calls.erase(id);
}

std::shared_ptr<detail::inbound_call> inbound::impl::find(std::uint64_t id)
{
    call_shard& shard = shards[id % shards.size()];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.calls.find(id);
    return found == shard.calls.end() ? nullptr : found->second;
}

void inbound::impl::run_on_worker_of(std::uint64_t id, const worker_context* current_worker,
                                     void (detail::inbound_call::*step)())
{
    const std::shared_ptr<detail::inbound_call> call = find(id);
    if (!call) {
        return;
    }
    if (&call->worker() == current_worker) {
        (*call.*step)();
        return;
    }
    call->worker().post([call, step] { (*call.*step)(); });
}

void inbound::impl::apply(const admission_actions& actions, const worker_context* current_worker)
{
    for (const admission_refusal& refusal : actions.refused) {
        counters.refused[static_cast<std::size_t>(refusal.reason)]->add();
        const std::shared_ptr<detail::inbound_call> call = find(refusal.id);
        if (call && &call->worker() == current_worker) {
            call->on_refused(refusal);
        }
        else if (call) {
            call->worker().post([call, refusal] { call->on_refused(refusal); });
        }
    }
    for (const std::uint64_t id : actions.run) {
        run_on_worker_of(id, current_worker, &detail::inbound_call::forward);
    }
}

void inbound::impl::apply(const guard_actions& actions, const worker_context* current_worker)
{
    for (const crash_report& report : actions.reports) {
        if (hooks.report) {
            hooks.report(report);
        }
    }
    for (const std::uint64_t id : actions.refuse) {
        run_on_worker_of(id, current_worker, &detail::inbound_call::on_blocked);
    }
    for (const std::uint64_t id : actions.pass) {
        run_on_worker_of(id, current_worker, &detail::inbound_call::admit);
    }
}

inbound::inbound(inbound_hooks hooks, const admission_options& options, const mesh_signer& signer,
                 crash_guard& guard, metrics& metric_registry)
    : impl_(std::make_shared<impl>(std::move(hooks), options, signer, guard, metric_registry))
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

void inbound::handle(std::shared_ptr<http_exchange> exchange, const worker_context& worker)
{
    std::optional<call_metadata> call =
        impl_->signer.read_call(exchange->request(), worker.wall_clock());
    if (!call) {
        impl_->counters.unauthenticated.add();
        exchange->respond(proxy_error_response(403, "request is not signed by a node of this mesh",
                                               false, milliseconds(0)));
        return;
    }
    std::make_shared<detail::inbound_call>(impl_, std::move(exchange), worker, std::move(*call))
        ->start();
}

void inbound::tick(time_point now)
{
    impl_->apply(impl_->gate.expire(now), nullptr);
    if (impl_->waiting.load() == 0) {
        return;
    }
    for (impl::call_shard& shard : impl_->shards) {
        std::vector<std::shared_ptr<detail::inbound_call>> calls;
        {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            for (const auto& each : shard.calls) {
                calls.push_back(each.second);
            }
        }
        for (const std::shared_ptr<detail::inbound_call>& call : calls) {
            call->worker().post([call] { call->expire(); });
        }
    }
}

bool inbound::idle() const
{
    for (const impl::call_shard& shard : impl_->shards) {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        if (!shard.calls.empty()) {
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
