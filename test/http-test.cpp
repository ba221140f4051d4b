#include "loop_thread.h"
#include "raw_upstream.h"

#include <agatespread/http.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <thread>
#include <vector>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

/// Listens without accepting and with a full queue, so that further connection attempts stay
/// pending until they are given up.
class full_listener {
public:
    full_listener() : acceptor_(context_)
    {
        acceptor_.open(asio::ip::tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
        constexpr int more_than_the_queue_holds = 4;
        for (int count = 0; count < more_than_the_queue_holds; ++count) {
            fillers_.emplace_back(context_);
            fillers_.back().async_connect(acceptor_.local_endpoint(),
                                          [](const asio::error_code&) {});
        }
        context_.run_for(milliseconds(20));
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<asio::ip::tcp::socket> fillers_;
};

struct http_fixture : ::testing::Test {
    void SetUp() override
    {
        start(http_limits());
        thread.call([this] { client = std::make_unique<http_client>(thread.loop()); });
    }

    void TearDown() override
    {
        thread.call([this] {
            client.reset();
            server.reset();
        });
    }

    void start(const http_limits& limits)
    {
        thread.call([this, &limits] {
            server = http_server::listen(thread.loop(), "127.0.0.1:0", limits,
                                         [this](const std::shared_ptr<http_exchange>& exchange) {
                                             ++requests;
                                             handler(exchange);
                                         })
                         .value();
        });
    }

    http_result send(http_call call)
    {
        std::promise<http_result> promise;
        std::future<http_result> result = promise.get_future();
        thread.loop().post([this, &call, &promise] {
            client->send(std::move(call),
                         [&promise](http_result end) { promise.set_value(std::move(end)); });
        });
        return result.get();
    }

    http_result get(const std::string& address)
    {
        http_call call;
        call.url = "http://" + address + "/";
        return send(std::move(call));
    }

    /// Sends raw bytes to the server and returns all bytes until it closes the connection.
    std::string exchange_raw(const std::string& bytes) const
    {
        raw_connection raw(server->address());
        raw.send(bytes);
        return raw.read_to_end();
    }

    loop_thread thread;
    int requests = 0;
    http_handler handler = [](const std::shared_ptr<http_exchange>& exchange) {
        http_response response;
        response.headers.add("X-Method", exchange->request().method);
        response.body = exchange->request().target + " " + exchange->request().body.bytes();
        exchange->respond(std::move(response));
    };
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_server> server;
};

const std::string complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

using http = http_fixture;

TEST_F(http, request_and_response_pass_unchanged)
{
    http_call call;
    call.url = "http://" + server->address() + "/a/../b?c=%20d";
    call.request.method = "PUT";
    call.request.body = std::string(100000, 'x');
    const http_result result = send(call);
    EXPECT_EQ(result.outcome, http_outcome::answered) << result.error;
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(result.response.headers.get("x-method"), "PUT");
    EXPECT_EQ(result.response.body, "/a/../b?c=%20d " + call.request.body.bytes());
}

TEST_F(http, thousand_calls_share_one_connection)
{
    for (int round = 0; round < 1000; ++round) {
        const http_result result = get(server->address());
        ASSERT_EQ(result.outcome, http_outcome::answered) << round << " " << result.error;
    }
    EXPECT_EQ(requests, 1000);
}

TEST_F(http, responses_without_a_body_are_complete_after_the_header)
{
    handler = [](const std::shared_ptr<http_exchange>& exchange) {
        http_response response;
        response.status = exchange->request().target == "/304" ? 304 : 204;
        if (exchange->request().method == "HEAD") {
            response.status = 200;
            response.headers.add("Content-Length", "1234");
        }
        exchange->respond(std::move(response));
    };
    http_call call;
    call.url = "http://" + server->address() + "/304";
    EXPECT_EQ(send(call).response.status, 304);
    call.url = "http://" + server->address() + "/204";
    EXPECT_EQ(send(call).response.status, 204);
    call.request.method = "HEAD";
    const http_result head = send(call);
    EXPECT_EQ(head.outcome, http_outcome::answered) << head.error;
    EXPECT_EQ(head.response.headers.get("Content-Length"), "1234");
}

// Guards against request smuggling: two HTTP parsers that disagree on the length of a request find
// different requests on one connection.
TEST_F(http, requests_with_conflicting_lengths_are_refused)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::vector<std::string> fields{
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3, 3\r\n\r\nabc",
        "Content-Length: +3\r\n\r\nabc",
        "Content-Length: -3\r\n\r\nabc",
        "Content-Length: 0x3\r\n\r\nabc",
        "Content-Length:\r\n\r\n",
        "Content-Length: 99999999999999999999999\r\n\r\n",
        "Content-Length : 3\r\n\r\nabc",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"};
    for (const std::string& field : fields) {
        const std::string answer = exchange_raw(start + field);
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << field << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << field;
    }
    EXPECT_EQ(requests, 0);
}

TEST_F(http, malformed_requests_are_refused)
{
    const std::vector<std::string> refused{"GET / HTTP/1.1\r\n\r\n",
                                           "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                                           "GET / HTTP/1.1\r\nHost: a\r\nX\x01Y: b\r\n\r\n",
                                           "GET / HTTP/1.1\r\nHost: a\r\nX: b\x7f\r\n\r\n",
                                           "WHAT / HTTP/1.1\r\nHost: a\r\n\r\n",
                                           "\r\n\r\nnonsense\r\n"};
    for (const std::string& request : refused) {
        EXPECT_EQ(exchange_raw(request).substr(0, 12), "HTTP/1.1 400") << request;
    }
    EXPECT_EQ(requests, 0);
}

TEST_F(http, requests_beyond_a_limit_get_413_or_431)
{
    http_limits limits;
    limits.body_bytes = 1000;
    limits.header_bytes = 2000;
    limits.header_count = 10;
    start(limits);
    const std::string start_line = "POST / HTTP/1.1\r\nHost: a\r\n";
    EXPECT_EQ(exchange_raw(start_line + "Content-Length: 1001\r\n\r\n").substr(9, 3), "413");
    EXPECT_EQ(exchange_raw(start_line + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                           std::string(2000, 'x'))
                  .substr(9, 3),
              "413");
    EXPECT_EQ(exchange_raw(start_line + "X: " + std::string(3000, 'x') + "\r\n\r\n").substr(9, 3),
              "431");
    std::string many = start_line;
    for (int field = 0; field < 20; ++field) {
        many += "X: y\r\n";
    }
    EXPECT_EQ(exchange_raw(many + "\r\n").substr(9, 3), "431");
    EXPECT_EQ(exchange_raw("GET /" + std::string(3000, 'x') + " HTTP/1.1\r\n").substr(9, 3), "431");
    EXPECT_EQ(requests, 0);
}

// Guards against exhaustion of memory by chunks of one byte, each of which uses 16 bytes.
TEST_F(http, body_of_tiny_chunks_is_refused)
{
    http_limits limits;
    limits.body_bytes = 100000;
    start(limits);
    std::string bytes = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int chunk = 0; chunk < 99000; ++chunk) {
        bytes += "1\r\nx\r\n";
    }
    EXPECT_EQ(exchange_raw(bytes + "0\r\n\r\n").substr(9, 3), "413");
    EXPECT_EQ(requests, 0);
}

// Guards against clients that occupy connections by sending a request very slowly or not at all.
TEST_F(http, connections_of_slow_and_idle_clients_are_closed)
{
    http_limits limits;
    limits.read_timeout = std::chrono::milliseconds(50);
    limits.idle_timeout = std::chrono::milliseconds(100);
    start(limits);
    EXPECT_EQ(
        exchange_raw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc").substr(9, 3),
        "408");
    EXPECT_EQ(exchange_raw(""), "");
    EXPECT_EQ(requests, 0);
}

// Guards against a limit for a whole request that a long body at an ordinary rate exceeds.
TEST_F(http, long_body_may_take_longer_than_the_read_timeout)
{
    http_limits limits;
    limits.read_timeout = milliseconds(500);
    limits.min_bytes_per_second = 1000;
    start(limits);
    constexpr int pieces = 20;
    const std::string piece(40000, 'x');
    raw_connection raw(server->address());
    raw.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 800000\r\n\r\n");
    for (int sent = 0; sent < pieces; ++sent) {
        raw.send(piece);
        std::this_thread::sleep_for(milliseconds(40));
    }
    EXPECT_EQ(raw.read_until("\r\n").substr(9, 3), "200");
}

// Guards against clients that hold the memory of a long body by sending a few bytes a second.
TEST_F(http, long_body_below_the_least_rate_gets_408)
{
    http_limits limits;
    limits.read_timeout = milliseconds(200);
    start(limits);
    raw_connection raw(server->address());
    raw.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
             std::string(70000, 'x'));
    for (int sent = 0; sent < 20; ++sent) {
        raw.send("x");
        std::this_thread::sleep_for(milliseconds(40));
    }
    EXPECT_EQ(raw.read_until("\r\n").substr(9, 3), "408");
    EXPECT_EQ(requests, 0);
}

