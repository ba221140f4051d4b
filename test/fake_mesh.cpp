#include "fake_mesh.h"

#include <algorithm>
#include <utility>

namespace agatespread::test {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

const char* const configuration_template = R"(
services: [{name: rounds, tenant: nile}]
clusters: [{name: all, service: rounds, policy: POLICY, max_ejected: 34%}]
classes:
  - {name: urgent, priority: 0, deadline: 300ms, once: false}
  - {name: normal, priority: 5, deadline: 500ms, once: false}
  - {name: order, priority: 3, deadline: 500ms, once: true}
routes:
  - {service: rounds, prefix: /, cluster: all, class: normal, timeout: 250ms, retry: idempotent}
  - {service: rounds, prefix: /urgent, cluster: all, class: urgent, timeout: 250ms, retry: idempotent}
  - {service: rounds, prefix: /plain, cluster: all, class: normal, timeout: 250ms, retry: never}
  - {service: rounds, prefix: /order, cluster: all, class: order, timeout: 250ms, retry: never}
)";

http_result make_result(http_outcome outcome, bool sent)
{
    http_result result;
    result.outcome = outcome;
    result.sent = sent;
    return result;
}

} // namespace

void event_queue::after(nanoseconds delay, std::function<void()> call)
{
    events_.emplace(now_ + delay, std::move(call));
}

void event_queue::run_for(nanoseconds span)
{
    const time_point end = now_ + span;
    while (!events_.empty() && events_.begin()->first <= end) {
        now_ = events_.begin()->first;
        const std::function<void()> call = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        call();
    }
    now_ = end;
}

std::uint64_t fake_upstream::serve(const http_request& request, callback done)
{
    const std::uint64_t id = ++next_id_;
    if (down) {
        queue_.after(nanoseconds(0), [done] { done(make_result(http_outcome::not_sent, false)); });
        return id;
    }
    ++runs[request.target];
    requests_[id] = queued_request{request, std::move(done)};
    if (request.target.find("crash") != std::string::npos) {
        queue_.after(milliseconds(1), [this, incarnation = incarnation_] {
            if (incarnation == incarnation_) {
                crash();
            }
        });
        return id;
    }
    start_next();
    return id;
}

void fake_upstream::cancel(std::uint64_t id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    ++cancelled;
    if (found->second.started) {
        --running_;
    }
    requests_.erase(found);
    start_next();
}

void fake_upstream::start_next()
{
    for (std::pair<const std::uint64_t, queued_request>& each : requests_) {
        if (paused_ || running_ >= slots) {
            return;
        }
        if (each.second.started || each.second.request.target.find("crash") != std::string::npos) {
            continue;
        }
        each.second.started = true;
        ++running_;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        const microseconds time(
            static_cast<std::int64_t>(static_cast<double>(mean_service_time.count()) *
                                      spread(engine_) * service_time_factor));
        queue_.after(time, [this, id = each.first, incarnation = incarnation_] {
            complete(id, incarnation);
        });
    }
}

void fake_upstream::complete(std::uint64_t id, std::uint64_t incarnation)
{
    const auto found = requests_.find(id);
    if (incarnation != incarnation_ || found == requests_.end()) {
        return;
    }
    if (paused_) {
        queue_.after(milliseconds(10), [this, id, incarnation] { complete(id, incarnation); });
        return;
    }
    const queued_request ready = std::move(found->second);
    requests_.erase(found);
    --running_;
    http_result result = make_result(http_outcome::answered, true);
    result.response.body = "answer to " + ready.request.target;
    result.response.headers.add("X-Agatespread-Load", "0,0,1000");
    if (forges_headers) {
        result.response.status = 503;
        result.response.headers.add("X-Agatespread-Not-Run", "1");
        result.response.headers.add("X-Agatespread-Outcome", "not-run");
    }
    if (std::uniform_real_distribution<double>()(engine_) < truncated_probability) {
        result.outcome = http_outcome::truncated;
        result.response.body.resize(4);
    }
    ready.done(std::move(result));
    start_next();
}

