#include "subtree_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatespread::detail {

namespace {

constexpr std::chrono::milliseconds min_duration{1};
constexpr std::chrono::milliseconds max_duration = std::chrono::hours(1);

bool is_policy_name(std::string_view text)
{
    const bool valid_characters = std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '_';
    });
    return valid_characters && !text.empty() && text.size() <= 63 && text.front() >= 'a';
}

bool is_path_character(char character)
{
    constexpr std::string_view punctuation = "-._~!$&'()*+,;=:@%";
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           punctuation.find(character) != std::string_view::npos;
}

bool is_segment(std::string_view text)
{
    return !text.empty() && text != "." && text != ".." &&
           std::all_of(text.begin(), text.end(), is_path_character);
}

bool is_prefix(std::string_view text)
{
    if (text == "/") {
        return true;
    }
    if (text.empty() || text.size() > 1024 || text.front() != '/') {
        return false;
    }
    std::size_t begin = 1;
    std::size_t end = 0;
    do {
        end = std::min(text.find('/', begin), text.size());
        if (!is_segment(text.substr(begin, end - begin))) {
            return false;
        }
        begin = end + 1;
    } while (end < text.size());
    return true;
}

bool is_retry_policy(std::string_view text)
{
    return text == "idempotent" || text == "never";
}

bool is_class_name(std::string_view text)
{
    return is_name(text) && text != default_class_name;
}

/// Records an error for a name that occurs more than once in a list.
class unique_names {
public:
    explicit unique_names(document_errors& errors) : errors_(errors) {}

    void add(const std::string& path, const std::string& name)
    {
        const auto [entry, added] = paths_.emplace(name, path);
        if (!added) {
            errors_.add(path, quote_text(name),
                        fmt::format("it repeats {}, each name is used once", entry->second));
        }
    }

private:
    document_errors& errors_;
    std::map<std::string, std::string> paths_;
};

service_entry read_service(const mapping_reader& fields)
{
    return {fields.name("name"), fields.name("tenant")};
}

cluster_entry read_cluster(const mapping_reader& fields)
{
    const cluster defaults;
    cluster_entry entry;
    entry.name = fields.name("name");
    entry.service = fields.name("service");
    entry.policy = fields.has("policy")
                       ? fields.text("policy", is_policy_name,
                                     "the name of a load-balancing policy such as least_loaded")
                       : defaults.policy;
    entry.max_ejected_percent = fields.percent("max_ejected", defaults.max_ejected_percent);
    return entry;
}

route_entry read_route(const mapping_reader& fields)
{
    const route defaults;
    route_entry entry;
    entry.service = fields.name("service");
    entry.prefix = fields.has("prefix")
                       ? fields.text("prefix", is_prefix,
                                     "a path such as / or /stops, with no / at the end, no empty, "
                                     ". or .. segment and no query")
                       : defaults.prefix;
    entry.cluster = fields.name("cluster");
    entry.class_name = fields.has("class") ? fields.name("class") : std::string(default_class_name);
    entry.timeout = fields.duration("timeout", defaults.timeout, min_duration, max_duration);
    entry.idempotent = fields.has("retry") &&
                       fields.text("retry", is_retry_policy, "idempotent or never") == "idempotent";
    return entry;
}

request_class read_class(const mapping_reader& fields)
{
    request_class entry;
    entry.name = fields.text("name", is_class_name,
                             fmt::format("{}, other than {}", name_form, default_class_name));
    entry.priority = static_cast<std::uint8_t>(fields.integer("priority", entry.priority, 0, 9));
    entry.deadline = fields.duration("deadline", entry.deadline, min_duration, max_duration);
    entry.once = fields.boolean("once", entry.once);
    return entry;
}

import_entry read_import(const mapping_reader& fields)
{
    import_entry entry;
    entry.service = fields.name("service");
    entry.from = fields.text("from", is_subtree_path, "a subtree path FLEET/TEAM");
    entry.alias = fields.has("as") ? fields.name("as") : entry.service;
    return entry;
}

/// Reads a list of mappings and records an error for duplicate names.
template <typename Entry>
std::vector<Entry> read_list(const mapping_reader& document, std::string_view key,
                             const std::vector<std::string_view>& keys,
                             const std::function<Entry(const mapping_reader&)>& read,
                             const std::function<std::string(const Entry&)>& name_of,
                             document_errors& errors)
{
    std::vector<Entry> entries;
    unique_names names(errors);
    document.for_each(key, [&](const nlohmann::json& value, const std::string& path) {
        entries.push_back(read(mapping_reader(value, path, keys, errors)));
        if (errors.ok()) {
            names.add(path, name_of(entries.back()));
        }
    });
    return entries;
}

} // namespace

bool is_subtree_path(std::string_view text)
{
    const std::size_t slash = text.find('/');
    return slash != std::string_view::npos && is_name(text.substr(0, slash)) &&
           is_name(text.substr(slash + 1));
}

subtree_document read_subtree(const nlohmann::json& value, document_errors& errors)
{
    const mapping_reader document(value, "",
                                  {"services", "clusters", "routes", "classes", "imports"}, errors);
    subtree_document result;
    result.services = read_list<service_entry>(
        document, "services", {"name", "tenant"}, read_service,
        [](const service_entry& entry) { return entry.name; }, errors);
    result.clusters = read_list<cluster_entry>(
        document, "clusters", {"name", "service", "policy", "max_ejected"}, read_cluster,
        [](const cluster_entry& entry) { return entry.name; }, errors);
    result.routes = read_list<route_entry>(
        document, "routes", {"service", "prefix", "cluster", "class", "timeout", "retry"},
        read_route, [](const route_entry& entry) { return entry.service + entry.prefix; }, errors);
    result.classes = read_list<request_class>(
        document, "classes", {"name", "priority", "deadline", "once"}, read_class,
        [](const request_class& entry) { return entry.name; }, errors);
    result.imports = read_list<import_entry>(
        document, "imports", {"service", "from", "as"}, read_import,
        [](const import_entry& entry) { return entry.alias; }, errors);
    return result;
}

absl::StatusOr<std::string> canonical_document(const nlohmann::json& value, document_errors& errors)
{
    read_subtree(value, errors);
    if (!errors.ok()) {
        return errors.status();
    }
    return value.dump();
}

} // namespace agatespread::detail
