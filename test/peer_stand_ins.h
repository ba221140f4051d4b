#pragma once

#include "datagram_socket.h"
#include "loop_thread.h"

#include <agatespread/http.h>
#include <agatespread/peers.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agatespread::test {

/// Peers "a", "b" and so on of one node. They report a version every 50 ms and pass the requests
/// for its document to a hook.
class peer_stand_ins {
public:
    using serve_hook =
        std::function<void(std::size_t peer, const std::shared_ptr<http_exchange>& exchange)>;

    /// The loop must outlive the peers; the hook is called on its thread.
    peer_stand_ins(loop_thread& thread, std::string report_address, std::size_t count,
                   serve_hook serve)
        : thread_(thread), report_address_(std::move(report_address))
    {
        thread_.call([&] {
            for (std::size_t index = 0; index < count; ++index) {
                servers_.push_back(
                    http_server::listen(thread_.loop(), "127.0.0.1:0", {},
                                        [index, serve](const std::shared_ptr<http_exchange>& call) {
                                            serve(index, call);
                                        })
                        .value());
                peer_report report;
                report.entry = {std::string(1, static_cast<char>('a' + index)), "cairo", "other",
                                servers_.back()->address(), "127.0.0.1:9"};
                report.incarnation = 1;
                reports_.push_back(std::move(report));
            }
            socket_ = datagram_socket::open(thread_.loop(), "127.0.0.1:0", [](std::string_view) {
                      }).value();
            timer_ = thread_.loop().every(std::chrono::milliseconds(50),
                                          [this](time_point) { send_reports(); });
        });
    }
    peer_stand_ins(const peer_stand_ins&) = delete;
    peer_stand_ins& operator=(const peer_stand_ins&) = delete;
    ~peer_stand_ins()
    {
        thread_.call([this] {
            timer_.cancel();
            socket_.reset();
            servers_.clear();
        });
    }

    /// Reports a version as in force from now on.
    void report(config_version version)
    {
        thread_.call([this, version] {
            version_ = version;
            send_reports();
        });
    }

private:
    void send_reports()
    {
        for (peer_report& report : reports_) {
            report.in_force = version_;
            ++report.sequence;
            socket_->send(report_address_, encode_report(report));
        }
    }

    loop_thread& thread_;
    const std::string report_address_;
    config_version version_ = 0;
    std::vector<std::unique_ptr<http_server>> servers_;
    std::vector<peer_report> reports_;
    std::unique_ptr<datagram_socket> socket_;
    subscription timer_;
};

} // namespace agatespread::test
