#include "caller_request.h"
#include "deflate.h"
#include "gate_request.h"
#include "sidecar_impl.h"
#include "state_names.h"

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// The first health check of an upstream, and the pause before the next one; a heartbeat, which
// comes every 1.5 s, ends them.
constexpr milliseconds first_probe{20};
constexpr milliseconds probe_period{500};
constexpr milliseconds probe_timeout{400};

// A timer that fires this late shows a host that is short of processor time or was suspended.
constexpr milliseconds late_loop{200};

// Near the limit of connections, those are closed that were idle for longer than most callers
// take until their next request.
constexpr milliseconds relieved_idle_time = std::chrono::seconds(1);

// How often queued requests are looked at for their deadlines.
constexpr milliseconds gate_check_period{20};

// Nodes of each failure domain that read the configuration from the platform; the others take it
// from them. Two, so that the loss of one is not noticed.
constexpr std::size_t readers_of_a_domain = 2;

// A reader is told by its own feed first. The other nodes of a domain ask at spread times, and ask
// another domain only when nobody in the own one has the version.
constexpr milliseconds reader_fetch_delay{400};
constexpr milliseconds near_fetch_spread{150};
constexpr milliseconds far_fetch_delay{300};
constexpr milliseconds fetch_timeout{1000};
constexpr std::size_t max_configuration_bytes = 8U << 20U;

constexpr milliseconds entry_retry{500};

// Changes that follow each other within this time come in one call. A version is in force well
// within the platform's bound of 2 s. New nodes introduce themselves by their reports; the feed
// of entries is for those whose reports are lost.
constexpr milliseconds configuration_pause{200};
constexpr milliseconds entries_pause = std::chrono::seconds(30);

// A feed that has gone silent is noticed after this time, and the next node of the failure domain
// reads instead.
constexpr milliseconds configuration_wait = std::chrono::seconds(5);

// Crash reports are repeated in all reports of this time, as a datagram may be lost.
constexpr milliseconds crash_repeat = std::chrono::seconds(3);

constexpr milliseconds expire_period = std::chrono::seconds(30);

constexpr milliseconds stop_check_period{20};

// Enough for a short answer to leave through a link that is busy for a moment, and well within
// the time that the platform leaves between the stop deadline and the kill.
constexpr milliseconds stop_flush{300};

constexpr std::string_view configuration_path = "/agatespread/configuration";

constexpr std::size_t client_connections_per_host = 200;

http_limits limits_of(const caller_limits& limits, std::size_t connections)
{
    http_limits result;
    result.connections = connections;
    result.header_bytes = limits.header_bytes;
    result.body_bytes = limits.body_bytes;
    result.read_timeout = limits.header_timeout;
    result.idle_timeout = limits.idle_timeout;
    return result;
}

} // namespace

namespace detail {

rule_series::rule_series(metrics& data, const std::string& rule)
    : answered(data.counter_of("agatespread_rule_requests_total",
                               {{"rule", rule}, {"result", "answered"}})),
      refused(data.counter_of("agatespread_rule_requests_total",
                              {{"rule", rule}, {"result", "refused"}})),
      failed(data.counter_of("agatespread_rule_requests_total",
                             {{"rule", rule}, {"result", "failed"}})),
      cancelled(data.counter_of("agatespread_rule_requests_total",
                                {{"rule", rule}, {"result", "cancelled"}})),
      repeats(data.counter_of("agatespread_rule_repeats_total", {{"rule", rule}})),
      duration(data.histogram_of("agatespread_rule_seconds", {{"rule", rule}}))
{
}

sidecar_counters::sidecar_counters(metrics& data)
    : unrouted(data.counter_of("agatespread_unrouted_total")),
      unconfigured(data.counter_of("agatespread_unconfigured_total")),
      moved(data.counter_of("agatespread_moved_after_refusal_total")),
      budget_empty(data.counter_of("agatespread_repeat_budget_empty_total")),
      upstream_lost(data.counter_of("agatespread_upstream_lost_total")),
      upstream_crashes(data.counter_of("agatespread_own_upstream_crashes_total")),
      upstream_spoiled(data.counter_of("agatespread_upstream_spoiled_total")),
      reports_sent(data.counter_of("agatespread_reports_sent_total")),
      reports_received(data.counter_of("agatespread_reports_received_total")),
      reports_malformed(data.counter_of("agatespread_reports_malformed_total")),
      platform_errors(data.counter_of("agatespread_platform_errors_total")),
      version(data.gauge_of("agatespread_configuration_version")),
      peers_known(data.gauge_of("agatespread_peers_known")),
      queued(data.gauge_of("agatespread_gate_queued"))
{
}

} // namespace detail

