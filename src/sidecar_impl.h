#pragma once

#include "block_rows.h"
#include "counted_platform.h"
#include "counter_set.h"
#include "crash_sharing.h"
#include "datagram_socket.h"
#include "departure_row.h"
#include "replayed_random.h"
#include "sidecar_call.h"
#include "sidecar_rollout.h"

#include <agatespread/attempt_age.h>
#include <agatespread/failure_rate.h>
#include <agatespread/link_backlog.h>
#include <agatespread/request_stages.h>
#include <agatespread/second_attempt.h>
#include <agatespread/sidecar.h>
#include <agatespread/tenant_quota.h>
#include <agatespread/upload_grants.h>
#include <agatespread/version_progress.h>
#include <agatespread/version_proof.h>
#include <agatespread/version_times.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace agatespread {

namespace detail {

class caller_request;
class gate_request;
struct run_state;

std::shared_ptr<run_state> make_run_state();

/// The path under which a node serves its configuration to other nodes.
inline constexpr std::string_view configuration_path = "/agatespread/configuration";

inline constexpr std::size_t max_concurrent_fetches = 3; // Of the configuration, from three peers.

/// Returns the limits of a listener for callers or other nodes.
http_limits limits_of(const caller_limits& limits, std::size_t connections,
                      std::size_t min_bytes_per_second);

/// The metrics of one rule, looked up once.
struct rule_series {
    rule_series(metrics& data, const std::string& rule);

    void record(const request_stages& spent);

    /// Returns the requests since the last call as "answered/late/refused/failed", where late ones
    /// are part of the answered ones, or nothing if there were none.
    std::optional<std::string> describe_new();

    counter& answered;
    counter& refused;
    counter& failed;
    counter& cancelled;
    counter& late; ///< Answered after the latency objective.
    counter& retries;
    histogram& duration;
    std::array<histogram*, request_stage_count> stages{}; ///< By `request_stage`.
    double mean_response_bytes = 0;
    attempt_age age;
    std::array<std::uint64_t, 4> described{}; ///< Counts that `describe_new` has returned.
};

/// The metrics of a sidecar that have no rule label.
struct sidecar_counters {
    explicit sidecar_counters(metrics& data);

    counter& unrouted;
    counter& unconfigured;
    counter& rerouted; ///< Sent to another node after a refusal.
    counter& retry_budget_exhausted;
    counter& upstream_lost;
    counter& upstream_crashes;
    counter& upstream_invalid_responses;
    counter& crash_suspects; ///< Fingerprints that became suspect here.
    counter& crash_blocks;   ///< Fingerprints that were blocked here.
    counter& crash_refusals; ///< Requests refused because their fingerprint is blocked.
    counter& reports_sent;
    counter& reports_received;
    counter& reports_malformed;
    counter& platform_errors;
    counter& configuration_remarks; ///< Parts of configurations that this code does not know.
    gauge& version;
    gauge& peers_known;
    gauge& queued;
    gauge& crash_fingerprints;  ///< Suspect and blocked.
    gauge& upstream_rate_limit; ///< Requests per second, rounded up; 0 for none.
    gauge& proof_age;           ///< Of `version_proof` in milliseconds; 0 without a proof.
    gauge& quota_nodes;         ///< Nodes among which quotas are divided; 0 if not known.
    gauge& quota_shares;        ///< Shares that this node can spend.
    gauge& caller_connections;  ///< Open.
    gauge& peer_connections;    ///< Open, from other nodes.
    gauge& body_bytes;          ///< Held in the bodies of responses.
    gauge& body_peak_bytes;
    gauge& body_denials;    ///< Bodies that were discarded or refused for lack of memory.
    gauge& request_bytes;   ///< Held in requests that are being read or are in use.
    gauge& request_denials; ///< Requests that were refused for lack of memory.
    histogram& loop_late;   ///< How late a periodic timer ran.
};

} // namespace detail

struct sidecar::impl : std::enable_shared_from_this<sidecar::impl> {
    impl(event_loop& main_loop, platform& platform_driver, metrics& registry,
         sidecar_settings initial_settings, sidecar_dialect platform_dialect,
         random_source random_engine);

    absl::Status open();
    void watch_platform();
    void apply_configuration_rows(const row_changes& changes);
    bool apply_configuration(const std::string& document, std::string_view source);
    void confirm_version(boot_clock::time_point asked_at);
    void resume_unrouted_requests();
    void apply_entries(const row_changes& changes);
    void read_entries();
    row_watch::health_hook health_logger(const char* dependency);
    void schedule_entry();
    void write_entry();
    void on_entry_written(const absl::Status& status, std::uint64_t era);
    void learn_platform_era(std::uint64_t era);
    peer_entry own_entry() const;

