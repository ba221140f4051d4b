#include "endpoint.h"
#include "event_loop_impl.h"
#include "peer_link.h"
#include "peer_route.h"
#include "peer_socket.h"

#include <agatespread/peer.h>

#include <fmt/format.h>
#include <openssl/rand.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace agatespread {

namespace {

// How long a superseded connection stays open without traffic, so that frames in flight on it still
// arrive.
constexpr std::chrono::seconds superseded_linger_time{1};

// Two connections between the same nodes that are authenticated within this time of each other
// count as a simultaneous open.
constexpr std::chrono::seconds simultaneous_open_window{5};

// An authenticated connection is closed when more than this many of its frames were refused.
constexpr int max_refused_frames = 16;

// Unused routes are erased after this time, because addresses change when targets are replaced.
constexpr std::chrono::minutes route_retention{10};

std::string make_nonce()
{
    std::string nonce(16, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size()));
    return nonce;
}

random_source seeded_source()
{
    const std::shared_ptr<std::mt19937_64> engine =
        std::make_shared<std::mt19937_64>(std::random_device{}());
    return [engine] { return (*engine)(); };
}

// Returns the size of a WebSocket frame header; the frames of a client include a masking key.
std::size_t frame_header_bytes(std::size_t payload, bool masked)
{
    const std::size_t length = payload < 126 ? 2 : payload < 65536 ? 4 : 10;
    return length + (masked ? 4 : 0);
}

using detail::peer_connection;
using detail::scope_counters;
using peer_connection_ptr = std::shared_ptr<peer_connection>;

} // namespace

struct peer_transport::impl : std::enable_shared_from_this<peer_transport::impl> {
    impl(event_loop& main_loop, peer_options settings, metrics& counters, receive_hook hook)
        : loop(main_loop), options(std::move(settings)), data(counters), receive(std::move(hook)),
          sockets(loop.native().context, {options.max_frame_bytes, options.unacknowledged_timeout}),
          domain_counters(counters, "domain"), remote_counters(counters, "remote"),
          connections(counters.gauge_of("agatespread_peer_connections"))
    {
        if (!options.random) {
            options.random = seeded_source();
        }
    }

    absl::Status start();
    void stop();
    void send(const peer_endpoint& to, const std::shared_ptr<const std::string>& encoded);
    void set_keys(const std::vector<frame_key>& keys);

    void dial(const std::string& peer_address);
    void dial_now(const std::string& peer_address);
    void dial_failed(const std::string& peer_address);
    void accept(const std::shared_ptr<detail::peer_socket>& socket);
    peer_connection_ptr add_connection(bool outgoing);
    detail::peer_socket_events make_events(const peer_connection_ptr& source);
    void on_open(const peer_connection_ptr& connection);
    void on_closed(const peer_connection_ptr& connection);
    void on_frame(const peer_connection_ptr& connection, std::string_view frame, bool binary);
    void on_hello(const peer_connection_ptr& connection, std::string_view frame);
    void on_message(const peer_connection_ptr& connection, std::string_view body);
    void register_connection(const peer_connection_ptr& connection);
    bool unregister_connection(const peer_connection_ptr& connection);
    void flush(const peer_connection_ptr& connection, const std::string& peer_address);
    void write_message(const peer_connection_ptr& connection, std::string_view body);
    bool write_frame(const peer_connection_ptr& connection, std::string frame);
    void refuse_frame(const peer_connection_ptr& connection, const std::string& reason);
    void close(const peer_connection_ptr& connection);
    void expire_connections_and_routes(time_point now);

    peer_connection_ptr find(const peer_endpoint& to) const;
    detail::peer_route& route_to(const std::string& peer_address);
    scope_counters& scope_of(const peer_connection& connection)
    {
        return connection.peer.failure_domain == options.failure_domain ? domain_counters
                                                                        : remote_counters;
    }
    void count_drop(std::string_view reason, std::size_t amount = 1)
    {
        data.counter_of("agatespread_peer_dropped_messages_total",
                        {{"reason", std::string(reason)}})
            .add(amount);
    }

