#include "control_plane.h"
#include "data_plane.h"
#include "once_adapter.h"
#include "operator_server.h"
#include "state_names.h"

#include <agatespread/node.h>

#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <random>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shutdown_poll_period{20};

// Well within this time, all nodes receive the draining record and stop sending new requests.
constexpr milliseconds shutdown_propagation_delay{1000};

// Time to write the last peer messages before the control loop stops.
constexpr milliseconds shutdown_flush_delay{200};

// The upstream is considered gone after this many missed announcements.
constexpr int max_missed_announcements = 3;

} // namespace

struct node::impl {
    impl(node_settings initial_settings, std::uint64_t seed)
        : settings(std::move(initial_settings)), engine(seed)
    {
    }

    absl::Status open();
    absl::Status open_operator_port();
    data_plane::hooks make_data_plane_hooks();
    control_hooks make_control_plane_hooks();
    void announce(const upstream_announcement& announcement);
    void publish_upstream(upstream_state state);
    void check_announcement(time_point now);
    void drain();
    void begin_shutdown();
    void check_shutdown(time_point now);
    void finish_shutdown();

    node_settings settings;
    std::mt19937_64 engine;
    metrics metric_registry;
    event_loop loop;
    std::unique_ptr<once_adapter> claims;
    std::unique_ptr<data_plane> data_path;
    std::unique_ptr<control_plane> control;
    std::unique_ptr<operator_server> api;
    std::unique_ptr<http_server> operator_listener;

    upstream_announcement upstream;
    time_point last_announcement_at;
    bool draining = false;
    subscription announcement_check;
    subscription shutdown_check;
    bool shutting_down = false;
    time_point shutdown_started;
    subscription flush_timer;
};

absl::Status node::impl::open()
{
    claims = std::make_unique<once_adapter>(loop, metric_registry);
    absl::StatusOr<std::unique_ptr<data_plane>> opened_data_path =
        data_plane::start(settings, metric_registry, make_data_plane_hooks(), engine());
    if (!opened_data_path.ok()) {
        return opened_data_path.status();
    }
    data_path = *std::move(opened_data_path);
    absl::StatusOr<std::unique_ptr<control_plane>> opened_control =
        control_plane::start(loop, settings, data_path->inbound_address(), metric_registry,
                             make_control_plane_hooks(), [this] { return engine(); });
    if (!opened_control.ok()) {
        return opened_control.status();
    }
    control = *std::move(opened_control);
    claims->open(control->driver(), [this] { return engine(); });
    announcement_check =
        loop.every(settings.announce_period, [this](time_point now) { check_announcement(now); });
    return open_operator_port();
}

absl::Status node::impl::open_operator_port()
{
    api = std::make_unique<operator_server>(operator_context{
        settings, loop, metric_registry, *control, *data_path, [this] { return engine(); },
        [] { return std::chrono::system_clock::now(); },
        [this] { return !shutting_down && control->ready(); },
        [this](const upstream_announcement& announcement) { announce(announcement); }});
    absl::StatusOr<std::unique_ptr<http_server>> server = http_server::listen(
        loop, settings.operator_address, http_limits(),
        [this](const std::shared_ptr<http_exchange>& exchange) { api->handle(exchange); });
    if (!server.ok()) {
        return server.status();
    }
    operator_listener = *std::move(server);
    return absl::OkStatus();
}

data_plane::hooks node::impl::make_data_plane_hooks()
{
    data_plane::hooks hooks;
    hooks.claim = claims->claim_hook();
    hooks.settle = claims->settle_hook();
    hooks.report = [this](const crash_report& report) {
        loop.post([this, report] { control->report_crash(report); });
    };
    return hooks;
}

control_hooks node::impl::make_control_plane_hooks()
{
    control_hooks hooks;
    hooks.snapshot_applied = [this](std::shared_ptr<const snapshot> next) {
        data_path->set_snapshot(std::move(next));
    };
    hooks.members_changed = [this](const std::vector<member_record>& members) {
        data_path->update_members(members);
    };
    hooks.crash_reported = [this](const crash_report& report) {
        return data_path->receive_crash_report(report, loop.now());
    };
    hooks.drain_requested = [this] { drain(); };
    return hooks;
}

