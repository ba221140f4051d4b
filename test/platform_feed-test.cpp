#include "datagram_socket.h"
#include "deflate.h"
#include "peer_stand_ins.h"
#include "platform_table_server.h"
#include "sidecar_fixture.h"
#include "silent_proxy.h"
#include "table_store.h"

#include <gtest/gtest.h>

namespace agatespread::adapter {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The time after which a host whose connections were reset must keep the bounds again.
constexpr milliseconds stable_window = std::chrono::seconds(3);

// The time for a version to be in force on a host that keeps the bounds.
constexpr milliseconds config_apply = std::chrono::seconds(2);

// What the silence of a reader's feed leaves of it for the other nodes.
constexpr milliseconds fetch_share{700};

milliseconds elapsed_since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

/// Nodes that are connected to their store by a proxy.
struct platform_feed : ::testing::Test {
    void SetUp() override
    {
        thread.call([this] {
            server = std::make_unique<platform_table_server>(thread.loop());
            const std::string address = server->address();
            const int port = std::stoi(address.substr(address.find(':') + 1));
            proxy = std::make_unique<silent_proxy>(static_cast<unsigned short>(port));
        });
    }

    void TearDown() override
    {
        thread.call([this] {
            nodes.clear();
            server.reset();
        });
    }

    struct test_node {
        std::string name;
        std::unique_ptr<table_store> store;
        metrics data;
        std::unique_ptr<sidecar> process;
        std::int64_t highest_version = 0;

        std::int64_t version()
        {
            return data.gauge_of("agatespread_configuration_version").value();
        }
    };

    /// Starts a node that reaches its store by the proxy, or by `store_address` if it is not empty.
    void start_node(const std::string& name, const std::string& domain,
                    const std::string& report_address, const std::string& store_address = {})
    {
        nodes.push_back(std::make_unique<test_node>());
        test_node& started = *nodes.back();
        started.name = name;
        thread.call([&] {
            started.store = std::make_unique<table_store>(
                thread.loop(), store_address.empty() ? proxy->address() : store_address);
            sidecar_settings settings;
            settings.node = name;
            settings.failure_domain = domain;
            settings.service = "rounds";
            settings.report_address = report_address;
            settings.upstream_address = "127.0.0.1:1";
            settings.log.descriptor = ::getenv("SIDECAR_LOG") != nullptr ? 1 : -1;
            started.process = sidecar::start(thread.loop(), *started.store, started.data, settings,
                                             test::test_dialect(), [this] { return engine(); })
                                  .value();
        });
    }

    /// Leaves idle connections to the store.
    void open_connections(int count)
    {
        std::atomic<int> open{0};
        thread.call([this, count, &open] {
            for (int index = 0; index < count; ++index) {
                nodes.front()->store->read(
                    "other/x",
                    [&open](const absl::StatusOr<std::optional<std::string>>&) { ++open; });
            }
        });
        ASSERT_TRUE(thread.eventually([count, &open] { return open == count; }));
    }

    void configure(int version)
    {
        thread.call([this, version] {
            server->write("operator", "newest",
                          std::to_string(version) + " 1000 idempotent rounds");
        });
    }

    /// Waits until all nodes have a version in force.
    bool in_force(std::int64_t version)
    {
        return thread.eventually([this, version] {
            return std::all_of(nodes.begin(), nodes.end(),
                               [version](const std::unique_ptr<test_node>& node) {
                                   return node->version() == version;
                               });
        });
    }

    /// Waits until a node has a version in force.
    bool in_force(test_node& node, std::int64_t version)
    {
        return thread.eventually([&node, version] { return node.version() >= version; });
    }

    test_node& node(const std::string& name)
    {
        return **std::find_if(
            nodes.begin(), nodes.end(),
            [&name](const std::unique_ptr<test_node>& each) { return each->name == name; });
    }

    loop_thread thread;
    std::unique_ptr<platform_table_server> server;
    std::unique_ptr<silent_proxy> proxy;
    std::mt19937_64 engine{7};
    std::vector<std::unique_ptr<test_node>> nodes;
};

std::string free_report_address()
{
    return "127.0.0.1:" + std::to_string(test::sidecar_fixture::free_port());
}

} // namespace

