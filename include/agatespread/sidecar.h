#pragma once

#include <agatespread/admission.h>
#include <agatespread/base.h>
#include <agatespread/crash_guard.h>
#include <agatespread/decision_log.h>
#include <agatespread/event_loop.h>
#include <agatespread/http.h>
#include <agatespread/metrics.h>
#include <agatespread/peers.h>
#include <agatespread/placement.h>
#include <agatespread/platform.h>
#include <agatespread/repeat_budget.h>
#include <agatespread/routing.h>
#include <agatespread/row_watch.h>
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

/// What a request of a caller says of itself.
struct caller_context {
    std::string request_id;
    std::optional<std::chrono::milliseconds> time_left; ///< How long the caller waits.
};

/// What an upstream is told beside the request itself.
struct upstream_request_metadata {
    std::chrono::milliseconds time_left{0};
    std::string instance;       ///< The upstream that is meant.
    std::string caller_service; ///< Of the host where the request began.
};

/// What an upstream's response says of itself.
struct upstream_response_metadata {
    std::string request_id;      ///< Empty when it does not say.
    bool authentic = false;      ///< Carries the upstream's signature.
    bool not_run = false;        ///< The upstream refused the request.
    bool other_instance = false; ///< Another upstream has the address; the request did not run.
    bool encoded = false;        ///< The body is not the upstream's own.
};

/// How callers, upstreams and operators of the surrounding platform speak.
struct sidecar_dialect {
    std::function<absl::StatusOr<std::shared_ptr<const routing_table>>(std::string_view)>
        read_configuration;
    std::function<caller_context(const http_request&)> read_request;
    std::function<void(const upstream_request_metadata&, http_request&)> write_upstream_request;
    std::function<upstream_response_metadata(const http_response&)> read_upstream_response;
    /// Returns the instance that answers a health check, or nothing when it is not ready.
    std::function<std::optional<std::string>(const http_response&)> read_health;
    std::string configuration_prefix; ///< Of the operator's rows.
    std::string configuration_key;    ///< Of the newest configuration.
    std::string health_path = "/health";
};

/// The settings of a sidecar.
struct sidecar_settings {
    node_id node;
    std::string failure_domain;
    std::string service; ///< Of the upstream beside the node.
    std::string caller_address = "127.0.0.1:0";
    std::string call_address = "127.0.0.1:0";
    std::string report_address = "127.0.0.1:0";
    std::string upstream_address;
    std::string entries_prefix = "nodes/"; ///< Of the rows in which nodes publish themselves.
    std::size_t caller_connections = 2500; ///< Callers keep connections open between requests.
    std::size_t peer_connections = 1000;
    double link_bytes_per_second = 0; ///< Of the host; 0 for a link that never fills.
    std::uint32_t default_slots = 8;  ///< Until the first heartbeat of the upstream.
    std::chrono::milliseconds shutdown_timeout = std::chrono::milliseconds(5500);
    /// Time for which a stopping node still takes requests: the platform takes a host out of use
    /// after two failed readiness checks, one each second.
    std::chrono::milliseconds shutdown_delay = std::chrono::milliseconds(2300);
    repeat_budget_options retries;
    peer_options peers;
    placement_options placement;
    /// Without a ramp: a cold upstream is slower but has all of its slots, and the gate learns
    /// its service time.
    admission_options admission{100, std::chrono::milliseconds(0)};
    decision_log_options log;
};

/// The proxy beside one upstream on a platform that stores the configuration.
///
/// It takes the requests of the host's callers, sends each to the node beside an upstream, and is
/// the only way to its own upstream. All of it runs on one event loop.
class sidecar {
public:
    /// Opens all listeners. Keeps references to the loop, the driver and the metrics.
    static absl::StatusOr<std::unique_ptr<sidecar>> start(event_loop& loop, platform& driver,
                                                          metrics& data, sidecar_settings settings,
                                                          sidecar_dialect dialect,
                                                          random_source random);

    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;
    ~sidecar();

    /// Returns whether requests of callers can be served.
    bool ready() const;

    /// Takes a heartbeat of the own upstream; when it returns, the change is in force here.
    void receive_heartbeat(const upstream_heartbeat& heartbeat);

    /// Takes the last message of a life of the own upstream.
    void deregister_upstream(const std::string& instance, std::chrono::milliseconds start_time);

    /// Begins a graceful shutdown and calls `done` when no request is in flight.
    void shut_down(std::function<void()> done);

    /// Returns the log of the process.
    decision_log& log();

    /// Returns the address that takes requests of callers.
    std::string caller_address() const;

    /// Returns the address that takes requests for the own upstream.
    std::string call_address() const;

    struct impl;
    explicit sidecar(std::shared_ptr<impl> state);

private:
    std::shared_ptr<impl> impl_;
};

} // namespace agatespread
