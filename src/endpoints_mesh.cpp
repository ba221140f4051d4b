#include "operator_server.h"
#include "state_names.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds drain_poll_period{50};
constexpr milliseconds drain_timeout{2000};

nlohmann::json to_json_object(const domain_summary& domain)
{
    nlohmann::json behind = nlohmann::json::array();
    for (const lagging_node& node : domain.behind) {
        behind.push_back(
            {{"node", node.node}, {"version", node.in_force}, {"reason", node.reason}});
    }
    return {{"failure_domain", domain.failure_domain},
            {"members", domain.members},
            {"unreachable", domain.unreachable},
            {"lowest", domain.lowest},
            {"highest", domain.highest},
            {"behind", behind}};
}

void status(operator_context& context, const operator_call& call)
{
    context.control.request_status(
        [&context, exchange = call.exchange](const std::vector<domain_summary>& domains) {
            if (domains.empty()) {
                respond_error(*exchange, 503, "unavailable",
                              "no reader of this failure domain responded");
                return;
            }
            config_version highest = context.control.config_distributor().in_force();
            nlohmann::json domain_list = nlohmann::json::array();
            for (const domain_summary& domain : domains) {
                highest = std::max(highest, domain.highest);
                domain_list.push_back(to_json_object(domain));
            }
            respond_json(*exchange, 200, {{"version", highest}, {"domains", domain_list}});
        });
}

/// Responds to a drain request once this node has received the target's draining record, or after a
/// timeout.
class pending_drain : public std::enable_shared_from_this<pending_drain> {
public:
    pending_drain(operator_context& context, std::shared_ptr<http_exchange> exchange,
                  node_id target)
        : context_(context), exchange_(std::move(exchange)), target_(std::move(target)),
          deadline_(context.loop.now() + drain_timeout)
    {
    }

    void start()
    {
        const std::shared_ptr<pending_drain> self = shared_from_this();
        timer_ =
            context_.loop.after(drain_poll_period, [self](time_point now) { self->check(now); });
    }

private:
    void check(time_point now)
    {
        const member_record* record = context_.control.members().find(target_);
        const bool drained = record != nullptr && record->upstream.state != upstream_state::ready;
        if (drained) {
            respond_json(*exchange_, 200, {{"target", target_}, {"state", "draining"}});
            return;
        }
        if (now >= deadline_) {
            respond_error(*exchange_, 504, "outcome_unknown",
                          fmt::format("target {} did not confirm the drain within {} ms", target_,
                                      drain_timeout.count()));
            return;
        }
        start();
    }

    operator_context& context_;
    std::shared_ptr<http_exchange> exchange_;
    node_id target_;
    time_point deadline_;
    subscription timer_;
};

void drain_target(operator_context& context, const operator_call& call, const operator_key& caller)
{
    const auto target = call.query.find("target");
    if (target == call.query.end()) {
        respond_error(*call.exchange, 422, "refused", "target: the name of a node is expected");
        return;
    }
    if (!caller.may_drain) {
        respond_error(*call.exchange, 401, "unauthorized",
                      fmt::format("key {} may not drain targets", caller.id));
        return;
    }
    if (!context.control.request_drain(target->second, caller.id)) {
        respond_error(*call.exchange, 404, "not_found",
                      fmt::format("unknown node {}", target->second));
        return;
    }
    std::make_shared<pending_drain>(context, call.exchange, target->second)->start();
}

