#include "mesh.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::mesh;

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t default_schedules = 1000; ///< Run for about 10 s.
constexpr int steps = 16;

std::uint64_t from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// One random schedule of faults and changes.
class schedule {
public:
    explicit schedule(std::uint64_t seed)
        : engine_(seed), net_(seed, 1 + choose(3), 2 + choose(3), "tree")
    {
        for (const std::pair<const node_id, mesh::host>& entry : net_.hosts()) {
            ids_.push_back(entry.first);
        }
    }

    /// Runs the schedule and returns the violated invariants.
    std::vector<std::string> run()
    {
        net_.start_all();
        net_.advance(milliseconds(choose(8000)));
        for (int i = 0; i < steps; ++i) {
            apply_action(choose(12));
            net_.advance(milliseconds(choose(2500)));
        }
        clear_faults();
        // A node may have refused the newest version, so one that no node refuses is committed.
        net_.commit(ids_.front(), "fleet/last", "last", choose(2) == 0);
        if (!net_.wait(seconds(40), [this] { return net_.converged(); })) {
            for (const std::pair<const node_id, mesh::host>& entry : net_.hosts()) {
                net_.violations.push_back(
                    "the last version did not arrive everywhere: " + entry.first + " has " +
                    std::to_string(entry.second.versions->in_force()));
            }
        }
        return net_.violations;
    }

private:
    std::uint64_t choose(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    node_id random_host() { return ids_[choose(ids_.size())]; }

    void apply_action(std::uint64_t action)
    {
        const node_id id = random_host();
        mesh::host& host = net_.at(id);
        switch (action) {
        case 0:
            host.up ? net_.stop(id) : net_.start(id);
            break;
        case 1:
            net_.stop(id);
            net_.start(id);
            break;
        case 2:
            host.paused ? net_.resume(id) : net_.pause(id);
            break;
        case 3:
            toggle_partition(host.failure_domain, net_.at(random_host()).failure_domain);
            break;
        case 4:
            net_.faults.platform_down = !net_.faults.platform_down;
            break;
        case 5:
            net_.faults.stale_head = !net_.faults.stale_head;
            break;
        case 6:
            net_.faults.loss = choose(2) == 0 ? 0.0 : 0.3;
            net_.faults.duplication = choose(2) == 0 ? 0.0 : 0.3;
            net_.faults.delay = milliseconds(choose(2) == 0 ? 2 : 400);
            break;
        case 7:
            host.refused_versions.insert(net_.newest() + 1);
            break;
        case 8:
            restart_domain(host.failure_domain);
            break;
        default:
            commit(id);
        }
    }

    void commit(const node_id& id)
    {
        const mesh::host& host = net_.at(id);
        // Operators commit changes through a node that has a version in force and reaches the
        // platform.
        if (host.up && !host.paused && !net_.faults.platform_down &&
            (net_.newest() == 0 || host.versions->in_force() > 0)) {
            const std::string text = choose(5) == 0 ? "" : std::to_string(choose(1000));
            net_.commit(id, "fleet/team-" + std::to_string(choose(4)), text, choose(4) != 0);
        }
    }

    void toggle_partition(const std::string& left, const std::string& right)
    {
        const std::pair<std::string, std::string> partition = std::minmax(left, right);
        if (left != right && net_.faults.partitions.erase(partition) == 0) {
            net_.faults.partitions.insert(partition);
        }
    }

    void restart_domain(const std::string& domain)
    {
        for (const node_id& id : ids_) {
            if (net_.at(id).failure_domain == domain) {
                net_.stop(id);
                net_.start(id);
            }
        }
    }

    void clear_faults()
    {
        net_.faults = test::link_faults();
        for (const node_id& id : ids_) {
            net_.at(id).refused_versions.clear();
            if (net_.at(id).paused) {
                net_.resume(id);
            }
            if (!net_.at(id).up) {
                net_.start(id);
            }
        }
        net_.advance(milliseconds(choose(5000)));
    }

    std::mt19937_64 engine_;
    mesh net_;
    std::vector<node_id> ids_;
};

} // namespace

// Guards against nodes that apply a lower version, a part of a tree or, after a restart, a version
// below the fence, and against a version that does not reach all nodes after the faults end.
// AGATESPREAD_SCHEDULES and AGATESPREAD_SEED set the number of schedules and the first seed.
TEST(distribution_schedule, random_faults_break_no_invariant)
{
    const std::uint64_t first = from_environment("AGATESPREAD_SEED", first_seed);
    const std::uint64_t count = from_environment("AGATESPREAD_SCHEDULES", default_schedules);
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const std::vector<std::string> violations = schedule(seed).run();
        for (const std::string& violation : violations) {
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        }
        failed += violations.empty() ? 0 : 1;
        ASSERT_LT(failed, 20U) << "stopped after seed " << seed;
    }
    std::cout << count << " schedules from seed " << first << "\n";
}

} // namespace agatespread
