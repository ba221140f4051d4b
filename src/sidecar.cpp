#include "caller_request.h"
#include "gate_request.h"
#include "message_fields.h"
#include "sidecar_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// A timer that is this late indicates that the host is short of CPU time or was suspended.
constexpr milliseconds late_timer_threshold{200};

// Close to the connection limit, connections that were idle for longer than this are closed. Most
// callers send their next request sooner.
constexpr milliseconds min_idle_before_close = std::chrono::seconds(1);

// Interval at which the deadlines of queued requests are checked.
constexpr milliseconds gate_check_period{20};

// Interval at which a node repeats to one random peer what its crash guard knows. As all nodes do
// so, a node that starts hears of it about four times a second, at a cost that does not grow with
// the number of nodes.
constexpr milliseconds crash_state_period{250};

// Interval at which rollouts are judged and advanced: short against the phases of a rollout, which
// take seconds.
constexpr milliseconds rollout_period{100};

constexpr milliseconds expire_period = std::chrono::seconds(30);

// Interval of the lines about requests, calls to the platform and bytes between failure domains.
constexpr milliseconds usage_period = std::chrono::seconds(2);

// Bounds the length of such a line. Services have few rules; one host's callers use fewer.
constexpr std::size_t max_described_rules = 32;

constexpr milliseconds shutdown_check_period{20};

// Time after the shutdown timeout to send the last responses: enough for a short response on a
// briefly congested link, and well within the time between that timeout and the platform's kill.
constexpr milliseconds shutdown_flush_timeout{300};

constexpr std::size_t client_connections_per_host = 200;

// Shares of the process's memory, in 32nds, for the bodies of responses and large requests, for
// each of the two, and for small requests, which thus are still taken while large ones use up their
// share. One request of the usual 64 MB fits into the usual 160 MB, and then responses still have
// 25 MB. A response that grows is copied, so the largest takes twice as much for a moment; the rest
// is for connections and state.
constexpr std::size_t memory_shares = 32;
constexpr std::size_t message_shares = 18;
constexpr std::size_t response_shares = 8;
constexpr std::size_t request_shares = 13;
constexpr std::size_t small_request_shares = 2;

} // namespace

namespace detail {

http_limits limits_of(const caller_limits& limits, std::size_t connections,
                      std::size_t min_bytes_per_second)
{
    http_limits result;
    result.connections = connections;
    result.min_bytes_per_second = min_bytes_per_second;
    result.header_bytes = limits.header_bytes;
    result.body_bytes = limits.body_bytes;
    result.read_timeout = limits.header_timeout;
    result.idle_timeout = limits.idle_timeout;
    return result;
}

} // namespace detail

namespace {

admission_options gate_options(const sidecar_settings& settings)
{
    admission_options options = settings.admission;
    // The other half is for the connection to the upstream and for a loop that is late.
    options.leaving_window = settings.drain_bound / 2;
    return options;
}

} // namespace

