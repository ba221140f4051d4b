#pragma once

#include "command_options.h"

#include <agatespread/command_line.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace agatespread::detail {

/// The options and environment of one run of a command, with helpers for its output.
class command_context {
public:
    command_context(const command_options& options, const command_environment& environment)
        : options_(options), environment_(environment)
    {
    }

    const command_options& options() const { return options_; }
    const command_environment& environment() const { return environment_; }

    /// Returns an operand; `index` must be below the number of operands.
    const std::string& operand(std::size_t index) const { return options_.operands[index]; }

    /// Returns a client for the node; a missing or invalid address is a usage error.
    absl::StatusOr<operator_client> connect() const;

    /// Returns a client that signs requests with the operator's key.
    absl::StatusOr<operator_client> connect_with_key() const;

    /// Prints a line of text, with control bytes replaced by '?'.
    void print_line(std::string_view text) const;

    /// Prints a JSON document on one line.
    void print_json(const nlohmann::json& document) const;

    /// Prints an error and returns the matching exit code.
    command_exit fail(const absl::Status& error) const;

private:
    std::string option_or_variable(const std::string& value, const std::string& variable) const;
    absl::StatusOr<operator_client_options> client_options() const;
    absl::StatusOr<std::string> read_secret() const;

    const command_options& options_;
    const command_environment& environment_;
};

/// A command of the program.
struct command_entry {
    command_syntax syntax;
    command_exit (*run)(const command_context& context) = nullptr;
};

/// Returns the commands that read or change configuration.
std::vector<command_entry> config_commands();

/// Returns the commands that inspect or operate the running mesh.
std::vector<command_entry> mesh_commands();

/// Reads at most `limit` + 1 bytes of a file, so that the caller can detect a larger file. Errors
/// are usage errors.
absl::StatusOr<std::string> read_file(const std::string& file, std::size_t limit);

} // namespace agatespread::detail
