#include <agatespread/timer.h>

namespace agatespread {

manual_timer_service::manual_timer_service(time_point start) : now_(start)
{
}

time_point manual_timer_service::now() const
{
    return now_;
}

subscription manual_timer_service::after(std::chrono::milliseconds delay, callback call)
{
    return add(delay, std::chrono::milliseconds(0), std::move(call));
}

subscription manual_timer_service::every(std::chrono::milliseconds period, callback call)
{
    return add(period, period, std::move(call));
}

subscription manual_timer_service::add(std::chrono::milliseconds delay,
                                       std::chrono::milliseconds period, callback call)
{
    const std::uint64_t id = next_id_++;
    const time_point due = now_ + delay;
    entries_.emplace(id, entry{std::move(call), period, due});
    queue_.emplace(std::make_pair(due, id), id);
    return subscription([this, id] {
        const auto found = entries_.find(id);
        if (found != entries_.end()) {
            queue_.erase({found->second.due, id});
            entries_.erase(found);
        }
    });
}

void manual_timer_service::advance(std::chrono::milliseconds step)
{
    const time_point end = now_ + step;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
        const std::uint64_t id = queue_.begin()->second;
        now_ = queue_.begin()->first.first;
        queue_.erase(queue_.begin());
        entry& due = entries_.at(id);
        // Copied, because the callback may cancel its own subscription, which erases the entry.
        const callback call = due.call;
        if (due.period.count() > 0) {
            due.due = now_ + due.period;
            queue_.emplace(std::make_pair(due.due, id), id);
        }
        else {
            entries_.erase(id);
        }
        call(now_);
    }
    now_ = end;
}

} // namespace agatespread
