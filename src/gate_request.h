#pragma once

#include "sidecar_impl.h"

#include <functional>
#include <memory>
#include <string>

namespace agatespread::detail {

/// A request at the gate of the own upstream, from its arrival to its answer.
///
/// The gate is the only way to the upstream: a request that is refused here has not run.
class gate_request : public std::enable_shared_from_this<gate_request> {
public:
    using response_handler = std::function<void(const forwarded_response_metadata&, http_response)>;

    gate_request(std::shared_ptr<sidecar::impl> owner, std::uint64_t id,
                 forwarded_request_metadata metadata, http_request request,
                 response_handler handler);

    /// Asks for a slot; the answer may come before this returns.
    void start();

    /// Ends the request because its caller went away; returns whether it may have run.
    bool cancel();

    /// The crash guard lets the request ask for a slot.
    void admit();

    /// The crash guard refuses the request.
    void block();

    /// The gate refuses the request.
    void refuse(const admission_refusal& refusal);

    /// The gate gives the request a slot.
    void forward();

    /// Refuses the request if it waits for the crash guard past its deadline.
    void expire(time_point now);

    /// Refuses the request at the stop deadline of the node unless it runs already.
    void stop();

private:
    enum class stage { held, queued, running, done };

    void hold(const guard_entry& entry);
    bool accepts_head(const http_response& head) const;
    void on_upstream_result(http_result result);
    void on_upstream_response(http_result result);
    void on_upstream_lost(const http_result& result);
    void finish_lost_request(bool crashed, const std::string& error);
    void release(bool completed, bool crashed);
    void respond(answer_outcome outcome, http_response response, std::string reason,
                 std::chrono::milliseconds retry_after);

    std::shared_ptr<sidecar::impl> owner_;
    const std::uint64_t id_;
    const forwarded_request_metadata metadata_;
    http_request request_;
    response_handler handler_;
    std::string request_id_;
    std::uint64_t fingerprint_ = 0;
    time_point arrived_;
    time_point forwarded_;
    time_point deadline_;
    std::string instance_;
    stage stage_ = stage::held;
    http_client::call_id upstream_call_ = 0;
};

} // namespace agatespread::detail
