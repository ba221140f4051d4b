#include "commands.h"
#include "field_reader.h"

#include <agatespread/command_line.h>

#include <fmt/format.h>

#include <iterator>
#include <optional>
#include <ostream>
#include <utility>

namespace agatespread {

namespace {

const std::vector<detail::command_entry>& all_commands()
{
    static const std::vector<detail::command_entry> commands = [] {
        std::vector<detail::command_entry> result = detail::config_commands();
        const std::vector<detail::command_entry> more = detail::mesh_commands();
        result.insert(result.end(), more.begin(), more.end());
        return result;
    }();
    return commands;
}

std::string usage_text()
{
    std::string text = "usage: agatespread COMMAND [OPTIONS] [OPERANDS]\n"
                       "       agatespread --help | --version\n\ncommands:\n";
    for (const detail::command_entry& entry : all_commands()) {
        text += fmt::format("  {:<30} {}\n",
                            fmt::format("{} {}", entry.syntax.name, entry.syntax.operands),
                            entry.syntax.summary.substr(0, entry.syntax.summary.find(". ")));
    }
    return text + "\nagatespread COMMAND --help shows the options of a command.\n";
}

command_exit unknown_command(const std::string& name, const command_environment& environment)
{
    std::vector<std::string_view> names;
    for (const detail::command_entry& entry : all_commands()) {
        names.push_back(entry.syntax.name);
    }
    const std::optional<std::string_view> closest = detail::closest_match(name, names);
    environment.err << fmt::format("agatespread: unknown command {}; {}", detail::quote_text(name),
                                   closest ? fmt::format("did you mean {}?", *closest)
                                           : "see agatespread --help")
                    << std::endl;
    return command_exit::usage;
}

command_exit run_command(const detail::command_entry& command,
                         const std::vector<std::string>& arguments,
                         const command_environment& environment)
{
    const absl::StatusOr<detail::command_options> options =
        detail::parse_options(command.syntax, arguments);
    if (!options.ok()) {
        environment.err << "agatespread: " << std::string(options.status().message()) << std::endl;
        return command_exit::usage;
    }
    if (options->help) {
        environment.out << detail::command_help(command.syntax);
        return command_exit::done;
    }
    return command.run(detail::command_context(*options, environment));
}

} // namespace

command_exit run_command_line(const std::vector<std::string>& arguments,
                              const command_environment& environment)
{
    if (arguments.empty()) {
        environment.err << usage_text();
        return command_exit::usage;
    }
    const std::string& name = arguments.front();
    if (name == "--help" || name == "-h") {
        environment.out << usage_text();
        return command_exit::done;
    }
    if (name == "--version") {
        environment.out << "agatespread " << library_version() << std::endl;
        return command_exit::done;
    }
    for (const detail::command_entry& command : all_commands()) {
        if (command.syntax.name == name) {
            return run_command(command, {std::next(arguments.begin()), arguments.end()},
                               environment);
        }
    }
    return unknown_command(name, environment);
}

} // namespace agatespread
