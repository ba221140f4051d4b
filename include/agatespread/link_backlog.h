#pragma once

#include <agatespread/base.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>

namespace agatespread {

/// Estimates the queueing delay of the host's link from the bytes that the process sends.
///
/// Load pattern: large responses occupy a slow link for longer than their service times, while
/// slots of the upstream are free. The backlog decreases at the link's rate.
class link_backlog {
public:
    /// With a `bytes_per_second` of 0, the link has no limit and all delays are 0.
    explicit link_backlog(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

    /// Adds a sent message to the backlog. Estimated sizes of its headers and of the packet headers
    /// are included.
    void add(std::size_t body_bytes, time_point now);

    /// Adds a response of the node's own upstream to another host. Kinds are those of `kind_of`.
    void add_response(std::uint32_t kind, std::size_t body_bytes, time_point now);

    /// Returns the mean time for which a response of the own upstream occupies the link.
    std::chrono::nanoseconds transmission_time() const;

    /// Returns the same for responses to one kind of request; 0 before the first one.
    std::chrono::nanoseconds transmission_time(std::uint32_t kind) const;

    /// Returns whether a request of a kind may run, given the backlog and its mean response size.
    ///
    /// Load pattern: large responses exceed the capacity of the link. Without a limit the delay
    /// grows until callers time out, and delays the reports, the configuration and all small
    /// responses of the host as well.
    bool accepts(std::uint32_t kind, time_point now) const;

    /// Returns the queueing delay of bytes sent at `now`.
    std::chrono::nanoseconds delay(time_point now) const;

private:
    std::chrono::nanoseconds time_to_send(double bytes) const;

    double bytes_per_second_;
    double pending_bytes_ = 0;
    double mean_response_bytes_ = 0; ///< 0 before the first response.
    absl::flat_hash_map<std::uint32_t, double> mean_response_bytes_by_kind_;
    time_point updated_at_;
};

} // namespace agatespread
