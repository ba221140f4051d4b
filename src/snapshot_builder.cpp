#include "field_reader.h"
#include "subtree_document.h"

#include <agatespread/snapshot.h>
#include <agatespread/tree.h>

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <set>
#include <utility>

namespace agatespread {

namespace {

using detail::document_errors;
using detail::quote_text;
using detail::subtree_document;

absl::Status validation_error(std::string_view subtree, std::string_view path,
                              std::string_view value, std::string_view allowed)
{
    document_errors errors{std::string(subtree)};
    errors.add(path, value, allowed);
    return errors.status();
}

absl::Status not_canonical_error(std::string_view subtree)
{
    return validation_error(subtree, "", "the encoding",
                            "canonical JSON: sorted and unique keys, without white space");
}

/// Reads a stored document; the bytes are untrusted input.
absl::StatusOr<subtree_document> read_canonical(const std::string& subtree,
                                                const std::string& bytes)
{
    const nlohmann::json value = nlohmann::json::parse(bytes, nullptr, false);
    if (value.is_discarded()) {
        return not_canonical_error(subtree);
    }
    document_errors errors(subtree);
    subtree_document document = detail::read_subtree(value, errors);
    if (!errors.ok()) {
        return errors.status();
    }
    // A document with valid fields is shallow and safe to serialize. The parser drops duplicate
    // keys; only the comparison with the stored bytes detects them.
    if (value.dump() != bytes) {
        return not_canonical_error(subtree);
    }
    return document;
}

absl::Status check_sizes(const config_tree& tree)
{
    if (tree.size() > max_subtrees) {
        return validation_error("tree", "", fmt::format("a number of {} subtrees", tree.size()),
                                fmt::format("at most {}", max_subtrees));
    }
    std::size_t total = 0;
    for (const std::pair<const std::string, std::string>& entry : tree) {
        absl::Status path = check_subtree_path(entry.first);
        if (!path.ok()) {
            return path;
        }
        if (entry.second.size() > max_subtree_bytes) {
            return validation_error(entry.first, "",
                                    fmt::format("a size of {} bytes", entry.second.size()),
                                    fmt::format("at most {} bytes", max_subtree_bytes));
        }
        total += entry.second.size();
    }
    if (total > max_tree_bytes) {
        return validation_error("tree", "", fmt::format("a size of {} bytes", total),
                                fmt::format("at most {} bytes", max_tree_bytes));
    }
    return absl::OkStatus();
}

std::string fleet_of(const std::string& subtree)
{
    return subtree.substr(0, subtree.find('/'));
}

/// A named value and the subtree that defines it.
template <typename Value>
struct definition {
    std::string subtree;
    std::shared_ptr<const Value> value;
};

/// Values that the subtrees define, by fleet and name.
template <typename Value>
class definition_table {
public:
    void add(const std::string& subtree, const std::string& name,
             std::shared_ptr<const Value> value)
    {
        definitions_[{fleet_of(subtree), name}].push_back({subtree, std::move(value)});
    }

    /// Looks up a name in the subtree, then in its fleet. Error messages contain `kind`.
    absl::StatusOr<std::shared_ptr<const Value>> find(const std::string& subtree,
                                                      const std::string& name,
                                                      const std::string& path,
                                                      std::string_view kind) const
    {
        const auto found = definitions_.find({fleet_of(subtree), name});
        if (found == definitions_.end()) {
            return validation_error(subtree, path, quote_text(name),
                                    fmt::format("a {} that exists in the subtree or the fleet {}",
                                                kind, fleet_of(subtree)));
        }
        for (const definition<Value>& candidate : found->second) {
            if (candidate.subtree == subtree) {
                return candidate.value;
            }
        }
        if (found->second.size() > 1) {
            return validation_error(
                subtree, path, quote_text(name),
                fmt::format("a {0} of one meaning, but both {1}/{3} and {2}/{3} exist", kind,
                            found->second[0].subtree, found->second[1].subtree, name));
        }
        return found->second.front().value;
    }

private:
    std::map<std::pair<std::string, std::string>, std::vector<definition<Value>>> definitions_;
};

} // namespace

/// Merges the documents of a tree and resolves all references between them.
class snapshot_builder {
public:
    absl::Status add(const std::string& subtree, const std::string& bytes)
    {
        absl::StatusOr<subtree_document> document = read_canonical(subtree, bytes);
        if (!document.ok()) {
            return document.status();
        }
        documents_.emplace(subtree, *std::move(document));
        return absl::OkStatus();
    }