sidecar::impl::impl(event_loop& main_loop, platform& platform_driver, metrics& registry,
                    sidecar_settings initial_settings, sidecar_dialect platform_dialect,
                    random_source random_engine)
    : loop(main_loop), data(registry), platform_calls(data, "agatespread_platform_calls_total"),
      platform_call_errors(data, "agatespread_platform_call_errors_total"),
      remote_bytes(data, "agatespread_remote_bytes_total"),
      remote_requests(data, "agatespread_remote_requests_total"),
      tenant_requests(data, "agatespread_tenant_requests_total"),
      rollout_changes(data, "agatespread_rollout_phases_total"),
      quota_events(data, "agatespread_quota_events_total"),
      second_results(data, "agatespread_second_attempts_total"),
      second_refusals(data, "agatespread_second_attempts_refused_total"),
      refusals(data, "agatespread_refusals_total"),
      failed_runs(data, "agatespread_failed_runs_total"),
      connections_cut(data, "agatespread_connections_cut_total"),
      driver(platform_driver, platform_calls, platform_call_errors),
      settings(std::move(initial_settings)), dialect(std::move(platform_dialect)),
      draws(std::move(random_engine)), random([this] { return draws.next(); }),
      log(settings.node, settings.log, [] { return std::chrono::system_clock::now(); }),
      counters(data), times(settings.version_bound), shares(random), retries(settings.retries),
      hedging(settings.second_attempts),
      known_peers(settings.node, settings.failure_domain, settings.peers), guard({}),
      crash_state(guard, {}), blocks(
                                  driver, loop, [] { return std::chrono::system_clock::now(); },
                                  [this](std::string_view action, const absl::Status& status) {
                                      log_block_row_error(action, status);
                                  },
                                  {}),
      departures(driver, loop, settings.departures_prefix + settings.node,
                 [this](std::string_view action, const absl::Status& status) {
                     counters.platform_errors.add();
                     log.change("departure_row_failed",
                                {{"action", action}, {"error", std::string(status.message())}});
                 }),
      gate(gate_options(settings)), link(settings.link_bytes_per_second),
      uploads(settings.link_bytes_per_second), grants(settings.link_bytes_per_second),
      upload_offers_refused(data.counter_of("agatespread_upload_offers_refused_total")),
      upload_offers_waiting(data.gauge_of("agatespread_upload_offers_waiting")),
      upstream(static_cast<bool>(dialect.read_health)), runs(detail::make_run_state()),
      messages(settings.memory_bytes / memory_shares * message_shares),
      bodies(messages.part(settings.memory_bytes / memory_shares * response_shares)),
      large_requests(messages.part(settings.memory_bytes / memory_shares * request_shares)),
      small_requests(settings.memory_bytes / memory_shares * small_request_shares),
      client(loop, client_connections_per_host, bodies), incarnation(random()),
      process_started(settings.boot_now()),
      quota(settings.node, incarnation, settings.quota, process_started)
{
}

absl::Status sidecar::impl::open()
{
    const std::shared_ptr<impl> self = shared_from_this();
    const std::weak_ptr<impl> weak = self;
    absl::StatusOr<std::unique_ptr<http_server>> callers =
        http_server::listen(loop, settings.caller_address,
                            detail::limits_of(caller_limits(), settings.caller_connections,
                                              settings.min_bytes_per_second),
                            [weak](const std::shared_ptr<http_exchange>& exchange) {
                                if (const std::shared_ptr<impl> live = weak.lock()) {
                                    live->serve_caller(exchange);
                                }
                            });
    if (!callers.ok()) {
        return callers.status();
    }
    caller_listener = *std::move(callers);
    absl::StatusOr<std::unique_ptr<http_server>> calls =
        http_server::listen(loop, settings.call_address,
                            detail::limits_of(caller_limits(), settings.peer_connections,
                                              settings.min_bytes_per_second),
                            [weak](const std::shared_ptr<http_exchange>& exchange) {
                                if (const std::shared_ptr<impl> live = weak.lock()) {
                                    live->serve_peer(exchange);
                                }
                            });
    if (!calls.ok()) {
        return calls.status();
    }
    call_listener = *std::move(calls);
    caller_listener->limit_memory(large_requests, small_requests);
    call_listener->limit_memory(large_requests, small_requests);
    caller_listener->limit_response_memory(bodies);
    call_listener->limit_response_memory(bodies);
    for (http_server* const listener : {caller_listener.get(), call_listener.get()}) {
        listener->on_received([this](std::size_t bytes) { uploads.add(bytes, loop.now()); });
    }
    caller_listener->on_cut([this](const connection_cut& cut) { log_cut("callers", cut); });
    call_listener->on_cut([this](const connection_cut& cut) { log_cut("nodes", cut); });
    absl::StatusOr<std::unique_ptr<datagram_socket>> socket =
        datagram_socket::open(loop, settings.report_address, [weak](std::string_view bytes) {
            if (const std::shared_ptr<impl> live = weak.lock()) {
                live->receive_report(bytes);
            }
        });
    if (!socket.ok()) {
        return socket.status();
    }
    reports = *std::move(socket);
    log.change("started", {{"service", settings.service},
                           {"failure_domain", settings.failure_domain},
                           {"callers", caller_listener->address()},
                           {"calls", call_listener->address()},
                           {"process", incarnation}});
    watch_platform();
    load_blocks();
    schedule_report(true);
    schedule_report(false);
    load_departure();
    expire_timer = loop.every(expire_period, [this](time_point now) {
        known_peers.expire(now);
        guard.expire(now);
    });
    usage_timer = loop.every(usage_period, [this](time_point now) { log_usage(now); });
    schedule_proof();
    rollout_timer = loop.every(rollout_period, [this](time_point now) { advance_rollouts(now); });
    crash_state_timer =
        loop.every(crash_state_period, [this](time_point now) { share_crash_state(now); });
    return absl::OkStatus();
}

