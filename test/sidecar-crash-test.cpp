// A request that ends each upstream that runs it. The design allows two ended upstreams in a
// failure domain; each test ends them in another way or loses the knowledge of them.

#include "raw_upstream.h"
#include "sidecar_fixture.h"

#include <asio/ip/tcp.hpp>

#include <mutex>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::id_header;

constexpr int max_ended_upstreams = 2;

// The users allow three after the third; the first of several queries tell nothing of their path.
constexpr int max_ended_upstreams_of_a_path = 6;

// Within this time of its start a node knows what its peers and the platform know.
constexpr seconds stable_window{3};

/// How an upstream ends while it runs the request.
enum class ending {
    connection_refused, ///< The connection and the listener are closed.
    quick_restart,      ///< The connection is closed, but a new process already listens.
    response_cut,       ///< As `connection_refused`, in the middle of the response.
    silent,             ///< It neither responds nor closes the connection.
    dark,               ///< As `silent`, and it accepts no connections.
    server_error        ///< It does not end, but responds with 500.
};

/// A host with a node and an upstream that a request to `/x/crash` ends.
struct crash_host : test::sidecar_fixture::host {
    std::unique_ptr<raw_upstream> process;
    std::string name;
    std::string service;
    std::string instance;
    std::atomic<ending> how{ending::connection_refused};
    std::atomic<int> ended{0}; ///< Upstream processes that the request ended.
};

struct sidecar_crash : test::sidecar_fixture {
    void start_host(crash_host& target, const std::string& name, const std::string& service)
    {
        target.name = name;
        target.service = service;
        target.process = std::make_unique<raw_upstream>(handler(target));
        start(target, name, service, target.process->address());
        ASSERT_TRUE(eventually_ready(target));
        announce_new_instance(target);
    }

    raw_upstream::connection_handler handler(crash_host& target)
    {
        return [&target](asio::ip::tcp::socket& socket, int) {
            std::string head;
            asio::error_code error;
            asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
            if (head.find("/x/crash") != std::string::npos) {
                run(target, socket, head);
            }
            else if (!error) {
                raw_upstream::write(socket,
                                    response_head(head, "200 OK") + "Content-Length: 0\r\n\r\n");
            }
        };
    }

    static std::string response_head(const std::string& request, const std::string& status)
    {
        const std::size_t id = request.find("\r\nId: ") + 6;
        return "HTTP/1.1 " + status + "\r\nSignature: s\r\nConnection: close\r\nId: " +
               request.substr(id, request.find('\r', id) - id) + "\r\n";
    }

    static void run(crash_host& target, asio::ip::tcp::socket& socket, const std::string& request)
    {
        if (target.how == ending::server_error) {
            raw_upstream::write(socket,
                                response_head(request, "500 Failed") + "Content-Length: 0\r\n\r\n");
            return;
        }
        ++target.ended;
        if (target.how == ending::dark) {
            target.process->stop_listening();
        }
        if (target.how == ending::silent || target.how == ending::dark) {
            char byte = 0;
            asio::error_code closed;
            socket.read_some(asio::buffer(&byte, 1), closed);
        }
        if (target.how == ending::response_cut) {
            raw_upstream::write(socket, response_head(request, "200 OK") +
                                            "Content-Length: 100\r\n\r\npart");
        }
        if (target.how == ending::connection_refused || target.how == ending::response_cut) {
            target.process->stop_listening();
        }
    }

    void announce_new_instance(crash_host& target)
    {
        target.instance = target.name + std::to_string(++instances);
        send_heartbeat(target, target.instance);
    }

    /// Starts the upstream again after it ended, as a new instance.
    void restart_upstream(crash_host& target)
    {
        if (!target.process->listening()) {
            const unsigned short port = target.process->port();
            target.process.reset();
            target.process = std::make_unique<raw_upstream>(handler(target), port);
        }
        announce_new_instance(target);
    }

