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

/// One field of a log line.
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

/// The bounds of a log.
struct decision_log_options {
    /// Lines about requests in a second; further ones are counted and left out.
    std::uint32_t request_lines_per_second = 40;
    /// One in so many requests that ended well is logged.
    std::uint32_t success_sample_interval = 100;
    int descriptor = 1; ///< Standard output.
};

/// Writes one structured line for each decision on a request or change of belief.
///
/// A line is `time event node name=value ...`. A write never blocks: lines that the descriptor
/// does not take at once are dropped and counted, as are request lines beyond the rate.
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

    /// Logs a change of what the process believes.
    void change(std::string_view event, std::initializer_list<log_field> fields);

    /// Logs a decision on a request, within the rate.
    void request(std::string_view event, std::string_view id,
                 std::initializer_list<log_field> fields, time_point now);

    /// Returns whether the next request that ended well is in the sample.
    bool sample_success();

    /// Returns how many lines were left out because of the rate or of a full descriptor.
    std::uint64_t dropped() const { return dropped_; }

private:
    void write(std::string_view event, std::string_view id,
               std::initializer_list<log_field> fields);

    const node_id node_;
    const decision_log_options options_;
    const wall_clock clock_;
    struct impl;
    std::unique_ptr<impl> impl_;
    std::int64_t second_ = 0;
    std::uint32_t lines_ = 0;
    std::uint64_t left_out_ = 0; ///< Since the last line that says so.
    std::uint64_t successes_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace agatespread