reported_load sidecar::impl::own_load() const
{
    const time_point now = loop.now();
    reported_load load = make_load_report(gate.load(now), link, failures, now);
    if (table && table->has_uploads()) {
        load.upload_time = uploads.upload_time(now);
    }
    return load;
}

std::string sidecar::impl::next_report(std::vector<crash_report> crashes)
{
    peer_report report;
    report.entry = own_entry();
    report.incarnation = incarnation;
    report.sequence = ++report_sequence;
    report.state = stopping ? upstream_state::draining : gate_state();
    report.load = own_load();
    report.can_read_platform = !reading_configuration || !configuration_watch->failing();
    report.in_force = table ? table->version() : 0;
    report.platform_era = platform_era;
    if (keeps_proof()) {
        report.proof_age = proof.age(settings.boot_now());
    }
    report.quota = own_quota_part();
    report.runs = own_results();
    report.crashes = std::move(crashes);
    add_rollouts(report);
    return encode_report(report);
}

void sidecar::impl::schedule_report(bool own_domain)
{
    const milliseconds interval = known_peers.report_interval(own_domain);
    subscription& timer = own_domain ? near_report_timer : far_report_timer;
    timer = loop.after(interval, [this, own_domain, interval,
                                  due = loop.now() + interval](time_point now) {
        const milliseconds late = std::chrono::duration_cast<milliseconds>(now - due);
        if (own_domain) {
            counters.loop_late.record(late);
            longest_loop_delay = std::max(longest_loop_delay, late);
        }
        if (own_domain && late >= late_timer_threshold) {
            log.change("loop_late",
                       {{"by", late},
                        {"callers_in_flight", static_cast<std::uint64_t>(caller_requests.size())},
                        {"at_gate", static_cast<std::uint64_t>(gate_requests.size())}});
        }
        if (own_domain) {
            close_idle_connections();
            update_reader_role(now);
            sample_runs();
        }
        send_report(known_peers.next_recipients(own_domain, interval + late), "report");
        schedule_report(own_domain);
    });
}

void sidecar::impl::close_idle_connections()
{
    const std::size_t limit = settings.caller_connections;
    counters.caller_connections.set(static_cast<std::int64_t>(caller_listener->connections()));
    counters.peer_connections.set(static_cast<std::int64_t>(call_listener->connections()));
    counters.body_bytes.set(static_cast<std::int64_t>(bodies.used()));
    counters.body_peak_bytes.set(static_cast<std::int64_t>(bodies.peak()));
    counters.body_denials.set(static_cast<std::int64_t>(bodies.denials()));
    counters.request_bytes.set(
        static_cast<std::int64_t>(large_requests.used() + small_requests.used()));
    counters.request_denials.set(static_cast<std::int64_t>(large_requests.denials()));
    log_full_listener();
    if (caller_listener->connections() * 10 < limit * 8) {
        return;
    }
    // At the limit, new connections would wait to be accepted until their callers give up, and the
    // requests would still be read afterwards. A caller whose idle connection is closed retries.
    log.change("connections_relieved",
               {{"connections", static_cast<std::uint64_t>(caller_listener->connections())},
                {"limit", static_cast<std::uint64_t>(limit)}});
    caller_listener->close_idle(min_idle_before_close);
}

void sidecar::impl::log_full_listener()
{
    const std::size_t open = call_listener->connections();
    http_limits limits;
    limits.connections = settings.peer_connections;
    const bool full = open >= limits.open_connections();
    if (full != call_listener_full) {
        call_listener_full = full;
        log.change(full ? "peer_connections_full" : "peer_connections_free",
                   {{"connections", static_cast<std::uint64_t>(open)},
                    {"limit", static_cast<std::uint64_t>(settings.peer_connections)}});
    }
}

void sidecar::impl::log_cut(std::string_view listener, const connection_cut& cut)
{
    connections_cut.add({{"cause", std::string(cut.cause)}, {"listener", std::string(listener)}});
    log.request("connection_cut", {},
                {{"listener", listener},
                 {"cause", cut.cause},
                 {"unanswered", static_cast<std::uint64_t>(cut.unanswered)},
                 {"unread_bytes", static_cast<std::uint64_t>(cut.unread_bytes)},
                 {"writing", cut.writing ? 1 : 0}},
                loop.now());
}

