#include "address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace agatespread::detail {

namespace {

std::optional<int> parse_port(std::string_view text)
{
    int port = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || port < 0 ||
        port > 65535 || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<ip_address> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<int> port = parse_port(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    // Rejects text that is too long for an address, and text with a NUL byte, because inet_pton
    // would ignore what follows it.
    if (!port || host.size() >= INET6_ADDRSTRLEN || host.find('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    ip_address address{std::string(host), *port, false};
    std::array<unsigned char, 16> bytes{};
    if (inet_pton(bracketed ? AF_INET6 : AF_INET, address.ip.c_str(), bytes.data()) != 1) {
        return std::nullopt;
    }
    address.is_unspecified =
        std::all_of(bytes.begin(), bytes.end(), [](unsigned char byte) { return byte == 0; });
    return address;
}

} // namespace agatespread::detail
