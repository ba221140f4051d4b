#include "fake_mesh.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace agatespread::test {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct overload_result {
    double goodput = 0; ///< Responses within the deadline, as a share of the slot capacity.
    milliseconds urgent_p99{0};
    double urgent_answered = 0; ///< Share of urgent calls answered with 200.
    double retries = 0;         ///< Per first attempt.
};

milliseconds deadline_of(const call_record& call)
{
    return milliseconds(call.target.rfind("/urgent", 0) == 0 ? 300 : 500);
}

bool met_deadline(const call_record& call)
{
    return call.answered && call.response.status == 200 &&
           call.ended - call.sent <= deadline_of(call);
}

void send_load(fake_mesh& mesh, double calls_per_second, microseconds duration)
{
    const std::int64_t call_count = static_cast<std::int64_t>(
        calls_per_second * std::chrono::duration<double>(duration).count());
    std::uniform_int_distribution<std::int64_t> arrival(0, duration.count());
    for (std::int64_t i = 0; i < call_count; ++i) {
        const std::string kind = i % 10 == 0 ? "/urgent/" : "/stops/";
        mesh.queue.after(microseconds(arrival(mesh.engine)), [&mesh, i, kind] {
            mesh.call(mesh.engine() % mesh.nodes.size(), kind + std::to_string(i));
        });
    }
}

overload_result run_overload(double factor, mesh_options options)
{
    options.admit.ramp = milliseconds(0);
    fake_mesh mesh(options);
    // Each upstream has 10 slots and a mean service time of 20 ms.
    const double capacity = static_cast<double>(options.nodes) * 10 / 0.020;
    const seconds duration(6);
    send_load(mesh, capacity * factor, duration);
    const time_point end = mesh.queue.now() + duration;
    mesh.queue.run_for(duration + seconds(2));
    overload_result result;
    std::vector<milliseconds> urgent;
    std::size_t on_time = 0;
    std::size_t urgent_calls = 0;
    for (const std::unique_ptr<call_record>& call : mesh.calls) {
        on_time += met_deadline(*call) && call->ended <= end ? 1 : 0;
        if (call->target.rfind("/urgent", 0) == 0) {
            ++urgent_calls;
            if (call->answered && call->response.status == 200) {
                urgent.push_back(
                    std::chrono::duration_cast<milliseconds>(call->ended - call->sent));
            }
        }
    }
    std::sort(urgent.begin(), urgent.end());
    result.goodput =
        static_cast<double>(on_time) / (capacity * static_cast<double>(duration.count()));
    result.urgent_p99 = urgent.empty() ? milliseconds(0) : urgent[urgent.size() * 99 / 100];
    result.urgent_answered = static_cast<double>(urgent.size()) / static_cast<double>(urgent_calls);
    const double first_attempts = static_cast<double>(mesh.calls.size());
    result.retries = static_cast<double>(mesh.attempts()) / first_attempts - 1;
    std::cout << "overload " << factor << "x naive=" << options.naive << " goodput "
              << result.goodput << " urgent p99 " << result.urgent_p99.count() << " ms, answered "
              << result.urgent_answered << ", retries " << result.retries << "\n";
    return result;
}

} // namespace

TEST(proxy_overload, goodput_is_maintained_and_urgent_calls_meet_their_deadline)
{
    for (const double factor : {2.0, 5.0}) {
        const overload_result result = run_overload(factor, mesh_options());
        EXPECT_GE(result.goodput, 0.95) << factor;
        EXPECT_LE(result.urgent_p99, milliseconds(300)) << factor;
        EXPECT_GE(result.urgent_answered, 0.99) << factor;
        EXPECT_LE(result.retries, 0.10) << factor;
    }
}

TEST(proxy_overload, goodput_of_the_naive_baseline_collapses)
{
    mesh_options options;
    options.naive = true;
    const overload_result result = run_overload(5, options);
    EXPECT_LT(result.goodput, 0.5);
}

} // namespace agatespread::test
