#pragma once

#include <agatespread/platform.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Encoding and decoding of the bodies of the platform protocol, see docs/platform-protocol.md.
namespace agatespread::detail {

inline constexpr std::string_view transaction_path = "/v1/transaction";
inline constexpr std::string_view read_path = "/v1/read";
inline constexpr std::string_view scan_path = "/v1/scan";
inline constexpr std::string_view put_object_path = "/v1/put-object";
inline constexpr std::string_view get_object_path = "/v1/get-object";
inline constexpr std::string_view cbor_type = "application/cbor";

/// The request body of a scan.
struct scan_request {
    std::string prefix;
    std::size_t limit = 0;
};

/// The request body that stores an object.
struct stored_object {
    std::string id;
    std::string bytes;
};

/// The response body of an error.
struct error_body {
    std::string reason;
    std::string message;
};

std::string encode(const transaction& value);
std::string encode(const transaction_result& value);
std::string encode(const scan_request& value);
std::string encode(const std::vector<row>& value);
std::string encode(const stored_object& value);
std::string encode(const error_body& value);
std::string encode_bytes(const std::optional<std::string>& value);

/// Decoders return `std::nullopt` for a malformed body.
std::optional<transaction> decode_transaction(std::string_view body);
std::optional<transaction_result> decode_transaction_result(std::string_view body);
std::optional<scan_request> decode_scan_request(std::string_view body);
std::optional<std::vector<row>> decode_rows(std::string_view body);
std::optional<stored_object> decode_stored_object(std::string_view body);
std::optional<error_body> decode_error_body(std::string_view body);
std::optional<std::optional<std::string>> decode_bytes(std::string_view body);

} // namespace agatespread::detail
