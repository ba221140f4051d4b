#include "endpoint.h"

#include <asio/ip/address.hpp>
#include <fmt/format.h>

#include <charconv>
#include <cstdint>

namespace agatespread::detail {

absl::StatusOr<asio::ip::tcp::endpoint> parse_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    std::string_view host = address.substr(0, colon == std::string_view::npos ? 0 : colon);
    const std::string_view digits =
        colon == std::string_view::npos ? std::string_view() : address.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const std::from_chars_result number =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    asio::error_code error;
    const asio::ip::address ip = asio::ip::make_address(std::string(host), error);
    if (error || digits.empty() || number.ec != std::errc() ||
        number.ptr != digits.data() + digits.size()) {
        return absl::InvalidArgumentError(
            fmt::format("\"{}\" is not an address of the form IP:PORT", address));
    }
    return asio::ip::tcp::endpoint(ip, port);
}

std::string to_string(const asio::ip::tcp::endpoint& endpoint)
{
    return endpoint.address().is_v6()
               ? fmt::format("[{}]:{}", endpoint.address().to_string(), endpoint.port())
               : fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

} // namespace agatespread::detail
