#pragma once

#include <agatespread/crash_guard.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace agatespread::detail {

/// The time and size limits of `crash_sharing`.
struct crash_sharing_options {
    /// A decision of this node is part of all its reports for this time, since a datagram may be
    /// lost.
    std::chrono::milliseconds decision_retention = std::chrono::seconds(3);
    /// A suspect is repeated for this time after the node learned of it. Without an end, nodes that
    /// forget a suspect would learn it again from each other.
    std::chrono::milliseconds suspect_retention = std::chrono::minutes(2);
    /// A block that ends sooner is not repeated; it would be extended by the network delay.
    std::chrono::milliseconds min_shared_block = std::chrono::seconds(1);
    /// The limits of a page, which keep it in one datagram.
    std::size_t blocks_per_page = 16;
    std::size_t suspects_per_page = 32;
};

/// Selects the crash reports that a node sends to its peers: its recent decisions to all of them,
/// and all that its guard knows, page by page, for peers that missed earlier reports.
class crash_sharing {
public:
    /// Keeps a reference to the guard.
    crash_sharing(const crash_guard& guard, const crash_sharing_options& options);

    /// Adds a decision of this node.
    void add(const crash_report& decision, time_point now);

    /// Returns the recent decisions of this node.
    std::vector<crash_report> recent_decisions(time_point now);

    /// Returns the next page of the guard's blocks and recent suspects; empty if there are none.
    std::vector<crash_report> next_page(time_point now);

private:
    const crash_guard& guard_;
    const crash_sharing_options options_;
    std::deque<std::pair<time_point, crash_report>> decisions_;
    std::uint64_t last_block_ = 0;   ///< The last fingerprint of the previous page.
    std::uint64_t last_suspect_ = 0; ///< As `last_block_`.
};

} // namespace agatespread::detail