    event_loop& loop;
    peer_options options;
    metrics& data;
    receive_hook receive;
    detail::peer_sockets sockets;
    scope_counters domain_counters;
    scope_counters remote_counters;
    gauge& connections;
    fault_hook should_drop;
    std::string bound_address;
    bool running = false;
    std::set<peer_connection_ptr> all_connections;
    std::map<node_id, peer_connection_ptr> by_node;
    std::map<std::string, peer_connection_ptr> by_address;
    std::map<std::string, detail::peer_route> routes;
    subscription expiry_timer;
};

absl::Status peer_transport::impl::start()
{
    const absl::StatusOr<asio::ip::tcp::endpoint> listen_endpoint =
        detail::parse_endpoint(options.listen_address);
    if (!listen_endpoint.ok()) {
        return layer_error(absl::StatusCode::kInvalidArgument, "peer", "bad_address",
                           std::string(listen_endpoint.status().message()));
    }
    absl::StatusOr<std::string> bound = sockets.listen(
        *listen_endpoint,
        [weak = weak_from_this()] {
            const std::shared_ptr<impl> self = weak.lock();
            return self && self->running &&
                   self->all_connections.size() < self->options.max_connections;
        },
        [weak = weak_from_this()](const std::shared_ptr<detail::peer_socket>& socket) {
            if (const std::shared_ptr<impl> self = weak.lock()) {
                self->accept(socket);
            }
        });
    if (!bound.ok()) {
        return layer_error(absl::StatusCode::kUnavailable, "peer", "cannot_listen",
                           std::string(bound.status().message()));
    }
    bound_address = *std::move(bound);
    running = true;
    const std::chrono::milliseconds period =
        std::clamp(std::min(options.idle_timeout, options.connect_timeout) / 4,
                   std::chrono::milliseconds(5), std::chrono::milliseconds(1000));
    expiry_timer =
        loop.every(period, [this](time_point now) { expire_connections_and_routes(now); });
    return absl::OkStatus();
}

void peer_transport::impl::stop()
{
    if (!running) {
        return;
    }
    running = false;
    expiry_timer.cancel();
    sockets.stop_listening();
    routes.clear();
    by_node.clear();
    by_address.clear();
    const std::set<peer_connection_ptr> all = all_connections;
    for (const peer_connection_ptr& connection : all) {
        close(connection);
    }
}

peer_connection_ptr peer_transport::impl::find(const peer_endpoint& to) const
{
    const std::map<std::string, peer_connection_ptr>& index =
        to.node.empty() ? by_address : by_node;
    const auto found = index.find(to.node.empty() ? to.address : to.node);
    return found == index.end() ? nullptr : found->second;
}

detail::peer_route& peer_transport::impl::route_to(const std::string& peer_address)
{
    return routes.try_emplace(peer_address, options.max_queued_bytes).first->second;
}

void peer_transport::impl::send(const peer_endpoint& to,
                                const std::shared_ptr<const std::string>& encoded)
{
    if (!running) {
        return;
    }
    if (should_drop && should_drop(to)) {
        count_drop("fault");
        return;
    }
    // The receiver closes the connection on a frame above its limit; 512 bytes leave room for the
    // frame's key id, sequence and MAC.
    if (encoded->size() + 512 > options.max_frame_bytes) {
        count_drop("too_large");
        return;
    }
    if (const peer_connection_ptr existing = find(to)) {
        write_message(existing, *encoded);
        return;
    }
    const peer_connection_ptr connection_at_address = find({{}, {}, to.address});
    if (connection_at_address && connection_at_address->dialed_address == to.address) {
        count_drop("other_node"); // Another node uses this address now.
        return;
    }
    if (!route_to(to.address).push({to.node, encoded})) {
        count_drop("queue_full");
        return;
    }
    dial(to.address);
}

void peer_transport::impl::set_keys(const std::vector<frame_key>& keys)
{
    options.keys = keys;
    for (const peer_connection_ptr& connection : all_connections) {
        connection->codec.set_keys(keys);
    }
}

