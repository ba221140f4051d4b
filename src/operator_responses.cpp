#include "operator_responses.h"

#include "field_reader.h"
#include "subtree_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <utility>

namespace agatespread::detail {

namespace {

constexpr std::size_t max_message = 4096;

/// Reads the fields of a response; remembers the first one that is not as expected.
class response_reader {
public:
    const nlohmann::json& member(const nlohmann::json& object, const char* name)
    {
        static const nlohmann::json none;
        if (!object.is_object() || !object.contains(name)) {
            fail(name);
            return none;
        }
        return object[name];
    }

    std::string text(const nlohmann::json& object, const char* name)
    {
        const nlohmann::json& value = member(object, name);
        if (!value.is_string()) {
            fail(name);
            return {};
        }
        return value.get<std::string>();
    }

    std::uint64_t number(const nlohmann::json& object, const char* name)
    {
        const std::optional<std::uint64_t> value = non_negative_integer(member(object, name));
        if (!value) {
            fail(name);
        }
        return value.value_or(0);
    }

    bool flag(const nlohmann::json& object, const char* name)
    {
        const nlohmann::json& value = member(object, name);
        if (!value.is_boolean()) {
            fail(name);
            return false;
        }
        return value.get<bool>();
    }

    void each(const nlohmann::json& object, const char* name,
              const std::function<void(const nlohmann::json&)>& call)
    {
        const nlohmann::json& value = member(object, name);
        if (!value.is_array()) {
            fail(name);
            return;
        }
        for (const nlohmann::json& element : value) {
            call(element);
        }
    }

    void fail(std::string_view name)
    {
        if (problem_.empty()) {
            problem_ = name;
        }
    }

