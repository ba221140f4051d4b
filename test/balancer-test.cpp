#include <agatespread/balancer.h>

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));

member_record member_of(const node_id& node, const std::string& domain = "cairo-1")
{
    member_record member;
    member.node = node;
    member.failure_domain = domain;
    member.inbound_address = node + ":80";
    member.upstream = {"nile-soy", "rounds", "nile-soy", 10, upstream_state::ready};
    return member;
}

std::vector<member_record> local_members(int count)
{
    std::vector<member_record> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.push_back(member_of("node-" + std::to_string(i)));
    }
    return members;
}

/// A balancer with one cluster, a simulated clock and a seeded random source.
class balancer_fixture {
public:
    explicit balancer_fixture(std::vector<member_record> members, std::uint8_t max_ejected = 34)
        : members_(std::move(members))
    {
        cluster_config.name = "nile-soy/rounds/all";
        cluster_config.service = {"nile-soy", "rounds"};
        cluster_config.max_ejected_percent = max_ejected;
        upstreams.update_members(members_);
    }

    /// Makes one call per millisecond, whose outcome a function returns, and counts the calls of
    /// each node.
    std::map<node_id, int> run(
        int calls, const std::function<attempt_outcome(const node_id&)>& outcome_of,
        const std::function<milliseconds(const node_id&)>& latency_of =
            [](const node_id&) { return milliseconds(10); },
        const std::optional<load_hint>& load = std::nullopt)
    {
        std::map<node_id, int> counts;
        for (int i = 0; i < calls; ++i) {
            const std::optional<upstream_choice> to =
                upstreams.choose(cluster_config, {}, now, random);
            if (to) {
                ++counts[to->node];
                upstreams.finish(cluster_config, *to, outcome_of(to->node), latency_of(to->node),
                                 load, now);
            }
            now += milliseconds(1);
        }
        return counts;
    }

    balancer upstreams{"cairo-1", {}};
    cluster cluster_config;
    time_point now = start;
    std::mt19937_64 engine{3};
    random_source random = [this] { return engine(); };

private:
    std::vector<member_record> members_;
};

attempt_outcome always_answered(const node_id& /*node*/)
{
    return attempt_outcome::answered;
}

} // namespace

TEST(balancer, policies_are_registered)
{
    EXPECT_EQ(policy_registry::instance().names(),
              std::vector<std::string>({"least_loaded", "round_robin"}));
}

TEST(balancer, only_ready_upstreams_are_chosen)
{
    std::vector<member_record> members = local_members(5);
    members[0].upstream.state = upstream_state::starting;
    members[1].upstream.state = upstream_state::draining;
    members[2].upstream.state = upstream_state::gone;
    members[3].state = member_state::left;
    balancer_fixture test(members);
    EXPECT_EQ(test.run(50, always_answered), (std::map<node_id, int>{{"node-4", 50}}));
}

TEST(balancer, unreachable_members_are_used_last)
{
    std::vector<member_record> members = local_members(1);
    members.push_back(member_of("far", "alex-1"));
    members[0].state = member_state::unreachable;
    balancer_fixture test(members);
    EXPECT_EQ(test.run(50, always_answered), (std::map<node_id, int>{{"far", 50}}));
    test.upstreams.update_members({members[0]});
    EXPECT_EQ(test.run(50, always_answered), (std::map<node_id, int>{{"node-0", 50}}));
}

TEST(balancer, local_domain_is_preferred_and_spills_when_loaded)
{
    std::vector<member_record> members = local_members(2);
    members.push_back(member_of("far", "alex-1"));
    balancer_fixture test(members);
    EXPECT_EQ(test.run(100, always_answered).count("far"), 0U);
    std::map<node_id, int> counts;
    for (int i = 0; i < 30; ++i) {
        ++counts[test.upstreams.choose(test.cluster_config, {}, test.now, test.random)->node];
    }
    // 20 calls fill the local slots; the other 10 are shared with the remote upstream.
    EXPECT_GE(counts["far"], 4);
}

TEST(balancer, tried_upstreams_are_not_chosen_again)
{
    balancer_fixture test(local_members(2));
    const std::optional<upstream_choice> to = test.upstreams.choose(
        test.cluster_config, {{"node-0"}, true, std::nullopt}, test.now, test.random);
    ASSERT_TRUE(to);
    EXPECT_EQ(to->node, "node-1");
    EXPECT_FALSE(test.upstreams.choose(
        test.cluster_config, {{"node-0", "node-1"}, true, std::nullopt}, test.now, test.random));
}

