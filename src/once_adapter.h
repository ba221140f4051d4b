#pragma once

#include <agatespread/event_loop.h>
#include <agatespread/metrics.h>
#include <agatespread/once.h>
#include <agatespread/platform.h>
#include <agatespread/proxy.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agatespread {

/// Serializes a response for the platform's table.
std::string encode_recorded(const http_response& response);

/// Parses a recorded response; malformed bytes result in a 502 response.
http_response decode_recorded(const std::string& bytes);

/// Connects request processing on the data threads to the claims on the control thread.
class once_adapter {
public:
    once_adapter(event_loop& control, metrics& data);

    /// Enables claims on a driver; before that, every claim is refused as not run.
    void open(platform& driver, random_source random);

    /// Returns the hooks for the outbound pipeline, which may be called on any thread.
    decltype(outbound_hooks::claim) claim_hook();
    decltype(outbound_hooks::settle) settle_hook();

private:
    void claim(const keyed_request& request, const std::function<void(claim_reply)>& done);
    void settle(const std::string& token, settled_state state, const http_response& response);
    claim_reply to_reply(const claim_result& result, time_point requested_at);

    event_loop& control_;
    metrics& data_;
    once_options options_;
    std::unique_ptr<once_claims> claims_;
    std::map<std::string, claim_ticket> tickets_; ///< Of granted claims, by token.
};

} // namespace agatespread
