#include "datagram_socket.h"
#include "deflate.h"
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

// What the silence of a reader's feed leaves of it for the other nodes.
constexpr milliseconds fetch_share{700};

milliseconds elapsed_since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

/// One node, connected to its store by a proxy.
struct platform_feed : ::testing::Test {
    void SetUp() override
    {
        thread.call([this] {
            server = std::make_unique<platform_table_server>(thread.loop());
            const std::string address = server->address();
            const int port = std::stoi(address.substr(address.find(':') + 1));
            proxy = std::make_unique<silent_proxy>(static_cast<unsigned short>(port));
            store = std::make_unique<table_store>(thread.loop(), proxy->address());
        });
    }

    void TearDown() override
    {
        thread.call([this] {
            node.reset();
            store.reset();
            server.reset();
        });
    }

    void start_node()
    {
        thread.call([this] {
            sidecar_settings settings;
            settings.node = "a";
            settings.failure_domain = "cairo";
            settings.service = "rounds";
            settings.report_address = report_address;
            settings.upstream_address = "127.0.0.1:1";
            settings.log.descriptor = -1;
            node =
                sidecar::start(thread.loop(), *store, data, settings, test::test_dialect(), [this] {
                    return engine();
                }).value();
        });
    }

    /// Leaves idle connections to the store.
    void open_connections(int count)
    {
        std::atomic<int> open{0};
        thread.call([this, count, &open] {
            for (int index = 0; index < count; ++index) {
                store->read("other/x",
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

    bool in_force(std::int64_t version)
    {
        return thread.eventually([this, version] {
            return data.gauge_of("agatespread_configuration_version").value() == version;
        });
    }

    const std::string report_address =
        "127.0.0.1:" + std::to_string(test::sidecar_fixture::free_port());
    loop_thread thread;
    std::unique_ptr<platform_table_server> server;
    std::unique_ptr<silent_proxy> proxy;
    std::unique_ptr<table_store> store;
    metrics data;
    std::mt19937_64 engine{7};
    std::unique_ptr<sidecar> node;
};

} // namespace

// Guards against a reader whose connections to the store fall silent and that waits for the end of
// a long poll, while a new connection would work.
TEST_F(platform_feed, version_is_in_force_in_time_after_connections_fell_silent)
{
    configure(1);
    start_node();
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
    start_node();
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

// Guards against a reader that misses the configuration which is written after the store returned
// from an older copy.
TEST_F(platform_feed, version_written_after_a_return_from_a_copy_is_in_force_in_time)
{
    configure(1);
    start_node();
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

} // namespace agatespread::adapter
