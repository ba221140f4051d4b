#include "operator_responses.h"

#include <agatespread/operator_auth.h>
#include <agatespread/operator_client.h>

#include <fmt/format.h>

#include <utility>

namespace agatespread {

namespace {

// Larger than a tree of the maximum size, including its JSON escapes.
constexpr std::size_t max_response_bytes = 16U << 20U;

std::string percent_encode(std::string_view text)
{
    std::string encoded;
    for (const char letter : text) {
        const bool plain = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
                           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
                           letter == '.' || letter == '~';
        if (plain) {
            encoded.push_back(letter);
        }
        else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(letter));
        }
    }
    return encoded;
}

/// Parses the content of a response; for a change, a malformed response leaves the outcome unknown.
template <typename Content>
absl::StatusOr<operator_response<Content>>
parse_response(absl::StatusOr<nlohmann::json> document,
               absl::StatusOr<Content> (*read)(const nlohmann::json&), bool is_change)
{
    if (!document.ok()) {
        return document.status();
    }
    absl::StatusOr<Content> content = read(*document);
    if (!content.ok()) {
        const std::string text(content.status().message());
        return detail::operator_error(is_change ? "outcome_unknown" : "unavailable", text);
    }
    return operator_response<Content>{*std::move(content), *std::move(document)};
}

} // namespace

operator_client::operator_client(operator_client_options options, operator_transport transport,
                                 wall_clock clock, random_source random)
    : options_(std::move(options)), transport_(std::move(transport)), clock_(std::move(clock)),
      random_(std::move(random))
{
}

absl::StatusOr<operator_response<applied_version>>
operator_client::apply(std::string_view subtree, std::string_view change_id, std::string document,
                       bool dry_run)
{
    const std::string target =
        fmt::format("/v1/apply?subtree={}&change={}{}", percent_encode(subtree),
                    percent_encode(change_id), dry_run ? "&dry_run=1" : "");
    return parse_response(change(target, std::move(document)), detail::read_applied, !dry_run);
}

absl::StatusOr<operator_response<shown_tree>> operator_client::show(std::string_view subtree)
{
    const std::string query = subtree.empty() ? "" : "?subtree=" + percent_encode(subtree);
    return parse_response(read("/v1/show" + query), detail::read_shown, false);
}

absl::StatusOr<operator_response<std::vector<version_entry>>>
operator_client::history(std::size_t limit)
{
    return parse_response(read(fmt::format("/v1/history?limit={}", limit)), detail::read_history,
                          false);
}

absl::StatusOr<operator_response<mesh_status>> operator_client::status()
{
    return parse_response(read("/v1/status"), detail::read_status, false);
}

absl::StatusOr<operator_response<std::vector<std::string>>>
operator_client::explain(std::string_view caller_fleet, std::string_view service,
                         std::string_view path)
{
    return parse_response(
        read(fmt::format("/v1/explain?caller={}&service={}&path={}", percent_encode(caller_fleet),
                         percent_encode(service), percent_encode(path))),
        detail::read_lines, false);
}

absl::StatusOr<operator_response<std::string>> operator_client::drain(std::string_view target)
{
    return parse_response(change("/v1/drain?target=" + percent_encode(target), ""),
                          detail::read_drain, true);
}

http_call operator_client::prepare(std::string method, const std::string& target,
                                   std::string body) const
{
    http_call call;
    call.url = "http://" + options_.node + target;
    call.request.method = std::move(method);
    call.request.target = target;
    call.request.headers.set("Host", options_.node);
    call.request.body = std::move(body);
    call.timeout = options_.timeout;
    call.max_response_bytes = max_response_bytes;
    return call;
}

absl::StatusOr<nlohmann::json> operator_client::read(const std::string& target)
{
    return detail::read_result(transport_(prepare("GET", target, "")), false);
}

absl::StatusOr<nlohmann::json> operator_client::change(const std::string& target, std::string body)
{
    http_call call = prepare("POST", target, std::move(body));
    sign_operator_call(call.request, options_.key_id, options_.secret, clock_(), random_);
    return detail::read_result(transport_(call), true);
}

} // namespace agatespread
