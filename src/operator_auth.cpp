#include "field_reader.h"
#include "subtree_document.h"

#include <agatespread/digest.h>
#include <agatespread/operator_auth.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace agatespread {

namespace {

constexpr std::string_view scheme = "Agatespread ";
constexpr std::string_view header_name = "Authorization";
constexpr std::size_t mac_digits = 64;
constexpr std::size_t nonce_digits = 32;
constexpr std::size_t max_header = 512;

/// The fields of the Authorization header.
struct credentials {
    std::string key;
    std::int64_t time = 0;
    std::string nonce;
    std::string mac;
};

absl::Status unauthorized(std::string_view message)
{
    return layer_error(absl::StatusCode::kUnauthenticated, "operator", "unauthorized", message);
}

std::chrono::seconds unix_seconds(std::chrono::system_clock::time_point point)
{
    return std::chrono::duration_cast<std::chrono::seconds>(point.time_since_epoch());
}

std::string mac_of(const http_request& request, std::string_view secret, std::int64_t time,
                   std::string_view nonce)
{
    // No field contains a line feed, so different calls never yield the same text to sign.
    const std::string text = fmt::format("{}\n{}\n{}\n{}\n{}", request.method, request.target, time,
                                         nonce, sha256_hex(request.body));
    const sha256_bytes mac = hmac_sha256(secret, text);
    return to_hex({reinterpret_cast<const char*>(mac.data()), mac.size()});
}

bool is_hex(std::string_view text, std::size_t digits)
{
    return text.size() == digits && std::all_of(text.begin(), text.end(), [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

/// Removes "NAME=VALUE" and the separator from the front of the text and returns the value; an
/// empty separator means the rest of the text.
std::optional<std::string_view> take_field(std::string_view& text, std::string_view name,
                                           std::string_view separator)
{
    if (text.substr(0, name.size()) != name || text.substr(name.size(), 1) != "=") {
        return std::nullopt;
    }
    text.remove_prefix(name.size() + 1);
    const std::size_t size = separator.empty() ? text.size() : text.find(separator);
    if (size == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view value = text.substr(0, size);
    text.remove_prefix(size + separator.size());
    return value;
}

std::optional<credentials> parse_credentials(std::string_view header)
{
    if (header.size() > max_header || header.substr(0, scheme.size()) != scheme) {
        return std::nullopt;
    }
    header.remove_prefix(scheme.size());
    const std::optional<std::string_view> key = take_field(header, "key", ",");
    const std::optional<std::string_view> time = take_field(header, "time", ",");
    const std::optional<std::string_view> nonce = take_field(header, "nonce", ",");
    const std::optional<std::string_view> mac = take_field(header, "mac", "");
    if (!key || !time || !nonce || !mac || !detail::is_name(*key) ||
        !is_hex(*nonce, nonce_digits) || !is_hex(*mac, mac_digits)) {
        return std::nullopt;
    }
    credentials result{std::string(*key), 0, std::string(*nonce), std::string(*mac)};
    // 12 digits represent times beyond the year 30000 and rule out 64-bit overflow in sums.
    const char* end = time->data() + time->size();
    const std::from_chars_result parsed = std::from_chars(time->data(), end, result.time);
    if (parsed.ec != std::errc() || parsed.ptr != end || time->size() > 12 || result.time < 0) {
        return std::nullopt;
    }
    return result;
}

/// Returns the Authorization header, or an empty string if there is none or more than one.
std::string_view single_authorization_header(const http_headers& headers)
{
    http_headers other_headers = headers;
    other_headers.remove(header_name);
    return headers.fields().size() - other_headers.fields().size() == 1 ? headers.get(header_name)
                                                                        : std::string_view();
}

} // namespace

void sign_operator_call(http_request& request, std::string_view key_id, std::string_view secret,
                        std::chrono::system_clock::time_point now, const random_source& random)
{
    std::string nonce = fmt::format("{:016x}", random());
    nonce += fmt::format("{:016x}", random());
    const std::int64_t time = unix_seconds(now).count();
    request.headers.set(header_name,
                        fmt::format("{}key={},time={},nonce={},mac={}", scheme, key_id, time, nonce,
                                    mac_of(request, secret, time, nonce)));
}

bool may_change(const operator_key& key, std::string_view subtree)
{
    const std::string fleet = std::string(subtree.substr(0, subtree.find('/'))) + "/*";
    return detail::is_subtree_path(subtree) &&
           std::any_of(key.subtrees.begin(), key.subtrees.end(), [&](const std::string& allowed) {
               return allowed == subtree || allowed == fleet || allowed == "*";
           });
}

operator_authenticator::operator_authenticator(std::vector<operator_key> keys, std::size_t capacity)
    : capacity_(capacity)
{
    for (operator_key& key : keys) {
        std::string id = key.id;
        keys_.emplace(std::move(id), std::move(key));
    }
}

absl::StatusOr<operator_key>
operator_authenticator::check(const http_request& request,
                              std::chrono::system_clock::time_point now)
{
    const std::optional<credentials> presented =
        parse_credentials(single_authorization_header(request.headers));
    if (!presented) {
        return unauthorized("one header is required: Authorization: Agatespread "
                            "key=ID,time=UNIX,nonce=HEX,mac=HEX");
    }
    const auto key = keys_.find(presented->key);
    if (key == keys_.end() ||
        !equal_constant_time(mac_of(request, key->second.secret, presented->time, presented->nonce),
                             presented->mac)) {
        return unauthorized("unknown key or signature mismatch");
    }
    const std::chrono::seconds skew = unix_time(presented->time) - unix_seconds(now);
    if (skew > max_clock_skew || skew < -max_clock_skew) {
        return unauthorized(fmt::format("the call's time differs from the node's by {} s; at most "
                                        "{} s are allowed",
                                        skew.count(), max_clock_skew.count()));
    }
    absl::Status recorded = record_call(presented->key + "/" + presented->nonce, unix_seconds(now));
    if (!recorded.ok()) {
        return recorded;
    }
    return key->second;
}

absl::Status operator_authenticator::record_call(const std::string& call, unix_time now)
{
    while (!expirations_.empty() && expirations_.begin()->first < now) {
        accepted_calls_.erase(expirations_.begin()->second);
        expirations_.erase(expirations_.begin());
    }
    if (accepted_calls_.count(call) != 0) {
        return unauthorized("the call was already received: sign it again with a new nonce");
    }
    if (accepted_calls_.size() >= capacity_) {
        return unauthorized("too many calls in two minutes: retry later");
    }
    accepted_calls_.insert(call);
    // A call signed with a clock that is ahead by the maximum skew stays valid for twice the skew.
    expirations_.emplace(now + 2 * max_clock_skew, call);
    return absl::OkStatus();
}

} // namespace agatespread