void sidecar::impl::send_report()
{
    for (const bool own_domain : {true, false}) {
        send_report(known_peers.in_domain(own_domain), "state");
    }
}

void sidecar::impl::send_report(const std::vector<peer_entry>& recipients, std::string_view cause)
{
    const std::string bytes = next_report(crash_state.recent_decisions(loop.now()));
    for (const peer_entry& peer : recipients) {
        send_datagram(peer, bytes, cause);
    }
}

void sidecar::impl::send_datagram(const peer_entry& to, const std::string& bytes,
                                  std::string_view cause)
{
    reports->send(to.report_address, bytes);
    counters.reports_sent.add();
    if (to.failure_domain != settings.failure_domain) {
        count_remote_bytes(cause, bytes.size());
    }
}

void sidecar::impl::count_remote_bytes(std::string_view kind, std::size_t bytes)
{
    remote_bytes.add({{"kind", std::string(kind)}}, bytes);
}

std::string sidecar::impl::describe_new_requests()
{
    std::string text;
    std::size_t rules = 0;
    for (const auto& each : series) {
        const std::optional<std::string> counts = each.second->describe_new();
        if (counts && ++rules <= max_described_rules) {
            text += fmt::format("{}{}:{}", text.empty() ? "" : ",", each.first, *counts);
        }
    }
    return text.empty() ? "-" : text;
}

void sidecar::impl::log_usage(time_point now)
{
    const admission_load at_gate = gate.load(now);
    log.change("usage", {{"requests", describe_new_requests()},
                         {"running", at_gate.running},
                         {"queued", at_gate.queued},
                         {"slots", at_gate.slots},
                         {"refusals", refusals.summary()},
                         {"failed_runs", failed_runs.summary()},
                         {"run_shares", describe_run_shares()},
                         {"platform_calls", platform_calls.summary()},
                         {"platform_errors", platform_call_errors.summary()},
                         {"remote_bytes", remote_bytes.summary()},
                         {"remote_requests", remote_requests.summary()},
                         {"version", table ? table->version() : 0},
                         {"in_force_for", table ? versions.in_force_for(now) : milliseconds(0)},
                         {"loop_late", std::exchange(longest_loop_delay, milliseconds(0))}});
}

void sidecar::impl::receive_report(std::string_view bytes)
{
    const std::string_view type = detail::message_type(bytes);
    if (!type.empty()) {
        receive_message(type, bytes);
        return;
    }
    const absl::StatusOr<peer_report> report = decode_report(bytes);
    if (!report.ok()) {
        counters.reports_malformed.add();
        return;
    }
    counters.reports_received.add();
    const time_point now = loop.now();
    if (!known_peers.receive(*report, now)) {
        return;
    }
    learn_platform_era(report->platform_era);
    hear_rollouts(report->rollouts, report->entry.node);
    for (const crash_report& crash : report->crashes) {
        if (guard.receive(crash, now)) {
            log_crash_report(crash, report->entry.node);
        }
        if (crash.cleared) {
            blocks.forget(crash.fingerprint);
        }
    }
    if (versions.hear(report->in_force, now)) {
        log.change("version_heard", {{"version", report->in_force},
                                     {"from", report->entry.node},
                                     {"in_force", versions.in_force()}});
    }
    if (report->in_force > versions.in_force()) {
        catch_up(report->entry);
    }
}

void sidecar::impl::apply(const admission_actions& actions)
{
    for (const admission_refusal& refusal : actions.refused) {
        const auto found = gate_requests.find(refusal.id);
        if (found != gate_requests.end()) {
            const std::shared_ptr<detail::gate_request> request = found->second;
            request->refuse(refusal);
        }
    }
    for (const std::uint64_t id : actions.run) {
        const auto found = gate_requests.find(id);
        if (found != gate_requests.end()) {
            const std::shared_ptr<detail::gate_request> request = found->second;
            request->forward();
        }
    }
}

void sidecar::impl::schedule_gate_check()
{
    const admission_load load = gate.load(loop.now());
    counters.queued.set(load.queued);
    if (gate_check_scheduled || gate_requests.size() + unanswered_in_slots <= load.running) {
        return;
    }
    gate_check_scheduled = true;
    gate_timer = loop.after(gate_check_period, [this](time_point now) {
        gate_check_scheduled = false;
        apply(gate.expire(now));
        const std::vector<std::shared_ptr<detail::gate_request>> waiting = copy_gate_requests();
        for (const std::shared_ptr<detail::gate_request>& request : waiting) {
            request->expire(now);
        }
        schedule_gate_check();
    });
}

