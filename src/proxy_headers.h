#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace agatespread::detail {

inline constexpr std::string_view mesh_prefix = "X-Agatespread-";
inline constexpr std::string_view deadline_header = "X-Agatespread-Deadline";
inline constexpr std::string_view class_header = "X-Agatespread-Class";
inline constexpr std::string_view tenant_header = "X-Agatespread-Tenant";
inline constexpr std::string_view depth_header = "X-Agatespread-Depth";
inline constexpr std::string_view attempt_header = "X-Agatespread-Attempt";
inline constexpr std::string_view call_header = "X-Agatespread-Call";
inline constexpr std::string_view suspect_header = "X-Agatespread-Suspect";
inline constexpr std::string_view not_run_header = "X-Agatespread-Not-Run";
inline constexpr std::string_view load_header = "X-Agatespread-Load";
inline constexpr std::string_view outcome_header = "X-Agatespread-Outcome";
inline constexpr std::string_view context_header = "X-Agatespread-Context";
inline constexpr std::string_view mac_header = "X-Agatespread-Mac";

/// Parses a decimal number; returns `nullopt` unless the entire text is a number in range.
template <typename Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value = 0;
    const std::from_chars_result end =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || end.ec != std::errc() || end.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Returns the text up to the first separator, or all text if there is none, and removes it and the
/// separator from `rest`.
inline std::string_view take_token(std::string_view& rest, char separator)
{
    const std::size_t end = rest.find(separator);
    const std::string_view part = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    return part;
}

} // namespace agatespread::detail
