#include "watch_progress.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

namespace agatespread::detail {

namespace {

/// The number of nodes of one failure domain that do not serve the version, by cause.
struct domain_counts {
    std::size_t pending = 0;
    std::size_t refused = 0;
    std::size_t unreachable = 0;
};

domain_counts count_missing(const domain_summary& domain, config_version version,
                            std::vector<missing_node>& missing)
{
    domain_counts counts;
    for (const lagging_node& node : domain.behind) {
        if (node.in_force >= version) {
            continue;
        }
        missing.push_back({domain.failure_domain, node.node, node.in_force, node.reason});
        if (node.reason.empty()) {
            ++counts.pending;
        }
        else if (node.reason == unreachable_reason) {
            ++counts.unreachable;
        }
        else {
            ++counts.refused;
        }
    }
    return counts;
}

/// Also compares the summary's versions, because a summary that is older than the version does not
/// list any node as behind.
bool is_done(const domain_summary& domain, const domain_counts& counts, config_version version)
{
    if (counts.pending > 0) {
        return false;
    }
    const std::size_t not_expected =
        counts.refused + std::max<std::size_t>(counts.unreachable, domain.unreachable);
    return (domain.lowest >= version || not_expected > 0) &&
           (domain.highest >= version || domain.members <= not_expected);
}

std::string_view state_text(const domain_summary& domain, bool done)
{
    if (domain.members > 0 && domain.unreachable >= domain.members) {
        return "unreachable";
    }
    return done ? "in force" : "waiting";
}

} // namespace

watch_progress progress_of(const mesh_status& status, config_version version)
{
    watch_progress progress;
    progress.done = !status.domains.empty();
    for (const domain_summary& domain : status.domains) {
        const domain_counts counts = count_missing(domain, version, progress.missing);
        const bool done = is_done(domain, counts, version);
        progress.done = progress.done && done;
        progress.refused = progress.refused || counts.refused > 0;
        progress.domains.push_back(fmt::format(
            "{}: {}, {} nodes, lowest {}, highest {}, {} on the way, {} refused, {} unreachable",
            domain.failure_domain, state_text(domain, done), domain.members, domain.lowest,
            domain.highest, counts.pending, counts.refused, domain.unreachable));
    }
    return progress;
}

} // namespace agatespread::detail
