#include "fake_mesh.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace agatespread::test {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));
constexpr std::chrono::system_clock::time_point wall_start =
    std::chrono::system_clock::time_point(std::chrono::hours(500000));

call_metadata sample_call()
{
    call_metadata call;
    call.call_id = "0123456789abcdef0123456789abcdef";
    call.deadline = milliseconds(250);
    call.request_class = "stop-list";
    call.priority = 3;
    call.tenant = "nile-soy";
    call.depth = 4;
    call.attempt = 2;
    call.on_retry_path = true;
    call.suspect = true;
    return call;
}

mesh_options without_ramp(std::size_t nodes = 3)
{
    mesh_options options;
    options.nodes = nodes;
    options.admit.ramp = milliseconds(0);
    return options;
}

const std::vector<frame_key> keys = {{"new", "secret two"}, {"old", "secret one"}};

} // namespace

TEST(proxy, strips_hop_by_hop_and_mesh_headers_except_the_context)
{
    http_headers headers;
    headers.add("Host", "rounds");
    headers.add("Connection", "close, X-Private");
    headers.add("X-Private", "1");
    headers.add("transfer-encoding", "chunked");
    headers.add("Content-Length", "7");
    headers.add("Upgrade", "h2c");
    headers.add("x-agatespread-not-run", "1");
    headers.add("X-Agatespread-Depth", "0");
    headers.add("X-Agatespread-Context", "kept");
    headers.add("Idempotency-Key", "k");
    strip_headers(headers);
    std::vector<std::string> names;
    for (const http_headers::field& field : headers.fields()) {
        names.push_back(field.first);
    }
    EXPECT_EQ(names,
              std::vector<std::string>({"Host", "Idempotency-Key", "X-Agatespread-Context"}));
}

TEST(proxy, error_response_rounds_retry_after_up)
{
    const http_response response = proxy_error_response(503, "full", true, milliseconds(1001));
    EXPECT_EQ(response.headers.get("Retry-After"), "2");
    EXPECT_EQ(response.headers.get("X-Agatespread-Not-Run"), "1");
    EXPECT_FALSE(proxy_error_response(504, "late", false, {}).headers.contains("Retry-After"));
}

TEST(proxy, call_metadata_round_trips_and_any_modification_is_rejected)
{
    const mesh_signer sender("a", {keys[1]});
    const mesh_signer receiver("b", keys);
    http_request request;
    request.target = "/stops?day=1";
    request.headers.add("Host", "rounds");
    sender.write_call(sample_call(), wall_start, request);
    const std::optional<call_metadata> read = receiver.read_call(request, wall_start);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->call_id, sample_call().call_id);
    EXPECT_EQ(read->deadline, milliseconds(250));
    EXPECT_EQ(read->request_class, "stop-list");
    EXPECT_EQ(read->priority, 3);
    EXPECT_EQ(read->depth, 4U);
    EXPECT_EQ(read->attempt, 2U);
    EXPECT_TRUE(read->on_retry_path);
    EXPECT_TRUE(read->suspect);
    EXPECT_FALSE(receiver.read_call(request, wall_start + seconds(31)));
    for (const char* const name :
         {"Deadline", "Class", "Tenant", "Depth", "Attempt", "Call", "Suspect", "Mac"}) {
        http_request forged = request;
        forged.headers.set(std::string("X-Agatespread-") + name, "1");
        if (std::string(name) != "Suspect") {
            EXPECT_FALSE(receiver.read_call(forged, wall_start)) << name;
        }
        forged.headers.remove(std::string("X-Agatespread-") + name);
        EXPECT_FALSE(receiver.read_call(forged, wall_start)) << name;
    }
    request.target = "/orders";
    EXPECT_FALSE(receiver.read_call(request, wall_start));
    EXPECT_FALSE(mesh_signer("c", {{"old", "wrong"}}).read_call(request, wall_start));
}

TEST(proxy, response_metadata_is_accepted_only_for_its_call_and_with_a_valid_signature)
{
    const mesh_signer signer("a", keys);
    response_metadata metadata;
    metadata.call_id = sample_call().call_id;
    metadata.outcome = call_outcome::not_run;
    metadata.load = load_hint{3, 1, 10};
    http_response response = proxy_error_response(503, "full", true, seconds(1));
    signer.write_response(metadata, response);
    const std::optional<response_metadata> read = signer.read_response(metadata.call_id, response);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->outcome, call_outcome::not_run);
    EXPECT_EQ(read->load->running, 3U);
    EXPECT_FALSE(signer.read_response("another call", response));
    http_response forged = response;
    forged.status = 200;
    EXPECT_FALSE(signer.read_response(metadata.call_id, forged));
    metadata.outcome = call_outcome::crashed;
    http_response crashed = proxy_error_response(502, "crashed", false, {});
    signer.write_response(metadata, crashed);
    EXPECT_FALSE(crashed.headers.contains("X-Agatespread-Not-Run"));
    crashed.headers.set("X-Agatespread-Outcome", "not-run");
    EXPECT_FALSE(signer.read_response(metadata.call_id, crashed));
}

