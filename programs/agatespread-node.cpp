// Runs the node of one target host.

#include <agatespread/base.h>
#include <agatespread/node.h>
#include <agatespread/settings.h>

#include <getopt.h>
#include <spdlog/spdlog.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <random>
#include <string>
#include <thread>

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

constexpr const char* usage = "usage: agatespread-node --config FILE [--check-config]\n"
                              "Runs one node. SIGTERM starts a graceful shutdown.\n"
                              "  --config FILE    the settings, see docs/settings.md\n"
                              "  --check-config   checks the settings and exits\n"
                              "  --help, --version\n";

constexpr std::array<option, 5> long_options = {{{"config", required_argument, nullptr, 'c'},
                                                 {"check-config", no_argument, nullptr, 'k'},
                                                 {"help", no_argument, nullptr, 'h'},
                                                 {"version", no_argument, nullptr, 'v'},
                                                 {nullptr, 0, nullptr, 0}}};

/// Waits on a dedicated thread for the signals that shut the node down.
class signal_listener {
public:
    // Threads inherit the signal mask, so it is set before the node starts any.
    signal_listener()
    {
        sigemptyset(&signals_);
        sigaddset(&signals_, SIGTERM);
        sigaddset(&signals_, SIGINT);
        sigaddset(&signals_, wakeup_signal);
        pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }
    signal_listener(const signal_listener&) = delete;
    signal_listener& operator=(const signal_listener&) = delete;
    ~signal_listener()
    {
        if (thread_.joinable()) {
            stopping_ = true;
            pthread_kill(thread_.native_handle(), wakeup_signal);
            thread_.join();
        }
    }

    void start(agatespread::node& watched)
    {
        thread_ = std::thread([this, &watched] {
            int received = wakeup_signal;
            while (received == wakeup_signal && !stopping_) {
                sigwait(&signals_, &received);
            }
            if (received != wakeup_signal) {
                watched.shut_down();
            }
        });
    }

private:
    /// Ends the wait without a call of the node, which may already be destroyed.
    static constexpr int wakeup_signal = SIGUSR1;

    sigset_t signals_{};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

int run(const agatespread::node_settings& settings)
{
    spdlog::set_level(spdlog::level::from_str(settings.log_level));
    signal_listener signals;
    std::random_device entropy;
    const std::uint64_t seed = (static_cast<std::uint64_t>(entropy()) << 32U) | entropy();
    absl::StatusOr<std::unique_ptr<agatespread::node>> started =
        agatespread::node::start(settings, seed);
    if (!started.ok()) {
        std::cerr << "agatespread-node: " << started.status().message() << "\n";
        return exit_failed;
    }
    agatespread::node& proxy = **started;
    const agatespread::node_addresses addresses = proxy.addresses();
    spdlog::info("node {} listens on mesh {}, inbound {}, peer {}, operator {}", settings.node,
                 addresses.mesh, addresses.inbound, addresses.peer, addresses.operators);
    signals.start(proxy);
    proxy.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::string file;
    bool check_only = false;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "h", long_options.data(), nullptr)) != -1) {
        switch (letter) {
        case 'c':
            file = optarg;
            break;
        case 'k':
            check_only = true;
            break;
        case 'h':
            std::cout << usage;
            return 0;
        case 'v':
            std::cout << agatespread::library_version() << "\n";
            return 0;
        default:
            std::cerr << usage;
            return exit_usage;
        }
    }
    if (file.empty()) {
        std::cerr << usage;
        return exit_usage;
    }
    const absl::StatusOr<agatespread::node_settings> settings = agatespread::load_settings(file);
    if (!settings.ok()) {
        std::cerr << "agatespread-node: " << settings.status().message() << "\n";
        return exit_failed;
    }
    if (check_only) {
        std::cout << file << ": valid\n";
        return 0;
    }
    return run(*settings);
}