    absl::Status resolve()
    {
        using step =
            absl::Status (snapshot_builder::*)(const std::string&, const subtree_document&);
        // Each step resolves names that earlier steps collected from all subtrees.
        for (const step next : {&snapshot_builder::add_services, &snapshot_builder::add_imports,
                                &snapshot_builder::add_clusters, &snapshot_builder::add_classes,
                                &snapshot_builder::add_routes}) {
            for (const std::pair<const std::string, subtree_document>& entry : documents_) {
                absl::Status status = (this->*next)(entry.first, entry.second);
                if (!status.ok()) {
                    return status;
                }
            }
        }
        return absl::OkStatus();
    }

    std::shared_ptr<const snapshot> finish(config_version version, std::string manifest_id)
    {
        result_->version_ = version;
        result_->manifest_id_ = std::move(manifest_id);
        for (std::pair<const service_name, std::vector<std::shared_ptr<const route>>>& entry :
             result_->routes_by_service_) {
            std::stable_sort(entry.second.begin(), entry.second.end(),
                             [](const std::shared_ptr<const route>& left,
                                const std::shared_ptr<const route>& right) {
                                 return left->prefix.size() > right->prefix.size();
                             });
        }
        return result_;
    }

private:
    absl::Status add_services(const std::string& subtree, const subtree_document& document)
    {
        for (std::size_t i = 0; i < document.services.size(); ++i) {
            const detail::service_entry& entry = document.services[i];
            const service_name name{fleet_of(subtree), entry.name};
            const auto [owner, added] = owners_.emplace(name, subtree);
            if (!added) {
                return validation_error(
                    subtree, fmt::format("services[{}].name", i), quote_text(entry.name),
                    fmt::format("a service of one subtree, but both {0}/{2} and "
                                "{1}/{2} define it",
                                owner->second, subtree, entry.name));
            }
            result_->tenants_[name] = entry.tenant;
        }
        return absl::OkStatus();
    }

    absl::Status add_imports(const std::string& subtree, const subtree_document& document)
    {
        for (std::size_t i = 0; i < document.imports.size(); ++i) {
            absl::Status status =
                add_import(subtree, document.imports[i], fmt::format("imports[{}]", i));
            if (!status.ok()) {
                return status;
            }
        }
        return absl::OkStatus();
    }

    absl::Status add_import(const std::string& subtree, const detail::import_entry& entry,
                            const std::string& path)
    {
        const std::string fleet = fleet_of(subtree);
        const service_name imported{fleet_of(entry.from), entry.service};
        if (imported.fleet == fleet) {
            return validation_error(
                subtree, path + ".from", quote_text(entry.from),
                "a subtree of another fleet; services of the same fleet need no import");
        }
        const auto owner = owners_.find(imported);
        if (owner == owners_.end() || owner->second != entry.from) {
            return validation_error(subtree, path + ".service", quote_text(entry.service),
                                    fmt::format("a service that {} defines", entry.from));
        }
        if (owners_.count({fleet, entry.alias}) != 0) {
            return validation_error(
                subtree, path + ".as", quote_text(entry.alias),
                fmt::format("a name that does not hide a service of the own fleet, but "
                            "both {}/{} and {}/{} would have it",
                            owners_.at({fleet, entry.alias}), entry.alias, entry.from,
                            entry.service));
        }
        const auto [existing, added] = result_->imports_[fleet].emplace(entry.alias, imported);
        import_sources_.emplace(std::pair(fleet, entry.alias), entry.from);
        if (!added && !(existing->second == imported)) {
            return validation_error(
                subtree, path + ".as", quote_text(entry.alias),
                fmt::format("a name of one import of the fleet, but both {}/{} and "
                            "{}/{} would have it",
                            import_sources_.at({fleet, entry.alias}), existing->second.service,
                            entry.from, entry.service));
        }
        return absl::OkStatus();
    }

