#pragma once

#include <agatespread/base.h>
#include <agatespread/tenants.h>

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatespread {

/// A service and its weight in the split of a rule's requests.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// How requests under one path prefix of a host are routed.
struct route_rule {
    std::string name;
    std::string prefix = "/";  ///< Begins and ends with a slash.
    bool idempotent = false;   ///< The requests may run more than once.
    std::uint8_t priority = 5; ///< 0 is the highest.
    std::chrono::milliseconds latency_objective{0};
    std::chrono::milliseconds timeout{0};
    std::uint32_t max_attempts = 1; ///< Upstreams to which one request may be sent.
    std::vector<weighted_service> services;
    bool uploads = false;   ///< The requests have large bodies.
    bool needs_key = false; ///< The requests carry a tenant's key.
};

/// The limits on the size and duration of a caller's requests.
struct caller_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 64U << 20U;
    std::chrono::milliseconds header_timeout = std::chrono::seconds(10);
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
};

/// Returns the host of a `Host` header in lower case and without its port.
std::string canonical_host(std::string_view host_header);

/// The rules of all hosts in one configuration version; not modified once the version is applied.
///
///     routing_table table(12, {});
///     absl::Status added = table.add("charts.example", rule);
///     std::shared_ptr<const route_rule> found = table.find("charts.example", "/view/2?page=1");
class routing_table {
public:
    routing_table(config_version version, const caller_limits& limits);

    /// Adds a rule; an invalid one is rejected with an error that states the reason.
    absl::Status add(std::string_view host, route_rule rule);

    config_version version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    std::size_t size() const { return size_; }

    /// Returns whether a rule takes uploads.
    bool has_uploads() const { return has_uploads_; }

    /// Sets the tenants; without them no rule asks for a key.
    void set_tenants(tenant_directory tenants) { tenants_ = std::move(tenants); }

    /// Returns whether the configuration has tenants, and thus keys.
    bool has_tenants() const { return tenants_.has_value(); }

    /// Returns the tenants, or null if the configuration has none.
    const tenant_directory* tenants() const { return tenants_ ? &*tenants_ : nullptr; }

    /// Adds a remark on a part of the configuration that this version of the code does not know.
    void add_remark(std::string text) { remarks_.push_back(std::move(text)); }

    /// Returns the remarks, for the log.
    const std::vector<std::string>& remarks() const { return remarks_; }

    /// Returns the rule with the longest prefix of the target's path, or null. The host may include
    /// a port and is compared without regard to case.
    std::shared_ptr<const route_rule> find(std::string_view host, std::string_view target) const;

private:
    using rules_by_prefix = std::unordered_map<std::string, std::shared_ptr<const route_rule>>;

    config_version version_;
    caller_limits limits_;
    std::size_t size_ = 0;
    bool has_uploads_ = false;
    std::optional<tenant_directory> tenants_;
    std::vector<std::string> remarks_;
    std::unordered_map<std::string, rules_by_prefix> hosts_;
};

/// Selects the service of each request by smooth weighted round-robin.
///
/// Each node keeps to the weights by itself, over a number of requests in the order of the sum of
/// the weights. Random initial weights keep the nodes from selecting the same service at the same
/// time.
class weighted_round_robin {
public:
    explicit weighted_round_robin(random_source random);

    /// Returns the index of the service for the rule's next request.
    std::size_t pick(const route_rule& rule);

    /// Returns what `pick` would return with this random source, without changing any state.
    std::size_t peek(const route_rule& rule, const random_source& random) const;

private:
    struct rule_state {
        std::vector<weighted_service> services;
        std::vector<std::int64_t> current_weights;
    };

    random_source random_;
    std::map<std::string, rule_state> states_;
};

} // namespace agatespread
