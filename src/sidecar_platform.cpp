#include "caller_request.h"
#include "deflate.h"
#include "sidecar_impl.h"

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// Nodes of each failure domain that read the configuration from the platform; the others fetch it
// from these. Two, so that the loss of one causes no delay.
constexpr std::size_t readers_per_domain = 2;

constexpr std::size_t max_configuration_bytes = 8U << 20U;

// The longest delay before a node writes its entry again. All nodes do so after an outage or when
// the platform has returned from an older copy, so the delay grows with the number of nodes.
constexpr milliseconds entry_retry_delay{500};
constexpr milliseconds entry_spacing{5};

// Entries are read seldom: new nodes announce themselves by their reports, and the reads cover
// nodes whose reports are lost. All nodes together read twice a second at most.
constexpr milliseconds min_entries_read_delay = std::chrono::seconds(30);
constexpr milliseconds entries_read_spacing{500};

} // namespace

void sidecar::impl::watch_platform()
{
    row_watch_options configuration_times;
    configuration_times.poll_delay = times.poll_delay;
    configuration_times.long_poll_timeout = times.poll_wait;
    configuration_times.late_poll_delay = times.late_poll_delay;
    configuration_watch = std::make_unique<row_watch>(driver, loop, dialect.configuration_prefix,
                                                      configuration_times, random);
    if (keeps_proof()) {
        configuration_watch->on_confirmed(
            settings.boot_now, [this](boot_clock::time_point at) { confirm_version(at); });
    }
    configuration_watch->start(
        [this](const row_changes& changes) { apply_configuration_rows(changes); },
        health_logger("configuration_feed"));
    row_watch_options entry_times;
    entry_times.poll_delay = min_entries_read_delay;
    entry_times.synced_backoff = min_entries_read_delay;
    entry_times.complete_reads = true;
    entries_watch =
        std::make_unique<row_watch>(driver, loop, settings.entries_prefix, entry_times, random);
    write_entry();
}

void sidecar::impl::read_entries()
{
    if (watching_entries) {
        entries_watch->restart();
        return;
    }
    watching_entries = true;
    entries_watch->start([this](const row_changes& changes) { apply_entries(changes); },
                         health_logger("entries_feed"));
}

row_watch::health_hook sidecar::impl::health_logger(const char* dependency)
{
    return [this, dependency](const absl::Status& status) {
        if (status.ok()) {
            log.change("dependency_regained", {{"dependency", dependency}});
            return;
        }
        counters.platform_errors.add();
        log.change("dependency_lost",
                   {{"dependency", dependency}, {"error", std::string(status.message())}});
    };
}

void sidecar::impl::learn_platform_era(std::uint64_t era)
{
    if (era <= platform_era) {
        return;
    }
    const std::uint64_t before = std::exchange(platform_era, era);
    if (before == 0) {
        return;
    }
    log.change("platform_rolled_back", {{"era", era}, {"before", before}});
    entry_written = false;
    schedule_entry();
    blocks.repeat_writes();
    departures.repeat_write();
    repeat_rollouts();
}

void sidecar::impl::apply_configuration_rows(const row_changes& changes)
{
    learn_platform_era(changes.position.era);
    for (const row_write& row : changes.rows) {
        if (row.key == dialect.configuration_key && row.value) {
            apply_configuration(*row.value, "platform");
        }
    }
    read_rollout_orders(changes);
}

void sidecar::impl::confirm_version(boot_clock::time_point asked_at)
{
    // A newer document that could not be applied may have taken a key away.
    if (newest_is_in_force) {
        proof.confirm(asked_at);
    }
}

bool sidecar::impl::apply_configuration(const std::string& next, std::string_view source)
{
    absl::StatusOr<std::shared_ptr<const routing_table>> read = dialect.read_configuration(next);
    const config_version before = table ? table->version() : 0;
    if (source == "platform") {
        newest_is_in_force = read.ok();
    }
    if (!read.ok()) {
        log.change("configuration_rejected", {{"source", source},
                                              {"in_force", before},
                                              {"error", std::string(read.status().message())}});
        return false;
    }
    if ((*read)->version() <= before) {
        return false;
    }
    const time_point now = loop.now();
    table = *std::move(read);
    document = detail::deflate_bytes(next);
    counters.version.set(static_cast<std::int64_t>(table->version()));
    caller_listener->set_limits(detail::limits_of(table->limits(), settings.caller_connections,
                                                  settings.min_bytes_per_second));
    log.change("configuration_in_force", {{"version", table->version()},
                                          {"before", before},
                                          {"rules", static_cast<std::uint64_t>(table->size())},
                                          {"bytes", static_cast<std::uint64_t>(document.size())},
                                          {"source", source},
                                          {"behind_for", versions.behind_for(now)},
                                          {"failed_fetches", failed_fetches}});
    for (const std::string& remark : table->remarks()) {
        counters.configuration_remarks.add();
        log.change("configuration_remark", {{"version", table->version()}, {"text", remark}});
    }
    versions.take(table->version(), now);
    apply_quota_limits();
    failed_fetches = 0;
    const bool is_reader = reading_configuration && known_peers.is_reader(readers_per_domain, now);
    send_report(known_peers.version_recipients(is_reader, random, now), "version");
    resume_unrouted_requests();
    return true;
}

