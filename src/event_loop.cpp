#include "event_loop_impl.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace agatespread {

namespace {

struct timer_entry {
    timer_entry(asio::io_context& context, std::chrono::milliseconds interval,
                timer_service::callback function)
        : timer(context), period(interval), call(std::move(function))
    {
    }

    asio::steady_timer timer;
    std::chrono::milliseconds period;
    timer_service::callback call;
    bool cancelled = false;
};

void wait_for_timer(const std::shared_ptr<timer_entry>& entry)
{
    entry->timer.async_wait([entry](const asio::error_code& error) {
        if (error || entry->cancelled) {
            return;
        }
        const time_point now = std::chrono::steady_clock::now();
        if (entry->period.count() > 0) {
            // Skips periods that elapsed while the process was suspended.
            entry->timer.expires_at(std::max(entry->timer.expiry() + entry->period, now));
            wait_for_timer(entry);
        }
        entry->call(now);
    });
}

subscription start_timer(asio::io_context& context, std::chrono::milliseconds delay,
                         std::chrono::milliseconds period, timer_service::callback call)
{
    const std::shared_ptr<timer_entry> entry =
        std::make_shared<timer_entry>(context, period, std::move(call));
    entry->timer.expires_after(delay);
    wait_for_timer(entry);
    // The subscription may outlive the loop, whose destructor destroys the entry.
    return subscription([weak = std::weak_ptr<timer_entry>(entry)] {
        if (const std::shared_ptr<timer_entry> live = weak.lock()) {
            live->cancelled = true;
            live->timer.cancel();
        }
    });
}

void wait_for_signal(asio::signal_set& signals, const std::function<void(int)>& call)
{
    signals.async_wait([&signals, call](const asio::error_code& error, int number) {
        if (!error) {
            wait_for_signal(signals, call);
            call(number);
        }
    });
}

} // namespace

event_loop::event_loop() : impl_(std::make_unique<impl>())
{
}

event_loop::~event_loop() = default;

time_point event_loop::now() const
{
    return std::chrono::steady_clock::now();
}

subscription event_loop::after(std::chrono::milliseconds delay, callback call)
{
    return start_timer(impl_->context, delay, std::chrono::milliseconds(0), std::move(call));
}

subscription event_loop::every(std::chrono::milliseconds period, callback call)
{
    const std::chrono::milliseconds interval = std::max(period, std::chrono::milliseconds(1));
    return start_timer(impl_->context, interval, interval, std::move(call));
}

void event_loop::post(std::function<void()> call)
{
    asio::post(impl_->context, std::move(call));
}

void event_loop::on_signals(const std::vector<int>& signals, const std::function<void(int)>& call)
{
    impl_->signals.push_back(std::make_unique<asio::signal_set>(impl_->context));
    for (const int number : signals) {
        impl_->signals.back()->add(number);
    }
    wait_for_signal(*impl_->signals.back(), call);
}

void event_loop::run()
{
    while (!impl_->context.stopped()) {
        // An exception from one callback must not end the process and all other requests with it.
        try {
            impl_->context.run();
        }
        catch (const std::exception& error) {
            spdlog::error("event loop: a callback failed: {}", error.what());
        }
        catch (...) {
            spdlog::error("event loop: a callback failed with an unknown exception");
        }
    }
    impl_->context.restart();
}

void event_loop::stop()
{
    impl_->context.stop();
}

event_loop::impl& event_loop::native()
{
    return *impl_;
}

} // namespace agatespread
