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

/// The clock, generator and HTTP client of one data thread.
///
/// All functions but `post` are called on the lane's own thread. A lane outlives its calls.
struct data_lane {
    using call_id = std::uint64_t;

    std::function<time_point()> now;
    std::function<std::chrono::system_clock::time_point()> wall_clock;
    random_source random;
    std::function<call_id(http_call, std::function<void(http_result)>)> send;
    std::function<void(call_id)> cancel;
    std::function<void(std::function<void()>)> post; ///< Runs a function on the lane's thread.
};

/// What a call carries from node to node.
struct call_metadata {
    std::string call;                      ///< 32 hexadecimal digits, unique for each attempt.
    std::chrono::milliseconds deadline{0}; ///< Time left.
    std::string request_class;
    std::uint8_t priority = 5;
    std::string tenant;
    std::uint32_t depth = 0;
    std::uint32_t attempt = 1;
    bool on_retry_path = false;
    bool suspect = false; ///< The request was in flight at a crash.
};

/// How a call ended at the target's node.
enum class answer_outcome : std::uint8_t {
    answered,    ///< The upstream's own answer.
    not_run,     ///< Refused; no byte reached the upstream.
    draining,    ///< As `not_run`; the upstream leaves and takes no new work.
    unavailable, ///< As `not_run`; the upstream does not accept connections.
    blocked,     ///< As `not_run`; the crash guard refuses the request, here and elsewhere.
    crashed,     ///< The upstream crashed while it ran the request.
    failed,      ///< The upstream did not answer whole.
    timed_out,   ///< The upstream did not answer in time.
    rejected,    ///< As `not_run`, but the upstream itself refused the request.
};

/// What an answer carries from node to node.
struct answer_metadata {
    std::string call;
    int status = 0;
    answer_outcome outcome = answer_outcome::answered;
    std::optional<load_hint> load;
};

/// What an upstream copies from a call to its own calls.
struct call_context {
    time_point deadline;
    std::uint32_t depth = 0; ///< Of the upstream's own calls.
    bool on_retry_path = false;
};

/// Signs and checks what nodes tell each other in headers, so that neither a caller nor an
/// upstream can forge it.
///
/// The first key signs and all are accepted. Time stamps may differ by `max_skew`. The node id
/// separates the contexts of nodes, as each holds a time of its host's monotonic clock.
class mesh_signer {
public:
    mesh_signer(node_id node, std::vector<frame_key> keys,
                std::chrono::milliseconds max_skew = std::chrono::seconds(30));

    /// Writes the headers of a call.
    void write_call(const call_metadata& call, std::chrono::system_clock::time_point wall_clock,
                    http_request& request) const;

    /// Returns what a call carries, or nothing when it does not come from a node.
    std::optional<call_metadata> read_call(const http_request& request,
                                           std::chrono::system_clock::time_point wall_clock) const;

    /// Writes the headers of an answer.
    void write_answer(const answer_metadata& answer, http_response& response) const;

    /// Returns what the answer to a call carries, or nothing when it is another call's answer or
    /// does not come from a node's inbound listener.
    std::optional<answer_metadata> read_answer(std::string_view call,
                                               const http_response& response) const;

    /// Returns the value of the context header for the own upstream.
    std::string write_context(const call_context& context) const;

    /// Reads a context that this node wrote.
    std::optional<call_context> read_context(std::string_view value) const;

private:
    std::string sign(std::string_view purpose, std::string_view text) const;
    bool check(std::string_view purpose, std::string_view text, std::string_view signature) const;

    static std::string mac(const frame_key& key, std::string_view purpose, std::string_view text);

    const node_id node_;
    const std::vector<frame_key> keys_;
    const std::chrono::milliseconds max_skew_;
};

/// Removes hop-by-hop headers and all X-Agatespread-* headers but -Context.
void strip_headers(http_headers& headers);

/// Returns a final answer with Retry-After unless `retry_after` is 0.
http_response final_response(int status, std::string_view text, bool not_run,
                             std::chrono::milliseconds retry_after);

