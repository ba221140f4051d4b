#pragma once

#include <absl/status/statusor.h>
#include <asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace agatespread::detail {

/// Parses "127.0.0.1:8080" or "[::1]:8080"; host names are rejected.
absl::StatusOr<asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

/// Formats an endpoint as "IP:PORT", with an IPv6 address in brackets.
std::string to_string(const asio::ip::tcp::endpoint& endpoint);

} // namespace agatespread::detail