void sidecar::impl::resume_unrouted_requests()
{
    const std::vector<std::weak_ptr<detail::caller_request>> waiting =
        std::exchange(unrouted_requests, {});
    for (const std::weak_ptr<detail::caller_request>& each : waiting) {
        if (const std::shared_ptr<detail::caller_request> request = each.lock()) {
            request->resume();
        }
    }
}

peer_entry sidecar::impl::own_entry() const
{
    return {settings.node, settings.failure_domain, settings.service, call_listener->address(),
            settings.report_address};
}

void sidecar::impl::apply_entries(const row_changes& changes)
{
    const time_point now = loop.now();
    const std::string own_key = settings.entries_prefix + settings.node;
    learn_platform_era(changes.position.era);
    if (changes.complete) {
        entry_written = false;
        entries_read_at = entries_read_at.value_or(settings.boot_now());
    }
    // Nodes that started know nothing of this one. A start writes the entry again, so a change of
    // one entry is answered to its node only.
    std::vector<peer_entry> started;
    for (const row_write& row : changes.rows) {
        const node_id node = row.key.substr(settings.entries_prefix.size());
        if (!row.value) {
            known_peers.remove(node, now);
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
        known_peers.add_entry(*entry, now);
        started.push_back(*entry);
    }
    counters.peers_known.set(static_cast<std::int64_t>(known_peers.size()));
    entries_watch->set_poll_delay(
        std::max<milliseconds>(min_entries_read_delay, entries_read_spacing * known_peers.size()));
    if (!entry_written) {
        schedule_entry();
    }
    send_report(changes.complete ? known_peers.unheard(now) : started, "entry");
}

void sidecar::impl::schedule_entry()
{
    const milliseconds longest =
        std::max<milliseconds>(entry_retry_delay, entry_spacing * known_peers.size());
    entry_timer = loop.after(uniform_between(random, milliseconds(1), longest),
                             [this](time_point) { write_entry(); });
}

void sidecar::impl::write_entry()
{
    if (entry_written || entry_in_flight || stopping) {
        return;
    }
    entry_in_flight = true;
    transaction write;
    write.writes.push_back({settings.entries_prefix + settings.node, encode_entry(own_entry())});
    driver.commit(std::move(write), [weak = weak_from_this(), era = platform_era](
                                        const absl::StatusOr<transaction_result>& result) {
        if (const std::shared_ptr<impl> self = weak.lock()) {
            self->entry_in_flight = false;
            self->on_entry_written(result.status(), era);
        }
    });
}

void sidecar::impl::on_entry_written(const absl::Status& status, std::uint64_t era)
{
    if (!status.ok()) {
        counters.platform_errors.add();
        log.change("entry_not_written", {{"error", std::string(status.message())}});
        schedule_entry();
        return;
    }
    log.change("entry_written", {{"era", era}});
    entry_written = era == 0 || era == platform_era;
    if (!entry_written) {
        schedule_entry();
        return;
    }
    // Reading after the write ensures that of two nodes that start together, the one that reads
    // last finds the other's entry and announces itself there by its reports.
    read_entries();
}

milliseconds sidecar::impl::fetch_delay(const peer_entry& ahead) const
{
    if (!table) {
        return milliseconds(1);
    }
    if (reading_configuration && !configuration_watch->failing()) {
        return times.reader_fetch_delay;
    }
    const milliseconds delay =
        ahead.failure_domain == settings.failure_domain ? milliseconds(1) : times.far_fetch_delay;
    return uniform_between(random, delay, delay + times.near_fetch_jitter);
}

void sidecar::impl::catch_up(const peer_entry& ahead)
{
    if (!fetch_scheduled && fetches_in_flight.size() < detail::max_concurrent_fetches) {
        schedule_fetch(fetch_delay(ahead));
    }
    schedule_platform_read();
}

void sidecar::impl::schedule_fetch(milliseconds delay)
{
    fetch_scheduled = true;
    fetch_timer = loop.after(delay, [this](time_point) {
        fetch_scheduled = false;
        fetch_from_peer();
    });
}

void sidecar::impl::fetch_from_peer()
{
    const time_point now = loop.now();
    const config_version before = versions.in_force();
    std::vector<peer_entry> ahead = known_peers.ahead_of(before, true, fetches_in_flight, now);
    if (ahead.empty()) {
        ahead = known_peers.ahead_of(before, false, fetches_in_flight, now);
    }
    if (!ahead.empty()) {
        // A random peer, so that no single link carries the document to all nodes.
        send_fetch(ahead[uniform_below(random, ahead.size())]);
    }
    if (!fetches_in_flight.empty() && fetches_in_flight.size() < detail::max_concurrent_fetches) {
        schedule_fetch(times.next_fetch_delay);
    }
}

void sidecar::impl::schedule_platform_read()
{
    if (platform_read_scheduled) {
        return;
    }
    platform_read_scheduled = true;
    const milliseconds behind = versions.behind_for(loop.now());
    platform_read_timer = loop.after(std::max(times.platform_read_delay - behind, milliseconds(1)),
                                     [this](time_point now) { read_platform_if_behind(now); });
}

void sidecar::impl::read_platform_if_behind(time_point now)
{
    platform_read_scheduled = false;
    const milliseconds behind = versions.behind_for(now);
    if (behind >= times.platform_read_delay) {
        read_platform(behind);
    }
    else if (versions.behind()) {
        schedule_platform_read();
    }
}

void sidecar::impl::read_platform(milliseconds behind)
{
    platform_read_scheduled = true; // Until the response.
    log.change("configuration_read", {{"in_force", versions.in_force()},
                                      {"newest", versions.newest()},
                                      {"behind_for", behind},
                                      {"failed_fetches", failed_fetches}});
    driver.read(dialect.configuration_key,
                [weak = weak_from_this()](absl::StatusOr<std::optional<std::string>> result) {
                    if (const std::shared_ptr<impl> self = weak.lock()) {
                        self->platform_read_scheduled = false;
                        self->on_platform_read(std::move(result));
                    }
                });
}

void sidecar::impl::on_platform_read(absl::StatusOr<std::optional<std::string>> result)
{
    if (!result.ok()) {
        counters.platform_errors.add();
        log.change("configuration_read_failed",
                   {{"error", std::string(result.status().message())}});
    }
    else if (result->has_value()) {
        apply_configuration(**result, "platform");
    }
    if (versions.behind()) {
        // The platform may have lost the version, and the nodes that had it may be gone.
        const milliseconds delay =
            std::max(times.platform_read_delay, versions.behind_for(loop.now()) / 2);
        platform_read_scheduled = true;
        platform_read_timer =
            loop.after(delay, [this](time_point now) { read_platform_if_behind(now); });
    }
}

void sidecar::impl::send_fetch(const peer_entry& peer)
{
    fetches_in_flight.insert(peer.node);
    http_call call;
    call.url = "http://" + peer.call_address + std::string(detail::configuration_path);
    call.timeout = times.fetch_timeout;
    call.max_response_bytes = max_configuration_bytes;
    call.new_connection = true; // An idle one may have fallen silent.
    // All nodes of the failure domain fetch from the same few peers, whose listeners have a limit.
    call.close_connection = true;
    client.send(std::move(call), [weak = weak_from_this(), node = peer.node,
                                  remote = peer.failure_domain !=
                                           settings.failure_domain](const http_result& result) {
        const std::shared_ptr<impl> self = weak.lock();
        if (self) {
            self->fetches_in_flight.erase(node);
            if (remote) {
                self->count_remote_bytes("document", result.response.body.size());
            }
            self->handle_fetched_configuration(result, node);
        }
    });
}

void sidecar::impl::handle_fetched_configuration(const http_result& result, const node_id& node)
{
    if (result.outcome != http_outcome::answered || result.response.status != 200) {
        log_failed_fetch(node, result.sent, result.error);
    }
    else {
        const absl::StatusOr<std::string> fetched =
            detail::inflate_bytes(result.response.body, max_configuration_bytes);
        if (!fetched.ok()) {
            log_failed_fetch(node, true, std::string(fetched.status().message()));
        }
        else {
            apply_configuration(*fetched, node);
        }
    }
    // The peer may have failed, or may itself be behind the node that reported the version.
    if (versions.behind() && !fetch_scheduled) {
        schedule_fetch(uniform_between(random, milliseconds(1), times.near_fetch_jitter));
    }
}

void sidecar::impl::log_failed_fetch(const node_id& node, bool connected, const std::string& error)
{
    ++failed_fetches;
    log.change("configuration_fetch_failed",
               {{"peer", node},
                {"connected", connected ? 1 : 0},
                {"in_force", versions.in_force()},
                {"newest", versions.newest()},
                {"behind_for", versions.behind_for(loop.now())},
                {"in_flight", static_cast<std::uint64_t>(fetches_in_flight.size())},
                {"error", error}});
}

void sidecar::impl::update_reader_role(time_point now)
{
    // Each node reads once by itself, as possibly no peer has a version.
    const bool reads =
        role.update(known_peers.ahead_by_id(now), now) || !configuration_watch->is_synced();
    if (reads != reading_configuration) {
        reading_configuration = reads;
        log.change(reads ? "reader_started" : "reader_stopped",
                   {{"version", table ? table->version() : 0}});
    }
    configuration_watch->set_active(reads);
}

} // namespace agatespread
