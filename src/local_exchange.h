#pragma once

#include <agatespread/http.h>

#include <functional>
#include <utility>

namespace agatespread::detail {

/// A request passed from the outbound to the inbound pipeline of the same node without a
/// connection.
///
/// No lock is needed, because the inbound pipeline responds on the worker's thread of the call.
class local_exchange final : public http_exchange {
public:
    local_exchange(http_request request, std::function<void(http_result)> done)
        : request_(std::move(request)), done_(std::move(done))
    {
    }

    const http_request& request() const override { return request_; }

    void respond(http_response response) override
    {
        if (done_) {
            http_result result;
            result.outcome = http_outcome::answered;
            result.sent = true;
            result.response = std::move(response);
            std::exchange(done_, nullptr)(std::move(result));
        }
    }

    void on_cancel(std::function<void()> call) override { on_cancel_ = std::move(call); }

    /// Notifies the inbound pipeline that the caller has cancelled the request.
    void cancel()
    {
        done_ = nullptr;
        if (on_cancel_) {
            std::exchange(on_cancel_, nullptr)();
        }
    }

private:
    http_request request_;
    std::function<void(http_result)> done_;
    std::function<void()> on_cancel_;
};

} // namespace agatespread::detail
