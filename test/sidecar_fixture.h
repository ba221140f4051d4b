#pragma once

#include "loop_thread.h"

#include <agatespread/memory_platform.h>
#include <agatespread/sidecar.h>

#include <asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <utility>

namespace agatespread::test {

inline constexpr const char* id_header = "Id";
inline constexpr const char* signature_header = "Signature";

/// Reads the formats of a fictitious platform; a configuration document is
/// "VERSION TIMEOUT_MS idempotent|once SERVICE".
inline sidecar_dialect test_dialect()
{
    sidecar_dialect dialect;
    dialect.configuration_prefix = "operator/";
    dialect.configuration_key = "operator/newest";
    dialect.read_configuration =
        [](std::string_view text) -> absl::StatusOr<std::shared_ptr<const routing_table>> {
        std::istringstream words{std::string(text)};
        config_version version = 0;
        int timeout = 0;
        std::string kind;
        std::string service;
        if (!(words >> version >> timeout >> kind >> service)) {
            return absl::InvalidArgumentError("four words are required");
        }
        const std::shared_ptr<routing_table> table =
            std::make_shared<routing_table>(version, caller_limits());
        route_rule rule;
        rule.name = "all";
        rule.timeout = std::chrono::milliseconds(timeout);
        rule.idempotent = kind == "idempotent";
        rule.latency_objective = std::chrono::milliseconds(300);
        rule.max_attempts = 2;
        rule.services = {{service, 1}};
        const absl::Status added = table->add("mesh.example", rule);
        if (!added.ok()) {
            return added;
        }
        return table;
    };
    dialect.read_request = [](const http_request& request) {
        caller_context context;
        context.request_id = std::string(request.headers.get(id_header));
        context.time_left = std::chrono::seconds(5);
        return context;
    };
    dialect.write_upstream_request = [](const upstream_request_metadata& call,
                                        http_request& request) {
        request.headers.set("Instance", call.instance);
        request.headers.set("Caller", call.caller_service);
        request.headers.set("Left", std::to_string(call.time_left.count()));
    };
    dialect.read_upstream_response = [](const http_response& response) {
        upstream_response_metadata answer;
        answer.request_id = std::string(response.headers.get(id_header));
        answer.authentic = response.headers.contains(signature_header);
        answer.not_run = response.headers.contains("Not-Run");
        answer.other_instance = response.status == 421;
        if (response.headers.contains("Limit")) {
            answer.rate_limit = std::stod(std::string(response.headers.get("Limit")));
        }
        answer.leaving = response.headers.contains("Leaving");
        return answer;
    };
    return dialect;
}

inline http_response make_response(const http_request& request, int status = 200)
{
    http_response response;
    response.status = status;
    response.headers.add(id_header, std::string(request.headers.get(id_header)));
    response.headers.add(signature_header, "s");
    response.body = "answer";
    return response;
}

/// Two hosts, each with a node and an upstream, and the platform; all share one event loop.
struct sidecar_fixture : ::testing::Test {
    struct host {
        std::unique_ptr<http_server> upstream;
        std::unique_ptr<sidecar> node;
        std::atomic<int> request_count{0};
        std::function<void(std::shared_ptr<http_exchange>)> serve;
        http_request last_request;
    };

    void start(host& target, const std::string& name, const std::string& service,
               const std::string& upstream_address = {})
    {
        target.serve = [](const std::shared_ptr<http_exchange>& exchange) {
            exchange->respond(make_response(exchange->request()));
        };
        thread.call([&] {
            target.upstream =
                http_server::listen(thread.loop(), "127.0.0.1:0", {},
                                    [&target](const std::shared_ptr<http_exchange>& exchange) {
                                        if (exchange->request().target != "/health") {
                                            ++target.request_count;
                                            target.last_request = exchange->request();
                                        }
                                        target.serve(exchange);
                                    })
                    .value();
            sidecar_settings settings;
            settings.node = name;
            settings.failure_domain = "cairo";
            settings.service = service;
            settings.report_address = "127.0.0.1:" + std::to_string(free_port());
            settings.upstream_address =
                upstream_address.empty() ? target.upstream->address() : upstream_address;
            settings.retries.slack = 1000;
            settings.log.request_lines_per_second = ::getenv("SIDECAR_LOG") != nullptr ? 100 : 0;
            settings.log.descriptor = ::getenv("SIDECAR_LOG") != nullptr ? 1 : -1;
            adjust_settings(settings);
            sidecar_dialect dialect = test_dialect();
            adjust_dialect(dialect);
            target.node =
                sidecar::start(thread.loop(), store, data, settings, std::move(dialect), [this] {
                    return engine();
                }).value();
        });
    }

    // The sidecar does not expose the UDP port that it binds, so a free one is chosen first.
    static int free_port()
    {
        asio::io_context context;
        asio::ip::udp::socket socket(context,
                                     asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
        return socket.local_endpoint().port();
    }

    void send_heartbeat(host& target, const std::string& instance = "i-1", bool draining = false,
                        std::uint64_t sequence = 1)
    {
        upstream_heartbeat heartbeat;
        heartbeat.instance = instance;
        heartbeat.sequence = sequence;
        heartbeat.slots = 2;
        heartbeat.draining = draining;
        thread.call([&] { target.node->receive_heartbeat(heartbeat); });
    }

    void configure(const std::string& text)
    {
        thread.call([&] {
            transaction write;
            write.writes.push_back({"operator/newest", text});
            store.commit(std::move(write), [](const absl::StatusOr<transaction_result>&) {});
        });
    }

    bool eventually_ready(host& target)
    {
        return thread.eventually([&target] { return target.node->ready(); });
    }

    http_result send(host& to, const std::string& id, const std::string& method = "GET")
    {
        http_call call;
        call.url = "http://" + thread.call([&to] { return to.node->caller_address(); }) + "/x/1";
        call.request.method = method;
        call.request.headers.set("Host", "mesh.example");
        call.request.headers.set(id_header, id);
        call.timeout = std::chrono::seconds(10);
        std::promise<http_result> promise;
        thread.loop().post([&] {
            client.send(std::move(call),
                        [&promise](http_result result) { promise.set_value(std::move(result)); });
        });
        return promise.get_future().get();
    }

    /// Sends requests until a response has the status, because reports between nodes are delayed.
    bool eventually_responds_with(host& to, int status)
    {
        const time_point end = std::chrono::steady_clock::now() + event_timeout;
        for (int attempt = 0; std::chrono::steady_clock::now() < end; ++attempt) {
            if (send(to, "probe-" + std::to_string(attempt)).response.status == status) {
                return true;
            }
        }
        return false;
    }

    void TearDown() override
    {
        thread.call([this] {
            for (host* const each : {&first, &second}) {
                each->node.reset();
                each->upstream.reset();
            }
        });
    }

    /// Changes the settings of the nodes that are started afterwards.
    std::function<void(sidecar_settings&)> adjust_settings = [](sidecar_settings&) {};

    /// Changes the dialect of the nodes that are started afterwards.
    std::function<void(sidecar_dialect&)> adjust_dialect = [](sidecar_dialect&) {};

    loop_thread thread;
    memory_platform store{thread.loop()};
    metrics data;
    std::mt19937_64 engine{7};
    http_client client{thread.loop()};
    host first;
    host second;
};

} // namespace agatespread::test