TEST(balancer, faster_upstreams_get_more_calls)
{
    balancer_fixture test(local_members(3));
    const std::map<node_id, int> counts = test.run(3000, always_answered, [](const node_id& node) {
        return milliseconds(node == "node-0" ? 40 : 10);
    });
    EXPECT_LT(counts.at("node-0"), 600);
}

TEST(balancer, round_robin_distributes_calls_equally)
{
    balancer_fixture test(local_members(3));
    test.cluster_config.policy = "round_robin";
    const std::map<node_id, int> counts = test.run(300, always_answered);
    EXPECT_EQ(counts, (std::map<node_id, int>{{"node-0", 100}, {"node-1", 100}, {"node-2", 100}}));
}

TEST(balancer, failing_upstream_is_avoided_despite_an_idle_load_hint)
{
    balancer_fixture test(local_members(3));
    const std::map<node_id, int> counts = test.run(
        500,
        [](const node_id& node) {
            return node == "node-0" ? attempt_outcome::failed : attempt_outcome::answered;
        },
        [](const node_id&) { return milliseconds(1); }, load_hint{0, 0, 1000});
    EXPECT_LT(counts.at("node-0"), 10);
}

TEST(balancer, consecutive_failures_eject)
{
    balancer_fixture test(local_members(3));
    test.cluster_config.policy = "round_robin";
    const std::map<node_id, int> counts = test.run(300, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::timed_out : attempt_outcome::answered;
    });
    EXPECT_EQ(counts.at("node-0"), 3);
    EXPECT_EQ(test.upstreams.ejected(test.cluster_config, test.now),
              std::vector<node_id>({"node-0"}));
}

TEST(balancer, overload_hint_alone_does_not_eject)
{
    balancer_fixture test(local_members(3));
    std::map<node_id, int> counts;
    for (int i = 0; i < 3000; ++i) {
        const upstream_choice to =
            *test.upstreams.choose(test.cluster_config, {}, test.now, test.random);
        ++counts[to.node];
        const load_hint load = to.node == "node-0" ? load_hint{10, 5000, 10} : load_hint{1, 0, 10};
        test.upstreams.finish(test.cluster_config, to, attempt_outcome::answered, milliseconds(10),
                              load, test.now);
        test.now += milliseconds(1);
    }
    EXPECT_TRUE(test.upstreams.ejected(test.cluster_config, test.now).empty());
    EXPECT_GT(counts["node-0"], 50);
}

TEST(balancer, overload_hint_alone_does_not_move_calls_to_another_domain)
{
    std::vector<member_record> members = local_members(2);
    members.push_back(member_of("far", "alex-1"));
    balancer_fixture test(members);
    const std::map<node_id, int> counts = test.run(
        500, always_answered, [](const node_id&) { return milliseconds(10); },
        load_hint{10, 500, 10});
    EXPECT_EQ(counts.count("far"), 0U);
}

TEST(balancer, ejections_are_capped)
{
    // Guards against the ejection of a whole cluster because of a false signal, such as a network
    // failure.
    balancer_fixture test(local_members(6));
    test.run(200, [](const node_id&) { return attempt_outcome::failed; });
    EXPECT_EQ(test.upstreams.ejected(test.cluster_config, test.now).size(), 3U);
    balancer_fixture single(local_members(1), 100);
    single.run(50, [](const node_id&) { return attempt_outcome::failed; });
    EXPECT_TRUE(single.upstreams.ejected(single.cluster_config, single.now).empty());
    EXPECT_TRUE(single.upstreams.choose(single.cluster_config, {}, single.now, single.random));
}

TEST(balancer, failing_upstream_gets_few_calls_when_the_cap_prevents_ejection)
{
    balancer_fixture test(local_members(3), 0);
    const std::map<node_id, int> counts = test.run(3000, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::failed : attempt_outcome::answered;
    });
    EXPECT_TRUE(test.upstreams.ejected(test.cluster_config, test.now).empty());
    EXPECT_LT(counts.at("node-0"), 100);
}

TEST(balancer, fast_refusals_do_not_attract_calls)
{
    // Guards against a target that refuses all calls and therefore appears fast and idle under
    // overload.
    balancer_fixture test(local_members(3));
    int responses = 0;
    const std::map<node_id, int> counts = test.run(
        3000,
        [&responses](const node_id& node) {
            const bool refused = node == "node-0" || ++responses % 4 == 0;
            return refused ? attempt_outcome::refused : attempt_outcome::answered;
        },
        [](const node_id&) { return milliseconds(10); });
    EXPECT_LT(counts.at("node-0"), 500);
}

