#pragma once

#include <agatespread/base.h>

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatespread {

/// A service and its share of a rule's requests.
struct service_share {
    std::string service;
    std::uint32_t weight = 1;
};

/// What the requests under one path prefix of a host need.
struct route_rule {
    std::string name;
    std::string prefix = "/";  ///< Begins and ends with a slash.
    bool idempotent = false;   ///< May run more than once.
    std::uint8_t priority = 5; ///< 0 is the most urgent.
    std::chrono::milliseconds latency_objective{0};
    std::chrono::milliseconds timeout{0};
    std::uint32_t max_attempts = 1; ///< Upstreams that one request may be sent to.
    std::vector<service_share> to;
};

/// What a caller may send and how long it may take.
struct caller_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 64U << 20U;
    std::chrono::milliseconds header_timeout = std::chrono::seconds(10);
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
};

/// The rules of all hosts in one version of the configuration; immutable once it is in force.
///
///     routing_table table(12, {});
///     absl::Status added = table.add("charts.example", rule);
///     std::shared_ptr<const route_rule> found = table.find("charts.example", "/view/2?page=1");
class routing_table {
public:
    routing_table(config_version version, const caller_limits& limits);

    /// Adds a rule; the error names what makes it unusable.
    absl::Status add(std::string_view host, route_rule rule);

    config_version version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    std::size_t size() const { return size_; }

    /// Returns the rule with the longest prefix of the target's path, or nothing. The host may
    /// carry a port and compares without regard to case.
    std::shared_ptr<const route_rule> find(std::string_view host, std::string_view target) const;

private:
    using rules_by_prefix = std::unordered_map<std::string, std::shared_ptr<const route_rule>>;

    config_version version_;
    caller_limits limits_;
    std::size_t size_ = 0;
    std::unordered_map<std::string, rules_by_prefix> hosts_;
};

/// Picks the service of each request so that every service gets its share.
///
/// The shares hold for each node alone, over a number of requests in the order of the sum of the
/// weights; a random start keeps nodes from picking the same service at the same moment.
class share_picker {
public:
    explicit share_picker(random_source random);

    /// Returns the index of the service that the rule's next request goes to.
    std::size_t pick(const route_rule& rule);

private:
    struct shares {
        std::vector<service_share> of;
        std::vector<std::int64_t> credit;
    };

    random_source random_;
    std::map<std::string, shares> rules_;
};

} // namespace agatespread
