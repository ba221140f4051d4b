#include "outbound_call.h"
#include "outbound_impl.h"

#include <agatespread/digest.h>

#include <utility>

namespace agatespread {

namespace detail {

namespace {

counter& request_counter(metrics& metric_registry, const std::string& tenant,
                         const std::string& request_class, const std::string& result)
{
    return metric_registry.counter_of(
        "agatespread_requests_total",
        {{"tenant", tenant}, {"class", request_class}, {"result", result}});
}

counter& denial_counter(metrics& metric_registry, const std::string& reason)
{
    return metric_registry.counter_of("agatespread_retries_denied_total", {{"reason", reason}});
}

} // namespace

outbound_series::outbound_series(metrics& metric_registry, const std::string& tenant,
                                 const std::string& request_class)
    : answered(request_counter(metric_registry, tenant, request_class, "answered")),
      retries(metric_registry.counter_of("agatespread_retries_total",
                                         {{"tenant", tenant}, {"class", request_class}})),
      not_run(request_counter(metric_registry, tenant, request_class, "not_run")),
      failed(request_counter(metric_registry, tenant, request_class, "failed")),
      unknown(request_counter(metric_registry, tenant, request_class, "unknown")),
      cancelled(request_counter(metric_registry, tenant, request_class, "cancelled")),
      duration(metric_registry.histogram_of("agatespread_request_seconds",
                                            {{"tenant", tenant}, {"class", request_class}}))
{
}

outbound_counters::outbound_counters(metrics& metric_registry)
    : unresolved(metric_registry.counter_of("agatespread_unresolved_total")),
      blocked(metric_registry.counter_of("agatespread_crash_guard_blocked_total",
                                         {{"side", "outbound"}})),
      suspects(metric_registry.counter_of("agatespread_crash_guard_suspects_total",
                                          {{"side", "outbound"}})),
      crossed_answers(metric_registry.counter_of("agatespread_crossed_answers_total")),
      late_answers(metric_registry.counter_of("agatespread_late_answers_total")),
      spilled(metric_registry.counter_of("agatespread_spilled_total")),
      trials(metric_registry.counter_of("agatespread_trials_total")),
      denied_budget(denial_counter(metric_registry, "budget")),
      denied_deadline(denial_counter(metric_registry, "deadline")),
      denied_unsafe(denial_counter(metric_registry, "unsafe")),
      denied_other(denial_counter(metric_registry, "other")),
      claims_refused(metric_registry.counter_of("agatespread_claims_refused_total")),
      claims_repeated(metric_registry.counter_of("agatespread_claims_repeated_total"))
{
}

} // namespace detail

outbound::impl::impl(outbound_options initial_options, outbound_hooks callbacks,
                     const mesh_signer& header_signer, crash_guard& request_guard,
                     balancer& upstream_balancer, metrics& metric_registry)
    : options(std::move(initial_options)), hooks(std::move(callbacks)), signer(header_signer),
      guard(request_guard), upstreams(upstream_balancer), series_registry(metric_registry),
      retries(options.retry), counters(metric_registry)
{
}

detail::outbound_series& outbound::impl::series_of(const std::string& tenant,
                                                   const std::string& request_class)
{
    const std::string key = tenant + '\n' + request_class;
    series_shard& shard = shards[hash64(key) % shards.size()];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    std::unique_ptr<detail::outbound_series>& entry = shard.series[key];
    if (!entry) {
        entry = std::make_unique<detail::outbound_series>(series_registry, tenant, request_class);
    }
    return *entry;
}

outbound::outbound(outbound_options options, outbound_hooks hooks, const mesh_signer& signer,
                   crash_guard& guard, balancer& upstreams, metrics& metric_registry)
    : impl_(std::make_shared<impl>(std::move(options), std::move(hooks), signer, guard, upstreams,
                                   metric_registry))
{
}

outbound::~outbound() = default;

void outbound::handle(std::shared_ptr<http_exchange> exchange, const worker_context& worker)
{
    std::make_shared<detail::outbound_call>(impl_, std::move(exchange), worker)->start();
}

std::size_t outbound::in_flight() const
{
    return impl_->in_flight.load();
}

} // namespace agatespread
