#include "command_options.h"

#include "field_reader.h"

#include <absl/status/status.h>
#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <charconv>
#include <functional>
#include <limits>
#include <optional>
#include <utility>

namespace agatespread::detail {

namespace {

/// An option that commands can accept.
struct option_entry {
    char letter; ///< Identifies the option to getopt_long; only -h is also a short option.
    const char* name;
    const char* value_name; ///< As shown in the help, or null for a flag.
    const char* description;
};

constexpr std::array<option_entry, 9> option_table{{
    {'h', "help", nullptr, "show this help"},
    {'j', "json", nullptr, "print JSON"},
    {'n', "node", "ADDRESS", "operator address of a node, IP:port (or AGATESPREAD_NODE)"},
    {'k', "key", "ID", "key that signs the call (or AGATESPREAD_KEY)"},
    {'f', "key-file", "FILE",
     "file with the key's secret (or AGATESPREAD_KEY_FILE, or the secret in AGATESPREAD_SECRET)"},
    {'c', "change", "ID",
     "id of the change, 1 to 64 letters, digits, '-' or '_' (random by default); repeating an "
     "apply with the same id has no second effect"},
    {'d', "dry-run", nullptr, "validate against the newest version and change nothing"},
    {'t', "timeout", "DURATION", "longest time to watch, such as 90s (60s by default)"},
    {'l', "limit", "NUMBER", "number of versions, 1 to 1000 (20 by default)"},
}};

bool accepts(const command_syntax& syntax, const option_entry& entry)
{
    return entry.letter == 'h' || entry.letter == 'j' ||
           syntax.option_letters.find(entry.letter) != std::string_view::npos;
}

absl::Status usage_error(const command_syntax& syntax, std::string_view text)
{
    const std::string message = fmt::format("{}; see agatespread {} --help", text, syntax.name);
    return absl::InvalidArgumentError(message);
}

bool is_change_id(std::string_view text)
{
    if (text.empty() || text.size() > 64) {
        return false;
    }
    for (const char letter : text) {
        const bool plain = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
                           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_';
        if (!plain) {
            return false;
        }
    }
    return true;
}

bool set_limit(std::string_view value, command_options& options)
{
    const char* end = value.data() + value.size();
    const std::from_chars_result parsed = std::from_chars(value.data(), end, options.limit);
    return parsed.ec == std::errc() && parsed.ptr == end && options.limit >= 1 &&
           options.limit <= 1000;
}

bool set_timeout(std::string_view value, command_options& options)
{
    const std::optional<std::chrono::milliseconds> parsed = parse_duration(value);
    options.timeout = parsed.value_or(options.timeout);
    return parsed.has_value();
}

/// Sets the option with this letter; returns false when its value is invalid.
bool set_option(int letter, std::string value, command_options& options)
{
    switch (letter) {
    case 'h':
        options.help = true;
        return true;
    case 'j':
        options.json = true;
        return true;
    case 'd':
        options.dry_run = true;
        return true;
    case 'n':
        options.node = std::move(value);
        return true;
    case 'k':
        options.key = std::move(value);
        return true;
    case 'f':
        options.key_file = std::move(value);
        return true;
    case 'c':
        options.change = std::move(value);
        return is_change_id(options.change);
    case 't':
        return set_timeout(value, options);
    case 'l':
        return set_limit(value, options);
    default:
        return false;
    }
}

std::vector<option> long_options(const command_syntax& syntax)
{
    // getopt_long requires a terminating entry of zeros.
    std::vector<option> result(option_table.size() + 1);
    std::size_t count = 0;
    for (const option_entry& entry : option_table) {
        if (accepts(syntax, entry)) {
            result[count++] = {entry.name,
                               entry.value_name == nullptr ? no_argument : required_argument,
                               nullptr, entry.letter};
        }
    }
    return result;
}

absl::Status check_operands(const command_syntax& syntax, const command_options& options)
{
    const std::size_t count = options.operands.size();
    if (options.help || (count >= syntax.min_operands && count <= syntax.max_operands)) {
        return absl::OkStatus();
    }
    if (syntax.operands.empty()) {
        return usage_error(syntax, fmt::format("{} accepts no operands", syntax.name));
    }
    return usage_error(syntax, fmt::format("{} expects {}, but {} operands were given", syntax.name,
                                           syntax.operands, count));
}

} // namespace

absl::StatusOr<command_options> parse_options(const command_syntax& syntax,
                                              const std::vector<std::string>& arguments)
{
    std::vector<std::string> copies{std::string(syntax.name)};
    copies.insert(copies.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(copies.size() + 1);
    for (std::string& argument : copies) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const std::vector<option> known = long_options(syntax);
    command_options options;
    // 0 makes glibc reset its state, so that one process can parse several command lines.
    optind = 0;
    opterr = 0;
    const int argc = static_cast<int>(copies.size());
    int letter = 0;
    while ((letter = getopt_long(argc, argv.data(), ":h", known.data(), nullptr)) != -1) {
        const std::string given = optind > 0 && optind <= argc ? argv[optind - 1] : "";
        if (letter == '?') {
            return usage_error(syntax, "unknown option " + quote_text(given));
        }
        if (letter == ':') {
            return usage_error(syntax, "missing value for option " + given);
        }
        if (!set_option(letter, optarg == nullptr ? "" : optarg, options)) {
            return usage_error(syntax, "invalid value " + quote_text(optarg));
        }
    }
    for (int i = optind; i < argc; ++i) {
        options.operands.emplace_back(argv[i]);
    }
    absl::Status operands = check_operands(syntax, options);
    if (!operands.ok()) {
        return operands;
    }
    return options;
}

std::string command_help(const command_syntax& syntax)
{
    std::string text =
        fmt::format("usage: agatespread {} [OPTIONS]{}{}\n\n{}\n\noptions:\n", syntax.name,
                    syntax.operands.empty() ? "" : " ", syntax.operands, syntax.summary);
    for (const option_entry& entry : option_table) {
        if (accepts(syntax, entry)) {
            const std::string name =
                fmt::format("--{}{}{}", entry.name, entry.value_name ? " " : "",
                            entry.value_name ? entry.value_name : "");
            text += fmt::format("  {:<20} {}\n", name, entry.description);
        }
    }
    text += "\nexit codes: 0 done, 1 refused, 2 usage, 3 unreachable or outcome unknown\n";
    return text;
}

} // namespace agatespread::detail
