#pragma once

#include <agatespread/admission.h>
#include <agatespread/balancer.h>
#include <agatespread/base.h>
#include <agatespread/crash_guard.h>
#include <agatespread/http.h>
#include <agatespread/metrics.h>
#include <agatespread/retry.h>
#include <agatespread/snapshot.h>
#include <agatespread/wire.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// The clocks, random number generator and HTTP client of one data-plane worker thread.
///
/// All functions except `post` must be called on the worker's thread. A context outlives its calls.
struct worker_context {
    using call_id = std::uint64_t;

    std::function<time_point()> now;
    std::function<std::chrono::system_clock::time_point()> wall_clock;
    random_source random;
    std::function<call_id(http_call, std::function<void(http_result)>)> send;
    std::function<void(call_id)> cancel;
    /// Runs a function on the worker's thread; thread-safe.
    std::function<void(std::function<void()>)> post;
};

/// The metadata that a node sends with a call, in X-Agatespread-* request headers.
struct call_metadata {
    std::string call_id;                   ///< 32 hexadecimal digits, unique per attempt.
    std::chrono::milliseconds deadline{0}; ///< Time remaining when the attempt is sent.
    std::string request_class;
    std::uint8_t priority = 5; ///< 0 is the most urgent.
    std::string tenant;
    std::uint32_t depth = 0;    ///< Number of calls above this one in the call tree.
    std::uint32_t attempt = 1;  ///< 1 for the first attempt.
    bool on_retry_path = false; ///< This attempt or a call above it is a retry.
    bool suspect = false;       ///< The request was in flight when an upstream crashed.
};

/// The outcome of a call, as reported by the node of the target.
enum class call_outcome : std::uint8_t {
    answered,    ///< The response comes from the upstream.
    not_run,     ///< Refused before any byte reached the upstream.
    draining,    ///< As `not_run`; the upstream is draining and accepts no new calls.
    unavailable, ///< As `not_run`; the upstream does not accept connections.
    blocked,     ///< As `not_run`; the crash guard blocks the request on every node.
    crashed,     ///< The upstream crashed while the request was running.
    failed,      ///< The upstream sent no complete response.
    timed_out,   ///< The upstream did not respond before the deadline.
    rejected,    ///< As `not_run`, but the upstream itself refused the request.
};

/// The metadata that a node sends with a response, in X-Agatespread-* response headers.
struct response_metadata {
    std::string call_id;
    int status = 0;
    call_outcome outcome = call_outcome::answered;
    std::optional<load_hint> load;
};

/// The context that an upstream propagates from a received call to the calls it makes.
struct call_context {
    time_point deadline;
    std::uint32_t depth = 0; ///< Depth of the calls that the upstream makes.
    bool on_retry_path = false;
};

/// Signs and verifies the metadata headers that nodes exchange, so that neither a caller nor an
/// upstream can forge them.
///
/// The first key signs; signatures of all keys are accepted, which permits key rotation. Timestamps
/// may differ from the local clock by up to `max_skew`. A context is bound to the id of its node,
/// because it contains a time of that host's monotonic clock.
class mesh_signer {
public:
    mesh_signer(node_id node, std::vector<frame_key> keys,
                std::chrono::milliseconds max_skew = std::chrono::seconds(30));

    /// Adds the signed metadata headers to a request.
    void write_call(const call_metadata& call, std::chrono::system_clock::time_point wall_clock,
                    http_request& request) const;

    /// Returns the metadata of a request, or `nullopt` if a header is malformed, the signature is
    /// invalid or the timestamp differs by more than the permitted skew.
    std::optional<call_metadata> read_call(const http_request& request,
                                           std::chrono::system_clock::time_point wall_clock) const;

    /// Adds the signed metadata headers to a response.
    void write_response(const response_metadata& metadata, http_response& response) const;

    /// Returns the metadata of the response to a call, or `nullopt` if the response belongs to
    /// another call or was not signed by an inbound listener.
    std::optional<response_metadata> read_response(std::string_view call_id,
                                                   const http_response& response) const;

    /// Returns the value of the context header that is passed to the local upstream.
    std::string write_context(const call_context& context) const;

    /// Parses a context header; returns `nullopt` unless this node has signed it.
    std::optional<call_context> read_context(std::string_view value) const;

private:
    std::string sign(std::string_view purpose, std::string_view text) const;
    bool verify(std::string_view purpose, std::string_view text, std::string_view signature) const;

    static std::string mac(const frame_key& key, std::string_view purpose, std::string_view text);

    const node_id node_;
    const std::vector<frame_key> keys_;
    const std::chrono::milliseconds max_skew_;
};

/// Removes the hop-by-hop headers and all X-Agatespread-* headers except X-Agatespread-Context.
void strip_headers(http_headers& headers);

