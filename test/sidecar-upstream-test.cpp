#include "raw_upstream.h"
#include "sidecar_call.h"
#include "sidecar_fixture.h"

#include <asio/read.hpp>

#include <thread>

namespace agatespread::test {

namespace {

using std::chrono::milliseconds;

using sidecar_upstream = sidecar_fixture;

std::string id_of(const std::string& head)
{
    const std::size_t start = head.find("\r\nId: ") + 6;
    return head.substr(start, head.find('\r', start) - start);
}

std::string read_head(asio::ip::tcp::socket& socket)
{
    std::string head;
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
    return error ? std::string() : head;
}

std::string refusal_of(const std::string& id)
{
    const std::string id_line = id.empty() ? "" : "Id: " + id + "\r\n";
    return "HTTP/1.1 503 Busy\r\n" + id_line + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/// Sends a request that is refused and one that runs, on one connection to an upstream that writes
/// `repeated` before the response to the second one. Returns the second response's status.
int status_after_repeated_refusal(sidecar_fixture& test, const std::string& repeated,
                                  std::atomic<int>& runs)
{
    const auto serve = [&runs, &repeated](asio::ip::tcp::socket& socket, int) {
        for (std::string head = read_head(socket); !head.empty(); head = read_head(socket)) {
            if (head.find("POST") != 0) {
                raw_upstream::write(socket, refusal_of(id_of(head)));
                continue;
            }
            if (id_of(head) == "1") {
                raw_upstream::write(socket, refusal_of("1"));
                continue;
            }
            ++runs;
            raw_upstream::write(socket, repeated + "HTTP/1.1 200 OK\r\nId: " + id_of(head) +
                                            "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok");
        }
    };
    raw_upstream upstream(serve, 0, raw_upstream::handling::concurrent);
    // A process of another test may still probe an upstream that had the port before.
    asio::io_context context;
    asio::ip::tcp::socket foreign(context);
    foreign.connect({asio::ip::address_v4::loopback(), upstream.port()});
    test.start(test.first, "a", "rounds", upstream.address());
    test.configure("1 1000 once rounds");
    EXPECT_TRUE(test.eventually_ready(test.first));
    test.send_heartbeat(test.first);
    EXPECT_EQ(test.send(test.first, "1", "POST").response.status, 503);
    const int status = test.send(test.first, "2", "POST").response.status;
    test.thread.call([&test] { test.first.node.reset(); });
    return status;
}

} // namespace

// Guards against "not run" for a request that an upstream has run, because it wrote the refusal of
// an earlier request once more.
TEST_F(sidecar_upstream, repeated_refusal_of_an_earlier_request_is_not_taken_for_a_response)
{
    std::atomic<int> runs{0};
    EXPECT_EQ(status_after_repeated_refusal(*this, refusal_of("1"), runs), 502);
    EXPECT_EQ(runs, 1);
}

// The same for a refusal that names no request.
TEST_F(sidecar_upstream, refusal_without_a_request_id_is_not_taken_for_a_response)
{
    std::atomic<int> runs{0};
    EXPECT_EQ(status_after_repeated_refusal(*this, refusal_of(""), runs), 502);
    EXPECT_EQ(runs, 1);
}

// Guards against additional bytes of an upstream that reach a caller as the response to a request
// that has run: as a promise not to have run, or as an error of another request.
TEST_F(sidecar_upstream, failure_without_a_request_id_is_not_taken_for_a_response)
{
    for (const char* const status : {"400 Bad", "404 None", "429 Many", "500 Bad", "503 Busy"}) {
        std::atomic<int> runs{0};
        const std::string additional =
            std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(status_after_repeated_refusal(*this, additional, runs), 502) << status;
        EXPECT_EQ(runs, 1) << status;
    }
}

// Guards against an upload that is cut off and lost because its upstream pauses in reading, which a
// sound one may do until the caller's deadline.
TEST_F(sidecar_upstream, upload_outlasts_a_pause_in_reading_of_its_upstream)
{
    constexpr std::size_t body_bytes = 8U << 20U; // More than the buffers of the sockets hold.
    static constexpr milliseconds pause{3000};
    raw_upstream upstream([](asio::ip::tcp::socket& socket, int) {
        const std::string head = read_head(socket);
        if (head.find("POST") != 0) {
            return;
        }
        std::this_thread::sleep_for(pause);
        std::string body(body_bytes, 0);
        asio::error_code error;
        std::size_t left = body_bytes - (head.size() - head.find("\r\n\r\n") - 4);
        asio::read(socket, asio::buffer(body, left), error);
        raw_upstream::write(socket, "HTTP/1.1 200 OK\r\nId: " + id_of(head) +
                                        "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok");
    });
    start(first, "a", "rounds", upstream.address());
    configure("1 8000 once rounds");
    ASSERT_TRUE(eventually_ready(first));
    send_heartbeat(first);
    http_call call;
    call.url = "http://" + thread.call([this] { return first.node->caller_address(); }) + "/x/1";
    call.request.method = "POST";
    call.request.headers.set("Host", "mesh.example");
    call.request.headers.set(id_header, "7");
    call.request.body = std::string(body_bytes, 'u');
    call.timeout = std::chrono::seconds(10);
    std::promise<http_result> promise;
    thread.loop().post([&] {
        client.send(std::move(call),
                    [&promise](http_result result) { promise.set_value(std::move(result)); });
    });
    EXPECT_EQ(promise.get_future().get().response.status, 200);
}

// Guards against a response whose head broke off that a caller gets as a whole one.
TEST_F(sidecar_upstream, response_that_ends_within_its_head_is_a_failure)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\nId: ?\r\nSignature: s\r\nContent-Type: text/plain\r\n"
        "Content-Length: 1000\r\n\r\n";
    std::atomic<std::size_t> cut{0};
    raw_upstream upstream([&head, &cut](asio::ip::tcp::socket& socket, int) {
        const std::string request = read_head(socket);
        if (request.find("GET /x/") != 0) {
            return;
        }
        std::string response = head;
        response.replace(response.find('?'), 1, id_of(request));
        raw_upstream::write(socket, response.substr(0, cut));
    });
    start(first, "a", "rounds", upstream.address());
    configure("1 1000 once rounds");
    ASSERT_TRUE(eventually_ready(first));
    for (cut = 1; cut < head.size(); ++cut) {
        send_heartbeat(first, "i-1", false, cut);
        EXPECT_EQ(send(first, "7").response.status, 502) << head.substr(0, cut);
    }
}

// Guards against a node that exceeds the memory of its host, and is killed with all its requests,
// because large requests within the limit of each arrive at the same time.
TEST_F(sidecar_upstream, request_bodies_beyond_the_memory_are_refused_and_small_requests_go_on)
{
    constexpr std::size_t memory = 4U << 20U;
    constexpr std::size_t body_bytes = 4U << 20U; // Two exceed 13/32 of the memory.
    adjust_settings = [](sidecar_settings& settings) { settings.memory_bytes = 4 * memory; };
    start(first, "a", "rounds");
    configure("1 5000 once rounds");
    ASSERT_TRUE(eventually_ready(first));
    send_heartbeat(first);
    ASSERT_TRUE(eventually_responds_with(first, 200));
    const std::string address = thread.call([this] { return first.node->caller_address(); });
    const std::string head = "POST /x/1 HTTP/1.1\r\nHost: mesh.example\r\nId: large\r\n"
                             "Content-Length: " +
                             std::to_string(body_bytes) + "\r\n\r\n";
    raw_connection taken(address);
    taken.send(head + std::string(body_bytes - 1, 'x'));
    ASSERT_TRUE(thread.eventually([this] {
        return data.gauge_of("agatespread_request_bytes").value() >=
               static_cast<std::int64_t>(body_bytes);
    }));
    raw_connection refused(address);
    refused.send(head + std::string(body_bytes, 'x'));
    const std::string refusal = refused.read_until("\r\n\r\n");
    EXPECT_EQ(refusal.substr(9, 3), "503");
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(send(first, "small", "POST").response.status, 200);
    taken.send("x");
    EXPECT_EQ(taken.read_until("\r\n\r\n").substr(9, 3), "200");
    EXPECT_EQ(thread.call([this] { return first.last_request.body.size(); }), body_bytes);
}

// Guards against a node that exceeds the memory of its host, and is killed with all its requests,
// because its upstream sends several responses without end.
TEST_F(sidecar_upstream, responses_without_end_are_cut_off_within_the_memory_for_bodies)
{
    constexpr std::size_t memory = 4U << 20U;
    constexpr int endless_responses = 3;
    adjust_settings = [](sidecar_settings& settings) { settings.memory_bytes = 4 * memory; };
    std::vector<std::thread> responses;
    std::atomic<int> endless{0};
    raw_upstream upstream([&](asio::ip::tcp::socket& socket, int) {
        const std::string id = id_of(read_head(socket));
        const std::string head = "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\n";
        if (id.find("endless") != 0) {
            raw_upstream::write(socket, head + "Content-Length: 2\r\nConnection: close\r\n\r\nok");
            return;
        }
        ++endless;
        raw_upstream::write(socket, head + "\r\n");
        responses.emplace_back([connection = std::move(socket)]() mutable {
            const std::string chunk(64U << 10U, 'z');
            asio::error_code error;
            while (!error) {
                asio::write(connection, asio::buffer(chunk), error);
                std::this_thread::sleep_for(milliseconds(2));
            }
        });
    });
    start(first, "a", "rounds", upstream.address());
    configure("1 5000 once rounds");
    ASSERT_TRUE(eventually_ready(first));
    upstream_heartbeat heartbeat;
    heartbeat.instance = "i-1";
    heartbeat.sequence = 1;
    heartbeat.slots = 10;
    thread.call([&] { first.node->receive_heartbeat(heartbeat); });
    std::vector<std::thread> callers;
    callers.reserve(endless_responses);
    std::atomic<int> failed{0};
    for (int caller = 0; caller < endless_responses; ++caller) {
        callers.emplace_back([this, &failed, caller] {
            failed +=
                send(first, "endless-" + std::to_string(caller), "POST").response.status == 502;
        });
    }
    int sound = 0;
    for (int id = 0; failed < endless_responses && id < 1000; ++id) {
        EXPECT_EQ(send(first, std::to_string(id), "POST").response.status, 200);
        ++sound;
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(endless, endless_responses);
    EXPECT_EQ(failed, endless_responses);
    EXPECT_GT(sound, 10);
    const auto peak = [this] { return data.gauge_of("agatespread_body_peak_bytes").value(); };
    EXPECT_TRUE(thread.eventually([&] { return peak() > 0; }));
    EXPECT_LE(peak(), static_cast<std::int64_t>(memory));
    thread.call([this] { first.node.reset(); });
    for (std::thread& response : responses) {
        response.join();
    }
}

// Promise: an acknowledged leaving holds until the upstream is gone. Guards against requests to an
// upstream whose node was killed while the platform was down, so that the leaving was never stored,
// and whose late heartbeat reaches the next process of the node.
TEST_F(sidecar_upstream, leaving_acknowledged_without_the_platform_outlasts_a_kill)
{
    std::atomic<bool> leaving{false};
    adjust_dialect = [&leaving](sidecar_dialect& dialect) {
        dialect.read_health = [&leaving](const http_response&) {
            return leaving ? std::nullopt : std::optional<std::string>("i-1");
        };
    };
    start(first, "a", "rounds");
    start(second, "b", "orders"); // From which the next process gets the configuration.
    configure("1 1000 idempotent rounds");
    ASSERT_TRUE(eventually_ready(first));
    ASSERT_TRUE(eventually_ready(second));
    send_heartbeat(first);
    ASSERT_TRUE(eventually_responds_with(first, 200));
    const auto set_platform_down = [this](bool down) {
        thread.call([this, down] {
            platform_faults faults;
            faults.down = down;
            store.set_faults(faults);
        });
    };
    set_platform_down(true);
    leaving = true;
    thread.call([this] {
        first.node->deregister_upstream("i-1", milliseconds(0));
        first.node.reset();
    });
    set_platform_down(false);
    const std::unique_ptr<http_server> upstream = std::move(first.upstream);
    start(first, "a", "rounds", upstream->address());
    ASSERT_TRUE(eventually_ready(first));
    const int before = first.request_count;
    send_heartbeat(first, "i-1", false, 2);
    for (int id = 0; id < 20; ++id) {
        EXPECT_EQ(send(first, std::to_string(id)).response.status, 503);
    }
    EXPECT_EQ(first.request_count, before);
    leaving = false;
    EXPECT_TRUE(eventually_responds_with(first, 200)); // Of an upstream that does not leave.
}

// Guards against a leaving that is heard only from responses that ran.
TEST_F(sidecar_upstream, leaving_that_a_refusal_announces_closes_the_gate)
{
    start(first, "a", "rounds");
    first.serve = [](const std::shared_ptr<http_exchange>& exchange) {
        http_response response = make_response(exchange->request(), 503);
        response.headers.add("Not-Run", "1");
        response.headers.add("Leaving", "1");
        exchange->respond(std::move(response));
    };
    configure("1 1000 idempotent rounds");
    ASSERT_TRUE(eventually_ready(first));
    send_heartbeat(first);
    EXPECT_EQ(send(first, "1").response.status, 503);
    const int before = first.request_count;
    EXPECT_EQ(send(first, "2").response.status, 503);
    EXPECT_EQ(first.request_count, before);
}

// Guards against a leaving that takes effect only while the platform is in reach.
TEST_F(sidecar_upstream, leaving_closes_the_gate_while_the_platform_is_down)
{
    start(first, "a", "rounds");
    start(second, "b", "orders");
    first.serve = [](const std::shared_ptr<http_exchange>& exchange) {
        http_response response = make_response(exchange->request());
        response.headers.add("Leaving", "1");
        exchange->respond(std::move(response));
    };
    configure("1 1000 idempotent rounds");
    ASSERT_TRUE(eventually_ready(first));
    ASSERT_TRUE(eventually_ready(second));
    thread.call([this] {
        platform_faults faults;
        faults.down = true;
        store.set_faults(faults);
    });
    send_heartbeat(first);
    ASSERT_TRUE(eventually_responds_with(second, 200));
    const int before = first.request_count;
    EXPECT_EQ(send(first, "1").response.status, 503);
    EXPECT_EQ(send(second, "2").response.status, 503);
    EXPECT_EQ(first.request_count, before);
}

// Guards against requests from a host that has passed on the leaving, after the node beside the
// upstream restarted without the platform and a late heartbeat arrived there.
TEST_F(sidecar_upstream, leaving_that_another_node_has_passed_on_outlasts_a_restart_of_the_gate)
{
    const std::string report_address = "127.0.0.1:" + std::to_string(free_port());
    adjust_settings = [&report_address](sidecar_settings& settings) {
        if (settings.node == "b") {
            settings.report_address = report_address; // At which the other node finds it again.
        }
    };
    start(first, "a", "orders");
    start(second, "b", "rounds");
    std::atomic<bool> leaving{true};
    second.serve = [&leaving](const std::shared_ptr<http_exchange>& exchange) {
        http_response response = make_response(exchange->request());
        if (leaving) {
            response.headers.add("Leaving", "1");
        }
        exchange->respond(std::move(response));
    };
    configure("1 1000 idempotent rounds");
    ASSERT_TRUE(eventually_ready(first));
    send_heartbeat(second);
    ASSERT_TRUE(eventually_responds_with(first, 200));
    thread.call([this] {
        platform_faults faults;
        faults.down = true;
        store.set_faults(faults);
        second.node.reset();
    });
    const std::unique_ptr<http_server> upstream = std::move(second.upstream);
    const int before = second.request_count;
    leaving = false; // Of the process that starts later.
    start(second, "b", "rounds", upstream->address());
    second.serve = [](const std::shared_ptr<http_exchange>& exchange) {
        exchange->respond(make_response(exchange->request()));
    };
    ASSERT_TRUE(eventually_ready(second)); // By a fetch of the version from the first node.
    send_heartbeat(second, "i-1", false, 2);
    const time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    for (int id = 0; std::chrono::steady_clock::now() < end; ++id) {
        EXPECT_EQ(send(first, std::to_string(id)).response.status, 503);
    }
    EXPECT_EQ(second.request_count, before);
    // A process that started later under the same address.
    send_heartbeat(second, "i-2", false, 1);
    EXPECT_TRUE(eventually_responds_with(first, 200));
}

// Guards against more requests than an upstream accepts, from hosts that have passed on its limit,
// after the node beside the upstream restarted and knows of no limit.
TEST_F(sidecar_upstream, limit_that_another_node_has_passed_on_outlasts_a_restart_of_the_gate)
{
    constexpr int limit = 1; // Requests per second.
    constexpr milliseconds window = std::chrono::seconds(4);
    constexpr int slots = 20;
    start(first, "a", "orders");
    start(second, "b", "rounds");
    std::vector<subscription> responses;
    second.serve = [&](const std::shared_ptr<http_exchange>& exchange) {
        responses.push_back(thread.loop().after(milliseconds(200), [exchange](time_point) {
            http_response response = make_response(exchange->request());
            response.headers.add("Limit", std::to_string(limit));
            exchange->respond(std::move(response));
        }));
    };
    const auto beat = [this](std::uint64_t sequence) {
        upstream_heartbeat heartbeat;
        heartbeat.instance = "i-1";
        heartbeat.sequence = sequence;
        heartbeat.slots = slots;
        thread.call([&] { second.node->receive_heartbeat(heartbeat); });
    };
    configure("1 1000 idempotent rounds");
    ASSERT_TRUE(eventually_ready(first));
    beat(1);
    ASSERT_TRUE(eventually_responds_with(first, 200));
    const std::function<void(std::shared_ptr<http_exchange>)> serve = second.serve;
    thread.call([this] { second.node.reset(); });
    const std::unique_ptr<http_server> upstream = std::move(second.upstream);
    start(second, "b", "rounds", upstream->address());
    second.serve = serve;
    ASSERT_TRUE(eventually_ready(second));
    const int before = second.request_count;
    beat(2);
    const time_point end = std::chrono::steady_clock::now() + window;
    std::vector<std::thread> callers;
    callers.reserve(slots);
    for (int caller = 0; caller < slots; ++caller) {
        callers.emplace_back([this, caller, end] {
            while (std::chrono::steady_clock::now() < end) {
                send(first, std::to_string(caller));
                std::this_thread::sleep_for(milliseconds(20));
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_LE(second.request_count - before, window / std::chrono::seconds(1) * limit * 3 / 2 + 5);
    thread.call([&responses] { responses.clear(); });
}

// Promise: a planned stop cuts off no request. Guards against a request of a node that has not
// heard of the stop, which is passed on to the upstream and cut off when the process ends.
TEST_F(sidecar_upstream, stopping_node_passes_no_request_of_another_node_on)
{
    start(first, "a", "rounds");
    configure("1 1000 once rounds");
    ASSERT_TRUE(eventually_ready(first));
    send_heartbeat(first);
    ASSERT_TRUE(eventually_responds_with(first, 200));
    const int before = first.request_count;
    thread.call([this] { first.node->shut_down([] {}); });
    detail::forwarded_request_metadata metadata;
    metadata.caller_service = "orders";
    metadata.service = "rounds";
    metadata.rule = "all";
    metadata.time_left = std::chrono::seconds(1);
    http_call call;
    call.url = "http://" + thread.call([this] { return first.node->call_address(); }) + "/x/1";
    call.request.method = "POST";
    call.request.headers.set(id_header, "late");
    detail::write_forwarded_request(metadata, call.request.headers);
    std::promise<http_result> promise;
    thread.loop().post([&] {
        client.send(std::move(call),
                    [&promise](http_result result) { promise.set_value(std::move(result)); });
    });
    const http_result result = promise.get_future().get();
    const std::optional<detail::forwarded_response_metadata> answer =
        detail::read_forwarded_response(result.response.headers);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->outcome, call_outcome::draining); // The other node chooses another upstream.
    EXPECT_EQ(first.request_count, before);
}

// The same for a request whose last bytes arrive late in the stop.
TEST_F(sidecar_upstream, request_read_late_in_a_stop_is_refused_and_not_passed_on)
{
    constexpr milliseconds delay{100};
    adjust_settings = [delay](sidecar_settings& settings) { settings.shutdown_delay = delay; };
    start(first, "a", "orders");
    start(second, "b", "rounds");
    configure("1 1000 once rounds");
    ASSERT_TRUE(eventually_ready(first));
    send_heartbeat(second);
    ASSERT_TRUE(eventually_responds_with(first, 200));
    const int before = second.request_count;
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    const std::string address = thread.call([this] { return first.node->caller_address(); });
    const int port = std::stoi(address.substr(address.find(':') + 1));
    caller.connect({asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)});
    asio::write(caller, asio::buffer(std::string("POST /x/1 HTTP/1.1\r\nHost: mesh.example\r\n")));
    std::promise<void> past_delay;
    subscription timer;
    thread.call([&] {
        first.node->shut_down([] {});
        timer = thread.loop().after(2 * delay, [&](time_point) { past_delay.set_value(); });
    });
    past_delay.get_future().wait();
    asio::write(caller, asio::buffer(std::string("Id: late\r\nContent-Length: 0\r\n\r\n")));
    EXPECT_EQ(read_head(caller).substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(second.request_count, before);
    thread.call([&timer] { timer.cancel(); });
}

} // namespace agatespread::test
