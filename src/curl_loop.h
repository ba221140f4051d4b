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

/// Runs libcurl's multi interface on Asio: socket and timer callbacks become waits.
class curl_loop {
public:
    /// Is called with each transfer that ended, after its removal and outside of libcurl.
    using end_hook = std::function<void(CURL* easy, CURLcode code)>;

    curl_loop(asio::io_context& context, std::size_t connections_per_host, end_hook ended);
    curl_loop(const curl_loop&) = delete;
    curl_loop& operator=(const curl_loop&) = delete;
    ~curl_loop();

    asio::io_context& context() { return context_; }

    /// Makes the loop open and close the sockets of a transfer; to be called once for each.
    void adopt(CURL* easy);

    /// Returns whether the connection between two ports is open and holds no unread byte.
    bool is_clean(int local_port, int remote_port);

    /// Starts a transfer.
    void add(CURL* easy);

    /// Ends a transfer without a call of the hook; its connection is reset, so that bytes which a
    /// partition holds up do not arrive after the end.
    void remove(CURL* easy);

private:
    struct watched_socket;

    static curl_socket_t on_open(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int on_close(void* self, curl_socket_t fd);
    static int on_socket(CURL* easy, curl_socket_t fd, int wanted, void* self, void* watch);
    static int on_timer(CURLM* multi, long delay_ms, void* self);

    void watch(curl_socket_t fd, int wanted);
    void wait(const std::shared_ptr<watched_socket>& socket, bool writing);
    void set_timer(long delay_ms);
    void act(curl_socket_t fd, int events);
    void collect_ended();
    void report_ended();

    asio::io_context& context_;
    end_hook ended_;
    asio::steady_timer timer_;
    CURLM* multi_;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets_;
    std::unordered_multimap<std::uint32_t, curl_socket_t> by_ports_;
    std::vector<curl_socket_t> without_ports_; ///< Were not connected when last looked at.
    std::deque<std::pair<CURL*, CURLcode>> ended_transfers_;
    bool reporting_ = false;
    bool resetting_ = false; ///< Connections that close now are reset.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace agatespread::detail
