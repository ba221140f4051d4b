#pragma once

#include <agatespread/operator_client.h>

#include <string>
#include <vector>

namespace agatespread::detail {

/// A node that does not serve the watched version yet.
struct missing_node {
    std::string failure_domain;
    std::string node;
    config_version version = 0;
    std::string reason; ///< Why the version is not in force; empty while it is pending.
};

/// The progress of a version's rollout.
struct watch_progress {
    bool done = false;    ///< In force on all reachable nodes except those that refused it.
    bool refused = false; ///< At least one node refused it.
    std::vector<std::string> domains; ///< One line for each failure domain.
    std::vector<missing_node> missing;
};

/// The reason in a status for a node that cannot be reached.
inline constexpr std::string_view unreachable_reason = "unreachable";

/// Computes the rollout progress of a version from a mesh status.
watch_progress progress_of(const mesh_status& status, config_version version);

} // namespace agatespread::detail
