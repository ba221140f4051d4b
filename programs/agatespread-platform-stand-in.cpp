#include <agatespread/base.h>
#include <agatespread/event_loop.h>
#include <agatespread/platform_server.h>

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <optional>
#include <string>

namespace {

constexpr const char* usage =
    R"(Usage: agatespread-platform-stand-in [OPTION]...
Serves an in-memory table service and object store over HTTP, for the demo and tests.

  --listen ADDRESS        address and port, 127.0.0.1:0 by default (0 selects a free port)
  --writes-per-second N   rejects transactions and objects above N, 0 (default) is no limit
  --reads-per-second N    rejects reads above N, 0 (default) is no limit
  --help                  prints this text
  --version               prints the version

Faults are set with POST /v1/faults, see docs/platform-protocol.md.
)";

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

struct options {
    std::string listen = "127.0.0.1:0";
    agatespread::platform_faults faults;
};

// Applies one option. Returns an exit code if the program must end, otherwise nullopt.
std::optional<int> apply(int code, const char* value, options& chosen)
{
    bool valid = true;
    switch (code) {
    case 'h':
        fmt::print("{}", usage);
        return 0;
    case 'v':
        fmt::print("agatespread-platform-stand-in {}\n", agatespread::library_version());
        return 0;
    case 'l':
        chosen.listen = value;
        break;
    case 'w':
        valid = absl::SimpleAtoi(value, &chosen.faults.writes_per_second);
        break;
    case 'r':
        valid = absl::SimpleAtoi(value, &chosen.faults.reads_per_second);
        break;
    default:
        return exit_usage;
    }
    if (!valid) {
        fmt::print(stderr, "value {} is not a non-negative integer\n", value);
        return exit_usage;
    }
    return std::nullopt;
}

std::optional<int> parse(int argc, char** argv, options& chosen)
{
    static const option known[] = {{"listen", required_argument, nullptr, 'l'},
                                   {"writes-per-second", required_argument, nullptr, 'w'},
                                   {"reads-per-second", required_argument, nullptr, 'r'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {"version", no_argument, nullptr, 'v'},
                                   {nullptr, 0, nullptr, 0}};
    int code = getopt_long(argc, argv, "", known, nullptr);
    while (code != -1) {
        const std::optional<int> exit_code = apply(code, optarg, chosen);
        if (exit_code) {
            return exit_code;
        }
        code = getopt_long(argc, argv, "", known, nullptr);
    }
    if (optind != argc) {
        fmt::print(stderr, "unexpected argument {}\n", argv[optind]);
        return exit_usage;
    }
    return std::nullopt;
}

int serve(const options& chosen)
{
    agatespread::event_loop loop;
    agatespread::memory_platform driver(loop);
    driver.set_faults(chosen.faults);
    agatespread::http_limits limits;
    limits.connections = 10000; // 2,000 nodes may restart at once.
    const absl::StatusOr<std::unique_ptr<agatespread::http_server>> server =
        agatespread::http_server::listen(loop, chosen.listen, limits,
                                         agatespread::platform_handler(driver));
    if (!server.ok()) {
        fmt::print(stderr, "cannot listen on {}: {}\n", chosen.listen,
                   std::string(server.status().message()));
        return exit_failed;
    }
    loop.on_signals({SIGINT, SIGTERM}, [&loop](int) { loop.stop(); });
    fmt::print("listening on {}\n", (*server)->address());
    std::fflush(stdout);
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    const std::optional<int> exit_code = parse(argc, argv, chosen);
    return exit_code ? *exit_code : serve(chosen);
}
