#include "sidecar_impl.h"

#include <fmt/format.h>

#include <utility>

namespace agatespread::detail {

rule_series::rule_series(metrics& data, const std::string& rule)
    : answered(data.counter_of("agatespread_rule_requests_total",
                               {{"rule", rule}, {"result", "answered"}})),
      refused(data.counter_of("agatespread_rule_requests_total",
                              {{"rule", rule}, {"result", "refused"}})),
      failed(data.counter_of("agatespread_rule_requests_total",
                             {{"rule", rule}, {"result", "failed"}})),
      cancelled(data.counter_of("agatespread_rule_requests_total",
                                {{"rule", rule}, {"result", "cancelled"}})),
      late(data.counter_of("agatespread_rule_late_total", {{"rule", rule}})),
      retries(data.counter_of("agatespread_rule_repeats_total", {{"rule", rule}})),
      duration(data.histogram_of("agatespread_rule_seconds", {{"rule", rule}}))
{
    for (std::size_t index = 0; index < stages.size(); ++index) {
        const std::string stage(name_of(static_cast<request_stage>(index)));
        stages[index] = &data.histogram_of("agatespread_rule_stage_seconds",
                                           {{"rule", rule}, {"stage", stage}});
    }
}

void rule_series::record(const request_stages& spent)
{
    for (std::size_t index = 0; index < stages.size(); ++index) {
        if (spent.times[index].count() > 0) {
            stages[index]->record(spent.times[index]);
        }
    }
}

sidecar_counters::sidecar_counters(metrics& data)
    : unrouted(data.counter_of("agatespread_unrouted_total")),
      unconfigured(data.counter_of("agatespread_unconfigured_total")),
      rerouted(data.counter_of("agatespread_moved_after_refusal_total")),
      retry_budget_exhausted(data.counter_of("agatespread_repeat_budget_empty_total")),
      upstream_lost(data.counter_of("agatespread_upstream_lost_total")),
      upstream_crashes(data.counter_of("agatespread_own_upstream_crashes_total")),
      upstream_invalid_responses(data.counter_of("agatespread_upstream_spoiled_total")),
      crash_suspects(data.counter_of("agatespread_crash_suspects_total")),
      crash_blocks(data.counter_of("agatespread_crash_blocks_total")),
      crash_refusals(data.counter_of("agatespread_crash_refusals_total")),
      reports_sent(data.counter_of("agatespread_reports_sent_total")),
      reports_received(data.counter_of("agatespread_reports_received_total")),
      reports_malformed(data.counter_of("agatespread_reports_malformed_total")),
      platform_errors(data.counter_of("agatespread_platform_errors_total")),
      configuration_remarks(data.counter_of("agatespread_configuration_remarks_total")),
      version(data.gauge_of("agatespread_configuration_version")),
      peers_known(data.gauge_of("agatespread_peers_known")),
      queued(data.gauge_of("agatespread_gate_queued")),
      crash_fingerprints(data.gauge_of("agatespread_crash_fingerprints")),
      upstream_rate_limit(data.gauge_of("agatespread_upstream_rate_limit")),
      proof_age(data.gauge_of("agatespread_version_proof_age_milliseconds")),
      quota_nodes(data.gauge_of("agatespread_quota_nodes")),
      quota_shares(data.gauge_of("agatespread_quota_shares")),
      caller_connections(data.gauge_of("agatespread_caller_connections")),
      peer_connections(data.gauge_of("agatespread_call_connections")),
      body_bytes(data.gauge_of("agatespread_body_bytes")),
      body_peak_bytes(data.gauge_of("agatespread_body_peak_bytes")),
      body_denials(data.gauge_of("agatespread_body_denials")),
      request_bytes(data.gauge_of("agatespread_request_bytes")),
      request_denials(data.gauge_of("agatespread_request_denials")),
      loop_late(data.histogram_of("agatespread_loop_late_seconds"))
{
}

std::optional<std::string> rule_series::describe_new()
{
    const std::array<std::uint64_t, 4> counts = {answered.value(), late.value(), refused.value(),
                                                 failed.value()};
    const std::array<std::uint64_t, 4> before = std::exchange(described, counts);
    if (counts == before) {
        return std::nullopt;
    }
    return fmt::format("{}/{}/{}/{}", counts[0] - before[0], counts[1] - before[1],
                       counts[2] - before[2], counts[3] - before[3]);
}

} // namespace agatespread::detail
