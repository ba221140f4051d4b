#include "platform_codec.h"

#include <agatespread/platform_server.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <map>
#include <utility>

namespace agatespread {

namespace {

using json = nlohmann::json;
using exchange_ptr = std::shared_ptr<http_exchange>;

// The most writes for which one field of a request to `/v1/faults` may inject an outcome.
constexpr std::uint64_t max_injected_outcomes = 100000;

void respond(const exchange_ptr& exchange, int status, std::string_view type, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.set("Content-Type", std::string(type));
    response.body = std::move(body);
    exchange->respond(std::move(response));
}

void respond_error(const exchange_ptr& exchange, const absl::Status& status)
{
    const std::string reason = reason_of(status, "platform");
    // A lost response becomes 504, the status of a gateway that gets no response from the platform.
    static const std::map<std::string, int> codes = {
        {"unavailable", 503}, {"overloaded", 429}, {"not_found", 404}, {"malformed", 400}};
    const auto code = codes.find(reason);
    respond(exchange, code == codes.end() ? 504 : code->second, detail::cbor_type,
            detail::encode(detail::error_body{reason, std::string(status.message())}));
}

void respond_malformed(const exchange_ptr& exchange)
{
    respond_error(exchange, layer_error(absl::StatusCode::kInvalidArgument, "platform", "malformed",
                                        "the request body is malformed"));
}

// Returns a callback that responds with the encoded result of a driver call.
template <typename Result, typename Encode>
platform::callback<Result> respond_with(const exchange_ptr& exchange, Encode encode)
{
    return [exchange, encode](const absl::StatusOr<Result>& result) {
        if (result.ok()) {
            respond(exchange, 200, detail::cbor_type, encode(*result));
        }
        else {
            respond_error(exchange, result.status());
        }
    };
}

void serve_transaction(memory_platform& driver, const exchange_ptr& exchange)
{
    std::optional<transaction> request = detail::decode_transaction(exchange->request().body);
    if (!request) {
        respond_malformed(exchange);
        return;
    }
    driver.commit(*std::move(request),
                  respond_with<transaction_result>(exchange, [](const transaction_result& result) {
                      return detail::encode(result);
                  }));
}

void serve_read(memory_platform& driver, const exchange_ptr& exchange)
{
    const std::optional<std::optional<std::string>> key =
        detail::decode_bytes(exchange->request().body);
    if (!key || !key->has_value()) {
        respond_malformed(exchange);
        return;
    }
    driver.read(**key, respond_with<std::optional<std::string>>(exchange, detail::encode_bytes));
}

void serve_scan(memory_platform& driver, const exchange_ptr& exchange)
{
    const std::optional<detail::scan_request> request =
        detail::decode_scan_request(exchange->request().body);
    if (!request) {
        respond_malformed(exchange);
        return;
    }
    driver.scan(request->prefix, request->limit,
                respond_with<std::vector<row>>(
                    exchange, [](const std::vector<row>& rows) { return detail::encode(rows); }));
}

void serve_put_object(memory_platform& driver, const exchange_ptr& exchange)
{
    std::optional<detail::stored_object> object =
        detail::decode_stored_object(exchange->request().body);
    if (!object) {
        respond_malformed(exchange);
        return;
    }
    driver.put_object(std::move(object->id), std::move(object->bytes),
                      respond_with<bool>(exchange, [](bool) { return std::string(); }));
}

void serve_get_object(memory_platform& driver, const exchange_ptr& exchange)
{
    const std::optional<std::optional<std::string>> id =
        detail::decode_bytes(exchange->request().body);
    if (!id || !id->has_value()) {
        respond_malformed(exchange);
        return;
    }
    driver.get_object(**id, respond_with<std::string>(exchange, [](const std::string& bytes) {
        return detail::encode_bytes(bytes);
    }));
}

json faults_to_json(const platform_faults& faults)
{
    return {{"down", faults.down},
            {"stale_reads", faults.stale_reads},
            {"delay_ms", faults.delay.count()},
            {"writes_per_second", faults.writes_per_second},
            {"reads_per_second", faults.reads_per_second},
            {"corrupt_objects", faults.corrupt_objects},
            {"missing_objects", faults.missing_objects}};
}

// A requested change of the faults; applied only if the whole request is valid.
struct fault_request {
    platform_faults faults;
    std::vector<std::pair<write_outcome, std::size_t>> write_outcomes;
    bool apply_late = false;
};

using fault_setter = std::function<bool(const json& value, fault_request& request)>;

fault_setter flag(bool platform_faults::*field)
{
    return [field](const json& value, fault_request& request) {
        return value.is_boolean() && (request.faults.*field = value.get<bool>(), true);
    };
}

fault_setter number(std::uint64_t platform_faults::*field)
{
    return [field](const json& value, fault_request& request) {
        return value.is_number_unsigned() &&
               (request.faults.*field = value.get<std::uint64_t>(), true);
    };
}

fault_setter outcome_count(write_outcome outcome)
{
    return [outcome](const json& value, fault_request& request) {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max_injected_outcomes) {
            return false;
        }
        request.write_outcomes.emplace_back(outcome, value.get<std::size_t>());
        return true;
    };
}

fault_setter ids(std::set<std::string> platform_faults::*field)
{
    return [field](const json& value, fault_request& request) {
        if (!value.is_array()) {
            return false;
        }
        std::set<std::string>& result = request.faults.*field;
        result.clear();
        for (const json& id : value) {
            if (!id.is_string()) {
                return false;
            }
            result.insert(id.get<std::string>());
        }
        return true;
    };
}

bool set_delay(const json& value, fault_request& request)
{
    constexpr std::uint64_t max_delay_ms = 3600000;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max_delay_ms) {
        return false;
    }
    request.faults.delay = std::chrono::milliseconds(value.get<std::int64_t>());
    return true;
}

