// A small upstream for demonstrations and tests: registers with the node on its host, responds with
// a description of the request that it ran, and counts the runs of each idempotency key.

#include <agatespread/base.h>
#include <agatespread/digest.h>
#include <agatespread/event_loop.h>
#include <agatespread/http.h>

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace {

using agatespread::http_exchange;
using agatespread::http_request;
using agatespread::http_response;
using std::chrono::milliseconds;

constexpr milliseconds announce_period{1000};
constexpr milliseconds drain_poll_period{50};

struct target_options {
    std::string listen_address = "127.0.0.1:0";
    std::string operator_address;
    std::string mesh_address; ///< Receives the next call, /chain/N-1, of a call to /chain/N.
    std::string name = "target";
    std::string fleet;
    std::string service;
    std::string tenant;
    std::uint32_t slots = 10;
    milliseconds work{5};
    std::uint64_t seed = 1;
};

class target {
public:
    target(agatespread::event_loop& loop, target_options options)
        : loop_(loop), options_(std::move(options)), client_(loop), engine_(options_.seed)
    {
    }

    absl::Status start()
    {
        absl::StatusOr<std::unique_ptr<agatespread::http_server>> server =
            agatespread::http_server::listen(
                loop_, options_.listen_address, agatespread::http_limits(),
                [this](std::shared_ptr<http_exchange> exchange) { receive(std::move(exchange)); });
        if (!server.ok()) {
            return server.status();
        }
        server_ = *std::move(server);
        std::cout << "listening on " << server_->address() << std::endl;
        announce("ready");
        announce_timer_ = loop_.every(announce_period, [this](agatespread::time_point) {
            announce(draining_ ? "draining" : "ready");
        });
        return absl::OkStatus();
    }

    void drain()
    {
        if (draining_) {
            return;
        }
        draining_ = true;
        announce("draining");
        drain_poll_ =
            loop_.every(drain_poll_period, [this](agatespread::time_point) { stop_when_idle(); });
    }

private:
    void announce(const std::string& state)
    {
        if (options_.operator_address.empty()) {
            return;
        }
        const nlohmann::json record = {{"service", options_.service},
                                       {"tenant", options_.tenant},
                                       {"address", server_->address()},
                                       {"slots", options_.slots},
                                       {"state", state}};
        agatespread::http_call call;
        call.url = "http://" + options_.operator_address + "/v1/upstream";
        call.request.method = "PUT";
        call.request.body = record.dump();
        call.timeout = announce_period;
        client_.send(std::move(call), [this, state](const agatespread::http_result& result) {
            if (state == "draining" && result.outcome == agatespread::http_outcome::answered) {
                drain_announced_ = true;
            }
        });
    }

    // The node sends no new requests once it has received the announcement, so a target that stays
    // idle for two more polls can exit.
    void stop_when_idle()
    {
        const bool idle = running_ == 0 && queue_.empty() && drain_announced_;
        idle_polls_ = idle ? idle_polls_ + 1 : 0;
        if (idle_polls_ > 2) {
            announce("gone");
            loop_.stop();
        }
    }

    void receive(std::shared_ptr<http_exchange> exchange)
    {
        const http_request& request = exchange->request();
        if (request.target == "/control/runs") {
            respond_json(*exchange, {{"runs", runs_}, {"total", total_runs_}});
            return;
        }
        if (request.target == "/control/faults") {
            change_faults(*exchange);
            return;
        }
        if (request.target == "/control/health") {
            respond_json(*exchange, {{"healthy", !reports_unhealthy_}, {"running", running_}});
            return;
        }
        if (request.target.rfind("/crash", 0) == 0) {
            std::_Exit(70);
        }
        queue_.push_back(std::move(exchange));
        start_queued();
    }

    void change_faults(http_exchange& exchange)
    {
        const nlohmann::json change =
            nlohmann::json::parse(exchange.request().body.bytes(), nullptr, false);
        if (!change.is_object()) {
            exchange.respond({400, {}, "a JSON object is expected\n"});
            return;
        }
        injected_delay_ = milliseconds(change.value("slow_ms", 0));
        error_percent_ = change.value("error_percent", 0U);
        reports_unhealthy_ = change.value("claims_illness", false);
        respond_json(exchange, change);
    }

    void start_queued()
    {
        while (running_ < options_.slots && !queue_.empty()) {
            const std::shared_ptr<http_exchange> exchange = std::move(queue_.front());
            queue_.pop_front();
            ++running_;
            run(exchange);
        }
    }

    // A request that must run at most once has an idempotency key, or is a POST with its own id.
    void count_run(const http_request& request)
    {
        const std::string key(request.headers.get("Idempotency-Key"));
        if (!key.empty()) {
            ++runs_[key];
        }
        else if (request.method == "POST") {
            ++runs_[std::string(request.headers.get("X-Request-Id"))];
        }
    }

    void run(const std::shared_ptr<http_exchange>& exchange)
    {
        ++total_runs_;
        count_run(exchange->request());
        // Work times are uniform within 50 % of their mean.
        const std::int64_t mean = options_.work.count();
        std::uniform_int_distribution<std::int64_t> spread(mean / 2, mean + mean / 2);
        const std::uint64_t id = next_timer_++;
        timers_[id] = loop_.after(milliseconds(spread(engine_)) + injected_delay_,
                                  [this, exchange, id](agatespread::time_point) {
                                      finish(exchange);
                                      loop_.post([this, id] { timers_.erase(id); });
                                  });
    }

    void finish(const std::shared_ptr<http_exchange>& exchange)
    {
        const std::uint32_t depth = chain_depth(exchange->request().target);
        if (depth > 0) {
            call_next(exchange, depth - 1);
            return;
        }
        --running_;
        send_response(*exchange);
        start_queued();
    }

    static std::uint32_t chain_depth(std::string_view path)
    {
        constexpr std::string_view prefix = "/chain/";
        std::uint32_t depth = 0;
        if (path.substr(0, prefix.size()) != prefix ||
            !absl::SimpleAtoi(std::string(path.substr(prefix.size())), &depth)) {
            return 0;
        }
        return depth;
    }

    // The upstream occupies its slot while its own call is in flight, as real services do.
    void call_next(const std::shared_ptr<http_exchange>& exchange, std::uint32_t depth)
    {
        const http_request& request = exchange->request();
        agatespread::http_call call;
        call.url = fmt::format("http://{}/chain/{}", options_.mesh_address, depth);
        call.request.method = request.method;
        call.request.headers.set("Host", options_.service);
        for (const char* name : {"X-Request-Id", "X-Agatespread-Context"}) {
            if (request.headers.contains(name)) {
                call.request.headers.set(name, std::string(request.headers.get(name)));
            }
        }
        call.request.body = request.body;
        client_.send(std::move(call), [this, exchange](const agatespread::http_result& result) {
            --running_;
            if (result.outcome == agatespread::http_outcome::answered) {
                http_response response;
                response.status = result.response.status;
                response.body = result.response.body;
                exchange->respond(std::move(response));
            }
            else {
                exchange->respond({502, {}, "the next call of the chain got no response\n"});
            }
            start_queued();
        });
    }

    void send_response(http_exchange& exchange)
    {
        const http_request& request = exchange.request();
        std::uniform_int_distribution<std::uint32_t> percent(0, 99);
        if (percent(engine_) < error_percent_) {
            exchange.respond({500, {}, "injected error\n"});
        }
        else {
            respond_json(exchange, {{"fleet", options_.fleet},
                                    {"service", options_.service},
                                    {"target", options_.name},
                                    {"id", std::string(request.headers.get("X-Request-Id"))},
                                    {"path", request.target},
                                    {"sha256", agatespread::sha256_hex(request.body)}});
        }
    }

    static void respond_json(http_exchange& exchange, const nlohmann::json& body)
    {
        http_response response;
        response.headers.set("Content-Type", "application/json");
        response.body = body.dump();
        exchange.respond(std::move(response));
    }

    agatespread::event_loop& loop_;
    target_options options_;
    agatespread::http_client client_;
    std::unique_ptr<agatespread::http_server> server_;
    agatespread::subscription announce_timer_;
    agatespread::subscription drain_poll_;
    std::map<std::uint64_t, agatespread::subscription> timers_;
    std::uint64_t next_timer_ = 0;
    std::deque<std::shared_ptr<http_exchange>> queue_;
    std::map<std::string, std::uint32_t> runs_;
    std::mt19937_64 engine_;
    milliseconds injected_delay_{0};
    std::uint32_t error_percent_ = 0;
    std::uint64_t total_runs_ = 0;
    std::uint32_t running_ = 0;
    int idle_polls_ = 0;
    bool reports_unhealthy_ = false;
    bool draining_ = false;
    bool drain_announced_ = false;
};

constexpr const char* usage =
    "usage: agatespread-target [options]\n"
    "  --listen ADDRESS    address to listen on (127.0.0.1:0)\n"
    "  --operator ADDRESS  operator address of the node on this host, to register with\n"
    "  --mesh ADDRESS      mesh address of that node, for calls of the path /chain/N\n"
    "  --name NAME         name of this target in its responses\n"
    "  --fleet FLEET       fleet of this target in its responses\n"
    "  --service SERVICE   service to register\n"
    "  --tenant TENANT     tenant to register\n"
    "  --slots N           maximum number of concurrent requests (10)\n"
    "  --work-ms N         mean time of one request in ms (5)\n"
    "  --seed N            seed of the work times (1)\n"
    "  --help, --version\n";

constexpr std::array<option, 13> long_options = {{{"listen", required_argument, nullptr, 'l'},
                                                  {"operator", required_argument, nullptr, 'o'},
                                                  {"mesh", required_argument, nullptr, 'm'},
                                                  {"name", required_argument, nullptr, 'n'},
                                                  {"fleet", required_argument, nullptr, 'f'},
                                                  {"service", required_argument, nullptr, 's'},
                                                  {"tenant", required_argument, nullptr, 't'},
                                                  {"slots", required_argument, nullptr, 'c'},
                                                  {"work-ms", required_argument, nullptr, 'w'},
                                                  {"seed", required_argument, nullptr, 'r'},
                                                  {"help", no_argument, nullptr, 'h'},
                                                  {"version", no_argument, nullptr, 'v'},
                                                  {nullptr, 0, nullptr, 0}}};

// Returns an exit code, or -1 to continue.
int parse_options(int argc, char** argv, target_options& options)
{
    int letter = 0;
    std::int64_t work = 0;
    while ((letter = getopt_long(argc, argv, "h", long_options.data(), nullptr)) != -1) {
        const std::string value = optarg == nullptr ? "" : optarg;
        bool valid = true;
        switch (letter) {
        case 'l':
            options.listen_address = value;
            break;
        case 'o':
            options.operator_address = value;
            break;
        case 'm':
            options.mesh_address = value;
            break;
        case 'n':
            options.name = value;
            break;
        case 'f':
            options.fleet = value;
            break;
        case 's':
            options.service = value;
            break;
        case 't':
            options.tenant = value;
            break;
        case 'c':
            valid = absl::SimpleAtoi(value, &options.slots) && options.slots > 0;
            break;
        case 'w':
            valid = absl::SimpleAtoi(value, &work) && work >= 0;
            options.work = milliseconds(work);
            break;
        case 'r':
            valid = absl::SimpleAtoi(value, &options.seed);
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
        if (!valid) {
            std::cerr << "agatespread-target: \"" << value << "\" is not a valid number\n";
            return 2;
        }
    }
    return -1;
}

} // namespace

int main(int argc, char** argv)
{
    target_options options;
    const int code = parse_options(argc, argv, options);
    if (code >= 0) {
        return code;
    }
    agatespread::event_loop loop;
    target upstream(loop, std::move(options));
    loop.on_signals({SIGTERM, SIGINT}, [&upstream](int) { upstream.drain(); });
    const absl::Status started = upstream.start();
    if (!started.ok()) {
        std::cerr << "agatespread-target: " << started << "\n";
        return 1;
    }
    loop.run();
    return 0;
}
