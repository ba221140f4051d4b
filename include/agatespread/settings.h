#pragma once

#include <agatespread/base.h>
#include <agatespread/wire.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// A key that authenticates and authorizes the calls of an operator.
struct operator_key {
    std::string id;
    std::string secret;
    std::vector<std::string> subtrees; ///< That it may change: "FLEET/TEAM", "FLEET/*" or "*".
    bool may_drain = false;
};

/// The settings of a node.
struct node_settings {
    node_id node;
    std::string failure_domain;
    std::string fleet; ///< Fleet in which the service names of local calls are resolved.
    std::string mesh_address = "127.0.0.1:0";
    std::string inbound_address = "127.0.0.1:0";
    std::string peer_address = "127.0.0.1:0";
    std::string operator_address = "127.0.0.1:0";
    std::vector<std::string> seeds; ///< Addresses of peers that the node contacts to join the mesh.
    std::vector<frame_key> peer_keys;
    std::vector<operator_key> operator_keys;
    std::string distribution = "tree"; ///< Name of a registered distribution: "tree" or "naive".
    std::string platform_driver = "http";
    std::string platform_address;
    std::uint32_t data_threads = 2;
    std::chrono::milliseconds probe_period = std::chrono::seconds(1);
    std::chrono::milliseconds head_poll_period = std::chrono::seconds(1);
    std::chrono::milliseconds announce_period = std::chrono::seconds(1);
    std::chrono::milliseconds shutdown_deadline = std::chrono::seconds(30);
    std::uint32_t queue_length = 100;
    std::uint32_t connections_per_upstream = 100;
    std::size_t max_body_bytes = 8U << 20U;
    bool fault_injection = false; ///< Serves POST /v1/faults, for tests.
    std::string log_level = "info";
};

/// The description of a settings key for the reference page.
struct setting_description {
    std::string key;
    std::string unit;
    std::string default_value;
    std::string allowed;
    std::string meaning;
};

/// Parses settings from YAML; an error message contains the file, the key, the value and what is
/// allowed.
absl::StatusOr<node_settings> parse_settings(std::string_view yaml, std::string_view file);

/// Reads settings from a YAML file; a file that cannot be read gives the reason "unreadable".
absl::StatusOr<node_settings> load_settings(const std::string& file);

/// Returns the descriptions of all keys, in the order of the reference page.
///
/// `parse_settings` takes its defaults from the same table; a key without a default is required.
const std::vector<setting_description>& setting_descriptions();

/// Generates the reference page `docs/settings.md`.
std::string settings_reference();

} // namespace agatespread
