#include "endpoint.h"
#include "event_loop_impl.h"
#include "http_message.h"
#include "http_socket.h"

#include <agatespread/http.h>

#include <asio/post.hpp>
#include <fmt/format.h>
#include <restinio/all.hpp>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <optional>
#include <unordered_map>

namespace agatespread::detail {

class server_connection;
class server_exchange;

// Requests up to this size have memory of their own, which large ones cannot use up.
constexpr std::size_t max_small_request_bytes = 64U << 10U;

// A field that has been read takes the memory of two strings, here and in RESTinio's request, and
// the shortest one has 4 bytes: without this, short fields would use a multiple of what is counted.
constexpr std::size_t field_overhead_bytes =
    sizeof(http_headers::field) + sizeof(restinio::http_header_field_t);

// Above this size, responses without a reservation are counted: the shorter ones of the pipelined
// requests of a connection take no more than its buffers.
constexpr std::size_t min_counted_response = 4U << 10U;

// Body size from which the buffer of a chunked body is allocated in full. The C library maps such a
// block, so that only what is used of it takes memory, and growing it would copy the body.
constexpr std::size_t min_mapped_body = 512U << 10U;

constexpr int no_memory_status = 503;

// Reading of a request for which there is no memory stops for this long before it is refused: other
// large requests end within a second or two.
constexpr std::chrono::milliseconds max_read_pause = std::chrono::seconds(1);
constexpr std::chrono::milliseconds read_pause_step{10};

// The size of RESTinio's buffer, and so the most that a read adds to a request.
constexpr std::size_t read_bytes = 4096;

constexpr const char* no_memory_text = "no memory is left for the request";

// Value of Retry-After in seconds for a request for which there is no memory; large requests before
// it end within a second or two.
constexpr const char* memory_retry_after = "1";

/// The state that a server shares with its connections and exchanges.
///
/// Used on the loop's thread only, except for `context` and `open`.
struct server_state {
    server_state(asio::io_context& loop, const http_limits& bounds, http_handler call)
        : context(loop), limits(bounds),
          handler(std::make_shared<const http_handler>(std::move(call)))
    {
    }

    bool on_loop() const { return context.get_executor().running_in_this_thread(); }
    bool ends_connection(const http_response& response) const;
    std::shared_ptr<server_connection> find(restinio::connection_id_t id) const;
    void handle(http_request request, const request_info& info,
                const std::shared_ptr<server_connection>& connection,
                restinio::request_id_t request_id, restinio::impl::connection_handle_t handle);
    void check_timeouts(time_point now);
    void close_idle(std::chrono::milliseconds min_idle_time);
    std::size_t busy_connections() const;
    void close_all();
    /// Returns whether arriving connections need the place of inactive ones.
    bool short_of_room() const;
    /// Closes the connection that has been inactive for longest if the server is short of room.
    void make_room();

    asio::io_context& context;
    http_limits limits;
    std::shared_ptr<const http_handler> handler;
    body_memory large_requests;
    body_memory small_requests;
    body_memory responses;
    std::shared_ptr<std::size_t> draining = std::make_shared<std::size_t>(0);
    std::function<void(std::size_t bytes)> on_received;
    std::function<void(const connection_cut&)> on_cut;
    std::atomic<bool> open{true};
    bool accepting = true;
    bool handling = false;        ///< The handler is being called.
    std::weak_ptr<void> acceptor; ///< RESTinio's server, which counts the connections.
    int parser_status = 0;        ///< Set from a parser error until the close that follows.
    std::unordered_map<restinio::connection_id_t, std::shared_ptr<server_connection>> connections;
};

/// A request that has not been responded to.
struct pending_response {
    restinio::request_id_t id = 0;
    restinio::impl::connection_handle_t handle;
    std::weak_ptr<server_exchange> exchange;
    request_info info;
};

/// The state of one connection in addition to RESTinio's.
class server_connection final : public socket_observer {
public:
    explicit server_connection(std::shared_ptr<server_state> server) : server_(std::move(server)) {}

    void attach(observed_socket& socket, restinio::connection_id_t id,
                std::shared_ptr<server_connection> self);
    std::chrono::milliseconds read_delay() noexcept override;
    bool on_read(std::size_t bytes) noexcept override;
    void on_write(bool active, std::size_t bytes) noexcept override;
    bool on_shutdown() noexcept override;
    std::shared_ptr<void> permit_drain() override;
    void on_destroyed() noexcept override { detach(); }

