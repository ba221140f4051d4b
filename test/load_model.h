#pragma once

#include <agatespread/admission.h>
#include <agatespread/failure_rate.h>
#include <agatespread/link_backlog.h>
#include <agatespread/peers.h>
#include <agatespread/placement.h>
#include <agatespread/run_success.h>
#include <agatespread/upload_grants.h>
#include <agatespread/upload_link.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace agatespread {

/// A kind of request in the simulation.
struct model_kind {
    std::string name;
    double rate_per_second = 0; ///< Arrivals in each failure domain.
    std::chrono::milliseconds service_time{0};
    double log_std_dev = 0.5; ///< Standard deviation of the logarithm of the service time.
    std::chrono::milliseconds latency_objective{0}; ///< Latency from the first arrival.
    std::chrono::milliseconds timeout{0};
    std::uint8_t priority = 2;
    std::size_t response_bytes = 0;
    std::size_t request_bytes = 0; ///< Large for uploads.
    bool uploads = false;
    std::size_t service = 0;     ///< 1 for the lower service.
    std::size_t calls = 0;       ///< That a run makes concurrently after half of its work.
    double call_share = 1;       ///< Share of the runs that make calls.
    std::size_t called_kind = 0; ///< Of the calls. A run fails if one of its calls fails.
    std::uint32_t tenant = 0;
};

struct model_options {
    std::size_t domains = 2;
    std::size_t upstreams_per_domain = 14;
    std::size_t lower_upstreams_per_domain = 0; ///< Of a second service, which runs call.
    std::size_t callers_per_domain = 6;         ///< Nodes whose upstreams belong to other services.
    std::uint32_t slots = 18;
    std::vector<double> speeds = {0.6, 1.0, 1.4};
    std::vector<model_kind> kinds;
    peer_options peers;
    placement_options placement;
    admission_options admission{100, std::chrono::milliseconds(0)};
    double link_bytes_per_second = 0; ///< Of each host; 0 for unlimited.
    /// The same for the opposite direction. Requests are received in the order in which they were
    /// sent, also those whose callers have given up.
    double receive_bytes_per_second = 0;
    bool grant_uploads = true; ///< Uploads are sent when the receiving node grants it.
    int retries = 2;           ///< By callers whose request was refused.
    double wave = 0;           ///< Of the demand of each domain in turn, with a period of 17 s.
    /// Each upstream is 2.5 times slower for 600 ms in a seventh of the time.
    bool slow_phases = false;
    bool judge_runs_by_cause = true; ///< Only runs lost to refused calls lower the admitted share.
    bool protect_runs = false;       ///< As where the configuration calls for it.
    std::map<std::size_t, double> fixed_shares; ///< Admitted at the entry, by kind.
    std::uint64_t seed = 7;
};

/// The outcomes of the requests that first arrived in a period.
struct model_result {
    std::uint64_t requests = 0;
    std::uint64_t within_target = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< After all retries.
    std::uint64_t refusals = 0;
    std::uint64_t failures = 0; ///< Calls that an upstream failed.
    std::uint64_t remote = 0;   ///< Served from another failure domain.
    std::uint64_t max_queued = 0;
    std::uint64_t failed = 0;                  ///< Whose run failed.
    std::uint64_t runs = 0;                    ///< Runs of requests that ended in the period.
    std::uint64_t wasted_runs = 0;             ///< Of `runs`, the failed ones.
    std::chrono::nanoseconds total_latency{0}; ///< Sum over all responses.

    double share(std::uint64_t part) const
    {
        return requests == 0 ? 0 : static_cast<double>(part) / static_cast<double>(requests);
    }
};

/// Discrete-event simulation of placement, peer reports and admission control of many nodes,
/// without sockets and with a simulated clock. The one-way network delay is 0.2 ms within a failure
/// domain and 4 ms between domains.
class load_model {
public:
    explicit load_model(model_options options);

    /// Runs the simulation until a time after its start.
    void run_until(std::chrono::milliseconds end);

    /// Makes an upstream ready. Upstreams that were not stopped are ready from the start.
    void start_upstream(std::size_t index);

    /// Takes an upstream out of service. Its running calls end.
    void stop_upstream(std::size_t index);

    /// Makes an upstream fail a share of its calls immediately, without running them.
    void set_failure_ratio(std::size_t index, double share) { nodes_[index].failure_ratio = share; }

    /// Makes an upstream name a rate limit in its responses; nothing ends it.
    void set_rate_limit(std::size_t index, std::optional<double> per_second)
    {
        nodes_[index].rate_limit = per_second;
    }

