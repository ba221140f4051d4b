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

/// A balancer with a cluster and a generator.
class bench {
public:
    explicit bench(std::vector<member_record> members, std::uint8_t max_ejected = 34)
        : members_(std::move(members))
    {
        of.name = "nile-soy/rounds/all";
        of.service = {"nile-soy", "rounds"};
        of.max_ejected_percent = max_ejected;
        upstreams.update_members(members_);
    }

    /// Makes calls that a function ends, and returns how many went to each node.
    std::map<node_id, int> run(
        int calls, const std::function<attempt_outcome(const node_id&)>& end_of,
        const std::function<milliseconds(const node_id&)>& latency_of =
            [](const node_id&) { return milliseconds(10); },
        const std::optional<load_hint>& load = std::nullopt)
    {
        std::map<node_id, int> counts;
        for (int i = 0; i < calls; ++i) {
            const std::optional<upstream_choice> to = upstreams.choose(of, {}, now, random);
            if (to) {
                ++counts[to->node];
                upstreams.finish(of, *to, end_of(to->node), latency_of(to->node), load, now);
            }
            now += milliseconds(1);
        }
        return counts;
    }

    balancer upstreams{"cairo-1", {}};
    cluster of;
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
    bench test(members);
    EXPECT_EQ(test.run(50, always_answered), (std::map<node_id, int>{{"node-4", 50}}));
}

TEST(balancer, unreachable_members_are_the_last_choice)
{
    std::vector<member_record> members = local_members(1);
    members.push_back(member_of("far", "alex-1"));
    members[0].state = member_state::unreachable;
    bench test(members);
    EXPECT_EQ(test.run(50, always_answered), (std::map<node_id, int>{{"far", 50}}));
    test.upstreams.update_members({members[0]});
    EXPECT_EQ(test.run(50, always_answered), (std::map<node_id, int>{{"node-0", 50}}));
}

TEST(balancer, own_failure_domain_goes_first_and_spills_when_loaded)
{
    std::vector<member_record> members = local_members(2);
    members.push_back(member_of("far", "alex-1"));
    bench test(members);
    EXPECT_EQ(test.run(100, always_answered).count("far"), 0U);
    std::map<node_id, int> counts;
    for (int i = 0; i < 30; ++i) {
        ++counts[test.upstreams.choose(test.of, {}, test.now, test.random)->node];
    }
    // 20 calls fill the local slots; the rest spreads.
    EXPECT_GE(counts["far"], 4);
}

TEST(balancer, tried_upstreams_are_not_chosen_again)
{
    bench test(local_members(2));
    const std::optional<upstream_choice> to =
        test.upstreams.choose(test.of, {{"node-0"}, true, std::nullopt}, test.now, test.random);
    ASSERT_TRUE(to);
    EXPECT_EQ(to->node, "node-1");
    EXPECT_FALSE(test.upstreams.choose(test.of, {{"node-0", "node-1"}, true, std::nullopt},
                                       test.now, test.random));
}

TEST(balancer, less_loaded_and_faster_upstreams_get_more)
{
    bench test(local_members(3));
    const std::map<node_id, int> counts = test.run(3000, always_answered, [](const node_id& node) {
        return milliseconds(node == "node-0" ? 40 : 10);
    });
    EXPECT_LT(counts.at("node-0"), 600);
}

TEST(balancer, round_robin_takes_turns)
{
    bench test(local_members(3));
    test.of.policy = "round_robin";
    const std::map<node_id, int> counts = test.run(300, always_answered);
    EXPECT_EQ(counts, (std::map<node_id, int>{{"node-0", 100}, {"node-1", 100}, {"node-2", 100}}));
}

TEST(balancer, failing_upstream_is_left_though_it_announces_idleness)
{
    bench test(local_members(3));
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
    bench test(local_members(3));
    test.of.policy = "round_robin";
    const std::map<node_id, int> counts = test.run(300, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::timed_out : attempt_outcome::answered;
    });
    EXPECT_EQ(counts.at("node-0"), 3);
    EXPECT_EQ(test.upstreams.ejected(test.of, test.now), std::vector<node_id>({"node-0"}));
}

TEST(balancer, upstream_that_announces_illness_but_answers_is_kept)
{
    bench test(local_members(3));
    std::map<node_id, int> counts;
    for (int i = 0; i < 3000; ++i) {
        const upstream_choice to = *test.upstreams.choose(test.of, {}, test.now, test.random);
        ++counts[to.node];
        const load_hint load = to.node == "node-0" ? load_hint{10, 5000, 10} : load_hint{1, 0, 10};
        test.upstreams.finish(test.of, to, attempt_outcome::answered, milliseconds(10), load,
                              test.now);
        test.now += milliseconds(1);
    }
    EXPECT_TRUE(test.upstreams.ejected(test.of, test.now).empty());
    EXPECT_GT(counts["node-0"], 50);
}

TEST(balancer, announced_illness_alone_does_not_move_calls_to_another_domain)
{
    std::vector<member_record> members = local_members(2);
    members.push_back(member_of("far", "alex-1"));
    bench test(members);
    const std::map<node_id, int> counts = test.run(
        500, always_answered, [](const node_id&) { return milliseconds(10); },
        load_hint{10, 500, 10});
    EXPECT_EQ(counts.count("far"), 0U);
}

TEST(balancer, ejections_are_capped)
{
    // Guards against a false signal, such as a broken network, that empties a cluster.
    bench test(local_members(6));
    test.run(200, [](const node_id&) { return attempt_outcome::failed; });
    EXPECT_EQ(test.upstreams.ejected(test.of, test.now).size(), 3U);
    bench lone(local_members(1), 100);
    lone.run(50, [](const node_id&) { return attempt_outcome::failed; });
    EXPECT_TRUE(lone.upstreams.ejected(lone.of, lone.now).empty());
    EXPECT_TRUE(lone.upstreams.choose(lone.of, {}, lone.now, lone.random));
}