void node::impl::announce(const upstream_announcement& announcement)
{
    const upstream_state before = upstream.record.state;
    upstream = announcement;
    last_announcement_at = loop.now();
    const bool not_accepting = draining || shutting_down;
    const bool ready = announcement.record.state == upstream_state::ready;
    publish_upstream(not_accepting && ready ? upstream_state::draining : announcement.record.state);
    if (before != announcement.record.state) {
        spdlog::info("upstream {} of {} at {} announced state {}", upstream.record.service,
                     upstream.record.fleet, upstream.address, name_of(announcement.record.state));
    }
}

void node::impl::publish_upstream(upstream_state state)
{
    upstream_record record = upstream.record;
    record.state = state;
    data_path->set_upstream("http://" + upstream.address, record, loop.now());
    if (!(record == control->members().self().upstream)) {
        control->set_upstream(record);
    }
}

void node::impl::check_announcement(time_point now)
{
    const bool announced = upstream.record.state != upstream_state::gone;
    if (announced &&
        now - last_announcement_at > settings.announce_period * max_missed_announcements) {
        spdlog::warn("upstream at {} missed {} announcements", upstream.address,
                     max_missed_announcements);
        upstream.record.state = upstream_state::gone;
        publish_upstream(upstream_state::gone);
    }
}

void node::impl::drain()
{
    if (!draining) {
        draining = true;
        publish_upstream(upstream_state::draining);
    }
}

void node::impl::begin_shutdown()
{
    if (shutting_down) {
        return;
    }
    shutting_down = true;
    shutdown_started = loop.now();
    spdlog::info("graceful shutdown started");
    if (upstream.record.state != upstream_state::gone) {
        publish_upstream(upstream_state::draining);
    }
    shutdown_check =
        loop.every(shutdown_poll_period, [this](time_point now) { check_shutdown(now); });
}

void node::impl::check_shutdown(time_point now)
{
    if (now < shutdown_started + shutdown_propagation_delay) {
        return;
    }
    data_path->stop_accepting();
    const bool late = now >= shutdown_started + settings.shutdown_deadline;
    if (!data_path->idle() && !late) {
        return;
    }
    if (late && !data_path->idle()) {
        metric_registry.counter_of("agatespread_shutdowns_forced_total").add();
        spdlog::error("shutdown deadline of {} ms exceeded with requests in flight",
                      settings.shutdown_deadline.count());
    }
    finish_shutdown();
}

void node::impl::finish_shutdown()
{
    shutdown_check.cancel();
    control->leave();
    flush_timer = loop.after(shutdown_flush_delay, [this](time_point) {
        spdlog::info("graceful shutdown completed");
        loop.stop();
    });
}

absl::StatusOr<std::unique_ptr<node>> node::start(node_settings settings, std::uint64_t seed)
{
    std::unique_ptr<impl> state = std::make_unique<impl>(std::move(settings), seed);
    const absl::Status opened = state->open();
    if (!opened.ok()) {
        return opened;
    }
    return std::make_unique<node>(std::move(state));
}

node::node(std::unique_ptr<impl> state) : impl_(std::move(state))
{
}

node::~node()
{
    if (impl_->data_path) {
        impl_->data_path->stop();
    }
    // Destroyed before the control plane, which owns the platform driver that the claims use.
    impl_->claims.reset();
}

node_addresses node::addresses() const
{
    return {impl_->data_path->mesh_address(), impl_->data_path->inbound_address(),
            impl_->control->peer_address(), impl_->operator_listener->address()};
}

void node::run()
{
    impl_->loop.run();
    impl_->data_path->stop();
}

void node::shut_down()
{
    impl_->loop.post([state = impl_.get()] { state->begin_shutdown(); });
}

} // namespace agatespread