// Guards against connections that send nothing and keep those of ordinary clients from being
// accepted.
TEST_F(http, new_connection_takes_the_place_of_an_inactive_one)
{
    http_limits limits;
    limits.connections = 16;
    start(limits);
    std::vector<std::unique_ptr<raw_connection>> silent;
    for (int opened = 0; opened < 64; ++opened) {
        silent.push_back(std::make_unique<raw_connection>(server->address()));
        silent.back()->send(opened % 2 == 0 ? "GET / HTTP/1.1\r\n" : "");
    }
    const http_result result = get(server->address());
    EXPECT_EQ(result.outcome, http_outcome::answered) << result.error;
    EXPECT_LE(thread.call([this] { return server->connections(); }), limits.connections);
}

// Guards against requests that are aborted for a new connection.
TEST_F(http, connection_with_a_request_is_not_displaced)
{
    http_limits limits;
    limits.connections = 16;
    std::shared_ptr<http_exchange> held;
    handler = [&held](const std::shared_ptr<http_exchange>& exchange) { held = exchange; };
    start(limits);
    raw_connection raw(server->address());
    raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(thread.eventually([&held] { return held != nullptr; }));
    constexpr std::size_t opened = 64;
    std::vector<std::unique_ptr<raw_connection>> silent;
    silent.reserve(opened);
    while (silent.size() < opened) {
        silent.push_back(std::make_unique<raw_connection>(server->address()));
    }
    thread.call([&held] { held->respond(http_response()); });
    EXPECT_EQ(raw.read_until("\r\n").substr(9, 3), "200");
}

