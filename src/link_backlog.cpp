#include <agatespread/link_backlog.h>

#include <algorithm>

namespace agatespread {

namespace {

using seconds = std::chrono::duration<double>;

// Headers of a message between nodes or to a caller.
constexpr double message_header_bytes = 500;

// Ethernet, IP and TCP headers add 5 in 100 to the 1,448 bytes of a packet; the acknowledgements of
// the other direction take up to 3 more.
constexpr double packet_factor = 1.08;

// Weight of a new answer in the mean: sizes differ by more than ten within one service.
constexpr double mean_weight = 1.0 / 64;

// Large answers are refused beyond this wait. One answer of 90 kB more takes 75 ms on the slowest
// links, so that packets wait for less than the half second from which a host counts as overloaded.
constexpr std::chrono::milliseconds max_wait{400};

// Answers that take less than this on the link are never refused: 13 kB on the slowest links, more
// than twice the usual page.
constexpr std::chrono::milliseconds small_answer{10};

double bytes_on_link(std::size_t body_bytes)
{
    return (static_cast<double>(body_bytes) + message_header_bytes) * packet_factor;
}

} // namespace

void link_backlog::add(std::size_t body_bytes, time_point now)
{
    if (rate_ <= 0) {
        return;
    }
    bytes_ = std::max(0.0, bytes_ - seconds(now - at_).count() * rate_) + bytes_on_link(body_bytes);
    at_ = now;
}

void link_backlog::add_response(std::uint32_t kind, std::size_t body_bytes, time_point now)
{
    add(body_bytes, now);
    const double bytes = bytes_on_link(body_bytes);
    for (double* const mean : {&mean_answer_, &kinds_[kind]}) {
        *mean = *mean > 0 ? *mean + (bytes - *mean) * mean_weight : bytes;
    }
}

std::chrono::nanoseconds link_backlog::time_of(double bytes) const
{
    if (rate_ <= 0) {
        return std::chrono::nanoseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(seconds(bytes / rate_));
}

std::chrono::nanoseconds link_backlog::transmission_time() const
{
    return time_of(mean_answer_);
}

std::chrono::nanoseconds link_backlog::transmission_time(std::uint32_t kind) const
{
    const auto known = kinds_.find(kind);
    return known == kinds_.end() ? std::chrono::nanoseconds(0) : time_of(known->second);
}

bool link_backlog::accepts(std::uint32_t kind, time_point now) const
{
    return delay(now) <= max_wait || transmission_time(kind) <= small_answer;
}

std::chrono::nanoseconds link_backlog::delay(time_point now) const
{
    if (rate_ <= 0) {
        return std::chrono::nanoseconds(0);
    }
    const double left = bytes_ - seconds(now - at_).count() * rate_;
    return time_of(std::max(0.0, left));
}

} // namespace agatespread
