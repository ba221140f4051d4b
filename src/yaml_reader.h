#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string_view>

namespace agatespread::detail {

/// Reads one YAML document without anchors, aliases, tags or repeated keys.
///
/// Plain `true`, `false`, `null` and decimal integers become the JSON types; all other scalars are
/// strings. An error message starts with the file and, if known, the position; the error carries
/// the given layer and the reason "malformed".
absl::StatusOr<nlohmann::json> read_yaml(std::string_view yaml, std::string_view file,
                                         std::string_view layer = "tree");

} // namespace agatespread::detail
