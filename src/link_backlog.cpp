#include <agatespread/link_backlog.h>

#include <algorithm>

namespace agatespread {

namespace {

using seconds = std::chrono::duration<double>;

// Estimated headers of a message between nodes or to a caller.
constexpr double message_header_bytes = 500;

// Ethernet, IP and TCP headers add 5 % to the 1,448 bytes of a packet; the acknowledgements for the
// opposite direction add up to 3 %.
constexpr double packet_factor = 1.08;

// Weight of a new response in the EWMA. It is small because the sizes within one service differ by
// a factor of more than ten.
constexpr double mean_response_weight = 1.0 / 64;

// Requests with large responses are refused beyond this delay. One more response of 90 kB takes
// 75 ms on the slowest links, so that the delay stays below the 500 ms from which a host counts as
// overloaded.
constexpr std::chrono::milliseconds max_delay{400};

// Requests whose responses need at most this time on the link are never refused. It corresponds to
// 13 kB on the slowest links, more than twice the size of a usual page.
constexpr std::chrono::milliseconds max_small_transmission_time{10};

double bytes_on_link(std::size_t body_bytes)
{
    return (static_cast<double>(body_bytes) + message_header_bytes) * packet_factor;
}

} // namespace

void link_backlog::add(std::size_t body_bytes, time_point now)
{
    if (bytes_per_second_ <= 0) {
        return;
    }
    pending_bytes_ =
        std::max(0.0, pending_bytes_ - seconds(now - updated_at_).count() * bytes_per_second_) +
        bytes_on_link(body_bytes);
    updated_at_ = now;
}

void link_backlog::add_response(std::uint32_t kind, std::size_t body_bytes, time_point now)
{
    add(body_bytes, now);
    const double bytes = bytes_on_link(body_bytes);
    for (double* const mean : {&mean_response_bytes_, &mean_response_bytes_by_kind_[kind]}) {
        *mean = *mean > 0 ? *mean + (bytes - *mean) * mean_response_weight : bytes;
    }
}

std::chrono::nanoseconds link_backlog::time_to_send(double bytes) const
{
    if (bytes_per_second_ <= 0) {
        return std::chrono::nanoseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(seconds(bytes / bytes_per_second_));
}

std::chrono::nanoseconds link_backlog::transmission_time() const
{
    return time_to_send(mean_response_bytes_);
}

std::chrono::nanoseconds link_backlog::transmission_time(std::uint32_t kind) const
{
    const auto found = mean_response_bytes_by_kind_.find(kind);
    return found == mean_response_bytes_by_kind_.end() ? std::chrono::nanoseconds(0)
                                                       : time_to_send(found->second);
}

bool link_backlog::accepts(std::uint32_t kind, time_point now) const
{
    return delay(now) <= max_delay || transmission_time(kind) <= max_small_transmission_time;
}

std::chrono::nanoseconds link_backlog::delay(time_point now) const
{
    if (bytes_per_second_ <= 0) {
        return std::chrono::nanoseconds(0);
    }
    const double remaining_bytes =
        pending_bytes_ - seconds(now - updated_at_).count() * bytes_per_second_;
    return time_to_send(std::max(0.0, remaining_bytes));
}

} // namespace agatespread