    void request_complete();
    bool reserve_fields(std::size_t count);
    body_memory::reservation take_memory() { return std::move(memory_); }
    bool takes_requests() const { return !closing_ && !last_request_read_; }
    void add(pending_response pending);
    void respond(restinio::request_id_t id, http_response response);
    void reject(const pending_response& pending, const request_rejection& rejection);
    void check_timeouts(time_point now);
    bool idle() const;
    /// Returns whether another connection may take this one's place.
    bool displaceable() const;
    time_point useful_at() const { return useful_at_; }
    time_point last_activity() const { return last_activity_; }
    bool closed_by_client() const;
    /// Returns whether the address of a client is one of this host's.
    bool is_from_this_host(const asio::ip::address& client) const;
    void abort(std::string_view cause);
    const std::shared_ptr<server_state>& server() const { return server_; }

private:
    void write(const pending_response& pending, http_response response);
    void send_error(int status);
    std::size_t unread_bytes() const noexcept;
    std::string_view timeout(time_point now) const;
    bool reserve_memory(std::size_t bytes);
    void report_cut(std::string_view cause) const noexcept;
    void detach() noexcept;

    std::shared_ptr<server_state> server_;
    std::shared_ptr<void> acceptor_; ///< Keeps alive what RESTinio's connection refers to.
    observed_socket* socket_ = nullptr;
    restinio::connection_id_t id_ = 0;
    std::vector<pending_response> pending_;
    restinio::request_id_t last_id_ = 0; ///< Of the last request that was taken.
    std::size_t message_bytes_ = 0;      ///< Of the request being read; 0 if there is none.
    body_memory::reservation memory_;    ///< Of the request being read.
    bool large_request_ = false;         ///< `memory_` counts as that of a large request.
    bool writing_ = false;
    bool drain_ = false;
    bool closing_ = false;           ///< A response that closes the connection was written.
    bool last_request_read_ = false; ///< The client announced that it sends no further request.
    int error_status_ = 0;           ///< Status to send before closing; overrides the parser's.
    bool aborted_ = false;
    std::size_t write_bytes_ = 0; ///< Written since `write_start_`.
    time_point message_start_;
    time_point last_read_;
    std::optional<time_point> paused_at_; ///< Reading waits for memory.
    time_point write_start_;
    time_point last_activity_ = std::chrono::steady_clock::now();
    time_point useful_at_ = last_activity_; ///< Of the accept or the last complete request.
};

/// Returns whether a client that has sent or read `bytes` in the given time is below the least
/// rate, which is required after `allowance`.
bool is_too_slow(std::size_t bytes, time_point::duration since, std::chrono::milliseconds allowance,
                 const http_limits& limits)
{
    const std::chrono::duration<double> due(
        static_cast<double>(bytes) /
        static_cast<double>(std::max<std::size_t>(limits.min_bytes_per_second, 1)));
    return since >= allowance + due;
}

class server_exchange final : public http_exchange {
public:
    server_exchange(http_request request, const std::shared_ptr<server_connection>& connection,
                    restinio::request_id_t id, bool from_loopback)
        : request_(std::move(request)), server_(connection->server()), connection_(connection),
          id_(id), from_loopback_(from_loopback)
    {
    }
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    ~server_exchange() override
    {
        if (!answered_ && server_->open) {
            respond(error_response(500, "no response"));
        }
    }

    const http_request& request() const override { return request_; }
    bool is_from_loopback() const override { return from_loopback_; }

    bool client_left() const override
    {
        const std::shared_ptr<server_connection> live = connection_.lock();
        return disconnected_ || !live || live->closed_by_client();
    }

    void respond(http_response response) override
    {
        if (answered_.exchange(true) || !server_->open) {
            return;
        }
        // While a request is handled, those that arrived with it have not been parsed yet. A
        // response that ends the connection waits until they are.
        if (server_->on_loop() && !(server_->handling && server_->ends_connection(response))) {
            deliver(connection_, id_, std::move(response));
            return;
        }
        asio::post(server_->context,
                   [connection = connection_, id = id_, posted = std::move(response)]() mutable {
                       deliver(connection, id, std::move(posted));
                   });
    }

    void on_cancel(std::function<void()> call) override
    {
        if (disconnected_) {
            asio::post(server_->context, std::move(call));
            return;
        }
        cancel_ = std::move(call);
    }

