#pragma once

#include <cstddef>
#include <cstdint>

namespace agatespread {

/// Rules of which a node keeps and reports results; those with the most recent results remain.
inline constexpr std::size_t max_reported_rules = 32;

/// What a node reports of one rule: the runs at its own upstream that ended within the last second,
/// and the arrivals of requests of its own callers, see `nested_rules`.
struct rule_results {
    std::uint32_t kind = 0; ///< As in `kind_time`.
    std::uint32_t ended = 0;
    std::uint32_t failed = 0;        ///< Of `ended`, those lost to a call refused for load.
    std::uint32_t expected_idle = 0; ///< In hundredths of an arrival.
    std::uint32_t seen_idle = 0;     ///< In hundredths of an arrival.
};

/// The results of the runs of one rule at one upstream.
struct run_count {
    std::uint64_t ended = 0;
    std::uint64_t failed = 0;
};

/// Arrivals of a rule's requests at nodes, with weights that decay.
struct idle_arrivals {
    double expected = 0; ///< While no run is in progress, if arrivals did not depend on runs.
    double seen = 0;     ///< While no run was in progress.
};

} // namespace agatespread
