#pragma once

#include <agatespread/timer.h>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace agatespread {

/// Runs socket handlers, timers and posted functions on the thread that calls `run`.
///
///     event_loop loop;
///     subscription stop = loop.after(std::chrono::seconds(1), [&](time_point) { loop.stop(); });
///     loop.run();
class event_loop final : public timer_service {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop() override;

    time_point now() const override;
    [[nodiscard]] subscription after(std::chrono::milliseconds delay, callback call) override;
    [[nodiscard]] subscription every(std::chrono::milliseconds period, callback call) override;

    /// Queues a function to be called on the loop's thread; may be called from any thread.
    void post(std::function<void()> call);

    /// Calls a function with the signal's number each time the process receives one of the signals.
    void on_signals(const std::vector<int>& signals, const std::function<void(int)>& call);

    /// Runs until `stop` is called; exceptions of callbacks are logged and do not end it.
    void run();

    /// Makes `run` return; may be called from any thread.
    void stop();

    struct impl;

    /// Returns the implementation; for use inside the library only.
    impl& native();

private:
    std::unique_ptr<impl> impl_;
};

} // namespace agatespread
