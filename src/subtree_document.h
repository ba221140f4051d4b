#pragma once

#include "field_reader.h"

#include <agatespread/snapshot.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatespread::detail {

/// A service as declared in a subtree document.
struct service_entry {
    std::string name;
    std::string tenant;
};

/// A cluster as declared in a subtree document.
struct cluster_entry {
    std::string name;
    std::string service;
    std::string policy;
    std::uint8_t max_ejected_percent = 30;
};

/// A route as declared in a subtree document.
struct route_entry {
    std::string service;
    std::string prefix;
    std::string cluster;
    std::string class_name;
    std::chrono::milliseconds timeout{};
    bool idempotent = false;
};

/// An import as declared in a subtree document.
struct import_entry {
    std::string service;
    std::string from;
    std::string alias;
};

/// A subtree document; its fields are validated, its references are not resolved.
struct subtree_document {
    std::vector<service_entry> services;
    std::vector<cluster_entry> clusters;
    std::vector<route_entry> routes;
    std::vector<request_class> classes;
    std::vector<import_entry> imports;
};

/// The request class of routes that do not specify one.
inline constexpr std::string_view default_class_name = "default";

/// Returns whether `text` has the form FLEET/TEAM.
bool is_subtree_path(std::string_view text);

/// Reads a document and records the first error in `errors`.
subtree_document read_subtree(const nlohmann::json& value, document_errors& errors);

/// Validates the fields of a document and returns its canonical form.
absl::StatusOr<std::string> canonical_document(const nlohmann::json& value,
                                               document_errors& errors);

} // namespace agatespread::detail
