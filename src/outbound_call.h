#pragma once

#include "outbound_impl.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespread::detail {

/// One call from a caller, from its first byte to its final answer.
///
/// All functions run on the lane's thread.
class outbound_call : public std::enable_shared_from_this<outbound_call> {
public:
    outbound_call(std::shared_ptr<outbound::impl> owner, std::shared_ptr<http_exchange> exchange,
                  const data_lane& lane);
    outbound_call(const outbound_call&) = delete;
    outbound_call& operator=(const outbound_call&) = delete;
    ~outbound_call();

    void start();

private:
    bool resolve();
    bool check_guard();
    void claim();
    void claimed(claim_reply result);
    void attempt();
    http_call prepare(std::chrono::milliseconds left);
    call_metadata describe(std::chrono::milliseconds left) const;
    void dispatch(http_call call);
    void attempt_ended(std::uint32_t attempt, http_result result);
    void answered(http_response response, const answer_metadata& answer);
    void crashed();
    void blocked(std::chrono::milliseconds retry_after);
    void clear_suspicion();
    void attempt_failed(attempt_failure failure, std::chrono::milliseconds retry_after);
    void end_attempt(attempt_outcome end, const std::optional<load_hint>& load);
    void count_denial(std::string_view reason);
    void refuse(int status, std::string_view text, std::chrono::milliseconds retry_after);
    void give_up(const retry_decision& decision);
    void count_result(counter& result);
    void respond(http_response response);
    void settle(settled_state state, const http_response& response);
    void cancel();
    std::chrono::milliseconds left() const;
    std::uint64_t fingerprint();
    std::string new_call_id() const;

    const std::shared_ptr<outbound::impl> owner_;
    const std::shared_ptr<http_exchange> exchange_;
    const data_lane& lane_;
    const time_point started_;
    time_point deadline_;
    call_context context_;
    std::shared_ptr<const snapshot> snapshot_; ///< The same from start to end.
    std::shared_ptr<const route> route_;
    outbound_series* series_ = nullptr;
    std::optional<std::uint64_t> fingerprint_;
    std::optional<keyed_request> claimed_;
    std::string claim_token_;
    time_point may_send_until_ = time_point::max();
    bool suspect_ = false;
    bool may_have_run_ = false;
    bool done_ = false;
    bool result_counted_ = false;

    std::uint32_t attempts_ = 0;
    std::vector<node_id> tried_;
    std::optional<upstream_choice> choice_; ///< Set while an attempt runs.
    std::string call_id_;
    time_point attempt_started_;
    std::function<void()> cancel_attempt_;
    std::optional<http_response> last_answer_; ///< An upstream's own 503, passed on at the end.
};

} // namespace agatespread::detail
