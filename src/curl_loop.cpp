#include "curl_loop.h"

#include <asio/post.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <exception>
#include <mutex>

namespace agatespread::detail {

namespace {

// A connection whose peer vanished without a reset, for example by a power loss or a network
// partition, is closed after two unanswered probes that follow 1 s of idleness, or after 1.5 s of
// unacknowledged data.
constexpr int keep_alive_idle_seconds = 1;
constexpr int keep_alive_interval_seconds = 1;
constexpr int keep_alive_probes = 2;
constexpr unsigned int unacknowledged_timeout_ms = 1500;

void enable_dead_peer_detection(curl_socket_t fd)
{
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_seconds, sizeof(int));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_seconds, sizeof(int));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof(int));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_timeout_ms,
                 sizeof(unacknowledged_timeout_ms));
}

std::uint16_t port_of(const sockaddr_storage& address)
{
    return ntohs(address.ss_family == AF_INET6
                     ? reinterpret_cast<const sockaddr_in6&>(address).sin6_port
                     : reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

// Returns the local port in the upper and the remote port in the lower 16 bits, or 0 if the socket
// is not connected.
std::uint32_t ports_of(curl_socket_t fd)
{
    sockaddr_storage local{};
    sockaddr_storage remote{};
    socklen_t local_size = sizeof(local);
    socklen_t remote_size = sizeof(remote);
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&local), &local_size) != 0 ||
        ::getpeername(fd, reinterpret_cast<sockaddr*>(&remote), &remote_size) != 0) {
        return 0;
    }
    return static_cast<std::uint32_t>(port_of(local)) << 16U | port_of(remote);
}

} // namespace

/// A socket of libcurl and the waits for it on the event loop.
struct curl_loop::watched_socket {
    watched_socket(asio::io_context& context, curl_socket_t fd) : descriptor(context, fd) {}
    // The descriptor is closed in `on_close`, when libcurl asks for it.
    ~watched_socket()
    {
        if (descriptor.is_open()) {
            descriptor.release();
        }
    }
    watched_socket(const watched_socket&) = delete;
    watched_socket& operator=(const watched_socket&) = delete;

    asio::posix::stream_descriptor descriptor;
    std::uint32_t ports = 0;
    int poll_events = 0;
    bool waiting_to_read = false;
    bool waiting_to_write = false;
};

curl_loop::curl_loop(asio::io_context& context, std::size_t connections_per_host,
                     end_callback on_end)
    : context_(context), on_end_(std::move(on_end)), timer_(context)
{
    static std::once_flag initialized;
    std::call_once(initialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &curl_loop::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &curl_loop::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    const long per_host = static_cast<long>(std::max<std::size_t>(connections_per_host, 1));
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, per_host);
    // Lower bound for the number of cached connections to all hosts; libcurl closes the oldest ones
    // beyond the limit.
    constexpr long min_cached_connections = 256;
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, std::max(2 * per_host, min_cached_connections));
}

curl_loop::~curl_loop()
{
    *alive_ = false;
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, nullptr);
    curl_multi_cleanup(multi_);
    sockets_.clear();
}

void curl_loop::set_socket_callbacks(CURL* easy, bool detect_dead_peer)
{
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION,
                     detect_dead_peer ? &curl_loop::on_open : &curl_loop::on_open_on_this_host);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &curl_loop::on_close);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
}

curl_socket_t curl_loop::on_open(void* self, curlsocktype purpose, curl_sockaddr* address)
{
    const curl_socket_t fd = on_open_on_this_host(self, purpose, address);
    if (fd != CURL_SOCKET_BAD) {
        enable_dead_peer_detection(fd);
    }
    return fd;
}

