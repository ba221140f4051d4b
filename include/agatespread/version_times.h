#pragma once

#include <chrono>

namespace agatespread {

/// The waits on the way of a version to a node, derived from the time in which it must be in force.
///
/// The longest chain is a reader whose poll falls silent (`poll_wait` and `late_poll_delay`), its
/// report, and the first fetch of another node of its failure domain; or a node whose peers do not
/// respond, which reads the platform after `platform_read_delay`. Both end within the bound.
struct version_times {
    /// `bound` is the time from the acknowledgement of a version until it must be in force on every
    /// node. A bound above 2 s gives the same times as 2 s, as more waiting has no use.
    explicit version_times(std::chrono::milliseconds bound);

    std::chrono::milliseconds poll_delay;      ///< From a response of the feed to the next poll.
    std::chrono::milliseconds poll_wait;       ///< For which the platform may hold a poll.
    std::chrono::milliseconds late_poll_delay; ///< After `poll_wait`, until a second poll.

    /// Jitter of a fetch from the own failure domain.
    std::chrono::milliseconds near_fetch_jitter;
    /// Added for a fetch from another failure domain, so that a node of the own one comes first.
    std::chrono::milliseconds far_fetch_delay;
    /// For which a reader waits for its own feed before it fetches.
    std::chrono::milliseconds reader_fetch_delay;
    /// After which one more peer is asked, as the first one may be short of CPU time or bandwidth.
    std::chrono::milliseconds next_fetch_delay;
    std::chrono::milliseconds fetch_timeout;
    /// For which a node may be behind before it reads the platform itself.
    std::chrono::milliseconds platform_read_delay;
    /// For which a request without a route waits for a newer version that the node knows of.
    std::chrono::milliseconds unrouted_wait;
    /// After which a version that the node has heard of and could not get counts as lost, for
    /// example because the platform returned from an older copy.
    std::chrono::milliseconds lost_version_age;
};

} // namespace agatespread