    /// Replaces the process of the node, which keeps nothing.
    void restart_node(crash_host& target)
    {
        const std::string address = target.process->address();
        thread.call([&] {
            target.node.reset();
            target.upstream.reset();
        });
        start(target, target.name, target.service, address);
        ASSERT_TRUE(eventually_ready(target));
        announce_new_instance(target);
    }

    void wait_for_stable_window()
    {
        const time_point end = std::chrono::steady_clock::now() + stable_window;
        EXPECT_TRUE(thread.eventually([end] { return std::chrono::steady_clock::now() >= end; }));
    }

    /// Sends the request; returns the status of the response.
    int send_crash(crash_host& to, milliseconds timeout = seconds(10),
                   const std::string& query = {})
    {
        http_call call;
        call.url = "http://" + thread.call([&to] { return to.node->caller_address(); }) +
                   "/x/crash" + query;
        call.request.headers.set("Host", "mesh.example");
        call.request.headers.set(id_header, "crash-" + std::to_string(++sent));
        call.timeout = timeout;
        std::promise<int> status;
        thread.loop().post([&] {
            client.send(std::move(call), [&status](const http_result& result) {
                status.set_value(result.response.status);
            });
        });
        return status.get_future().get();
    }

    /// Sends the request several times to one host whose upstream is back before each.
    void send_repeatedly(ending how, milliseconds timeout = seconds(10))
    {
        start_host(a, "a", "rounds");
        a.how = how;
        for (int count = 0; count < 5; ++count) {
            send_crash(a, timeout);
            restart_upstream(a);
        }
        EXPECT_LE(a.ended, max_ended_upstreams);
        EXPECT_EQ(send_crash(a), 503);
    }

    void SetUp() override { configure("1 300 once rounds"); }

    void TearDown() override
    {
        thread.call([this] {
            for (crash_host* const each : {&a, &b}) {
                each->node.reset();
                each->upstream.reset();
            }
        });
        sidecar_fixture::TearDown();
    }

    crash_host a;
    crash_host b;
    int sent = 0;
    int instances = 0;
};

} // namespace

TEST_F(sidecar_crash, request_is_blocked_after_refused_connections)
{
    send_repeatedly(ending::connection_refused);
}

// Guards against an upstream that restarts before the node checks whether it still listens.
TEST_F(sidecar_crash, request_is_blocked_after_quick_restarts)
{
    send_repeatedly(ending::quick_restart);
}

// Guards against a cut response that counts as a fault of the connection.
TEST_F(sidecar_crash, request_is_blocked_after_cut_responses)
{
    send_repeatedly(ending::response_cut);
}

// Guards against an upstream that ends without closing its connections, so that the request times
// out.
TEST_F(sidecar_crash, request_is_blocked_after_silent_upstreams)
{
    send_repeatedly(ending::silent);
}

// Guards against callers that wait until their deadline for an upstream that has ended.
TEST_F(sidecar_crash, dark_upstream_is_detected_before_the_deadline)
{
    configure("2 4000 once rounds");
    start_host(a, "a", "rounds");
    a.how = ending::dark;
    const time_point start = std::chrono::steady_clock::now();
    EXPECT_EQ(send_crash(a), 502);
    EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(4000));
}

// Guards against callers that disconnect before the upstream is known to have ended.
TEST_F(sidecar_crash, request_is_blocked_after_its_callers_disconnected)
{
    send_repeatedly(ending::silent, milliseconds(100));
}

// Guards against a server error, which an upstream may send without running the request, that
// clears the suspicion.
TEST_F(sidecar_crash, server_error_does_not_clear_the_suspicion)
{
    start_host(a, "a", "rounds");
    for (int count = 0; count < 4; ++count) {
        a.how = ending::connection_refused;
        send_crash(a);
        restart_upstream(a);
        a.how = ending::server_error;
        send_crash(a);
    }
    EXPECT_LE(a.ended, max_ended_upstreams);
}