TEST(proxy, context_is_accepted_only_by_the_node_that_signed_it)
{
    const mesh_signer signer("a", keys);
    const std::string value = signer.write_context({start, 3, true});
    const std::optional<call_context> read = signer.read_context(value);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->depth, 3U);
    EXPECT_TRUE(read->on_retry_path);
    EXPECT_EQ(read->deadline, start);
    EXPECT_FALSE(mesh_signer("b", keys).read_context(value));
    std::string forged = value;
    forged[forged.find(';') + 1] = '0';
    EXPECT_FALSE(signer.read_context(forged));
}

TEST(proxy, call_without_a_node_signature_is_rejected_by_the_inbound_pipeline)
{
    // Guards against a caller that connects to the inbound port directly and forges metadata to
    // bypass admission control.
    fake_mesh mesh(without_ramp());
    http_call call;
    call.url = "http://node-1/stops";
    call.request.headers.add("X-Agatespread-Call", sample_call().call_id);
    int status = 0;
    mesh.nodes[0]->worker.send(call,
                               [&](const http_result& result) { status = result.response.status; });
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(status, 403);
    EXPECT_EQ(mesh.nodes[1]->upstream->runs.size(), 0U);
}

TEST(proxy, responses_to_the_caller_contain_no_mesh_headers)
{
    fake_mesh mesh(without_ramp());
    const call_record& call = mesh.call(0, "/stops/1");
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(call.response.status, 200);
    for (const http_headers::field& field : call.response.headers.fields()) {
        EXPECT_EQ(field.first.find("X-Agatespread"), std::string::npos) << field.first;
    }
}

TEST(proxy, unknown_service_is_refused_as_not_run)
{
    fake_mesh mesh(without_ramp());
    http_request request;
    request.headers.add("Host", "nowhere");
    const call_record& call = mesh.call(0, request);
    mesh.queue.run_for(milliseconds(1));
    EXPECT_EQ(call.response.status, 404);
    EXPECT_EQ(call.response.headers.get("X-Agatespread-Not-Run"), "1");
}

TEST(proxy, cancellation_is_propagated_to_the_upstream)
{
    fake_mesh mesh(without_ramp(1));
    mesh.nodes[0]->upstream->mean_service_time = milliseconds(200);
    const call_record& call = mesh.call(0, "/stops/1");
    mesh.queue.run_for(milliseconds(20));
    EXPECT_EQ(mesh.nodes[0]->in->load(mesh.queue.now()).running, 1U);
    mesh.cancel_last();
    mesh.queue.run_for(seconds(1));
    EXPECT_FALSE(call.answered);
    EXPECT_EQ(mesh.nodes[0]->upstream->cancelled, 1);
    EXPECT_TRUE(mesh.nodes[0]->in->idle());
    EXPECT_EQ(mesh.nodes[0]->out->in_flight(), 0U);
}

TEST(proxy, once_call_without_a_response_ends_with_outcome_not_known_and_is_not_retried)
{
    fake_mesh mesh(without_ramp());
    for (const std::unique_ptr<fake_mesh::node_state>& node : mesh.nodes) {
        node->upstream->pause(true);
    }
    const call_record& call = mesh.call(0, "/order/1", "POST");
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(call.response.status, 504);
    EXPECT_EQ(call.response.body, "outcome not known\n");
    EXPECT_FALSE(call.response.headers.contains("Retry-After"));
    EXPECT_FALSE(call.response.headers.contains("X-Agatespread-Not-Run"));
    EXPECT_EQ(mesh.runs_of("/order/1"), 1);
}

