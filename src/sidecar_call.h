#pragma once

#include <agatespread/crash_guard.h>
#include <agatespread/http.h>
#include <agatespread/placement.h>
#include <agatespread/proxy.h>
#include <agatespread/upstream_lifecycle.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agatespread::detail {

/// Metadata of a request that the caller's node forwards to the node of an upstream.
struct forwarded_request_metadata {
    std::string caller_service;
    std::string service;
    std::string rule;
    std::string tenant;                ///< Empty for none.
    config_version tenant_version = 0; ///< By which the tenant was found.
    std::uint8_t priority = 5;
    bool suspect = false;                   ///< Was in flight when an upstream crashed.
    std::chrono::milliseconds time_left{0}; ///< Until the caller's deadline.
    std::optional<std::chrono::milliseconds>
        time_to_objective; ///< Until the rule's latency objective is missed; negative after that.
    bool nested = false;   ///< A call that an upstream makes during a run.
    /// What the upstream said in its last response to the caller's node.
    std::optional<upstream_announcement> announced;
};

/// Metadata of the response that an upstream's node returns.
struct forwarded_response_metadata {
    call_outcome outcome = call_outcome::failed;
    reported_load load;
    std::chrono::milliseconds retry_after{0};
    std::chrono::milliseconds held{0}; ///< From the arrival at the gate to the response.
    std::string reason;                ///< Reason of a refusal or failure, else empty.
    /// Part of `held` until a slot was free; nodes of earlier versions do not report it.
    std::optional<std::chrono::milliseconds> queued;
    /// Set if the upstream's response named a limit or its leaving.
    std::optional<upstream_announcement> announced;
};

/// The path at which a node takes offers of uploads, see `upload_grants`. Nodes of earlier versions
/// answer 404 there, and the upload is sent without a grant.
inline constexpr std::string_view upload_offer_path = "/agatespread/upload-offer";

/// The question of a caller's node whether it may send a large body.
struct upload_question {
    std::uint64_t id = 0; ///< Random; the request with the body carries it as well.
    std::size_t bytes = 0;
    std::chrono::milliseconds time_left{0}; ///< Until the body must have arrived; 0 for no limit.
};

/// Writes the question into the headers of an offer.
void write_upload_question(const upload_question& question, http_headers& headers);

/// Reads the question, or nothing when the header is missing or malformed.
std::optional<upload_question> read_upload_question(const http_headers& headers);

/// Writes the id of its grant into the headers of a request with a large body, and reads it; 0
/// without one.
void write_upload_grant(std::uint64_t id, http_headers& headers);
std::uint64_t read_upload_grant(const http_headers& headers);

/// Writes the metadata into the headers of a request.
void write_forwarded_request(const forwarded_request_metadata& metadata, http_headers& headers);

/// Reads the metadata, or nothing when the header is missing or malformed, such as in a request
/// that does not come from a node.
std::optional<forwarded_request_metadata> read_forwarded_request(const http_headers& headers);

/// Writes the metadata into the headers of a response.
void write_forwarded_response(const forwarded_response_metadata& metadata, http_headers& headers);

/// Reads the metadata, or nothing when the header is missing or malformed, such as in a response
/// that does not come from a node.
std::optional<forwarded_response_metadata> read_forwarded_response(const http_headers& headers);

/// Returns the identity of a caller's request, which depends neither on the caller's host nor on
/// the service that the route selects.
request_identity identity_of(const http_request& request);

/// Returns the name of an outcome, such as "not_run".
std::string_view name_of(call_outcome outcome);

} // namespace agatespread::detail
