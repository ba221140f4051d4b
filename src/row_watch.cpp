#include <agatespread/row_watch.h>

#include <algorithm>
#include <utility>

namespace agatespread {

using std::chrono::milliseconds;

row_watch::row_watch(platform& driver, timer_service& timers, std::string prefix,
                     const row_watch_options& options, random_source random)
    : driver_(driver), timers_(timers), prefix_(std::move(prefix)), options_(options),
      random_(std::move(random))
{
}

row_watch::~row_watch()
{
    *alive_ = false;
}

void row_watch::start(changes_hook on_changes, health_hook on_health)
{
    on_changes_ = std::move(on_changes);
    on_health_ = std::move(on_health);
    poll();
}

void row_watch::on_confirmed(std::function<boot_clock::time_point()> clock, confirmed_hook hook)
{
    clock_ = std::move(clock);
    on_confirmed_ = std::move(hook);
}

void row_watch::set_active(bool active)
{
    active_ = active;
    if (active_ && idle_) {
        read_all();
    }
}

void row_watch::restart()
{
    timer_.cancel();
    read_all();
}

void row_watch::read_all()
{
    position_ = {};
    poll();
}

void row_watch::poll()
{
    idle_ = !active_;
    if (idle_) {
        return;
    }
    ++last_poll_;
    asked_at_ = clock_ ? clock_() : boot_clock::time_point();
    // A platform that fails may return from an older copy, which a short poll shows at once.
    const milliseconds wait = failing_ ? milliseconds(0) : options_.long_poll_timeout;
    if (options_.late_poll_delay.count() > 0) {
        late_poll_timer_ = timers_.after(wait + options_.late_poll_delay, [this](time_point) {
            driver_.avoid_open_connections();
            send_poll(milliseconds(0));
        });
    }
    send_poll(wait);
}

void row_watch::send_poll(milliseconds wait)
{
    driver_.poll_changes(
        prefix_, position_, wait,
        [this, number = last_poll_, alive = alive_](absl::StatusOr<row_changes> result) {
            if (*alive && number == last_poll_) {
                on_response(std::move(result));
            }
        });
}

void row_watch::on_response(absl::StatusOr<row_changes> result)
{
    late_poll_timer_.cancel();
    const std::uint64_t number = ++last_poll_; // The response of the other poll is ignored.
    if (!result.ok()) {
        const bool history_lost = reason_of(result.status(), "platform") == "history_lost";
        if (!failing_ && on_health_) {
            on_health_(result.status());
        }
        failing_ = true;
        // After lost history all rows are read at once; if that read fails, it is retried with a
        // backoff.
        if (history_lost && position_.revision != 0) {
            read_all();
            return;
        }
        retry();
        return;
    }
    if (std::exchange(failing_, false) && on_health_) {
        on_health_(absl::OkStatus());
    }
    backoff_ = milliseconds(0);
    position_ = result->position;
    synced_ = synced_ || result->complete;
    const std::shared_ptr<bool> alive = alive_;
    if (result->complete || !result->rows.empty()) {
        on_changes_(*result);
    }
    if (!*alive || number != last_poll_) {
        return; // The hook destroyed or restarted the watch.
    }
    if (on_confirmed_) {
        on_confirmed_(asked_at_);
    }
    timer_ = timers_.after(options_.poll_delay,
                           [this](time_point) { options_.complete_reads ? read_all() : poll(); });
}

void row_watch::retry()
{
    backoff_ = std::clamp(backoff_ * 2, options_.initial_backoff, options_.max_backoff);
    const milliseconds longest = std::max(backoff_, synced_ ? options_.synced_backoff : backoff_);
    timer_ = timers_.after(uniform_between(random_, longest / 2, longest),
                           [this](time_point) { poll(); });
}

} // namespace agatespread
