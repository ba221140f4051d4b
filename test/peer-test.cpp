#include "loop_thread.h"

#include <agatespread/digest.h>
#include <agatespread/peer.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace agatespread {

namespace {

constexpr std::string_view upgrade_request =
    "GET / HTTP/1.1\r\nHost: localhost\r\nUpgrade: websocket\r\n"
    "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

std::shared_ptr<const std::string> ping_of(std::uint64_t sequence, std::size_t padding = 0)
{
    ping content;
    content.sequence = sequence;
    if (padding > 0) {
        content.updates.resize(1);
        content.updates[0].node = std::string(padding, 'n');
    }
    return std::make_shared<const std::string>(encode(content));
}

/// A node with its transport, its metrics and the pings that it received.
struct test_node {
    test_node(loop_thread& loop_owner, std::string name, const std::vector<frame_key>& keys,
              peer_options options = peer_options())
        : thread(loop_owner)
    {
        options.self = name;
        options.failure_domain = "cairo-1";
        if (options.listen_address.empty()) {
            options.listen_address = "127.0.0.1:0";
        }
        options.keys = keys;
        options.random = [engine = std::make_shared<std::mt19937_64>(7)] { return (*engine)(); };
        thread.call([&] {
            transport =
                peer_transport::listen(thread.loop(), options, data,
                                       [this](const peer_endpoint& from, const message& content) {
                                           receive(from, content);
                                       })
                    .value();
        });
        endpoint = {std::move(name), "cairo-1", transport->address()};
    }
    test_node(const test_node&) = delete;
    test_node& operator=(const test_node&) = delete;
    ~test_node()
    {
        thread.call([this] { transport.reset(); });
    }

    void receive(const peer_endpoint& from, const message& content)
    {
        const std::uint64_t sequence = std::get<ping>(content).sequence;
        if (sequence == throwing_sequence) {
            throw std::runtime_error("receiver fails");
        }
        received.emplace_back(from.node, sequence);
    }

    void send(const test_node& to, std::uint64_t sequence) const
    {
        thread.call([&] { transport->send(to.endpoint, ping_of(sequence)); });
    }

    std::uint64_t count(const std::string& name, const labels& series = {})
    {
        return data.counter_of(name, series).value();
    }

    std::uint64_t refused(const std::string& reason)
    {
        return count("agatespread_peer_refused_frames_total", {{"reason", reason}});
    }

    std::uint64_t dropped(const std::string& reason)
    {
        return count("agatespread_peer_dropped_messages_total", {{"reason", reason}});
    }

    static constexpr std::uint64_t throwing_sequence = 666;

    loop_thread& thread;
    metrics data;
    std::unique_ptr<peer_transport> transport;
    peer_endpoint endpoint;
    std::vector<std::pair<node_id, std::uint64_t>> received;
};

/// A WebSocket client that writes raw bytes, so that a test can send invalid frames.
class raw_peer {
public:
    raw_peer(const test_node& to, std::string name, const std::vector<frame_key>& keys)
        : connection(to.transport->address()),
          codec(keys, {std::move(name), "cairo-1", "127.0.0.1:1", std::string(16, 'n')})
    {
        connection.send(upgrade_request);
        connection.read_until("\r\n\r\n");
    }

    void send_frame(std::string_view payload, unsigned char opcode = 2)
    {
        std::string frame(1, static_cast<char>(0x80U | opcode));
        if (payload.size() < 126) {
            frame.push_back(static_cast<char>(0x80U | payload.size()));
        }
        else {
            frame.push_back(static_cast<char>(0x80U | 127U));
            for (int shift = 56; shift >= 0; shift -= 8) {
                frame.push_back(static_cast<char>(payload.size() >> static_cast<unsigned>(shift)));
            }
        }
        frame.append(4, '\0'); // A masking key of zeros leaves the payload unchanged.
        frame.append(payload);
        connection.send(frame);
    }