// Guards against 503 for bodies that arrive while others use the memory for a moment.
TEST_F(http, reading_waits_for_memory_before_a_request_is_refused)
{
    body_memory large(300000);
    thread.call([this, &large] { server->limit_memory(large, body_memory(1000)); });
    body_memory::reservation other = large.reserve();
    ASSERT_TRUE(other.grow(200000));
    raw_connection raw(server->address());
    raw.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" +
             std::string(200000, 'x'));
    ASSERT_TRUE(thread.eventually([&large] { return large.available() < 8192; }));
    thread.call([&other] { other.release(); });
    EXPECT_EQ(raw.read_until("\r\n").substr(9, 3), "200");
}

// Guards against a link that appears idle because its requests are given up before they are
// complete.
TEST_F(http, bytes_of_requests_that_are_not_complete_are_counted)
{
    std::size_t received = 0;
    thread.call([&] { server->on_received([&](std::size_t bytes) { received += bytes; }); });
    raw_connection raw(server->address());
    raw.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
             std::string(50000, 'x'));
    EXPECT_TRUE(thread.eventually([&received] { return received > 50000; }));
    EXPECT_EQ(requests, 0);
    thread.call([this] { server->on_received(nullptr); });
}

// Guards against responses of the process itself that clients ask for and do not read.
TEST_F(http, response_without_memory_closes_the_connection)
{
    thread.call([this] { server->limit_response_memory(body_memory(1000)); });
    handler = [](const std::shared_ptr<http_exchange>& exchange) {
        http_response response;
        response.body = std::string(exchange->request().target == "/long" ? 8192 : 1024, 'x');
        exchange->respond(std::move(response));
    };
    const std::string rest = " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    EXPECT_EQ(exchange_raw("GET /long" + rest), "");
    EXPECT_EQ(exchange_raw("GET /short" + rest).substr(9, 3), "200");
}

