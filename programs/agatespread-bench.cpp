// Open-loop load generator: sends a seeded mix of calls into a mesh, validates every response and
// prints the outcomes as JSON. It starts no processes; tools/cluster.py runs the mesh.

#include <agatespread/base.h>
#include <agatespread/digest.h>
#include <agatespread/event_loop.h>
#include <agatespread/http.h>

#include <fmt/format.h>
#include <getopt.h>
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace {

using agatespread::http_outcome;
using agatespread::http_result;
using agatespread::time_point;
using std::chrono::milliseconds;

constexpr milliseconds send_period{2};
constexpr milliseconds drain_timeout{5000};

/// One kind of call in the mix.
struct call_kind {
    std::string name;
    std::vector<std::string> entries; ///< Mesh addresses of the nodes that receive the calls.
    std::string host;
    std::string path;
    std::string method = "GET";
    double rate = 10;    ///< Calls per second.
    bool keyed = false;  ///< Each call carries an Idempotency-Key.
    bool checked = true; ///< Validate the response, which agatespread-target must have sent.
    std::size_t body_bytes = 0;
    milliseconds timeout{2000};
    std::vector<std::string> services; ///< Services that may respond, as FLEET/SERVICE.
    std::uint32_t resends = 3;         ///< Retries at other entries after a lost connection.
};

struct scenario {
    std::uint64_t seed = 7;
    milliseconds duration{10000};
    std::vector<call_kind> calls;
};

struct call_counts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t answered_in_time = 0;
    std::uint64_t not_run = 0;
    std::uint64_t outcome_not_known = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrong = 0;
    std::uint64_t lost = 0;
    std::uint64_t resent = 0;
    std::vector<double> latencies_ms;
    std::map<int, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> by_service;
    std::vector<std::string> examples;
};

struct pending_call {
    std::size_t kind = 0;
    std::string id;
    std::string body;
    std::string expected_hash;
    time_point start;
    std::size_t entry = 0;
    std::uint32_t tries = 0;
};

class load_generator {
public:
    load_generator(agatespread::event_loop& loop, scenario plan)
        : loop_(loop), plan_(std::move(plan)), client_(loop, 400), engine_(plan_.seed),
          tallies_(plan_.calls.size()), due_(plan_.calls.size(), 0.0)
    {
    }

    void start()
    {
        end_ = loop_.now() + plan_.duration;
        last_send_ = loop_.now();
        send_timer_ = loop_.every(send_period, [this](time_point now) { send_due(now); });
    }

    /// Ends the sending phase early; calls in flight may still complete.
    void finish_early() { end_ = std::min(end_, loop_.now()); }

    std::uint64_t failures() const
    {
        std::uint64_t sum = 0;
        for (const call_counts& result : tallies_) {
            sum += result.wrong + result.lost;
        }
        return sum;
    }

    nlohmann::json report() const
    {
        nlohmann::json result = {{"seed", plan_.seed}, {"calls", nlohmann::json::array()}};
        for (std::size_t i = 0; i < tallies_.size(); ++i) {
            result["calls"].push_back(describe(plan_.calls[i], tallies_[i]));
        }
        return result;
    }

private:
    void send_due(time_point now)
    {
        if (now >= end_) {
            if (in_flight_ == 0 || now >= end_ + drain_timeout) {
                loop_.stop();
            }
            return;
        }
        const double elapsed = std::chrono::duration<double>(now - last_send_).count();
        last_send_ = now;
        for (std::size_t i = 0; i < plan_.calls.size(); ++i) {
            due_[i] += elapsed * plan_.calls[i].rate;
            for (; due_[i] >= 1.0; due_[i] -= 1.0) {
                start_call(i, now);
            }
        }
    }

    void start_call(std::size_t kind, time_point now)
    {
        const call_kind& settings = plan_.calls[kind];
        const std::shared_ptr<pending_call> call = std::make_shared<pending_call>();
        call->kind = kind;
        call->id = fmt::format("{}-{:x}-{}", settings.name, plan_.seed, next_id_++);
        call->body.assign(settings.body_bytes, static_cast<char>('a' + next_id_ % 26));
        call->expected_hash = agatespread::sha256_hex(call->body);
        call->start = now;
        std::uniform_int_distribution<std::size_t> entry(0, settings.entries.size() - 1);
        call->entry = entry(engine_);
        ++tallies_[kind].sent;
        ++in_flight_;
        send(call);
    }

