#pragma once

#include <agatespread/base.h>
#include <agatespread/snapshot.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace agatespread {

/// The largest size of a subtree document in bytes, as YAML and in its canonical form.
inline constexpr std::size_t max_subtree_bytes = 256U << 10U;

/// The largest number of subtrees in a tree.
inline constexpr std::size_t max_subtrees = 1000;

/// The largest total size of the documents of a tree in bytes.
inline constexpr std::size_t max_tree_bytes = 4U << 20U;

/// Maps subtree paths such as "nile-soy/rounds" to canonical JSON documents.
using config_tree = std::map<std::string, std::string>;

/// Checks that a subtree path has the form FLEET/TEAM.
absl::Status check_subtree_path(std::string_view path);

/// Parses a subtree document in YAML and returns its canonical JSON.
///
/// The error states the file, field path, invalid value and allowed values.
///
///     absl::StatusOr<std::string> document = canonical_subtree(yaml, "rounds.yaml");
absl::StatusOr<std::string> canonical_subtree(std::string_view yaml, std::string_view file);

/// Validates all documents of a tree, with the references among them, and builds its snapshot.
absl::StatusOr<std::shared_ptr<const snapshot>>
build_snapshot(const config_tree& tree, config_version version, std::string manifest_id);

} // namespace agatespread