    /// Why a request with a key must not be served now, or nothing.
    std::optional<std::string_view> refuse_keys() const;
    /// Counts the result of a tenant's request; results without a tenant have an empty name.
    void count_tenant_request(const std::string& tenant, std::string_view result);
    void schedule_proof();
    void renew_proof(time_point now);
    void receive_message(std::string_view type, std::string_view bytes);
    void answer_proof_question(std::string_view bytes);
    void receive_proof_answer(std::string_view bytes);
    void log_keys_state();
    /// Takes a token for a request or lets it wait for one.
    std::optional<quota_token> take_quota(const std::shared_ptr<detail::caller_request>& request,
                                          const std::string& tenant);
    void return_quota(const quota_token& token);
    void apply_quota_limits();
    void apply_mesh_to_quota();
    void tick_quota();
    /// Sends the messages that are due and passes tokens to the requests that wait.
    void advance_quota();
    void schedule_quota_wait();
    void receive_quota_ask(std::string_view bytes);
    void receive_quota_grant(std::string_view bytes);
    quota_part own_quota_part() const;
    bool keeps_proof() const { return settings.revocation_bound.count() > 0; }

    /// Returns whether the configuration calls for the decisions on runs and urgency at all.
    bool protects_runs() const;
    /// Records the end of a run at the own upstream that started at `started`.
    void record_run(const std::string& rule, int status, time_point started);
    /// Records that a call of a run at the own upstream failed, and why.
    void record_failed_call(std::string_view reason);
    /// Counts a refusal by its reason, and whether the service had free slots at that moment.
    void count_refusal(const std::string& rule, const std::string& service,
                       std::string_view reason);
    bool has_free_slots(const std::string& service);
    std::string describe_run_shares() const;
    /// Returns the results and arrivals by rule, for a report.
    std::vector<rule_results> own_results() const;
    /// Returns whether a request of a caller, which arrives now, is a call of an upstream's run.
    bool is_nested(const route_rule& rule);
    /// Returns after which time to repeat a request whose run would probably fail, or nothing if it
    /// is admitted.
    std::optional<std::chrono::milliseconds> refuse_run(const route_rule& rule,
                                                        const std::string& service);
    void log_run_share(const std::string& rule, const std::string& service, double before,
                       double after, double failures);
    /// Records whether a run is in progress.
    void sample_runs();

    void schedule_report(bool own_domain);
    void send_report();
    /// `cause` names the reason of the report in the counters of bytes between failure domains.
    void send_report(const std::vector<peer_entry>& recipients, std::string_view cause);
    void send_datagram(const peer_entry& to, const std::string& bytes, std::string_view cause);
    /// Counts bytes between this node and one of another failure domain.
    void count_remote_bytes(std::string_view kind, std::size_t bytes);
    /// Logs what the node has cost others since its start, and its callers' requests since the last
    /// line: calls to the platform, and bytes to other failure domains.
    void log_usage(time_point now);
    std::string describe_new_requests();
    void share_crash_state(time_point now);
    void close_idle_connections();
    void log_full_listener();
    void log_cut(std::string_view listener, const connection_cut& cut);
    reported_load own_load() const;
    std::string next_report(std::vector<crash_report> crashes);
    void receive_report(std::string_view bytes);
    void publish_crashes(const std::vector<crash_report>& reports);
    void log_crash_report(const crash_report& report, std::string_view from);
    void load_blocks();
    void load_departure();
    void record_departure();
    void log_block_row_error(std::string_view action, const absl::Status& status);
    std::chrono::milliseconds fetch_delay(const peer_entry& ahead) const;
    /// Arranges for a version that a peer has and this node has not.
    void catch_up(const peer_entry& ahead);
    void schedule_fetch(std::chrono::milliseconds delay);
    void fetch_from_peer();
    void send_fetch(const peer_entry& peer);
    void handle_fetched_configuration(const http_result& result, const node_id& node);
    void schedule_platform_read();
    void read_platform_if_behind(time_point now);
    void read_platform(std::chrono::milliseconds behind);
    void on_platform_read(absl::StatusOr<std::optional<std::string>> result);
    void log_failed_fetch(const node_id& node, bool connected, const std::string& error);
    void update_reader_role(time_point now);

