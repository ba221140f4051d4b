#pragma once

#include <agatespread/base.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace agatespread {

/// A handle that cancels its subscription on destruction.
class subscription {
public:
    subscription() = default;
    explicit subscription(std::function<void()> cancel) : cancel_(std::move(cancel)) {}
    subscription(const subscription&) = delete;
    subscription& operator=(const subscription&) = delete;
    subscription(subscription&& other) noexcept : cancel_(std::exchange(other.cancel_, nullptr)) {}
    subscription& operator=(subscription&& other) noexcept
    {
        cancel();
        cancel_ = std::exchange(other.cancel_, nullptr);
        return *this;
    }
    ~subscription() { cancel(); }

    /// Cancels the subscription; the function is not called again.
    void cancel()
    {
        if (cancel_) {
            std::exchange(cancel_, nullptr)();
        }
    }

private:
    std::function<void()> cancel_;
};

/// Calls subscribed functions at times of the monotonic clock.
///
///     subscription tick = timers.every(std::chrono::seconds(1), [&](time_point now) {
///         probe(now);
///     });
class timer_service {
public:
    using callback = std::function<void(time_point now)>;

    timer_service() = default;
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;
    virtual ~timer_service() = default;

    /// Returns the current time.
    virtual time_point now() const = 0;

    /// Calls a function once after a delay.
    [[nodiscard]] virtual subscription after(std::chrono::milliseconds delay, callback call) = 0;

    /// Calls a function periodically, for the first time after one period.
    [[nodiscard]] virtual subscription every(std::chrono::milliseconds period, callback call) = 0;
};

/// A timer service whose clock moves only by calls of `advance`, for tests and replays.
///
///     manual_timer_service timers;
///     subscription timer = timers.after(std::chrono::seconds(2), [](time_point) { expire(); });
///     timers.advance(std::chrono::seconds(2));
class manual_timer_service final : public timer_service {
public:
    /// Starts the clock at `start`; the default is later than the clock's epoch.
    explicit manual_timer_service(time_point start = time_point(std::chrono::hours(1)));

    time_point now() const override;
    [[nodiscard]] subscription after(std::chrono::milliseconds delay, callback call) override;
    [[nodiscard]] subscription every(std::chrono::milliseconds period, callback call) override;

    /// Advances the clock and calls the functions that become due, in order of their due times.
    void advance(std::chrono::milliseconds step);

private:
    struct entry {
        callback call;
        std::chrono::milliseconds period;
        time_point due;
    };

    subscription add(std::chrono::milliseconds delay, std::chrono::milliseconds period,
                     callback call);

    time_point now_;
    std::uint64_t next_id_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::uint64_t> queue_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace agatespread