    void send(const std::shared_ptr<pending_call>& call)
    {
        const call_kind& settings = plan_.calls[call->kind];
        agatespread::http_call request;
        request.url = "http://" + settings.entries[call->entry] + settings.path;
        // A retry goes to the next entry, as with a client that has a list of addresses.
        call->entry = (call->entry + 1) % settings.entries.size();
        request.request.method = settings.method;
        request.request.headers.set("Host", settings.host);
        request.request.headers.set("X-Request-Id", call->id);
        if (settings.keyed) {
            request.request.headers.set("Idempotency-Key", call->id);
        }
        request.request.body = call->body;
        request.timeout = settings.timeout;
        ++call->tries;
        client_.send(std::move(request),
                     [this, call](const http_result& result) { receive(call, result); });
    }

    void receive(const std::shared_ptr<pending_call>& call, const http_result& result)
    {
        const call_kind& settings = plan_.calls[call->kind];
        call_counts& counts = tallies_[call->kind];
        if (result.outcome != http_outcome::answered) {
            // Retries at another entry only where this cannot run the request twice.
            const bool retryable = !result.sent || settings.keyed || settings.method != "POST";
            if (retryable && call->tries <= settings.resends) {
                ++counts.resent;
                loop_.post([this, call] { send(call); });
                return;
            }
            ++counts.lost;
            record_example(counts, fmt::format("{}: lost: {}", call->id, result.error));
            --in_flight_;
            return;
        }
        --in_flight_;
        ++counts.statuses[result.response.status];
        const double latency =
            std::chrono::duration<double, std::milli>(loop_.now() - call->start).count();
        classify(*call, result.response, latency, counts);
    }

    void classify(const pending_call& call, const agatespread::http_response& response,
                  double latency, call_counts& counts)
    {
        if (response.headers.get("X-Agatespread-Not-Run") == "1") {
            ++counts.not_run;
            return;
        }
        if (response.status == 504 || response.status == 409) {
            ++counts.outcome_not_known;
            return;
        }
        if (response.status != 200) {
            ++counts.refused;
            record_example(counts, fmt::format("{}: status {}: {}", call.id, response.status,
                                               response.body.substr(0, 200)));
            return;
        }
        const call_kind& settings = plan_.calls[call.kind];
        ++counts.answered;
        counts.latencies_ms.push_back(latency);
        if (latency <= std::chrono::duration<double, std::milli>(settings.timeout).count()) {
            ++counts.answered_in_time;
        }
        if (settings.checked && !is_valid_response(call, response.body, counts)) {
            ++counts.wrong;
            record_example(counts,
                           fmt::format("{}: wrong: {}", call.id, response.body.substr(0, 300)));
        }
    }

    bool is_valid_response(const pending_call& call, const std::string& body,
                           call_counts& counts) const
    {
        const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
        if (!answer.is_object()) {
            return false;
        }
        const std::vector<std::string>& services = plan_.calls[call.kind].services;
        const std::string service = answer.value("fleet", "") + "/" + answer.value("service", "");
        ++counts.by_service[service];
        const bool known = services.empty() ||
                           std::find(services.begin(), services.end(), service) != services.end();
        return known && answer.value("id", "") == call.id &&
               answer.value("sha256", "") == call.expected_hash;
    }

    static void record_example(call_counts& counts, std::string text)
    {
        constexpr std::size_t max_examples = 5;
        if (counts.examples.size() < max_examples) {
            counts.examples.push_back(std::move(text));
        }
    }