    template <typename Content>
    absl::StatusOr<Content> finish(Content content) const
    {
        if (problem_.empty()) {
            return content;
        }
        return operator_error("unavailable",
                              fmt::format("the node's response has no valid field {}", problem_));
    }

private:
    std::string problem_;
};

absl::StatusCode code_of(std::string_view reason)
{
    static const std::array<std::pair<std::string_view, absl::StatusCode>, 6> codes{{
        {"conflict", absl::StatusCode::kAborted},
        {"refused", absl::StatusCode::kInvalidArgument},
        {"unauthorized", absl::StatusCode::kUnauthenticated},
        {"not_found", absl::StatusCode::kNotFound},
        {"unavailable", absl::StatusCode::kUnavailable},
        {"outcome_unknown", absl::StatusCode::kDeadlineExceeded},
    }};
    for (const std::pair<std::string_view, absl::StatusCode>& entry : codes) {
        if (entry.first == reason) {
            return entry.second;
        }
    }
    return absl::StatusCode::kUnknown;
}

/// Returns the reason for an HTTP status without a readable error.
std::string reason_of_status(int status, bool changes)
{
    switch (status) {
    case 401:
        return "unauthorized";
    case 404:
        return "not_found";
    case 409:
        return "conflict";
    case 503:
        return "unavailable";
    default:
        break;
    }
    if (status >= 400 && status < 500) {
        return "refused";
    }
    return changes ? "outcome_unknown" : "unavailable";
}

absl::Status read_error(const http_response& response, const nlohmann::json& document, bool changes)
{
    response_reader reader;
    const nlohmann::json& error = reader.member(document, "error");
    std::string reason = reader.text(error, "reason");
    std::string text = reader.text(error, "message").substr(0, max_message);
    if (code_of(reason) == absl::StatusCode::kUnknown) {
        reason = reason_of_status(response.status, changes);
    }
    if (text.empty()) {
        text = fmt::format("the node answered with status {}", response.status);
    }
    return operator_error(reason, text);
}

domain_summary read_domain(const nlohmann::json& element, response_reader& reader)
{
    domain_summary domain;
    domain.failure_domain = reader.text(element, "failure_domain");
    domain.members = static_cast<std::uint32_t>(reader.number(element, "members"));
    domain.unreachable = static_cast<std::uint32_t>(reader.number(element, "unreachable"));
    domain.lowest = reader.number(element, "lowest");
    domain.highest = reader.number(element, "highest");
    reader.each(element, "behind", [&](const nlohmann::json& node) {
        domain.behind.push_back({reader.text(node, "node"), reader.number(node, "version"),
                                 reader.text(node, "reason")});
    });
    return domain;
}

} // namespace

absl::Status operator_error(std::string_view reason, std::string_view text)
{
    return layer_error(code_of(reason), "operator", reason, text);
}

absl::StatusOr<nlohmann::json> read_result(const http_result& result, bool changes)
{
    if (result.outcome != http_outcome::answered) {
        const bool unknown = changes && result.sent;
        return operator_error(unknown ? "outcome_unknown" : "unavailable",
                              result.error.empty() ? "no response from the node" : result.error);
    }
    nlohmann::json document = nlohmann::json::parse(result.response.body, nullptr, false);
    if (result.response.status != 200) {
        return read_error(result.response, document, changes);
    }
    if (!document.is_object()) {
        return operator_error(changes ? "outcome_unknown" : "unavailable",
                              "the node's response is not a JSON object");
    }
    return document;
}

absl::StatusOr<applied_version> read_applied(const nlohmann::json& document)
{
    response_reader reader;
    applied_version content;
    content.version = reader.number(document, "version");
    content.dry_run = document.contains("dry_run") && reader.flag(document, "dry_run");
    if (!content.dry_run) {
        content.change = reader.text(document, "change");
        content.repeated = reader.flag(document, "repeated");
    }
    return reader.finish(std::move(content));
}

absl::StatusOr<shown_tree> read_shown(const nlohmann::json& document)
{
    response_reader reader;
    shown_tree content;
    content.version = reader.number(document, "version");
    const nlohmann::json& subtrees = reader.member(document, "subtrees");
    if (!subtrees.is_object()) {
        reader.fail("subtrees");
        return reader.finish(std::move(content));
    }
    for (auto entry = subtrees.begin(); entry != subtrees.end(); ++entry) {
        // The parser bounds no depth, so that only documents with known fields are written.
        document_errors errors(entry.key());
        const absl::StatusOr<std::string> text = canonical_document(entry.value(), errors);
        if (!text.ok()) {
            reader.fail("subtrees: " + std::string(text.status().message()));
            break;
        }
        content.subtrees.emplace(entry.key(), *text);
    }
    return reader.finish(std::move(content));
}

absl::StatusOr<std::vector<version_entry>> read_history(const nlohmann::json& document)
{
    response_reader reader;
    std::vector<version_entry> content;
    reader.each(document, "versions", [&](const nlohmann::json& element) {
        content.push_back({reader.number(element, "version"), reader.text(element, "manifest"),
                           reader.text(element, "change"), reader.text(element, "subtree"),
                           reader.text(element, "operator")});
    });
    return reader.finish(std::move(content));
}

absl::StatusOr<mesh_status> read_status(const nlohmann::json& document)
{
    response_reader reader;
    mesh_status content;
    content.version = reader.number(document, "version");
    reader.each(document, "domains", [&](const nlohmann::json& element) {
        content.domains.push_back(read_domain(element, reader));
    });
    return reader.finish(std::move(content));
}

absl::StatusOr<std::vector<std::string>> read_lines(const nlohmann::json& document)
{
    response_reader reader;
    std::vector<std::string> content;
    reader.each(document, "lines", [&](const nlohmann::json& line) {
        if (line.is_string()) {
            content.push_back(line.get<std::string>());
        }
        else {
            reader.fail("lines");
        }
    });
    return reader.finish(std::move(content));
}

absl::StatusOr<std::string> read_drain(const nlohmann::json& document)
{
    response_reader reader;
    std::string state = reader.text(document, "state");
    return reader.finish(std::move(state));
}

} // namespace agatespread::detail
