#pragma once

#include <agatespread/base.h>
#include <agatespread/http.h>
#include <agatespread/store.h>
#include <agatespread/tree.h>
#include <agatespread/wire.h>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// Sends one request and blocks until it completes; must not retry.
using operator_transport = std::function<http_result(const http_call&)>;

/// Returns a transport over libcurl's easy interface that ignores proxies and redirects.
operator_transport curl_transport();

/// The parsed content of a response and its JSON document.
template <typename Content>
struct operator_response {
    Content content;
    nlohmann::json document;
};

/// The result of an apply.
struct applied_version {
    config_version version = 0; ///< For a dry run, the version that the change was checked against.
    std::string change;
    bool repeated = false; ///< The change id had been accepted before.
    bool dry_run = false;
};

/// The subtrees of a version in canonical form.
struct shown_tree {
    config_version version = 0;
    config_tree subtrees;
};

/// The convergence of all failure domains.
struct mesh_status {
    config_version version = 0; ///< The highest version that any node has in force.
    std::vector<domain_summary> domains;
};

/// The address and credentials that a client uses.
struct operator_client_options {
    std::string node; ///< The operator address of a node, IP:port.
    std::string key_id;
    std::string secret;
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
};

/// Calls the operator API of one node.
///
/// Errors carry the layer "operator" and one of the reasons "conflict", "refused", "unauthorized",
/// "not_found", "unavailable" (nothing was changed) or "outcome_unknown" (a change may have taken
/// effect).
///
///     operator_client client({"127.0.0.1:9090", "alice", secret}, curl_transport(), clock,
///     random); absl::StatusOr<operator_response<mesh_status>> response = client.status();
class operator_client {
public:
    using wall_clock = std::function<std::chrono::system_clock::time_point()>;

    operator_client(operator_client_options options, operator_transport transport, wall_clock clock,
                    random_source random);

    /// Replaces a subtree; idempotent for the same change id.
    absl::StatusOr<operator_response<applied_version>>
    apply(std::string_view subtree, std::string_view change, std::string document, bool dry_run);

    /// Returns one subtree, or all of them for an empty path.
    absl::StatusOr<operator_response<shown_tree>> show(std::string_view subtree);

    /// Returns at most `limit` versions, newest first.
    absl::StatusOr<operator_response<std::vector<version_entry>>> history(std::size_t limit);

    /// Returns the convergence of all failure domains.
    absl::StatusOr<operator_response<mesh_status>> status();

    /// Returns how a request is routed, one step per line.
    absl::StatusOr<operator_response<std::vector<std::string>>>
    explain(std::string_view caller_fleet, std::string_view service, std::string_view path);

    /// Starts to drain the upstream of a target and returns the upstream's state.
    absl::StatusOr<operator_response<std::string>> drain(std::string_view target);

private:
    absl::StatusOr<nlohmann::json> read(const std::string& target);
    absl::StatusOr<nlohmann::json> change(const std::string& target, std::string body);
    http_call prepare(std::string method, const std::string& target, std::string body) const;

    operator_client_options options_;
    operator_transport transport_;
    wall_clock clock_;
    random_source random_;
};

} // namespace agatespread