    static double percentile(std::vector<double> values, double probability)
    {
        if (values.empty()) {
            return 0;
        }
        std::sort(values.begin(), values.end());
        const double position = probability * static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(position)];
    }

    static nlohmann::json describe(const call_kind& kind, const call_counts& counts)
    {
        nlohmann::json statuses = nlohmann::json::object();
        for (const std::pair<const int, std::uint64_t>& status : counts.statuses) {
            statuses[std::to_string(status.first)] = status.second;
        }
        return {{"name", kind.name},
                {"sent", counts.sent},
                {"answered", counts.answered},
                {"answered_in_time", counts.answered_in_time},
                {"not_run", counts.not_run},
                {"outcome_not_known", counts.outcome_not_known},
                {"refused", counts.refused},
                {"wrong", counts.wrong},
                {"lost", counts.lost},
                {"resent", counts.resent},
                {"p50_ms", percentile(counts.latencies_ms, 0.5)},
                {"p99_ms", percentile(counts.latencies_ms, 0.99)},
                {"statuses", statuses},
                {"by_service", counts.by_service},
                {"examples", counts.examples}};
    }

    agatespread::event_loop& loop_;
    scenario plan_;
    agatespread::http_client client_;
    std::mt19937_64 engine_;
    std::vector<call_counts> tallies_;
    std::vector<double> due_;
    agatespread::subscription send_timer_;
    time_point end_;
    time_point last_send_;
    std::uint64_t next_id_ = 0;
    std::uint64_t in_flight_ = 0;
};

call_kind read_call(const YAML::Node& node)
{
    call_kind kind;
    kind.name = node["name"].as<std::string>();
    kind.entries = node["entries"].as<std::vector<std::string>>();
    kind.host = node["host"].as<std::string>();
    kind.path = node["path"].as<std::string>();
    kind.method = node["method"].as<std::string>(kind.method);
    kind.rate = node["rate"].as<double>();
    kind.keyed = node["keyed"].as<bool>(kind.keyed);
    kind.checked = node["checked"].as<bool>(kind.checked);
    kind.body_bytes = node["body_bytes"].as<std::size_t>(0);
    kind.timeout = milliseconds(node["timeout_ms"].as<std::int64_t>(kind.timeout.count()));
    kind.services = node["services"].as<std::vector<std::string>>(std::vector<std::string>());
    kind.resends = node["resends"].as<std::uint32_t>(kind.resends);
    if (kind.entries.empty()) {
        throw YAML::Exception(node["entries"].Mark(), "at least one entry address is required");
    }
    return kind;
}

scenario read_scenario(const std::string& file)
{
    const YAML::Node root = YAML::LoadFile(file);
    scenario plan;
    plan.seed = root["seed"].as<std::uint64_t>(plan.seed);
    plan.duration = milliseconds(root["duration_ms"].as<std::int64_t>(plan.duration.count()));
    for (const YAML::Node& call : root["calls"]) {
        plan.calls.push_back(read_call(call));
    }
    return plan;
}

constexpr const char* usage =
    "usage: agatespread-bench --config FILE\n"
    "Sends the calls of a YAML scenario and prints their outcomes as JSON. Exit code 1 when a\n"
    "response was wrong or a call was lost. SIGTERM ends the sending phase early.\n"
    "  --config FILE       the scenario\n"
    "  --help, --version\n";

constexpr std::array<option, 4> long_options = {{{"config", required_argument, nullptr, 'c'},
                                                 {"help", no_argument, nullptr, 'h'},
                                                 {"version", no_argument, nullptr, 'v'},
                                                 {nullptr, 0, nullptr, 0}}};

int run(const std::string& file)
{
    scenario plan;
    try {
        plan = read_scenario(file);
    }
    catch (const YAML::Exception& error) {
        std::cerr << "agatespread-bench: " << file << ": " << error.what() << "\n";
        return 2;
    }
    agatespread::event_loop loop;
    load_generator load(loop, std::move(plan));
    loop.on_signals({SIGTERM, SIGINT}, [&load](int) { load.finish_early(); });
    load.start();
    loop.run();
    std::cout << load.report().dump(2) << std::endl;
    return load.failures() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::string file;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "h", long_options.data(), nullptr)) != -1) {
        switch (letter) {
        case 'c':
            file = optarg;
            break;
        case 'h':
            std::cout << usage;
            return 0;
        case 'v':
            std::cout << agatespread::library_version() << "\n";
            return 0;
        default:
            std::cerr << usage;
            return 2;
        }
    }
    if (file.empty()) {
        std::cerr << usage;
        return 2;
    }
    return run(file);
}
