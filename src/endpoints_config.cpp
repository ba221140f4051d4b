#include "apply_job.h"
#include "operator_server.h"
#include "state_names.h"
#include "unix_time.h"

#include <agatespread/digest.h>
#include <agatespread/tree.h>

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace agatespread {

namespace {

constexpr std::size_t max_history_limit = 1000;
constexpr std::size_t default_history_limit = 20;
constexpr std::size_t max_change_id_length = 64;

std::string query_value(const operator_call& call, const std::string& name)
{
    const auto found = call.query.find(name);
    return found == call.query.end() ? std::string() : found->second;
}

bool is_valid_change_id(const std::string& id)
{
    return !id.empty() && id.size() <= max_change_id_length &&
           std::all_of(id.begin(), id.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_';
           });
}

void respond_to_apply(operator_context& context, http_exchange& exchange,
                      const absl::StatusOr<apply_result>& result)
{
    if (!result.ok()) {
        const std::string reason = reason_of(result.status(), "store");
        context.metric_registry
            .counter_of("agatespread_changes_refused_total",
                        {{"reason", reason.empty() ? "invalid" : reason}})
            .add();
        respond_status(exchange, result.status());
        return;
    }
    if (result->dry_run) {
        respond_json(exchange, 200,
                     {{"version", result->accepted.accepted.version}, {"dry_run", true}});
        return;
    }
    const std::int64_t accepted_at = detail::unix_milliseconds(context.wall_clock());
    if (!result->accepted.repeated) {
        context.metric_registry.counter_of("agatespread_changes_accepted_total").add();
        context.control.on_change_committed(result->accepted.accepted, result->committed);
    }
    respond_json(exchange, 200,
                 {{"version", result->accepted.accepted.version},
                  {"change", result->accepted.accepted.change_id},
                  {"repeated", result->accepted.repeated},
                  {"accepted_unix_ms", accepted_at}});
}

void apply(operator_context& context, const operator_call& call, const operator_key& caller)
{
    http_exchange& exchange = *call.exchange;
    apply_request request;
    request.subtree = query_value(call, "subtree");
    request.change_id = query_value(call, "change");
    request.operator_id = caller.id;
    request.dry_run = query_value(call, "dry_run") == "1";
    const absl::Status path = check_subtree_path(request.subtree);
    if (!path.ok()) {
        respond_status(exchange, path);
        return;
    }
    if (!may_change(caller, request.subtree)) {
        respond_error(exchange, 401, "unauthorized",
                      fmt::format("key {} may not change subtree {}; allowed: {}", caller.id,
                                  request.subtree, fmt::join(caller.subtrees, ", ")));
        return;
    }
    if (!is_valid_change_id(request.change_id)) {
        respond_error(exchange, 422, "refused",
                      "change: 1 to 64 letters, digits, \"-\" or \"_\" are allowed");
        return;
    }
    const absl::StatusOr<std::string> document =
        canonical_subtree(exchange.request().body, request.subtree);
    if (!document.ok()) {
        respond_status(exchange, document.status());
        return;
    }
    request.document = *document;
    apply_change(
        context.control.store(), std::move(request),
        [&context] {
            const distributor& distribution = context.control.config_distributor();
            return local_configuration{distribution.in_force(), distribution.tree()};
        },
        [&context, exchange = call.exchange](const absl::StatusOr<apply_result>& result) {
            respond_to_apply(context, *exchange, result);
        });
}

void show(operator_context& context, const operator_call& call)
{
    const distributor& distribution = context.control.config_distributor();
    const std::string subtree = query_value(call, "subtree");
    nlohmann::json documents = nlohmann::json::object();
    for (const config_tree::value_type& entry : distribution.tree()) {
        if (subtree.empty() || entry.first == subtree) {
            documents[entry.first] = nlohmann::json::parse(entry.second, nullptr, false);
        }
    }
    if (!subtree.empty() && documents.empty()) {
        respond_error(
            *call.exchange, 404, "not_found",
            fmt::format("version {} has no subtree {}", distribution.in_force(), subtree));
        return;
    }
    respond_json(*call.exchange, 200,
                 {{"version", distribution.in_force()}, {"subtrees", documents}});
}

void history(operator_context& context, const operator_call& call)
{
    std::size_t limit = default_history_limit;
    const std::string limit_text = query_value(call, "limit");
    if (!limit_text.empty() &&
        (!absl::SimpleAtoi(limit_text, &limit) || limit > max_history_limit)) {
        respond_error(*call.exchange, 422, "refused", "limit: 0 to 1000 is allowed");
        return;
    }
    context.control.store().read_history(
        limit,
        [exchange = call.exchange](const absl::StatusOr<std::vector<version_entry>>& result) {
            if (!result.ok()) {
                respond_status(*exchange, result.status());
                return;
            }
            nlohmann::json versions = nlohmann::json::array();
            for (const version_entry& entry : *result) {
                versions.push_back({{"version", entry.version},
                                    {"change", entry.change_id},
                                    {"subtree", entry.subtree},
                                    {"operator", entry.operator_id},
                                    {"manifest", entry.manifest_id}});
            }
            respond_json(*exchange, 200, {{"versions", versions}});
        });
}

void append_upstreams(operator_context& context, const service_name& service,
                      std::vector<std::string>& lines)
{
    for (const member_record& member : context.control.members().members()) {
        if (member.upstream.fleet == service.fleet && member.upstream.service == service.service) {
            lines.push_back(fmt::format("upstream {} in {}: {}, node {}, {} slots", member.node,
                                        member.failure_domain, name_of(member.upstream.state),
                                        name_of(member.state), member.upstream.slots));
        }
    }
}

void explain(operator_context& context, const operator_call& call)
{
    const std::shared_ptr<const snapshot> tree = context.data_path.current_snapshot();
    if (!tree) {
        respond_error(*call.exchange, 404, "not_found", "no version is in force");
        return;
    }
    const std::string caller = query_value(call, "caller");
    const std::string service = query_value(call, "service");
    std::vector<std::string> lines = tree->explain(caller, service, query_value(call, "path"));
    const absl::StatusOr<service_name> found = tree->find_service(caller, service);
    if (found.ok()) {
        const absl::StatusOr<std::shared_ptr<const route>> matched_route =
            tree->resolve(caller, service, query_value(call, "path"));
        append_upstreams(
            context, matched_route.ok() ? (*matched_route)->destination->service : *found, lines);
    }
    respond_json(*call.exchange, 200, {{"version", tree->version()}, {"lines", lines}});
}

const registration<signed_endpoint> apply_entry{"POST /v1/apply", apply};
const registration<open_endpoint> show_entry{"GET /v1/show", show};
const registration<open_endpoint> history_entry{"GET /v1/history", history};
const registration<open_endpoint> explain_entry{"GET /v1/explain", explain};

} // namespace

} // namespace agatespread
