#include "sidecar_impl.h"
#include "state_names.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// Delay of the first health check of an upstream and time between further ones. They end when one
// has passed or the heartbeats have confirmed the upstream, which take 3 s.
constexpr milliseconds first_probe_delay{20};
constexpr milliseconds probe_period{500};
constexpr milliseconds probe_timeout{400};

// Smaller relative changes of an upstream's rate limit are not logged.
constexpr double min_logged_change = 0.2;

std::string to_text(const std::optional<double>& rate)
{
    return rate ? fmt::format("{:.1f}", *rate) : "none";
}

} // namespace

void sidecar::impl::load_departure()
{
    departures.load([this](const std::optional<upstream_departure>& departure) {
        if (!departure) {
            log.change("departure_absent", {{"state", name_of(upstream.state())}});
        }
        else {
            log.change("departure_restored",
                       {{"instance", departure->instance}, {"started_at", departure->started_at}});
            apply(upstream.restore(*departure), "departure");
        }
        // Without a heartbeat not before, as a health check may pass although the upstream has
        // left.
        schedule_probe(first_probe_delay);
    });
}

void sidecar::impl::confirm_upstream()
{
    if (!upstream.heartbeat_received() || !upstream.awaits_confirmation()) {
        return;
    }
    log.change("upstream_unconfirmed",
               {{"instance", upstream.instance()}, {"started_at", upstream.started_at()}});
    schedule_probe(milliseconds(0));
}

void sidecar::impl::schedule_probe(milliseconds delay)
{
    if (!dialect.read_health || probing_health) {
        return;
    }
    probe_timer = loop.after(delay, [this](time_point) { probe_upstream(); });
}

void sidecar::impl::record_departure()
{
    const std::optional<upstream_departure> departure = upstream.departure();
    if (departure) {
        departures.store(*departure);
    }
}

void sidecar::impl::probe_upstream()
{
    if (upstream.heartbeat_received() ? !upstream.awaits_confirmation()
                                      : upstream.state() == upstream_state::ready) {
        return;
    }
    probing_health = true;
    http_call call;
    call.url = "http://" + settings.upstream_address + dialect.health_path;
    call.timeout = probe_timeout;
    call.detect_dead_peer = false;
    call.request.headers.set("Host", settings.upstream_address);
    client.send(std::move(call), [weak = weak_from_this()](const http_result& result) {
        const std::shared_ptr<impl> self = weak.lock();
        if (!self) {
            return;
        }
        self->probing_health = false;
        std::optional<std::string> instance;
        if (result.outcome == http_outcome::answered) {
            instance = self->dialect.read_health(result.response);
        }
        if (instance) {
            self->apply(self->upstream.health_check_passed(*instance, self->settings.default_slots),
                        "health_check");
        }
        self->schedule_probe(probe_period);
    });
}

upstream_state sidecar::impl::gate_state() const
{
    return upstream.state();
}

void sidecar::impl::apply(lifecycle_change change, std::string_view cause)
{
    if (change == lifecycle_change::none) {
        return;
    }
    if (change == lifecycle_change::closed) {
        gate_closed = loop.now();
    }
    update_gate(upstream.state());
    log.change(change == lifecycle_change::opened ? "gate_opened" : "gate_closed",
               {{"instance", upstream.instance()},
                {"state", name_of(upstream.state())},
                {"cause", cause},
                {"slots", upstream.slots()}});
    send_report();
}

void sidecar::impl::update_gate(upstream_state state)
{
    apply(gate.set_upstream(state, upstream.slots(), loop.now()));
}

void sidecar::impl::end_replaced_upstream(std::uint64_t replacements_before)
{
    if (upstream.replacements() != replacements_before) {
        apply(guard.upstream_replaced(upstream.exit_announced(), loop.now()), "replaced");
        limit_upstream_rate(std::nullopt);
        rate_limit_heard = false;
    }
}

void sidecar::impl::log_ignored_message(const std::string& instance, milliseconds started_at,
                                        std::string_view reported)
{
    log.change("upstream_message_ignored", {{"instance", instance},
                                            {"started_at", started_at},
                                            {"reported", reported},
                                            {"current", upstream.instance()},
                                            {"state", name_of(upstream.state())}});
}

void sidecar::impl::mark_upstream_unreachable(std::string_view cause)
{
    apply(upstream.mark_unreachable(), cause);
}

void sidecar::impl::apply_announcements(const upstream_response_metadata& response,
                                        const std::string& instance)
{
    // A late response of an earlier incarnation says nothing about the current one.
    if (response.other_instance || instance != upstream.instance()) {
        return;
    }
    if (response.leaving) {
        apply(upstream.mark_leaving(), "response");
        record_departure();
    }
    // The limit ends with the first response without one, if the upstream itself has written it.
    if (response.rate_limit || response.authentic) {
        rate_limit_heard = true;
        limit_upstream_rate(response.rate_limit);
    }
}

void sidecar::impl::apply_peer_announcement(const upstream_announcement& announced)
{
    if (announced.leaving) {
        apply(upstream.restore({announced.instance, announced.started_at}), "peer");
        record_departure();
    }
    if (announced.rate_limit && !rate_limit_heard && announced.instance == upstream.instance()) {
        limit_upstream_rate(announced.rate_limit);
    }
}

void sidecar::impl::limit_upstream_rate(std::optional<double> per_second)
{
    if (!per_second && !logged_rate_limit) {
        return;
    }
    const double before = logged_rate_limit.value_or(0);
    const bool similar = per_second.has_value() == logged_rate_limit.has_value() &&
                         std::abs(per_second.value_or(0) - before) <= before * min_logged_change;
    if (!similar) {
        log.change("upstream_rate_limit", {{"instance", upstream.instance()},
                                           {"per_second", to_text(per_second)},
                                           {"before", to_text(logged_rate_limit)}});
        logged_rate_limit = per_second;
    }
    counters.upstream_rate_limit.set(
        per_second ? std::max<std::int64_t>(1, std::llround(std::ceil(*per_second))) : 0);
    apply(gate.set_rate_limit(per_second, loop.now()));
}

} // namespace agatespread