TEST(balancer, failing_upstream_beyond_the_cap_gets_few_calls)
{
    bench test(local_members(3), 0);
    const std::map<node_id, int> counts = test.run(3000, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::failed : attempt_outcome::answered;
    });
    EXPECT_TRUE(test.upstreams.ejected(test.of, test.now).empty());
    EXPECT_LT(counts.at("node-0"), 100);
}

TEST(balancer, target_that_refuses_fast_does_not_attract_calls)
{
    // Guards against a target that refuses everything and so looks fast and idle under overload.
    bench test(local_members(3));
    int turn = 0;
    const std::map<node_id, int> counts = test.run(
        3000,
        [&turn](const node_id& node) {
            const bool refused = node == "node-0" || ++turn % 4 == 0;
            return refused ? attempt_outcome::refused : attempt_outcome::answered;
        },
        [](const node_id&) { return milliseconds(10); });
    EXPECT_LT(counts.at("node-0"), 500);
}

TEST(balancer, latency_outlier_is_ejected)
{
    bench test(local_members(4));
    test.of.policy = "round_robin";
    test.run(200, always_answered,
             [](const node_id& node) { return milliseconds(node == "node-2" ? 200 : 10); });
    EXPECT_EQ(test.upstreams.ejected(test.of, test.now), std::vector<node_id>({"node-2"}));
}

TEST(balancer, refusals_eject_an_outlier_but_not_under_overload)
{
    bench test(local_members(4));
    test.of.policy = "round_robin";
    const std::function<attempt_outcome(const node_id&)> one_refuses = [](const node_id& node) {
        return node == "node-1" ? attempt_outcome::refused : attempt_outcome::answered;
    };
    // A refusal keeps a target out of the choice for 200 ms, so ten of them take two seconds.
    test.run(2500, one_refuses);
    EXPECT_EQ(test.upstreams.ejected(test.of, test.now), std::vector<node_id>({"node-1"}));
    bench overloaded(local_members(4));
    overloaded.of.policy = "round_robin";
    overloaded.run(500, [](const node_id&) { return attempt_outcome::refused; });
    EXPECT_TRUE(overloaded.upstreams.ejected(overloaded.of, overloaded.now).empty());
}

TEST(balancer, ejection_ends_with_one_trial_call_and_grows)
{
    bench test(local_members(3));
    const std::function<attempt_outcome(const node_id&)> one_is_down = [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::down : attempt_outcome::answered;
    };
    test.run(50, one_is_down);
    ASSERT_EQ(test.upstreams.ejected(test.of, test.now).size(), 1U);
    test.now += seconds(2);
    const upstream_choice trial = *test.upstreams.choose(test.of, {}, test.now, test.random);
    EXPECT_TRUE(trial.trial);
    EXPECT_EQ(trial.node, "node-0");
    for (int i = 0; i < 10; ++i) {
        EXPECT_NE(test.upstreams.choose(test.of, {}, test.now, test.random)->node, "node-0");
    }
    test.upstreams.finish(test.of, trial, attempt_outcome::failed, milliseconds(1), std::nullopt,
                          test.now);
    // The second ejection takes twice as long as the first.
    EXPECT_EQ(test.upstreams.ejected(test.of, test.now + milliseconds(1999)).size(), 1U);
    test.now += milliseconds(2001);
    const upstream_choice second = *test.upstreams.choose(test.of, {}, test.now, test.random);
    EXPECT_EQ(second.node, "node-0");
    test.upstreams.finish(test.of, second, attempt_outcome::answered, milliseconds(10),
                          std::nullopt, test.now);
    EXPECT_GT(test.run(300, always_answered)["node-0"], 10);
}

TEST(balancer, calls_that_must_not_be_lost_make_no_trial)
{
    bench test(local_members(3));
    test.run(50, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::down : attempt_outcome::answered;
    });
    test.now += seconds(2);
    for (int i = 0; i < 20; ++i) {
        EXPECT_NE(
            test.upstreams.choose(test.of, {{}, false, std::nullopt}, test.now, test.random)->node,
            "node-0");
    }
}

TEST(balancer, target_that_refuses_because_it_drains_is_avoided)
{
    bench test(local_members(3));
    const std::map<node_id, int> counts = test.run(300, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::draining : attempt_outcome::answered;
    });
    EXPECT_LE(counts.at("node-0"), 1);
}

TEST(balancer, pinned_calls_of_all_nodes_meet_at_one_upstream)
{
    std::set<node_id> chosen;
    for (int caller = 0; caller < 5; ++caller) {
        bench test(local_members(6));
        test.engine.seed(static_cast<std::uint64_t>(caller));
        chosen.insert(test.upstreams.choose(test.of, {{}, true, 42}, test.now, test.random)->node);
    }
    EXPECT_EQ(chosen.size(), 1U);
}

TEST(balancer, departed_targets_do_not_use_up_the_cap)
{
    bench test(local_members(3));
    test.run(50, [](const node_id& node) {
        return node == "node-0" ? attempt_outcome::down : attempt_outcome::answered;
    });
    std::vector<member_record> members = local_members(4);
    members.erase(members.begin());
    test.upstreams.update_members(members);
    test.run(50, [](const node_id& node) {
        return node == "node-1" ? attempt_outcome::down : attempt_outcome::answered;
    });
    EXPECT_EQ(test.upstreams.ejected(test.of, test.now),
              std::vector<node_id>({"node-0", "node-1"}));
}

} // namespace agatespread
