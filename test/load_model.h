#pragma once

#include <agatespread/admission.h>
#include <agatespread/failure_rate.h>
#include <agatespread/link_backlog.h>
#include <agatespread/peers.h>
#include <agatespread/placement.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace agatespread {

/// A kind of request in the load model.
struct model_kind {
    std::string name;
    double per_second = 0; ///< In each failure domain.
    std::chrono::milliseconds work{0};
    double spread = 0.5; ///< Standard deviation of the logarithm of the work.
    std::chrono::milliseconds target{0};
    std::chrono::milliseconds timeout{0};
    std::uint8_t priority = 2;
    std::size_t answer_bytes = 0;
};

struct model_options {
    std::size_t domains = 2;
    std::size_t upstreams_per_domain = 14;
    std::size_t callers_per_domain = 6; ///< Nodes beside upstreams of other services.
    std::uint32_t slots = 18;
    std::vector<double> speeds = {0.6, 1.0, 1.4};
    std::vector<model_kind> kinds;
    peer_options peers;
    placement_options placement;
    admission_options admission{100, std::chrono::milliseconds(0)};
    double link_bytes_per_second = 0; ///< Of each host; 0 for links that never fill.
    int retries = 2;                  ///< By which a refused caller comes back.
    std::uint64_t seed = 7;
};

/// What became of the requests that first arrived in some time.
struct model_result {
    std::uint64_t asked = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< For good.
    std::uint64_t refusals = 0;
    std::uint64_t failures = 0; ///< By upstreams.
    std::uint64_t far = 0;      ///< Answered from another failure domain.
    std::uint64_t most_queued = 0;
    std::chrono::nanoseconds waited{0}; ///< By the callers that were answered.

    double share(std::uint64_t part) const
    {
        return asked == 0 ? 0 : static_cast<double>(part) / static_cast<double>(asked);
    }
};

/// Replays a load on the decisions of many nodes: placement, peer reports and gates, without
/// sockets, with a clock of its own. Nodes of one domain are 0.2 ms apart, of two 4 ms.
class load_model {
public:
    explicit load_model(model_options options);

    /// Runs until a time since the start.
    void run_until(std::chrono::milliseconds end);

    /// Makes an upstream ready; those that are not closed are ready from the start.
    void open(std::size_t index);

    /// Takes an upstream out of service, before the model runs.
    void close(std::size_t index);

    /// Makes an upstream fail a share of its calls at once, as not run.
    void fail(std::size_t index, double share) { nodes_[index].failure_ratio = share; }

    /// Changes the rate of all kinds.
    void set_rate(double factor) { rate_ = factor; }

    /// Returns what became of requests that first arrived in [from, to).
    model_result result(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /// Returns the requests that an upstream has run.
    std::uint64_t runs(std::size_t index) const { return nodes_[index].runs; }

private:
    struct node {
        std::string name;
        std::string domain;
        bool has_upstream = false;
        bool open = true;
        double speed = 1;
        double failure_ratio = 0;
        failure_rate failures;
        std::unique_ptr<link_backlog> link; ///< What the node believes.
        time_point link_free;               ///< When the link has sent all that it was given.
        std::uint64_t sequence = 0;
        std::uint64_t runs = 0;
        std::unique_ptr<peers> others;
        std::unique_ptr<admission> gate;
        std::map<std::uint64_t, std::size_t> at_gate; ///< Request of each gate id.
    };

    struct request {
        std::size_t kind = 0;
        std::size_t origin = 0;
        time_point first; ///< Arrival of the first attempt.
        time_point arrived;
        int tries = 0;
        std::vector<std::size_t> tried;
        std::size_t at = 0;
    };

    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void after(std::chrono::nanoseconds delay, std::function<void()> run);
    std::chrono::nanoseconds way(std::size_t from, std::size_t to) const;
    reported_load load_of(std::size_t index) const;
    void report(std::size_t from, bool own_domain);
    void arrive(std::size_t domain, std::size_t kind);
    void attempt(std::size_t id);
    void offer(std::size_t id, std::size_t to);
    void apply(std::size_t at, const admission_actions& actions);
    std::chrono::nanoseconds send_answer(std::size_t from, std::size_t kind);
    void fail_call(std::size_t id, std::size_t at);
    void refused(std::size_t id, std::size_t by, std::chrono::milliseconds retry_after);
    void answered(std::size_t id, std::size_t by);
    void check_gates();
    double draw();

    model_options options_;
    std::mt19937_64 engine_;
    random_source random_;
    time_point start_;
    time_point now_;
    std::uint64_t order_ = 0;
    double rate_ = 1;
    std::priority_queue<event> events_;
    std::vector<node> nodes_;
    std::vector<request> requests_;
    std::map<std::int64_t, model_result> by_millisecond_; ///< By arrival of the first attempt.
};

} // namespace agatespread
