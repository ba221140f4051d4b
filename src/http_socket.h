#pragma once

#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

namespace agatespread::detail {

/// Receives the events of one server connection.
class socket_observer {
public:
    socket_observer() = default;
    socket_observer(const socket_observer&) = delete;
    socket_observer& operator=(const socket_observer&) = delete;
    virtual ~socket_observer() = default;

    /// Returns the time for which the next read must wait.
    virtual std::chrono::milliseconds read_delay() noexcept = 0;

    /// Bytes arrived but were not parsed yet; returns false to close the connection.
    virtual bool on_read(std::size_t bytes) noexcept = 0;

    /// A write started (`active`) or ended after `bytes`.
    virtual void on_write(bool active, std::size_t bytes) noexcept = 0;

    /// The HTTP layer is about to close the socket; returns whether the client may still be
    /// sending, in which case the socket must be drained so that the client can read the last
    /// response.
    virtual bool on_shutdown() noexcept = 0;

    /// Returns an object to be held while the socket is drained, or nothing if too many are.
    virtual std::shared_ptr<void> permit_drain() = 0;

    /// The socket was destroyed.
    virtual void on_destroyed() noexcept = 0;
};

/// Reads and discards what a client still sends; closing a socket with unread data would make the
/// kernel send a reset, on which the client discards the response.
class socket_drain : public std::enable_shared_from_this<socket_drain> {
public:
    socket_drain(asio::ip::tcp::socket&& socket, std::shared_ptr<void> permit)
        : permit_(std::move(permit)), socket_(std::move(socket)), timer_(socket_.get_executor())
    {
    }

    void start()
    {
        timer_.expires_after(std::chrono::seconds(1));
        timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
            if (!error) {
                asio::error_code ignored;
                self->socket_.close(ignored);
            }
        });
        read();
    }

private:
    void read()
    {
        socket_.async_read_some(
            asio::buffer(scratch_),
            [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                self->drained_ += bytes;
                if (error || self->drained_ > max_drained) {
                    asio::error_code ignored;
                    self->socket_.close(ignored);
                    self->timer_.cancel();
                    return;
                }
                self->read();
            });
    }

    // Enough for the rest of a request in progress; the connection of a client that sends more is
    // closed.
    static constexpr std::size_t max_drained = 16U << 20U;

    std::shared_ptr<void> permit_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::size_t drained_ = 0;
    std::array<char, 4096> scratch_{};
};

/// A TCP socket that reports its reads, writes, shutdown and destruction to an observer.
class observed_socket : public asio::ip::tcp::socket {
public:
    using base = asio::ip::tcp::socket;

    explicit observed_socket(asio::io_context& context) : base(context) {}
    observed_socket(const observed_socket&) = delete;
    observed_socket& operator=(const observed_socket&) = delete;
    observed_socket(observed_socket&&) noexcept = default;
    observed_socket& operator=(observed_socket&&) noexcept = default;
    ~observed_socket()
    {
        if (observer_) {
            observer_->on_destroyed();
        }
    }

    void observe(std::shared_ptr<socket_observer> observer) { observer_ = std::move(observer); }

    const std::shared_ptr<socket_observer>& observer() const { return observer_; }

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        const std::chrono::milliseconds delay =
            observer_ ? observer_->read_delay() : std::chrono::milliseconds(0);
        if (delay.count() > 0) {
            // The handler keeps the connection, and with it this socket, alive.
            const std::shared_ptr<asio::steady_timer> timer =
                std::make_shared<asio::steady_timer>(get_executor(), delay);
            timer->async_wait([this, timer, buffers, call = std::forward<Handler>(handler)](
                                  const asio::error_code& /*error*/) mutable {
                async_read_some(buffers, std::move(call));
            });
            return;
        }
        base::async_read_some(
            buffers, [observer = observer_, call = std::forward<Handler>(handler)](
                         const asio::error_code& error, std::size_t bytes) mutable {
                const bool proceed = !observer || bytes == 0 || observer->on_read(bytes);
                call(proceed ? error : asio::error_code(asio::error::connection_aborted), bytes);
            });
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        if (observer_) {
            observer_->on_write(true, 0);
        }
        base::async_write_some(buffers,
                               [observer = observer_, call = std::forward<Handler>(handler)](
                                   const asio::error_code& error, std::size_t bytes) mutable {
                                   if (observer) {
                                       observer->on_write(false, bytes);
                                   }
                                   call(error, bytes);
                               });
    }

    void shutdown(shutdown_type type, asio::error_code& error)
    {
        drain_ = observer_ && observer_->on_shutdown() ? observer_->permit_drain() : nullptr;
        base::shutdown(drain_ ? shutdown_send : type, error);
    }

    void close()
    {
        asio::error_code ignored;
        std::shared_ptr<void> permit = std::exchange(drain_, nullptr);
        if (!permit) {
            base::close(ignored);
            return;
        }
        base::cancel(ignored);
        std::make_shared<socket_drain>(std::move(static_cast<base&>(*this)), std::move(permit))
            ->start();
    }

private:
    std::shared_ptr<socket_observer> observer_;
    std::shared_ptr<void> drain_; ///< The permit, until the drain starts.
};

} // namespace agatespread::detail
