#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <future>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace agatespread {

/// A TCP proxy whose open connections can fall silent: they stay open and deliver nothing more.
class silent_proxy {
public:
    /// Forwards connections to a port of this host.
    explicit silent_proxy(unsigned short port)
        : port_(port),
          acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }
    silent_proxy(const silent_proxy&) = delete;
    silent_proxy& operator=(const silent_proxy&) = delete;
    ~silent_proxy()
    {
        context_.stop();
        thread_.join();
    }

    const std::string& address() const { return address_; }

    /// Silences the connections that are open now; later ones work.
    void silence_open_connections()
    {
        std::promise<void> done;
        asio::post(context_, [this, &done] {
            for (const std::shared_ptr<link>& each : links_) {
                each->silent = true;
            }
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    struct link {
        explicit link(asio::io_context& context) : near_end(context), far_end(context) {}

        asio::ip::tcp::socket near_end;
        asio::ip::tcp::socket far_end;
        std::array<std::array<char, 16384>, 2> buffers{};
        bool silent = false;
    };

    void accept()
    {
        const std::shared_ptr<link> next = std::make_shared<link>(context_);
        acceptor_.async_accept(next->near_end, [this, next](const asio::error_code& error) {
            if (error) {
                return;
            }
            next->far_end.connect({asio::ip::address_v4::loopback(), port_});
            links_.push_back(next);
            forward(next, next->near_end, next->far_end, 0);
            forward(next, next->far_end, next->near_end, 1);
            accept();
        });
    }

    void forward(const std::shared_ptr<link>& path, asio::ip::tcp::socket& from,
                 asio::ip::tcp::socket& to, std::size_t direction)
    {
        from.async_read_some(
            asio::buffer(path->buffers[direction]),
            [this, path, &from, &to, direction](const asio::error_code& error, std::size_t bytes) {
                if (path->silent) {
                    return;
                }
                asio::error_code ignored;
                if (error) {
                    to.close(ignored);
                    return;
                }
                asio::write(to, asio::buffer(path->buffers[direction].data(), bytes), ignored);
                forward(path, from, to, direction);
            });
    }

    asio::io_context context_;
    const unsigned short port_;
    asio::ip::tcp::acceptor acceptor_;
    const std::string address_;
    std::vector<std::shared_ptr<link>> links_;
    std::thread thread_;
};

} // namespace agatespread
