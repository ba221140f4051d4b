#pragma once

#include "event_loop_impl.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agatespread::detail {

/// Drives libcurl's multi interface with Asio's socket waits and timers.
class curl_loop {
public:
    /// Is called for each transfer that ended, after its removal from the multi handle and outside
    /// of libcurl's callbacks.
    using end_callback = std::function<void(CURL* easy, CURLcode code)>;

    curl_loop(asio::io_context& context, std::size_t connections_per_host, end_callback on_end);
    curl_loop(const curl_loop&) = delete;
    curl_loop& operator=(const curl_loop&) = delete;
    ~curl_loop();

    asio::io_context& context() { return context_; }

    /// Makes a transfer open and close its sockets through this loop; to be called once for each.
    void set_socket_callbacks(CURL* easy, bool detect_dead_peer);

    /// Returns whether the connection between two ports is open and has no unread bytes.
    bool is_usable(int local_port, int remote_port);

    /// Starts a transfer.
    void add(CURL* easy);

    /// Removes a transfer without calling the callback. Its connection is reset, so that bytes
    /// delayed by a network partition do not arrive later.
    void remove(CURL* easy);

private:
    struct watched_socket;

    static curl_socket_t on_open(void* self, curlsocktype purpose, curl_sockaddr* address);
    static curl_socket_t on_open_on_this_host(void* self, curlsocktype purpose,
                                              curl_sockaddr* address);
    static int on_close(void* self, curl_socket_t fd);
    static int on_socket(CURL* easy, curl_socket_t fd, int poll_events, void* self, void* watch);
    static int on_timer(CURLM* multi, long delay_ms, void* self);

    std::shared_ptr<watched_socket> register_socket(curl_socket_t fd);
    void forget(curl_socket_t fd);
    bool is_connected(curl_socket_t fd) const;
    void watch(curl_socket_t fd, int poll_events);
    void wait(const std::shared_ptr<watched_socket>& socket, bool writing);
    void set_timer(long delay_ms);
    void run_socket_action(curl_socket_t fd, int events);
    void collect_ended();
    void report_ended();

    asio::io_context& context_;
    end_callback on_end_;
    asio::steady_timer timer_;
    CURLM* multi_;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets_;
    std::unordered_multimap<std::uint32_t, curl_socket_t> by_ports_;
    std::vector<curl_socket_t> unconnected_sockets_; ///< Their ports are not known yet.
    std::deque<std::pair<CURL*, CURLcode>> ended_transfers_;
    bool reporting_ = false;
    bool resetting_ = false; ///< Sockets closed now are reset (RST).
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace agatespread::detail