    /// Returns the highest number of calls that an upstream ran in any window of this length that
    /// starts at `from` or later.
    std::size_t max_runs_in(std::size_t index, std::chrono::milliseconds window,
                            std::chrono::milliseconds from) const;

    /// Multiplies the arrival rates of all kinds.
    void set_rate_factor(double factor) { rate_factor_ = factor; }

    /// Returns the outcomes of the requests that first arrived in [from, to).
    model_result result(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /// Returns the outcomes of the requests of one kind that first arrived in [from, to).
    model_result result(std::size_t kind, std::chrono::milliseconds from,
                        std::chrono::milliseconds to) const;

    /// Returns whether a node has learned that a kind is called during runs.
    bool is_nested(std::size_t index, std::size_t kind) const;

    /// Returns the number of requests that an upstream has run.
    std::uint64_t executed_requests(std::size_t index) const
    {
        return nodes_[index].executed_requests;
    }

private:
    struct node {
        std::string name;
        std::string domain;
        std::string service;
        std::chrono::milliseconds slow_offset{0};
        run_log results;
        nested_rules nested;
        std::map<std::size_t, run_share> run_shares; ///< By kind.
        bool has_upstream = false;
        bool upstream_ready = true;
        double speed = 1;
        double failure_ratio = 0;
        failure_rate failures;
        std::unique_ptr<link_backlog> link; ///< The node's estimate of its link.
        std::unique_ptr<upload_meter> received;
        std::unique_ptr<upload_grants> grants;
        time_point receive_free_at;
        time_point link_free_at; ///< When the simulated link has sent all of its bytes.
        std::uint64_t sequence = 0;
        std::uint64_t executed_requests = 0;
        std::optional<double> rate_limit;
        std::vector<time_point> runs; ///< Start times.
        std::unique_ptr<peers> peer_directory;
        std::unique_ptr<admission> admission_queue;
        std::map<std::uint64_t, std::size_t>
            queued_requests; ///< Index of the request by admission id.
    };

    struct request {
        std::size_t kind = 0;
        std::size_t origin = 0;
        time_point first_arrived_at; ///< Arrival of the first attempt.
        time_point attempt_arrived_at;
        int retries_done = 0;
        std::vector<std::size_t> tried;
        std::size_t at = 0;
        std::optional<std::size_t> parent;     ///< The request whose run makes this call.
        std::size_t pending_calls = 0;         ///< Of its run.
        std::chrono::nanoseconds work_left{0}; ///< Of its run, after the calls.
        bool nested = false;                   ///< As learned by the node of origin.
        bool ended = false;
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

    void schedule(std::chrono::nanoseconds delay, std::function<void()> run);
    std::chrono::nanoseconds network_delay(std::size_t from, std::size_t to) const;
    reported_load load_of(std::size_t index) const;
    void report(std::size_t from, bool own_domain);
    void generate_request(std::size_t domain, std::size_t kind);
    void enter(std::size_t id);
    std::optional<std::chrono::milliseconds> refuse_run(std::size_t id);
    void ask_for_grant(std::size_t id, std::size_t to);
    void apply(std::size_t at, const upload_decisions& decisions);
    void send_request(std::size_t id, std::size_t to);
    std::chrono::nanoseconds receive(std::size_t id, std::size_t to);
    void attempt(std::size_t id);
    void run(std::size_t id, std::size_t at);
    void make_calls(std::size_t id, std::size_t at, std::chrono::nanoseconds rest);
    enum class call_end { succeeded, refused, out_of_time };
    void end_call(std::size_t id, call_end end);
    void end_run(std::size_t id, std::size_t at, bool failed, bool lost_to_load = false);
    double slowness(std::size_t index) const;
    double demand(std::size_t domain) const;
    model_result& count_of(const request& counted, time_point at);
    void offer(std::size_t id, std::size_t to);
    void apply(std::size_t at, const admission_actions& actions);
    std::chrono::nanoseconds send_response(std::size_t from, std::size_t kind);
    void fail_request(std::size_t id, std::size_t at);
    void on_refused(std::size_t id, std::size_t by, std::chrono::milliseconds retry_after);
    void on_response(std::size_t id, std::size_t by);
    void expire_queues();
    double random_unit();

    model_options options_;
    std::mt19937_64 engine_;
    random_source random_;
    time_point start_;
    time_point now_;
    std::uint64_t order_ = 0;
    double rate_factor_ = 1;
    std::priority_queue<event> events_;
    std::vector<node> nodes_;
    std::vector<request> requests_;
    /// By arrival of the first attempt and kind.
    std::map<std::pair<std::int64_t, std::size_t>, model_result> results_by_millisecond_;
};

} // namespace agatespread
