#pragma once

#include <agatespread/body_memory.h>
#include <agatespread/event_loop.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespread {

/// The header fields of a message in order; names are case-insensitive.
class http_headers {
public:
    using field = std::pair<std::string, std::string>;

    /// Returns the value of the first field with this name, or an empty string.
    std::string_view get(std::string_view name) const;

    /// Returns whether a field with this name exists.
    bool contains(std::string_view name) const;

    /// Replaces all fields with this name by one.
    void set(std::string_view name, std::string value);

    /// Adds a field and keeps those with the same name.
    void add(std::string_view name, std::string value);

    /// Removes all fields with this name.
    void remove(std::string_view name);

    /// Removes all fields whose name starts with this prefix.
    void remove_prefix(std::string_view prefix);

    const std::vector<field>& fields() const { return fields_; }

private:
    std::vector<field> fields_;
};

/// The body of a request; copies share its bytes, so that each attempt to send it costs none.
class http_body {
public:
    http_body() = default;
    http_body(std::string bytes);
    http_body(const char* text) : http_body(std::string(text)) {}

    /// Returns `memory` when the last copy is destroyed.
    http_body(std::string bytes, body_memory::reservation memory);

    const std::string& bytes() const { return *bytes_; }
    operator const std::string&() const { return *bytes_; }
    operator std::string_view() const { return *bytes_; }

    const char* data() const { return bytes_->data(); }
    std::size_t size() const { return bytes_->size(); }
    bool empty() const { return bytes_->empty(); }

private:
    static const std::shared_ptr<const std::string>& no_bytes();

    std::shared_ptr<const std::string> bytes_ = no_bytes();
};

/// A complete HTTP request.
struct http_request {
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    http_headers headers;
    http_body body;
};

/// A complete HTTP response.
struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
    /// Counts the body of a received response until it is destroyed or has been written.
    std::shared_ptr<body_memory::reservation> memory = nullptr;
};

/// One request that a server received and that needs a response.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    /// Returns the request.
    virtual const http_request& request() const = 0;

    /// Sends the response; may be called from any thread, and only the first call has an effect.
    ///
    /// If the response has the field "Connection: close", the connection is closed after it.
    virtual void respond(http_response response) = 0;

    /// Returns whether the request came from a process on this host.
    virtual bool is_from_loopback() const { return false; }

    /// Returns whether the client has closed the connection, also if the server has not read that
    /// yet; must be called on the event loop's thread.
    virtual bool client_left() const { return false; }

    /// Sets a function that is called on the event loop if the client disconnects before the
    /// response is sent.
    virtual void on_cancel(std::function<void()> call) = 0;
};

/// Handles a request; the response may be sent after the handler returned.
using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// The limits of a server; a request that exceeds one gets status 400, 408, 413 or 431.
struct http_limits {
    std::size_t body_bytes = 8U << 20U;
    std::size_t header_bytes = 16U << 10U;
    std::size_t header_count = 100;
    /// Descriptors that the server uses for connections. An eighth of them is kept free for
    /// arriving connections and for those that are being closed: when fewer are left, the
    /// connection without a request that has been inactive for longest is closed.
    std::size_t connections = 1000;
    /// Requests of one connection that are read before the first of them has been responded to. At
    /// least 2: with 1, RESTinio resets its parser in the middle of the next request.
    std::size_t pipelined_requests = 4;
    /// For a head and a body of up to 64 KB, between two reads of a longer body, and before
    /// `min_bytes_per_second` is required of its sender.
    std::chrono::milliseconds read_timeout = std::chrono::seconds(10);
    /// The least mean rate of clients that send a longer body or read a response.
    std::size_t min_bytes_per_second = 1U << 16U;
    /// Of a connection without a request, and before `min_bytes_per_second` is required of a client
    /// that reads a response.
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);

    /// Returns how many connections are open at most; the rest of the descriptors is for those that
    /// are being closed.
    std::size_t open_connections() const { return connections - connections / 16; }
};

/// A connection that the server closed although something was left on it.
struct connection_cut {
    /// "idle", "response", "read_timeout", "write_timeout" (a client that reads too slowly),
    /// "displaced" (by another connection), "memory" or "closed".
    std::string_view cause;
    std::size_t unanswered = 0;   ///< Requests that were read and get no response.
    std::size_t unread_bytes = 0; ///< Received by the system and not read yet.
    bool writing = false;         ///< A response was being written.
};

