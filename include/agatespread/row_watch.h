#pragma once

#include <agatespread/base.h>
#include <agatespread/boot_clock.h>
#include <agatespread/platform.h>
#include <agatespread/timer.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agatespread {

/// Timing of a watch.
struct row_watch_options {
    /// How long the platform may hold a long poll without changes. A feed that no longer responds
    /// is detected only after this time, so it is short compared with an outage, but long enough
    /// that idle polls cost little.
    std::chrono::milliseconds long_poll_timeout = std::chrono::seconds(15);
    /// Time after `long_poll_timeout` without a response after which a second poll is sent on a new
    /// connection; the first response counts. 0 sends none.
    std::chrono::milliseconds late_poll_delay{0};
    /// Delay between a response and the next poll, so that changes in quick succession share one.
    std::chrono::milliseconds poll_delay = std::chrono::milliseconds(1);
    /// Read all rows each time, for polls that are further apart than the platform keeps changes.
    bool complete_reads = false;
    /// Longest wait after the first failed poll; doubles with each failure up to `max_backoff`.
    /// Jitter shortens a wait by up to one half.
    std::chrono::milliseconds initial_backoff = std::chrono::milliseconds(100);
    std::chrono::milliseconds max_backoff = std::chrono::milliseconds(1000);
    /// Longest wait after a failed poll once all rows have been received, if that is more. For rows
    /// that nodes hear of in other ways as well: otherwise each node polls throughout an outage.
    std::chrono::milliseconds synced_backoff{0};
};

/// Follows the rows under a key prefix by long polls; recovers from errors and lost history.
///
///     row_watch watch(driver, timers, "nodes/", {}, random);
///     watch.start([](const row_changes& changes) { apply(changes); }, [](const absl::Status&) {});
class row_watch {
public:
    using changes_hook = std::function<void(const row_changes&)>;
    /// Receives the first error of a series of failed polls, then `OkStatus` after the next
    /// success.
    using health_hook = std::function<void(const absl::Status&)>;

    /// Receives the moment before a poll was sent, after its response was received and its changes
    /// were delivered: up to that moment all changes are known.
    using confirmed_hook = std::function<void(boot_clock::time_point asked_at)>;

    /// The driver and the timers must outlive the watch.
    row_watch(platform& driver, timer_service& timers, std::string prefix,
              const row_watch_options& options, random_source random);
    row_watch(const row_watch&) = delete;
    row_watch& operator=(const row_watch&) = delete;
    ~row_watch();

    /// Starts polling; the first changes contain all rows.
    void start(changes_hook on_changes, health_hook on_health);

    /// Sets the hook for successful polls, with the clock of its moments; call before `start`.
    void on_confirmed(std::function<boot_clock::time_point()> clock, confirmed_hook hook);

    /// Pauses or resumes the watch. A poll in flight still completes and delivers its changes;
    /// a watch that has stopped polling resumes with all rows.
    void set_active(bool active);

    /// Changes `row_watch_options::poll_delay` from the next response on.
    void set_poll_delay(std::chrono::milliseconds delay) { options_.poll_delay = delay; }

    /// Reads all rows again at once, and ignores the response to a poll in flight.
    void restart();

    /// Returns whether all rows have been received at least once.
    bool is_synced() const { return synced_; }

    /// Returns whether the last poll failed.
    bool failing() const { return failing_; }

private:
    void poll();
    void send_poll(std::chrono::milliseconds wait);
    void read_all();
    void on_response(absl::StatusOr<row_changes> result);
    void retry();

    platform& driver_;
    timer_service& timers_;
    const std::string prefix_;
    row_watch_options options_;
    random_source random_;
    changes_hook on_changes_;
    health_hook on_health_;
    std::function<boot_clock::time_point()> clock_;
    confirmed_hook on_confirmed_;
    boot_clock::time_point asked_at_; ///< Before the first request of the current poll.
    feed_position position_;
    bool active_ = true;
    bool idle_ = false;           ///< No poll and no timer is pending.
    std::uint64_t last_poll_ = 0; ///< Number of the poll whose response is awaited.
    bool synced_ = false;
    bool failing_ = false;
    std::chrono::milliseconds backoff_{0};
    subscription timer_;
    subscription late_poll_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace agatespread