TEST(balancer, latency_outlier_is_ejected)
{
    balancer_fixture test(local_members(4));
    test.cluster_config.policy = "round_robin";
    test.run(200, always_answered,
             [](const node_id& node) { return milliseconds(node == "node-2" ? 200 : 10); });
    EXPECT_EQ(test.upstreams.ejected(test.cluster_config, test.now),
              std::vector<node_id>({"node-2"}));
}

TEST(balancer, refusals_eject_an_outlier_but_not_under_overload)
{
    balancer_fixture test(local_members(4));
    test.cluster_config.policy = "round_robin";
    const std::function<attempt_outcome(const node_id&)> one_refuses = [](const node_id& node) {
        return node == "node-1" ? attempt_outcome::refused : attempt_outcome::answered;
    };
    // A target is avoided for 200 ms after each refusal, so ten refusals take two seconds.
    test.run(2500, one_refuses);
    EXPECT_EQ(test.upstreams.ejected(test.cluster_config, test.now),
              std::vector<node_id>({"node-1"}));
    balancer_fixture overloaded(local_members(4));
    overloaded.cluster_config.policy = "round_robin";
    overloaded.run(500, [](const node_id&) { return attempt_outcome::refused; });
    EXPECT_TRUE(overloaded.upstreams.ejected(overloaded.cluster_config, overloaded.now).empty());
}

TEST(balancer, ejection_ends_with_one_trial_call_and_doubles_after_its_failure)
{
    balancer_fixture test(local_members(3));
    const std::function<attempt_outcome(const node_id&)> one_is_down = [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::down : attempt_outcome::answered;
    };
    test.run(50, one_is_down);
    ASSERT_EQ(test.upstreams.ejected(test.cluster_config, test.now).size(), 1U);
    test.now += seconds(2);
    const upstream_choice trial =
        *test.upstreams.choose(test.cluster_config, {}, test.now, test.random);
    EXPECT_TRUE(trial.trial);
    EXPECT_EQ(trial.node, "node-0");
    for (int i = 0; i < 10; ++i) {
        EXPECT_NE(test.upstreams.choose(test.cluster_config, {}, test.now, test.random)->node,
                  "node-0");
    }
    test.upstreams.finish(test.cluster_config, trial, attempt_outcome::failed, milliseconds(1),
                          std::nullopt, test.now);
    // The second ejection takes twice as long as the first.
    EXPECT_EQ(test.upstreams.ejected(test.cluster_config, test.now + milliseconds(1999)).size(),
              1U);
    test.now += milliseconds(2001);
    const upstream_choice second =
        *test.upstreams.choose(test.cluster_config, {}, test.now, test.random);
    EXPECT_EQ(second.node, "node-0");
    test.upstreams.finish(test.cluster_config, second, attempt_outcome::answered, milliseconds(10),
                          std::nullopt, test.now);
    EXPECT_GT(test.run(300, always_answered)["node-0"], 10);
}

TEST(balancer, calls_that_must_not_be_lost_are_no_trial_calls)
{
    balancer_fixture test(local_members(3));
    test.run(50, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::down : attempt_outcome::answered;
    });
    test.now += seconds(2);
    for (int i = 0; i < 20; ++i) {
        EXPECT_NE(test.upstreams
                      .choose(test.cluster_config, {{}, false, std::nullopt}, test.now, test.random)
                      ->node,
                  "node-0");
    }
}

TEST(balancer, draining_target_is_avoided)
{
    balancer_fixture test(local_members(3));
    const std::map<node_id, int> counts = test.run(300, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::draining : attempt_outcome::answered;
    });
    EXPECT_LE(counts.at("node-0"), 1);
}

TEST(balancer, calls_with_equal_affinity_keys_use_one_upstream)
{
    std::set<node_id> chosen;
    for (int caller = 0; caller < 5; ++caller) {
        balancer_fixture test(local_members(6));
        test.engine.seed(static_cast<std::uint64_t>(caller));
        chosen.insert(
            test.upstreams.choose(test.cluster_config, {{}, true, 42}, test.now, test.random)
                ->node);
    }
    EXPECT_EQ(chosen.size(), 1U);
}

TEST(balancer, departed_targets_do_not_count_for_the_ejection_cap)
{
    balancer_fixture test(local_members(3));
    test.run(50, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::down : attempt_outcome::answered;
    });
    std::vector<member_record> members = local_members(4);
    members.erase(members.begin());
    test.upstreams.update_members(members);
    test.run(50, [](const node_id& node) {
        return node == "node-1" ? attempt_outcome::down : attempt_outcome::answered;
    });
    EXPECT_EQ(test.upstreams.ejected(test.cluster_config, test.now),
              std::vector<node_id>({"node-0", "node-1"}));
}

} // namespace agatespread
