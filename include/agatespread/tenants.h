#pragma once

#include <agatespread/base.h>

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// A customer of the mesh, as one configuration version describes it.
struct tenant_entry {
    std::string name;
    std::optional<std::uint8_t> priority; ///< Takes precedence over the rule's; 0 is the highest.
    double rate_per_second = 0;           ///< Requests over all nodes; 0 means no limit.
    double burst = 0;                     ///< Requests beyond the rate.
};

/// The tenants of one configuration version and their keys.
///
/// Only digests of the keys are kept. A lookup takes equally long for known and unknown keys, as
/// both are hashed, so that response times tell nothing about the keys.
class tenant_directory {
public:
    /// Adds a tenant; an empty or repeated name, and a key that another tenant holds, are errors.
    absl::Status add(tenant_entry entry, const std::vector<std::string>& keys);

    /// Returns the tenant that holds a key, or null.
    std::shared_ptr<const tenant_entry> find_by_key(std::string_view key) const;

    /// Returns the tenant with a name, or null.
    std::shared_ptr<const tenant_entry> find(std::string_view name) const;

    std::size_t size() const { return by_name_.size(); }

    using tenants_by_name = std::map<std::string, std::shared_ptr<const tenant_entry>, std::less<>>;

    const tenants_by_name& by_name() const { return by_name_; }

private:
    tenants_by_name by_name_;
    absl::flat_hash_map<std::string, std::shared_ptr<const tenant_entry>> by_digest_;
};

} // namespace agatespread
