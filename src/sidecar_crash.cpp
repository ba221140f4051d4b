#include "gate_request.h"
#include "sidecar_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

// A crash of a busy upstream makes many fingerprints suspect; a log line lists this many of them.
constexpr std::size_t max_logged_fingerprints = 16;

} // namespace

void sidecar::impl::share_crash_state(time_point now)
{
    std::vector<crash_report> page = crash_state.next_page(now);
    if (page.empty()) {
        return;
    }
    std::vector<peer_entry> recipients = known_peers.in_domain(true);
    const std::vector<peer_entry> remote = known_peers.in_domain(false);
    recipients.insert(recipients.end(), remote.begin(), remote.end());
    if (!recipients.empty()) {
        const peer_entry& peer = recipients[uniform_below(random, recipients.size())];
        send_datagram(peer, next_report(std::move(page)), "crash_state");
    }
}

void sidecar::impl::log_crash_report(const crash_report& report, std::string_view from)
{
    const bool blocked = report.blocked_for.count() > 0;
    const std::string_view state = report.cleared ? "cleared" : blocked ? "blocked" : "suspect";
    std::vector<std::uint64_t> fingerprints = report.suspects;
    if (report.cleared || blocked) {
        fingerprints.push_back(report.fingerprint);
    }
    const std::uint64_t count = fingerprints.size();
    fingerprints.resize(std::min(fingerprints.size(), max_logged_fingerprints));
    log.change("crash_report", {{"from", from},
                                {"state", state},
                                {"fingerprints", fmt::format("{}", fmt::join(fingerprints, ","))},
                                {"count", count},
                                {"blocked_for", report.blocked_for}});
    counters.crash_fingerprints.set(static_cast<std::int64_t>(guard.size()));
}

void sidecar::impl::load_blocks()
{
    blocks.load([this](const crash_report& block) {
        if (guard.receive(block, loop.now())) {
            log_crash_report(block, "platform");
        }
    });
}

void sidecar::impl::log_block_row_error(std::string_view action, const absl::Status& status)
{
    counters.platform_errors.add();
    log.change("block_row_failed", {{"action", action}, {"error", std::string(status.message())}});
}

void sidecar::impl::publish_crashes(const std::vector<crash_report>& new_reports)
{
    for (const crash_report& report : new_reports) {
        counters.crash_suspects.add(report.suspects.size());
        counters.crash_blocks.add(report.blocked_for.count() > 0 ? 1 : 0);
        log_crash_report(report, settings.node);
        crash_state.add(report, loop.now());
        const bool counts_block = report.crashes > 1;
        if (report.blocked_for.count() > 0 && counts_block) {
            blocks.store(report);
        }
        else if (report.cleared && counts_block) {
            blocks.remove(report.fingerprint);
        }
    }
    if (!new_reports.empty()) {
        send_report();
    }
}

void sidecar::impl::apply(const guard_actions& actions, std::string_view cause)
{
    if (actions.crash_counted) {
        counters.upstream_crashes.add();
        log.change("upstream_crashed",
                   {{"instance", upstream.instance()},
                    {"cause", cause},
                    {"reports", static_cast<std::uint64_t>(actions.reports.size())}});
    }
    publish_crashes(actions.reports);
    for (const std::uint64_t id : actions.refuse) {
        const auto found = gate_requests.find(id);
        if (found != gate_requests.end()) {
            const std::shared_ptr<detail::gate_request> request = found->second;
            request->block();
        }
    }
    for (const std::uint64_t id : actions.pass) {
        const auto found = gate_requests.find(id);
        if (found != gate_requests.end()) {
            const std::shared_ptr<detail::gate_request> request = found->second;
            request->admit();
        }
    }
}

void sidecar::impl::end_running_requests()
{
    for (const std::shared_ptr<detail::gate_request>& request : copy_gate_requests()) {
        request->end_with_upstream();
    }
}

} // namespace agatespread
