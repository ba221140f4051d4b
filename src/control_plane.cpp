#include "control_plane.h"

#include "state_names.h"
#include "unix_time.h"

#include <agatespread/kernel.h>
#include <agatespread/tree.h>

#include <spdlog/spdlog.h>

#include <chrono>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_period{50};
constexpr milliseconds gauge_period{500};
constexpr milliseconds status_timeout{800};

std::uint64_t unix_milliseconds_now()
{
    return static_cast<std::uint64_t>(detail::unix_milliseconds(std::chrono::system_clock::now()));
}

/// Maps a uniform 64-bit value to [0, 1); uses the upper 53 bits, which a double represents
/// exactly.
double to_unit_interval(std::uint64_t value)
{
    return static_cast<double>(value >> 11U) * 0x1.0p-53;
}

} // namespace

control_plane::control_plane(event_loop& loop, const node_settings& settings,
                             metrics& metric_registry, control_hooks hooks, random_source random)
    : loop_(loop), metric_registry_(metric_registry), hooks_(std::move(hooks)),
      random_(std::move(random)), self_(settings.node), failure_domain_(settings.failure_domain)
{
}

control_plane::~control_plane() = default;

absl::StatusOr<std::unique_ptr<control_plane>>
control_plane::start(event_loop& loop, const node_settings& settings, std::string inbound_address,
                     metrics& metric_registry, control_hooks hooks, random_source random)
{
    std::unique_ptr<control_plane> plane(
        new control_plane(loop, settings, metric_registry, std::move(hooks), std::move(random)));
    const absl::Status started = plane->open(settings, std::move(inbound_address));
    if (!started.ok()) {
        return started;
    }
    return plane;
}

absl::Status control_plane::open(const node_settings& settings, std::string inbound_address)
{
    const registry<platform_factory>::factory make_driver =
        registry<platform_factory>::instance().find(settings.platform_driver);
    if (!make_driver) {
        return layer_error(absl::StatusCode::kInvalidArgument, "node", "settings",
                           "unknown platform driver " + settings.platform_driver);
    }
    const registry<distributor_factory>::factory make_distributor =
        registry<distributor_factory>::instance().find(settings.distribution);
    if (!make_distributor) {
        return layer_error(absl::StatusCode::kInvalidArgument, "node", "settings",
                           "unknown distribution " + settings.distribution);
    }
    driver_ = make_driver(loop_, settings.platform_address);
    store_ = std::make_unique<config_store>(*driver_);

    absl::Status listening = open_transport(settings);
    if (!listening.ok()) {
        return listening;
    }
    create_membership(settings, std::move(inbound_address));

    distribution_options distributor_options;
    distributor_options.head_poll_period = settings.head_poll_period;
    distributor_ =
        make_distributor(distributor_options, make_distribution_hooks(), *members_, random_);

    const time_point now = loop_.now();
    members_->start(now);
    distributor_->start(now);
    tick_ = loop_.every(tick_period, [this](time_point at) { tick(at); });
    return absl::OkStatus();
}

absl::Status control_plane::open_transport(const node_settings& settings)
{
    peer_options options;
    options.self = settings.node;
    options.failure_domain = settings.failure_domain;
    options.listen_address = settings.peer_address;
    options.keys = settings.peer_keys;
    absl::StatusOr<std::unique_ptr<peer_transport>> transport = peer_transport::listen(
        loop_, options, metric_registry_,
        [this](const peer_endpoint& from, const message& content) { receive(from, content); });
    if (!transport.ok()) {
        return transport.status();
    }
    transport_ = *std::move(transport);
    return absl::OkStatus();
}

void control_plane::create_membership(const node_settings& settings, std::string inbound_address)
{
    membership_options options;
    options.self = settings.node;
    options.failure_domain = settings.failure_domain;
    options.peer_address = transport_->address();
    options.inbound_address = std::move(inbound_address);
    options.seeds = settings.seeds;
    // The start time in seconds, so that records of a restarted node override its earlier ones.
    options.first_incarnation = unix_milliseconds_now() / 1000;
    options.probe_period = settings.probe_period;
    members_ = std::make_unique<membership>(options, make_membership_hooks(), random_);
}

membership_hooks control_plane::make_membership_hooks()
{
    membership_hooks hooks;
    hooks.send = [this](const outgoing_message& outgoing) { send(outgoing); };
    hooks.changed = [this](const member_record&) { members_dirty_ = true; };
    hooks.removed = [this](const node_id&) { members_dirty_ = true; };
    return hooks;
}