TEST(proxy, late_response_does_not_complete_the_next_attempt)
{
    fake_mesh mesh(without_ramp());
    mesh.announce(0, upstream_state::draining); // Only responses of other nodes can be delayed.
    mesh.queue.run_for(milliseconds(10));
    mesh.late_probability = 1;
    const call_record& call = mesh.call(0, "/stops/1");
    // The first attempt times out after 250 ms. Its response arrives 310 to 330 ms after the start,
    // while the second attempt is in flight.
    mesh.queue.run_for(milliseconds(249));
    mesh.late_probability = 0;
    for (const std::unique_ptr<fake_mesh::node_state>& node : mesh.nodes) {
        node->upstream->mean_service_time = milliseconds(165);
    }
    mesh.queue.run_for(seconds(2));
    EXPECT_EQ(call.response.status, 200);
    EXPECT_EQ(mesh.runs_of("/stops/1"), 2);
    EXPECT_EQ(mesh.nodes[0]->data.counter_of("agatespread_late_answers_total").value(), 1U);
    EXPECT_EQ(mesh.nodes[0]->data.counter_of("agatespread_crossed_answers_total").value(), 0U);
}

TEST(proxy, repeated_idempotency_key_gets_the_recorded_response)
{
    fake_mesh mesh(without_ramp());
    const call_record& first = mesh.call(0, "/order/1", "POST", "key-1");
    const call_record& concurrent = mesh.call(1, "/order/1", "POST", "key-1");
    mesh.queue.run_for(seconds(1));
    const call_record& repeated = mesh.call(2, "/order/1", "POST", "key-1");
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(first.response.status, 200);
    EXPECT_EQ(concurrent.response.status, 409);
    EXPECT_EQ(repeated.response.status, 200);
    EXPECT_EQ(repeated.response.body, first.response.body);
    EXPECT_EQ(mesh.runs_of("/order/1"), 1);
}

TEST(proxy, call_with_an_idempotency_key_completes_after_its_caller_disconnects)
{
    // Guards against cancelling an order when its caller loses the connection, after which every
    // repeat of the key would get "outcome not known".
    fake_mesh mesh(without_ramp());
    mesh.call(0, "/order/1", "POST", "key-1");
    mesh.queue.run_for(milliseconds(3));
    mesh.cancel_last();
    mesh.queue.run_for(seconds(1));
    const call_record& repeated = mesh.call(1, "/order/1", "POST", "key-1");
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(repeated.response.status, 200);
    EXPECT_EQ(mesh.runs_of("/order/1"), 1);
}

TEST(proxy, call_is_refused_as_not_run_when_its_key_cannot_be_claimed)
{
    fake_mesh mesh(without_ramp());
    mesh.claims["key-1"].state = claim_state::unavailable;
    const call_record& call = mesh.call(0, "/order/1", "POST", "key-1");
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(call.response.status, 503);
    EXPECT_EQ(call.response.headers.get("X-Agatespread-Not-Run"), "1");
    EXPECT_EQ(call.response.headers.get("Retry-After"), "1");
    EXPECT_EQ(mesh.runs_of("/order/1"), 0);
}

TEST(proxy, call_is_not_sent_after_the_lease_of_its_claim_has_expired)
{
    // Guards against sending a request after the process was paused between claim and send.
    fake_mesh mesh(without_ramp());
    mesh.claims["key-1"].state = claim_state::granted;
    mesh.claims["key-1"].may_send_until = mesh.queue.now();
    const call_record& call = mesh.call(0, "/order/1", "POST", "key-1");
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(call.response.status, 503);
    EXPECT_EQ(call.response.headers.get("X-Agatespread-Not-Run"), "1");
    EXPECT_EQ(mesh.runs_of("/order/1"), 0);
}

TEST(proxy, claim_is_released_when_the_call_did_not_run)
{
    fake_mesh mesh(without_ramp(1));
    mesh.nodes[0]->upstream->down = true;
    const call_record& first = mesh.call(0, "/order/1", "POST", "key-1");
    mesh.queue.run_for(milliseconds(100));
    EXPECT_EQ(first.response.headers.get("X-Agatespread-Not-Run"), "1");
    mesh.nodes[0]->upstream->down = false;
    mesh.queue.run_for(seconds(3));
    const call_record& second = mesh.call(0, "/order/1", "POST", "key-1");
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(second.response.status, 200);
}

TEST(proxy, context_propagates_deadline_and_retry_path_to_nested_calls)
{
    fake_mesh mesh(without_ramp());
    const std::string context =
        mesh.nodes[0]->signer->write_context({mesh.queue.now() + milliseconds(30), 4, true});
    for (const std::unique_ptr<fake_mesh::node_state>& node : mesh.nodes) {
        node->upstream->pause(true);
    }
    http_request request;
    request.target = "/stops/1";
    request.headers.add("Host", "rounds");
    request.headers.add("X-Agatespread-Context", context);
    const call_record& call = mesh.call(0, request);
    mesh.queue.run_for(seconds(1));
    // The remaining 30 ms of the parent call bound the nested call, and a call on a retry path is
    // not retried.
    EXPECT_EQ(call.response.status, 504);
    EXPECT_LE(call.ended - call.sent, milliseconds(30));
    EXPECT_EQ(mesh.runs_of("/stops/1"), 1);
}

