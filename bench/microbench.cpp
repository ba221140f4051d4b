// Compares one proxy hop through http_server and http_client with a direct call to the server.
#include <agatespread/event_loop.h>
#include <agatespread/http.h>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace agatespread {

namespace {

using clock_type = std::chrono::steady_clock;

/// Runs an event loop on a dedicated thread.
class loop_thread {
public:
    loop_thread() : thread_([this] { loop_.run(); }) {}
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;
    ~loop_thread()
    {
        loop_.stop();
        thread_.join();
    }

    event_loop& loop() { return loop_; }

    template <typename Function>
    void call(Function function)
    {
        std::promise<void> done;
        loop_.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    event_loop loop_;
    std::thread thread_;
};

http_call make_call(const std::string& address)
{
    http_call call;
    call.url = "http://" + address + "/stops?day=1";
    call.request.headers.add("Host", "rounds");
    call.request.headers.add("X-Agatespread-Call", "0123456789abcdef");
    return call;
}

/// An upstream, a proxy hop in front of it and a client, each on its own event loop.
class chain {
public:
    chain()
    {
        upstream_thread_.call([this] {
            upstream_ = http_server::listen(upstream_thread_.loop(), "127.0.0.1:0", http_limits(),
                                            [](const std::shared_ptr<http_exchange>& exchange) {
                                                http_response response;
                                                response.body = std::string(200, 'x');
                                                exchange->respond(std::move(response));
                                            })
                            .value();
        });
        hop_thread_.call([this] {
            forward_client_ = std::make_unique<http_client>(hop_thread_.loop());
            hop_ = http_server::listen(hop_thread_.loop(), "127.0.0.1:0", http_limits(),
                                       [this](const std::shared_ptr<http_exchange>& exchange) {
                                           forward(exchange);
                                       })
                       .value();
        });
        caller_thread_.call(
            [this] { caller_ = std::make_unique<http_client>(caller_thread_.loop()); });
    }
    chain(const chain&) = delete;
    chain& operator=(const chain&) = delete;
    ~chain()
    {
        caller_thread_.call([this] { caller_.reset(); });
        hop_thread_.call([this] {
            hop_.reset();
            forward_client_.reset();
        });
        upstream_thread_.call([this] { upstream_.reset(); });
    }

    /// Makes sequential calls and returns the duration of each.
    std::vector<double> run(bool through_hop, std::size_t calls)
    {
        const std::string address = through_hop ? hop_->address() : upstream_->address();
        std::vector<double> seconds;
        seconds.reserve(calls);
        std::promise<void> done;
        std::function<void()> next = [&] {
            const clock_type::time_point start = clock_type::now();
            caller_->send(make_call(address), [&, start](const http_result&) {
                seconds.push_back(std::chrono::duration<double>(clock_type::now() - start).count());
                seconds.size() < calls ? next() : done.set_value();
            });
        };
        caller_thread_.loop().post(next);
        done.get_future().wait();
        return seconds;
    }

    /// Keeps `in_flight` calls open; returns calls per second of CPU time of the hop thread.
    double measure_hop_rate(std::size_t calls, std::size_t in_flight)
    {
        std::size_t started = 0;
        std::size_t ended = 0;
        std::promise<void> done;
        std::function<void()> next = [&] {
            ++started;
            caller_->send(make_call(hop_->address()), [&](const http_result&) {
                if (started < calls) {
                    next();
                }
                if (++ended == calls) {
                    done.set_value();
                }
            });
        };
        const double before = hop_cpu();
        caller_thread_.loop().post([&] {
            for (std::size_t call = 0; call < in_flight; ++call) {
                next();
            }
        });
        done.get_future().wait();
        return static_cast<double>(calls) / (hop_cpu() - before);
    }

private:
    void forward(const std::shared_ptr<http_exchange>& exchange)
    {
        http_call call;
        call.url = "http://" + upstream_->address() + exchange->request().target;
        call.request = exchange->request();
        forward_client_->send(std::move(call), [exchange](http_result result) {
            exchange->respond(std::move(result.response));
        });
    }

    double hop_cpu()
    {
        timespec time{};
        hop_thread_.call([&time] { clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time); });
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    loop_thread upstream_thread_;
    loop_thread hop_thread_;
    loop_thread caller_thread_;
    std::unique_ptr<http_server> upstream_;
    std::unique_ptr<http_server> hop_;
    std::unique_ptr<http_client> forward_client_;
    std::unique_ptr<http_client> caller_;
};

double quantile(std::vector<double> values, double probability)
{
    const auto position =
        values.begin() +
        static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * probability);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

// Direct and forwarded calls alternate in batches, so that both run under the same machine load.
void one_hop(benchmark::State& state)
{
    constexpr std::size_t batch = 500;
    chain calls;
    calls.run(false, batch);
    calls.run(true, batch);
    std::vector<double> direct;
    std::vector<double> forwarded;
    for (auto _ : state) {
        const std::vector<double> without = calls.run(false, batch);
        const std::vector<double> with = calls.run(true, batch);
        direct.insert(direct.end(), without.begin(), without.end());
        forwarded.insert(forwarded.end(), with.begin(), with.end());
    }
    state.counters["direct_p50_us"] = quantile(direct, 0.5) * 1e6;
    state.counters["hop_p50_us"] = quantile(forwarded, 0.5) * 1e6;
    state.counters["added_p50_us"] = (quantile(forwarded, 0.5) - quantile(direct, 0.5)) * 1e6;
    state.counters["added_p99_us"] = (quantile(forwarded, 0.99) - quantile(direct, 0.99)) * 1e6;
    state.counters["p50_ratio"] = quantile(forwarded, 0.5) / quantile(direct, 0.5);
}
BENCHMARK(one_hop)->Iterations(20)->Unit(benchmark::kMillisecond);

// Calls per second of CPU time of the hop thread, with 32 calls in flight.
void hop_rate(benchmark::State& state)
{
    constexpr std::size_t batch = 20000;
    chain calls;
    calls.run(true, 500);
    double rate = 0;
    for (auto _ : state) {
        rate = std::max(rate, calls.measure_hop_rate(batch, 32));
    }
    state.counters["calls_per_core_second"] = rate;
}
BENCHMARK(hop_rate)->Iterations(3)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace agatespread

BENCHMARK_MAIN();
