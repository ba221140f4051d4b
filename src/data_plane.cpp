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

data_plane::data_plane(const node_settings& settings, metrics& metric_registry, hooks callbacks)
    : hooks_(std::move(callbacks)), signer_(settings.node, settings.peer_keys), guard_({}),
      balancer_(settings.failure_domain, {})
{
    outbound_hooks outbound_callbacks;
    outbound_callbacks.current_snapshot = [this] { return current_snapshot(); };
    outbound_callbacks.claim = hooks_.claim;
    outbound_callbacks.settle = hooks_.settle;
    outbound_callbacks.deliver_local = [this](std::shared_ptr<http_exchange> exchange,
                                              const worker_context& context) {
        inbound_->handle(std::move(exchange), context);
    };
    inbound_hooks inbound_callbacks;
    inbound_callbacks.report = hooks_.report;
    outbound_ = std::make_unique<outbound>(make_outbound_options(settings), outbound_callbacks,
                                           signer_, guard_, balancer_, metric_registry);
    inbound_ = std::make_unique<inbound>(inbound_callbacks, make_admission_options(settings),
                                         signer_, guard_, metric_registry);
}

data_plane::~data_plane()
{
    stop();
}

absl::StatusOr<std::unique_ptr<data_plane>> data_plane::start(const node_settings& settings,
                                                              metrics& metric_registry,
                                                              hooks callbacks, std::uint64_t seed)
{
    std::unique_ptr<data_plane> plane(
        new data_plane(settings, metric_registry, std::move(callbacks)));
    const absl::Status status = plane->open(settings, seed);
    if (!status.ok()) {
        return status;
    }
    return plane;
}

absl::Status data_plane::open(const node_settings& settings, std::uint64_t seed)
{
    node_settings worker_settings = settings;
    for (std::uint32_t i = 0; i < settings.data_threads; ++i) {
        workers_.push_back(std::make_unique<worker>());
        worker& new_worker = *workers_.back();
        new_worker.engine.seed(seed + i);
        absl::Status status = open_worker(new_worker, worker_settings);
        if (!status.ok()) {
            return status;
        }
        // For port 0 the first worker binds a free port, which the other workers share.
        worker_settings.mesh_address = new_worker.mesh_server->address();
        worker_settings.inbound_address = new_worker.inbound_server->address();
    }
    worker& first = *workers_.front();
    first.timers.push_back(
        first.loop.every(admission_tick, [this](time_point now) { inbound_->tick(now); }));
    first.timers.push_back(
        first.loop.every(guard_tick, [this](time_point now) { guard_.expire(now); }));
    for (const std::unique_ptr<worker>& each : workers_) {
        each->thread = std::thread([loop = &each->loop] { loop->run(); });
    }
    return absl::OkStatus();
}

absl::Status data_plane::open_worker(worker& new_worker, const node_settings& settings)
{
    new_worker.client =
        std::make_unique<http_client>(new_worker.loop, settings.connections_per_upstream);
    new_worker.context = make_worker_context(new_worker);
    const http_limits limits = make_limits(settings);
    const worker_context& context = new_worker.context;
    absl::StatusOr<std::unique_ptr<http_server>> mesh_server = http_server::listen(
        new_worker.loop, settings.mesh_address, limits,
        [this, &context](std::shared_ptr<http_exchange> exchange) {
            if (stopping_) {
                refuse_after_stop(*exchange);
                return;
            }
            outbound_->handle(std::move(exchange), context);
        },
        true);
    if (!mesh_server.ok()) {
        return mesh_server.status();
    }
    absl::StatusOr<std::unique_ptr<http_server>> inbound_server = http_server::listen(
        new_worker.loop, settings.inbound_address, limits,
        [this, &context](std::shared_ptr<http_exchange> exchange) {
            inbound_->handle(std::move(exchange), context);
        },
        true);
    if (!inbound_server.ok()) {
        return inbound_server.status();
    }
    new_worker.mesh_server = *std::move(mesh_server);
    new_worker.inbound_server = *std::move(inbound_server);
    return absl::OkStatus();
}

worker_context data_plane::make_worker_context(worker& owner)
{
    worker_context context;
    context.now = [&owner] { return owner.loop.now(); };
    context.wall_clock = [] { return std::chrono::system_clock::now(); };
    context.random = [&owner] { return owner.engine(); };
    context.send = [&owner](http_call call, std::function<void(http_result)> done) {
        return owner.client->send(std::move(call), std::move(done));
    };
    context.cancel = [&owner](worker_context::call_id id) { owner.client->cancel(id); };
    context.post = [&owner](std::function<void()> call) { owner.loop.post(std::move(call)); };
    return context;
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
        each->loop.post([owner = each.get()] {
            owner->mesh_server->stop_accepting();
            owner->inbound_server->stop_accepting();
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
