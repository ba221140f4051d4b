#include "address.h"
#include "field_reader.h"
#include "yaml_reader.h"

#include <agatespread/settings.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

namespace agatespread {

namespace {

using detail::document_errors;
using detail::mapping_reader;
using detail::quote_text;

constexpr std::size_t max_settings_bytes = 1U << 20U;
constexpr std::size_t max_list_elements = 1000;

/// Validates a value and assigns it to a field of the settings; `path` is the key in errors.
using assigner = std::function<void(const nlohmann::json& value, const std::string& path,
                                    node_settings& settings, document_errors& errors)>;

/// A settings key in the table from which the parser and the reference page are generated.
struct setting {
    setting_description description;
    nlohmann::json default_value; ///< Null for a required key.
    assigner assign;
};

std::string shown_default(const nlohmann::json& value)
{
    return value.is_null()     ? std::string()
           : value.is_string() ? value.get<std::string>()
                               : value.dump();
}

setting make_setting(std::string key, std::string unit, nlohmann::json default_value,
                     std::string allowed, std::string meaning, assigner assign)
{
    return {{std::move(key), std::move(unit), shown_default(default_value), std::move(allowed),
             std::move(meaning)},
            std::move(default_value),
            std::move(assign)};
}

/// Makes a setting with a string value.
setting text_setting(std::string key, nlohmann::json default_value, std::string allowed,
                     std::string meaning, std::string node_settings::*field,
                     std::function<bool(std::string_view)> is_valid)
{
    assigner assign = [field, is_valid = std::move(is_valid),
                       allowed](const nlohmann::json& value, const std::string& path,
                                node_settings& settings, document_errors& errors) {
        if (!value.is_string() || !is_valid(value.get_ref<const std::string&>())) {
            errors.add(path, detail::format_value(value), allowed);
            return;
        }
        settings.*field = value.get<std::string>();
    };
    return make_setting(std::move(key), "", std::move(default_value), std::move(allowed),
                        std::move(meaning), std::move(assign));
}

setting name_setting(std::string key, std::string meaning, std::string node_settings::*field)
{
    return text_setting(std::move(key), nullptr, std::string(detail::name_form), std::move(meaning),
                        field, detail::is_name);
}

/// Makes a setting for a listening address; an `advertised` one must be reachable for other nodes.
setting listener_setting(std::string key, std::string meaning, std::string node_settings::*field,
                         bool advertised)
{
    return text_setting(std::move(key), "127.0.0.1:0",
                        advertised ? "IP:port; port 0 picks a free one; no unspecified IP, because "
                                     "other nodes connect to it"
                                   : "IP:port; port 0 picks a free one",
                        std::move(meaning), field, [advertised](std::string_view text) {
                            const std::optional<detail::ip_address> address =
                                detail::parse_address(text);
                            return address && !(advertised && address->is_unspecified);
                        });
}

bool is_remote_address(std::string_view text)
{
    const std::optional<detail::ip_address> address = detail::parse_address(text);
    return address && address->port != 0 && !address->is_unspecified;
}

setting duration_setting(std::string key, const std::string& default_value,
                         std::chrono::milliseconds low, std::chrono::milliseconds high,
                         std::string meaning, std::chrono::milliseconds node_settings::*field)
{
    const std::string allowed =
        fmt::format("{}ms to {}ms, with the unit", low.count(), high.count());
    return make_setting(std::move(key), "ms or s", default_value, allowed, std::move(meaning),
                        [=](const nlohmann::json& value, const std::string& path,
                            node_settings& settings, document_errors& errors) {
                            const std::optional<std::chrono::milliseconds> parsed =
                                value.is_string()
                                    ? detail::parse_duration(value.get_ref<const std::string&>())
                                    : std::nullopt;
                            if (!parsed || *parsed < low || *parsed > high) {
                                errors.add(path, detail::format_value(value), allowed);
                                return;
                            }
                            settings.*field = *parsed;
                        });
}

setting count_setting(std::string key, std::uint32_t default_value, std::uint32_t low,
                      std::uint32_t high, std::string meaning, std::uint32_t node_settings::*field)
{
    const std::string allowed = fmt::format("an integer from {} to {}", low, high);
    return make_setting(std::move(key), "", default_value, allowed, std::move(meaning),
                        [=](const nlohmann::json& value, const std::string& path,
                            node_settings& settings, document_errors& errors) {
                            const std::optional<std::uint64_t> number =
                                detail::non_negative_integer(value);
                            if (!number || *number < low || *number > high) {
                                errors.add(path, detail::format_value(value), allowed);
                                return;
                            }
                            settings.*field = static_cast<std::uint32_t>(*number);
                        });
}

setting size_setting(std::string key, const std::string& default_value, std::uint64_t low,
                     std::uint64_t high, std::string meaning, std::size_t node_settings::*field)
{
    const std::string allowed =
        fmt::format("{}KiB to {}MiB, with the unit", low >> 10U, high >> 20U);
    return make_setting(std::move(key), "B, KiB or MiB", default_value, allowed, std::move(meaning),
                        [=](const nlohmann::json& value, const std::string& path,
                            node_settings& settings, document_errors& errors) {
                            const std::optional<std::uint64_t> parsed =
                                value.is_string()
                                    ? detail::parse_size(value.get_ref<const std::string&>())
                                    : std::nullopt;
                            if (!parsed || *parsed < low || *parsed > high) {
                                errors.add(path, detail::format_value(value), allowed);
                                return;
                            }
                            settings.*field = static_cast<std::size_t>(*parsed);
                        });
}

setting flag_setting(std::string key, bool default_value, std::string meaning,
                     bool node_settings::*field)
{
    return make_setting(std::move(key), "", default_value, "true or false", std::move(meaning),
                        [field](const nlohmann::json& value, const std::string& path,
                                node_settings& settings, document_errors& errors) {
                            if (!value.is_boolean()) {
                                errors.add(path, detail::format_value(value), "true or false");
                                return;
                            }
                            settings.*field = value.get<bool>();
                        });
}

/// Checks the type and length of a list and calls `visit` with each element and its path.
void for_each_element(const nlohmann::json& value, const std::string& path, std::size_t low,
                      document_errors& errors,
                      const std::function<void(const nlohmann::json&, const std::string&)>& visit)
{
    if (!value.is_array() || value.size() < low || value.size() > max_list_elements) {
        errors.add(path,
                   value.is_array() ? fmt::format("a list of {}", value.size())
                                    : std::string(detail::kind_name(value)),
                   fmt::format("a list of {} to {} elements", low, max_list_elements));
        return;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        visit(value[i], fmt::format("{}[{}]", path, i));
    }
}

/// Calls `visit` with each key of a list and its path. Errors do not contain an element that is not
/// a mapping, because it may be a secret.
void for_each_key(const nlohmann::json& value, const std::string& path, std::size_t low,
                  const std::vector<std::string_view>& keys, document_errors& errors,
                  const std::function<void(const mapping_reader&, const std::string&)>& visit)
{
    for_each_element(value, path, low, errors,
                     [&](const nlohmann::json& element, const std::string& element_path) {
                         if (!element.is_object()) {
                             errors.add(element_path, detail::kind_name(element),
                                        "a mapping with id and secret");
                             return;
                         }
                         visit(mapping_reader(element, element_path, keys, errors), element_path);
                     });
}

void assign_seeds(const nlohmann::json& value, const std::string& path, node_settings& settings,
                  document_errors& errors)
{
    settings.seeds.clear();
    for_each_element(
        value, path, 0, errors,
        [&](const nlohmann::json& element, const std::string& element_path) {
            if (!element.is_string() || !is_remote_address(element.get_ref<const std::string&>())) {
                errors.add(element_path, detail::format_value(element), "IP:port of a peer");
                return;
            }
            settings.seeds.push_back(element.get<std::string>());
        });
}

/// Reads a secret; errors do not contain its value.
std::string read_secret(const mapping_reader& fields)
{
    constexpr std::size_t min_length = 16;
    constexpr std::size_t max_length = 256;
    const nlohmann::json* value = fields.find("secret");
    if (value != nullptr && value->is_string()) {
        const std::string& text = value->get_ref<const std::string&>();
        if (text.size() >= min_length && text.size() <= max_length) {
            return text;
        }
    }
    fields.errors().add(fields.path_of("secret"),
                        value == nullptr ? "no value" : "the value (not shown)",
                        fmt::format("text of {} to {} bytes", min_length, max_length));
    return {};
}

/// Records an error for a key id that occurs more than once in the list.
void check_key_id(std::set<std::string>& seen_ids, const std::string& id, const std::string& path,
                  document_errors& errors)
{
    if (errors.ok() && !seen_ids.insert(id).second) {
        errors.add(path + ".id", quote_text(id), "each key id is used once");
    }
}

void assign_peer_keys(const nlohmann::json& value, const std::string& path, node_settings& settings,
                      document_errors& errors)
{
    settings.peer_keys.clear();
    std::set<std::string> ids;
    for_each_key(value, path, 1, {"id", "secret"}, errors,
                 [&](const mapping_reader& fields, const std::string& element_path) {
                     frame_key key{fields.name("id"), read_secret(fields)};
                     check_key_id(ids, key.id, element_path, errors);
                     settings.peer_keys.push_back(std::move(key));
                 });
}

bool is_subtree_pattern(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos) {
        return text == "*";
    }
    const std::string_view team = text.substr(slash + 1);
    return detail::is_name(text.substr(0, slash)) && (team == "*" || detail::is_name(team));
}

operator_key read_operator_key(const mapping_reader& fields)
{
    operator_key key{fields.name("id"), read_secret(fields), {}, false};
    key.may_drain = fields.boolean("may_drain", false);
    fields.for_each("subtrees", [&](const nlohmann::json& pattern,
                                    const std::string& element_path) {
        if (!pattern.is_string() || !is_subtree_pattern(pattern.get_ref<const std::string&>())) {
            fields.errors().add(element_path, detail::format_value(pattern),
                                "FLEET/TEAM, FLEET/* or *");
            return;
        }
        key.subtrees.push_back(pattern.get<std::string>());
    });
    return key;
}

void assign_operator_keys(const nlohmann::json& value, const std::string& path,
                          node_settings& settings, document_errors& errors)
{
    settings.operator_keys.clear();
    std::set<std::string> ids;
    for_each_key(value, path, 0, {"id", "secret", "subtrees", "may_drain"}, errors,
                 [&](const mapping_reader& fields, const std::string& element_path) {
                     operator_key key = read_operator_key(fields);
                     check_key_id(ids, key.id, element_path, errors);
                     settings.operator_keys.push_back(std::move(key));
                 });
}

bool is_registration_name(std::string_view text)
{
    return detail::is_name(text);
}

bool is_log_level(std::string_view text)
{
    constexpr std::array<std::string_view, 5> levels{"trace", "debug", "info", "warn", "error"};
    return std::find(levels.begin(), levels.end(), text) != levels.end();
}

std::vector<setting> identity_settings()
{
    return {
        name_setting("node",
                     "the identity of the node, unique in the mesh and kept across restarts",
                     &node_settings::node),
        name_setting("failure_domain", "the failure domain of the target",
                     &node_settings::failure_domain),
        name_setting("fleet", "the fleet in which the service names of local calls are resolved",
                     &node_settings::fleet),
    };
}

std::vector<setting> address_settings()
{
    return {
        listener_setting("mesh_address", "listens for local callers and for clients",
                         &node_settings::mesh_address, false),
        listener_setting("inbound_address", "listens for calls from other nodes",
                         &node_settings::inbound_address, true),
        listener_setting("peer_address", "listens for connections from other nodes",
                         &node_settings::peer_address, true),
        listener_setting("operator_address", "listens for operators and for the upstream",
                         &node_settings::operator_address, false),
        make_setting("seeds", "", nlohmann::json::array(), "a list of IP:port",
                     "addresses of peers that the node contacts to join the mesh", assign_seeds),
        make_setting(
            "peer_keys", "", nullptr,
            "a list of {id, secret}, at least one, secrets of 16 to 256 bytes",
            "keys that authenticate frames between nodes; all are accepted, the first one signs",
            assign_peer_keys),
        make_setting("operator_keys", "", nlohmann::json::array(),
                     "a list of {id, secret, subtrees, may_drain}; subtrees are FLEET/TEAM, "
                     "FLEET/* or *",
                     "keys of operators, with the subtrees that each may change",
                     assign_operator_keys),
        text_setting("distribution", "tree", "the name of a registered distribution: tree or naive",
                     "how versions are distributed to this node; naive polls the platform and is "
                     "the baseline",
                     &node_settings::distribution, is_registration_name),
        text_setting("platform_driver", "http", "the name of a registered driver",
                     "the driver that connects to the platform", &node_settings::platform_driver,
                     is_registration_name),
        text_setting("platform_address", nullptr, "IP:port", "the address of the platform",
                     &node_settings::platform_address, is_remote_address),
    };
}

std::vector<setting> time_settings()
{
    using std::chrono::milliseconds;
    return {
        duration_setting("probe_period", "1s", milliseconds(10), milliseconds(60000),
                         "interval between two probes of members", &node_settings::probe_period),
        duration_setting("head_poll_period", "1s", milliseconds(10), milliseconds(60000),
                         "interval at which a reader polls the head",
                         &node_settings::head_poll_period),
        duration_setting(
            "announce_period", "1s", milliseconds(10), milliseconds(60000),
            "interval between two announcements of the upstream; after three missed ones "
            "it is considered gone",
            &node_settings::announce_period),
        duration_setting("shutdown_deadline", "30s", milliseconds(0), milliseconds(600000),
                         "maximum time that a shutdown waits for requests in flight",
                         &node_settings::shutdown_deadline),
    };
}

std::vector<setting> limit_settings()
{
    return {
        count_setting("data_threads", 2, 1, 64, "number of threads that process requests",
                      &node_settings::data_threads),
        count_setting("queue_length", 100, 0, 100000,
                      "maximum number of requests that wait for a slot",
                      &node_settings::queue_length),
        count_setting("connections_per_upstream", 100, 1, 10000,
                      "maximum number of open connections to one upstream",
                      &node_settings::connections_per_upstream),
        size_setting("max_body_bytes", "8MiB", 1U << 10U, 256U << 20U,
                     "maximum size of a request or response body", &node_settings::max_body_bytes),
        flag_setting("fault_injection", false, "serves POST /v1/faults, for tests",
                     &node_settings::fault_injection),
        text_setting("log_level", "info", "trace, debug, info, warn or error",
                     "the lowest severity that is logged", &node_settings::log_level, is_log_level),
    };
}

std::vector<setting> make_settings_table()
{
    std::vector<setting> table;
    for (std::vector<setting> part :
         {identity_settings(), address_settings(), time_settings(), limit_settings()}) {
        std::move(part.begin(), part.end(), std::back_inserter(table));
    }
    return table;
}

const std::vector<setting>& settings_table()
{
    static const std::vector<setting> table = make_settings_table();
    return table;
}

} // namespace

