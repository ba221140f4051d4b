#include "fake_mesh.h"

#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <utility>

namespace agatespread::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct fault {
    const char* name;
    std::function<void(fake_mesh&, std::size_t node)> inject;
};

/// The number of calls that violate a guarantee, and of those answered with 200.
struct violations {
    int wrong = 0;         ///< Answered with 200 and an unexpected body.
    int truncated = 0;     ///< Answered with 200 and an incomplete body.
    int false_not_run = 0; ///< Reported as not run although the upstream ran the request.
    int run_twice = 0;     ///< Calls of the class `once` that ran more than once.
    int unanswered = 0;
    int answered = 0;
};

const std::vector<fault>& faults()
{
    static const std::vector<fault> all = {
        {"killed",
         [](fake_mesh& mesh, std::size_t node) {
             mesh.nodes[node]->upstream->restart_time = seconds(60);
             mesh.nodes[node]->upstream->crash();
         }},
        {"crash_loop",
         [](fake_mesh& mesh, std::size_t node) {
             for (int i = 0; i < 20; ++i) {
                 mesh.queue.after(milliseconds(200) * i,
                                  [&mesh, node] { mesh.nodes[node]->upstream->crash(); });
             }
             mesh.nodes[node]->upstream->restart_time = milliseconds(100);
         }},
        {"paused",
         [](fake_mesh& mesh, std::size_t node) {
             mesh.nodes[node]->upstream->pause(true);
             mesh.queue.after(seconds(2),
                              [&mesh, node] { mesh.nodes[node]->upstream->pause(false); });
         }},
        {"slow", [](fake_mesh& mesh,
                    std::size_t node) { mesh.nodes[node]->upstream->service_time_factor = 30; }},
        {"lying", [](fake_mesh& mesh,
                     std::size_t node) { mesh.nodes[node]->upstream->forges_headers = true; }},
        {"truncating",
         [](fake_mesh& mesh, std::size_t node) {
             mesh.nodes[node]->upstream->truncated_probability = 0.5;
         }},
        {"cut_off", [](fake_mesh& mesh, std::size_t node) { mesh.nodes[node]->cut_off = true; }},
        {"crossing", [](fake_mesh& mesh, std::size_t) { mesh.crossed_probability = 0.05; }},
        {"late", [](fake_mesh& mesh, std::size_t) { mesh.late_probability = 0.05; }},
    };
    return all;
}

violations count_violations(const fake_mesh& mesh)
{
    violations found;
    for (const std::unique_ptr<call_record>& call : mesh.calls) {
        const http_response& response = call->response;
        const std::string expected = "answer to " + call->target;
        const int runs = mesh.runs_of(call->target);
        found.unanswered += call->answered ? 0 : 1;
        if (call->answered && response.status == 200) {
            ++found.answered;
            found.truncated += response.body.size() < expected.size() ? 1 : 0;
            found.wrong += response.body != expected ? 1 : 0;
        }
        found.false_not_run +=
            response.headers.contains("X-Agatespread-Not-Run") && runs > 0 ? 1 : 0;
        found.run_twice += call->target.rfind("/order", 0) == 0 && runs > 1 ? 1 : 0;
    }
    return found;
}

violations run_with_faults(const std::vector<fault>& injected, std::uint64_t seed)
{
    mesh_options options;
    options.seed = seed;
    options.nodes = 6;
    options.admit.ramp = milliseconds(0);
    fake_mesh mesh(options);
    for (int i = 0; i < 3000; ++i) {
        const std::string kind = i % 3 == 0 ? "/order/" : i % 3 == 1 ? "/stops/" : "/plain/";
        mesh.queue.after(milliseconds(i), [&mesh, i, kind] {
            // Calls enter at the first four nodes only, because faults are injected into the last
            // two and would remove callers.
            mesh.call(mesh.engine() % 4, kind + std::to_string(i), "POST");
        });
    }
    mesh.queue.after(milliseconds(500), [&mesh, injected] {
        for (std::size_t i = 0; i < injected.size(); ++i) {
            injected[i].inject(mesh, 4 + i);
        }
    });
    mesh.queue.run_for(seconds(6));
    return count_violations(mesh);
}

void expect_no_violations(const violations& found, const std::string& name)
{
    EXPECT_EQ(found.wrong, 0) << name;
    EXPECT_EQ(found.truncated, 0) << name;
    EXPECT_EQ(found.false_not_run, 0) << name;
    EXPECT_EQ(found.run_twice, 0) << name;
    EXPECT_EQ(found.unanswered, 0) << name;
    std::cout << "faults " << name << ": " << found.answered << " of 3000 answered\n";
}

} // namespace

TEST(proxy_fault, single_faults_cause_no_violation)
{
    for (const fault& each : faults()) {
        const violations found = run_with_faults({each}, 11);
        expect_no_violations(found, each.name);
        // At most one of six upstreams is faulty; the others must serve at least 90 % of the calls.
        EXPECT_GE(found.answered, 2700) << each.name;
    }
}

TEST(proxy_fault, pairs_of_faults_cause_no_violation)
{
    for (const fault& first : faults()) {
        for (const fault& second : faults()) {
            expect_no_violations(run_with_faults({first, second}, 12),
                                 std::string(first.name) + "+" + second.name);
        }
    }
}

} // namespace agatespread::test
