#include "mesh.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <optional>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::mesh;

constexpr std::size_t subtrees = 87;
constexpr int changes = 4;
constexpr seconds change_period(24);

std::string document(std::size_t number, int change)
{
    return "{\"change\":" + std::to_string(change) + ",\"subtree\":" + std::to_string(number) +
           ",\"text\":\"" + std::string(1500, 'x') + "\"}";
}

/// Which part of the distribution is disabled.
enum class variant : std::uint8_t { full, no_push, no_pull };

/// Traffic of the mesh and of the platform; the sizes are those of encoded messages without frames.
struct cost {
    double idle_bytes = 0;          ///< Sent per node and second without changes.
    double change_messages = 0;     ///< Sent in the mesh per change.
    double change_bytes = 0;        ///< Sent in the mesh per change.
    double change_cross_bytes = 0;  ///< The part between failure domains.
    double platform_reads = 0;      ///< Per second without changes.
    double platform_bytes = 0;      ///< Read from the platform per change.
    double convergence_seconds = 0; ///< Longest time until all nodes have a change.
};

std::uint64_t all_messages(const mesh& net)
{
    std::uint64_t sum = 0;
    for (const std::pair<const std::string, std::uint64_t>& entry : net.messages) {
        sum += entry.second;
    }
    return sum;
}

/// Returns a filter that drops the messages of the disabled part.
std::function<bool(const node_id&, const node_id&, const message&)>
make_filter(variant disabled, std::set<std::pair<node_id, node_id>>& pulls)
{
    return [disabled, &pulls](const node_id& from, const node_id& to, const message& content) {
        if (std::holds_alternative<version_pull>(content)) {
            pulls.emplace(to, from);
            return disabled == variant::no_pull;
        }
        // A push that responds to a pull counts as part of the pull.
        return disabled == variant::no_push && std::holds_alternative<version_push>(content) &&
               pulls.erase({from, to}) == 0;
    };
}

cost measure(std::size_t domains, std::size_t nodes, const std::string& name,
             variant disabled = variant::full, double loss = 0)
{
    mesh net(7, domains, nodes, name);
    net.start_all();
    net.advance(seconds(15));
    for (std::size_t i = 0; i < subtrees; ++i) {
        net.commit("a0", "fleet/team-" + std::to_string(i), document(i, 0), i + 1 == subtrees);
    }
    EXPECT_TRUE(net.wait(seconds(30), [&net] { return net.converged(); }));
    net.advance(seconds(100));
    net.count_bytes = true;
    net.faults.loss = loss;
    std::set<std::pair<node_id, node_id>> pulls;
    net.drop = make_filter(disabled, pulls);

    const double seconds_measured = changes * 24.0;
    const mesh* measured = &net;
    const std::uint64_t messages = all_messages(*measured);
    const std::uint64_t reads = net.platform_reads;
    net.advance(change_period * changes);
    cost result;
    const double idle_messages = static_cast<double>(all_messages(net) - messages);
    const double idle = static_cast<double>(net.bytes);
    const double idle_cross = static_cast<double>(net.cross_domain_bytes);
    const double idle_platform = static_cast<double>(net.platform_bytes);
    result.idle_bytes = idle / seconds_measured / static_cast<double>(domains * nodes);
    result.platform_reads = static_cast<double>(net.platform_reads - reads) / seconds_measured;
    const std::uint64_t platform_before = net.platform_bytes;
    net.bytes = 0;
    net.cross_domain_bytes = 0;
    const std::uint64_t messages_before = all_messages(net);
    for (int change = 1; change <= changes; ++change) {
        const std::size_t number = static_cast<std::size_t>(change) * 11;
        net.commit("a1", "fleet/team-" + std::to_string(number), document(number, change));
        const time_point begin = net.now();
        EXPECT_TRUE(net.wait(change_period, [&net] { return net.converged(); }));
        const milliseconds taken = std::chrono::duration_cast<milliseconds>(net.now() - begin);
        result.convergence_seconds =
            std::max(result.convergence_seconds, static_cast<double>(taken.count()) / 1000);
        net.advance(change_period - taken);
    }
    const double expected_idle_platform =
        result.platform_reads * seconds_measured * 100; // Each head read returns 100 bytes.
    result.change_messages =
        (static_cast<double>(all_messages(net) - messages_before) - idle_messages) / changes;
    result.change_bytes = (static_cast<double>(net.bytes) - idle) / changes;
    result.change_cross_bytes =
        (static_cast<double>(net.cross_domain_bytes) - idle_cross) / changes;
    result.platform_bytes =
        (static_cast<double>(net.platform_bytes - platform_before) - expected_idle_platform) /
        changes;
    EXPECT_GE(idle_platform, 0);
    EXPECT_TRUE(net.violations.empty());
    return result;
}

void print(const char* label, std::size_t domains, std::size_t nodes, const cost& value)
{
    std::printf("%-10s %2zu x %2zu: idle %6.0f B/s/node, %6.1f reads/s; change: %7.0f messages, "
                "%8.0f B, %7.0f B across, %8.0f B platform, slowest %.2f s\n",
                label, domains, nodes, value.idle_bytes, value.platform_reads,
                value.change_messages, value.change_bytes, value.change_cross_bytes,
                value.platform_bytes, value.convergence_seconds);
    std::fflush(stdout);
}

bool is_table_requested()
{
    return std::getenv("AGATESPREAD_COUNTS") != nullptr;
}

} // namespace

// Guards against a cost per change that grows faster than the number of nodes, and against traffic
// per node above 2 KB/s or above 1/10 of the naive baseline.
TEST(distribution_cost, a_change_costs_a_bounded_number_of_messages_per_node)
{
    const cost small = measure(3, 5, "tree");
    const cost large = measure(3, 20, "tree");
    const cost naive = measure(3, 5, "naive");
    EXPECT_LT(large.change_messages / 60, 10);
    EXPECT_LT(large.change_bytes / 60, 6000);
    // Traffic between failure domains depends on the number of readers, not of members.
    EXPECT_LT(large.change_cross_bytes, small.change_cross_bytes * 2);
    const double per_second = large.idle_bytes + large.change_bytes / 60 / 24;
    EXPECT_LT(per_second, 2000);
    const double naive_per_second = naive.platform_bytes / 15 / 24;
    EXPECT_LT(per_second, naive_per_second / 10);
}

// AGATESPREAD_COUNTS=1 enables this table.
TEST(distribution_cost, prints_the_cost_table_when_enabled)
{
    if (!is_table_requested()) {
        return;
    }
    for (const std::size_t nodes : {5U, 10U, 20U, 40U}) {
        print("tree", 3, nodes, measure(3, nodes, "tree"));
    }
    for (const std::size_t domains : {1U, 2U, 6U, 12U}) {
        print("tree", domains, 5, measure(domains, 5, "tree"));
    }
    for (const std::size_t nodes : {5U, 10U}) {
        print("naive", 3, nodes, measure(3, nodes, "naive"));
    }
    for (const std::size_t nodes : {10U}) {
        print("gossip", 3, nodes, measure(3, nodes, "tree", variant::no_push));
        print("tree only", 3, nodes, measure(3, nodes, "tree", variant::no_pull));
        print("tree 10 %", 3, nodes, measure(3, nodes, "tree", variant::full, 0.1));
        print("only 10 %", 3, nodes, measure(3, nodes, "tree", variant::no_pull, 0.1));
    }
}

} // namespace agatespread
