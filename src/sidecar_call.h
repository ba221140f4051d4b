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
struct forwarded_request_metadata {
    std::string caller_service;
    std::string service;
    std::string rule;
    std::uint8_t priority = 5;
    bool suspect = false;                   ///< Was in flight at a crash.
    std::chrono::milliseconds time_left{0}; ///< Until the caller needs a final answer.
    std::optional<std::chrono::milliseconds>
        time_to_objective; ///< Until the answer loses its value.
};

/// What an answer carries back.
struct forwarded_response_metadata {
    answer_outcome outcome = answer_outcome::failed;
    reported_load load;
    std::chrono::milliseconds retry_after{0};
    std::chrono::milliseconds held{0}; ///< From the arrival at the gate to the answer.
    std::string reason;                ///< Of a refusal or failure.
};

/// Writes a call into the request's headers.
void write_forwarded_request(const forwarded_request_metadata& metadata, http_headers& headers);

/// Reads a call, or nothing when the request does not come from a node.
std::optional<forwarded_request_metadata> read_forwarded_request(const http_headers& headers);

/// Writes an answer into the response's headers.
void write_forwarded_response(const forwarded_response_metadata& metadata, http_headers& headers);

/// Reads an answer, or nothing when the response does not come from a node.
std::optional<forwarded_response_metadata> read_forwarded_response(const http_headers& headers);

/// Returns the name of an outcome, such as "not_run".
std::string_view name_of(answer_outcome outcome);

} // namespace agatespread::detail