    void client_disconnected()
    {
        disconnected_ = true;
        if (!answered_.exchange(true) && cancel_) {
            asio::post(server_->context, std::exchange(cancel_, nullptr));
        }
    }

private:
    static void deliver(const std::weak_ptr<server_connection>& connection,
                        restinio::request_id_t id, http_response response)
    {
        if (const std::shared_ptr<server_connection> live = connection.lock()) {
            live->respond(id, std::move(response));
        }
    }

    http_request request_;
    std::shared_ptr<server_state> server_;
    std::weak_ptr<server_connection> connection_;
    restinio::request_id_t id_;
    const bool from_loopback_;
    std::atomic<bool> answered_{false};
    bool disconnected_ = false;
    std::function<void()> cancel_;
};

/// Extracts the cause of a parser error from RESTinio's log, because RESTinio closes the connection
/// without a response.
class parser_logger {
public:
    explicit parser_logger(std::shared_ptr<server_state> server) : server_(std::move(server)) {}

    template <typename Message>
    void trace(Message&& /*message*/) const noexcept
    {
    }
    template <typename Message>
    void info(Message&& /*message*/) const noexcept
    {
    }
    template <typename Message>
    void warn(Message&& /*message*/) const noexcept
    {
    }
    template <typename Message>
    void error(Message&& message) const
    {
        server_->parser_status = status_of_parser_error(message());
    }

private:
    std::shared_ptr<server_state> server_;
};

/// The usual methods; the type selects `create_parser_settings` below.
struct server_methods : restinio::default_http_methods_t {};

struct server_traits : restinio::traits_t<restinio::null_timer_manager_t, parser_logger,
                                          restinio::details::autodetect_request_handler_type,
                                          restinio::noop_strand_t, observed_socket> {
    static constexpr bool use_connection_count_limiter = true;
    using http_methods_mapper_t = server_methods;
};

/// Registers a connection before its first read; RESTinio finds this overload by argument-dependent
/// lookup on the socket.
template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(observed_socket& socket, Connection& connection, Start start,
                                       Failed /*failed*/)
{
    const std::shared_ptr<server_connection> state =
        std::static_pointer_cast<server_connection>(socket.observer());
    state->attach(socket, connection.connection_id(), state);
    start();
}

} // namespace agatespread::detail

namespace restinio {

/// Passes the server's state to the sockets, in the same way as RESTinio's settings for TLS.
template <typename Settings>
class socket_type_dependent_settings_t<Settings, agatespread::detail::observed_socket> {
public:
    Settings& server(std::shared_ptr<agatespread::detail::server_state> state) &
    {
        server_ = std::move(state);
        return static_cast<Settings&>(*this);
    }
    const std::shared_ptr<agatespread::detail::server_state>& server() const { return server_; }

protected:
    ~socket_type_dependent_settings_t() = default;

private:
    std::shared_ptr<agatespread::detail::server_state> server_;
};

namespace impl {

/// RESTinio's callbacks, except that chunks and trailer fields are not recorded: their records take
/// up to 48 bytes for a chunk of 6, and nothing here uses them.
template <>
inline http_parser_settings create_parser_settings<agatespread::detail::server_methods>() noexcept
{
    http_parser_settings settings = create_parser_settings<default_http_methods_t>();
    settings.on_chunk_header = [](http_parser* /*parser*/) { return 0; };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
        const auto* const context = static_cast<http_parser_ctx_t*>(parser->data);
        return context->m_leading_headers_completed ? 0
                                                    : restinio_header_field_cb(parser, at, size);
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
        const auto* const context = static_cast<http_parser_ctx_t*>(parser->data);
        return context->m_leading_headers_completed ? 0
                                                    : restinio_header_value_cb(parser, at, size);
    };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t size) {
        http_parser_ctx_t& context = *static_cast<http_parser_ctx_t*>(parser->data);
        std::string& body = context.m_body;
        const std::size_t needed = body.size() + size;
        if (needed > body.capacity() && needed >= agatespread::detail::min_mapped_body &&
            needed <= context.m_limits.max_body_size()) {
            try {
                body.reserve(static_cast<std::size_t>(context.m_limits.max_body_size()));
            }
            catch (const std::exception&) {
                return -1;
            }
        }
        return restinio_body_cb(parser, at, size);
    };
    return settings;
}

template <>
class socket_supplier_t<agatespread::detail::observed_socket> {
protected:
    using socket_type = agatespread::detail::observed_socket;

