#include "proxy_headers.h"
#include "unix_time.h"

#include <agatespread/digest.h>
#include <agatespread/proxy.h>

#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

// HMAC-SHA-256 truncated to 128 bits, as in the peer protocol.
constexpr std::size_t mac_bytes = 16;

constexpr std::size_t call_id_digits = 32;

constexpr std::array<std::string_view, 9> call_outcome_names = {
    "answered", "not-run", "draining",  "unavailable", "blocked",
    "crashed",  "failed",  "timed-out", "rejected"};

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the fields that the MAC of a call covers, separated by line breaks, which cannot occur
/// in header values.
std::string signed_call_fields(const http_request& request, std::string_view time)
{
    const http_headers& headers = request.headers;
    std::string text = absl::StrCat(request.method, "\n", request.target, "\n",
                                    to_absl(headers.get("Host")), "\n", to_absl(time));
    for (const std::string_view name :
         {detail::call_header, detail::deadline_header, detail::class_header, detail::tenant_header,
          detail::depth_header, detail::attempt_header, detail::suspect_header}) {
        absl::StrAppend(&text, "\n", to_absl(headers.get(name)));
    }
    return text;
}

/// Returns the fields that the MAC of a response covers.
std::string signed_response_fields(std::string_view call_id, const http_response& response)
{
    const http_headers& headers = response.headers;
    return absl::StrCat(to_absl(call_id), "\n", response.status, "\n",
                        to_absl(headers.get(detail::not_run_header)), "\n",
                        to_absl(headers.get(detail::outcome_header)), "\n",
                        to_absl(headers.get(detail::load_header)));
}

std::optional<load_hint> parse_load(std::string_view text)
{
    const std::optional<std::uint32_t> running =
        detail::parse_number<std::uint32_t>(detail::take_token(text, ','));
    const std::optional<std::uint32_t> queued =
        detail::parse_number<std::uint32_t>(detail::take_token(text, ','));
    const std::optional<std::uint32_t> slots = detail::parse_number<std::uint32_t>(text);
    if (!running || !queued || !slots) {
        return std::nullopt;
    }
    return load_hint{*running, *queued, *slots};
}

bool is_call_id(std::string_view text)
{
    return text.size() == call_id_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::optional<call_metadata> parse_call(const http_headers& headers)
{
    std::string_view priority_text = headers.get(detail::class_header);
    const std::string_view class_name = detail::take_token(priority_text, ';');
    std::string_view attempt_text = headers.get(detail::attempt_header);
    const std::optional<std::uint32_t> attempt =
        detail::parse_number<std::uint32_t>(detail::take_token(attempt_text, ';'));
    const std::optional<std::uint8_t> priority = detail::parse_number<std::uint8_t>(priority_text);
    const std::optional<std::uint32_t> depth =
        detail::parse_number<std::uint32_t>(headers.get(detail::depth_header));
    const std::optional<std::uint32_t> time_left =
        detail::parse_number<std::uint32_t>(headers.get(detail::deadline_header));
    const std::string_view call_id = headers.get(detail::call_header);
    if (!attempt || !priority || !depth || !time_left || !is_call_id(call_id)) {
        return std::nullopt;
    }
    call_metadata result;
    result.call_id = std::string(call_id);
    result.deadline = milliseconds(*time_left);
    result.request_class = std::string(class_name);
    result.priority = *priority;
    result.tenant = std::string(headers.get(detail::tenant_header));
    result.depth = *depth;
    result.attempt = *attempt;
    result.on_retry_path = attempt_text == "retry-path";
    result.suspect = headers.get(detail::suspect_header) == "1";
    return result;
}

} // namespace

mesh_signer::mesh_signer(node_id node, std::vector<frame_key> keys, milliseconds max_skew)
    : node_(std::move(node)), keys_(std::move(keys)), max_skew_(max_skew)
{
}

std::string mesh_signer::mac(const frame_key& key, std::string_view purpose, std::string_view text)
{
    // The purpose separates domains: a MAC of a call is not valid for a response or a context.
    const sha256_bytes digest =
        hmac_sha256(key.secret, absl::StrCat(to_absl(purpose), "\n", to_absl(text)));
    return to_hex({reinterpret_cast<const char*>(digest.data()), mac_bytes});
}

std::string mesh_signer::sign(std::string_view purpose, std::string_view text) const
{
    if (keys_.empty()) {
        return {};
    }
    return absl::StrCat(keys_.front().id, ":", mac(keys_.front(), purpose, text));
}

bool mesh_signer::verify(std::string_view purpose, std::string_view text,
                         std::string_view signature) const
{
    const std::size_t colon = signature.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    for (const frame_key& key : keys_) {
        if (key.id == signature.substr(0, colon) &&
            equal_constant_time(mac(key, purpose, text), signature.substr(colon + 1))) {
            return true;
        }
    }
    return false;
}

