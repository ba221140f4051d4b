#pragma once

#include <agatespread/base.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace agatespread {

/// The size of the upload for which `upload_meter::upload_time` is given.
inline constexpr double reference_upload_bytes = 65536;

/// Measures the use of the host's link by the requests that the node receives.
///
/// Bytes count when they are read, not when their request is complete: on a full link, few requests
/// become complete before their callers give up, and the link would appear idle.
///
/// Load pattern: uploads of 60 to 360 kB arrive at hosts with links of 10 Mbit/s while slots of
/// their upstreams are free. A full link delays all small requests of the host, its reports and its
/// configuration, and a refusal by the gate comes after the body was sent. The callers' nodes
/// therefore choose by the time that an upload is expected to take.
class upload_meter {
public:
    /// With a `bytes_per_second` of 0, the link has no limit and all times are 0.
    explicit upload_meter(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

    /// Adds received bytes.
    void add(std::size_t bytes, time_point now);

    /// Returns the share of the link that was used in the last second, between 0 and 1.
    double use(time_point now) const;

    /// Returns the expected time to receive a body of `reference_upload_bytes` beside the others.
    std::chrono::nanoseconds upload_time(time_point now) const;

private:
    static constexpr std::size_t parts = 10;
    static constexpr std::chrono::milliseconds part_length{100};

    static std::int64_t part_of(time_point now);

    double bytes_per_second_;
    std::array<double, parts> bytes_{}; ///< By number of the part, modulo `parts`.
    std::array<std::int64_t, parts> numbers_{};
};

} // namespace agatespread
