#include "address.h"
#include "commands.h"
#include "field_reader.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <ostream>
#include <utility>

namespace agatespread::detail {

namespace {

constexpr std::size_t max_secret_bytes = 256;

absl::Status usage_error(const std::string& text)
{
    return absl::InvalidArgumentError(text);
}

/// Returns the reason of an operator or tree error, or an empty string for a usage error.
std::string error_reason(const absl::Status& error)
{
    std::string reason = reason_of(error, "operator");
    if (!reason.empty()) {
        return reason;
    }
    return reason_of(error, "tree").empty() ? "" : "refused";
}

/// Replaces control bytes, so that text from a node or a file cannot send escape sequences to the
/// operator's terminal.
std::string printable(std::string_view text)
{
    std::string result(text);
    for (char& byte : result) {
        if ((static_cast<unsigned char>(byte) < 0x20 && byte != '\n') || byte == 0x7f) {
            byte = '?';
        }
    }
    return result;
}

} // namespace

absl::StatusOr<std::string> read_file(const std::string& file, std::size_t limit)
{
    errno = 0;
    std::ifstream stream(file, std::ios::binary);
    std::string text(limit + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!stream.is_open() || stream.bad()) {
        return usage_error(
            fmt::format("{}: {}", file, errno != 0 ? std::strerror(errno) : "cannot be read"));
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

std::string command_context::option_or_variable(const std::string& value,
                                                const std::string& variable) const
{
    return value.empty() ? environment_.get_variable(variable) : value;
}

absl::StatusOr<operator_client_options> command_context::client_options() const
{
    operator_client_options result;
    result.node = option_or_variable(options_.node, "AGATESPREAD_NODE");
    if (result.node.empty()) {
        return usage_error("no node address: pass --node IP:port or set AGATESPREAD_NODE");
    }
    const std::optional<ip_address> address = parse_address(result.node);
    if (!address || address->port == 0) {
        return usage_error(
            fmt::format("invalid node address {}: expected IP:port", quote_text(result.node)));
    }
    return result;
}

absl::StatusOr<std::string> command_context::read_secret() const
{
    const std::string file = option_or_variable(options_.key_file, "AGATESPREAD_KEY_FILE");
    std::string secret;
    if (file.empty()) {
        secret = environment_.get_variable("AGATESPREAD_SECRET");
    }
    else {
        absl::StatusOr<std::string> text = read_file(file, max_secret_bytes + 2);
        if (!text.ok()) {
            return text;
        }
        secret = *std::move(text);
        // Strips the line ending that editors append to a file; it is not part of the secret.
        secret.erase(secret.find_last_not_of("\r\n") + 1);
    }
    if (secret.empty() || secret.size() > max_secret_bytes) {
        return usage_error(
            "missing or invalid secret: pass --key-file FILE, or set AGATESPREAD_KEY_FILE or "
            "AGATESPREAD_SECRET");
    }
    return secret;
}

absl::StatusOr<operator_client> command_context::connect() const
{
    absl::StatusOr<operator_client_options> settings = client_options();
    if (!settings.ok()) {
        return settings.status();
    }
    return operator_client(*std::move(settings), environment_.transport, environment_.clock,
                           environment_.random);
}

absl::StatusOr<operator_client> command_context::connect_with_key() const
{
    absl::StatusOr<operator_client_options> settings = client_options();
    if (!settings.ok()) {
        return settings.status();
    }
    settings->key_id = option_or_variable(options_.key, "AGATESPREAD_KEY");
    if (!is_name(settings->key_id)) {
        return usage_error("missing or invalid key id: pass --key ID or set AGATESPREAD_KEY");
    }
    absl::StatusOr<std::string> secret = read_secret();
    if (!secret.ok()) {
        return secret.status();
    }
    settings->secret = *std::move(secret);
    return operator_client(*std::move(settings), environment_.transport, environment_.clock,
                           environment_.random);
}

void command_context::print_line(std::string_view text) const
{
    environment_.out << printable(text) << std::endl;
}

void command_context::print_json(const nlohmann::json& document) const
{
    environment_.out << document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                     << std::endl;
}

command_exit command_context::fail(const absl::Status& error) const
{
    const std::string reason = error_reason(error);
    const std::string text(error.message());
    if (reason.empty()) {
        environment_.err << "agatespread: " << text << std::endl;
        return command_exit::usage;
    }
    if (options_.json) {
        print_json({{"error", {{"reason", reason}, {"message", text}}}});
    }
    else {
        environment_.err << printable(fmt::format("agatespread: {}: {}", reason, text))
                         << std::endl;
    }
    return reason == "unavailable" || reason == "outcome_unknown" ? command_exit::unreachable
                                                                  : command_exit::refused;
}

} // namespace agatespread::detail