TEST_F(http, client_disconnect_cancels_its_request)
{
    std::promise<void> started;
    std::promise<void> cancelled;
    std::shared_ptr<http_exchange> held;
    handler = [&](const std::shared_ptr<http_exchange>& exchange) {
        held = exchange;
        exchange->on_cancel([&cancelled] { cancelled.set_value(); });
        started.set_value();
    };
    raw_connection raw(server->address());
    raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_EQ(started.get_future().wait_for(event_timeout), std::future_status::ready);
    raw.close();
    EXPECT_EQ(cancelled.get_future().wait_for(event_timeout), std::future_status::ready);
    thread.call([&held] {
        held->respond(http_response());
        held.reset();
    });
}

TEST_F(http, cancelled_call_closes_its_connection)
{
    std::promise<void> started;
    std::promise<void> upstream_cancelled;
    handler = [&, held = std::shared_ptr<http_exchange>()](
                  const std::shared_ptr<http_exchange>& exchange) mutable {
        held = exchange;
        exchange->on_cancel([&] {
            held.reset();
            upstream_cancelled.set_value();
        });
        started.set_value();
    };
    std::promise<http_result> ended;
    http_call call;
    call.url = "http://" + server->address() + "/";
    const http_client::call_id id = thread.call([&] {
        return client->send(call, [&](http_result end) { ended.set_value(std::move(end)); });
    });
    ASSERT_EQ(started.get_future().wait_for(event_timeout), std::future_status::ready);
    thread.call([&] { client->cancel(id); });
    const http_result result = ended.get_future().get();
    EXPECT_EQ(result.outcome, http_outcome::cancelled);
    EXPECT_TRUE(result.sent);
    EXPECT_EQ(upstream_cancelled.get_future().wait_for(event_timeout), std::future_status::ready);
}

TEST_F(http, incomplete_and_malformed_responses_end_as_truncated)
{
    const std::vector<std::string> responses{
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno length and no announced close",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nab",
        "nonsense"};
    const raw_upstream upstream([&responses](asio::ip::tcp::socket& socket, int connection) {
        raw_upstream::read_request(socket);
        raw_upstream::write(socket, responses.at(static_cast<std::size_t>(connection)));
    });
    for (const std::string& response : responses) {
        const http_result result = get(upstream.address());
        EXPECT_EQ(result.outcome, http_outcome::truncated) << response << result.error;
        EXPECT_TRUE(result.sent);
        EXPECT_TRUE(result.response.body.empty());
    }
}

// Guards against libcurl 7.88.1, which used a freed pointer for a first header line that begins
// with a space if the handle had been used before.
TEST_F(http, folded_first_header_line_does_not_end_the_process)
{
    const raw_upstream upstream([](asio::ip::tcp::socket& socket, int connection) {
        raw_upstream::read_request(socket);
        raw_upstream::write(socket,
                            connection % 3 == 2
                                ? "HTTP/1.1 200 OK\r\n X: " + std::string(200, 'y') + "\r\n\r\n"
                                : complete_response);
    });
    for (int call = 0; call < 150; ++call) {
        http_call next;
        next.url = "http://" + upstream.address() + "/";
        next.new_connection = true;
        const http_result result = send(std::move(next));
        EXPECT_EQ(result.outcome == http_outcome::answered, call % 3 != 2) << call << result.error;
    }
}

TEST_F(http, interim_response_alone_is_a_lost_connection)
{
    const raw_upstream upstream([](asio::ip::tcp::socket& socket, int) {
        raw_upstream::read_request(socket);
        raw_upstream::write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
    });
    EXPECT_EQ(get(upstream.address()).outcome, http_outcome::connection_lost);
}

TEST_F(http, announced_close_delimits_a_body_without_length)
{
    const raw_upstream upstream([](asio::ip::tcp::socket& socket, int) {
        raw_upstream::read_request(socket);
        raw_upstream::write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    });
    const http_result result = get(upstream.address());
    EXPECT_EQ(result.outcome, http_outcome::answered) << result.error;
    EXPECT_EQ(result.response.body, "whole");
}

