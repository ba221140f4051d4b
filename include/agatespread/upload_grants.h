#pragma once

#include <agatespread/base.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace agatespread {

/// What is left of the time to receive an upload, as its sender states it.
struct upload_offer {
    std::uint64_t id = 0;
    std::size_t bytes = 0;
    /// When the body must have arrived; the epoch for no such time.
    time_point latest_arrival{};
};

/// An upload that is refused as not sent.
struct upload_refusal {
    std::uint64_t id = 0;
    std::chrono::milliseconds retry_after{0}; ///< Until the link has sent what waits before it.
};

/// The answers to give now: senders of `granted` may send, those of `refused` must not.
struct upload_decisions {
    std::vector<std::uint64_t> granted;
    std::vector<upload_refusal> refused;
};

/// Decides which senders may send a large body to this host, so that few bodies are on its link at
/// a time.
///
/// Load pattern: uploads of 60 to 360 kB and calls of 1 kB with an objective of 200 ms arrive on a
/// link of 10 Mbit/s. Senders that decide by reports of the link's use, which are up to 2 s old,
/// send many bodies at once, and the calls behind them run out of time although slots are free.
/// With grants the bodies wait at their senders, and a call waits for at most those in transit. The
/// receiver grants, as in pHost (Gao et al., 2015) and Homa (Montazeri et al., 2018), because it
/// alone knows all senders.
///
/// Without a rate every offer is granted at once. Not thread-safe.
class upload_grants {
public:
    /// `bytes_per_second` is the rate of the link, 0 for no limit.
    explicit upload_grants(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

    /// Grants, queues or refuses an offer.
    upload_decisions offer(const upload_offer& next, time_point now);

    /// Ends an offer or grant whose body has arrived or whose sender has given up; unknown ids are
    /// ignored.
    upload_decisions finish(std::uint64_t id, time_point now);

    /// Ends grants whose bodies should have arrived long ago, and refuses offers that have waited
    /// too long.
    upload_decisions expire(time_point now);

    std::size_t granted() const { return granted_.size(); }
    std::size_t queued() const { return queue_.size(); }

private:
    struct grant {
        std::size_t bytes = 0;
        time_point expires_at;
    };

    std::chrono::nanoseconds time_to_receive(std::size_t bytes) const;
    bool fits(std::size_t bytes) const;
    void add_grant(const upload_offer& next, time_point now, upload_decisions& decisions);
    void grant_queued(time_point now, upload_decisions& decisions);

    double bytes_per_second_;
    std::map<std::uint64_t, grant> granted_;
    std::size_t granted_bytes_ = 0;
    std::deque<upload_offer> queue_;
    std::size_t queued_bytes_ = 0;
};

} // namespace agatespread
