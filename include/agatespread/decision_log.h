#pragma once

#include <agatespread/base.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace agatespread {

/// A name and a value in a log line.
struct log_field {
    log_field(std::string_view field, std::string_view text) : name(field), value(text) {}
    log_field(std::string_view field, const std::string& text) : name(field), value(text) {}
    log_field(std::string_view field, const char* text) : name(field), value(text) {}
    log_field(std::string_view field, std::uint64_t number)
        : name(field), value(std::to_string(number))
    {
    }
    log_field(std::string_view field, std::uint32_t number)
        : name(field), value(std::to_string(number))
    {
    }
    log_field(std::string_view field, int number) : name(field), value(std::to_string(number)) {}
    log_field(std::string_view field, std::chrono::milliseconds time)
        : name(field), value(std::to_string(time.count()) + "ms")
    {
    }

    std::string_view name;
    std::string value;
};

/// The rate limit, sampling and output of a log.
struct decision_log_options {
    /// Maximum number of lines about requests in a second; further ones are dropped and counted.
    std::uint32_t request_lines_per_second = 40;
    /// One in this many successful requests is logged; 0 logs none.
    std::uint32_t success_sample_interval = 100;
    int descriptor = 1; ///< File descriptor; standard output by default.
};

/// Writes one structured line for each decision on a request and each change of state.
///
/// A line is `time event node=... name=value ...`. A write never blocks: the descriptor is set to
/// non-blocking, and lines that cannot be written at once are dropped and counted, as are request
/// lines beyond the rate limit.
///
///     decision_log log("cairo-1", {}, [] { return std::chrono::system_clock::now(); });
///     log.change("config_in_force", {{"version", version}});
///     log.request("request_refused", id, {{"reason", "too_late"}}, now);
class decision_log {
public:
    using wall_clock = std::function<std::chrono::system_clock::time_point()>;

    decision_log(node_id node, const decision_log_options& options, wall_clock clock);
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    ~decision_log();

    /// Logs a change of the process's state; exempt from the rate limit.
    void change(std::string_view event, std::initializer_list<log_field> fields);

    /// Logs a decision on a request, subject to the rate limit.
    void request(std::string_view event, std::string_view id,
                 std::initializer_list<log_field> fields, time_point now);

    /// Counts a successful request and returns whether to log it.
    bool sample_success();

    /// Returns how many lines were dropped because of the rate limit or a full descriptor.
    std::uint64_t dropped() const { return dropped_; }

private:
    void write(std::string_view event, std::string_view id,
               std::initializer_list<log_field> fields);

    const node_id node_;
    const decision_log_options options_;
    const wall_clock clock_;
    struct impl;
    std::unique_ptr<impl> impl_;
    std::int64_t current_second_ = 0;
    std::uint32_t lines_in_second_ = 0;
    std::uint64_t suppressed_lines_ = 0; ///< Since the last `log_left_out` line.
    std::uint64_t successes_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace agatespread