// Guards against a reader whose connections to the store fall silent and that waits for the end of
// a long poll, while a new connection would work.
TEST_F(platform_feed, version_is_in_force_in_time_after_connections_fell_silent)
{
    configure(1);
    start_node("a", "cairo", free_report_address());
    ASSERT_TRUE(in_force(1));
    open_connections(4);
    proxy->silence_open_connections();
    const time_point silent_since = steady_clock::now();
    configure(2);
    ASSERT_TRUE(in_force(2));
    EXPECT_LT(elapsed_since(silent_since).count(), stable_window.count()) << "ms";
}

// Guards against a node that fetches a version from a peer on a connection that fell silent.
TEST_F(platform_feed, version_of_a_peer_is_in_force_in_time_after_connections_fell_silent)
{
    configure(1);
    const std::string report_address = free_report_address();
    start_node("a", "cairo", report_address);
    ASSERT_TRUE(in_force(1));
    int peer_version = 2;
    std::unique_ptr<http_server> peer;
    std::unique_ptr<datagram_socket> reports;
    thread.call([&] {
        peer = http_server::listen(thread.loop(), "127.0.0.1:0", {},
                                   [&](const std::shared_ptr<http_exchange>& exchange) {
                                       http_response response;
                                       response.body =
                                           detail::deflate_bytes(std::to_string(peer_version) +
                                                                 " 1000 idempotent rounds");
                                       exchange->respond(std::move(response));
                                   })
                   .value();
        reports =
            datagram_socket::open(thread.loop(), "127.0.0.1:0", [](std::string_view) {}).value();
    });
    const std::string address = peer->address();
    silent_proxy path(
        static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1))));
    peer_report report;
    report.entry = {"b", "cairo", "rounds", path.address(), "127.0.0.1:9"};
    report.incarnation = 1;
    subscription reporting;
    thread.call([&] {
        reporting = thread.loop().every(milliseconds(50), [&](time_point) {
            report.in_force = static_cast<config_version>(peer_version);
            ++report.sequence;
            reports->send(report_address, encode_report(report));
        });
    });
    ASSERT_TRUE(in_force(2));
    path.silence_open_connections();
    const time_point reported_at = steady_clock::now();
    thread.call([&] { peer_version = 3; });
    ASSERT_TRUE(in_force(3));
    EXPECT_LT(elapsed_since(reported_at).count(), fetch_share.count()) << "ms";
    thread.call([&] {
        reporting.cancel();
        reports.reset();
        peer.reset();
    });
}

// Guards against a node that waits for a peer that is too slow while another one has the version.
TEST_F(platform_feed, version_is_in_force_in_time_although_one_peer_does_not_answer)
{
    constexpr int last_version = 9;
    configure(1);
    const std::string report_address = free_report_address();
    start_node("a", "cairo", report_address);
    ASSERT_TRUE(in_force(1));
    int version = 1;
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    std::unique_ptr<http_server> slow;
    std::unique_ptr<http_server> fast;
    std::unique_ptr<datagram_socket> reports;
    std::vector<peer_report> peers(2);
    subscription reporting;
    thread.call([&] {
        slow = http_server::listen(thread.loop(), "127.0.0.1:0", {},
                                   [&](const std::shared_ptr<http_exchange>& exchange) {
                                       unanswered.push_back(exchange);
                                   })
                   .value();
        fast = http_server::listen(thread.loop(), "127.0.0.1:0", {},
                                   [&](const std::shared_ptr<http_exchange>& exchange) {
                                       http_response response;
                                       response.body = detail::deflate_bytes(
                                           std::to_string(version) + " 1000 idempotent rounds");
                                       exchange->respond(std::move(response));
                                   })
                   .value();
        reports =
            datagram_socket::open(thread.loop(), "127.0.0.1:0", [](std::string_view) {}).value();
        peers[0].entry = {"b", "cairo", "rounds", slow->address(), "127.0.0.1:9"};
        peers[1].entry = {"c", "cairo", "rounds", fast->address(), "127.0.0.1:9"};
        reporting = thread.loop().every(milliseconds(50), [&](time_point) {
            for (peer_report& report : peers) {
                report.incarnation = 1;
                report.in_force = static_cast<config_version>(version);
                ++report.sequence;
                reports->send(report_address, encode_report(report));
            }
        });
    });
    for (int next = 2; next <= last_version; ++next) {
        const time_point reported_at = steady_clock::now();
        thread.call([&] { version = next; });
        ASSERT_TRUE(in_force(next));
        EXPECT_LT(elapsed_since(reported_at).count(), fetch_share.count()) << "ms, " << next;
    }
    thread.call([&] {
        reporting.cancel();
        reports.reset();
        unanswered.clear();
        slow.reset();
        fast.reset();
    });
}

