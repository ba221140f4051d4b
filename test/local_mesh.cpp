#include "local_mesh.h"

#include <fmt/format.h>

namespace agatespread::test {

namespace {

constexpr std::size_t operator_key_count = 2;

node_settings make_settings(const std::string& name, const std::string& failure_domain,
                            const std::string& platform)
{
    node_settings settings;
    settings.node = name;
    settings.failure_domain = failure_domain;
    settings.fleet = "nile-soy";
    settings.peer_keys = {{"k1", "0123456789abcdef"}};
    settings.operator_keys.resize(operator_key_count);
    settings.operator_keys[0] = {"all", "operator-secret-1", {"*"}, true};
    settings.operator_keys[1] = {"rounds", "operator-secret-2", {"nile-soy/rounds"}, false};
    settings.platform_address = platform;
    settings.probe_period = std::chrono::milliseconds(100);
    settings.head_poll_period = std::chrono::milliseconds(200);
    settings.announce_period = std::chrono::milliseconds(200);
    settings.data_threads = 1;
    return settings;
}

http_request announcement(const std::string& service, const std::string& address)
{
    const nlohmann::json fields = {{"service", service},
                                   {"tenant", "nile-soy"},
                                   {"address", address},
                                   {"slots", 10},
                                   {"state", "ready"}};
    return {"PUT", "/v1/upstream", {}, fields.dump()};
}

} // namespace

local_platform::local_platform()
{
    thread_.call([this] {
        driver_ = std::make_unique<memory_platform>(thread_.loop());
        server_ = http_server::listen(thread_.loop(), "127.0.0.1:0", http_limits(),
                                      platform_handler(*driver_))
                      .value();
    });
}

local_platform::~local_platform()
{
    thread_.call([this] {
        server_.reset();
        driver_.reset();
    });
}

void local_platform::set_faults(const platform_faults& faults)
{
    thread_.call([this, &faults] { driver_->set_faults(faults); });
}

local_upstream::local_upstream(std::string name, std::string operator_address, std::string service)
    : name_(std::move(name)), operator_address_(std::move(operator_address)),
      service_(std::move(service))
{
    thread_.call([this] {
        client_ = std::make_unique<http_client>(thread_.loop());
        server_ = http_server::listen(
                      thread_.loop(), "127.0.0.1:0", http_limits(),
                      [this](const std::shared_ptr<http_exchange>& exchange) { handle(exchange); })
                      .value();
        announce();
        announce_timer_ = thread_.loop().every(std::chrono::milliseconds(100),
                                               [this](time_point) { announce(); });
    });
}

local_upstream::~local_upstream()
{
    thread_.call([this] {
        announce_timer_.cancel();
        held_exchanges_.clear();
        server_.reset();
        client_.reset();
    });
}

void local_upstream::announce()
{
    http_call call;
    call.url = "http://" + operator_address_ + "/v1/upstream";
    call.request.method = "PUT";
    call.request.body = nlohmann::json{
        {"service", service_},
        {"tenant", "nile-soy"},
        {"address", server_->address()},
        {"slots", 10},
        {"state", "ready"}}.dump();
    client_->send(std::move(call), [](const http_result&) {});
}

void local_upstream::handle(const std::shared_ptr<http_exchange>& exchange)
{
    ++runs_;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++runs_by_target_[exchange->request().target];
        if (holding_) {
            held_exchanges_.push_back(exchange);
            return;
        }
    }
    respond(*exchange);
}

void local_upstream::respond(http_exchange& exchange) const
{
    http_response response;
    response.body = name_ + " ran " + exchange.request().target;
    exchange.respond(std::move(response));
}

void local_upstream::release_responses()
{
    thread_.call([this] {
        holding_ = false;
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const std::shared_ptr<http_exchange>& exchange : held_exchanges_) {
            respond(*exchange);
        }
        held_exchanges_.clear();
    });
}

std::size_t local_upstream::runs_of(const std::string& target)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_by_target_[target];
}

local_mesh::local_mesh()
{
    caller_thread_.call([this] { client_ = std::make_unique<http_client>(caller_thread_.loop()); });
}

local_mesh::~local_mesh()
{
    caller_thread_.call([this] { client_.reset(); });
    upstreams_.clear();
    for (const std::pair<const std::string, std::unique_ptr<running_node>>& entry : nodes_) {
        entry.second->instance->shut_down();
    }
    for (const std::pair<const std::string, std::unique_ptr<running_node>>& entry : nodes_) {
        entry.second->thread.join();
    }
}

