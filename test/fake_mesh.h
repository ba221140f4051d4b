#pragma once

#include <agatespread/proxy.h>
#include <agatespread/tree.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace agatespread::test {

/// Runs functions in the order of their due times on a simulated clock.
class event_queue {
public:
    time_point now() const { return now_; }
    void after(std::chrono::nanoseconds delay, std::function<void()> call);
    void run_for(std::chrono::nanoseconds span);

private:
    time_point now_{std::chrono::hours(1)};
    std::multimap<time_point, std::function<void()>> events_;
};

/// A simulated upstream process with a fixed number of workers and an unbounded queue.
class fake_upstream {
public:
    using callback = std::function<void(http_result)>;

    fake_upstream(event_queue& queue, std::mt19937_64& engine) : queue_(queue), engine_(engine) {}

    std::uint64_t serve(const http_request& request, callback done);
    void cancel(std::uint64_t id);
    void crash();
    void pause(bool paused);

    std::size_t slots = 10;
    std::chrono::microseconds mean_service_time{20000};
    double service_time_factor = 1;
    double truncated_probability = 0;
    /// Responds 503 with forged mesh headers after it has run the request.
    bool forges_headers = false;
    std::chrono::milliseconds restart_time{1000};
    std::map<std::string, int> runs; ///< Requests received, by request target.
    int crashes = 0;
    int cancelled = 0;
    bool down = false;

private:
    struct queued_request {
        http_request request;
        callback done;
        bool started = false;
    };

    void start_next();
    void complete(std::uint64_t id, std::uint64_t incarnation);

    event_queue& queue_;
    std::mt19937_64& engine_;
    std::map<std::uint64_t, queued_request> requests_;
    std::uint64_t next_id_ = 0;
    std::uint64_t incarnation_ = 0;
    std::size_t running_ = 0;
    bool paused_ = false;
};

/// A call and the response that its caller received.
struct call_record {
    std::string target;
    time_point sent;
    time_point ended;
    bool answered = false;
    http_response response;
};

/// Size, delays and component options of a fake mesh.
struct mesh_options {
    std::uint64_t seed = 1;
    std::size_t nodes = 3;
    std::size_t failure_domains = 1;
    std::chrono::microseconds local_delay{300};
    std::chrono::microseconds remote_delay{5000};
    std::chrono::milliseconds report_delay{5};
    admission_options admit;
    balancer_options balance;
    retry_options retry;
    std::string policy = "least_loaded";
    bool naive = false; ///< Baseline: round robin, three retries, no admission control.
};

/// Simulates nodes, their upstreams and the network between them on one event queue.
class fake_mesh {
public:
    struct node_state {
        node_id id;
        std::string domain;
        std::unique_ptr<mesh_signer> signer;
        std::unique_ptr<crash_guard> guard;
        std::unique_ptr<balancer> upstreams;
        metrics data;
        std::unique_ptr<inbound> in;
        std::unique_ptr<outbound> out;
        std::unique_ptr<fake_upstream> upstream;
        worker_context worker;
        bool cut_off = false; ///< The node does not receive requests or reports of other nodes.
    };

    explicit fake_mesh(const mesh_options& options);

    /// Sends a call into a node; the returned reference stays valid.
    call_record& call(std::size_t from, http_request request);
    call_record& call(std::size_t from, const std::string& target,
                      const std::string& method = "GET", const std::string& key = "");

    /// Cancels the last call, as if its caller had disconnected.
    void cancel_last();

    void announce(std::size_t node, upstream_state state);
    int runs_of(const std::string& target) const;
    std::uint64_t attempts();

    event_queue queue;
    std::mt19937_64 engine;
    std::vector<std::unique_ptr<node_state>> nodes;
    std::vector<std::unique_ptr<call_record>> calls;
    /// Probability that a response between nodes completes another pending call.
    double crossed_probability = 0;
    /// Probability that a response between nodes takes 300 ms, longer than the timeout.
    double late_probability = 0;
    std::map<std::string, claim_reply> claims;

private:
    class exchange;
    struct pending {
        std::function<void(http_result)> done;
        std::function<void()> cancel;
        std::size_t target = 0;
        bool to_node = false;
    };

    void add_node(std::size_t index);
    worker_context make_worker(std::size_t index);
    outbound_hooks make_hooks(std::size_t index);
    std::uint64_t send(std::size_t from, const http_call& call,
                       std::function<void(http_result)> done);
    void deliver(std::uint64_t id, std::size_t from, std::size_t to, http_request request);
    void send_response(std::uint64_t id, std::size_t from, std::size_t to, http_response response);
    void finish(std::uint64_t id, http_result result);
    void naive_attempt(std::size_t from, const std::shared_ptr<exchange>& entry, int attempts);
    void tick();
    std::chrono::microseconds delay(std::size_t from, std::size_t to) const;
    bool chance(double probability);

    const mesh_options options_;
    std::shared_ptr<const snapshot> config_;
    std::vector<member_record> members_;
    std::map<std::uint64_t, pending> pending_;
    std::shared_ptr<exchange> last_exchange_;
    std::uint64_t next_id_ = 0;
    std::size_t next_naive_ = 0;
};

} // namespace agatespread::test
