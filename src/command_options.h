#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread::detail {

/// The values of the options and operands of one command.
struct command_options {
    std::vector<std::string> operands;
    std::string node;
    std::string key;
    std::string key_file;
    std::string change;
    std::chrono::milliseconds timeout = std::chrono::seconds(60);
    std::size_t limit = 20;
    bool help = false;
    bool json = false;
    bool dry_run = false;
};

/// The operands and options that one command accepts.
struct command_syntax {
    std::string_view name;
    std::string_view operands; ///< As shown in the help.
    std::size_t min_operands = 0;
    std::size_t max_operands = 0;
    std::string_view summary;
    std::string_view option_letters; ///< Letters of `option_table`, in addition to help and json.
};

/// Parses the arguments after the command name. Returns InvalidArgument with the text of a usage
/// error.
absl::StatusOr<command_options> parse_options(const command_syntax& syntax,
                                              const std::vector<std::string>& arguments);

/// Returns the help text of one command.
std::string command_help(const command_syntax& syntax);

} // namespace agatespread::detail