void peer_transport::impl::dial(const std::string& peer_address)
{
    detail::peer_route& route = route_to(peer_address);
    if (route.dialing) {
        return;
    }
    route.dialing = true;
    const std::chrono::milliseconds delay = route.retry_delay(loop.now());
    if (delay.count() == 0) {
        dial_now(peer_address);
        return;
    }
    route.retry_timer =
        loop.after(delay, [this, peer_address](time_point) { dial_now(peer_address); });
}

void peer_transport::impl::dial_now(const std::string& peer_address)
{
    if (by_address.count(peer_address) > 0) {
        route_to(peer_address).dialing = false; // The peer has connected to this node since.
        return;
    }
    data.counter_of("agatespread_peer_connects_total", {{"direction", "out"}}).add();
    const peer_connection_ptr added = add_connection(true);
    added->dialed_address = peer_address;
    added->socket = sockets.connect(peer_address, make_events(added));
    if (!added->socket) {
        on_closed(added);
    }
}

void peer_transport::impl::accept(const std::shared_ptr<detail::peer_socket>& socket)
{
    data.counter_of("agatespread_peer_connects_total", {{"direction", "in"}}).add();
    const peer_connection_ptr added = add_connection(false);
    added->socket = socket;
    socket->set_events(make_events(added));
    on_open(added);
}

void peer_transport::impl::dial_failed(const std::string& peer_address)
{
    if (!running) {
        return;
    }
    data.counter_of("agatespread_peer_connect_failures_total").add();
    detail::peer_route& route = route_to(peer_address);
    route.dialing = false;
    route.record_failure(loop.now(), options.random);
    // Queued messages become outdated quickly; the senders resend what is still relevant.
    count_drop("unreachable", route.take_all().size());
}

peer_connection_ptr peer_transport::impl::add_connection(bool outgoing)
{
    hello self{options.self, options.failure_domain, bound_address, make_nonce()};
    peer_connection_ptr added =
        std::make_shared<peer_connection>(outgoing, options.keys, std::move(self));
    added->started = loop.now();
    added->last_use = added->started;
    all_connections.insert(added);
    return added;
}

detail::peer_socket_events peer_transport::impl::make_events(const peer_connection_ptr& source)
{
    // Ignores events that arrive after the transport or the connection was destroyed.
    const auto bind = [weak = weak_from_this(),
                       weak_connection = std::weak_ptr<peer_connection>(source)](auto call) {
        return [weak, weak_connection, call](auto... values) {
            const std::shared_ptr<impl> owner = weak.lock();
            const peer_connection_ptr live_connection = weak_connection.lock();
            if (owner && live_connection) {
                call(*owner, live_connection, values...);
            }
        };
    };
    return {
        bind([](impl& owner, const peer_connection_ptr& connection) { owner.on_open(connection); }),
        bind([](impl& owner, const peer_connection_ptr& connection, std::string_view frame,
                bool binary) { owner.on_frame(connection, frame, binary); }),
        bind([](impl& owner, const peer_connection_ptr& connection) {
            owner.on_closed(connection);
        })};
}

void peer_transport::impl::on_open(const peer_connection_ptr& connection)
{
    const std::size_t request = connection->socket->request_bytes();
    const std::size_t response = connection->socket->response_bytes();
    connection->sent_bytes = connection->outgoing ? request : response;
    connection->received_bytes = connection->outgoing ? response : request;
    connection->open = true;
    write_frame(connection, connection->codec.hello_frame());
}

void peer_transport::impl::on_closed(const peer_connection_ptr& connection)
{
    if (all_connections.erase(connection) == 0) {
        return;
    }
    const bool was_registered = unregister_connection(connection);
    if (!connection->authenticated && connection->outgoing) {
        dial_failed(connection->dialed_address);
    }
    else if (was_registered && running) {
        // The peer may have stopped, in which case all its peers lose it at once: the backoff
        // spreads their reconnects.
        route_to(connection->peer.address).record_failure(loop.now(), options.random);
    }
}

