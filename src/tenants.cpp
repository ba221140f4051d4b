#include <agatespread/digest.h>
#include <agatespread/tenants.h>

#include <fmt/format.h>

#include <utility>

namespace agatespread {

namespace {

absl::Status unusable(const std::string& name, std::string_view text)
{
    return layer_error(absl::StatusCode::kInvalidArgument, "tenants", "unusable_tenant",
                       fmt::format("tenant \"{}\": {}", name, text));
}

} // namespace

absl::Status tenant_directory::add(tenant_entry entry, const std::vector<std::string>& keys)
{
    if (entry.name.empty() || by_name_.count(entry.name) > 0) {
        return unusable(entry.name, "the name is empty or repeated");
    }
    if (!(entry.rate_per_second >= 0) || !(entry.burst >= 0)) {
        return unusable(entry.name, "rate and burst must be at least 0");
    }
    const std::shared_ptr<const tenant_entry> added =
        std::make_shared<const tenant_entry>(std::move(entry));
    for (const std::string& key : keys) {
        const auto known = by_digest_.find(sha256_hex(key));
        if (key.empty() || (known != by_digest_.end() && known->second != added)) {
            return unusable(added->name, "a key is empty or held by another tenant");
        }
    }
    for (const std::string& key : keys) {
        by_digest_[sha256_hex(key)] = added;
    }
    by_name_[added->name] = added;
    return absl::OkStatus();
}

std::shared_ptr<const tenant_entry> tenant_directory::find_by_key(std::string_view key) const
{
    const auto found = by_digest_.find(sha256_hex(key));
    return found == by_digest_.end() ? nullptr : found->second;
}

std::shared_ptr<const tenant_entry> tenant_directory::find(std::string_view name) const
{
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

} // namespace agatespread