// Guards against a node whose versions come from readers that wait for a silent store, while its
// own connections to the store work.
TEST_F(platform_feed, version_is_in_force_in_time_behind_readers_whose_connections_fell_silent)
{
    constexpr int rounds = 3;
    configure(1);
    start_node("a", "cairo", free_report_address());
    start_node("b", "cairo", free_report_address());
    start_node("z", "cairo", free_report_address(),
               thread.call([this] { return server->address(); }));
    ASSERT_TRUE(in_force(1));
    int version = 1;
    for (int round = 0; round < rounds; ++round) {
        configure(++version);
        ASSERT_TRUE(in_force(version));
        // The silence lasts longest for a poll that has just begun.
        ASSERT_TRUE(thread.eventually([this] { return server->waiting_polls("operator") == 2; }));
        proxy->silence_open_connections();
        const time_point written_at = steady_clock::now();
        configure(++version);
        ASSERT_TRUE(in_force(node("z"), version));
        EXPECT_LT(elapsed_since(written_at).count(), config_apply.count()) << "ms, round " << round;
        ASSERT_TRUE(in_force(version));
    }
}

// Guards against a node that asks no further peer for a version while two fetches wait for peers
// that do not answer.
TEST_F(platform_feed, version_is_in_force_in_time_although_two_peers_do_not_answer)
{
    constexpr int last_version = 9;
    configure(1);
    const std::string report_address = free_report_address();
    start_node("z", "cairo", report_address);
    ASSERT_TRUE(in_force(1));
    int version = 1;
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    test::peer_stand_ins peers(
        thread, report_address, 3,
        [&](std::size_t peer, const std::shared_ptr<http_exchange>& exchange) {
            if (peer < 2) {
                unanswered.push_back(exchange);
                return;
            }
            http_response response;
            response.body =
                detail::deflate_bytes(std::to_string(version) + " 1000 idempotent rounds");
            exchange->respond(std::move(response));
        });
    for (int next = 2; next <= last_version; ++next) {
        thread.call([&] { version = next; });
        const time_point reported_at = steady_clock::now();
        peers.report(static_cast<config_version>(next));
        ASSERT_TRUE(in_force(next));
        EXPECT_LT(elapsed_since(reported_at).count(), fetch_share.count()) << "ms, " << next;
    }
    thread.call([&unanswered] { unanswered.clear(); });
}

// Guards against fetches whose connections stay open and fill the peer's listener.
TEST_F(platform_feed, fetches_leave_no_connections_open)
{
    constexpr int last_version = 20;
    constexpr int max_open = 4; // Of the last fetch and one beside it, at two peers.
    configure(1);
    for (const char* const name : {"a", "b", "z"}) {
        start_node(name, "cairo", free_report_address());
    }
    ASSERT_TRUE(in_force(1));
    for (int version = 2; version <= last_version; ++version) {
        configure(version);
        ASSERT_TRUE(in_force(version));
    }
    std::this_thread::sleep_for(milliseconds(200)); // Two report periods, which update the series.
    std::int64_t open = 0;
    for (const std::unique_ptr<test_node>& each : nodes) {
        open += each->data.gauge_of("agatespread_call_connections").value();
    }
    EXPECT_LE(open, max_open);
}

