#pragma once

#include "inbound_impl.h"

#include <memory>
#include <optional>

namespace agatespread::detail {

/// One call of a node for the own upstream, until its answer.
///
/// All functions but `lane` run on the lane's thread.
class inbound_call : public std::enable_shared_from_this<inbound_call> {
public:
    inbound_call(std::shared_ptr<inbound::impl> owner, std::shared_ptr<http_exchange> exchange,
                 const data_lane& lane, call_metadata call);

    const data_lane& lane() const { return lane_; }

    /// Asks the crash guard.
    void start();

    /// Asks for a slot, once the crash guard let the call pass.
    void admit();

    /// Sends the request to the own upstream.
    void forward();

    /// Answers that the call is refused.
    void refused(const admission_refusal& refusal);
    void blocked();

    /// Ends a wait for the crash guard that became too long.
    void expire();

private:
    enum class stage : std::uint8_t { held, admitted, forwarded, done };

    void hold(const guard_decision& entry);
    void give_back(const guard_decision& entry);
    http_call prepare(std::chrono::milliseconds left);
    void upstream_ended(http_result result);
    void refuse(answer_outcome outcome, std::string_view text,
                std::chrono::milliseconds retry_after);
    void respond(answer_outcome outcome, http_response response);
    void leave(bool completed, bool crashed);
    void cancel();
    bool is_crash(const http_result& result) const;

    const std::shared_ptr<inbound::impl> owner_;
    const std::shared_ptr<http_exchange> exchange_;
    const data_lane& lane_;
    const call_metadata call_;
    const std::uint64_t id_;
    const time_point started_;
    const time_point deadline_;
    std::shared_ptr<const inbound::impl::upstream_address> upstream_;
    inbound_series& series_;
    std::uint64_t fingerprint_ = 0;
    stage stage_ = stage::held;
    bool waits_ = false;
    std::optional<data_lane::call_id> sent_;
    time_point forwarded_;
};

} // namespace agatespread::detail
