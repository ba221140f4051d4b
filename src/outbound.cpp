#include "outbound_call.h"
#include "outbound_impl.h"

#include <agatespread/digest.h>

#include <utility>

namespace agatespread {

namespace detail {

namespace {

counter& request_counter(metrics& data, const std::string& tenant, const std::string& request_class,
                         const std::string& result)
{
    return data.counter_of("agatespread_requests_total",
                           {{"tenant", tenant}, {"class", request_class}, {"result", result}});
}

counter& denial_counter(metrics& data, const std::string& reason)
{
    return data.counter_of("agatespread_retries_denied_total", {{"reason", reason}});
}

} // namespace

outbound_series::outbound_series(metrics& data, const std::string& tenant,
                                 const std::string& request_class)
    : answered(request_counter(data, tenant, request_class, "answered")),
      retries(data.counter_of("agatespread_retries_total",
                              {{"tenant", tenant}, {"class", request_class}})),
      not_run(request_counter(data, tenant, request_class, "not_run")),
      failed(request_counter(data, tenant, request_class, "failed")),
      unknown(request_counter(data, tenant, request_class, "unknown")),
      cancelled(request_counter(data, tenant, request_class, "cancelled")),
      duration(data.histogram_of("agatespread_request_seconds",
                                 {{"tenant", tenant}, {"class", request_class}}))
{
}

outbound_counters::outbound_counters(metrics& data)
    : unresolved(data.counter_of("agatespread_unresolved_total")),
      blocked(data.counter_of("agatespread_crash_guard_blocked_total", {{"side", "outbound"}})),
      suspects(data.counter_of("agatespread_crash_guard_suspects_total", {{"side", "outbound"}})),
      crossed_answers(data.counter_of("agatespread_crossed_answers_total")),
      late_answers(data.counter_of("agatespread_late_answers_total")),
      spilled(data.counter_of("agatespread_spilled_total")),
      trials(data.counter_of("agatespread_trials_total")),
      denied_budget(denial_counter(data, "budget")),
      denied_deadline(denial_counter(data, "deadline")),
      denied_unsafe(denial_counter(data, "unsafe")), denied_other(denial_counter(data, "other")),
      claims_refused(data.counter_of("agatespread_claims_refused_total")),
      claims_repeated(data.counter_of("agatespread_claims_repeated_total"))
{
}

} // namespace detail

outbound::impl::impl(outbound_options chosen, outbound_hooks connected, const mesh_signer& signs,
                     crash_guard& guards, balancer& balances, metrics& data)
    : options(std::move(chosen)), hooks(std::move(connected)), signer(signs), guard(guards),
      upstreams(balances), numbers(data), retries(options.retry), counters(data)
{
}

detail::outbound_series& outbound::impl::series_of(const std::string& tenant,
                                                   const std::string& request_class)
{
    const std::string key = tenant + '\n' + request_class;
    series_shard& home = shards[hash64(key) % shards.size()];
    const std::lock_guard<std::mutex> lock(home.mutex);
    std::unique_ptr<detail::outbound_series>& known = home.series[key];
    if (!known) {
        known = std::make_unique<detail::outbound_series>(numbers, tenant, request_class);
    }
    return *known;
}

outbound::outbound(outbound_options options, outbound_hooks hooks, const mesh_signer& signer,
                   crash_guard& guard, balancer& upstreams, metrics& data)
    : impl_(std::make_shared<impl>(std::move(options), std::move(hooks), signer, guard, upstreams,
                                   data))
{
}

outbound::~outbound() = default;

void outbound::handle(std::shared_ptr<http_exchange> exchange, const worker_context& lane)
{
    std::make_shared<detail::outbound_call>(impl_, std::move(exchange), lane)->start();
}

std::size_t outbound::in_flight() const
{
    return impl_->in_flight.load();
}

} // namespace agatespread