void fake_upstream::crash()
{
    ++crashes;
    ++incarnation_;
    down = true;
    running_ = 0;
    const std::map<std::uint64_t, queued_request> lost = std::exchange(requests_, {});
    for (const std::pair<const std::uint64_t, queued_request>& each : lost) {
        each.second.done(make_result(http_outcome::connection_lost, true));
    }
    queue_.after(restart_time, [this] { down = false; });
}

void fake_upstream::pause(bool paused)
{
    paused_ = paused;
    if (!paused) {
        start_next();
    }
}

/// A call that entered a node, from its caller or from another node.
class fake_mesh::exchange final : public http_exchange {
public:
    exchange(http_request request, std::function<void(http_response)> done)
        : request_(std::move(request)), done_(std::move(done))
    {
    }

    const http_request& request() const override { return request_; }

    void respond(http_response response) override
    {
        if (done_) {
            std::exchange(done_, nullptr)(std::move(response));
        }
    }

    void on_cancel(std::function<void()> call) override { cancel_ = std::move(call); }

    void cancel()
    {
        if (done_ && cancel_) {
            done_ = nullptr;
            cancel_();
        }
    }

private:
    http_request request_;
    std::function<void(http_response)> done_;
    std::function<void()> cancel_;
};

fake_mesh::fake_mesh(const mesh_options& options) : engine(options.seed), options_(options)
{
    std::string text = configuration_template;
    text.replace(text.find("POLICY"), 6, options.policy);
    const absl::StatusOr<std::string> canonical = canonical_subtree(text, "test.yaml");
    config_ = *build_snapshot({{"nile-soy/rounds", canonical.value()}}, 1, "manifest");
    for (std::size_t i = 0; i < options.nodes; ++i) {
        add_node(i);
    }
    for (const std::unique_ptr<node_state>& each : nodes) {
        each->upstreams->update_members(members_);
    }
    tick();
}

void fake_mesh::add_node(std::size_t index)
{
    nodes.push_back(std::make_unique<node_state>());
    node_state& node = *nodes.back();
    node.id = "node-" + std::to_string(index);
    node.domain = "domain-" + std::to_string(index % options_.failure_domains);
    node.signer =
        std::make_unique<mesh_signer>(node.id, std::vector<frame_key>{{"k1", "a shared secret"}});
    node.guard = std::make_unique<crash_guard>(crash_guard_options());
    node.upstreams = std::make_unique<balancer>(node.domain, options_.balance);
    node.upstream = std::make_unique<fake_upstream>(queue, engine);
    node.worker = make_worker(index);
    inbound_hooks hooks;
    hooks.report = [this, index](const crash_report& report) {
        queue.after(options_.report_delay, [this, index, report] {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (i != index && !nodes[i]->cut_off) {
                    nodes[i]->guard->receive(report, queue.now());
                }
            }
        });
    };
    node.in =
        std::make_unique<inbound>(hooks, options_.admit, *node.signer, *node.guard, node.data);
    outbound_options out_options;
    out_options.failure_domain = node.domain;
    out_options.node = node.id;
    out_options.fleet = "nile-soy";
    out_options.retry = options_.retry;
    node.out = std::make_unique<outbound>(out_options, make_hooks(index), *node.signer, *node.guard,
                                          *node.upstreams, node.data);
    member_record member;
    member.node = node.id;
    member.failure_domain = node.domain;
    member.inbound_address = node.id;
    member.upstream = {"nile-soy", "rounds", "nile", 10, upstream_state::ready};
    members_.push_back(member);
    node.in->set_upstream("http://up-" + std::to_string(index), member.upstream, queue.now());
}