TEST(proxy, drain_completes_running_calls_and_forwards_no_new_ones)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        mesh_options options = without_ramp();
        options.seed = seed;
        fake_mesh mesh(options);
        for (int i = 0; i < 2000; ++i) {
            mesh.queue.after(milliseconds(i), [&mesh, i] {
                mesh.call(mesh.engine() % 3, "/order/" + std::to_string(i), "POST");
            });
        }
        std::map<std::string, int> runs_after_drain;
        mesh.queue.after(milliseconds(1000),
                         [&mesh] { mesh.announce(2, upstream_state::draining); });
        mesh.queue.after(milliseconds(1000) + seconds(0) + milliseconds(300),
                         [&mesh, &runs_after_drain] {
                             EXPECT_TRUE(mesh.nodes[2]->in->idle());
                             runs_after_drain = mesh.nodes[2]->upstream->runs;
                         });
        mesh.queue.run_for(seconds(4));
        EXPECT_EQ(mesh.nodes[2]->upstream->runs, runs_after_drain) << "seed " << seed;
        const auto unsuccessful = std::count_if(
            mesh.calls.begin(), mesh.calls.end(), [](const std::unique_ptr<call_record>& call) {
                return !call->answered || call->response.status != 200;
            });
        EXPECT_EQ(unsuccessful, 0) << "seed " << seed;
    }
}

TEST(proxy, results_without_faults_equal_the_naive_baseline)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::vector<std::pair<int, std::string>> results[2];
        for (const bool naive : {false, true}) {
            mesh_options options = without_ramp();
            options.seed = seed;
            options.naive = naive;
            fake_mesh mesh(options);
            for (int i = 0; i < 2000; ++i) {
                const std::string kind = i % 2 == 0 ? "/order/" : "/stops/";
                mesh.queue.after(milliseconds(i), [&mesh, i, kind] {
                    mesh.call(static_cast<std::size_t>(i) % 3, kind + std::to_string(i), "POST");
                });
            }
            mesh.queue.run_for(seconds(4));
            for (const std::unique_ptr<call_record>& call : mesh.calls) {
                EXPECT_EQ(mesh.runs_of(call->target), 1);
                results[naive ? 1 : 0].emplace_back(call->response.status, call->response.body);
            }
        }
        EXPECT_EQ(results[0], results[1]) << "seed " << seed;
    }
}

TEST(proxy, requests_are_counted_by_tenant_and_class)
{
    fake_mesh mesh(without_ramp());
    mesh.call(0, "/stops/1");
    mesh.call(0, "/urgent/1");
    mesh.queue.run_for(seconds(1));
    metrics& data = mesh.nodes[0]->data;
    EXPECT_EQ(data.counter_of("agatespread_requests_total",
                              {{"tenant", "nile"}, {"class", "normal"}, {"result", "answered"}})
                  .value(),
              1U);
    EXPECT_EQ(
        data.histogram_of("agatespread_request_seconds", {{"tenant", "nile"}, {"class", "urgent"}})
            .count(),
        1U);
}

TEST(proxy, each_call_is_counted_with_exactly_one_result)
{
    // Guards against counting a refused call both as refused and as failed.
    fake_mesh mesh(without_ramp(1));
    mesh.nodes[0]->upstream->down = true;
    mesh.call(0, "/stops/1");
    mesh.queue.run_for(seconds(2));
    std::uint64_t results = 0;
    for (const char* result : {"answered", "failed", "not_run", "unknown", "cancelled"}) {
        results += mesh.nodes[0]
                       ->data
                       .counter_of("agatespread_requests_total",
                                   {{"tenant", "nile"}, {"class", "normal"}, {"result", result}})
                       .value();
    }
    EXPECT_EQ(results, 1U);
}

TEST(proxy, attempts_sent_to_other_failure_domains_are_counted)
{
    mesh_options options = without_ramp(2);
    options.failure_domains = 2;
    fake_mesh mesh(options);
    mesh.announce(0, upstream_state::draining);
    mesh.queue.run_for(milliseconds(100));
    mesh.call(0, "/stops/1");
    mesh.queue.run_for(seconds(1));
    EXPECT_EQ(mesh.nodes[0]->data.counter_of("agatespread_spilled_total").value(), 1U);
}

} // namespace agatespread::test