absl::StatusOr<node_settings> parse_settings(std::string_view yaml, std::string_view file)
{
    document_errors errors(std::string(file), "settings");
    if (yaml.size() > max_settings_bytes) {
        errors.add("", fmt::format("a size of {} bytes", yaml.size()),
                   fmt::format("at most {} bytes", max_settings_bytes));
        return errors.status();
    }
    const absl::StatusOr<nlohmann::json> value = detail::read_yaml(yaml, file, "settings");
    if (!value.ok()) {
        return value.status();
    }
    std::vector<std::string_view> keys;
    for (const setting& entry : settings_table()) {
        keys.push_back(entry.description.key);
    }
    const mapping_reader document(*value, "", keys, errors);
    node_settings settings;
    for (const setting& entry : settings_table()) {
        const nlohmann::json* configured = document.find(entry.description.key);
        if (configured == nullptr && entry.default_value.is_null()) {
            errors.add(entry.description.key, "no value", "required: " + entry.description.allowed);
            continue;
        }
        entry.assign(configured != nullptr ? *configured : entry.default_value,
                     entry.description.key, settings, errors);
    }
    if (!errors.ok()) {
        return errors.status();
    }
    return settings;
}

absl::StatusOr<node_settings> load_settings(const std::string& file)
{
    errno = 0;
    std::ifstream stream(file, std::ios::binary);
    // Reads one byte more than allowed, to detect a file that is too large without reading all of
    // it.
    std::string text(max_settings_bytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!stream.is_open() || stream.bad()) {
        const std::string problem = errno != 0 ? std::strerror(errno) : "cannot be read";
        return layer_error(absl::StatusCode::kNotFound, "settings", "unreadable",
                           fmt::format("{}: {}", file, problem));
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return parse_settings(text, file);
}

const std::vector<setting_description>& setting_descriptions()
{
    static const std::vector<setting_description> descriptions = [] {
        std::vector<setting_description> result;
        for (const setting& entry : settings_table()) {
            result.push_back(entry.description);
        }
        return result;
    }();
    return descriptions;
}

// The keys are read by the adapter of the deployment's platform.
constexpr const char* sidecar_reference =
    "\n"
    "## Limits of a sidecar\n"
    "\n"
    "`agatespread-sidecar --config FILE` reads these optional keys; see "
    "[misbehaving-callers.md](design/misbehaving-callers.md).\n"
    "\n"
    "| key | unit | default | allowed | meaning |\n"
    "| --- | --- | --- | --- | --- |\n"
    "| `descriptors` |  | - | a whole number of at least 1000 | descriptors "
    "of the host; three fifths are for connections of callers, a fifth for those "
    "of other nodes, 2500 and 1000 without it; no more than the system allows the "
    "process |\n"
    "| `control_connections` |  | `32` | a whole number of at least 16 | "
    "descriptors for connections at each of the ports for readiness checks and "
    "heartbeats |\n"
    "| `min_bytes_per_second` | B/s | `65536` | a whole number of at least 1 | "
    "least mean rate of callers and other nodes that send a request of more than "
    "64 KB (required after `header_timeout`) or read a response (after "
    "`idle_timeout`) |\n";

std::string settings_reference()
{
    std::string page = "# Settings of a node\n\n"
                       "`agatespread-node --config FILE` reads these keys from one YAML mapping. "
                       "Unknown keys, anchors and aliases are refused. A key without default is "
                       "required. `agatespread-node --check-config --config FILE` only checks "
                       "the file.\n\n"
                       "| key | unit | default | allowed | meaning |\n"
                       "| --- | --- | --- | --- | --- |\n";
    for (const setting_description& entry : setting_descriptions()) {
        page +=
            fmt::format("| `{}` | {} | {} | {} | {} |\n", entry.key, entry.unit,
                        entry.default_value.empty() ? "required" : "`" + entry.default_value + "`",
                        entry.allowed, entry.meaning);
    }
    return page + sidecar_reference;
}

} // namespace agatespread