distribution_hooks control_plane::make_distribution_hooks()
{
    distribution_hooks hooks;
    hooks.send = [this](const outgoing_message& outgoing) { send(outgoing); };
    hooks.read_head = [this](bool checked) {
        const config_store::callback<head> done = [this,
                                                   checked](const absl::StatusOr<head>& result) {
            distributor_->on_head(result, checked, loop_.now());
        };
        if (checked) {
            store_->read_checked_head(done);
        }
        else {
            store_->read_head(done);
        }
    };
    hooks.read_manifest = [this](const std::string& id) {
        store_->read_manifest(id, [this, id](const absl::StatusOr<manifest>& result) {
            distributor_->on_manifest(id, result, loop_.now());
        });
    };
    hooks.read_object = [this](const std::string& id) {
        store_->read_object(id, [this, id](const absl::StatusOr<std::string>& result) {
            distributor_->on_object(id, result, loop_.now());
        });
    };
    hooks.apply = [this](const config_tree& tree, config_version version,
                         const std::string& manifest_id) {
        return apply(tree, version, manifest_id);
    };
    hooks.status = [this](const status_reply& reply) {
        complete_status_request(reply.id, reply.domains);
    };
    hooks.wall_clock = unix_milliseconds_now;
    return hooks;
}

absl::Status control_plane::apply(const config_tree& tree, config_version version,
                                  const std::string& manifest_id)
{
    absl::StatusOr<std::shared_ptr<const snapshot>> built =
        build_snapshot(tree, version, manifest_id);
    if (!built.ok()) {
        metric_registry_.counter_of("agatespread_versions_refused_total").add();
        spdlog::error("version {} refused: {}", version, std::string(built.status().message()));
        return built.status();
    }
    hooks_.snapshot_applied(*std::move(built));
    metric_registry_.gauge_of("agatespread_version_in_force")
        .set(static_cast<std::int64_t>(version));
    metric_registry_.gauge_of("agatespread_version_applied_unix_ms")
        .set(detail::unix_milliseconds(std::chrono::system_clock::now()));
    spdlog::info("version {} in force", version);
    return absl::OkStatus();
}

void control_plane::tick(time_point now)
{
    members_->tick(now);
    distributor_->tick(now);
    if (members_dirty_) {
        publish_members();
    }
    if (now >= next_gauge_update_) {
        next_gauge_update_ = now + gauge_period;
        update_gauges();
    }
}

void control_plane::receive(const peer_endpoint& from, const message& content)
{
    const time_point now = loop_.now();
    if (const crash_report* report = std::get_if<crash_report>(&content)) {
        receive_crash_report(from, *report);
        return;
    }
    if (const drain* request = std::get_if<drain>(&content)) {
        receive_drain(*request);
        return;
    }
    members_->receive(from, content, now);
    distributor_->receive(from, content, now);
    if (members_dirty_) {
        publish_members();
    }
}

void control_plane::receive_drain(const drain& request)
{
    if (request.target == self_) {
        spdlog::info("drain requested by operator {}", request.operator_id);
        hooks_.drain_requested();
    }
}

void control_plane::receive_crash_report(const peer_endpoint& from, const crash_report& report)
{
    if (!hooks_.crash_reported(report)) {
        return;
    }
    // The reporting node sends to its own failure domain and to the readers of the other ones,
    // which forward the report within their failure domain.
    if (from.failure_domain != failure_domain_) {
        send({crash_report_recipients(false), report});
    }
}

void control_plane::report_crash(const crash_report& report)
{
    send({crash_report_recipients(true), report});
}

std::vector<peer_endpoint> control_plane::crash_report_recipients(bool to_remote) const
{
    std::vector<peer_endpoint> recipients = members_->domain_peers();
    if (!to_remote) {
        return recipients;
    }
    for (const std::string& domain : members_->failure_domains()) {
        if (domain == failure_domain_) {
            continue;
        }
        for (const node_id& reader : members_->readers_of(domain)) {
            const std::optional<peer_endpoint> endpoint = members_->endpoint_of(reader);
            if (endpoint) {
                recipients.push_back(*endpoint);
            }
        }
    }
    return recipients;
}

