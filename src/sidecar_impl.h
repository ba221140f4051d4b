#pragma once

#include "datagram_socket.h"
#include "sidecar_call.h"

#include <agatespread/failure_rate.h>
#include <agatespread/link_backlog.h>
#include <agatespread/sidecar.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agatespread {

namespace detail {

class caller_request;
class gate_request;

/// The series of the requests of one rule, found once.
struct rule_series {
    rule_series(metrics& data, const std::string& rule);

    counter& answered;
    counter& refused;
    counter& failed;
    counter& cancelled;
    counter& retries;
    histogram& duration;
    double mean_answer_bytes = 0;
};

/// The counters of a sidecar that have no rule.
struct sidecar_counters {
    explicit sidecar_counters(metrics& data);

    counter& unrouted;
    counter& unconfigured;
    counter& moved; ///< Sent to another node after a refusal.
    counter& budget_empty;
    counter& upstream_lost;
    counter& upstream_crashes;
    counter& upstream_spoiled;
    counter& reports_sent;
    counter& reports_received;
    counter& reports_malformed;
    counter& platform_errors;
    gauge& version;
    gauge& peers_known;
    gauge& queued;
};

} // namespace detail

struct sidecar::impl : std::enable_shared_from_this<sidecar::impl> {
    impl(event_loop& runs, platform& store, metrics& numbers, sidecar_settings given,
         sidecar_dialect speaks, random_source draws);

    absl::Status open();
    void watch_platform();
    void take_configuration_rows(const row_changes& news);
    bool take_configuration(const std::string& document, std::string_view source);
    void take_entries(const row_changes& news);
    void read_entries();
    row_watch::health_hook dependency_health(const char* what);
    void publish_entry();
    void write_entry();
    peer_entry own_entry() const;

    void schedule_report(bool own_domain);
    void send_report();
    void send_report(bool own_domain);
    void relieve_connections();
    reported_load own_load() const;
    peer_report make_report() const;
    void take_report(std::string_view bytes);
    void share_crashes(const std::vector<crash_report>& reports);
    std::chrono::milliseconds fetch_delay(const peer_entry& ahead) const;
    void fetch_from_peer();
    void take_fetched(const http_result& result, const node_id& node);
    void choose_reader(time_point now);

    void probe_upstream();
    void apply(lifecycle_change change, std::string_view cause);
    void set_gate(upstream_state state);
    upstream_state gate_state() const;
    void apply(const admission_actions& actions);
    void apply(const guard_actions& actions);
    void schedule_gate_check();
    void upstream_unreachable(std::string_view cause);

    void serve_call(const std::shared_ptr<http_exchange>& exchange);
    void serve_peer(const std::shared_ptr<http_exchange>& exchange);
    void check_stop(time_point now, const std::function<void()>& done);
    void end_all_requests();

    detail::rule_series& series_of(const std::string& rule);

    /// Returns the time for which a caller waits on its first attempt at a rule.
    std::chrono::milliseconds full_wait(const std::string& rule, std::chrono::milliseconds left);

    event_loop& loop;
    platform& driver;
    metrics& data;
    sidecar_settings settings;
    sidecar_dialect dialect;
    random_source random;
    decision_log log;
    detail::sidecar_counters counters;
    std::map<std::string, std::unique_ptr<detail::rule_series>> series;
    std::map<std::string, std::chrono::milliseconds> full_waits;

    std::shared_ptr<const routing_table> table;
    std::string document; ///< The configuration in force as the operator wrote it, compressed.
    share_picker shares;
    repeat_budget retries;
    peers others;
    crash_guard guard;
    admission gate;
    link_backlog link;
    upstream_lifecycle upstream;
    failure_rate failures; ///< Of the own upstream.

    http_client client; ///< To other nodes and to the upstream.
    std::unique_ptr<http_server> caller_listener;
    std::unique_ptr<http_server> call_listener;
    std::unique_ptr<datagram_socket> reports;

    std::unique_ptr<row_watch> configuration_watch;
    std::unique_ptr<row_watch> entries_watch;
    bool entry_written = false;
    bool entry_in_flight = false;
    bool reading_entries = false;
    bool reading_configuration = true; ///< This node reads for its failure domain.
    bool fetching = false;
    subscription fetch_timer;
    subscription entry_timer;
    subscription near_report_timer;
    subscription far_report_timer;
    subscription probe_timer;
    subscription gate_timer;
    subscription stop_timer;
    subscription expire_timer;

    std::uint64_t process = 0;
    std::uint64_t report_sequence = 0;
    std::deque<std::pair<time_point, crash_report>> crashes; ///< Still to be told.
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<detail::gate_request>> gate_requests;
    std::uint64_t last_gate_id = 0;
    bool gate_check_set = false;
    absl::flat_hash_set<detail::caller_request*> caller_requests; ///< Requests without an answer.
    bool stopping = false;
    bool ended_all = false; ///< The stop deadline has passed.
    time_point stop_started;
};

} // namespace agatespread
