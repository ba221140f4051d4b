#pragma once

#include <agatespread/http.h>

#include <string>
#include <string_view>

namespace agatespread::detail {

/// Compares two strings, ignoring the case of ASCII letters.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// Returns whether a text is a token of HTTP, as the names of fields and methods must be.
bool is_token(std::string_view text);

/// Returns whether a text is a valid field value; CR, LF and NUL would end the field early.
bool is_field_value(std::string_view text);

/// Returns whether the names and values of all fields are valid.
bool are_sendable(const http_headers& headers);

/// Why a request is rejected: the response's status and text; status 0 means not rejected.
struct request_rejection {
    int status = 0;
    std::string_view text;
};

/// Checks what the HTTP parser does not: length fields, field names and values, the Host field and
/// the total size of the header.
request_rejection check_request(const http_request& request, int http_minor,
                                const http_limits& limits);

/// The properties of a request that its response depends on.
struct request_info {
    bool is_head = false; ///< The request's method was HEAD.
    bool keep_alive = true;
    int http_minor = 1;
    bool from_loopback = false; ///< The request came from a process on this host.
};

/// Returns the status line and the header of a response.
///
/// Clears a body that must not be sent, and replaces an invalid response by one with status 500.
std::string response_head(http_response& response, const request_info& info);

/// Returns the response status for a line of RESTinio's log, or 0 if it reports no parser error.
int status_of_parser_error(std::string_view line);

/// Returns a plain-text response for an error that the server itself detected.
http_response error_response(int status, std::string_view text);

} // namespace agatespread::detail