    template <typename Settings>
    socket_supplier_t(Settings& settings, asio::io_context& context)
        : server_(settings.server()), socket_(context)
    {
    }
    socket_type& socket(std::size_t /*index*/) { return socket_; }
    socket_type move_socket(std::size_t /*index*/)
    {
        socket_type accepted(std::move(socket_));
        accepted.observe(std::make_shared<agatespread::detail::server_connection>(server_));
        return accepted;
    }
    std::size_t concurrent_accept_sockets_count() const noexcept { return 1; }

private:
    std::shared_ptr<agatespread::detail::server_state> server_;
    socket_type socket_;
};

} // namespace impl

} // namespace restinio

namespace agatespread::detail {

std::shared_ptr<server_connection> server_state::find(restinio::connection_id_t id) const
{
    const auto found = connections.find(id);
    return found == connections.end() ? nullptr : found->second;
}

bool server_state::ends_connection(const http_response& response) const
{
    return !accepting || equal_ignoring_case(response.headers.get("Connection"), "close");
}

void server_state::handle(http_request request, const request_info& info,
                          const std::shared_ptr<server_connection>& connection,
                          restinio::request_id_t request_id,
                          restinio::impl::connection_handle_t handle)
{
    connection->request_complete();
    pending_response pending{request_id, std::move(handle), {}, info};
    const request_rejection rejection = check_request(request, info.http_minor, limits);
    if (rejection.status != 0 || !open) {
        connection->reject(pending,
                           open ? rejection : request_rejection{503, "the server is closed"});
        return;
    }
    const std::shared_ptr<server_exchange> exchange = std::make_shared<server_exchange>(
        std::move(request), connection, request_id, info.from_loopback);
    pending.exchange = exchange;
    connection->add(std::move(pending));
    // The handler may destroy the server, and with it the server's reference to the handler.
    const std::shared_ptr<const http_handler> shared_handler = handler;
    handling = true;
    // RESTinio would drop the connection if the handler's exception reached it.
    try {
        (*shared_handler)(exchange);
    }
    catch (const std::exception& error) {
        exchange->respond(error_response(500, error.what()));
    }
    handling = false;
}

void server_state::check_timeouts(time_point now)
{
    std::vector<std::shared_ptr<server_connection>> all;
    all.reserve(connections.size());
    for (const std::pair<const restinio::connection_id_t, std::shared_ptr<server_connection>>&
             entry : connections) {
        all.push_back(entry.second);
    }
    for (const std::shared_ptr<server_connection>& connection : all) {
        connection->check_timeouts(now);
    }
    for (std::size_t closed = 0; closed < limits.connections / 16; ++closed) {
        make_room();
    }
}

bool server_state::short_of_room() const
{
    // A sixteenth for connections that are being drained, and as much for those that are accepted
    // before the closed ones are gone.
    return connections.size() + *draining + limits.connections / 8 >= limits.connections;
}

void server_state::make_room()
{
    if (!short_of_room()) {
        return;
    }
    std::shared_ptr<server_connection> oldest;
    for (const std::pair<const restinio::connection_id_t, std::shared_ptr<server_connection>>&
             entry : connections) {
        if ((!oldest || entry.second->useful_at() < oldest->useful_at()) &&
            entry.second->displaceable()) {
            oldest = entry.second;
        }
    }
    if (oldest) {
        oldest->abort("displaced");
    }
}

void server_state::close_idle(std::chrono::milliseconds min_idle_time)
{
    const time_point cutoff = std::chrono::steady_clock::now() - min_idle_time;
    std::vector<std::shared_ptr<server_connection>> all;
    for (const std::pair<const restinio::connection_id_t, std::shared_ptr<server_connection>>&
             entry : connections) {
        if (entry.second->last_activity() <= cutoff && entry.second->idle()) {
            all.push_back(entry.second);
        }
    }
    for (const std::shared_ptr<server_connection>& connection : all) {
        connection->abort("idle");
    }
}

std::size_t server_state::busy_connections() const
{
    return static_cast<std::size_t>(std::count_if(
        connections.begin(), connections.end(),
        [](const std::pair<const restinio::connection_id_t, std::shared_ptr<server_connection>>&
               entry) { return !entry.second->idle(); }));
}

void server_state::close_all()
{
    open = false;
    const std::unordered_map<restinio::connection_id_t, std::shared_ptr<server_connection>> all =
        std::move(connections);
    connections.clear();
    for (const std::pair<const restinio::connection_id_t, std::shared_ptr<server_connection>>&
             entry : all) {
        entry.second->abort("closed");
    }
    // Connections outlive the server until RESTinio has closed them.
    on_cut = nullptr;
    handler = nullptr;
}

void server_connection::attach(observed_socket& socket, restinio::connection_id_t id,
                               std::shared_ptr<server_connection> self)
{
    socket_ = &socket;
    id_ = id;
    acceptor_ = server_->acceptor.lock();
    server_->make_room();
    server_->connections[id] = std::move(self);
}

bool server_connection::is_from_this_host(const asio::ip::address& client) const
{
    if (client.is_loopback() || socket_ == nullptr) {
        return client.is_loopback();
    }
    // A process of this host that connects to the host's own address comes from that address.
    asio::error_code error;
    const asio::ip::tcp::endpoint local = socket_->local_endpoint(error);
    return !error && local.address() == client;
}

bool server_connection::closed_by_client() const
{
    if (socket_ == nullptr) {
        return true;
    }
    char byte = 0;
    const ssize_t bytes =
        ::recv(socket_->native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool server_connection::idle() const
{
    // `shutdown` does not discard what the kernel has received: a request would still be read,
    // without a way to respond.
    return pending_.empty() && message_bytes_ == 0 && !writing_ && unread_bytes() == 0;
}

bool server_connection::displaceable() const
{
    // Longer requests are bounded by memory and by their rate.
    return !aborted_ && !writing_ && pending_.empty() &&
           message_bytes_ <= max_small_request_bytes && unread_bytes() == 0;
}

std::chrono::milliseconds server_connection::read_delay() noexcept
{
    if (message_bytes_ == 0 || aborted_) {
        return std::chrono::milliseconds(0);
    }
    const std::size_t small = large_request_ ? 0 : server_->small_requests.available();
    const std::size_t large = server_->large_requests.available();
    const std::size_t needed = large_request_ ? read_bytes : message_bytes_ + read_bytes;
    const time_point now = std::chrono::steady_clock::now();
    if (small < read_bytes && large < needed) {
        paused_at_ = paused_at_.value_or(now);
        if (now - *paused_at_ < max_read_pause) {
            return read_pause_step;
        }
    }
    if (paused_at_) {
        // The pause does not count against the client.
        message_start_ += now - *paused_at_;
        last_read_ += now - *paused_at_;
        paused_at_.reset();
    }
    return std::chrono::milliseconds(0);
}

bool server_connection::on_read(std::size_t bytes) noexcept
{
    last_activity_ = std::chrono::steady_clock::now();
    last_read_ = last_activity_;
    if (server_->on_received) {
        server_->on_received(bytes);
    }
    if (message_bytes_ == 0) {
        message_start_ = last_activity_;
    }
    message_bytes_ += bytes;
    // RESTinio keeps a record for each chunk, so tiny chunks use a multiple of their size in
    // memory; the limit therefore includes the chunk framing.
    const std::size_t body = server_->limits.body_bytes;
    if (message_bytes_ > body + body / 4 + (64U << 10U)) {
        error_status_ = 413;
    }
    else if (error_status_ == 0 && !reserve_memory(bytes)) {
        error_status_ = no_memory_status;
    }
    return error_status_ == 0;
}

bool server_connection::reserve_fields(std::size_t count)
{
    const std::size_t bytes = count * field_overhead_bytes;
    message_bytes_ += bytes;
    return reserve_memory(bytes);
}

bool server_connection::reserve_memory(std::size_t bytes)
{
    if (memory_.bytes() == 0) {
        memory_ = server_->small_requests.reserve();
        large_request_ = false;
    }
    if (large_request_) {
        return memory_.grow(bytes);
    }
    if (message_bytes_ <= max_small_request_bytes && memory_.grow(bytes)) {
        return true;
    }
    large_request_ = true;
    memory_ = server_->large_requests.reserve();
    return memory_.grow(message_bytes_);
}

void server_connection::on_write(bool active, std::size_t bytes) noexcept
{
    writing_ = active;
    last_activity_ = std::chrono::steady_clock::now();
    write_bytes_ += bytes;
    if (!active && server_->short_of_room()) {
        // At the limit nothing arrives any more that would displace a connection which has become
        // inactive. Posted, because the rest of the response may follow.
        asio::post(server_->context, [server = server_] { server->make_room(); });
    }
}

void server_connection::request_complete()
{
    message_bytes_ = 0;
    memory_ = {};
    useful_at_ = std::chrono::steady_clock::now();
}

void server_connection::add(pending_response pending)
{
    last_request_read_ = !pending.info.keep_alive;
    last_id_ = pending.id;
    pending_.push_back(std::move(pending));
}

bool server_connection::on_shutdown() noexcept
{
    const int status = std::exchange(server_->parser_status, 0);
    if (socket_ == nullptr) {
        // RESTinio parses the rest of its buffer after a write, also on a closed connection, and
        // closes it again if that fails.
        return false;
    }
    // Not sent while earlier requests are pending, because the client would take it for their
    // response.
    if (pending_.empty() && !writing_ && (status != 0 || error_status_ != 0)) {
        send_error(error_status_ != 0 ? error_status_ : status);
        drain_ = true;
    }
    if (closing_) {
        report_cut("response");
        drain_ = drain_ || unread_bytes() > 0;
    }
    else if (error_status_ == no_memory_status && server_->on_cut) {
        server_->on_cut({"memory", pending_.size(), unread_bytes(), writing_});
    }
    detach();
    return std::exchange(drain_, false);
}

std::shared_ptr<void> server_connection::permit_drain()
{
    const std::shared_ptr<std::size_t> draining = server_->draining;
    if (*draining >= std::max<std::size_t>(server_->limits.connections / 16, 1)) {
        return nullptr;
    }
    ++*draining;
    return std::shared_ptr<void>(draining.get(), [draining](void*) { --*draining; });
}

std::size_t server_connection::unread_bytes() const noexcept
{
    int bytes = 0;
    const bool known =
        socket_ != nullptr && ::ioctl(socket_->native_handle(), FIONREAD, &bytes) == 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
}

void server_connection::report_cut(std::string_view cause) const noexcept
{
    if (socket_ == nullptr || !server_->on_cut) {
        return;
    }
    const std::size_t unread = unread_bytes();
    if (unread > 0 || !pending_.empty() || writing_ || cause == "displaced") {
        server_->on_cut({cause, pending_.size(), unread, writing_});
    }
}

void server_connection::send_error(int status)
{
    const bool no_memory = status == no_memory_status;
    http_response response =
        error_response(status, no_memory ? no_memory_text : "the request cannot be read");
    if (no_memory) {
        response.headers.add("Retry-After", memory_retry_after);
    }
    const std::string head = response_head(response, {false, false, 1});
    const std::string bytes = head + response.body;
    // The socket's send buffer is empty here, so these few bytes fit without blocking.
    ::send(socket_->native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void server_connection::detach() noexcept
{
    socket_ = nullptr;
    memory_ = {};
    const std::vector<pending_response> unanswered = std::exchange(pending_, {});
    for (const pending_response& entry : unanswered) {
        if (const std::shared_ptr<server_exchange> exchange = entry.exchange.lock()) {
            exchange->client_disconnected();
        }
    }
    server_->connections.erase(id_);
}

void server_connection::respond(restinio::request_id_t id, http_response response)
{
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [id](const pending_response& entry) { return entry.id == id; });
    if (found == pending_.end()) {
        return;
    }
    pending_response pending = std::move(*found);
    pending_.erase(found);
    // Responses are sent in the order of their requests; only the last one may end the connection.
    const bool is_last = id == last_id_ && message_bytes_ == 0;
    const bool close = server_->ends_connection(response) && is_last && unread_bytes() == 0;
    pending.info.keep_alive = pending.info.keep_alive && !close;
    write(pending, std::move(response));
}

void server_connection::reject(const pending_response& pending, const request_rejection& rejection)
{
    pending_response closing = pending;
    closing.info.keep_alive = false;
    drain_ = true;
    http_response response = error_response(rejection.status, rejection.text);
    if (rejection.status == no_memory_status) {
        response.headers.add("Retry-After", memory_retry_after);
    }
    write(closing, std::move(response));
}

void server_connection::write(const pending_response& pending, http_response response)
{
    // Up to this size, one copy is cheaper than a second buffer in the system call.
    constexpr std::size_t max_copied = 16U << 10U;
    last_activity_ = std::chrono::steady_clock::now();
    closing_ = closing_ || !pending.info.keep_alive;
    std::string head = response_head(response, pending.info);
    restinio::writable_items_container_t parts;
    std::shared_ptr<body_memory::reservation> memory = std::move(response.memory);
    const std::size_t bytes = head.size() + response.body.size();
    if (!memory && bytes > min_counted_response) {
        memory = std::make_shared<body_memory::reservation>(server_->responses.reserve());
        if (!memory->grow(bytes)) {
            // Another response could claim something about the request that is not true.
            abort("memory");
            return;
        }
    }
    if (!writing_) {
        write_start_ = last_activity_;
        write_bytes_ = 0;
    }
    if (response.body.size() <= max_copied) {
        head += response.body;
        parts.emplace_back(std::move(head));
    }
    else {
        parts.emplace_back(std::move(head));
        parts.emplace_back(std::move(response.body));
    }
    restinio::write_group_t group(std::move(parts));
    if (memory) {
        group.after_write_notificator([memory](const asio::error_code&) {});
    }
    pending.handle->write_response_parts(
        pending.id,
        restinio::response_output_flags_t(
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr(pending.info.keep_alive)),
        std::move(group));
}

void server_connection::check_timeouts(time_point now)
{
    if (socket_ == nullptr) {
        return;
    }
    const std::string_view cause = timeout(now);
    if (cause == "read_timeout") {
        error_status_ = 408;
    }
    if (!cause.empty()) {
        abort(cause);
    }
}

std::string_view server_connection::timeout(time_point now) const
{
    const http_limits& limits = server_->limits;
    if (writing_) {
        // The link of a busy host may take seconds for a response of 90 kB.
        return is_too_slow(write_bytes_, now - write_start_, limits.idle_timeout, limits)
                   ? "write_timeout"
                   : "";
    }
    if (!pending_.empty()) {
        return "";
    }
    if (message_bytes_ > 0 && paused_at_) {
        return "";
    }
    if (message_bytes_ > 0) {
        const std::size_t counted = std::max(message_bytes_, max_small_request_bytes);
        const bool too_slow = now - last_read_ >= limits.read_timeout ||
                              is_too_slow(counted - max_small_request_bytes, now - message_start_,
                                          limits.read_timeout, limits);
        return too_slow ? "read_timeout" : "";
    }
    return now - last_activity_ >= limits.idle_timeout && unread_bytes() == 0 ? "idle" : "";
}

void server_connection::abort(std::string_view cause)
{
    if (socket_ != nullptr) {
        aborted_ = true;
        report_cut(cause);
        // Makes the pending read or write fail, upon which RESTinio closes the connection.
        asio::error_code ignored;
        socket_->lowest_layer().shutdown(error_status_ != 0
                                             ? asio::ip::tcp::socket::shutdown_receive
                                             : asio::ip::tcp::socket::shutdown_both,
                                         ignored);
    }
}

http_request read_request(const restinio::request_t& source, body_memory::reservation memory)
{
    http_request result;
    result.method = source.header().method().c_str();
    result.target = source.header().request_target();
    source.header().for_each_field([&result](const restinio::http_header_field_t& field) {
        result.headers.add(field.name(), field.value());
    });
    // RESTinio offers no way to move the body; the request is not const and used by nobody else.
    result.body =
        http_body(std::move(const_cast<std::string&>(source.body())), // NOLINT(*-const-cast)
                  std::move(memory));
    return result;
}

restinio::request_handling_status_t receive(const std::shared_ptr<server_state>& server,
                                            const restinio::request_handle_t& source)
{
    const std::shared_ptr<server_connection> connection = server->find(source->connection_id());
    if (!connection) {
        return restinio::request_rejected();
    }
    if (!connection->takes_requests()) {
        // It will not be answered, so it must not be handled either.
        connection->request_complete();
        return restinio::request_accepted();
    }
    request_info info;
    info.is_head = source->header().method() == restinio::http_method_head();
    info.http_minor = source->header().http_minor();
    info.keep_alive = source->header().should_keep_alive();
    info.from_loopback = connection->is_from_this_host(source->remote_endpoint().address());
    restinio::impl::connection_handle_t handle =
        std::move(restinio::impl::access_req_connection(*source));
    if (source->header().connection() == restinio::http_connection_header_t::upgrade ||
        source->header().http_major() != 1) {
        connection->request_complete();
        connection->reject({source->request_id(), std::move(handle), {}, info},
                           {501, "only HTTP/1.1 without an upgrade is supported"});
        return restinio::request_accepted();
    }
    if (!connection->reserve_fields(source->header().fields_count())) {
        connection->request_complete();
        connection->reject({source->request_id(), std::move(handle), {}, info},
                           {no_memory_status, no_memory_text});
        return restinio::request_accepted();
    }
    server->handle(read_request(*source, connection->take_memory()), info, connection,
                   source->request_id(), std::move(handle));
    return restinio::request_accepted();
}

using restinio_server = restinio::http_server_t<server_traits>;

restinio::server_settings_t<server_traits> make_settings(const std::shared_ptr<server_state>& state,
                                                         const asio::ip::tcp::endpoint& endpoint,
                                                         bool reuse_port,
                                                         std::string* bound_address)
{
    using reuse_port_option = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    const http_limits& limits = state->limits;
    restinio::server_settings_t<server_traits> settings(endpoint.port(), endpoint.protocol());
    settings.address(endpoint.address())
        .server(state)
        .logger(state)
        .max_pipelined_requests(limits.pipelined_requests)
        .max_parallel_connections(limits.open_connections())
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(limits.header_bytes)
                                      .max_field_name_size(limits.header_bytes)
                                      .max_field_value_size(limits.header_bytes)
                                      .max_field_count(limits.header_count)
                                      .max_body_size(limits.body_bytes))
        .socket_options_setter([](restinio::socket_options_t& options) {
            options.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_options_setter([reuse_port](restinio::acceptor_options_t& options) {
            options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            if (reuse_port) {
                options.set_option(reuse_port_option(true));
            }
        })
        .acceptor_post_bind_hook([bound_address](asio::ip::tcp::acceptor& acceptor) {
            *bound_address = to_string(acceptor.local_endpoint());
        })
        .request_handler(
            [state](const restinio::request_handle_t& source) { return receive(state, source); });
    return settings;
}

} // namespace agatespread::detail

namespace agatespread {

struct http_server::impl {
    std::shared_ptr<detail::server_state> state;
    std::shared_ptr<detail::restinio_server> server;
    std::string address;
    subscription timeouts;
};

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(event_loop& loop, std::string_view address, const http_limits& limits,
                    http_handler handler, bool reuse_port)
{
    const absl::StatusOr<asio::ip::tcp::endpoint> endpoint = detail::parse_endpoint(address);
    if (!endpoint.ok()) {
        return layer_error(absl::StatusCode::kInvalidArgument, "http", "bad_address",
                           std::string(endpoint.status().message()));
    }
    asio::io_context& context = loop.native().context;
    std::unique_ptr<impl> result = std::make_unique<impl>();
    result->state = std::make_shared<detail::server_state>(context, limits, std::move(handler));
    try {
        result->server = std::make_shared<detail::restinio_server>(
            restinio::external_io_context(context),
            detail::make_settings(result->state, *endpoint, reuse_port, &result->address));
        result->state->acceptor = result->server;
        result->server->open_sync();
    }
    catch (const std::exception& error) {
        return layer_error(absl::StatusCode::kUnavailable, "http", "cannot_listen",
                           fmt::format("cannot listen on {}: {}", address, error.what()));
    }
    // A timeout is detected at most a quarter of its length late; timeouts below 20 ms, up to 5 ms.
    const std::chrono::milliseconds period =
        std::clamp(std::min(limits.read_timeout, limits.idle_timeout) / 4,
                   std::chrono::milliseconds(5), std::chrono::milliseconds(1000));
    result->timeouts = loop.every(
        period, [state = result->state.get()](time_point now) { state->check_timeouts(now); });
    return std::make_unique<http_server>(std::move(result));
}

http_server::http_server(std::unique_ptr<impl> state) : impl_(std::move(state))
{
}

http_server::~http_server()
{
    stop_accepting();
    impl_->state->close_all();
}

std::string http_server::address() const
{
    return impl_->address;
}

void http_server::set_limits(const http_limits& limits)
{
    impl_->state->limits = limits;
}

void http_server::close_idle(std::chrono::milliseconds min_idle_time)
{
    impl_->state->close_idle(min_idle_time);
}

std::size_t http_server::connections() const
{
    return impl_->state->connections.size();
}

std::size_t http_server::busy_connections() const
{
    return impl_->state->busy_connections();
}

void http_server::limit_memory(body_memory large, body_memory small)
{
    impl_->state->large_requests = std::move(large);
    impl_->state->small_requests = std::move(small);
}

void http_server::limit_response_memory(body_memory memory)
{
    impl_->state->responses = std::move(memory);
}

void http_server::on_received(std::function<void(std::size_t bytes)> call)
{
    impl_->state->on_received = std::move(call);
}

void http_server::on_cut(std::function<void(const connection_cut&)> call)
{
    impl_->state->on_cut = std::move(call);
}

void http_server::stop_accepting()
{
    impl_->state->accepting = false;
    impl_->server->close_sync();
}

} // namespace agatespread
