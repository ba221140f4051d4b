#include "platform_codec.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <utility>

namespace agatespread::detail {

namespace {

using json = nlohmann::json;
using optional_bytes = std::optional<std::string>;

json to_binary(const std::string& bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

json to_binary(const optional_bytes& bytes)
{
    return bytes ? to_binary(*bytes) : json(nullptr);
}

std::string to_body(const json& value)
{
    std::string body;
    json::to_cbor(value, body);
    return body;
}

json from_body(std::string_view body)
{
    return json::from_cbor(body.begin(), body.end(), true, false);
}

// Returns a member of an object, or a discarded value, which fails every type check, if there is
// none.
const json& member(const json& object, const char* name)
{
    static const json absent(json::value_t::discarded);
    if (!object.is_object()) {
        return absent;
    }
    const auto found = object.find(name);
    return found == object.end() ? absent : *found;
}

bool get_bytes(const json& value, std::string& result)
{
    if (!value.is_binary()) {
        return false;
    }
    result.assign(value.get_binary().begin(), value.get_binary().end());
    return true;
}

bool get_optional(const json& value, optional_bytes& result)
{
    if (value.is_null()) {
        result.reset();
        return true;
    }
    return get_bytes(value, result.emplace());
}

// Reads a list of objects with the members `key` and `value`.
template <typename Row, typename GetValue>
bool get_rows(const json& list, std::vector<Row>& result, GetValue get_value)
{
    if (!list.is_array()) {
        return false;
    }
    for (const json& entry : list) {
        Row& next = result.emplace_back();
        if (!get_bytes(member(entry, "key"), next.key) ||
            !get_value(member(entry, "value"), next.value)) {
            return false;
        }
    }
    return true;
}

template <typename Row>
json to_list(const std::vector<Row>& rows)
{
    json list = json::array();
    for (const Row& entry : rows) {
        list.push_back({{"key", to_binary(entry.key)}, {"value", to_binary(entry.value)}});
    }
    return list;
}

} // namespace

std::string encode(const transaction& value)
{
    return to_body(
        {{"preconditions", to_list(value.preconditions)}, {"writes", to_list(value.writes)}});
}

std::string encode(const transaction_result& value)
{
    return to_body({{"committed", value.committed}, {"conflicts", to_list(value.conflicts)}});
}

std::string encode(const scan_request& value)
{
    return to_body({{"prefix", to_binary(value.prefix)}, {"limit", value.limit}});
}

std::string encode(const std::vector<row>& value)
{
    return to_body({{"rows", to_list(value)}});
}

std::string encode(const stored_object& value)
{
    return to_body({{"id", to_binary(value.id)}, {"bytes", to_binary(value.bytes)}});
}

std::string encode(const error_body& value)
{
    return to_body({{"reason", value.reason}, {"message", value.message}});
}

std::string encode_bytes(const optional_bytes& value)
{
    return to_body({{"value", to_binary(value)}});
}

std::optional<transaction> decode_transaction(std::string_view body)
{
    const json object = from_body(body);
    transaction result;
    const bool valid =
        get_rows(member(object, "preconditions"), result.preconditions, get_optional) &&
        get_rows(member(object, "writes"), result.writes, get_optional);
    return valid ? std::make_optional(std::move(result)) : std::nullopt;
}

std::optional<transaction_result> decode_transaction_result(std::string_view body)
{
    const json object = from_body(body);
    const json& committed = member(object, "committed");
    transaction_result result;
    if (!committed.is_boolean() ||
        !get_rows(member(object, "conflicts"), result.conflicts, get_bytes)) {
        return std::nullopt;
    }
    result.committed = committed.get<bool>();
    return result;
}

std::optional<scan_request> decode_scan_request(std::string_view body)
{
    const json object = from_body(body);
    const json& limit = member(object, "limit");
    scan_request result;
    if (!limit.is_number_unsigned() || !get_bytes(member(object, "prefix"), result.prefix)) {
        return std::nullopt;
    }
    result.limit = limit.get<std::size_t>();
    return result;
}

std::optional<std::vector<row>> decode_rows(std::string_view body)
{
    std::vector<row> result;
    const bool valid = get_rows(member(from_body(body), "rows"), result, get_bytes);
    return valid ? std::make_optional(std::move(result)) : std::nullopt;
}

std::optional<stored_object> decode_stored_object(std::string_view body)
{
    const json object = from_body(body);
    stored_object result;
    const bool valid = get_bytes(member(object, "id"), result.id) &&
                       get_bytes(member(object, "bytes"), result.bytes);
    return valid ? std::make_optional(std::move(result)) : std::nullopt;
}

std::optional<error_body> decode_error_body(std::string_view body)
{
    const json object = from_body(body);
    const json& reason = member(object, "reason");
    const json& message = member(object, "message");
    if (!reason.is_string() || !message.is_string()) {
        return std::nullopt;
    }
    return error_body{reason.get<std::string>(), message.get<std::string>()};
}

std::optional<optional_bytes> decode_bytes(std::string_view body)
{
    optional_bytes result;
    const bool valid = get_optional(member(from_body(body), "value"), result);
    return valid ? std::make_optional(std::move(result)) : std::nullopt;
}

} // namespace agatespread::detail
