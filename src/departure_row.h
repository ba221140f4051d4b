#pragma once

#include <agatespread/platform.h>
#include <agatespread/timer.h>
#include <agatespread/upstream_lifecycle.h>

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatespread::detail {

/// Keeps on the platform that the upstream beside a node has left, which outlasts the node's
/// process.
///
/// The row holds the start time and the instance of the last incarnation that left. Calls that fail
/// are repeated.
class departure_row {
public:
    using departure_hook = std::function<void(const std::optional<upstream_departure>& departure)>;
    using error_hook = std::function<void(std::string_view action, const absl::Status& status)>;

    /// The driver and the timers must outlive the row.
    departure_row(platform& driver, timer_service& timers, std::string key, error_hook on_error);
    departure_row(const departure_row&) = delete;
    departure_row& operator=(const departure_row&) = delete;
    ~departure_row();

    /// Reads the row until a read succeeds, and passes the departure to the hook; nothing if there
    /// is no row or it is malformed.
    void load(departure_hook on_departure);

    /// Writes a departure unless it was the last one written.
    void store(const upstream_departure& departure);

    /// Repeats the last write, because the platform may have lost it.
    void repeat_write();

private:
    void read();
    void write();
    std::optional<upstream_departure> decode(const std::string& value) const;

    platform& driver_;
    timer_service& timers_;
    const std::string key_;
    const error_hook on_error_;
    departure_hook on_departure_;
    std::optional<upstream_departure> stored_;
    bool written_ = false; ///< `stored_` is on the platform.
    bool write_in_flight_ = false;
    subscription read_timer_;
    subscription write_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace agatespread::detail
