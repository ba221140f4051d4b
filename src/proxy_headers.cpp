#include "proxy_headers.h"

#include <agatespread/proxy.h>

#include <algorithm>
#include <array>
#include <utility>

namespace agatespread {

namespace {

// Includes Content-Length, because the sender of each message computes it from the body.
constexpr std::array<std::string_view, 10> hop_by_hop = {"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Authenticate",
                                                         "Proxy-Authorization",
                                                         "Proxy-Connection",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Content-Length"};

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Removes the headers that are listed in Connection headers.
void remove_connection_options(http_headers& headers)
{
    std::vector<std::string> connection_options;
    for (const http_headers::field& field : headers.fields()) {
        http_headers single;
        single.add(field.first, field.second);
        std::string_view rest = single.get("Connection");
        while (!rest.empty()) {
            connection_options.emplace_back(trim(detail::take_token(rest, ',')));
        }
    }
    for (const std::string& name : connection_options) {
        headers.remove(name);
    }
}

} // namespace

void strip_headers(http_headers& headers)
{
    if (headers.contains("Connection")) {
        remove_connection_options(headers);
    }
    for (const std::string_view name : hop_by_hop) {
        headers.remove(name);
    }
    headers.remove("Expect");
    const std::string context(headers.get(detail::context_header));
    headers.remove_prefix(detail::mesh_prefix);
    if (!context.empty()) {
        headers.add(detail::context_header, context);
    }
}

http_response proxy_error_response(int status, std::string_view text, bool not_run,
                                   std::chrono::milliseconds retry_after)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain; charset=utf-8");
    if (not_run) {
        response.headers.add(detail::not_run_header, "1");
    }
    if (retry_after.count() > 0) {
        // Retry-After has a resolution of 1 s; round up so that clients do not retry too early.
        response.headers.add("Retry-After", std::to_string((retry_after.count() + 999) / 1000));
    }
    response.body = std::string(text) + "\n";
    return response;
}

} // namespace agatespread