curl_socket_t curl_loop::on_open_on_this_host(void* self, curlsocktype /*purpose*/,
                                              curl_sockaddr* address)
{
    const curl_socket_t fd =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (fd != CURL_SOCKET_BAD) {
        curl_loop* const loop = static_cast<curl_loop*>(self);
        // libcurl closes a socket whose connection attempt it gives up without calling `on_close`.
        loop->forget(fd);
        loop->register_socket(fd);
    }
    return fd;
}

int curl_loop::on_close(void* self, curl_socket_t fd)
{
    curl_loop* const loop = static_cast<curl_loop*>(self);
    loop->forget(fd);
    if (loop->resetting_) {
        const linger reset{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    return ::close(fd);
}

std::shared_ptr<curl_loop::watched_socket> curl_loop::register_socket(curl_socket_t fd)
{
    unconnected_sockets_.push_back(fd);
    return sockets_.emplace(fd, std::make_shared<watched_socket>(context_, fd)).first->second;
}

void curl_loop::forget(curl_socket_t fd)
{
    const auto found = sockets_.find(fd);
    if (found == sockets_.end()) {
        return;
    }
    const std::shared_ptr<watched_socket> socket = found->second;
    const auto range = by_ports_.equal_range(socket->ports);
    for (auto entry = range.first; entry != range.second; ++entry) {
        if (entry->second == fd) {
            by_ports_.erase(entry);
            break;
        }
    }
    unconnected_sockets_.erase(
        std::remove(unconnected_sockets_.begin(), unconnected_sockets_.end(), fd),
        unconnected_sockets_.end());
    socket->poll_events = 0;
    // Must not refer to the descriptor any more: its number may be reused by another socket.
    socket->descriptor.release();
    sockets_.erase(found);
}

bool curl_loop::is_connected(curl_socket_t fd) const
{
    return std::find(unconnected_sockets_.begin(), unconnected_sockets_.end(), fd) ==
           unconnected_sockets_.end();
}

bool curl_loop::is_usable(int local_port, int remote_port)
{
    const std::vector<curl_socket_t> unconnected = std::exchange(unconnected_sockets_, {});
    for (const curl_socket_t fd : unconnected) {
        const std::uint32_t ports = ports_of(fd);
        if (ports == 0) {
            unconnected_sockets_.push_back(fd);
            continue;
        }
        sockets_.at(fd)->ports = ports;
        by_ports_.emplace(ports, fd);
    }
    // Connections to different hosts may have the same ports; all of them must be usable.
    const auto range = by_ports_.equal_range(static_cast<std::uint32_t>(local_port) << 16U |
                                             static_cast<std::uint32_t>(remote_port));
    return range.first != range.second &&
           std::all_of(range.first, range.second,
                       [](const std::pair<const std::uint32_t, curl_socket_t>& entry) {
                           char byte = 0;
                           return ::recv(entry.second, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
                                  (errno == EAGAIN || errno == EWOULDBLOCK);
                       });
}

void curl_loop::add(CURL* easy)
{
    curl_multi_add_handle(multi_, easy);
    // Sends the request at once if a connection is open, instead of in the next loop iteration.
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    collect_ended();
    if (!ended_transfers_.empty() && !reporting_) {
        // The caller must return from `add` before it is called back, so the end is reported later.
        asio::post(context_, [this, alive = alive_] {
            if (*alive) {
                report_ended();
            }
        });
    }
}

void curl_loop::remove(CURL* easy)
{
    resetting_ = true;
    curl_multi_remove_handle(multi_, easy);
    resetting_ = false;
    ended_transfers_.erase(std::remove_if(ended_transfers_.begin(), ended_transfers_.end(),
                                          [easy](const std::pair<CURL*, CURLcode>& entry) {
                                              return entry.first == easy;
                                          }),
                           ended_transfers_.end());
}

int curl_loop::on_socket(CURL* /*easy*/, curl_socket_t fd, int poll_events, void* self,
                         void* /*watch*/)
{
    static_cast<curl_loop*>(self)->watch(fd, poll_events);
    return 0;
}

int curl_loop::on_timer(CURLM* /*multi*/, long delay_ms, void* self)
{
    static_cast<curl_loop*>(self)->set_timer(delay_ms);
    return 0;
}

void curl_loop::watch(curl_socket_t fd, int poll_events)
{
    if (poll_events == CURL_POLL_REMOVE && !is_connected(fd)) {
        // Probably closed already, see `on_open`. If not, the next wait registers it again.
        forget(fd);
        return;
    }
    const auto found = sockets_.find(fd);
    const std::shared_ptr<watched_socket> socket =
        found != sockets_.end() ? found->second : register_socket(fd);
    // The descriptor stays registered with the reactor while its connection is idle.
    socket->poll_events = poll_events == CURL_POLL_REMOVE ? 0 : poll_events;
    poll_events = socket->poll_events;
    if ((poll_events & CURL_POLL_IN) != 0 && !socket->waiting_to_read) {
        wait(socket, false);
    }
    if ((poll_events & CURL_POLL_OUT) != 0 && !socket->waiting_to_write) {
        wait(socket, true);
    }
}

void curl_loop::wait(const std::shared_ptr<watched_socket>& socket, bool writing)
{
    (writing ? socket->waiting_to_write : socket->waiting_to_read) = true;
    const auto ready = [this, socket, writing, alive = alive_](const asio::error_code& error) {
        (writing ? socket->waiting_to_write : socket->waiting_to_read) = false;
        const int event = writing ? CURL_POLL_OUT : CURL_POLL_IN;
        if (error || !*alive || (socket->poll_events & event) == 0) {
            return;
        }
        const curl_socket_t fd = socket->descriptor.native_handle();
        run_socket_action(fd, writing ? CURL_CSELECT_OUT : CURL_CSELECT_IN);
        const auto found = *alive ? sockets_.find(fd) : sockets_.end();
        if (*alive && found != sockets_.end() && found->second == socket &&
            (socket->poll_events & event) != 0 &&
            !(writing ? socket->waiting_to_write : socket->waiting_to_read)) {
            wait(socket, writing);
        }
    };
    socket->descriptor.async_wait(writing ? asio::posix::descriptor_base::wait_write
                                          : asio::posix::descriptor_base::wait_read,
                                  ready);
}

void curl_loop::set_timer(long delay_ms)
{
    timer_.cancel();
    if (delay_ms < 0) {
        return;
    }
    timer_.expires_after(std::chrono::milliseconds(delay_ms));
    timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
        if (!error && *alive) {
            run_socket_action(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

void curl_loop::run_socket_action(curl_socket_t fd, int events)
{
    int running = 0;
    curl_multi_socket_action(multi_, fd, events, &running);
    collect_ended();
    report_ended();
}

void curl_loop::collect_ended()
{
    int queued = 0;
    while (const CURLMsg* const entry = curl_multi_info_read(multi_, &queued)) {
        if (entry->msg == CURLMSG_DONE) {
            CURL* const easy = entry->easy_handle;
            const CURLcode code = entry->data.result;
            curl_multi_remove_handle(multi_, easy);
            ended_transfers_.emplace_back(easy, code);
        }
    }
}

void curl_loop::report_ended()
{
    // A callback that starts a transfer re-enters this function; the outer call reports that
    // transfer's end.
    if (reporting_) {
        return;
    }
    reporting_ = true;
    const std::shared_ptr<bool> alive = alive_;
    while (*alive && !ended_transfers_.empty()) {
        const std::pair<CURL*, CURLcode> entry = ended_transfers_.front();
        ended_transfers_.pop_front();
        // An exception from one callback must not prevent the reports of other transfers.
        try {
            on_end_(entry.first, entry.second);
        }
        catch (const std::exception& error) {
            spdlog::error("http client: a callback failed: {}", error.what());
        }
    }
    if (*alive) {
        reporting_ = false;
    }
}

} // namespace agatespread::detail
