#pragma once

#include "loop_thread.h"

#include <agatespread/memory_platform.h>
#include <agatespread/node.h>
#include <agatespread/operator_client.h>
#include <agatespread/platform_server.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace agatespread::test {

/// An in-memory platform behind an HTTP server on a free port.
class local_platform {
public:
    local_platform();
    local_platform(const local_platform&) = delete;
    local_platform& operator=(const local_platform&) = delete;
    ~local_platform();

    std::string address() const { return server_->address(); }
    void set_faults(const platform_faults& faults);

private:
    loop_thread thread_;
    std::unique_ptr<memory_platform> driver_;
    std::unique_ptr<http_server> server_;
};

/// An upstream that responds with its name and can hold responses back.
class local_upstream {
public:
    local_upstream(std::string name, std::string operator_address, std::string service);
    local_upstream(const local_upstream&) = delete;
    local_upstream& operator=(const local_upstream&) = delete;
    ~local_upstream();

    std::size_t runs() const { return runs_; }
    std::size_t runs_of(const std::string& target);

    /// Holds the responses to further requests back until `release_responses`.
    void hold_responses() { holding_ = true; }
    void release_responses();

private:
    void handle(const std::shared_ptr<http_exchange>& exchange);
    void respond(http_exchange& exchange) const;
    void announce();

    const std::string name_;
    const std::string operator_address_;
    const std::string service_;
    std::atomic<std::size_t> runs_{0};
    std::atomic<bool> holding_{false};
    std::mutex mutex_;
    std::map<std::string, std::size_t> runs_by_target_;
    std::vector<std::shared_ptr<http_exchange>> held_exchanges_;
    loop_thread thread_;
    std::unique_ptr<http_client> client_;
    std::unique_ptr<http_server> server_;
    subscription announce_timer_;
};

/// Runs nodes, each on its own threads, a platform and upstreams in the test process.
class local_mesh {
public:
    local_mesh();
    local_mesh(const local_mesh&) = delete;
    local_mesh& operator=(const local_mesh&) = delete;
    ~local_mesh();

    /// Starts a node; the first node is the seed of the others.
    void start_node(const std::string& name, const std::string& failure_domain = "cairo-1");

    /// Shuts a node down gracefully and waits for its end.
    void stop_node(const std::string& name);

    /// Starts the upstream of a node and waits until all nodes count it as ready.
    local_upstream& start_upstream(const std::string& node, const std::string& service);

    /// Announces an upstream at an address and waits until all nodes count it as ready.
    void announce(const std::string& node, const std::string& service, const std::string& address);

    /// Applies a document to a subtree and returns the new version, or 0 on failure; see
    /// `service_document`.
    config_version apply(const std::string& subtree, const std::string& document);

    /// Waits until a version is in force on a node; returns false on a timeout.
    bool wait_for_version(const std::string& node, config_version version);

    /// Sends a request to the mesh port of a node.
    http_result call(const std::string& node, http_request request);
    http_result call(const std::string& node, const std::string& host, const std::string& path);

    /// Sends a request to the operator port of a node.
    http_result call_operator(const std::string& node, http_request request);

    /// Returns the value of a series on a node's metrics page, or -1 if the series is missing.
    std::int64_t metric(const std::string& node, const std::string& series);

    operator_client client(const std::string& node, const std::string& key = "all");
    const node_addresses& addresses(const std::string& node)
    {
        return nodes_.at(node)->bound_addresses;
    }

    /// Polls a condition until it holds; returns false on a timeout.
    template <typename Condition>
    bool eventually(Condition condition)
    {
        const time_point end = std::chrono::steady_clock::now() + event_timeout;
        while (std::chrono::steady_clock::now() < end) {
            if (condition()) {
                return true;
            }
        }
        return false;
    }

    local_platform fake_platform;

private:
    struct running_node {
        std::unique_ptr<node> instance;
        node_addresses bound_addresses;
        std::thread thread;
    };

    http_result send(const std::string& address, http_request request);
    void wait_for_upstreams(std::int64_t count);

    std::map<std::string, std::unique_ptr<running_node>> nodes_;
    std::map<std::string, std::unique_ptr<local_upstream>> upstreams_;
    std::mt19937_64 engine_{7};
    loop_thread caller_thread_;
    std::unique_ptr<http_client> client_;
};

/// Returns a subtree document with one service; `once` selects at-most-once execution for its
/// class.
std::string service_document(const std::string& service, bool once = false);

} // namespace agatespread::test