worker_context fake_mesh::make_worker(std::size_t index)
{
    worker_context worker;
    worker.now = [this] { return queue.now(); };
    worker.wall_clock = [this] {
        return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                queue.now().time_since_epoch()));
    };
    worker.random = [this] { return engine(); };
    worker.send = [this, index](const http_call& call, std::function<void(http_result)> done) {
        return send(index, call, std::move(done));
    };
    worker.cancel = [this](worker_context::call_id id) {
        const auto found = pending_.find(id);
        if (found != pending_.end()) {
            const std::function<void()> cancel = found->second.cancel;
            finish(id, make_result(http_outcome::cancelled, true));
            if (cancel) {
                cancel();
            }
        }
    };
    worker.post = [this](std::function<void()> call) {
        queue.after(nanoseconds(0), std::move(call));
    };
    return worker;
}

outbound_hooks fake_mesh::make_hooks(std::size_t index)
{
    outbound_hooks hooks;
    hooks.current_snapshot = [this] { return config_; };
    hooks.claim = [this](const keyed_request& request,
                         const std::function<void(claim_reply)>& done) {
        const auto found = claims.find(request.key);
        claim_reply result;
        result.state = claim_state::granted;
        if (found != claims.end()) {
            result = found->second;
        }
        else {
            claims[request.key].state = claim_state::unknown;
        }
        queue.after(milliseconds(1), [done, result] { done(result); });
    };
    hooks.settle = [this](const keyed_request& request, const std::string&, settled_state state,
                          const http_response& response) {
        if (state == settled_state::not_run) {
            claims.erase(request.key);
        }
        else if (state == settled_state::completed) {
            claim_reply& recorded = claims[request.key];
            recorded.state = claim_state::recorded;
            recorded.response = response;
        }
    };
    hooks.deliver_local = [this, index](std::shared_ptr<http_exchange> entry,
                                        const worker_context& worker) {
        nodes[index]->in->handle(std::move(entry), worker);
    };
    return hooks;
}

bool fake_mesh::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>()(engine) < probability;
}

microseconds fake_mesh::delay(std::size_t from, std::size_t to) const
{
    if (from == to) {
        return microseconds(50);
    }
    return nodes[from]->domain == nodes[to]->domain ? options_.local_delay : options_.remote_delay;
}

std::uint64_t fake_mesh::send(std::size_t from, const http_call& call,
                              std::function<void(http_result)> done)
{
    const std::uint64_t id = ++next_id_;
    const std::string host = call.url.substr(7, call.url.find('/', 7) - 7);
    const std::size_t to = std::stoul(host.substr(host.find('-') + 1));
    const bool to_node = host[0] == 'n';
    pending_[id] = pending{std::move(done), nullptr, to, to_node};
    queue.after(call.timeout,
                [this, id] { finish(id, make_result(http_outcome::timed_out, true)); });
    queue.after(delay(from, to), [this, id, from, to, to_node, request = call.request] {
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            return;
        }
        if (to_node) {
            deliver(id, from, to, request);
            return;
        }
        fake_upstream& upstream = *nodes[to]->upstream;
        const std::uint64_t upstream_request =
            upstream.serve(request, [this, id](const http_result& result) { finish(id, result); });
        if (pending_.count(id) != 0) {
            pending_[id].cancel = [&upstream, upstream_request] {
                upstream.cancel(upstream_request);
            };
        }
    });
    return id;
}

void fake_mesh::deliver(std::uint64_t id, std::size_t from, std::size_t to, http_request request)
{
    if (nodes[to]->cut_off) {
        return; // The call times out at the sender.
    }
    const std::shared_ptr<exchange> entry = std::make_shared<exchange>(
        std::move(request), [this, id, from, to](http_response response) {
            send_response(id, from, to, std::move(response));
        });
    pending_[id].cancel = [entry] { entry->cancel(); };
    nodes[to]->in->handle(entry, nodes[to]->worker);
}