/// Returns a plain-text error response generated by the proxy itself.
///
/// `not_run` adds the header X-Agatespread-Not-Run. The header Retry-After is added unless
/// `retry_after` is 0.
http_response proxy_error_response(int status, std::string_view text, bool not_run,
                                   std::chrono::milliseconds retry_after);

/// A request with an Idempotency-Key whose class permits at most one execution (`once`).
struct keyed_request {
    std::string tenant;
    std::string key;
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds time_left{0}; ///< Until the deadline.
};

/// The result of claiming an idempotency key.
enum class claim_state : std::uint8_t {
    granted,    ///< The caller holds the claim and may send the request.
    recorded,   ///< The request has run; `claim_reply::response` is the recorded response.
    unknown,    ///< The key was claimed before and the outcome is not known; answered with 409.
    mismatched, ///< The key was used for a different request; answered with 422.
    unavailable ///< The claim cannot be made; the call is refused as not run.
};

/// The reply to a claim.
struct claim_reply {
    claim_state state = claim_state::unavailable;
    std::string token;                             ///< Passed to `settle`.
    time_point may_send_until = time_point::max(); ///< Expiry of the claim's lease.
    http_response response;
};

/// The outcome of a claimed request.
enum class settled_state : std::uint8_t {
    completed, ///< The response is recorded.
    not_run,   ///< The key is released and may be claimed again.
    unknown    ///< The key stays claimed, because the request may have run.
};

/// The callbacks of the outbound pipeline into other components.
struct outbound_hooks {
    /// Returns the configuration snapshot in force, or null before the first one.
    std::function<std::shared_ptr<const snapshot>()> current_snapshot;
    /// Claims an idempotency key and calls back once, on any thread.
    std::function<void(const keyed_request&, std::function<void(claim_reply)>)> claim;
    /// Ends a granted claim: records the response, releases the key or keeps it claimed.
    std::function<void(const keyed_request&, const std::string& token, settled_state,
                       const http_response&)>
        settle;
    /// Passes a call to the inbound pipeline of the same node without a network connection.
    std::function<void(std::shared_ptr<http_exchange>, const worker_context&)> deliver_local;
};

/// The node's identity and the options of the outbound pipeline.
struct outbound_options {
    node_id node;
    std::string fleet; ///< Scope in which service names are resolved.
    std::string failure_domain;
    retry_options retry;
    balancer_options balance;
};

/// Routes the calls that enter the mesh at this node to upstreams; thread-safe.
///
///     outbound calls(options, hooks, signer, guard, upstreams, metric_registry);
///     calls.handle(exchange, worker);
class outbound {
public:
    /// Keeps references to the components, which must outlive it.
    outbound(outbound_options options, outbound_hooks hooks, const mesh_signer& signer,
             crash_guard& guard, balancer& upstreams, metrics& metric_registry);
    outbound(const outbound&) = delete;
    outbound& operator=(const outbound&) = delete;
    ~outbound();

    /// Handles a request from a caller; to be called on the worker's thread.
    void handle(std::shared_ptr<http_exchange> exchange, const worker_context& worker);

    /// Returns the number of unfinished calls, so that a graceful shutdown can wait for them.
    std::size_t in_flight() const;

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

/// The callbacks of the inbound pipeline into other components.
struct inbound_hooks {
    /// Sends a crash report to the other nodes.
    std::function<void(const crash_report&)> report;
    /// Returns whether a result indicates that the upstream crashed; if empty, a lost connection
    /// or a truncated response does.
    std::function<bool(const http_result&)> is_crash;
};

/// Admits calls from the mesh and forwards them to the local upstream; thread-safe.
///
///     inbound calls(hooks, {}, signer, guard, metric_registry);
///     calls.set_upstream("http://127.0.0.1:8080", record, now);
///     calls.handle(exchange, worker);
class inbound {
public:
    /// Keeps references to the components, which must outlive it.
    inbound(inbound_hooks hooks, const admission_options& options, const mesh_signer& signer,
            crash_guard& guard, metrics& metric_registry);
    inbound(const inbound&) = delete;
    inbound& operator=(const inbound&) = delete;
    ~inbound();

    /// Updates the local upstream from its announcement; `url` has no path.
    void set_upstream(std::string url, const upstream_record& record, time_point now);

    /// Handles a call from a node; to be called on the worker's thread.
    void handle(std::shared_ptr<http_exchange> exchange, const worker_context& worker);

    /// Refuses calls whose deadline passed while they waited; to be called about every 10 ms.
    void tick(time_point now);

    /// Returns whether no call is queued or running, so that a draining node may stop.
    bool idle() const;

    /// Returns the load of the local upstream.
    admission_load load(time_point now) const;

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace agatespread