void sidecar::impl::serve_caller(const std::shared_ptr<http_exchange>& exchange)
{
    std::make_shared<detail::caller_request>(shared_from_this(), exchange)->start();
}

void sidecar::impl::serve_peer(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->request().target == detail::upload_offer_path) {
        serve_upload_offer(exchange);
        return;
    }
    apply(grants.finish(detail::read_upload_grant(exchange->request().headers), loop.now()));
    std::optional<detail::forwarded_request_metadata> metadata =
        detail::read_forwarded_request(exchange->request().headers);
    if (!metadata) {
        http_response response;
        const bool configuration_requested =
            exchange->request().target == detail::configuration_path && table;
        response.status = configuration_requested ? 200 : 404;
        response.body = configuration_requested ? document : std::string();
        exchange->respond(std::move(response));
        return;
    }
    if (exchange->client_left()) {
        log.request("request_cancelled", dialect.read_request(exchange->request()).request_id,
                    {{"sent_to", settings.node}, {"held", milliseconds(0)}}, loop.now());
        return;
    }
    http_request request = exchange->request();
    strip_headers(request.headers);
    const std::uint64_t id = ++last_gate_id;
    const std::shared_ptr<detail::gate_request> request_at_gate =
        std::make_shared<detail::gate_request>(
            shared_from_this(), id, std::move(*metadata), std::move(request),
            [exchange, kind = kind_of(metadata->rule),
             weak = weak_from_this()](const detail::forwarded_response_metadata& response_metadata,
                                      http_response response) {
                strip_headers(response.headers);
                if (response_metadata.outcome != call_outcome::answered) {
                    response.status = 503;
                }
                detail::write_forwarded_response(response_metadata, response.headers);
                if (const std::shared_ptr<impl> live = weak.lock()) {
                    live->link.add_response(kind, response.body.size(), live->loop.now());
                }
                exchange->respond(std::move(response));
            });
    gate_requests.emplace(id, request_at_gate);
    exchange->on_cancel([weak = std::weak_ptr<detail::gate_request>(request_at_gate)] {
        if (const std::shared_ptr<detail::gate_request> live = weak.lock()) {
            live->cancel();
        }
    });
    request_at_gate->start();
}

detail::rule_series& sidecar::impl::series_for(const std::string& rule)
{
    std::unique_ptr<detail::rule_series>& entry = series[rule];
    if (!entry) {
        entry = std::make_unique<detail::rule_series>(data, rule);
    }
    return *entry;
}

std::vector<std::shared_ptr<detail::gate_request>> sidecar::impl::copy_gate_requests() const
{
    std::vector<std::shared_ptr<detail::gate_request>> result;
    result.reserve(gate_requests.size());
    for (const auto& each : gate_requests) {
        result.push_back(each.second);
    }
    return result;
}

void sidecar::impl::abort_all_requests()
{
    // Queued requests are ended first; otherwise they would get the slots of ended ones. The copy
    // is needed because ending a request removes it from its container.
    const std::vector<std::shared_ptr<detail::gate_request>> at_gate = copy_gate_requests();
    for (const std::shared_ptr<detail::gate_request>& request : at_gate) {
        request->stop();
    }
    std::vector<std::shared_ptr<detail::caller_request>> waiting;
    waiting.reserve(caller_requests.size());
    for (detail::caller_request* const each : caller_requests) {
        waiting.push_back(each->shared_from_this());
    }
    for (const std::shared_ptr<detail::caller_request>& request : waiting) {
        request->stop();
    }
}

bool sidecar::impl::refuses_callers(time_point now) const
{
    return stopping && now - shutdown_started >= settings.shutdown_delay;
}

