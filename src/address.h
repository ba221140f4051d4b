#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace agatespread::detail {

/// An IP address with a port.
struct ip_address {
    std::string ip; ///< Without brackets.
    int port = 0;
    bool is_unspecified = false; ///< 0.0.0.0 or ::, which no other host can connect to.
};

/// Parses an address such as "127.0.0.1:8080" or "[::1]:8080"; returns nothing if it is malformed.
std::optional<ip_address> parse_address(std::string_view text);

} // namespace agatespread::detail
