#include "message_fields.h"

namespace agatespread::detail {

std::string_view message_type(std::string_view bytes)
{
    // A CBOR map of at most 23 fields, a text of one byte, and a text of at most 23 bytes.
    constexpr unsigned char map_major = 0xa0;
    constexpr unsigned char text_major = 0x60;
    constexpr unsigned char longest_short = 23;
    constexpr std::size_t header_bytes = 4;
    if (bytes.size() < header_bytes) {
        return {};
    }
    const unsigned char map_size = static_cast<unsigned char>(bytes[0]) ^ map_major;
    const unsigned char type_size = static_cast<unsigned char>(bytes[3]) ^ text_major;
    if (map_size > longest_short || bytes[1] != static_cast<char>(text_major | 1U) ||
        bytes[2] != '#' || type_size > longest_short || bytes.size() < header_bytes + type_size) {
        return {};
    }
    return bytes.substr(header_bytes, type_size);
}

std::string to_bytes(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

absl::Status malformed_message(std::string_view field)
{
    return layer_error(absl::StatusCode::kInvalidArgument, "peers", "malformed",
                       "peer message: field " + std::string(field) + " is missing or wrong");
}

} // namespace agatespread::detail
