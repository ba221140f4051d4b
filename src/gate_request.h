#pragma once

#include "sidecar_impl.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agatespread::detail {

/// A request at the gate of the upstream on this host, from its arrival to its response.
///
/// The gate combines the crash guard and admission control. It is the only path to the upstream, so
/// a request that is refused here has not run.
class gate_request : public std::enable_shared_from_this<gate_request> {
public:
    using response_handler = std::function<void(const forwarded_response_metadata&, http_response)>;

    gate_request(std::shared_ptr<sidecar::impl> owner, std::uint64_t id,
                 forwarded_request_metadata metadata, http_request request,
                 response_handler handler);

    /// Requests a slot; the response handler may be called before this returns.
    void start();

    /// Ends the request without a response because its caller cancelled it; returns whether it may
    /// have run.
    bool cancel();

    /// Requests a slot after the crash guard passed the request.
    void admit();

    /// Responds that the crash guard refused the request.
    void block();

    /// Responds that admission control refused the request.
    void refuse(const admission_refusal& refusal);

    /// Sends the request to the upstream after it got a slot.
    void forward();

    /// Refuses the request if the crash guard still holds it shortly before its deadline.
    void expire(time_point now);

    /// Ends the request, if it is running, because its upstream was found to have ended.
    void end_with_upstream();

    /// Refuses the request at the shutdown timeout of the node unless it is already running.
    void stop();

private:
    enum class stage { held, queued, running, done };

    /// Returns whether a version that is newer than the one by which the caller's node identified
    /// the tenant has removed it.
    bool tenant_was_removed() const;
    void hold(const guard_decision& entry);
    bool accepts_head(const http_response& head) const;
    void on_upstream_result(http_result result);
    void on_upstream_response(http_result result);
    /// Keeps what the response says of the upstream, for the caller's node.
    void keep_announcement(const upstream_response_metadata& response);
    void on_upstream_lost(const http_result& result);
    void check_silence();
    void finish_lost_request(bool crashed, std::string_view cause, const std::string& error);

    /// Ends a call whose caller waits no longer; a silent upstream is probed first.
    void leave_unanswered(bool reached_deadline);

    void leave_guard(call_end end);
    void respond(call_outcome outcome, http_response response, std::string reason,
                 std::chrono::milliseconds retry_after);

    std::shared_ptr<sidecar::impl> owner_;
    const std::uint64_t id_;
    const forwarded_request_metadata metadata_;
    http_request request_;
    response_handler handler_;
    std::string request_id_;
    request_identity identity_{0};
    time_point arrived_;
    time_point forwarded_;
    time_point deadline_;
    std::string instance_;
    std::optional<upstream_announcement> announced_;
    stage stage_ = stage::held;
    http_client::call_id upstream_call_ = 0;
    subscription silence_timer_;
};

} // namespace agatespread::detail
