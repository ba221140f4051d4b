#pragma once

#include <agatespread/admission.h>
#include <agatespread/base.h>
#include <agatespread/boot_clock.h>
#include <agatespread/crash_guard.h>
#include <agatespread/decision_log.h>
#include <agatespread/event_loop.h>
#include <agatespread/explain.h>
#include <agatespread/http.h>
#include <agatespread/metrics.h>
#include <agatespread/peers.h>
#include <agatespread/placement.h>
#include <agatespread/platform.h>
#include <agatespread/repeat_budget.h>
#include <agatespread/rollout.h>
#include <agatespread/routing.h>
#include <agatespread/row_watch.h>
#include <agatespread/second_attempt.h>
#include <agatespread/tenant_quota.h>
#include <agatespread/upstream_lifecycle.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatespread {

/// Metadata that a caller sends with a request.
struct caller_context {
    std::string request_id;
    std::optional<std::chrono::milliseconds> time_left; ///< Until the caller gives up.
    std::string key; ///< Of the caller's tenant; never logged or passed on.
};

/// Metadata that the sidecar adds to a request to its upstream.
struct upstream_request_metadata {
    std::chrono::milliseconds time_left{0};
    std::string instance;       ///< The instance that must serve the request.
    std::string caller_service; ///< Service of the host that sent the request.
    std::string tenant;         ///< Name of the caller's tenant; empty for none.
};

/// Metadata of an upstream's response.
struct upstream_response_metadata {
    std::string request_id;      ///< Empty when the response carries none.
    bool authentic = false;      ///< The response carries the upstream's signature.
    bool not_run = false;        ///< The upstream refused the request without running it.
    bool other_instance = false; ///< Another instance now has the address; the request did not run.
    bool encoded = false; ///< The body has a content encoding, so it is not the upstream's own.
    std::optional<double> rate_limit; ///< Requests per second that it accepts from all hosts.
    bool leaving = false;             ///< The upstream drains.
};

/// Translates between the sidecar and the formats of the deployment's platform: its configuration,
/// request and response headers, and health checks.
struct sidecar_dialect {
    std::function<absl::StatusOr<std::shared_ptr<const routing_table>>(std::string_view)>
        read_configuration;
    std::function<caller_context(const http_request&)> read_request;
    /// Removes the key and the name of a tenant that a caller sent. Required for configurations
    /// with tenants.
    std::function<void(http_request&)> remove_tenant;
    std::function<void(const upstream_request_metadata&, http_request&)> write_upstream_request;
    std::function<upstream_response_metadata(const http_response&)> read_upstream_response;
    /// Returns the instance that answered a health check, or nothing when it is not ready. Without
    /// a function there are no health checks, and the first heartbeat of an upstream is trusted.
    std::function<std::optional<std::string>(const http_response&)> read_health;
    std::string configuration_prefix; ///< Key prefix of the operator's rows.
    std::string configuration_key;    ///< Key of the newest configuration.
    std::string health_path = "/health";
    std::string rollout_order_prefix;  ///< Key prefix of orders; empty for none.
    std::string rollout_status_prefix; ///< Key prefix of the rows that answer them.
    std::function<absl::StatusOr<rollout_order>(std::string_view)> read_rollout_order;
    std::function<std::string(const rollout_status&)> write_rollout_status;
};

