#include "peer_route.h"

#include <algorithm>
#include <utility>

namespace agatespread::detail {

namespace {

constexpr std::chrono::milliseconds first_backoff{100};
constexpr std::chrono::milliseconds max_backoff{5000};

} // namespace

bool peer_route::push(queued_message entry)
{
    if (bytes_ + entry.encoded->size() > max_bytes_) {
        return false;
    }
    bytes_ += entry.encoded->size();
    queue_.push_back(std::move(entry));
    return true;
}

std::deque<queued_message> peer_route::take_all()
{
    bytes_ = 0;
    return std::exchange(queue_, {});
}

std::chrono::milliseconds peer_route::retry_delay(time_point now) const
{
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::max(retry_at_ - now, time_point::duration::zero()));
}

void peer_route::record_failure(time_point now, const random_source& random)
{
    // Full jitter spreads the reconnects of many nodes that lose the same peer at once.
    const std::chrono::milliseconds ceiling =
        std::min(max_backoff, first_backoff * (1U << std::min(failures_, 10U)));
    ++failures_;
    last_use_ = now;
    retry_at_ = now + uniform_between(random, std::chrono::milliseconds(0), ceiling);
}

void peer_route::record_connected(time_point now)
{
    failures_ = 0;
    last_use_ = now;
    retry_at_ = now;
}

} // namespace agatespread::detail