/// A request of a class `once` with an Idempotency-Key.
struct keyed_request {
    std::string tenant;
    std::string key;
    std::uint64_t fingerprint = 0;
    std::chrono::milliseconds left{0}; ///< Until the deadline.
};

/// How a claim ended.
enum class claim_state : std::uint8_t {
    granted,    ///< The request may run.
    recorded,   ///< It ran before; `answer` is its response.
    unknown,    ///< It was claimed before and its outcome is not known: 409.
    mismatched, ///< The key belongs to another request: 422.
    unavailable ///< The claim cannot be made: refused as not run.
};

/// The answer to a claim.
struct claim_reply {
    claim_state state = claim_state::unavailable;
    std::string token;                             ///< Identifies the claim when it is settled.
    time_point may_send_until = time_point::max(); ///< The end of the claim's lease.
    http_response answer;
};

/// How a claimed request ended.
enum class settled_state : std::uint8_t { completed, not_run, unknown };

/// The connections of the outbound pipeline to the other components.
struct outbound_hooks {
    std::function<std::shared_ptr<const snapshot>()> current;
    std::function<void(const keyed_request&, std::function<void(claim_reply)>)> claim;
    std::function<void(const keyed_request&, const std::string& token, settled_state,
                       const http_response&)>
        settle;
    /// Takes a call for the node's own inbound pipeline, without a connection.
    std::function<void(std::shared_ptr<http_exchange>, const data_lane&)> deliver_local;
};

/// The identity of the node for the outbound pipeline.
struct outbound_options {
    node_id node;
    std::string fleet; ///< The scope of service names.
    std::string failure_domain;
    retry_options retry;
    balancer_options balance;
};

/// Carries the calls that enter the mesh at this node; used by several threads.
///
///     outbound calls(options, hooks, signer, guard, upstreams, data);
///     calls.handle(exchange, lane);
class outbound {
public:
    /// Keeps references to the components, which outlive it.
    outbound(outbound_options options, outbound_hooks hooks, const mesh_signer& signer,
             crash_guard& guard, balancer& upstreams, metrics& data);
    outbound(const outbound&) = delete;
    outbound& operator=(const outbound&) = delete;
    ~outbound();

    /// Takes a request from a caller on the lane's thread and answers it.
    void handle(std::shared_ptr<http_exchange> exchange, const data_lane& lane);

    /// Returns the number of calls not yet answered, for a graceful shutdown.
    std::size_t in_flight() const;

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

/// The connections of the inbound pipeline to the other components.
struct inbound_hooks {
    /// Sends a crash report to the nodes that need it.
    std::function<void(const crash_report&)> report;
    /// Returns whether the end of a call means that the upstream crashed; when empty, a lost
    /// connection or a truncated answer does.
    std::function<bool(const http_result&)> is_crash;
};

/// Takes the calls of other nodes for the own upstream; used by several threads.
///
///     inbound calls(hooks, {}, signer, guard, data);
///     calls.set_upstream("http://127.0.0.1:8080", record, now);
///     calls.handle(exchange, lane);
class inbound {
public:
    /// Keeps references to the components, which outlive it.
    inbound(inbound_hooks hooks, const admission_options& options, const mesh_signer& signer,
            crash_guard& guard, metrics& data);
    inbound(const inbound&) = delete;
    inbound& operator=(const inbound&) = delete;
    ~inbound();

    /// Takes what the own upstream announced; `url` has no path.
    void set_upstream(std::string url, const upstream_record& record, time_point now);

    /// Takes a call on the lane's thread and answers it.
    void handle(std::shared_ptr<http_exchange> exchange, const data_lane& lane);

    /// Ends waits that became too long; to be called about every 10 ms.
    void tick(time_point now);

    /// Returns whether no call is queued or running, so that a draining node may stop.
    bool idle() const;

    /// Returns the load of the own upstream.
    admission_load load(time_point now) const;

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace agatespread