    std::string read_frame()
    {
        const std::string header = connection.read_bytes(2);
        std::size_t size = static_cast<unsigned char>(header.at(1)) & 0x7fU;
        if (size == 126) {
            const std::string length_bytes = connection.read_bytes(2);
            size = static_cast<unsigned char>(length_bytes[0]) * 256U +
                   static_cast<unsigned char>(length_bytes[1]);
        }
        return connection.read_bytes(size);
    }

    /// Exchanges hello frames; after this, signed frames can be sent.
    void exchange_hellos()
    {
        send_frame(codec.hello_frame());
        ASSERT_TRUE(codec.accept_hello(read_frame()).ok());
    }

    bool wait_for_close()
    {
        connection.read_to_end();
        return true;
    }

    raw_connection connection;
    frame_codec codec;
};

struct peer_fixture : ::testing::Test {
    std::vector<frame_key> key_one{{"one", "first secret"}};
    std::vector<frame_key> key_two{{"two", "second secret"}};
    loop_thread thread;
};

using peer = peer_fixture;

TEST_F(peer, one_connection_carries_both_directions)
{
    test_node a(thread, "a", key_one);
    test_node b(thread, "b", key_one);
    a.send(b, 1);
    ASSERT_TRUE(thread.eventually([&] { return !b.received.empty(); }));
    b.send(a, 2);
    ASSERT_TRUE(thread.eventually([&] { return !a.received.empty(); }));
    EXPECT_EQ(a.received.front(), std::make_pair(node_id("b"), std::uint64_t{2}));
    EXPECT_EQ(b.count("agatespread_peer_connects_total", {{"direction", "out"}}), 0U);
    const labels scope{{"scope", "domain"}};
    EXPECT_EQ(a.count("agatespread_peer_sent_bytes_total", scope),
              b.count("agatespread_peer_received_bytes_total", scope));
    EXPECT_EQ(b.count("agatespread_peer_received_bytes_total", {{"scope", "remote"}}), 0U);
}

// When both sides connect at the same time, each side must keep the same one of the two
// connections. Otherwise each closes the connection that the other one keeps, and messages are
// lost.
TEST_F(peer, simultaneous_connects_lose_no_message)
{
    loop_thread other_thread;
    for (std::uint64_t round = 1; round <= 30; ++round) {
        test_node a(thread, "a", key_one);
        test_node b(other_thread, "b", key_one);
        thread.loop().post([&] { a.transport->send(b.endpoint, ping_of(1)); });
        other_thread.loop().post([&] { b.transport->send(a.endpoint, ping_of(1)); });
        ASSERT_TRUE(thread.eventually([&] { return a.received.size() == 1; })) << round;
        ASSERT_TRUE(other_thread.eventually([&] { return b.received.size() == 1; })) << round;
        a.send(b, 2);
        b.send(a, 2);
        ASSERT_TRUE(thread.eventually([&] { return a.received.size() == 2; })) << round;
        ASSERT_TRUE(other_thread.eventually([&] { return b.received.size() == 2; })) << round;
    }
}

TEST_F(peer, forged_frames_are_refused_and_counted)
{
    test_node a(thread, "a", key_one);
    raw_peer wrong_key(a, "x", key_two);
    wrong_key.exchange_hellos();
    wrong_key.send_frame(wrong_key.codec.seal(*ping_of(1)));
    EXPECT_TRUE(wrong_key.wait_for_close());
    raw_peer forged(a, "x", {{"one", "another secret"}});
    forged.exchange_hellos();
    forged.send_frame(forged.codec.seal(*ping_of(1)));
    EXPECT_TRUE(forged.wait_for_close());
    EXPECT_EQ(a.refused("bad_key"), 2U);
    raw_peer own_id(a, "a", key_one);
    own_id.send_frame(own_id.codec.hello_frame());
    EXPECT_TRUE(own_id.wait_for_close());
    EXPECT_EQ(a.refused("own_id"), 1U);
    EXPECT_TRUE(thread.call([&] { return a.received.empty(); }));
}

TEST_F(peer, replayed_frames_are_refused)
{
    test_node a(thread, "a", key_one);
    raw_peer sender(a, "x", key_one);
    sender.exchange_hellos();
    const std::string frame = sender.codec.seal(*ping_of(1));
    sender.send_frame(frame);
    sender.send_frame(frame);
    sender.send_frame(sender.codec.seal(*ping_of(2)));
    ASSERT_TRUE(thread.eventually([&] { return a.received.size() == 2; }));
    EXPECT_EQ(a.refused("replay"), 1U);
    // Another connection has other nonces, so the MAC of a replayed frame does not match.
    raw_peer replayer(a, "x", key_one);
    replayer.exchange_hellos();
    replayer.send_frame(frame);
    EXPECT_TRUE(replayer.wait_for_close());
    EXPECT_EQ(a.refused("bad_key"), 1U);
}

TEST_F(peer, malformed_and_oversized_frames_are_refused)
{
    peer_options small;
    small.max_frame_bytes = 2048;
    test_node a(thread, "a", key_one, small);
    raw_peer text(a, "x", key_one);
    text.send_frame("hello", 1);
    EXPECT_TRUE(text.wait_for_close());
    raw_peer oversized(a, "x", key_one);
    oversized.send_frame(std::string(4096, 'x'));
    EXPECT_TRUE(oversized.wait_for_close());
    raw_peer not_cbor(a, "x", key_one);
    not_cbor.exchange_hellos();
    not_cbor.send_frame(not_cbor.codec.seal("no CBOR"));
    not_cbor.send_frame(not_cbor.codec.seal(*ping_of(3)));
    ASSERT_TRUE(thread.eventually([&] { return a.received.size() == 1; }));
    EXPECT_EQ(a.refused("malformed"), 2U);
}

// A hello frame is not authenticated: a peer without a valid key that claims the id of a connected
// node must not replace that node's connection.
TEST_F(peer, unauthenticated_hello_does_not_replace_a_connection)
{
    test_node a(thread, "a", key_one);
    test_node b(thread, "b", key_one);
    b.send(a, 1);
    ASSERT_TRUE(thread.eventually([&] { return a.received.size() == 1; }));
    raw_peer impostor(a, "b", key_two);
    impostor.exchange_hellos();
    a.send(b, 2);
    ASSERT_TRUE(thread.eventually([&] { return b.received.size() == 1; }));
}

TEST_F(peer, keys_rotate_without_losing_messages)
{
    test_node a(thread, "a", key_one);
    test_node b(thread, "b", key_one);
    const std::vector<std::pair<std::vector<frame_key>, std::vector<frame_key>>> steps{
        {{key_one[0], key_two[0]}, {key_one[0]}},
        {{key_one[0], key_two[0]}, {key_one[0], key_two[0]}},
        {{key_two[0], key_one[0]}, {key_one[0], key_two[0]}},
        {{key_two[0], key_one[0]}, {key_two[0], key_one[0]}},
        {key_two, {key_two[0], key_one[0]}},
        {key_two, key_two}};
    std::uint64_t sequence = 0;
    for (const std::pair<std::vector<frame_key>, std::vector<frame_key>>& step : steps) {
        thread.call([&] {
            a.transport->set_keys(step.first);
            b.transport->set_keys(step.second);
        });
        ++sequence;
        a.send(b, sequence);
        b.send(a, sequence);
        ASSERT_TRUE(thread.eventually(
            [&] { return a.received.size() == sequence && b.received.size() == sequence; }));
    }
    EXPECT_EQ(a.refused("bad_key") + b.refused("bad_key"), 0U);
}

TEST_F(peer, queue_of_a_peer_that_does_not_read_is_bounded)
{
    peer_options options;
    options.max_queued_bytes = 256U << 10U;
    test_node a(thread, "a", key_one, options);
    raw_peer not_reading(a, "x", key_one);
    not_reading.exchange_hellos();
    not_reading.send_frame(not_reading.codec.seal({}));
    ASSERT_TRUE(thread.eventually(
        [&] { return a.data.gauge_of("agatespread_peer_connections").value() == 1; }));
    for (int sent = 0; sent < 2000 && a.dropped("queue_full") == 0; ++sent) {
        thread.call([&] { a.transport->send({"x", "cairo-1", ""}, ping_of(1, 64U << 10U)); });
    }
    EXPECT_GT(a.dropped("queue_full"), 0U);
}

TEST_F(peer, idle_connection_closes_and_reopens_on_send)
{
    peer_options options;
    options.idle_timeout = std::chrono::milliseconds(30);
    test_node a(thread, "a", key_one, options);
    test_node b(thread, "b", key_one);
    for (std::uint64_t round = 1; round <= 3; ++round) {
        a.send(b, round);
        ASSERT_TRUE(thread.eventually([&] { return b.received.size() == round; }));
        ASSERT_TRUE(thread.eventually([&] {
            return a.data.gauge_of("agatespread_peer_connections").value() == 0 &&
                   b.data.gauge_of("agatespread_peer_connections").value() == 0;
        }));
    }
}

TEST_F(peer, reconnects_to_a_node_restarted_at_the_same_address)
{
    test_node a(thread, "a", key_one);
    std::unique_ptr<test_node> b = std::make_unique<test_node>(thread, "b", key_one);
    const peer_endpoint endpoint = b->endpoint;
    a.send(*b, 1);
    ASSERT_TRUE(thread.eventually([&] { return b->received.size() == 1; }));
    b.reset();
    std::uint64_t sequence = 1;
    ASSERT_TRUE(thread.eventually([&] {
        a.transport->send(endpoint, ping_of(++sequence));
        return a.dropped("unreachable") > 0;
    }));
    peer_options options;
    options.listen_address = endpoint.address;
    test_node restarted(thread, "b", key_one, options);
    ASSERT_TRUE(thread.eventually([&] {
        a.transport->send(endpoint, ping_of(++sequence));
        return !restarted.received.empty();
    }));
    // A message for the previous node at this address must not reach the current one.
    thread.call([&] { a.transport->send({"former", "cairo-1", endpoint.address}, ping_of(1)); });
    EXPECT_EQ(a.dropped("other_node"), 1U);
}

TEST_F(peer, throwing_receiver_and_fault_hook_keep_the_connection)
{
    test_node a(thread, "a", key_one);
    test_node b(thread, "b", key_one);
    a.send(b, test_node::throwing_sequence);
    thread.call([&] { a.transport->set_fault_hook([](const peer_endpoint&) { return true; }); });
    a.send(b, 1);
    thread.call([&] { a.transport->set_fault_hook(nullptr); });
    a.send(b, 2);
    ASSERT_TRUE(thread.eventually([&] { return b.received.size() == 1; }));
    EXPECT_EQ(b.received.front().second, 2U);
    EXPECT_EQ(a.dropped("fault"), 1U);
    EXPECT_EQ(b.count("agatespread_peer_connects_total", {{"direction", "in"}}), 1U);
}

TEST_F(peer, random_bytes_do_not_disrupt_the_transport)
{
    const std::uint64_t seed = 20261204;
    std::mt19937_64 engine(seed);
    test_node a(thread, "a", key_one);
    test_node b(thread, "b", key_one);
    for (int round = 0; round < 200; ++round) {
        std::string bytes(1 + engine() % 600, '\0');
        std::generate(bytes.begin(), bytes.end(),
                      [&engine] { return static_cast<char>(engine()); });
        raw_connection client(a.transport->address());
        if (round % 2 == 0) {
            client.send(upgrade_request);
            client.read_until("\r\n\r\n");
        }
        client.send(bytes);
        client.close();
    }
    b.send(a, 1);
    ASSERT_TRUE(thread.eventually([&] { return a.received.size() == 1; })) << "seed " << seed;
}

} // namespace

} // namespace agatespread
