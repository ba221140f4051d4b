#pragma once

#include <agatespread/base.h>
#include <agatespread/operator_client.h>

#include <chrono>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace agatespread {

/// The outcome of a command, which is the exit code of the process.
enum class command_exit : int {
    done = 0,       ///< The command succeeded.
    refused = 1,    ///< A document or request was refused; nothing was changed.
    usage = 2,      ///< The command line is invalid.
    unreachable = 3 ///< The node was unreachable, or the outcome is unknown.
};

/// The streams, transport, clocks and environment variables that the commands use.
struct command_environment {
    std::ostream& out;
    std::ostream& err;
    operator_transport transport;
    operator_client::wall_clock clock;
    random_source random;
    std::function<std::string(const std::string&)> get_variable; ///< Empty when not set.
    std::function<time_point()> now;
    std::function<void(std::chrono::milliseconds)> wait; ///< Sleeps between two polls of `watch`.
};

/// Runs a command line of `agatespread`; the arguments don't include the program name.
///
///     command_exit code = run_command_line({"status", "--node", "127.0.0.1:9090"}, environment);
command_exit run_command_line(const std::vector<std::string>& arguments,
                              const command_environment& environment);

} // namespace agatespread