    /// Asks an upstream whose heartbeat alone does not open the gate whether it leaves.
    void confirm_upstream();
    void schedule_probe(std::chrono::milliseconds delay);
    void probe_upstream();
    void apply(lifecycle_change change, std::string_view cause);
    /// Applies the end of the upstream if another process has replaced it since the given count.
    void end_replaced_upstream(std::uint64_t replacements_before);
    void log_ignored_message(const std::string& instance, std::chrono::milliseconds started_at,
                             std::string_view reported);
    void update_gate(upstream_state state);
    upstream_state gate_state() const;
    void apply_announcements(const upstream_response_metadata& response,
                             const std::string& instance);
    /// Applies what the upstream said in a response to another node, in case this process of the
    /// node started later and has not heard it.
    void apply_peer_announcement(const upstream_announcement& announced);
    void limit_upstream_rate(std::optional<double> per_second);
    void apply(const admission_actions& actions);
    void apply(const guard_actions& actions, std::string_view cause);
    void schedule_gate_check();
    void mark_upstream_unreachable(std::string_view cause);

    /// Answers the offer of an upload now or when the link has room for it.
    void serve_upload_offer(const std::shared_ptr<http_exchange>& exchange);
    void apply(const upload_decisions& decisions);
    void schedule_grant_check();
    void check_grants(time_point now);

    void serve_caller(const std::shared_ptr<http_exchange>& exchange);
    void serve_peer(const std::shared_ptr<http_exchange>& exchange);
    /// Returns whether a request that is read now comes too late in a shutdown to be passed on.
    bool refuses_callers(time_point now) const;
    void check_shutdown(time_point now, const std::function<void()>& done);
    void abort_all_requests();
    void end_running_requests();
    std::vector<std::shared_ptr<detail::gate_request>> copy_gate_requests() const;

    detail::rule_series& series_for(const std::string& rule);

    /// Applies the operator's orders among the changed rows.
    void read_rollout_orders(const row_changes& changes);
    void read_rollout_order(const row_write& row, bool complete);
    detail::service_rollout& rollout_of(const std::string& service);
    void hear_rollouts(const std::vector<rollout_state>& heard, const node_id& from);
    /// Merges a state and announces it if it is new.
    void adopt_rollout(const rollout_state& state, std::string_view cause);
    void add_rollouts(peer_report& report) const;
    /// Arranges for the states to be stored again after the platform has lost writes.
    void repeat_rollouts();
    void advance_rollouts(time_point now);
    void advance_rollout(detail::service_rollout& subject, time_point now);
    void collect_evidence(detail::service_rollout& subject, time_point now);
    rollout_situation situation_of(detail::service_rollout& subject, time_point now);
    void step_rollout(const std::string& service);
    void on_rollout_row(const std::string& service, const std::optional<std::string>& value);
    void write_rollout(const std::string& service, const std::optional<std::string>& before,
                       const rollout_state& next);
    void on_rollout_written(const std::string& service, const rollout_state& next,
                            const absl::StatusOr<transaction_result>& result);
    void log_rollout_error(const std::string& service, std::string_view action,
                           const absl::Status& status);
    void record_upstream_result(const std::string& rule, bool failed,
                                std::optional<std::chrono::nanoseconds> time);
    void note_upstream_version(std::chrono::milliseconds warmup);
    /// Returns whether the own upstream accepts no more requests because its version is replaced.
    bool refuses_as_replaced() const;
    /// Returns how the versions of all ready upstreams of a service may be used now; versions that
    /// are not judged have the use `none` while they have had their share.
    std::vector<version_use> version_uses(const std::string& service,
                                          const std::vector<std::string_view>& versions,
                                          bool first_attempt);
    /// Returns the version of a rollout in `trial` or `moving`, or an empty text.
    std::string_view version_in_doubt(const std::string& service) const;
    /// Counts a new request of a service, and one that is sent to a version that is not judged.
    void count_version_request(const std::string& service);
    void record_limited_request(const std::string& service);

    event_loop& loop;
    metrics& data;
    detail::counter_set platform_calls;
    detail::counter_set platform_call_errors;
    detail::counter_set remote_bytes;    ///< To and from other failure domains, by `kind`.
    detail::counter_set remote_requests; ///< Sent to other failure domains, by `reason`.
    detail::counter_set tenant_requests; ///< By `tenant` and `result`.
    detail::counter_set rollout_changes; ///< By `service` and `phase`.
    detail::counter_set quota_events;    ///< By `event`.
    detail::counter_set second_results;  ///< Of second attempts, by `result`.
    detail::counter_set second_refusals; ///< By `reason`.
    detail::counter_set refusals;        ///< By `reason`, `room` and `rule`.
    detail::counter_set failed_runs;     ///< Of the own upstream, by `cause` and `rule`.
    detail::counter_set connections_cut; ///< By `listener` and `cause`.
    detail::counted_platform driver;
    sidecar_settings settings;
    sidecar_dialect dialect;
    detail::replayed_random draws;
    random_source random; ///< Draws from `draws`.
    decision_log log;
    detail::sidecar_counters counters;
    std::map<std::string, std::unique_ptr<detail::rule_series>> series;