// Guards against libcurl resending a request when its reused connection is closed before the
// response, which would run the request twice.
TEST_F(http, request_is_not_resent_when_its_reused_connection_is_closed)
{
    std::atomic<int> arrivals{0};
    const raw_upstream upstream([&arrivals](asio::ip::tcp::socket& socket, int) {
        for (int request = 0; request < 2 && raw_upstream::read_request(socket); ++request) {
            ++arrivals;
            if (request == 0) {
                raw_upstream::write(socket, complete_response);
            }
        }
    });
    EXPECT_EQ(get(upstream.address()).outcome, http_outcome::answered);
    const http_result second = get(upstream.address());
    EXPECT_EQ(second.outcome, http_outcome::connection_lost) << second.error;
    EXPECT_TRUE(second.sent);
    EXPECT_EQ(arrivals, 2);
}

// Guards against taking an unsolicited response on a reused connection for the response to the next
// request.
TEST_F(http, unsolicited_response_does_not_answer_a_later_request)
{
    std::promise<void> unsolicited_sent;
    std::atomic<int> arrivals{0};
    const raw_upstream upstream([&](asio::ip::tcp::socket& socket, int connection) {
        raw_upstream::read_request(socket);
        ++arrivals;
        raw_upstream::write(socket, complete_response);
        if (connection == 0) {
            raw_upstream::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
            unsolicited_sent.set_value();
        }
        else {
            raw_upstream::read_request(socket);
        }
    });
    EXPECT_EQ(get(upstream.address()).response.body, "ok");
    unsolicited_sent.get_future().wait();
    EXPECT_EQ(get(upstream.address()).response.body, "ok");
    EXPECT_EQ(arrivals, 2);
    thread.call([this] { client.reset(); });
}

TEST_F(http, calls_that_cannot_start_end_as_not_sent)
{
    asio::io_context context;
    asio::ip::tcp::acceptor closed(context,
                                   asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string unreachable_address =
        "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    closed.close();
    EXPECT_EQ(get(unreachable_address).outcome, http_outcome::not_sent);
    http_call call;
    call.url = "http://" + server->address() + "/";
    call.request.headers.add("X-Split", "a\r\nInjected: b");
    const http_result split = send(call);
    EXPECT_EQ(split.outcome, http_outcome::not_sent);
    EXPECT_FALSE(split.sent);
    call.request = http_request();
    call.timeout = std::chrono::milliseconds(0);
    EXPECT_EQ(send(call).outcome, http_outcome::not_sent);
    EXPECT_EQ(requests, 0);
}

TEST_F(http, timeout_and_size_limit_end_a_call)
{
    handler = [held = std::vector<std::shared_ptr<http_exchange>>()](
                  const std::shared_ptr<http_exchange>& exchange) mutable {
        if (exchange->request().target == "/never") {
            held.push_back(exchange);
            return;
        }
        http_response response;
        response.body = std::string(2000, 'x');
        exchange->respond(std::move(response));
    };
    http_call call;
    call.url = "http://" + server->address() + "/never";
    call.timeout = std::chrono::milliseconds(50);
    const http_result timed_out = send(call);
    EXPECT_EQ(timed_out.outcome, http_outcome::timed_out);
    EXPECT_TRUE(timed_out.sent);
    call.url = "http://" + server->address() + "/large";
    call.timeout = std::chrono::seconds(10);
    call.max_response_bytes = 1999;
    EXPECT_EQ(send(call).outcome, http_outcome::too_large);
}

TEST_F(http, exceptions_from_handlers_and_callbacks_do_not_stop_the_loop)
{
    handler = [](const std::shared_ptr<http_exchange>&) { throw std::runtime_error("fails"); };
    EXPECT_EQ(get(server->address()).response.status, 500);
    std::promise<void> called;
    http_call call;
    call.url = "http://" + server->address() + "/";
    thread.call([&] {
        client->send(call, [&called](const http_result&) {
            called.set_value();
            throw std::runtime_error("callback fails");
        });
    });
    called.get_future().wait();
    handler = [](const std::shared_ptr<http_exchange>&) {}; // Drops the exchange.
    EXPECT_EQ(get(server->address()).response.status, 500);
}

TEST_F(http, response_may_come_from_another_thread)
{
    std::thread worker;
    handler = [&worker](std::shared_ptr<http_exchange> exchange) {
        worker = std::thread([exchange = std::move(exchange)] {
            http_response response;
            response.body = "from a worker";
            exchange->respond(std::move(response));
        });
    };
    EXPECT_EQ(get(server->address()).response.body, "from a worker");
    worker.join();
}

TEST_F(http, server_that_stops_accepting_completes_requests_in_flight)
{
    std::promise<std::shared_ptr<http_exchange>> started;
    handler = [&started](const std::shared_ptr<http_exchange>& exchange) {
        started.set_value(exchange);
    };
    raw_connection raw(server->address());
    raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::shared_ptr<http_exchange> exchange = started.get_future().get();
    thread.call([&] {
        server->stop_accepting();
        exchange->respond(http_response());
        exchange.reset();
    });
    const std::string answer = raw.read_to_end();
    EXPECT_EQ(answer.substr(9, 3), "200");
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST_F(http, server_survives_randomly_corrupted_requests)
{
    const std::uint64_t seed = 20261205;
    std::mt19937_64 engine(seed);
    const std::string valid = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    for (int round = 0; round < 300; ++round) {
        std::string bytes = valid;
        for (std::uint64_t change = 0; change < 1 + engine() % 20; ++change) {
            bytes[engine() % bytes.size()] = static_cast<char>(engine());
        }
        raw_connection hostile(server->address());
        hostile.send(bytes);
        hostile.close();
    }
    EXPECT_EQ(get(server->address()).outcome, http_outcome::answered) << "seed " << seed;
}

} // namespace

// Guards against a response that broke off in its head or its body and counts as a whole one.
TEST_F(http, response_that_breaks_off_at_any_byte_is_not_answered)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody";
    std::atomic<std::size_t> cut{0};
    raw_upstream upstream([&whole, &cut](asio::ip::tcp::socket& socket, int) {
        raw_upstream::read_request(socket);
        raw_upstream::write(socket, whole.substr(0, cut));
    });
    for (cut = 0; cut <= whole.size(); ++cut) {
        http_call call;
        call.url = "http://" + upstream.address() + "/";
        call.new_connection = true;
        call.allow_close_delimited_body = true;
        const bool answered = send(std::move(call)).outcome == http_outcome::answered;
        EXPECT_EQ(answered, cut == whole.size()) << whole.substr(0, cut);
    }
}

