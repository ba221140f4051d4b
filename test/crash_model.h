#pragma once

#include "crash_sharing.h"
#include "fake_mesh.h"

#include <agatespread/crash_guard.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace agatespread::test {

/// How an upstream ends while it runs the crashing request.
enum class crash_ending {
    closes_connections,
    goes_silent, ///< It neither responds nor closes connections until it restarts.
    caller_left  ///< As `goes_silent`, and the caller disconnects at once.
};

/// The load and the faults of a crash model.
struct crash_model_options {
    std::uint64_t seed = 1;
    std::size_t nodes = 6;
    crash_ending ending = crash_ending::closes_connections;
    /// Time between two sends of the crashing request; 0 for none.
    std::chrono::milliseconds crash_period{0};
    /// Time between two unrelated faults of each kind; 0 for none.
    std::chrono::milliseconds node_restart_period{0};
    std::chrono::milliseconds all_nodes_restart_period{0};
    std::chrono::milliseconds upstream_kill_period{0};
    std::size_t killed_upstreams = 1; ///< At each unrelated kill.
    std::chrono::milliseconds release_period{0};
    /// Each send of the crashing request has another query, and so another fingerprint.
    bool varies_query = false;
    /// All harmless requests have the path of the crashing one, and other queries.
    bool shares_path = false;
    double report_loss = 0.05;
    double requests_per_second = 200;
    std::size_t distinct_requests = 100; ///< With a frequency of 1, 1/2, 1/3 and so on.
    double server_error_ratio = 0;       ///< Share of the requests that an upstream fails at once.
    std::size_t queue_length = 0;        ///< Calls that wait at a node for a slot of its upstream.
    /// Callers' nodes send a request whose upstream crashed to one further upstream.
    bool retries_after_crash = false;
    /// Callers that are refused return after the time that the refusal names, this many times.
    std::size_t returns_after_refusal = 0;
};

/// Replays load and faults on the crash guards of many nodes, without sockets and real time.
class crash_model {
public:
    explicit crash_model(const crash_model_options& options);

    void run_for(std::chrono::milliseconds span) { queue_.run_for(span); }

    /// Times at which the crashing request ended an upstream.
    const std::vector<time_point>& crash_times() const { return crash_times_; }

    /// Returns the crashes later than `settle_time` after the third one.
    std::size_t late_crashes(std::chrono::milliseconds settle_time) const;

    std::uint64_t harmless_sent() const { return harmless_sent_; }
    std::uint64_t harmless_refused() const { return harmless_refused_; }

    /// Returns the harmless requests refused when theirs had been refused for longer than a trial.
    std::uint64_t harmless_refused_long() const { return harmless_refused_long_; }

    /// Returns the longest time for which a harmless request was only refused.
    std::chrono::milliseconds longest_refusal() const;

private:
    struct model_call {
        std::uint64_t fingerprint = 0;
        std::uint64_t upstream_incarnation = 0;
        time_point deadline;
        bool running = false;
        bool retried = false; ///< Its first upstream has crashed.
    };

    struct model_node {
        std::unique_ptr<crash_guard> guard;
        std::unique_ptr<detail::crash_sharing> sharing;
        std::map<std::uint64_t, model_call> calls;
        std::deque<std::uint64_t> queue; ///< Calls without a slot.
        std::uint64_t process = 0;
        bool up = false;
        bool upstream_up = true;
        bool exit_announced = false;
        bool gate_open = true;
        std::uint64_t upstream_incarnation = 1;
    };

    struct refusal_span {
        bool refusing = false;
        time_point since;
    };

    void start_node(std::size_t index);
    void stop_node(std::size_t index);
    void every(std::chrono::milliseconds period, std::function<void()> call);
    void send_harmless();
    void send(std::uint64_t fingerprint, std::size_t returns);
    void return_later(std::uint64_t fingerprint, std::size_t returns,
                      std::chrono::milliseconds retry_after);
    void deliver(std::size_t gate, std::uint64_t fingerprint, bool suspect, bool retried);
    void retry(std::size_t crashed_gate, const model_call& call);
    static bool has_free_slot(const model_node& node);
    void offer_call(std::size_t gate, std::uint64_t id);
    void start_queued(std::size_t gate);
    void start_call(std::size_t gate, std::uint64_t id);
    void run_crashing(std::size_t gate, std::uint64_t id);
    void run_to_response(std::size_t gate, std::uint64_t id, bool failed);
    void end_at_deadline(std::size_t gate, std::uint64_t id);
    void end_running(std::size_t index, std::uint64_t process);
    void end_upstream(std::size_t index, bool closes_connections, bool announced);
    void apply(std::size_t index, const guard_actions& actions);
    void send_reports(std::size_t from, std::size_t to, std::vector<crash_report> reports);
    void send_crashing();
    bool crashes_upstream(std::uint64_t fingerprint) const;
    request_identity identity_of(std::uint64_t fingerprint) const;
    void record_refusal(std::uint64_t fingerprint);
    void record_success(std::uint64_t fingerprint);
    bool chance(double probability);
    std::size_t below(std::size_t limit);

    const crash_model_options options_;
    event_queue queue_;
    std::mt19937_64 engine_;
    std::vector<model_node> nodes_;
    std::vector<double> weights_;
    std::map<std::uint64_t, std::pair<crash_report, time_point>> stored_blocks_;
    std::vector<time_point> crash_times_;
    std::map<std::uint64_t, refusal_span> refusals_;
    std::chrono::nanoseconds longest_refusal_{0};
    std::uint64_t harmless_sent_ = 0;
    std::uint64_t harmless_refused_ = 0;
    std::uint64_t harmless_refused_long_ = 0;
    std::uint64_t crashing_sent_ = 0;
    std::uint64_t next_id_ = 0;
};

} // namespace agatespread::test