void mesh_signer::write_call(const call_metadata& call, system_clock::time_point wall_clock,
                             http_request& request) const
{
    http_headers& headers = request.headers;
    headers.add(detail::call_header, call.call_id);
    headers.add(detail::deadline_header, std::to_string(call.deadline.count()));
    headers.add(detail::class_header, absl::StrCat(call.request_class, ";", call.priority));
    headers.add(detail::tenant_header, call.tenant);
    headers.add(detail::depth_header, std::to_string(call.depth));
    headers.add(detail::attempt_header,
                absl::StrCat(call.attempt, call.on_retry_path ? ";retry-path" : ""));
    if (call.suspect) {
        headers.add(detail::suspect_header, "1");
    }
    const std::string time = std::to_string(detail::unix_milliseconds(wall_clock));
    headers.add(detail::mac_header,
                absl::StrCat(time, ";", sign("call", signed_call_fields(request, time))));
}

std::optional<call_metadata> mesh_signer::read_call(const http_request& request,
                                                    system_clock::time_point wall_clock) const
{
    std::string_view signature = request.headers.get(detail::mac_header);
    const std::string_view time = detail::take_token(signature, ';');
    const std::optional<std::int64_t> sent_at = detail::parse_number<std::int64_t>(time);
    const std::int64_t now = detail::unix_milliseconds(wall_clock);
    if (!sent_at || *sent_at < now - max_skew_.count() || *sent_at > now + max_skew_.count() ||
        !verify("call", signed_call_fields(request, time), signature)) {
        return std::nullopt;
    }
    return parse_call(request.headers);
}

void mesh_signer::write_response(const response_metadata& metadata, http_response& response) const
{
    http_headers& headers = response.headers;
    const bool not_run =
        metadata.outcome >= call_outcome::not_run && metadata.outcome <= call_outcome::blocked;
    headers.remove(detail::not_run_header);
    if (not_run) {
        headers.add(detail::not_run_header, "1");
    }
    headers.add(detail::call_header, metadata.call_id);
    headers.add(detail::outcome_header,
                std::string(call_outcome_names[static_cast<std::size_t>(metadata.outcome)]));
    if (metadata.load) {
        headers.add(detail::load_header,
                    absl::StrCat(metadata.load->running, ",", metadata.load->queued, ",",
                                 metadata.load->slots));
    }
    headers.add(detail::mac_header,
                sign("answer", signed_response_fields(metadata.call_id, response)));
}

std::optional<response_metadata> mesh_signer::read_response(std::string_view call_id,
                                                            const http_response& response) const
{
    const http_headers& headers = response.headers;
    if (headers.get(detail::call_header) != call_id ||
        !verify("answer", signed_response_fields(call_id, response),
                headers.get(detail::mac_header))) {
        return std::nullopt;
    }
    response_metadata result;
    result.call_id = std::string(call_id);
    result.status = response.status;
    const std::string_view outcome = headers.get(detail::outcome_header);
    std::size_t index = 0;
    while (index < call_outcome_names.size() && call_outcome_names[index] != outcome) {
        ++index;
    }
    if (index == call_outcome_names.size()) {
        return std::nullopt;
    }
    result.outcome = static_cast<call_outcome>(index);
    result.load = parse_load(headers.get(detail::load_header));
    return result;
}

std::string mesh_signer::write_context(const call_context& context) const
{
    const milliseconds deadline =
        std::chrono::duration_cast<milliseconds>(context.deadline.time_since_epoch());
    const std::string text =
        absl::StrCat(deadline.count(), ";", context.depth, ";", context.on_retry_path ? 1 : 0);
    return absl::StrCat(text, ";", sign("context", absl::StrCat(node_, "\n", text)));
}

std::optional<call_context> mesh_signer::read_context(std::string_view value) const
{
    const std::size_t end = value.rfind(';');
    if (end == std::string_view::npos ||
        !verify("context", absl::StrCat(node_, "\n", to_absl(value.substr(0, end))),
                value.substr(end + 1))) {
        return std::nullopt;
    }
    std::string_view text = value.substr(0, end);
    const std::optional<std::int64_t> deadline =
        detail::parse_number<std::int64_t>(detail::take_token(text, ';'));
    const std::optional<std::uint32_t> depth =
        detail::parse_number<std::uint32_t>(detail::take_token(text, ';'));
    if (!deadline || !depth) {
        return std::nullopt;
    }
    return call_context{time_point(milliseconds(*deadline)), *depth, text == "1"};
}

} // namespace agatespread
