#include "field_reader.h"

#include <agatespread/snapshot.h>

#include <fmt/format.h>

#include <algorithm>

namespace agatespread {

namespace {

std::string qualified_name(const service_name& name)
{
    return fmt::format("{}.{}", name.service, name.fleet);
}

/// Converts a host to lower case and removes its port.
std::string normalize_host(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                    : character;
    });
    return result;
}

std::string_view without_query(std::string_view path)
{
    return path.substr(0, path.find_first_of("?#"));
}

bool prefix_matches(std::string_view prefix, std::string_view path)
{
    if (prefix == "/") {
        return !path.empty() && path.front() == '/';
    }
    return path.substr(0, prefix.size()) == prefix &&
           (path.size() == prefix.size() || path[prefix.size()] == '/');
}

/// Lists the qualified names under which any fleet defines the service.
std::string list_candidates(const std::string& service,
                            const std::map<service_name, std::string>& services)
{
    std::string text;
    for (const std::pair<const service_name, std::string>& entry : services) {
        if (entry.first.service == service) {
            text += (text.empty() ? "" : ", ") + qualified_name(entry.first);
        }
    }
    return text;
}

absl::Status not_found(std::string_view reason, const std::string& message)
{
    return layer_error(absl::StatusCode::kNotFound, "snapshot", reason, message);
}

} // namespace

absl::StatusOr<service_name> snapshot::find_service(std::string_view caller_fleet,
                                                    std::string_view host) const
{
    const std::string fleet(caller_fleet);
    const std::string name = normalize_host(host);
    const std::size_t dot = name.find('.');
    const std::string service = name.substr(0, dot);
    const auto imported = imports_.find(fleet);
    if (dot == std::string::npos) {
        const service_name own{fleet, service};
        if (tenants_.count(own) != 0) {
            return own;
        }
        if (imported != imports_.end()) {
            const auto alias = imported->second.find(service);
            if (alias != imported->second.end()) {
                return alias->second;
            }
        }
    }
    else {
        const service_name qualified{name.substr(dot + 1), service};
        const bool exists = tenants_.count(qualified) != 0;
        if (exists && qualified.fleet == fleet) {
            return qualified;
        }
        if (exists && imported != imports_.end() &&
            std::any_of(imported->second.begin(), imported->second.end(),
                        [&](const std::pair<const std::string, service_name>& entry) {
                            return entry.second == qualified;
                        })) {
            return qualified;
        }
    }
    const std::string candidates = list_candidates(service, tenants_);
    if (candidates.empty()) {
        return not_found("unknown_service",
                         fmt::format("no fleet has the service {}", detail::quote_text(service)));
    }
    return not_found("not_imported",
                     fmt::format("fleet {} neither has nor imports the service {}; candidates: {}",
                                 fleet, detail::quote_text(name), candidates));
}

absl::StatusOr<std::shared_ptr<const route>>
snapshot::resolve(std::string_view caller_fleet, std::string_view host, std::string_view path) const
{
    const absl::StatusOr<service_name> service = find_service(caller_fleet, host);
    if (!service.ok()) {
        return service.status();
    }
    const auto routes = routes_by_service_.find(*service);
    if (routes != routes_by_service_.end()) {
        // The routes of a service are sorted by descending prefix length.
        for (const std::shared_ptr<const route>& candidate : routes->second) {
            if (prefix_matches(candidate->prefix, without_query(path))) {
                return candidate;
            }
        }
    }
    return not_found("no_route", fmt::format("the service {} has no route for the path {}",
                                             qualified_name(*service), detail::quote_text(path)));
}

std::vector<std::string> snapshot::explain(std::string_view caller_fleet, std::string_view host,
                                           std::string_view path) const
{
    std::vector<std::string> lines;
    lines.push_back(fmt::format("version {}: caller fleet {}, service {}, path {}", version_,
                                caller_fleet, detail::quote_text(host), detail::quote_text(path)));
    const absl::StatusOr<service_name> service = find_service(caller_fleet, host);
    if (!service.ok()) {
        lines.push_back("refused: " + std::string(service.status().message()));
        return lines;
    }
    lines.push_back(fmt::format("service {} of tenant {}, {}", qualified_name(*service),
                                tenants_.at(*service),
                                service->fleet == caller_fleet ? "defined in the caller's fleet"
                                                               : "imported by the caller's fleet"));
    const auto routes = routes_by_service_.find(*service);
    if (routes != routes_by_service_.end()) {
        for (const std::shared_ptr<const route>& candidate : routes->second) {
            const bool match = prefix_matches(candidate->prefix, without_query(path));
            lines.push_back(fmt::format("prefix {}: {}", candidate->prefix,
                                        match ? "matches" : "does not match"));
            if (match) {
                break;
            }
        }
    }
    const absl::StatusOr<std::shared_ptr<const route>> found = resolve(caller_fleet, host, path);
    if (!found.ok()) {
        lines.push_back("refused: " + std::string(found.status().message()));
        return lines;
    }
    const route& chosen = **found;
    lines.push_back(fmt::format("route of subtree {}: timeout {}ms, {}", chosen.subtree,
                                chosen.timeout.count(),
                                chosen.idempotent ? "retried as idempotent" : "never retried"));
    lines.push_back(fmt::format("cluster {}: policy {}, at most {}% ejected",
                                chosen.destination->name, chosen.destination->policy,
                                chosen.destination->max_ejected_percent));
    lines.push_back(fmt::format("class {}: priority {}, deadline {}ms, once {}",
                                chosen.assigned_class->name, chosen.assigned_class->priority,
                                chosen.assigned_class->deadline.count(),
                                chosen.assigned_class->once));
    return lines;
}

} // namespace agatespread
