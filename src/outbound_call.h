#pragma once

#include "outbound_impl.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespread::detail {

/// A call from a local caller, with all its attempts, until its final response.
///
/// All functions must be called on the worker's thread.
class outbound_call : public std::enable_shared_from_this<outbound_call> {
public:
    outbound_call(std::shared_ptr<outbound::impl> owner, std::shared_ptr<http_exchange> exchange,
                  const worker_context& worker);
    outbound_call(const outbound_call&) = delete;
    outbound_call& operator=(const outbound_call&) = delete;
    ~outbound_call();

    void start();

private:
    bool resolve();
    bool check_guard();
    void claim();
    void on_claimed(claim_reply result);
    void attempt();
    http_call make_attempt_call(std::chrono::milliseconds time_left);
    call_metadata make_metadata(std::chrono::milliseconds time_left) const;
    void send_attempt(http_call call);
    void on_attempt_ended(std::uint32_t attempt, http_result result);
    void on_response(http_response response, const response_metadata& metadata);
    void on_crash();
    void on_blocked(std::chrono::milliseconds retry_after);
    void clear_suspicion();
    void on_attempt_failed(attempt_failure failure, std::chrono::milliseconds retry_after);
    void end_attempt(attempt_outcome outcome, const std::optional<load_hint>& load);
    void count_denial(std::string_view reason);
    void refuse(int status, std::string_view text, std::chrono::milliseconds retry_after);
    void give_up(const retry_decision& decision);
    void count_result(counter& result);
    void respond(http_response response);
    void settle(settled_state state, const http_response& response);
    void cancel();
    std::chrono::milliseconds time_left() const;
    const request_identity& identity();
    std::string new_call_id() const;

    const std::shared_ptr<outbound::impl> owner_;
    const std::shared_ptr<http_exchange> exchange_;
    const worker_context& worker_;
    const time_point started_at_;
    time_point deadline_;
    call_context context_;
    std::shared_ptr<const snapshot> snapshot_; ///< Fixed for all attempts of the call.
    std::shared_ptr<const route> route_;
    outbound_series* series_ = nullptr;
    std::optional<request_identity> identity_;
    std::optional<keyed_request> claimed_request_;
    std::string claim_token_;
    time_point may_send_until_ = time_point::max();
    bool suspect_ = false;
    bool may_have_run_ = false;
    bool done_ = false;
    bool result_counted_ = false;

    std::uint32_t attempts_ = 0;
    std::vector<node_id> tried_;
    std::optional<upstream_choice> chosen_upstream_; ///< Set while an attempt is in flight.
    std::string call_id_;
    time_point attempt_started_;
    std::function<void()> cancel_attempt_;
    /// The latest 503 sent by an upstream itself; returned if no retry succeeds.
    std::optional<http_response> overload_response_;
};

} // namespace agatespread::detail