bool peer_transport::impl::unregister_connection(const peer_connection_ptr& connection)
{
    for (auto entry = by_address.begin(); entry != by_address.end();) {
        entry = entry->second == connection ? by_address.erase(entry) : std::next(entry);
    }
    const auto found = by_node.find(connection->peer.node);
    if (found == by_node.end() || found->second != connection) {
        return false;
    }
    by_node.erase(found);
    connections.set(static_cast<std::int64_t>(by_node.size()));
    return true;
}

void peer_transport::impl::on_frame(const peer_connection_ptr& connection, std::string_view frame,
                                    bool binary)
{
    connection->last_use = loop.now();
    const std::size_t bytes =
        frame.size() + frame_header_bytes(frame.size(), !connection->outgoing);
    if (!connection->authenticated) {
        connection->received_bytes += bytes;
    }
    else {
        scope_of(*connection).received_bytes.add(bytes);
    }
    if (!binary) {
        refuse_frame(connection, "malformed");
        return;
    }
    if (!connection->hello_received) {
        on_hello(connection, frame);
        return;
    }
    const absl::StatusOr<std::string> body = connection->codec.open(frame);
    if (!body.ok()) {
        refuse_frame(connection, reason_of(body.status(), "wire"));
        return;
    }
    if (!connection->authenticated) {
        connection->authenticated = true;
        connection->authenticated_at = loop.now();
        register_connection(connection);
    }
    // A frame with an empty body only proves that the sender has a key.
    if (!body->empty()) {
        on_message(connection, *body);
    }
}

void peer_transport::impl::on_hello(const peer_connection_ptr& connection, std::string_view frame)
{
    const absl::StatusOr<hello> received = connection->codec.accept_hello(frame);
    if (!received.ok()) {
        refuse_frame(connection, reason_of(received.status(), "wire"));
        return;
    }
    connection->peer = {received->node, received->failure_domain, received->peer_address};
    connection->hello_received = true;
    write_frame(connection, connection->codec.seal({}));
}

void peer_transport::impl::on_message(const peer_connection_ptr& connection, std::string_view body)
{
    scope_of(*connection).received_frames.add();
    absl::StatusOr<message> content = decode(body);
    if (!content.ok()) {
        refuse_frame(connection, "malformed");
        return;
    }
    // An exception must not reach websocketpp, which would close the connection.
    try {
        receive(connection->peer, *std::move(content));
    }
    catch (const std::exception& error) {
        spdlog::error("peer: handling a message from {} failed: {}", connection->peer.node,
                      error.what());
    }
}

void peer_transport::impl::register_connection(const peer_connection_ptr& connection)
{
    scope_counters& scope = scope_of(*connection);
    scope.sent_bytes.add(std::exchange(connection->sent_bytes, 0));
    scope.received_bytes.add(std::exchange(connection->received_bytes, 0));
    const peer_connection_ptr existing = find({connection->peer.node, {}, {}});
    if (existing && existing->outgoing != connection->outgoing &&
        connection->authenticated_at - existing->authenticated_at < simultaneous_open_window) {
        // Simultaneous open: both sides keep the connection opened by the node with the smaller id.
        const bool self_is_smaller = options.self < connection->peer.node;
        if (connection->outgoing != self_is_smaller) {
            connection->superseded = true;
        }
    }
    const peer_connection_ptr kept = connection->superseded ? existing : connection;
    if (existing && kept != existing) {
        existing->superseded = true;
        existing->last_use = loop.now();
    }
    by_node[connection->peer.node] = kept;
    connections.set(static_cast<std::int64_t>(by_node.size()));
    flush(kept, connection->peer.address);
    if (!connection->dialed_address.empty()) {
        detail::peer_route& route = route_to(connection->dialed_address);
        route.dialing = false;
        flush(kept, connection->dialed_address);
    }
}