void sidecar::impl::check_shutdown(time_point now, const std::function<void()>& done)
{
    // A request that arrives while its idle connection is being closed has not been read, and the
    // caller can safely retry it; a request that was read gets its response first.
    caller_listener->stop_accepting();
    caller_listener->close_idle();
    const bool idle = caller_requests.empty() && gate_requests.empty() &&
                      caller_listener->connections() == 0 && call_listener->busy_connections() == 0;
    if (!idle && !shutdown_timed_out && now - shutdown_started >= settings.shutdown_timeout) {
        shutdown_timed_out = true;
        abort_all_requests();
    }
    if (!idle && now - shutdown_started < settings.shutdown_timeout + shutdown_flush_timeout) {
        shutdown_timer = loop.after(shutdown_check_period,
                                    [this, done](time_point at) { check_shutdown(at, done); });
        return;
    }
    log.change("stopped",
               {{"callers_in_flight", static_cast<std::uint64_t>(caller_requests.size())},
                {"gate_in_flight", static_cast<std::uint64_t>(gate_requests.size())},
                {"caller_connections", static_cast<std::uint64_t>(caller_listener->connections())},
                {"took", std::chrono::duration_cast<milliseconds>(now - shutdown_started)},
                {"log_lines_dropped", log.dropped()}});
    done();
}

absl::StatusOr<std::unique_ptr<sidecar>> sidecar::start(event_loop& loop, platform& driver,
                                                        metrics& data, sidecar_settings settings,
                                                        sidecar_dialect dialect,
                                                        random_source random)
{
    std::shared_ptr<impl> state = std::make_shared<impl>(loop, driver, data, std::move(settings),
                                                         std::move(dialect), std::move(random));
    const absl::Status opened = state->open();
    if (!opened.ok()) {
        return opened;
    }
    return std::make_unique<sidecar>(std::move(state));
}

sidecar::sidecar(std::shared_ptr<impl> state) : impl_(std::move(state))
{
}

sidecar::~sidecar() = default;

bool sidecar::ready() const
{
    return impl_->table && !impl_->stopping;
}

void sidecar::receive_heartbeat(const upstream_heartbeat& heartbeat)
{
    const std::uint32_t slots_before = impl_->upstream.slots();
    const std::uint64_t replacements_before = impl_->upstream.replacements();
    const std::uint64_t ignored_before = impl_->upstream.ignored_messages();
    const lifecycle_change change = impl_->upstream.receive(heartbeat);
    if (impl_->upstream.ignored_messages() != ignored_before) {
        impl_->log_ignored_message(heartbeat.instance, heartbeat.started_at,
                                   heartbeat.draining ? "draining" : "ready");
    }
    impl_->end_replaced_upstream(replacements_before);
    impl_->note_upstream_version(heartbeat.warmup_remaining);
    impl_->apply(change, "heartbeat");
    impl_->record_departure();
    impl_->confirm_upstream();
    if (change == lifecycle_change::none && impl_->upstream.slots() != slots_before) {
        impl_->update_gate(impl_->upstream.state());
    }
}

void sidecar::deregister_upstream(const std::string& instance, std::chrono::milliseconds started_at)
{
    const std::uint64_t replacements_before = impl_->upstream.replacements();
    const std::uint64_t ignored_before = impl_->upstream.ignored_messages();
    const lifecycle_change change = impl_->upstream.deregister(instance, started_at);
    impl_->end_replaced_upstream(replacements_before);
    impl_->apply(change, "deregistered");
    impl_->record_departure();
    if (impl_->upstream.ignored_messages() != ignored_before) {
        impl_->log_ignored_message(instance, started_at, "deregistered");
    }
}

void sidecar::shut_down(std::function<void()> done)
{
    if (impl_->stopping) {
        return;
    }
    impl_->stopping = true;
    impl_->shutdown_started = impl_->loop.now();
    impl_->log.change("stopping", {{"callers_in_flight",
                                    static_cast<std::uint64_t>(impl_->caller_requests.size())}});
    impl_->quota.stop(impl_->settings.boot_now());
    impl_->advance_quota();
    impl_->send_report();
    impl_->shutdown_timer = impl_->loop.after(
        impl_->settings.shutdown_delay, [raw = impl_.get(), call = std::move(done)](
                                            time_point now) { raw->check_shutdown(now, call); });
}

void sidecar::report_cut(std::string_view listener, const connection_cut& cut)
{
    impl_->log_cut(listener, cut);
}

decision_log& sidecar::log()
{
    return impl_->log;
}

std::string sidecar::caller_address() const
{
    return impl_->caller_listener->address();
}

std::string sidecar::call_address() const
{
    return impl_->call_listener->address();
}

} // namespace agatespread
