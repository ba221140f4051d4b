#pragma once

#include <chrono>
#include <cstdint>

namespace agatespread::detail {

/// Returns the time in milliseconds since the Unix epoch.
inline std::int64_t unix_milliseconds(std::chrono::system_clock::time_point point)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(point.time_since_epoch()).count();
}

} // namespace agatespread::detail
