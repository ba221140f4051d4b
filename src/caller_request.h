#pragma once

#include "attempts_in_flight.h"
#include "sidecar_impl.h"

#include <agatespread/request_stages.h>

#include <memory>
#include <string>
#include <vector>

namespace agatespread::detail {

/// A request of a caller on this host, from its arrival to its final response.
class caller_request : public std::enable_shared_from_this<caller_request> {
public:
    caller_request(std::shared_ptr<sidecar::impl> owner, std::shared_ptr<http_exchange> exchange);
    caller_request(const caller_request&) = delete;
    caller_request& operator=(const caller_request&) = delete;
    ~caller_request();

    /// Finds the rule of the request and sends it to an upstream, or refuses it.
    void start();

    /// Looks for the rule again after a version came into force, unless the request has ended.
    void resume();

    /// Continues a request that waited for a token of its tenant, or refuses it.
    void continue_with(const quota_outcome& outcome);

    /// Ends the request because the shutdown timeout of the node has passed.
    void stop();

    /// Returns where a request would be sent now and why. Nothing is sent, counted or drawn.
    static explanation explain(const std::shared_ptr<sidecar::impl>& owner,
                               const explain_question& question);

private:
    /// A node to which the request can be sent; `address` is empty for this node.
    struct destination {
        node_id node;
        std::string address;
        std::string version;
        bool limited = false; ///< Its version is not judged.
        bool usable = true;   ///< Its version may get this attempt.
        placement_candidate load;
    };

    /// Starts to handle the request with the version in force.
    void proceed();
    bool resolve();
    /// Waits for a newer version that the node knows of; returns false if it knows of none.
    bool wait_for_version();
    void refuse_unrouted();
    /// Finds the tenant of the request's key; refuses the request without one.
    bool identify_tenant();
    void refuse_unknown_key();
    /// Takes a token of the tenant's quota; returns false if the request waits for one.
    bool take_quota();
    /// Returns the token of a request that has not run.
    void return_quota();
    bool check_crash_guard();
    std::vector<destination> destinations() const;
    static std::vector<std::string_view> versions_of(const std::vector<destination>& all);
    /// Removes the destinations whose version must not get this attempt, and those tried before.
    void keep_usable(std::vector<destination>& all) const;
    /// Keeps the free upstreams of a version on trial for a first attempt that may go there, as
    /// placement alone would give it too few requests to be judged; and the others for a repeat.
    void prefer_for_rollout(std::vector<destination>& all, std::string_view doubtful) const;
    static std::vector<placement_candidate> loads_of(const std::vector<destination>& candidates);
    placement_request placement_properties() const;
    void attempt();
    void send(const destination& to, bool second = false);
    /// Asks a second upstream after the delay, unless the attempt has ended by then.
    void schedule_second_attempt(std::uint32_t attempt);
    void on_slow_attempt(std::uint32_t attempt);
    /// Returns why no second upstream is asked; `others` are those that were not asked yet.
    std::optional<second_refusal> refuse_second(const std::vector<placement_candidate>& others,
                                                std::uint32_t attempts,
                                                std::chrono::nanoseconds time_left) const;
    /// Removes an attempt that has a result; returns false if it was cancelled before.
    bool end_attempt(std::uint32_t attempt);
    void record_attempt_time(const forwarded_response_metadata& metadata,
                             const http_response& response);
    /// Keeps what an attempt has shown while the other one is awaited.
    void await_other(const node_id& node, const forwarded_response_metadata& metadata,
                     http_response response);
    void count_second(std::string_view result);
    /// Returns the caller's request without what must not be passed on, such as its key.
    http_request outgoing_request() const;
    void send_local(std::uint32_t attempt, forwarded_request_metadata metadata);
    void send_to_peer(std::uint32_t attempt, const destination& to,
                      forwarded_request_metadata metadata, std::uint64_t grant = 0);
    /// Returns whether the receiving node is to be asked before the body is sent to it.
    bool asks_before_sending() const;
    void offer_upload(std::uint32_t attempt, const destination& to,
                      forwarded_request_metadata metadata);
    void on_offer_answered(std::uint32_t attempt, const destination& to,
                           forwarded_request_metadata metadata, std::uint64_t grant,
                           http_result result);
    void on_peer_result(const node_id& node, http_result result);
    /// Counts a request to another failure domain and why it was sent there.
    void count_remote_request(const std::vector<destination>& candidates,
                              const destination& chosen) const;
    void on_attempt_ended(const node_id& node, const forwarded_response_metadata& metadata,
                          http_response response);
    bool take_retry(repeat_reason reason);
    void after_refusal(const forwarded_response_metadata& metadata);
    void after_failure(const forwarded_response_metadata& metadata, int status);
    void refuse(std::string_view reason, std::chrono::milliseconds retry_after, int status = 503);
    void fail(int status, std::string_view reason);
    void deliver(http_response response);
    void on_timeout();
    void end_early(std::string_view reason, std::chrono::milliseconds retry_after);
    void cancel();
    void finish();
    /// Returns the size of the body of an upload, or 0 for other requests.
    double upload_bytes() const;
    void set_deadlines(std::chrono::milliseconds caller_wait, std::chrono::milliseconds age);
    std::optional<std::string_view> explain_rule(const explain_question& question,
                                                 const random_source& random, explanation& result);
    void explain_placement(const random_source& random, explanation& result) const;
    std::chrono::milliseconds time_left() const;
    std::chrono::milliseconds time_to_objective() const;

    std::shared_ptr<sidecar::impl> owner_;
    std::shared_ptr<http_exchange> exchange_;
    caller_context context_;
    std::shared_ptr<const route_rule> rule_;
    std::shared_ptr<const tenant_entry> tenant_; ///< Null for none.
    std::optional<quota_token> token_;           ///< Of the tenant's quota; returned at most once.
    config_version version_ = 0;
    std::string service_;
    rule_series* series_ = nullptr;
    time_point deadline_;
    time_point objective_time_;
    subscription timer_;
    std::vector<node_id> tried_;
    std::uint32_t arrivals_ = 0; ///< Attempts that reached an upstream or may have.
    std::uint32_t refusals_ = 0; ///< Gates that refused the request.
    std::string last_refusal_;   ///< Reason of the last refusal by a gate.
    std::optional<http_response>
        failure_; ///< Error response of an upstream, kept during the retry.
    bool may_have_run_ = false;
    bool suspect_ = false;
    bool nested_ = false; ///< A call that an upstream makes during a run.
    bool waiting_for_version_ = false;
    bool done_ = false;
    attempts_in_flight in_flight_;
    attempts_in_flight::attempt ended_; ///< The attempt that ended last.
    attempt_times times_;
    subscription second_timer_;
    bool overdue_ = false;     ///< The delay of the latest first attempt has passed.
    bool second_sent_ = false; ///< A request has at most one second attempt.
    bool second_counted_ = false;
};

} // namespace agatespread::detail
