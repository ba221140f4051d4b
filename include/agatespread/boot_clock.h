#pragma once

#include <chrono>

namespace agatespread {

/// The time since the host's start, including time for which the host was suspended.
///
/// For periods after which a right ends: the monotonic clock stands still while a host is
/// suspended, and the wall clock may jump.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

} // namespace agatespread
