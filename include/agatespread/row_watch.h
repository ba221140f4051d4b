#pragma once

#include <agatespread/base.h>
#include <agatespread/platform.h>
#include <agatespread/timer.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agatespread {

/// The times of a watch.
struct row_watch_options {
    /// How long the platform may hold a call without news. A feed that has gone silent is found
    /// after this time, so that it is short beside an outage and long beside the cost of a call.
    std::chrono::milliseconds long_poll_timeout = std::chrono::seconds(15);
    /// Between an answer and the next call, so that changes in quick succession share a call.
    std::chrono::milliseconds poll_delay = std::chrono::milliseconds(1);
    std::chrono::milliseconds initial_backoff = std::chrono::milliseconds(100);
    std::chrono::milliseconds max_backoff = std::chrono::milliseconds(1000);
};

/// Keeps up with the rows under a prefix and goes on after errors and lost history.
///
///     row_watch watch(driver, timers, "nodes/", {}, random);
///     watch.start([](const row_changes& news) { apply(news); }, [](const absl::Status& error) {});
class row_watch {
public:
    using changes_hook = std::function<void(const row_changes&)>;
    /// Is told of the first error of a series, and of `OkStatus` when the series has ended.
    using health_hook = std::function<void(const absl::Status&)>;

    /// Keeps references to the driver and the timers, which outlive the watch.
    row_watch(platform& driver, timer_service& timers, std::string prefix,
              const row_watch_options& options, random_source random);
    row_watch(const row_watch&) = delete;
    row_watch& operator=(const row_watch&) = delete;
    ~row_watch();

    /// Begins with a copy of all rows.
    void start(changes_hook on_changes, health_hook on_health);

    /// Ends or resumes the watch; it resumes with a copy of all rows, and a call that is held by
    /// the platform still ends with its changes.
    void set_active(bool active);

    /// Returns whether a copy of all rows has arrived.
    bool is_synced() const { return synced_; }

    /// Returns whether the last call failed.
    bool failing() const { return failing_; }

private:
    void poll();
    void on_response(absl::StatusOr<row_changes> result);
    void retry();

    platform& driver_;
    timer_service& timers_;
    const std::string prefix_;
    const row_watch_options options_;
    random_source random_;
    changes_hook on_changes_;
    health_hook on_health_;
    std::uint64_t revision_ = 0;
    bool active_ = true;
    bool idle_ = false; ///< No call and no timer is pending.
    bool synced_ = false;
    bool failing_ = false;
    std::chrono::milliseconds backoff_{0};
    subscription timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace agatespread
