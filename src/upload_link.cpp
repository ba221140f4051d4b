#include <agatespread/upload_link.h>

#include <algorithm>

namespace agatespread {

namespace {

// Ethernet, IP and TCP headers add 5 % to the 1,448 bytes of a packet; the acknowledgements for the
// opposite direction add up to 3 %.
constexpr double packet_factor = 1.08;

// A full link receives at its rate whatever is sent, so its delay is not visible in the use.
constexpr double max_use = 0.97;

} // namespace

std::int64_t upload_meter::part_of(time_point now)
{
    return now.time_since_epoch() / part_length;
}

void upload_meter::add(std::size_t bytes, time_point now)
{
    const std::int64_t part = part_of(now);
    const std::size_t index = static_cast<std::size_t>(part) % parts;
    if (numbers_[index] != part) {
        numbers_[index] = part;
        bytes_[index] = 0;
    }
    bytes_[index] += static_cast<double>(bytes) * packet_factor;
}

double upload_meter::use(time_point now) const
{
    if (bytes_per_second_ <= 0) {
        return 0;
    }
    const std::int64_t newest = part_of(now);
    double bytes = 0;
    for (std::size_t index = 0; index < parts; ++index) {
        const bool recent = newest - numbers_[index] < static_cast<std::int64_t>(parts);
        bytes += recent ? bytes_[index] : 0;
    }
    const std::chrono::duration<double> window = part_length * parts;
    return std::min(1.0, bytes / (bytes_per_second_ * window.count()));
}

std::chrono::nanoseconds upload_meter::upload_time(time_point now) const
{
    if (bytes_per_second_ <= 0) {
        return std::chrono::nanoseconds(0);
    }
    const std::chrono::duration<double> alone(reference_upload_bytes * packet_factor /
                                              bytes_per_second_);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(alone /
                                                                (1 - std::min(use(now), max_use)));
}

} // namespace agatespread
