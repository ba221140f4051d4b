#pragma once

#include <agatespread/base.h>
#include <agatespread/timer.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace agatespread::detail {

/// A message queued until a connection is open.
struct queued_message {
    node_id node; ///< The only node that may receive it; empty for any node at the address.
    std::shared_ptr<const std::string> encoded;
};

/// Queues messages to an address without an open connection and schedules connection attempts
/// with exponential backoff and full jitter.
class peer_route {
public:
    explicit peer_route(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Adds a message; returns false if the queue would exceed its limit in bytes.
    bool push(queued_message entry);

    /// Removes and returns all messages.
    std::deque<queued_message> take_all();

    /// Returns the time until the next connection attempt, or 0 if it may start now.
    std::chrono::milliseconds retry_delay(time_point now) const;

    /// Records a lost connection or a failed attempt and schedules the next attempt.
    void record_failure(time_point now, const random_source& random);

    /// Records an authenticated connection, which resets the backoff.
    void record_connected(time_point now);

    bool empty() const { return queue_.empty(); }
    time_point last_use() const { return last_use_; }

    bool dialing = false; ///< Whether a connection attempt is running or scheduled.
    subscription retry_timer;

private:
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::deque<queued_message> queue_;
    unsigned int failures_ = 0;
    time_point retry_at_;
    time_point last_use_;
};

} // namespace agatespread::detail