// Guards against a node that starts after the reports of the crashes were sent.
TEST_F(sidecar_crash, restarted_node_learns_blocks_of_its_peers)
{
    start_host(a, "a", "rounds");
    start_host(b, "b", "orders");
    for (int count = 0; count < 3; ++count) {
        send_crash(a);
        restart_upstream(a);
    }
    wait_for_stable_window();
    for (int count = 0; count < 2; ++count) {
        restart_node(a);
        wait_for_stable_window();
        send_crash(a);
        restart_upstream(a);
    }
    EXPECT_LE(a.ended, max_ended_upstreams);
}

// Guards against the loss of all blocks when all nodes are killed at the same time.
TEST_F(sidecar_crash, blocks_outlast_a_restart_of_all_nodes)
{
    start_host(a, "a", "rounds");
    for (int count = 0; count < 3; ++count) {
        send_crash(a);
        restart_upstream(a);
    }
    for (int count = 0; count < 2; ++count) {
        restart_node(a);
        wait_for_stable_window();
        send_crash(a);
        restart_upstream(a);
    }
    EXPECT_LE(a.ended, max_ended_upstreams);
}

// Guards against the loss of the blocks that the platform acknowledged after the copy to which it
// returned.
TEST_F(sidecar_crash, blocks_outlast_a_return_of_the_platform_from_a_copy)
{
    start_host(a, "a", "rounds");
    thread.call([this] { store.save_copy(); });
    for (int count = 0; count < 3; ++count) {
        send_crash(a);
        restart_upstream(a);
    }
    thread.call([this] { store.restore_copy(); });
    const auto block_is_stored = [this] {
        const auto next = store.rows().lower_bound("blocks/");
        return next != store.rows().end() && next->first.rfind("blocks/", 0) == 0;
    };
    EXPECT_TRUE(thread.eventually(block_is_stored));
    restart_node(a);
    wait_for_stable_window();
    send_crash(a);
    EXPECT_LE(a.ended, max_ended_upstreams);
}

// Guards against a count for each value of a query that the upstream ignores, such as a time stamp.
TEST_F(sidecar_crash, request_is_blocked_although_its_query_differs)
{
    start_host(a, "a", "rounds");
    for (int count = 0; count < 10; ++count) {
        send_crash(a, seconds(10), "?n=" + std::to_string(count));
        restart_upstream(a);
    }
    EXPECT_LE(a.ended, max_ended_upstreams_of_a_path);
}

// Guards against a count for each caller's service.
TEST_F(sidecar_crash, request_is_blocked_for_all_callers)
{
    start_host(a, "a", "rounds");
    start_host(b, "b", "orders");
    ASSERT_TRUE(eventually_responds_with(b, 200));
    for (int count = 0; count < 3; ++count) {
        send_crash(a);
        restart_upstream(a);
        ASSERT_TRUE(eventually_responds_with(b, 200));
        send_crash(b);
        restart_upstream(a);
    }
    EXPECT_LE(a.ended, max_ended_upstreams);
}

// Guards against a new count for the same request after its route changed.
TEST_F(sidecar_crash, block_outlasts_a_change_of_the_route)
{
    start_host(a, "a", "rounds");
    start_host(b, "b", "orders");
    for (int count = 0; count < 3; ++count) {
        send_crash(a);
        restart_upstream(a);
    }
    EXPECT_LE(a.ended, max_ended_upstreams);
    // No upstream of the old service is left, so that a response shows that the route changed.
    send_heartbeat(a, a.instance, true, 2);
    configure("2 300 once orders");
    ASSERT_TRUE(eventually_responds_with(a, 200));
    ASSERT_TRUE(eventually_responds_with(b, 200));
    for (int count = 0; count < 3; ++count) {
        send_crash(a);
        send_crash(b);
        restart_upstream(b);
    }
    EXPECT_LE(a.ended + b.ended, max_ended_upstreams);
}

} // namespace agatespread
