#include "operator_server.h"

#include <curl/curl.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

std::string percent_decode(const std::string& text)
{
    int size = 0;
    char* decoded = curl_easy_unescape(nullptr, text.c_str(), static_cast<int>(text.size()), &size);
    if (decoded == nullptr) {
        return text;
    }
    std::string result(decoded, static_cast<std::size_t>(size));
    curl_free(decoded);
    return result;
}

std::map<std::string, std::string> parse_query(std::string_view query)
{
    std::map<std::string, std::string> fields;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string field(query.substr(0, end));
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = std::min(field.find('='), field.size());
        const std::string value = equals < field.size() ? field.substr(equals + 1) : std::string();
        fields[percent_decode(field.substr(0, equals))] = percent_decode(value);
    }
    return fields;
}

int http_status_of(std::string_view reason)
{
    static const std::map<std::string_view, int> statuses = {
        {"conflict", 409},     {"refused", 422},   {"unavailable", 503}, {"outcome_unknown", 504},
        {"unauthorized", 401}, {"not_found", 404}, {"corrupt", 503},     {"overloaded", 503}};
    const auto found = statuses.find(reason);
    return found == statuses.end() ? 500 : found->second;
}

} // namespace

void respond_json(http_exchange& exchange, int status, const nlohmann::json& body)
{
    http_response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    exchange.respond(std::move(response));
}

void respond_error(http_exchange& exchange, int status, std::string_view reason,
                   std::string_view text)
{
    respond_json(exchange, status,
                 {{"error", {{"reason", std::string(reason)}, {"message", std::string(text)}}}});
}

void respond_status(http_exchange& exchange, const absl::Status& error)
{
    std::string reason = reason_of(error, "store");
    if (reason.empty() && !reason_of(error, "tree").empty()) {
        reason = "refused";
    }
    if (reason.empty()) {
        reason = error.code() == absl::StatusCode::kNotFound ? "not_found" : "refused";
    }
    respond_error(exchange, http_status_of(reason), reason,
                  std::string_view(error.message().data(), error.message().size()));
}

operator_server::operator_server(operator_context context)
    : context_(std::move(context)), authenticator_(context_.settings.operator_keys)
{
}

void operator_server::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const std::size_t path_end = std::min(request.target.find('?'), request.target.size());
    const std::string name = request.method + " " + request.target.substr(0, path_end);
    operator_call call;
    call.exchange = exchange;
    if (path_end < request.target.size()) {
        call.query = parse_query(std::string_view(request.target).substr(path_end + 1));
    }
    if (const std::function<signed_endpoint> endpoint =
            registry<signed_endpoint>::instance().find(name)) {
        handle_signed(call, endpoint);
        return;
    }
    if (const std::function<open_endpoint> endpoint =
            registry<open_endpoint>::instance().find(name)) {
        endpoint(context_, call);
        return;
    }
    respond_error(*exchange, 404, "not_found", "unknown endpoint " + name);
}

void operator_server::handle_signed(const operator_call& call,
                                    const std::function<signed_endpoint>& endpoint)
{
    const absl::StatusOr<operator_key> caller =
        authenticator_.check(call.exchange->request(), context_.wall_clock());
    if (!caller.ok()) {
        context_.metric_registry.counter_of("agatespread_operator_calls_unauthorized_total").add();
        respond_error(*call.exchange, 401, "unauthorized", std::string(caller.status().message()));
        return;
    }
    endpoint(context_, call, *caller);
}

} // namespace agatespread