void control_plane::send(const outgoing_message& outgoing)
{
    if (outgoing.to.empty()) {
        return;
    }
    const std::shared_ptr<const std::string> encoded =
        std::make_shared<const std::string>(encode(outgoing.content));
    metric_registry_
        .counter_of("agatespread_messages_sent_total",
                    {{"type", std::string(name_of(outgoing.content))}})
        .add(outgoing.to.size());
    for (const peer_endpoint& to : outgoing.to) {
        transport_->send(to, encoded);
    }
}

void control_plane::publish_members()
{
    members_dirty_ = false;
    hooks_.members_changed(members_->members());
}

void control_plane::update_gauges()
{
    std::int64_t ready_upstreams = 0;
    std::map<member_state, std::int64_t> states = {{member_state::alive, 0},
                                                   {member_state::suspect, 0},
                                                   {member_state::unreachable, 0},
                                                   {member_state::left, 0}};
    for (const member_record& member : members_->members()) {
        ++states[member.state];
        if (member.upstream.state == upstream_state::ready &&
            (member.state == member_state::alive || member.state == member_state::suspect)) {
            ++ready_upstreams;
        }
    }
    for (const std::pair<const member_state, std::int64_t>& state : states) {
        metric_registry_
            .gauge_of("agatespread_members", {{"state", std::string(name_of(state.first))}})
            .set(state.second);
    }
    metric_registry_.gauge_of("agatespread_upstreams_ready").set(ready_upstreams);
    metric_registry_.gauge_of("agatespread_cut_off").set(members_->is_cut_off() ? 1 : 0);
    const distribution_counts& counts = distributor_->counts();
    metric_registry_.gauge_of("agatespread_platform_reads")
        .set(static_cast<std::int64_t>(counts.head_reads + counts.platform_reads));
    if (counts.bad_objects > logged_bad_objects_) {
        logged_bad_objects_ = counts.bad_objects;
        spdlog::error("object content does not match its hash; the version is not applied");
    }
    metric_registry_.gauge_of("agatespread_bad_objects")
        .set(static_cast<std::int64_t>(counts.bad_objects));
    metric_registry_.gauge_of("agatespread_version_pulls")
        .set(static_cast<std::int64_t>(counts.pulls));
    const bool reader = members_->reader_position().has_value();
    metric_registry_.gauge_of("agatespread_reader").set(reader ? 1 : 0);
    if (logged_reader_ != reader) {
        logged_reader_ = reader;
        spdlog::info(reader ? "reader of failure domain {}" : "not a reader of failure domain {}",
                     failure_domain_);
    }
}

bool control_plane::ready() const
{
    return distributor_->in_force() > 0;
}

void control_plane::set_upstream(const upstream_record& upstream)
{
    members_->set_upstream(upstream, loop_.now());
    publish_members();
}

void control_plane::on_change_committed(const head& accepted, const change& request)
{
    distributor_->on_committed(accepted, request, loop_.now());
}

bool control_plane::request_drain(const node_id& target, const std::string& operator_id)
{
    const drain request{target, operator_id};
    if (target == self_) {
        receive_drain(request);
        return true;
    }
    const std::optional<peer_endpoint> endpoint = members_->endpoint_of(target);
    if (!endpoint) {
        return false;
    }
    send({{*endpoint}, request});
    return true;
}

void control_plane::request_status(std::function<void(std::vector<domain_summary>)> done)
{
    const std::uint64_t id = next_status_id_++;
    pending_status_request& pending = pending_status_requests_[id];
    pending.done = std::move(done);
    pending.timeout =
        loop_.after(status_timeout, [this, id](time_point) { complete_status_request(id, {}); });
    distributor_->request_status(id, loop_.now());
}

void control_plane::complete_status_request(std::uint64_t id, std::vector<domain_summary> domains)
{
    const auto found = pending_status_requests_.find(id);
    if (found == pending_status_requests_.end()) {
        return;
    }
    const std::function<void(std::vector<domain_summary>)> done = std::move(found->second.done);
    pending_status_requests_.erase(found);
    done(std::move(domains));
}

void control_plane::leave()
{
    members_->leave(loop_.now());
}

void control_plane::set_transport_faults(const transport_faults& faults)
{
    transport_->set_fault_hook([this, faults](const peer_endpoint& to) {
        const bool local = to.failure_domain == failure_domain_;
        const double drop_rate = local ? faults.drop_domain : faults.drop_remote;
        return (!local && faults.cut_remote) || to_unit_interval(random_()) < drop_rate;
    });
}

} // namespace agatespread