void fake_mesh::send_response(std::uint64_t id, std::size_t from, std::size_t to,
                              http_response response)
{
    const bool late = chance(late_probability);
    std::function<void(http_result)> deliver_late;
    if (chance(crossed_probability)) {
        for (const std::pair<const std::uint64_t, pending>& each : pending_) {
            if (each.first != id && each.second.to_node && each.second.target == to) {
                id = each.first;
                break;
            }
        }
    }
    const auto found = pending_.find(id);
    if (late && found != pending_.end()) {
        deliver_late = found->second.done;
    }
    const nanoseconds latency =
        late ? nanoseconds(milliseconds(300)) : nanoseconds(delay(from, to));
    queue.after(latency, [this, id, deliver_late, response = std::move(response)] {
        http_result result = make_result(http_outcome::answered, true);
        result.response = response;
        if (deliver_late) {
            deliver_late(result); // Models a client that still delivers a late response.
        }
        else {
            finish(id, result);
        }
    });
}

void fake_mesh::finish(std::uint64_t id, http_result result)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const pending ended_call = std::move(found->second);
    pending_.erase(found);
    if (result.outcome == http_outcome::timed_out && ended_call.cancel) {
        ended_call.cancel(); // After a timeout the client closes the connection.
    }
    ended_call.done(std::move(result));
}

void fake_mesh::naive_attempt(std::size_t from, const std::shared_ptr<exchange>& entry,
                              int attempts)
{
    const std::size_t to = next_naive_++ % nodes.size();
    http_call call;
    call.url = "http://up-" + std::to_string(to) + entry->request().target;
    call.request = entry->request();
    call.timeout = milliseconds(250);
    send(from, call, [this, from, entry, attempts](http_result result) {
        if (result.outcome == http_outcome::answered) {
            entry->respond(std::move(result.response));
        }
        else if (attempts < 4) {
            naive_attempt(from, entry, attempts + 1);
        }
        else {
            http_response response;
            response.status = 502;
            entry->respond(response);
        }
    });
}

void fake_mesh::tick()
{
    for (const std::unique_ptr<node_state>& node : nodes) {
        node->in->tick(queue.now());
    }
    queue.after(milliseconds(10), [this] { tick(); });
}

call_record& fake_mesh::call(std::size_t from, http_request request)
{
    calls.push_back(std::make_unique<call_record>());
    call_record& record = *calls.back();
    record.target = request.target;
    record.sent = queue.now();
    last_exchange_ =
        std::make_shared<exchange>(std::move(request), [this, &record](http_response response) {
            record.ended = queue.now();
            record.answered = true;
            record.response = std::move(response);
        });
    if (options_.naive) {
        naive_attempt(from, last_exchange_, 1);
    }
    else {
        nodes[from]->out->handle(last_exchange_, nodes[from]->worker);
    }
    return record;
}

call_record& fake_mesh::call(std::size_t from, const std::string& target, const std::string& method,
                             const std::string& key)
{
    http_request request;
    request.method = method;
    request.target = target;
    request.headers.add("Host", "rounds");
    if (!key.empty()) {
        request.headers.add("Idempotency-Key", key);
    }
    return call(from, std::move(request));
}

void fake_mesh::cancel_last()
{
    last_exchange_->cancel();
}

void fake_mesh::announce(std::size_t node, upstream_state state)
{
    members_[node].upstream.state = state;
    nodes[node]->in->set_upstream("http://up-" + std::to_string(node), members_[node].upstream,
                                  queue.now());
    queue.after(milliseconds(5), [this] {
        for (const std::unique_ptr<node_state>& each : nodes) {
            each->upstreams->update_members(members_);
        }
    });
}

int fake_mesh::runs_of(const std::string& target) const
{
    int total = 0;
    for (const std::unique_ptr<node_state>& node : nodes) {
        const auto found = node->upstream->runs.find(target);
        total += found == node->upstream->runs.end() ? 0 : found->second;
    }
    return total;
}

std::uint64_t fake_mesh::attempts()
{
    std::uint64_t total = 0;
    for (const std::unique_ptr<node_state>& node : nodes) {
        for (const char* const name : {"urgent", "normal", "order"}) {
            total += node->data
                         .counter_of("agatespread_inbound_requests_total",
                                     {{"tenant", "nile"}, {"class", name}})
                         .value();
        }
    }
    return total;
}

} // namespace agatespread::test