absl::StatusOr<upstream_announcement> read_announcement(const std::string& body,
                                                        const std::string& fleet)
{
    constexpr std::uint32_t max_slots = 100000;
    const nlohmann::json fields = nlohmann::json::parse(body, nullptr, false);
    const auto refuse = [](std::string_view message) {
        return layer_error(absl::StatusCode::kInvalidArgument, "node", "refused", message);
    };
    if (!fields.is_object()) {
        return refuse("announcement: a JSON object is expected");
    }
    upstream_announcement result;
    const std::array<std::pair<const char*, std::string*>, 3> string_fields = {
        {{"service", &result.record.service},
         {"tenant", &result.record.tenant},
         {"address", &result.address}}};
    for (const std::pair<const char*, std::string*>& string_field : string_fields) {
        const auto found = fields.find(string_field.first);
        if (found == fields.end() || !found->is_string()) {
            return refuse(
                fmt::format("announcement: {}: a string is expected", string_field.first));
        }
        *string_field.second = found->get<std::string>();
    }
    const auto slots = fields.find("slots");
    if (slots == fields.end() || !slots->is_number_unsigned() || *slots > max_slots) {
        return refuse("announcement: slots: 0 to 100000 is allowed");
    }
    const auto state = fields.find("state");
    if (state == fields.end() || !state->is_string() ||
        !parse_upstream_state(state->get<std::string>())) {
        return refuse("announcement: state: gone, starting, ready or draining is allowed");
    }
    result.record.state = *parse_upstream_state(state->get<std::string>());
    result.record.slots = slots->get<std::uint32_t>();
    result.record.fleet = fleet;
    return result;
}

void announce_upstream(operator_context& context, const operator_call& call)
{
    if (!call.exchange->is_from_loopback()) {
        respond_error(*call.exchange, 401, "unauthorized",
                      "an upstream must send its announcement from its own host");
        return;
    }
    const absl::StatusOr<upstream_announcement> announcement =
        read_announcement(call.exchange->request().body, context.settings.fleet);
    if (!announcement.ok()) {
        respond_error(*call.exchange, 422, "refused", std::string(announcement.status().message()));
        return;
    }
    context.announce(*announcement);
    respond_json(*call.exchange, 200, nlohmann::json::object());
}

void inject_faults(operator_context& context, const operator_call& call)
{
    if (!context.settings.fault_injection) {
        respond_error(*call.exchange, 404, "not_found",
                      "fault_injection is off in the settings of this node");
        return;
    }
    const nlohmann::json fields =
        nlohmann::json::parse(call.exchange->request().body.bytes(), nullptr, false);
    if (!fields.is_object()) {
        respond_error(*call.exchange, 422, "refused", "a JSON object is expected");
        return;
    }
    const auto number_or_zero = [&fields](const char* name) {
        const auto found = fields.find(name);
        return found != fields.end() && found->is_number() ? found->get<double>() : 0.0;
    };
    transport_faults faults;
    faults.drop_domain = number_or_zero("drop_domain");
    faults.drop_remote = number_or_zero("drop_remote");
    faults.cut_remote = fields.contains("cut_remote") && fields["cut_remote"] == true;
    context.control.set_transport_faults(faults);
    respond_json(*call.exchange, 200, fields);
}

void health(operator_context& /*context*/, const operator_call& call)
{
    call.exchange->respond({200, {}, "ok\n"});
}

void readiness(operator_context& context, const operator_call& call)
{
    const bool ready = context.ready();
    call.exchange->respond({ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"});
}

void metrics_page(operator_context& context, const operator_call& call)
{
    http_response response;
    response.headers.set("Content-Type", "text/plain; version=0.0.4");
    response.body = context.metric_registry.prometheus_text();
    call.exchange->respond(std::move(response));
}

const registration<open_endpoint> status_entry{"GET /v1/status", status};
const registration<signed_endpoint> drain_entry{"POST /v1/drain", drain_target};
const registration<open_endpoint> upstream_entry{"PUT /v1/upstream", announce_upstream};
const registration<open_endpoint> faults_entry{"POST /v1/faults", inject_faults};
const registration<open_endpoint> health_entry{"GET /healthz", health};
const registration<open_endpoint> ready_entry{"GET /readyz", readiness};
const registration<open_endpoint> metrics_entry{"GET /metrics", metrics_page};

} // namespace

} // namespace agatespread