    std::shared_ptr<const routing_table> table;
    const version_times times;
    version_progress versions;
    version_proof proof;
    bool newest_is_in_force = false;  ///< The last document of the platform could be applied.
    bool keys_refused = false;        ///< As logged.
    std::uint32_t failed_fetches = 0; ///< Since the last version came into force.
    std::string document; ///< The operator's document of the configuration in force, compressed.
    weighted_round_robin shares;
    repeat_budget retries;
    second_attempts hedging;
    peers known_peers;
    reader_role role;
    crash_guard guard;
    detail::crash_sharing crash_state;
    detail::block_rows blocks;
    detail::departure_row departures;
    admission gate;
    link_backlog link;
    upload_meter uploads; ///< Requests that the node receives.
    upload_grants grants;
    std::map<std::uint64_t, std::shared_ptr<http_exchange>> upload_offers; ///< Not answered yet.
    counter& upload_offers_refused;
    gauge& upload_offers_waiting;
    bool grant_check_scheduled = false;
    subscription grant_timer;
    upstream_lifecycle upstream;
    std::optional<double> logged_rate_limit;
    std::shared_ptr<detail::run_state> runs;
    bool rate_limit_heard = false;    ///< This incarnation told its limit, or that it has none.
    failure_rate failures;            ///< Failure rate of the upstream on this host.
    time_point upstream_responded_at; ///< The last response of the upstream on this host.
    bool probing_upstream = false;
    bool probing_health = false; ///< A health check is in flight.
    time_point gate_closed;      ///< When the gate last closed.

    std::map<std::string, detail::service_rollout, std::less<>> rollouts;
    upstream_results results; ///< Of the own upstream, of its current version.
    std::string results_version;
    time_point upstream_warm_at;

    body_memory messages; ///< Of which the next two are parts.
    body_memory bodies;   ///< Of all responses that the node receives.
    body_memory large_requests;
    body_memory small_requests;
    http_client client; ///< Connects to other nodes and to the upstream.
    std::unique_ptr<http_server> caller_listener;
    std::unique_ptr<http_server> call_listener;
    bool call_listener_full = false;
    std::unique_ptr<datagram_socket> reports;

    std::unique_ptr<row_watch> configuration_watch;
    std::unique_ptr<row_watch> entries_watch;
    bool entry_written = false;
    bool entry_in_flight = false;
    bool watching_entries = false;
    std::uint64_t platform_era = 0;      ///< The latest `feed_position::era` that this node knows.
    bool reading_configuration = true;   ///< This node is a reader of its failure domain.
    std::set<node_id> fetches_in_flight; ///< The peers that are asked for their configuration.
    bool fetch_scheduled = false;
    subscription fetch_timer;
    bool platform_read_scheduled = false; ///< Or its response is awaited.
    subscription platform_read_timer;
    subscription entry_timer;
    subscription near_report_timer;
    subscription far_report_timer;
    subscription probe_timer;
    subscription gate_timer;
    subscription shutdown_timer;
    subscription expire_timer;
    subscription crash_state_timer;
    subscription usage_timer;
    subscription rollout_timer;
    subscription proof_timer;
    std::chrono::milliseconds longest_loop_delay{0}; ///< Since the last line about usage.

    std::uint64_t incarnation = 0;
    const boot_clock::time_point process_started;
    tenant_quota quota;
    node_id logged_keeper;
    std::optional<boot_clock::time_point> entries_read_at; ///< First time that all were read.
    std::uint64_t last_quota_id = 0;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<detail::caller_request>> quota_waiting;
    subscription quota_timer;
    subscription quota_wait_timer;
    bool quota_wait_scheduled = false;
    std::uint64_t report_sequence = 0;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<detail::gate_request>> gate_requests;
    std::uint64_t last_gate_id = 0;
    std::size_t unanswered_in_slots = 0; ///< Ended requests that still hold a slot of the gate.
    bool gate_check_scheduled = false;
    absl::flat_hash_set<detail::caller_request*> caller_requests; ///< Requests without a response.
    /// Requests without a route in the version in force, while the node knows of a newer one.
    std::vector<std::weak_ptr<detail::caller_request>> unrouted_requests;
    bool stopping = false;
    bool shutdown_timed_out = false; ///< `shutdown_timeout` has passed.
    time_point shutdown_started;
};

} // namespace agatespread
