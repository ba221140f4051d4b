#pragma once

#include <agatespread/operator_client.h>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatespread::detail {

/// Returns an error of the layer "operator" with the status code of the reason.
absl::Status operator_error(std::string_view reason, std::string_view text);

/// Returns the JSON body of a successful response, or the error of a failed call.
///
/// With `is_change`, a lost or malformed response yields "outcome_unknown" rather than
/// "unavailable".
absl::StatusOr<nlohmann::json> read_result(const http_result& result, bool is_change);

/// Parse the responses of the operator API; the error names the invalid field.
absl::StatusOr<applied_version> read_applied(const nlohmann::json& document);
absl::StatusOr<shown_tree> read_shown(const nlohmann::json& document);
absl::StatusOr<std::vector<version_entry>> read_history(const nlohmann::json& document);
absl::StatusOr<mesh_status> read_status(const nlohmann::json& document);
absl::StatusOr<std::vector<std::string>> read_lines(const nlohmann::json& document);
absl::StatusOr<std::string> read_drain(const nlohmann::json& document);

} // namespace agatespread::detail