// Guards against a connection that gets no events, because its socket has the number of one that
// was closed while its connection attempt was pending.
TEST_F(http, connections_work_after_connection_attempts_that_were_given_up)
{
    constexpr int rounds = 3;
    constexpr int concurrent = 4;
    const full_listener unreachable;
    for (int round = 0; round < rounds; ++round) {
        std::atomic<int> given_up{0};
        thread.call([&] {
            for (int count = 0; count < concurrent; ++count) {
                http_call call;
                call.url = "http://" + unreachable.address() + "/";
                call.connect_timeout = milliseconds(50);
                client->send(std::move(call), [&given_up](const http_result& result) {
                    given_up += result.outcome == http_outcome::not_sent ? 1 : 0;
                });
            }
        });
        ASSERT_TRUE(thread.eventually([&given_up] { return given_up == concurrent; }));
        for (int count = 0; count < 2 * concurrent; ++count) {
            http_call call;
            call.url = "http://" + server->address() + "/";
            call.new_connection = true;
            call.timeout = std::chrono::seconds(2);
            EXPECT_EQ(send(std::move(call)).outcome, http_outcome::answered) << count;
        }
    }
}

// The same for a call that is cancelled while its connection attempt is pending.
TEST_F(http, connections_work_after_a_cancelled_connection_attempt)
{
    const full_listener unreachable;
    http_client::call_id id = 0;
    thread.call([&] {
        http_call call;
        call.url = "http://" + unreachable.address() + "/";
        id = client->send(std::move(call), [](const http_result&) {});
    });
    std::this_thread::sleep_for(milliseconds(20));
    thread.call([&] { client->cancel(id); });
    http_call call;
    call.url = "http://" + server->address() + "/";
    call.timeout = std::chrono::seconds(2);
    EXPECT_EQ(send(std::move(call)).outcome, http_outcome::answered);
}

} // namespace agatespread
