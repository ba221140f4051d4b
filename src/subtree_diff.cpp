#include "subtree_diff.h"

#include <fmt/format.h>

#include <array>
#include <map>
#include <utility>

namespace agatespread::detail {

namespace {

constexpr std::array<const char*, 5> sections{"services", "clusters", "routes", "classes",
                                              "imports"};

std::string entry_name(const std::string& section, const nlohmann::json& entry)
{
    if (section == "routes") {
        return fmt::format("{} {}", entry.value("service", ""), entry.value("prefix", "/"));
    }
    if (section == "imports") {
        return entry.value("as", entry.value("service", ""));
    }
    return entry.value("name", "");
}

std::map<std::string, nlohmann::json> entries_of(const nlohmann::json& document,
                                                 const std::string& section)
{
    std::map<std::string, nlohmann::json> entries;
    if (document.contains(section)) {
        for (const nlohmann::json& entry : document[section]) {
            entries[entry_name(section, entry)] = entry;
        }
    }
    return entries;
}

/// Formats the fields that differ, such as `timeout "1s" -> "2s"`; an absent field is "default".
std::string changed_fields(const nlohmann::json& before, const nlohmann::json& after)
{
    std::string text;
    const auto add = [&text](const std::string& key, const std::string& from,
                             const std::string& to) {
        text += fmt::format("{}{} {} -> {}", text.empty() ? "" : ", ", key, from, to);
    };
    for (auto field = before.begin(); field != before.end(); ++field) {
        const bool kept = after.contains(field.key());
        if (!kept || after[field.key()] != *field) {
            add(field.key(), field->dump(), kept ? after[field.key()].dump() : "default");
        }
    }
    for (auto field = after.begin(); field != after.end(); ++field) {
        if (!before.contains(field.key())) {
            add(field.key(), "default", field->dump());
        }
    }
    return text;
}

} // namespace

std::vector<entry_change> diff_subtrees(const nlohmann::json& before, const nlohmann::json& after)
{
    std::vector<entry_change> changes;
    for (const std::string section : sections) {
        const std::map<std::string, nlohmann::json> old_entries = entries_of(before, section);
        const std::map<std::string, nlohmann::json> new_entries = entries_of(after, section);
        for (const std::pair<const std::string, nlohmann::json>& entry : old_entries) {
            const auto kept = new_entries.find(entry.first);
            if (kept == new_entries.end()) {
                changes.push_back({section, entry.first, entry.second, nullptr});
            }
            else if (kept->second != entry.second) {
                changes.push_back({section, entry.first, entry.second, kept->second});
            }
        }
        for (const std::pair<const std::string, nlohmann::json>& entry : new_entries) {
            if (old_entries.count(entry.first) == 0) {
                changes.push_back({section, entry.first, nullptr, entry.second});
            }
        }
    }
    return changes;
}

std::string describe_change(const entry_change& change)
{
    if (change.before.is_null()) {
        return fmt::format("+ {} {}: {}", change.section, change.name, change.after.dump());
    }
    if (change.after.is_null()) {
        return fmt::format("- {} {}: {}", change.section, change.name, change.before.dump());
    }
    return fmt::format("~ {} {}: {}", change.section, change.name,
                       changed_fields(change.before, change.after));
}

} // namespace agatespread::detail
