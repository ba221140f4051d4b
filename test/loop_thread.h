#pragma once

#include <agatespread/event_loop.h>
#include <agatespread/http.h>

#include <asio/completion_condition.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace agatespread {

/// How long a test waits for an event before it fails.
inline constexpr std::chrono::seconds event_timeout{20};

/// Runs an event loop on its own thread.
class loop_thread {
public:
    loop_thread() : thread_([this] { loop_.run(); }) {}
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;
    ~loop_thread()
    {
        loop_.stop();
        thread_.join();
    }

    event_loop& loop() { return loop_; }

    /// Calls a function on the loop's thread and returns its result.
    template <typename Function>
    auto call(Function function) -> decltype(function())
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        std::future<decltype(function())> result = task.get_future();
        loop_.post([&task] { task(); });
        return result.get();
    }

    /// Polls a condition on the loop's thread; returns whether it held within `event_timeout`.
    template <typename Condition>
    bool eventually(Condition condition)
    {
        std::promise<void> reached;
        std::future<void> result = reached.get_future();
        subscription poll;
        call([&] {
            poll = loop_.every(std::chrono::milliseconds(2), [&](time_point) {
                if (condition()) {
                    poll.cancel();
                    reached.set_value();
                }
            });
        });
        const bool held = result.wait_for(event_timeout) == std::future_status::ready;
        call([&poll] { poll.cancel(); });
        return held;
    }

private:
    event_loop loop_;
    std::thread thread_;
};

/// A TCP connection for sending and receiving arbitrary bytes, valid HTTP or not.
class raw_connection {
public:
    explicit raw_connection(const std::string& address) : socket_(context_)
    {
        const std::size_t colon = address.rfind(':');
        socket_.connect(asio::ip::tcp::endpoint(
            asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))));
    }

    /// Sends bytes; ignores errors, since the peer may have closed the connection.
    void send(std::string_view bytes)
    {
        asio::error_code ignored;
        asio::write(socket_, asio::buffer(bytes.data(), bytes.size()), ignored);
    }

    /// Returns all bytes until the peer closes the connection.
    std::string read_to_end()
    {
        asio::error_code ignored;
        asio::read(socket_, asio::dynamic_buffer(received_), ignored);
        return std::exchange(received_, {});
    }

    /// Returns the bytes up to and including `end`, or until the peer closes the connection.
    std::string read_until(std::string_view end)
    {
        asio::error_code error;
        while (received_.find(end) == std::string::npos && !error) {
            char piece[4096];
            const std::size_t bytes = socket_.read_some(asio::buffer(piece), error);
            received_.append(piece, bytes);
        }
        const std::size_t found = received_.find(end);
        const std::size_t length =
            found == std::string::npos ? received_.size() : found + end.size();
        std::string result = received_.substr(0, length);
        received_.erase(0, length);
        return result;
    }

    /// Returns exactly `count` bytes, or fewer if the peer closes the connection.
    std::string read_bytes(std::size_t count)
    {
        asio::error_code ignored;
        if (received_.size() < count) {
            asio::read(socket_, asio::dynamic_buffer(received_),
                       asio::transfer_exactly(count - received_.size()), ignored);
        }
        std::string result = received_.substr(0, count);
        received_.erase(0, count);
        return result;
    }

    void close()
    {
        asio::error_code ignored;
        socket_.close(ignored);
    }

    asio::ip::tcp::socket& socket() { return socket_; }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_;
    std::string received_;
};

} // namespace agatespread
