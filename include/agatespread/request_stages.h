#pragma once

#include <agatespread/timer.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace agatespread {

/// A part of the time between a caller's request and its response.
enum class request_stage {
    decision, ///< Before the first attempt, for example while a version was awaited.
    moves,    ///< Attempts before the last one, which were refused or lost.
    transit,  ///< Between the two nodes in both directions, with the waits for links and loops.
    queue,    ///< At the gate, until a slot was free.
    service,  ///< On a slot of the upstream.
    pending   ///< The last attempt, if its node did not respond.
};

inline constexpr std::size_t request_stage_count = 6;

/// Returns the name of a stage, such as "queue".
std::string_view name_of(request_stage stage);

/// The time that a request spent in each stage, as measured by the caller's node.
///
/// The clocks of the two nodes are not compared: the upstream's node reports how long it held the
/// request, and transit is the rest of the attempt.
struct request_stages {
    std::array<std::chrono::milliseconds, request_stage_count> times{};

    std::chrono::milliseconds& operator[](request_stage stage)
    {
        return times[static_cast<std::size_t>(stage)];
    }

    std::chrono::milliseconds operator[](request_stage stage) const
    {
        return times[static_cast<std::size_t>(stage)];
    }
};

/// What the node of the upstream reports of an attempt.
struct held_time {
    std::chrono::milliseconds total{0}; ///< From the arrival at the gate to the response.
    /// Of that, until a slot was free; nothing if the node does not report it.
    std::optional<std::chrono::milliseconds> queued;
};

/// The attempts of a request so far.
struct attempt_times {
    time_point started;                 ///< When the request was read.
    time_point first;                   ///< When the first attempt was sent; 0 before that.
    time_point last;                    ///< When the last attempt was sent.
    std::optional<held_time> last_held; ///< Of the last attempt, once its node has responded.
};

/// Divides the time until `ended` into stages. A node that does not report its queue counts
/// with its whole time as `service`.
request_stages stages_of(const attempt_times& attempts, time_point ended);

/// Returns the stages that took any time, such as "transit:40ms,service:90ms", or "-".
std::string describe(const request_stages& stages);

/// Returns the stage that took the most time.
request_stage longest_stage(const request_stages& stages);

} // namespace agatespread
