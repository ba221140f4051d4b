#include <agatespread/proxy.h>
#include <agatespread/tree.h>

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <thread>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A worker thread that runs posted functions and whose simulated upstream responds immediately.
///
/// `running` counts the calls in flight of all workers, and `peak_running` is its maximum.
class worker_thread {
public:
    worker_thread(std::uint64_t seed, std::atomic<int>& running, std::atomic<int>& peak_running)
        : engine_(seed)
    {
        context.now = [] { return time_point(std::chrono::hours(1)); };
        context.wall_clock = [] { return std::chrono::system_clock::time_point(seconds(1)); };
        context.random = [this] { return engine_(); };
        context.cancel = [](worker_context::call_id) {};
        context.post = [this](std::function<void()> call) { post(std::move(call)); };
        context.send = [this, &running, &peak_running](const http_call&,
                                                       std::function<void(http_result)> done) {
            const int running_now = ++running;
            int peak = peak_running.load();
            while (peak < running_now && !peak_running.compare_exchange_weak(peak, running_now)) {
            }
            post([&running, done = std::move(done)] {
                --running;
                http_result result;
                result.outcome = http_outcome::answered;
                result.sent = true;
                done(std::move(result));
            });
            return worker_context::call_id(1);
        };
        thread_ = std::thread([this] { run(); });
    }
    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;
    ~worker_thread()
    {
        post(nullptr);
        thread_.join();
    }

    void post(std::function<void()> call)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        calls_.push_back(std::move(call));
        changed_.notify_one();
    }

    worker_context context;

private:
    void run()
    {
        for (;;) {
            std::unique_lock<std::mutex> lock(mutex_);
            changed_.wait(lock, [this] { return !calls_.empty(); });
            const std::function<void()> call = std::move(calls_.front());
            calls_.pop_front();
            lock.unlock();
            if (!call) {
                return;
            }
            call();
        }
    }

    std::mt19937_64 engine_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> calls_;
    std::thread thread_;
};

/// An exchange that counts all responses, and those with status 200.
class counted_exchange final : public http_exchange {
public:
    counted_exchange(http_request request, std::atomic<int>& answered, std::atomic<int>& ok)
        : request_(std::move(request)), answered_(answered), ok_(ok)
    {
    }
    const http_request& request() const override { return request_; }
    void respond(http_response response) override
    {
        ok_ += response.status == 200 ? 1 : 0;
        ++answered_;
    }
    void on_cancel(std::function<void()> /*call*/) override {}

private:
    http_request request_;
    std::atomic<int>& answered_;
    std::atomic<int>& ok_;
};

std::shared_ptr<const snapshot> make_snapshot()
{
    const absl::StatusOr<std::string> document = canonical_subtree(R"(
services: [{name: rounds, tenant: nile}]
clusters: [{name: all, service: rounds}]
classes: [{name: normal, priority: 5, deadline: 500ms}]
routes: [{service: rounds, prefix: /, cluster: all, class: normal, timeout: 250ms}]
)",
                                                                   "test.yaml");
    return *build_snapshot({{"nile-soy/rounds", document.value()}}, 1, "manifest");
}

} // namespace

TEST(proxy_thread, workers_share_the_slots_and_every_call_is_answered_once)
{
    // Guards against data races between worker threads; to be run with
    // -DAGATESPREAD_SANITIZE=thread as well.
    const mesh_signer signer("node-0", {{"k", "secret"}});
    crash_guard_options guard_options;
    guard_options.max_waiting = 100000;
    crash_guard guard(guard_options);
    balancer upstreams("cairo-1", {});
    metrics data;
    admission_options admission_settings;
    admission_settings.ramp = milliseconds(0);
    admission_settings.queue_length = 100000;
    inbound in({}, admission_settings, signer, guard, data);
    outbound_hooks hooks;
    std::shared_ptr<const snapshot> config = make_snapshot();
    hooks.current_snapshot = [config] { return std::shared_ptr<const snapshot>(config); };
    hooks.deliver_local = [&in](std::shared_ptr<http_exchange> exchange,
                                const worker_context& context) {
        in.handle(std::move(exchange), context);
    };
    outbound out({"node-0", "nile-soy", "cairo-1", {}, {}}, hooks, signer, guard, upstreams, data);
    member_record member;
    member.node = "node-0";
    member.failure_domain = "cairo-1";
    member.upstream = {"nile-soy", "rounds", "nile", 3, upstream_state::ready};
    upstreams.update_members({member});
    in.set_upstream("http://127.0.0.1:1", member.upstream, time_point(std::chrono::hours(1)));

    constexpr int calls = 4000;
    std::atomic<int> running{0};
    std::atomic<int> peak_running{0};
    std::atomic<int> answered{0};
    std::atomic<int> ok{0};
    {
        std::vector<std::unique_ptr<worker_thread>> workers;
        for (std::uint64_t i = 0; i < 4; ++i) {
            workers.push_back(std::make_unique<worker_thread>(i, running, peak_running));
        }
        for (int i = 0; i < calls; ++i) {
            worker_thread& worker = *workers[static_cast<std::size_t>(i) % workers.size()];
            http_request request;
            request.target = "/stops/" + std::to_string(i % 50);
            request.headers.add("Host", "rounds");
            const std::shared_ptr<http_exchange> exchange =
                std::make_shared<counted_exchange>(request, answered, ok);
            worker.post([&out, &worker, exchange] { out.handle(exchange, worker.context); });
            if (i % 100 == 0) {
                guard.suspect(request_fingerprint("rounds.nile-soy", "GET", request.target, ""),
                              worker.context.now());
                in.tick(worker.context.now());
                upstreams.update_members({member});
            }
        }
        while (answered < calls) {
            std::this_thread::yield();
        }
    }
    EXPECT_EQ(answered, calls);
    EXPECT_EQ(ok, calls);
    EXPECT_LE(peak_running, 3);
    EXPECT_TRUE(in.idle());
}

} // namespace agatespread