// Guards against a reader that misses the configuration which is written after the store returned
// from an older copy.
TEST_F(platform_feed, version_written_after_a_return_from_a_copy_is_in_force_in_time)
{
    configure(1);
    start_node("a", "cairo", free_report_address());
    ASSERT_TRUE(in_force(1));
    thread.call([this] { server->save_copy(); });
    configure(2);
    thread.call([this] { server->write("other", "x", "lost"); });
    ASSERT_TRUE(in_force(2));
    const time_point restored_at = steady_clock::now();
    thread.call([this] { server->restore_copy(); });
    configure(3);
    thread.call([this] {
        for (int count = 0; count < 5; ++count) {
            server->write("other", "x", std::to_string(count));
        }
    });
    ASSERT_TRUE(in_force(3));
    EXPECT_LT(elapsed_since(restored_at).count(), stable_window.count()) << "ms";
}

namespace {

/// Returns the first and the last seed: 1 and 2, or those of DRILL_SEEDS, such as "5-54".
std::pair<std::uint64_t, std::uint64_t> drill_seeds()
{
    const char* const text = ::getenv("DRILL_SEEDS");
    if (text == nullptr) {
        return {1, 2};
    }
    const std::string range = text;
    const std::size_t dash = range.find('-');
    return {std::stoull(range), std::stoull(range.substr(dash == range.npos ? 0 : dash + 1))};
}

} // namespace

// Guards against nodes, most of which do not read the store, that keep an older version, go back to
// one or lose their entries in a series of returns from copies, outages and silent connections.
TEST_F(platform_feed, all_nodes_follow_the_configuration_through_repeated_returns_from_copies)
{
    configure(1);
    for (const char* const name : {"a", "b", "c", "d", "e"}) {
        start_node(name, name[0] < 'd' ? "cairo" : "alex", free_report_address());
    }
    ASSERT_TRUE(in_force(1));
    subscription watching;
    std::atomic<int> regressions{0};
    thread.call([&] {
        watching = thread.loop().every(milliseconds(5), [&](time_point) {
            for (const std::unique_ptr<test_node>& node : nodes) {
                regressions += node->version() < node->highest_version ? 1 : 0;
                node->highest_version = std::max(node->highest_version, node->version());
            }
        });
    });
    int version = 1;
    const std::pair<std::uint64_t, std::uint64_t> range = drill_seeds();
    for (std::uint64_t seed = range.first; seed <= range.second; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 faults(seed);
        const auto below = [&faults](std::uint64_t limit) { return faults() % limit; };
        const auto pause = [&below](std::uint64_t longest) {
            std::this_thread::sleep_for(milliseconds(below(longest)));
        };
        thread.call([this] { server->save_copy(); });
        for (std::uint64_t lost = below(4); lost > 0; --lost) {
            configure(++version);
            pause(300);
        }
        if (below(2) == 0) {
            proxy->silence_open_connections();
        }
        thread.call([this] { server->set_down(true); });
        pause(700);
        thread.call([this] {
            server->restore_copy();
            server->set_down(false);
        });
        const time_point restored_at = steady_clock::now();
        pause(300);
        configure(version); // The operator writes again what was lost.
        thread.call([this, count = below(6)] {
            for (std::uint64_t index = 0; index < count; ++index) {
                server->write("other", "x", std::to_string(index));
            }
        });
        pause(300);
        const time_point due =
            std::max(restored_at + stable_window, steady_clock::now() + config_apply);
        configure(++version);
        ASSERT_TRUE(in_force(version));
        EXPECT_LT(elapsed_since(due).count(), 0) << "ms";
        ASSERT_TRUE(thread.eventually([this] {
            return std::all_of(nodes.begin(), nodes.end(), [this](const auto& node) {
                return server->contains("nodes", node->name);
            });
        }));
    }
    EXPECT_EQ(regressions, 0);
    thread.call([&watching] { watching.cancel(); });
}

} // namespace agatespread::adapter
