#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatespread::detail {

/// An entry that was added, removed or modified between two subtree documents.
struct entry_change {
    std::string section;   ///< Such as "routes".
    std::string name;      ///< The entry's name; "SERVICE PREFIX" for a route.
    nlohmann::json before; ///< Null when the entry was added.
    nlohmann::json after;  ///< Null when the entry was removed.
};

/// Compares two valid documents entry by entry, regardless of the order of entries.
std::vector<entry_change> diff_subtrees(const nlohmann::json& before, const nlohmann::json& after);

/// Formats a change as a line that starts with + (added), - (removed) or ~ (modified).
std::string describe_change(const entry_change& change);

} // namespace agatespread::detail
