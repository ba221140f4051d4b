#pragma once

#include <agatespread/base.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace agatespread {

/// A service, qualified by its fleet.
struct service_name {
    std::string fleet;
    std::string service;

    friend bool operator==(const service_name& left, const service_name& right)
    {
        return left.fleet == right.fleet && left.service == right.service;
    }
    friend bool operator<(const service_name& left, const service_name& right)
    {
        return std::tie(left.fleet, left.service) < std::tie(right.fleet, right.service);
    }
};

/// A request class with defaults applied.
struct request_class {
    std::string name;
    std::uint8_t priority = 5; ///< 0 is the highest priority, 9 the lowest.
    std::chrono::milliseconds deadline = std::chrono::seconds(1);
    bool once = false; ///< Requests are executed at most once.
};

/// A cluster with defaults applied and its service resolved.
struct cluster {
    std::string name; ///< Qualified by the subtree, such as "nile-soy/rounds/rounds-all".
    service_name service;
    std::string policy = "least_loaded";
    std::uint8_t max_ejected_percent = 30;
};

/// A route with defaults applied and its references resolved.
struct route {
    std::string subtree;
    std::string tenant;
    service_name service;
    std::string prefix = "/";
    std::chrono::milliseconds timeout = std::chrono::seconds(1);
    bool idempotent = false;
    std::shared_ptr<const cluster> destination;
    std::shared_ptr<const request_class> assigned_class;
};

/// An immutable, validated configuration of all fleets.
class snapshot {
public:
    config_version version() const { return version_; }
    const std::string& manifest_id() const { return manifest_id_; }

    /// Resolves a host name in the scope of the caller's fleet.
    ///
    /// `host` is "service" or "service.fleet", with an optional port. Services of the caller's
    /// fleet take precedence over its imports. Errors carry the reason "unknown_service" or
    /// "not_imported".
    absl::StatusOr<service_name> find_service(std::string_view caller_fleet,
                                              std::string_view host) const;

    /// Returns the route of the service whose prefix is the longest match for the path.
    ///
    /// Errors are those of `find_service` and "no_route".
    absl::StatusOr<std::shared_ptr<const route>>
    resolve(std::string_view caller_fleet, std::string_view host, std::string_view path) const;

    /// Describes the resolution of a call, one line per step.
    std::vector<std::string> explain(std::string_view caller_fleet, std::string_view host,
                                     std::string_view path) const;

    const std::vector<std::shared_ptr<const route>>& routes() const { return routes_; }

private:
    friend class snapshot_builder;

    config_version version_ = 0;
    std::string manifest_id_;
    std::vector<std::shared_ptr<const route>> routes_;
    std::map<service_name, std::vector<std::shared_ptr<const route>>> routes_by_service_;
    std::map<service_name, std::string> tenants_;
    std::map<std::string, std::map<std::string, service_name>> imports_; ///< Aliases by fleet.
};

} // namespace agatespread
