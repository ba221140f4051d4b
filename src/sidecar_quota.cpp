#include "caller_request.h"
#include "sidecar_impl.h"

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// A node that was not heard of for this time has no share; until then, one that is only cut off
// may spend its own.
constexpr milliseconds counted_period = std::chrono::seconds(60);

// Time for the reports of a node that has read the entries to reach the others, which then count
// its share.
constexpr milliseconds settling_time{1000};

constexpr milliseconds quota_period{250};

// Interval at which requests that wait for tokens are checked; a tenth of their longest wait.
constexpr milliseconds wait_check_period{15};

} // namespace

quota_part sidecar::impl::own_quota_part() const
{
    if (!quota.active()) {
        return quota_part::none;
    }
    return stopping ? quota_part::stopping : quota_part::active;
}

void sidecar::impl::apply_quota_limits()
{
    std::vector<quota_limit> limits;
    if (table->has_tenants()) {
        for (const auto& each : table->tenants()->by_name()) {
            if (each.second->rate_per_second > 0) {
                limits.push_back({each.first, each.second->rate_per_second, each.second->burst});
            }
        }
    }
    const bool was_active = quota.active();
    quota.set_limits(limits, settings.boot_now());
    if (quota.active() == was_active) {
        return;
    }
    log.change(
        quota.active() ? "quotas_active" : "quotas_inactive",
        {{"version", table->version()}, {"tenants", static_cast<std::uint64_t>(limits.size())}});
    quota_timer.cancel();
    if (quota.active()) {
        quota_timer = loop.every(quota_period, [this](time_point) { tick_quota(); });
        apply_mesh_to_quota();
    }
}

void sidecar::impl::apply_mesh_to_quota()
{
    const boot_clock::time_point now = settings.boot_now();
    // A process that knows few of the nodes would take the others' shares for its own.
    const bool knows_nodes = (entries_read_at && now - *entries_read_at >= settling_time) ||
                             now - process_started >= counted_period;
    const std::size_t nodes = knows_nodes ? known_peers.count_heard(counted_period, loop.now()) : 0;
    std::vector<quota_candidate> candidates;
    for (const heard_peer& each : known_peers.quota_peers(loop.now())) {
        candidates.push_back({each.node, each.heard_ago});
    }
    quota.set_mesh(nodes, candidates, now);
    if (quota.keeper() != logged_keeper) {
        logged_keeper = quota.keeper();
        log.change("quota_keeper",
                   {{"keeper", logged_keeper.empty() ? settings.node : logged_keeper},
                    {"nodes", static_cast<std::uint64_t>(quota.nodes())}});
    }
    counters.quota_nodes.set(static_cast<std::int64_t>(quota.nodes()));
    counters.quota_shares.set(static_cast<std::int64_t>(quota.shares()));
}

void sidecar::impl::tick_quota()
{
    apply_mesh_to_quota();
    advance_quota();
}

std::optional<quota_token>
sidecar::impl::take_quota(const std::shared_ptr<detail::caller_request>& request,
                          const std::string& tenant)
{
    const boot_clock::time_point now = settings.boot_now();
    std::optional<quota_token> token = quota.take(tenant, now);
    if (token) {
        quota_events.add({{"event", "taken"}});
        return token;
    }
    const std::uint64_t id = ++last_quota_id;
    quota_waiting.emplace(id, request);
    quota.wait(tenant, id, now);
    advance_quota();
    return std::nullopt;
}

void sidecar::impl::return_quota(const quota_token& token)
{
    quota_events.add({{"event", "returned"}});
    quota.give_back(token, settings.boot_now());
}

void sidecar::impl::advance_quota()
{
    const boot_clock::time_point now = settings.boot_now();
    for (std::optional<quota_message> due = quota.next_message(now); due;
         due = quota.next_message(now)) {
        const std::optional<peer_entry> keeper = known_peers.find(due->to);
        if (keeper) {
            quota_events.add({{"event", "asked"}});
            send_datagram(*keeper, encode(due->ask), "quota");
        }
    }
    for (const quota_outcome& outcome : quota.take_outcomes(now)) {
        const auto found = quota_waiting.find(outcome.id);
        if (found == quota_waiting.end()) {
            continue;
        }
        const std::shared_ptr<detail::caller_request> request = std::move(found->second);
        quota_waiting.erase(found);
        quota_events.add({{"event", outcome.token       ? "taken_after_wait"
                                    : outcome.exhausted ? "over_quota"
                                                        : "unavailable"}});
        request->continue_with(outcome);
    }
    schedule_quota_wait();
}

void sidecar::impl::schedule_quota_wait()
{
    if (quota_wait_scheduled || quota_waiting.empty()) {
        return;
    }
    quota_wait_scheduled = true;
    quota_wait_timer = loop.after(wait_check_period, [this](time_point) {
        quota_wait_scheduled = false;
        advance_quota();
    });
}

void sidecar::impl::receive_quota_ask(std::string_view bytes)
{
    const absl::StatusOr<quota_ask> ask = decode_quota_ask(bytes);
    if (!ask.ok()) {
        counters.reports_malformed.add();
        return;
    }
    const std::optional<peer_entry> peer = known_peers.find(ask->node);
    if (!peer) {
        return;
    }
    const std::optional<quota_grant> grant = quota.answer(*ask, settings.boot_now());
    if (grant) {
        quota_events.add({{"event", "answered"}});
        send_datagram(*peer, encode(*grant), "quota");
    }
}

void sidecar::impl::receive_quota_grant(std::string_view bytes)
{
    const absl::StatusOr<quota_grant> grant = decode_quota_grant(bytes);
    if (!grant.ok()) {
        counters.reports_malformed.add();
        return;
    }
    if (quota.receive(*grant, settings.boot_now())) {
        advance_quota();
    }
}

} // namespace agatespread
