#include "data_plane.h"

#include <chrono>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds admission_tick{10};
constexpr milliseconds guard_tick{1000};

outbound_options make_outbound_options(const node_settings& settings)
{
    outbound_options options;
    options.node = settings.node;
    options.fleet = settings.fleet;
    options.failure_domain = settings.failure_domain;
    return options;
}

admission_options make_admission_options(const node_settings& settings)
{
    admission_options options;
    options.queue_length = settings.queue_length;
    return options;
}

http_limits make_limits(const node_settings& settings)
{
    http_limits limits;
    limits.body_bytes = settings.max_body_bytes;
    return limits;
}

} // namespace

data_plane::data_plane(const node_settings& settings, metrics& data, hooks connections)
    : connections_(std::move(connections)), signer_(settings.node, settings.peer_keys), guard_({}),
      balancer_(settings.failure_domain, {})
{
    outbound_hooks out;
    out.current_snapshot = [this] { return current_snapshot(); };
    out.claim = connections_.claim;
    out.settle = connections_.settle;
    out.deliver_local = [this](std::shared_ptr<http_exchange> exchange,
                               const worker_context& lane) {
        inbound_->handle(std::move(exchange), lane);
    };
    inbound_hooks in;
    in.report = connections_.report;
    outbound_ = std::make_unique<outbound>(make_outbound_options(settings), out, signer_, guard_,
                                           balancer_, data);
    inbound_ =
        std::make_unique<inbound>(in, make_admission_options(settings), signer_, guard_, data);
}

data_plane::~data_plane()
{
    stop();
}

absl::StatusOr<std::unique_ptr<data_plane>> data_plane::start(const node_settings& settings,
                                                              metrics& data, hooks connections,
                                                              std::uint64_t seed)
{
    std::unique_ptr<data_plane> plane(new data_plane(settings, data, std::move(connections)));
    const absl::Status opened = plane->open(settings, seed);
    if (!opened.ok()) {
        return opened;
    }
    return plane;
}

absl::Status data_plane::open(const node_settings& settings, std::uint64_t seed)
{
    node_settings bound = settings;
    for (std::uint32_t i = 0; i < settings.data_threads; ++i) {
        workers_.push_back(std::make_unique<worker>());
        worker& added = *workers_.back();
        added.engine.seed(seed + i);
        absl::Status opened = open_worker(added, bound);
        if (!opened.ok()) {
            return opened;
        }
        // The first worker picks the ports and the others share them.
        bound.mesh_address = added.mesh->address();
        bound.inbound_address = added.arrivals->address();
    }
    worker& first = *workers_.front();
    first.timers.push_back(
        first.loop.every(admission_tick, [this](time_point now) { inbound_->tick(now); }));
    first.timers.push_back(
        first.loop.every(guard_tick, [this](time_point now) { guard_.expire(now); }));
    for (const std::unique_ptr<worker>& opened : workers_) {
        opened->thread = std::thread([loop = &opened->loop] { loop->run(); });
    }
    return absl::OkStatus();
}

absl::Status data_plane::open_worker(worker& opened, const node_settings& settings)
{
    opened.client = std::make_unique<http_client>(opened.loop, settings.connections_per_upstream);
    opened.lane = make_lane(opened);
    const http_limits limits = make_limits(settings);
    const worker_context& lane = opened.lane;
    absl::StatusOr<std::unique_ptr<http_server>> mesh = http_server::listen(
        opened.loop, settings.mesh_address, limits,
        [this, &lane](std::shared_ptr<http_exchange> exchange) {
            if (stopping_) {
                refuse_after_stop(*exchange);
                return;
            }
            outbound_->handle(std::move(exchange), lane);
        },
        true);
    if (!mesh.ok()) {
        return mesh.status();
    }
    absl::StatusOr<std::unique_ptr<http_server>> arrivals = http_server::listen(
        opened.loop, settings.inbound_address, limits,
        [this, &lane](std::shared_ptr<http_exchange> exchange) {
            inbound_->handle(std::move(exchange), lane);
        },
        true);
    if (!arrivals.ok()) {
        return arrivals.status();
    }
    opened.mesh = *std::move(mesh);
    opened.arrivals = *std::move(arrivals);
    return absl::OkStatus();
}

worker_context data_plane::make_lane(worker& owner)
{
    worker_context lane;
    lane.now = [&owner] { return owner.loop.now(); };
    lane.wall_clock = [] { return std::chrono::system_clock::now(); };
    lane.random = [&owner] { return owner.engine(); };
    lane.send = [&owner](http_call call, std::function<void(http_result)> done) {
        return owner.client->send(std::move(call), std::move(done));
    };
    lane.cancel = [&owner](worker_context::call_id id) { owner.client->cancel(id); };
    lane.post = [&owner](std::function<void()> call) { owner.loop.post(std::move(call)); };
    return lane;
}

void data_plane::set_snapshot(std::shared_ptr<const snapshot> next)
{
    std::atomic_store(&snapshot_, std::move(next));
}

std::shared_ptr<const snapshot> data_plane::current_snapshot() const
{
    return std::atomic_load(&snapshot_);
}

void data_plane::update_members(const std::vector<member_record>& members)
{
    balancer_.update_members(members);
}

void data_plane::set_upstream(std::string url, const upstream_record& record, time_point now)
{
    inbound_->set_upstream(std::move(url), record, now);
}

bool data_plane::receive_crash_report(const crash_report& report, time_point now)
{
    return guard_.receive(report, now);
}

void data_plane::refuse_after_stop(http_exchange& exchange) const
{
    constexpr milliseconds retry_after{1000};
    http_response refusal =
        proxy_error_response(503, "the node is shutting down", true, retry_after);
    refusal.headers.set("Connection", "close");
    exchange.respond(std::move(refusal));
}

void data_plane::stop_accepting()
{
    if (stopping_.exchange(true)) {
        return;
    }
    for (const std::unique_ptr<worker>& each : workers_) {
        each->loop.post([target = each.get()] {
            target->mesh->stop_accepting();
            target->arrivals->stop_accepting();
        });
    }
}

bool data_plane::idle() const
{
    return outbound_->in_flight() == 0 && inbound_->idle();
}

void data_plane::stop()
{
    for (const std::unique_ptr<worker>& each : workers_) {
        each->loop.stop();
    }
    for (const std::unique_ptr<worker>& each : workers_) {
        if (each->thread.joinable()) {
            each->thread.join();
        }
    }
}

} // namespace agatespread
