#include "subtree_document.h"
#include "yaml_reader.h"

#include <agatespread/tree.h>

#include <fmt/format.h>

namespace agatespread {

absl::Status check_subtree_path(std::string_view path)
{
    if (detail::is_subtree_path(path)) {
        return absl::OkStatus();
    }
    return layer_error(absl::StatusCode::kInvalidArgument, "tree", "refused",
                       fmt::format("subtree path {} is not allowed: FLEET/TEAM, each {}",
                                   detail::quote_text(path), detail::name_form));
}

absl::StatusOr<std::string> canonical_subtree(std::string_view yaml, std::string_view file)
{
    detail::document_errors errors{std::string(file)};
    const std::string allowed = fmt::format("at most {} bytes", max_subtree_bytes);
    if (yaml.size() > max_subtree_bytes) {
        errors.add("", fmt::format("a size of {} bytes", yaml.size()), allowed);
        return errors.status();
    }
    const absl::StatusOr<nlohmann::json> value = detail::read_yaml(yaml, file);
    if (!value.ok()) {
        return value.status();
    }
    absl::StatusOr<std::string> document = detail::canonical_document(*value, errors);
    if (document.ok() && document->size() > max_subtree_bytes) {
        errors.add("", fmt::format("a canonical size of {} bytes", document->size()), allowed);
        return errors.status();
    }
    return document;
}

} // namespace agatespread