bool set_apply_late(const json& value, fault_request& request)
{
    return value.is_boolean() && (request.apply_late = value.get<bool>(), true);
}

const std::map<std::string, fault_setter>& fault_setters()
{
    static const std::map<std::string, fault_setter> setters = {
        {"down", flag(&platform_faults::down)},
        {"stale_reads", flag(&platform_faults::stale_reads)},
        {"delay_ms", set_delay},
        {"writes_per_second", number(&platform_faults::writes_per_second)},
        {"reads_per_second", number(&platform_faults::reads_per_second)},
        {"corrupt_objects", ids(&platform_faults::corrupt_objects)},
        {"missing_objects", ids(&platform_faults::missing_objects)},
        {"lose_answers", outcome_count(write_outcome::response_lost)},
        {"lose_requests", outcome_count(write_outcome::request_lost)},
        {"delay_writes", outcome_count(write_outcome::applied_late)},
        {"apply_delayed_writes", set_apply_late}};
    return setters;
}

// Returns the name of the first unknown or invalid member, or an empty string.
std::string read_faults(const json& members, fault_request& request)
{
    for (const auto& entry : members.items()) {
        const auto setter = fault_setters().find(entry.key());
        if (setter == fault_setters().end() || !setter->second(entry.value(), request)) {
            return entry.key();
        }
    }
    return {};
}

void serve_faults(memory_platform& driver, const exchange_ptr& exchange)
{
    if (exchange->request().method == "POST") {
        const json members = json::parse(exchange->request().body.bytes(), nullptr, false);
        fault_request request;
        request.faults = driver.faults();
        const std::string invalid =
            members.is_object() ? read_faults(members, request) : std::string("(body)");
        if (!invalid.empty()) {
            respond(exchange, 400, "text/plain",
                    fmt::format("fault {} is unknown or has an invalid value\n", invalid));
            return;
        }
        driver.set_faults(std::move(request.faults));
        for (const std::pair<write_outcome, std::size_t>& entry : request.write_outcomes) {
            driver.inject_write_outcome(entry.first, entry.second);
        }
        if (request.apply_late) {
            driver.apply_late_writes();
        }
    }
    respond(exchange, 200, "application/json", faults_to_json(driver.faults()).dump() + "\n");
}

void serve_metrics(memory_platform& driver, const exchange_ptr& exchange)
{
    const platform_counts& counts = driver.counts();
    const std::array<std::pair<std::string_view, std::uint64_t>, 4> series = {
        {{"reads", counts.reads},
         {"writes", counts.writes},
         {"refused_reads", counts.refused_reads},
         {"refused_writes", counts.refused_writes}}};
    std::string page;
    for (const std::pair<std::string_view, std::uint64_t>& entry : series) {
        page += fmt::format("# TYPE agatespread_platform_{0}_total counter\n"
                            "agatespread_platform_{0}_total {1}\n",
                            entry.first, entry.second);
    }
    respond(exchange, 200, "text/plain; version=0.0.4", page);
}

} // namespace

http_handler platform_handler(memory_platform& driver)
{
    using endpoint = void (*)(memory_platform&, const exchange_ptr&);
    static const std::map<std::string, endpoint, std::less<>> endpoints = {
        {"POST " + std::string(detail::transaction_path), serve_transaction},
        {"POST " + std::string(detail::read_path), serve_read},
        {"POST " + std::string(detail::scan_path), serve_scan},
        {"POST " + std::string(detail::put_object_path), serve_put_object},
        {"POST " + std::string(detail::get_object_path), serve_get_object},
        {"POST /v1/faults", serve_faults},
        {"GET /v1/faults", serve_faults},
        {"GET /metrics", serve_metrics}};
    return [&driver](const exchange_ptr& exchange) {
        const http_request& request = exchange->request();
        const auto found = endpoints.find(request.method + " " + request.target);
        if (found == endpoints.end()) {
            respond(exchange, 404, "text/plain", "no such endpoint\n");
            return;
        }
        found->second(driver, exchange);
    };
}

} // namespace agatespread
