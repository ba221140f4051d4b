#pragma once

#include <agatespread/timer.h>

#include <chrono>
#include <cstddef>

namespace agatespread {

/// The nodes of the own failure domain that come before the own one in the order of the readers.
struct nodes_ahead {
    std::size_t able = 0;    ///< Can read the platform, as far as they know.
    std::size_t failing = 0; ///< Read it and get errors.
};

/// The number of readers and how they are replaced.
struct reader_role_options {
    /// Nodes of a failure domain that read for it. Two, so that the loss of one causes no delay.
    std::size_t readers = 2;
    /// Failing nodes that are replaced at once. Reads that fail have usually the same cause on all
    /// nodes, but the platform or the network may also reject some of them.
    std::size_t immediate_replacements = 4;
    /// Time until the next nodes replace further failing ones.
    std::chrono::milliseconds replacement_period = std::chrono::seconds(1);
};

/// Decides whether a node reads the configuration from the platform for its failure domain.
///
/// Load pattern: an outage of the platform for all nodes. If each node that fails were replaced by
/// the next one, all nodes would soon poll the failing platform. Replacements that go on slowly
/// still find the few nodes that it serves, if it rejects the others.
class reader_role {
public:
    explicit reader_role(const reader_role_options& options = {}) : options_(options) {}

    /// Returns whether the node reads.
    bool update(const nodes_ahead& ahead, time_point now);

private:
    const reader_role_options options_;
    time_point waiting_since_; ///< When the node began to wait to replace a failing one.
};

} // namespace agatespread
