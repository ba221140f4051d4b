#include "http_message.h"

#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <iterator>

namespace agatespread::detail {

namespace {

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool is_digit(char letter)
{
    return letter >= '0' && letter <= '9';
}

// The server sets these fields itself, because they describe one connection or one message.
bool is_set_by_server(std::string_view name)
{
    return equal_ignoring_case(name, "Content-Length") ||
           equal_ignoring_case(name, "Transfer-Encoding") ||
           equal_ignoring_case(name, "Connection") || equal_ignoring_case(name, "Keep-Alive");
}

request_rejection check_lengths(const http_headers& headers)
{
    int lengths = 0;
    int encodings = 0;
    for (const http_headers::field& entry : headers.fields()) {
        if (equal_ignoring_case(entry.first, "Content-Length")) {
            ++lengths;
            if (entry.second.empty() ||
                !std::all_of(entry.second.begin(), entry.second.end(), is_digit)) {
                return {400, "Content-Length is not a number"};
            }
        }
        if (equal_ignoring_case(entry.first, "Transfer-Encoding")) {
            ++encodings;
            if (!equal_ignoring_case(entry.second, "chunked")) {
                return {400, "Transfer-Encoding is not \"chunked\""};
            }
        }
    }
    return lengths + encodings > 1 ? request_rejection{400, "conflicting lengths"}
                                   : request_rejection{};
}

} // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char one, char other) { return lower(one) == lower(other); });
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
        return is_digit(letter) || (lower(letter) >= 'a' && lower(letter) <= 'z') ||
               std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) {
        const unsigned char byte = static_cast<unsigned char>(letter);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

bool are_sendable(const http_headers& headers)
{
    return std::all_of(headers.fields().begin(), headers.fields().end(),
                       [](const http_headers::field& entry) {
                           return is_token(entry.first) && is_field_value(entry.second);
                       });
}

request_rejection check_request(const http_request& request, int http_minor,
                                const http_limits& limits)
{
    std::size_t bytes = request.target.size();
    std::size_t hosts = 0;
    for (const http_headers::field& entry : request.headers.fields()) {
        bytes += entry.first.size() + entry.second.size();
        hosts += equal_ignoring_case(entry.first, "Host") ? 1U : 0U;
    }
    if (bytes > limits.header_bytes) {
        return {431, "the header fields are too large"};
    }
    if (!are_sendable(request.headers)) {
        return {400, "a header field has a malformed name or value"};
    }
    if (hosts > 1 || (hosts == 0 && http_minor > 0)) {
        return {400, "exactly one Host field is needed"};
    }
    return check_lengths(request.headers);
}

std::string response_head(http_response& response, const request_info& info)
{
    if (response.status < 200 || response.status > 999 || !are_sendable(response.headers)) {
        response = error_response(500, "the response cannot be sent");
    }
    const bool without_body = info.is_head || response.status == 204 || response.status == 304;
    std::string head;
    head.reserve(256);
    fmt::format_to(std::back_inserter(head), "HTTP/1.1 {} {}\r\n", response.status,
                   http_status_str(static_cast<enum http_status>(response.status)));
    for (const http_headers::field& entry : response.headers.fields()) {
        if (!is_set_by_server(entry.first)) {
            head.append(entry.first).append(": ").append(entry.second).append("\r\n");
        }
    }
    const std::string_view declared_length = response.headers.get("Content-Length");
    if (without_body && response.body.empty() && !declared_length.empty() &&
        response.status != 204) {
        // A HEAD or 304 response may declare the length of the body that a GET would return.
        head.append("Content-Length: ").append(declared_length).append("\r\n");
    }
    else if (response.status != 204 && response.status != 304) {
        fmt::format_to(std::back_inserter(head), "Content-Length: {}\r\n", response.body.size());
    }
    if (!info.keep_alive) {
        head.append("Connection: close\r\n");
    }
    else if (info.http_minor == 0) {
        head.append("Connection: keep-alive\r\n");
    }
    head.append("\r\n");
    if (without_body) {
        response.body.clear();
    }
    return head;
}

int status_of_parser_error(std::string_view line)
{
    const auto contains = [line](std::string_view part) {
        return line.find(part) != std::string_view::npos;
    };
    if (!contains("parser error HPE_")) {
        return 0;
    }
    if (contains("HPE_CB_headers_complete") || contains("HPE_CB_body")) {
        return 413;
    }
    const bool large =
        contains("HPE_CB_url") || contains("HPE_CB_header_") || contains("HPE_HEADER_OVERFLOW");
    return large ? 431 : 400;
}

http_response error_response(int status, std::string_view text)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain");
    response.body = fmt::format("{}\n", text);
    return response;
}

} // namespace agatespread::detail