void peer_transport::impl::flush(const peer_connection_ptr& connection,
                                 const std::string& peer_address)
{
    by_address[peer_address] = connection;
    detail::peer_route& route = route_to(peer_address);
    route.record_connected(loop.now());
    for (const detail::queued_message& entry : route.take_all()) {
        if (!entry.node.empty() && entry.node != connection->peer.node) {
            count_drop("other_node"); // Another node uses the address now.
            continue;
        }
        write_message(connection, *entry.encoded);
    }
}

void peer_transport::impl::write_message(const peer_connection_ptr& connection,
                                         std::string_view body)
{
    if (connection->socket->buffered() + body.size() > options.max_queued_bytes) {
        count_drop("queue_full");
        return;
    }
    if (!write_frame(connection, connection->codec.seal(body))) {
        count_drop("closed");
        return;
    }
    scope_of(*connection).sent_frames.add();
}

bool peer_transport::impl::write_frame(const peer_connection_ptr& connection, std::string frame)
{
    connection->last_use = loop.now();
    const std::size_t bytes = frame.size() + frame_header_bytes(frame.size(), connection->outgoing);
    if (!connection->socket->send(std::move(frame))) {
        return false;
    }
    if (connection->authenticated) {
        scope_of(*connection).sent_bytes.add(bytes);
    }
    else {
        connection->sent_bytes += bytes;
    }
    return true;
}

void peer_transport::impl::refuse_frame(const peer_connection_ptr& connection,
                                        const std::string& reason)
{
    data.counter_of("agatespread_peer_refused_frames_total", {{"reason", reason}}).add();
    ++connection->refused_frames;
    if (!connection->authenticated || connection->refused_frames > max_refused_frames) {
        // Skips the close handshake, which a misbehaving peer could delay.
        connection->open = false;
        close(connection);
    }
}

void peer_transport::impl::close(const peer_connection_ptr& connection)
{
    if (connection->closing) {
        return;
    }
    connection->closing = true;
    unregister_connection(connection); // Later messages use a new connection.
    if (connection->open) {
        connection->socket->close();
    }
    else if (connection->socket) {
        connection->socket->terminate();
    }
}

void peer_transport::impl::expire_connections_and_routes(time_point now)
{
    const std::set<peer_connection_ptr> all = all_connections;
    for (const peer_connection_ptr& connection : all) {
        const std::chrono::milliseconds setup_timeout =
            connection->open ? 3 * options.connect_timeout : options.connect_timeout;
        const bool setup_timed_out =
            !connection->authenticated && now - connection->started > setup_timeout;
        const bool idle = now - connection->last_use > options.idle_timeout;
        const bool replaced =
            connection->superseded && now - connection->last_use > superseded_linger_time;
        if (setup_timed_out || idle || replaced) {
            close(connection);
        }
    }
    for (auto entry = routes.begin(); entry != routes.end();) {
        const bool unused = entry->second.empty() && !entry->second.dialing &&
                            now - entry->second.last_use() > route_retention;
        entry = unused ? routes.erase(entry) : std::next(entry);
    }
}

absl::StatusOr<std::unique_ptr<peer_transport>> peer_transport::listen(event_loop& loop,
                                                                       peer_options options,
                                                                       metrics& counters,
                                                                       receive_hook receive)
{
    std::shared_ptr<impl> state =
        std::make_shared<impl>(loop, std::move(options), counters, std::move(receive));
    const absl::Status started = state->start();
    if (!started.ok()) {
        return started;
    }
    return std::make_unique<peer_transport>(std::move(state));
}

peer_transport::peer_transport(std::shared_ptr<impl> state) : impl_(std::move(state))
{
}

peer_transport::~peer_transport()
{
    impl_->stop();
}

std::string peer_transport::address() const
{
    return impl_->bound_address;
}

void peer_transport::send(const peer_endpoint& to,
                          const std::shared_ptr<const std::string>& encoded)
{
    impl_->send(to, encoded);
}

void peer_transport::set_keys(const std::vector<frame_key>& keys)
{
    impl_->set_keys(keys);
}

void peer_transport::set_fault_hook(fault_hook should_drop)
{
    impl_->should_drop = std::move(should_drop);
}

void peer_transport::close()
{
    impl_->stop();
}

} // namespace agatespread
