#pragma once

#include "inbound_impl.h"

#include <memory>
#include <optional>

namespace agatespread::detail {

/// A call received from a node, until its response has been sent.
///
/// All functions except `worker` must be called on the worker's thread.
class inbound_call : public std::enable_shared_from_this<inbound_call> {
public:
    inbound_call(std::shared_ptr<inbound::impl> owner, std::shared_ptr<http_exchange> exchange,
                 const worker_context& worker, call_metadata metadata);

    const worker_context& worker() const { return worker_; }

    /// Registers the call and passes it to the crash guard.
    void start();

    /// Requests a slot from admission control, after the crash guard has passed the call.
    void admit();

    /// Sends the request to the local upstream.
    void forward();

    /// Responds to a call that admission control refused.
    void on_refused(const admission_refusal& refusal);

    /// Responds to a waiting call whose request the crash guard has blocked.
    void on_blocked();

    /// Refuses the call if its deadline has passed while it waits for the crash guard.
    void expire();

private:
    enum class stage : std::uint8_t { pending, admitted, forwarded, done };

    void wait_or_refuse(const guard_decision& decision);
    void release_slot(const guard_decision& decision);
    http_call make_upstream_call(std::chrono::milliseconds time_left);
    void on_upstream_result(http_result result);
    void refuse(call_outcome outcome, std::string_view text, std::chrono::milliseconds retry_after);
    void respond(call_outcome outcome, http_response response);
    void leave_guard(call_end end);
    void apply_guard(const guard_actions& actions);
    void cancel();
    bool is_crash(const http_result& result) const;

    const std::shared_ptr<inbound::impl> owner_;
    const std::shared_ptr<http_exchange> exchange_;
    const worker_context& worker_;
    const call_metadata metadata_;
    const std::uint64_t id_;
    const time_point started_at_;
    const time_point deadline_;
    std::shared_ptr<const inbound::impl::upstream_address> upstream_;
    inbound_series& series_;
    request_identity identity_{0};
    stage stage_ = stage::pending;
    bool waiting_for_guard_ = false;
    std::optional<worker_context::call_id> upstream_call_;
    time_point forwarded_at_;
};

} // namespace agatespread::detail