void local_mesh::start_node(const std::string& name, const std::string& failure_domain)
{
    node_settings settings = make_settings(name, failure_domain, fake_platform.address());
    for (const std::pair<const std::string, std::unique_ptr<running_node>>& entry : nodes_) {
        settings.seeds.push_back(entry.second->bound_addresses.peer);
    }
    std::unique_ptr<running_node> started = std::make_unique<running_node>();
    started->instance = node::start(std::move(settings), engine_()).value();
    started->bound_addresses = started->instance->addresses();
    started->thread = std::thread([instance = started->instance.get()] { instance->run(); });
    nodes_[name] = std::move(started);
}

void local_mesh::stop_node(const std::string& name)
{
    running_node& stopped_node = *nodes_.at(name);
    stopped_node.instance->shut_down();
    stopped_node.thread.join();
    nodes_.erase(name);
}

local_upstream& local_mesh::start_upstream(const std::string& node, const std::string& service)
{
    const std::int64_t ready_before = metric(node, "agatespread_upstreams_ready");
    std::unique_ptr<local_upstream>& started = upstreams_[node];
    started = std::make_unique<local_upstream>(node, addresses(node).operators, service);
    wait_for_upstreams(std::max<std::int64_t>(ready_before, 0) + 1);
    return *started;
}

void local_mesh::announce(const std::string& node, const std::string& service,
                          const std::string& address)
{
    const std::int64_t ready_before = metric(node, "agatespread_upstreams_ready");
    EXPECT_EQ(call_operator(node, announcement(service, address)).response.status, 200);
    wait_for_upstreams(std::max<std::int64_t>(ready_before, 0) + 1);
}

void local_mesh::wait_for_upstreams(std::int64_t count)
{
    for (const std::pair<const std::string, std::unique_ptr<running_node>>& entry : nodes_) {
        EXPECT_TRUE(eventually([&] {
            return metric(entry.first, "agatespread_upstreams_ready") == count;
        })) << entry.first;
    }
}

operator_client local_mesh::client(const std::string& node, const std::string& key)
{
    const std::string secret = key == "all" ? "operator-secret-1" : "operator-secret-2";
    return operator_client(
        {addresses(node).operators, key, secret}, curl_transport(),
        [] { return std::chrono::system_clock::now(); }, [this] { return engine_(); });
}

config_version local_mesh::apply(const std::string& subtree, const std::string& document)
{
    const std::string change = fmt::format("change-{:x}", engine_());
    const absl::StatusOr<operator_answer<applied_version>> response =
        client(nodes_.begin()->first).apply(subtree, change, document, false);
    EXPECT_TRUE(response.ok()) << response.status();
    return response.ok() ? response->content.version : 0;
}

bool local_mesh::wait_for_version(const std::string& node, config_version version)
{
    return eventually([&] {
        return metric(node, "agatespread_version_in_force") == static_cast<std::int64_t>(version);
    });
}

std::int64_t local_mesh::metric(const std::string& node, const std::string& series)
{
    const std::string page = call_operator(node, {"GET", "/metrics", {}, ""}).response.body;
    const std::size_t found = page.find("\n" + series + " ");
    return found == std::string::npos ? -1 : std::stoll(page.substr(found + series.size() + 2));
}

http_result local_mesh::send(const std::string& address, http_request request)
{
    http_call call;
    call.url = "http://" + address + request.target;
    call.request = std::move(request);
    call.timeout = event_timeout;
    std::promise<http_result> ended;
    std::future<http_result> result = ended.get_future();
    caller_thread_.loop().post([this, &call, &ended] {
        client_->send(call, [&ended](http_result end) { ended.set_value(std::move(end)); });
    });
    return result.get();
}

http_result local_mesh::call_operator(const std::string& node, http_request request)
{
    return send(addresses(node).operators, std::move(request));
}

http_result local_mesh::call(const std::string& node, http_request request)
{
    return send(addresses(node).mesh, std::move(request));
}

http_result local_mesh::call(const std::string& node, const std::string& host,
                             const std::string& path)
{
    http_request request;
    request.target = path;
    request.headers.set("Host", host);
    return call(node, std::move(request));
}

std::string service_document(const std::string& service, bool once)
{
    return fmt::format("services: [{{name: {0}, tenant: nile-soy}}]\n"
                       "clusters: [{{name: all, service: {0}}}]\n"
                       "classes: [{{name: normal, priority: 3, deadline: 5s, once: {1}}}]\n"
                       "routes: [{{service: {0}, prefix: /, cluster: all, class: normal, "
                       "timeout: 5s, retry: {2}}}]\n",
                       service, once, once ? "never" : "idempotent");
}

} // namespace agatespread::test