/// The settings of a sidecar.
struct sidecar_settings {
    node_id node;
    std::string failure_domain;
    std::string service; ///< Service of the upstream on this host.
    std::string caller_address = "127.0.0.1:0";
    std::string call_address = "127.0.0.1:0";
    std::string report_address = "127.0.0.1:0";
    std::string upstream_address;
    std::string entries_prefix = "nodes/"; ///< Key prefix of the nodes' own entries.
    /// Key prefix of the upstreams that left, one row for each node.
    std::string departures_prefix = "departures/";
    /// Key prefix of the states of rollouts, one row for each service.
    std::string rollouts_prefix = "rollouts/";
    std::size_t caller_connections = 2500; ///< Many: callers keep idle connections open.
    std::size_t peer_connections = 1000;
    /// The least mean rate of callers and other nodes that send a longer body or read a response;
    /// see `http_limits`.
    std::size_t min_bytes_per_second = http_limits().min_bytes_per_second;
    double link_bytes_per_second = 0; ///< Of the host; 0 means unlimited.
    /// Memory that the process may use; up to 18/32 of it are for large requests and the bodies of
    /// responses, a sixteenth for small requests.
    std::size_t memory_bytes = 160U << 20U;
    std::uint32_t default_slots = 8; ///< Used until the first heartbeat of the upstream.
    /// Time from the start of a shutdown until the remaining requests are ended.
    std::chrono::milliseconds shutdown_timeout = std::chrono::milliseconds(5500);
    /// Time for which a node still accepts requests after the start of a shutdown: the platform
    /// stops using a host after two failed readiness checks, which are 1 s apart.
    std::chrono::milliseconds shutdown_delay = std::chrono::milliseconds(2300);
    /// Time from the acknowledgement of a version by the platform until it must be in force here.
    std::chrono::milliseconds version_bound = std::chrono::seconds(2);
    /// Time from the acknowledgement that an upstream leaves until the last request may reach it.
    std::chrono::milliseconds drain_bound = std::chrono::seconds(2);
    /// Time from the acknowledgement of a version that takes a key away until requests with the key
    /// are refused on all hosts, also on those that are cut off; 0 means no such limit.
    std::chrono::milliseconds revocation_bound{0};
    quota_options quota;
    repeat_budget_options retries;
    rollout_options rollouts;
    second_attempt_options second_attempts;
    peer_options peers;
    placement_options placement;
    /// No slow start: a cold upstream is slower but has all of its slots, and admission control
    /// measures its service time.
    admission_options admission{100, std::chrono::milliseconds(0)};
    decision_log_options log;
    /// The clock of rights that end, such as the use of keys without news from the platform.
    std::function<boot_clock::time_point()> boot_now = boot_clock::now;
};

/// The proxy on the host of one upstream; the platform stores the configuration.
///
/// It accepts the requests of the host's callers, forwards each to the node of an upstream, and is
/// the only path to the upstream on its own host. It runs on a single event loop.
class sidecar {
public:
    /// Opens all listeners, or returns the error of the first that fails. Keeps references to the
    /// loop, the driver and the metrics, which must outlive the sidecar.
    static absl::StatusOr<std::unique_ptr<sidecar>> start(event_loop& loop, platform& driver,
                                                          metrics& data, sidecar_settings settings,
                                                          sidecar_dialect dialect,
                                                          random_source random);

    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;
    ~sidecar();

    /// Returns whether a configuration is in force and no shutdown has begun.
    bool ready() const;

    /// Applies a heartbeat of the upstream on this host; the change is in force on return.
    void receive_heartbeat(const upstream_heartbeat& heartbeat);

    /// Stops sending requests to an incarnation of the upstream on this host, which announced that
    /// it exits; `started_at` is its start as a Unix time, 0 if unknown.
    void deregister_upstream(const std::string& instance, std::chrono::milliseconds started_at);

    /// Returns where a request would be sent now and why, without sending it or changing any state.
    explanation explain(const explain_question& question) const;

    /// Begins a graceful shutdown and calls `done` when no request is in flight, or soon after
    /// `shutdown_timeout`. Further calls have no effect.
    void shut_down(std::function<void()> done);

    /// Logs and counts a connection that a listener of the process closed.
    void report_cut(std::string_view listener, const connection_cut& cut);

    /// Returns the decision log.
    decision_log& log();

    /// Returns the address that accepts requests of callers.
    std::string caller_address() const;

    /// Returns the address that accepts requests of other nodes for the upstream on this host.
    std::string call_address() const;

    struct impl;
    explicit sidecar(std::shared_ptr<impl> state);

private:
    std::shared_ptr<impl> impl_;
};

} // namespace agatespread
