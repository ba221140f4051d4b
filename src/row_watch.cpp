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

void row_watch::start(news_hook news, health_hook health)
{
    news_ = std::move(news);
    health_ = std::move(health);
    call();
}

void row_watch::set_active(bool active)
{
    active_ = active;
    if (active_ && idle_) {
        revision_ = 0;
        call();
    }
}

void row_watch::call()
{
    idle_ = !active_;
    if (idle_) {
        return;
    }
    driver_.follow(prefix_, revision_, options_.wait,
                   [this, alive = alive_](absl::StatusOr<row_changes> result) {
                       if (*alive) {
                           ended(std::move(result));
                       }
                   });
}

void row_watch::ended(absl::StatusOr<row_changes> result)
{
    if (!result.ok()) {
        const bool history_lost = reason_of(result.status(), "platform") == "history_lost";
        if (history_lost) {
            revision_ = 0;
        }
        if (!failing_ && health_) {
            health_(result.status());
        }
        failing_ = true;
        // Lost history is read again at once; the copy itself is retried with a delay.
        if (history_lost && delay_.count() == 0) {
            delay_ = options_.first_retry;
            call();
            return;
        }
        retry();
        return;
    }
    if (std::exchange(failing_, false) && health_) {
        health_(absl::OkStatus());
    }
    delay_ = milliseconds(0);
    revision_ = result->revision;
    complete_ = complete_ || result->complete;
    if (result->complete || !result->rows.empty()) {
        news_(*result);
    }
    if (!*alive_) {
        return;
    }
    timer_ = timers_.after(options_.pause, [this](time_point) { call(); });
}

void row_watch::retry()
{
    delay_ = std::clamp(delay_ * 2, options_.first_retry, options_.longest_retry);
    timer_ =
        timers_.after(uniform_between(random_, delay_ / 2, delay_), [this](time_point) { call(); });
}

} // namespace agatespread
