#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace agatespread::detail {

using system_time = std::chrono::system_clock::time_point;

enum class row_state { claimed, done, released };

/// The value of the row `once/TENANT/KEYHASH`.
struct once_row {
    std::string token;
    std::string fingerprint;
    row_state state = row_state::claimed;
    std::optional<std::string> answer;
    system_time expires;
};

/// Serializes a row; equal rows have equal bytes.
std::string encode_row(const once_row& row);

/// Parses a serialized row; returns nothing if it is malformed.
std::optional<once_row> decode_row(const std::string& bytes);

/// Returns whether the row has expired, with a margin for wall clock skew between nodes.
bool is_expired(const once_row& row, system_time now);

} // namespace agatespread::detail
