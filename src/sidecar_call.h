#pragma once

#include <agatespread/http.h>
#include <agatespread/placement.h>
#include <agatespread/proxy.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agatespread::detail {

/// What a request carries from the node of its caller to the node of its upstream.
struct forwarded_call {
    std::string caller_service;
    std::string service;
    std::string rule;
    std::uint8_t priority = 5;
    bool suspect = false;                            ///< Was in flight at a crash.
    std::chrono::milliseconds left{0};               ///< Until the caller needs a final answer.
    std::optional<std::chrono::milliseconds> target; ///< Until the answer loses its value.
};

/// What an answer carries back.
struct forwarded_answer {
    call_outcome outcome = call_outcome::failed;
    reported_load load;
    std::chrono::milliseconds retry_after{0};
    std::chrono::milliseconds held{0}; ///< From the arrival at the gate to the answer.
    std::string reason;                ///< Of a refusal or failure.
};

/// Writes a call into the request's headers.
void write_call(const forwarded_call& call, http_headers& headers);

/// Reads a call, or nothing when the request does not come from a node.
std::optional<forwarded_call> read_call(const http_headers& headers);

/// Writes an answer into the response's headers.
void write_answer(const forwarded_answer& answer, http_headers& headers);

/// Reads an answer, or nothing when the response does not come from a node.
std::optional<forwarded_answer> read_answer(const http_headers& headers);

/// Returns the name of an outcome, such as "not_run".
std::string_view name_of(call_outcome outcome);

} // namespace agatespread::detail