/// An HTTP/1.1 server on one event loop.
///
/// Requests with conflicting lengths are refused with 400.
class http_server {
public:
    /// Listens on `address`; port 0, as in "127.0.0.1:0", selects a free port.
    ///
    /// `reuse_port` sets SO_REUSEPORT, so that several servers of the process can listen on one
    /// port. Returns InvalidArgument for a malformed address and Unavailable if listening fails.
    static absl::StatusOr<std::unique_ptr<http_server>>
    listen(event_loop& loop, std::string_view address, const http_limits& limits,
           http_handler handler, bool reuse_port = false);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Returns the address with the port in use, such as "127.0.0.1:40113".
    std::string address() const;

    /// Replaces the limits for requests that arrive from now on.
    ///
    /// The HTTP parser's own limits and the number of connections stay as they were at `listen`.
    void set_limits(const http_limits& limits);

    /// Stops accepting connections; requests in flight still get their responses.
    void stop_accepting();

    /// Closes the connections that have had no request or write in progress for at least this time.
    void close_idle(std::chrono::milliseconds min_idle_time = std::chrono::milliseconds(0));

    /// Returns the number of open connections.
    std::size_t connections() const;

    /// Returns the number of connections on which a request, a response or bytes that have not been
    /// read yet are in progress.
    std::size_t busy_connections() const;

    /// Counts the requests that are being read or are in use against `large`, those of up to 64 KB
    /// against `small`. What does not fit is refused with 503 before it has been handled.
    void limit_memory(body_memory large, body_memory small);

    /// Counts responses of more than 4 KB that bring no reservation of their own against `memory`
    /// until they have been written. A connection whose response does not fit is closed.
    void limit_response_memory(body_memory memory);

    /// Calls `call` with the number of bytes of each read, also of requests that never become
    /// complete.
    void on_received(std::function<void(std::size_t bytes)> call);

    /// Calls `call` for each connection that the server cuts from now on.
    void on_cut(std::function<void(const connection_cut&)> call);

    struct impl;
    explicit http_server(std::unique_ptr<impl> state);

private:
    std::unique_ptr<impl> impl_;
};

/// A request to send.
struct http_call {
    std::string url; ///< Such as "http://127.0.0.1:8080/stops?day=1".
    http_request request;
    std::chrono::milliseconds timeout = std::chrono::seconds(5);
    std::chrono::milliseconds connect_timeout{0}; ///< 0 means `timeout`.
    std::size_t max_response_bytes = 8U << 20U;
    bool new_connection = false;   ///< Opens a connection instead of using an idle one.
    bool close_connection = false; ///< Closes the connection after the response.
    /// Ends the connection if the peer leaves data unacknowledged, or does not read, for 1.5 s.
    /// False for a peer on this host: its system closes the connections of a process that ends, and
    /// one that lives may pause in reading.
    bool detect_dead_peer = true;
    /// Accepts a body without a length that ends with an orderly close of the connection, even if
    /// the response has no field "Connection: close".
    bool allow_close_delimited_body = false;
    /// Is called with the status and the header fields before the body arrives; if it returns
    /// false, the connection is closed and the call ends as `truncated`.
    std::function<bool(const http_response&)> accept_head;
};

/// How a call ended.
enum class http_outcome {
    answered,        ///< A complete response arrived.
    not_sent,        ///< No byte of the request left this process.
    timed_out,       ///< The timeout expired after bytes may have been sent.
    connection_lost, ///< The connection was closed before the response.
    truncated,       ///< The response is incomplete, malformed or not accepted.
    too_large,       ///< The response exceeded a size limit.
    cancelled        ///< The call was cancelled.
};

/// The result of a call.
struct http_result {
    http_outcome outcome = http_outcome::not_sent;
    bool sent = false; ///< Whether a byte of the request may have reached the peer.
    http_response response;
    std::string error; ///< Empty if `outcome` is `answered`.
};

/// An HTTP/1.1 client on one event loop; it reuses connections and never resends a request.
class http_client {
public:
    using call_id = std::uint64_t;
    using callback = std::function<void(http_result)>;

    /// Opens at most `connections_per_host` connections to each host. The bodies of responses are
    /// counted in `memory`; a call whose body does not fit ends as `too_large`.
    explicit http_client(event_loop& loop, std::size_t connections_per_host = 100,
                         body_memory memory = body_memory());
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /// Sends a request and calls `done` once on the loop's thread; must be called on that thread.
    ///
    /// Returns an id for `cancel`.
    call_id send(http_call call, callback done);

    /// Cancels a call that has not ended; its callback receives the outcome `cancelled`.
    void cancel(call_id id);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace agatespread