sidecar::impl::impl(event_loop& runs, platform& store, metrics& numbers, sidecar_settings given,
                    sidecar_dialect speaks, random_source draws)
    : loop(runs), driver(store), data(numbers), settings(std::move(given)),
      dialect(std::move(speaks)), random(std::move(draws)),
      log(settings.node, settings.log, [] { return std::chrono::system_clock::now(); }),
      counters(data), shares(random), repeats(settings.repeats),
      others(settings.node, settings.failure_domain, settings.peers), guard({}),
      gate(settings.admission), link(settings.link_bytes_per_second),
      client(loop, client_connections_per_host), process(random())
{
}

absl::Status sidecar::impl::open()
{
    const std::shared_ptr<impl> self = shared_from_this();
    const std::weak_ptr<impl> weak = self;
    absl::StatusOr<std::unique_ptr<http_server>> callers = http_server::listen(
        loop, settings.caller_address, limits_of(caller_limits(), settings.caller_connections),
        [weak](const std::shared_ptr<http_exchange>& exchange) {
            if (const std::shared_ptr<impl> live = weak.lock()) {
                live->serve_call(exchange);
            }
        });
    if (!callers.ok()) {
        return callers.status();
    }
    caller_listener = *std::move(callers);
    absl::StatusOr<std::unique_ptr<http_server>> calls = http_server::listen(
        loop, settings.call_address, limits_of(caller_limits(), settings.peer_connections),
        [weak](const std::shared_ptr<http_exchange>& exchange) {
            if (const std::shared_ptr<impl> live = weak.lock()) {
                live->serve_peer(exchange);
            }
        });
    if (!calls.ok()) {
        return calls.status();
    }
    call_listener = *std::move(calls);
    absl::StatusOr<std::unique_ptr<datagram_socket>> socket =
        datagram_socket::open(loop, settings.report_address, [weak](std::string_view bytes) {
            if (const std::shared_ptr<impl> live = weak.lock()) {
                live->take_report(bytes);
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
                           {"process", process}});
    watch_platform();
    schedule_report(true);
    schedule_report(false);
    probe_timer = loop.after(first_probe, [this](time_point) { probe_upstream(); });
    expire_timer = loop.every(expire_period, [this](time_point now) {
        others.expire(now);
        guard.expire(now);
    });
    return absl::OkStatus();
}

void sidecar::impl::watch_platform()
{
    row_watch_options configuration_times;
    configuration_times.poll_delay = configuration_pause;
    configuration_times.long_poll_timeout = configuration_wait;
    configuration_watch = std::make_unique<row_watch>(driver, loop, dialect.configuration_prefix,
                                                      configuration_times, random);
    configuration_watch->start([this](const row_changes& news) { take_configuration_rows(news); },
                               dependency_health("configuration_feed"));
    row_watch_options entry_times;
    entry_times.poll_delay = entries_pause;
    entries_watch =
        std::make_unique<row_watch>(driver, loop, settings.entries_prefix, entry_times, random);
    publish_entry();
}

void sidecar::impl::read_entries()
{
    if (reading_entries) {
        return;
    }
    reading_entries = true;
    entries_watch->start([this](const row_changes& news) { take_entries(news); },
                         dependency_health("entries_feed"));
}

row_watch::health_hook sidecar::impl::dependency_health(const char* what)
{
    return [this, what](const absl::Status& status) {
        if (status.ok()) {
            log.change("dependency_regained", {{"dependency", what}});
            return;
        }
        counters.platform_errors.add();
        log.change("dependency_lost",
                   {{"dependency", what}, {"error", std::string(status.message())}});
    };
}

void sidecar::impl::take_configuration_rows(const row_changes& news)
{
    for (const row_write& row : news.rows) {
        if (row.key == dialect.configuration_key && row.value) {
            take_configuration(*row.value, "platform");
        }
    }
}

bool sidecar::impl::take_configuration(const std::string& next, std::string_view source)
{
    absl::StatusOr<std::shared_ptr<const routing_table>> read = dialect.read_configuration(next);
    const config_version before = table ? table->version() : 0;
    if (!read.ok()) {
        log.change("configuration_rejected", {{"source", source},
                                              {"in_force", before},
                                              {"error", std::string(read.status().message())}});
        return false;
    }
    if ((*read)->version() <= before) {
        return false;
    }
    table = *std::move(read);
    document = detail::deflate_bytes(next);
    counters.version.set(static_cast<std::int64_t>(table->version()));
    caller_listener->set_limits(limits_of(table->limits(), settings.caller_connections));
    log.change("configuration_in_force", {{"version", table->version()},
                                          {"before", before},
                                          {"rules", static_cast<std::uint64_t>(table->size())},
                                          {"source", source}});
    send_report();
    return true;
}

peer_entry sidecar::impl::own_entry() const
{
    return {settings.node, settings.failure_domain, settings.service, call_listener->address(),
            settings.report_address};
}

void sidecar::impl::take_entries(const row_changes& news)
{
    const time_point now = loop.now();
    const std::string own_key = settings.entries_prefix + settings.node;
    for (const row_write& row : news.rows) {
        const node_id node = row.key.substr(settings.entries_prefix.size());
        if (!row.value) {
            others.remove(node, now);
            if (row.key == own_key) {
                entry_written = false;
            }
            continue;
        }
        const absl::StatusOr<peer_entry> entry = decode_entry(*row.value);
        if (!entry.ok() || entry->node != node) {
            log.change("entry_malformed", {{"key", row.key}});
            continue;
        }
        if (row.key == own_key) {
            entry_written = *entry == own_entry();
            continue;
        }
        others.learn(*entry, now);
    }
    counters.peers_known.set(static_cast<std::int64_t>(others.size()));
    publish_entry();
    send_report();
}

void sidecar::impl::publish_entry()
{
    if (!entry_written && !entry_in_flight && !stopping) {
        write_entry();
    }
}

void sidecar::impl::write_entry()
{
    entry_in_flight = true;
    transaction write;
    write.writes.push_back({settings.entries_prefix + settings.node, encode_entry(own_entry())});
    driver.commit(std::move(write), [weak = weak_from_this()](
                                        const absl::StatusOr<transaction_result>& result) {
        const std::shared_ptr<impl> self = weak.lock();
        if (!self) {
            return;
        }
        self->entry_in_flight = false;
        if (result.ok()) {
            self->entry_written = true;
            self->log.change("entry_written", {});
            // Of two nodes that start together, the one that reads last sees the other's entry,
            // and its reports introduce it there.
            self->read_entries();
            return;
        }
        self->counters.platform_errors.add();
        self->log.change("entry_not_written", {{"error", std::string(result.status().message())}});
        self->entry_timer =
            self->loop.after(entry_retry, [raw = self.get()](time_point) { raw->publish_entry(); });
    });
}

reported_load sidecar::impl::own_load() const
{
    const time_point now = loop.now();
    return load_report(gate.load(now), link, failures, now);
}

peer_report sidecar::impl::make_report() const
{
    peer_report report;
    report.entry = own_entry();
    report.process = process;
    report.sequence = report_sequence;
    report.state = stopping ? upstream_state::draining : gate_state();
    report.load = own_load();
    report.reads_platform = !reading_configuration || !configuration_watch->failing();
    report.in_force = table ? table->version() : 0;
    for (const std::pair<time_point, crash_report>& crash : crashes) {
        report.crashes.push_back(crash.second);
    }
    return report;
}

void sidecar::impl::schedule_report(bool own_domain)
{
    const milliseconds period = others.report_period(own_domain);
    subscription& timer = own_domain ? near_report_timer : far_report_timer;
    timer = loop.after(period, [this, own_domain, due = loop.now() + period](time_point now) {
        const milliseconds late = std::chrono::duration_cast<milliseconds>(now - due);
        if (own_domain && late >= late_loop) {
            log.change("loop_late",
                       {{"by", late},
                        {"callers_in_flight", static_cast<std::uint64_t>(caller_requests.size())},
                        {"at_gate", static_cast<std::uint64_t>(gate_requests.size())}});
        }
        if (own_domain) {
            relieve_connections();
            choose_reader(now);
        }
        send_report(own_domain);
        schedule_report(own_domain);
    });
}

void sidecar::impl::relieve_connections()
{
    const std::size_t limit = settings.caller_connections;
    if (caller_listener->connections() * 10 < limit * 8) {
        return;
    }
    // At the limit, callers would wait for a place until they give up, and their requests would
    // be read after that. A caller whose idle connection closes sends its request again.
    log.change("connections_relieved",
               {{"connections", static_cast<std::uint64_t>(caller_listener->connections())},
                {"limit", static_cast<std::uint64_t>(limit)}});
    caller_listener->close_idle(relieved_idle_time);
}

void sidecar::impl::send_report()
{
    send_report(true);
    send_report(false);
}

void sidecar::impl::send_report(bool own_domain)
{
    const time_point now = loop.now();
    while (!crashes.empty() && now - crashes.front().first > crash_repeat) {
        crashes.pop_front();
    }
    ++report_sequence;
    const std::string bytes = encode_report(make_report());
    for (const peer_entry& peer : others.in_domain(own_domain)) {
        reports->send(peer.report_address, bytes);
        counters.reports_sent.add();
    }
}

void sidecar::impl::take_report(std::string_view bytes)
{
    const absl::StatusOr<peer_report> report = decode_report(bytes);
    if (!report.ok()) {
        counters.reports_malformed.add();
        return;
    }
    counters.reports_received.add();
    const time_point now = loop.now();
    if (!others.receive(*report, now)) {
        return;
    }
    for (const crash_report& crash : report->crashes) {
        if (guard.receive(crash, now)) {
            log.change("crash_report", {{"from", report->entry.node},
                                        {"fingerprint", crash.fingerprint},
                                        {"blocked_for", crash.blocked_for}});
        }
    }
    if (report->in_force > (table ? table->version() : 0) && !fetching) {
        fetching = true;
        fetch_timer =
            loop.after(fetch_delay(report->entry), [this](time_point) { fetch_from_peer(); });
    }
}

milliseconds sidecar::impl::fetch_delay(const peer_entry& ahead) const
{
    if (!table) {
        return milliseconds(1);
    }
    if (reading_configuration && !configuration_watch->failing()) {
        return reader_fetch_delay;
    }
    const bool near = ahead.failure_domain == settings.failure_domain;
    return uniform_between(random, near ? milliseconds(1) : far_fetch_delay,
                           near ? near_fetch_spread : far_fetch_delay + near_fetch_spread);
}

void sidecar::impl::share_crashes(const std::vector<crash_report>& news)
{
    for (const crash_report& report : news) {
        crashes.emplace_back(loop.now(), report);
    }
    if (!news.empty()) {
        send_report();
    }
}

void sidecar::impl::fetch_from_peer()
{
    const config_version before = table ? table->version() : 0;
    std::vector<peer_entry> ahead = others.ahead_of(before, true, loop.now());
    if (ahead.empty()) {
        ahead = others.ahead_of(before, false, loop.now());
    }
    if (ahead.empty()) {
        fetching = false;
        return;
    }
    // A random one, so that no link carries the document to all nodes.
    const peer_entry& peer = ahead[uniform_below(random, ahead.size())];
    http_call call;
    call.url = "http://" + peer.call_address + std::string(configuration_path);
    call.timeout = fetch_timeout;
    call.max_response_bytes = max_configuration_bytes;
    client.send(std::move(call),
                [weak = weak_from_this(), node = peer.node](const http_result& result) {
                    const std::shared_ptr<impl> self = weak.lock();
                    if (self) {
                        self->fetching = false;
                        self->take_fetched(result, node);
                    }
                });
}

void sidecar::impl::take_fetched(const http_result& result, const node_id& node)
{
    if (result.outcome != http_outcome::answered || result.response.status != 200) {
        log.change("configuration_fetch_failed", {{"peer", node}, {"error", result.error}});
        return;
    }
    const absl::StatusOr<std::string> fetched =
        detail::inflate_bytes(result.response.body, max_configuration_bytes);
    if (!fetched.ok()) {
        log.change("configuration_fetch_failed",
                   {{"peer", node}, {"error", std::string(fetched.status().message())}});
        return;
    }
    take_configuration(*fetched, node);
}

void sidecar::impl::choose_reader(time_point now)
{
    // Without a version in force each node reads for itself, as nobody may know one.
    const bool reads = !table || others.is_reader(readers_of_a_domain, now);
    if (reads != reading_configuration) {
        reading_configuration = reads;
        log.change(reads ? "reader_started" : "reader_stopped",
                   {{"version", table ? table->version() : 0}});
    }
    configuration_watch->set_active(reads);
}

void sidecar::impl::probe_upstream()
{
    if (upstream.heartbeat_received() || upstream.state() == upstream_state::ready) {
        return;
    }
    http_call call;
    call.url = "http://" + settings.upstream_address + dialect.health_path;
    call.timeout = probe_timeout;
    call.request.headers.set("Host", settings.upstream_address);
    client.send(std::move(call), [weak = weak_from_this()](const http_result& result) {
        const std::shared_ptr<impl> self = weak.lock();
        if (!self) {
            return;
        }
        std::optional<std::string> instance;
        if (result.outcome == http_outcome::answered) {
            instance = self->dialect.read_health(result.response);
        }
        if (instance) {
            self->apply(self->upstream.health_check_passed(*instance, self->settings.default_slots),
                        "health_check");
            return;
        }
        self->probe_timer = self->loop.after(
            probe_period, [raw = self.get()](time_point) { raw->probe_upstream(); });
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
    set_gate(upstream.state());
    log.change(change == lifecycle_change::opened ? "gate_opened" : "gate_closed",
               {{"instance", upstream.instance()},
                {"state", name_of(upstream.state())},
                {"cause", cause},
                {"slots", upstream.slots()}});
    send_report();
}

void sidecar::impl::set_gate(upstream_state state)
{
    apply(gate.set_upstream(state, upstream.slots(), loop.now()));
}

void sidecar::impl::upstream_unreachable(std::string_view cause)
{
    apply(upstream.mark_unreachable(), cause);
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

void sidecar::impl::apply(const guard_actions& actions)
{
    share_crashes(actions.reports);
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

void sidecar::impl::schedule_gate_check()
{
    const admission_load load = gate.load(loop.now());
    counters.queued.set(load.queued);
    if (gate_check_set || gate_requests.size() <= load.running) {
        return;
    }
    gate_check_set = true;
    gate_timer = loop.after(gate_check_period, [this](time_point now) {
        gate_check_set = false;
        apply(gate.expire(now));
        std::vector<std::shared_ptr<detail::gate_request>> waiting;
        waiting.reserve(gate_requests.size());
        for (const auto& each : gate_requests) {
            waiting.push_back(each.second);
        }
        for (const std::shared_ptr<detail::gate_request>& request : waiting) {
            request->expire(now);
        }
        schedule_gate_check();
    });
}

void sidecar::impl::serve_call(const std::shared_ptr<http_exchange>& exchange)
{
    std::make_shared<detail::caller_request>(shared_from_this(), exchange)->start();
}

void sidecar::impl::serve_peer(const std::shared_ptr<http_exchange>& exchange)
{
    std::optional<detail::forwarded_call> call = detail::read_call(exchange->request().headers);
    if (!call) {
        http_response response;
        const bool wanted = exchange->request().target == configuration_path && table;
        response.status = wanted ? 200 : 404;
        response.body = wanted ? document : std::string();
        exchange->respond(std::move(response));
        return;
    }
    http_request request = exchange->request();
    strip_headers(request.headers);
    const std::uint64_t id = ++last_gate_id;
    const std::shared_ptr<detail::gate_request> arrived = std::make_shared<detail::gate_request>(
        shared_from_this(), id, std::move(*call), std::move(request),
        [exchange, kind = kind_of(call->rule),
         weak = weak_from_this()](const detail::forwarded_answer& answer, http_response response) {
            strip_headers(response.headers);
            if (answer.outcome != answer_outcome::answered) {
                response.status = 503;
            }
            detail::write_answer(answer, response.headers);
            if (const std::shared_ptr<impl> live = weak.lock()) {
                live->link.add_answer(kind, response.body.size(), live->loop.now());
            }
            exchange->respond(std::move(response));
        });
    gate_requests.emplace(id, arrived);
    exchange->on_cancel([weak = std::weak_ptr<detail::gate_request>(arrived)] {
        if (const std::shared_ptr<detail::gate_request> live = weak.lock()) {
            live->cancel();
        }
    });
    arrived->start();
}

detail::rule_series& sidecar::impl::series_of(const std::string& rule)
{
    std::unique_ptr<detail::rule_series>& known = series[rule];
    if (!known) {
        known = std::make_unique<detail::rule_series>(data, rule);
    }
    return *known;
}

milliseconds sidecar::impl::full_wait(const std::string& rule, milliseconds left)
{
    milliseconds& known = full_waits[rule];
    known = std::max(known, left);
    return known;
}

void sidecar::impl::end_all_requests()
{
    // The queue goes first, or the slots of ended requests would go to queued ones. Ending a
    // request removes it from its container.
    std::vector<std::shared_ptr<detail::gate_request>> at_gate;
    at_gate.reserve(gate_requests.size());
    for (const auto& each : gate_requests) {
        at_gate.push_back(each.second);
    }
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

void sidecar::impl::check_stop(time_point now, const std::function<void()>& done)
{
    // A request that crosses the close of an idle connection has not been read, and its caller
    // may send it again; one that was read is answered first.
    caller_listener->stop_accepting();
    caller_listener->close_idle();
    const bool idle =
        caller_requests.empty() && gate_requests.empty() && caller_listener->connections() == 0;
    if (!idle && !ended_all && now - stop_started >= settings.stop_deadline) {
        ended_all = true;
        end_all_requests();
    }
    if (!idle && now - stop_started < settings.stop_deadline + stop_flush) {
        stop_timer =
            loop.after(stop_check_period, [this, done](time_point at) { check_stop(at, done); });
        return;
    }
    log.change("stopped",
               {{"callers_in_flight", static_cast<std::uint64_t>(caller_requests.size())},
                {"gate_in_flight", static_cast<std::uint64_t>(gate_requests.size())},
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

void sidecar::heartbeat(const upstream_heartbeat& heartbeat)
{
    const std::uint32_t slots_before = impl_->upstream.slots();
    const lifecycle_change change = impl_->upstream.receive(heartbeat);
    impl_->apply(change, "heartbeat");
    if (change == lifecycle_change::none && impl_->upstream.slots() != slots_before) {
        impl_->set_gate(impl_->upstream.state());
    }
}

void sidecar::upstream_left(const std::string& instance, std::chrono::milliseconds born)
{
    impl_->apply(impl_->upstream.deregister(instance, born), "deregistered");
}

void sidecar::shut_down(std::function<void()> done)
{
    if (impl_->stopping) {
        return;
    }
    impl_->stopping = true;
    impl_->stop_started = impl_->loop.now();
    impl_->log.change("stopping", {{"callers_in_flight",
                                    static_cast<std::uint64_t>(impl_->caller_requests.size())}});
    impl_->send_report();
    impl_->stop_timer = impl_->loop.after(
        impl_->settings.stop_linger, [raw = impl_.get(), call = std::move(done)](time_point now) {
            raw->check_stop(now, call);
        });
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