    absl::Status add_clusters(const std::string& subtree, const subtree_document& document)
    {
        for (std::size_t i = 0; i < document.clusters.size(); ++i) {
            const detail::cluster_entry& entry = document.clusters[i];
            const service_name service{fleet_of(subtree), entry.service};
            if (owners_.count(service) == 0) {
                return validation_error(subtree, fmt::format("clusters[{}].service", i),
                                        quote_text(entry.service),
                                        fmt::format("a service of the fleet {}", service.fleet));
            }
            clusters_.add(
                subtree, entry.name,
                std::make_shared<cluster>(cluster{subtree + "/" + entry.name, service, entry.policy,
                                                  entry.max_ejected_percent}));
        }
        return absl::OkStatus();
    }

    absl::Status add_classes(const std::string& subtree, const subtree_document& document)
    {
        for (const request_class& entry : document.classes) {
            classes_.add(subtree, entry.name, std::make_shared<request_class>(entry));
        }
        return absl::OkStatus();
    }

    absl::Status add_routes(const std::string& subtree, const subtree_document& document)
    {
        for (std::size_t i = 0; i < document.routes.size(); ++i) {
            absl::Status status =
                add_route(subtree, document.routes[i], fmt::format("routes[{}]", i));
            if (!status.ok()) {
                return status;
            }
        }
        return absl::OkStatus();
    }

    absl::StatusOr<std::shared_ptr<const request_class>>
    find_class(const std::string& subtree, const detail::route_entry& entry,
               const std::string& path) const
    {
        if (entry.class_name == detail::default_class_name) {
            return default_class_;
        }
        absl::StatusOr<std::shared_ptr<const request_class>> found =
            classes_.find(subtree, entry.class_name, path + ".class", "request class");
        if (found.ok() && (*found)->once && entry.idempotent) {
            return validation_error(
                subtree, path + ".retry", "\"idempotent\"",
                fmt::format("never, because the class {} runs a request at most once",
                            entry.class_name));
        }
        return found;
    }

    absl::Status add_route(const std::string& subtree, const detail::route_entry& entry,
                           const std::string& path)
    {
        const service_name service{fleet_of(subtree), entry.service};
        const auto owner = owners_.find(service);
        if (owner == owners_.end() || owner->second != subtree) {
            return validation_error(
                subtree, path + ".service", quote_text(entry.service),
                owner == owners_.end()
                    ? "a service that this subtree defines"
                    : fmt::format("a service that this subtree defines; {} owns it",
                                  owner->second));
        }
        const absl::StatusOr<std::shared_ptr<const cluster>> destination =
            clusters_.find(subtree, entry.cluster, path + ".cluster", "cluster");
        if (!destination.ok()) {
            return destination.status();
        }
        const absl::StatusOr<std::shared_ptr<const request_class>> assigned_class =
            find_class(subtree, entry, path);
        if (!assigned_class.ok()) {
            return assigned_class.status();
        }
        const std::shared_ptr<const route> added = std::make_shared<route>(
            route{subtree, result_->tenants_[service], service, entry.prefix, entry.timeout,
                  entry.idempotent, *destination, *assigned_class});
        result_->routes_.push_back(added);
        result_->routes_by_service_[service].push_back(added);
        return absl::OkStatus();
    }

    std::map<std::string, subtree_document> documents_;
    std::map<service_name, std::string> owners_; ///< Service to the subtree that defines it.
    std::map<std::pair<std::string, std::string>, std::string> import_sources_;
    definition_table<cluster> clusters_;
    definition_table<request_class> classes_;
    std::shared_ptr<const request_class> default_class_ = std::make_shared<request_class>(
        request_class{std::string(detail::default_class_name), 5, std::chrono::seconds(1), false});
    std::shared_ptr<snapshot> result_ = std::make_shared<snapshot>();
};

absl::StatusOr<std::shared_ptr<const snapshot>>
build_snapshot(const config_tree& tree, config_version version, std::string manifest_id)
{
    absl::Status status = check_sizes(tree);
    if (!status.ok()) {
        return status;
    }
    snapshot_builder builder;
    for (const std::pair<const std::string, std::string>& entry : tree) {
        status = builder.add(entry.first, entry.second);
        if (!status.ok()) {
            return status;
        }
    }
    status = builder.resolve();
    if (!status.ok()) {
        return status;
    }
    return builder.finish(version, std::move(manifest_id));
}

} // namespace agatespread
