#include "mesh.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using test::mesh;

constexpr std::uint64_t seed = 20261204;

std::size_t count_state(const mesh::host& viewer, const std::string& domain, member_state state)
{
    std::size_t count = 0;
    for (const member_record& record : viewer.members->members_of(domain)) {
        count += record.state == state ? 1 : 0;
    }
    return count;
}

bool all_see(mesh& net, std::size_t members)
{
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        std::size_t alive = 0;
        for (const member_record& record : entry.second.members->members()) {
            alive += record.state == member_state::alive ? 1 : 0;
        }
        if (entry.second.up && alive != members) {
            return false;
        }
    }
    return true;
}

/// Starts all hosts and waits until each holds all members as alive.
void start_and_converge(mesh& net)
{
    net.start_all();
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        entry.second.members->set_in_force(1, net.now());
    }
    ASSERT_TRUE(net.wait(seconds(20), [&net] { return all_see(net, net.hosts().size()); }));
    net.advance(seconds(3));
}

member_state state_of(mesh& net, const node_id& viewer, const node_id& subject)
{
    const member_record* record = net.at(viewer).members->find(subject);
    return record == nullptr ? member_state::left : record->state;
}

upstream_record ready_upstream()
{
    return {"nile-soy", "rounds", "nile-soy", 10, upstream_state::ready};
}

/// Returns options of a node without seeds, for tests of a single membership object.
membership_options single_node_options()
{
    membership_options options;
    options.self = "a0";
    options.failure_domain = "a";
    options.peer_address = "peer/a0";
    return options;
}

} // namespace

TEST(membership, all_nodes_of_three_domains_discover_each_other)
{
    mesh net(seed, 3, 8);
    start_and_converge(net);
    std::set<std::uint64_t> digests;
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        digests.insert(entry.second.members->digest_of("b"));
    }
    EXPECT_EQ(digests.size(), 1U);
}

TEST(membership, a_stopped_member_becomes_unreachable_and_is_removed_after_the_retention)
{
    mesh net(seed, 1, 8);
    start_and_converge(net);
    net.stop("a3");
    const bool seen = net.wait(
        seconds(15), [&net] { return state_of(net, "a0", "a3") == member_state::unreachable; });
    EXPECT_TRUE(seen);
    net.advance(minutes(5));
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        if (entry.first != "a3") {
            EXPECT_EQ(state_of(net, entry.first, "a3"), member_state::unreachable) << entry.first;
        }
    }
    // Each member removes the record when its own retention of 10 min has passed, and anti-entropy
    // does not restore it.
    net.advance(minutes(7));
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        if (entry.first != "a3") {
            EXPECT_EQ(entry.second.members->find("a3"), nullptr) << entry.first;
        }
    }
}

TEST(membership, indirect_probes_prevent_suspicion_when_one_link_is_down)
{
    mesh net(seed, 1, 6);
    start_and_converge(net);
    net.drop = [](const node_id& from, const node_id& to, const message&) {
        return (from == "a0" && to == "a1") || (from == "a1" && to == "a0");
    };
    bool suspected = false;
    for (int i = 0; i < 300; ++i) {
        net.advance(milliseconds(100));
        suspected = suspected || state_of(net, "a0", "a1") != member_state::alive;
    }
    EXPECT_FALSE(suspected);
}

TEST(membership, a_resumed_member_refutes_with_a_higher_incarnation)
{
    mesh net(seed, 1, 6);
    start_and_converge(net);
    const std::uint64_t before = net.at("a2").members->self().incarnation;
    net.pause("a2");
    ASSERT_TRUE(net.wait(
        seconds(15), [&net] { return state_of(net, "a0", "a2") == member_state::unreachable; }));
    net.resume("a2");
    EXPECT_TRUE(net.wait(seconds(10), [&net] { return all_see(net, 6); }));
    EXPECT_GT(net.at("a2").members->self().incarnation, before);
    EXPECT_EQ(count_state(net.at("a2"), "a", member_state::unreachable), 0U);
}

TEST(membership, a_cut_off_member_does_not_mark_others_unreachable)
{
    mesh net(seed, 1, 10);
    start_and_converge(net);
    net.drop = [](const node_id& from, const node_id& to, const message&) {
        return from == "a0" || to == "a0";
    };
    EXPECT_TRUE(net.wait(seconds(10), [&net] { return net.at("a0").members->is_cut_off(); }));
    net.advance(minutes(2));
    EXPECT_EQ(count_state(net.at("a0"), "a", member_state::unreachable), 0U);
    EXPECT_FALSE(net.at("a1").members->is_cut_off());
    EXPECT_EQ(state_of(net, "a1", "a0"), member_state::unreachable);
    net.drop = nullptr;
    EXPECT_TRUE(net.wait(
        seconds(30), [&net] { return all_see(net, 10) && !net.at("a0").members->is_cut_off(); }));
}

TEST(membership, a_partitioned_minority_detects_that_it_is_cut_off)
{
    mesh net(seed, 1, 12);
    start_and_converge(net);
    const std::set<node_id> minority = {"a0", "a1", "a2"};
    net.drop = [&minority](const node_id& from, const node_id& to, const message&) {
        return minority.count(from) != minority.count(to);
    };
    net.advance(minutes(3));
    EXPECT_TRUE(net.at("a0").members->is_cut_off());
    EXPECT_FALSE(net.at("a5").members->is_cut_off());
    EXPECT_EQ(count_state(net.at("a5"), "a", member_state::unreachable), 3U);
    net.drop = nullptr;
    EXPECT_TRUE(net.wait(seconds(60), [&net] { return all_see(net, 12); }));
}

TEST(membership, partitions_that_removed_each_other_merge_after_healing)
{
    mesh net(seed, 1, 8);
    start_and_converge(net);
    net.drop = [](const node_id& from, const node_id& to, const message&) {
        return (from < "a4") != (to < "a4");
    };
    net.advance(minutes(25));
    net.drop = nullptr;
    EXPECT_TRUE(net.wait(minutes(3), [&net] { return all_see(net, 8); }));
}

// Guards against failure domains that start at the same time, join through their own nodes only and
// then do not discover each other for many seconds. Occurred with 6 failure domains of 3 to 5
// nodes.
TEST(membership, domains_that_start_partitioned_merge_within_two_seconds)
{
    mesh net(seed, 6, 4);
    bool partitioned = true;
    net.drop = [&partitioned](const node_id& from, const node_id& to, const message&) {
        return partitioned && from[0] != to[0];
    };
    net.start_all();
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        entry.second.members->set_in_force(1, net.now());
    }
    net.advance(seconds(1));
    partitioned = false;
    EXPECT_TRUE(net.wait(seconds(2), [&net] { return all_see(net, 24); }));
}

TEST(membership, draining_and_leaving_reach_all_members_within_100_ms)
{
    mesh net(seed, 3, 8);
    start_and_converge(net);
    upstream_record draining = ready_upstream();
    draining.state = upstream_state::draining;
    net.at("b5").members->set_upstream(draining, net.now());
    // 100 ms is enough for two hops and one tick of the readers; the required bound is 2 s.
    net.advance(milliseconds(100));
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        EXPECT_EQ(entry.second.members->find("b5")->upstream.state, upstream_state::draining)
            << entry.first;
    }
    net.at("b5").members->leave(net.now());
    net.advance(milliseconds(100));
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        EXPECT_EQ(state_of(net, entry.first, "b5"), member_state::left) << entry.first;
    }
    net.stop("b5");
    net.advance(seconds(70));
    EXPECT_EQ(net.at("a0").members->find("b5"), nullptr);
}

TEST(membership, a_lost_announcement_is_repaired_by_digests)
{
    mesh net(seed, 2, 8);
    start_and_converge(net);
    net.drop = [](const node_id&, const node_id& to, const message&) { return to == "b3"; };
    net.at("a2").members->set_upstream(ready_upstream(), net.now());
    // After 12 s the record is no longer piggybacked, so gossip alone cannot deliver it.
    net.advance(seconds(12));
    net.drop = nullptr;
    EXPECT_TRUE(net.wait(seconds(20), [&net] {
        const member_record* record = net.at("b3").members->find("a2");
        return record != nullptr && record->upstream.state == upstream_state::ready;
    }));
}

TEST(membership, joins_above_the_limit_get_a_retry_delay)
{
    std::vector<outgoing_message> sent;
    membership members(
        single_node_options(),
        {[&sent](outgoing_message batch) { sent.push_back(std::move(batch)); }, {}, {}},
        [engine = std::mt19937_64(seed)]() mutable { return engine(); });
    const time_point now(seconds(100));
    members.start(now);
    std::size_t answered = 0;
    std::set<milliseconds> waits;
    for (int i = 0; i < 100; ++i) {
        member_record self;
        self.node = "a" + std::to_string(i + 1);
        self.failure_domain = "a";
        sent.clear();
        members.receive({self.node, "a", "peer/x"}, join{self, false, 0}, now);
        const join_reply& reply = std::get<join_reply>(sent.back().content);
        answered += reply.retry_after.count() == 0 ? 1 : 0;
        waits.insert(reply.retry_after);
        EXPECT_LE(reply.retry_after, seconds(2));
    }
    EXPECT_EQ(answered, membership_options().joins_per_window);
    EXPECT_GT(waits.size(), 50U);
}

TEST(membership, eighty_nodes_that_restart_at_once_all_join)
{
    mesh net(seed, 1, 80);
    net.start_all();
    EXPECT_TRUE(net.wait(seconds(10), [&net] { return all_see(net, 80); }));
}

TEST(membership, readers_are_two_ready_alive_members_and_are_replaced_when_lost)
{
    mesh net(seed, 2, 6);
    start_and_converge(net);
    const std::vector<node_id> readers = net.at("a0").members->readers_of("a");
    ASSERT_EQ(readers.size(), 2U);
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        EXPECT_EQ(entry.second.members->readers_of("a"), readers) << entry.first;
    }
    net.stop(readers[0]);
    EXPECT_TRUE(net.wait(seconds(10), [&net, &readers] {
        return net.at(readers[1]).members->reader_position() == std::size_t{0};
    }));
    net.at(readers[1]).members->set_in_force(0, net.now());
    net.advance(milliseconds(200));
    EXPECT_FALSE(net.at(readers[1]).members->reader_position().has_value());
}

TEST(membership, readers_without_any_ready_member_are_two_alive_ones)
{
    mesh net(seed, 1, 6);
    net.start_all();
    ASSERT_TRUE(net.wait(seconds(10), [&net] { return all_see(net, 6); }));
    EXPECT_EQ(net.at("a0").members->readers_of("a").size(), 2U);
}

TEST(membership, a_restarted_node_gets_its_own_last_version_as_fence)
{
    mesh net(seed, 2, 6);
    start_and_converge(net);
    net.at("a2").members->set_in_force(9, net.now());
    net.advance(seconds(30));
    net.stop("a2");
    net.advance(minutes(12));
    ASSERT_EQ(net.at("a0").members->find("a2"), nullptr);
    net.start("a2");
    ASSERT_TRUE(
        net.wait(seconds(10), [&net] { return net.at("a2").members->fence().has_value(); }));
    EXPECT_EQ(net.at("a2").members->fence(), config_version{9});
}

// Guards against a restarted node that misses its fence because it skips members that the responder
// to its join holds unreachable. The only member that stored the node's version was reachable from
// the node, but not from the peer of another failure domain that replied (random schedule 4417).
TEST(membership, a_restarted_node_requests_its_fence_from_members_reported_unreachable)
{
    std::set<std::string> requested_nodes;
    membership_options options = single_node_options();
    options.seeds = {"peer/b0"};
    membership members(options,
                       {[&requested_nodes](const outgoing_message& batch) {
                            const join* request = std::get_if<join>(&batch.content);
                            if (request != nullptr && request->fence_only) {
                                requested_nodes.insert(batch.to.front().node);
                            }
                        },
                        {},
                        {}},
                       [] { return std::uint64_t{0}; });
    const time_point now(seconds(100));
    members.start(now);
    member_record record;
    record.node = "a1";
    record.failure_domain = "a";
    record.state = member_state::unreachable;
    members.receive({"b0", "b", "peer/b0"}, join_reply{milliseconds(0), 4, {record}, 0}, now);
    EXPECT_EQ(requested_nodes, std::set<std::string>{"a1"});
    EXPECT_FALSE(members.fence().has_value());
    members.receive({"a1", "a", "peer/a1"}, join_reply{milliseconds(0), 5, {}, 0}, now);
    EXPECT_EQ(members.fence(), config_version{5});
}

// Guards against a fence that is too low: a member resumes after a pause and replies to a join that
// the node sent before its restart, with the version from before the node announced a higher one
// (random schedule 533).
TEST(membership, a_reply_to_a_join_of_an_earlier_incarnation_is_ignored)
{
    membership_options options = single_node_options();
    options.seeds = {"peer/a1"};
    membership members(options, {}, [] { return std::uint64_t{7}; });
    const time_point now(seconds(100));
    members.start(now);
    member_record record;
    record.node = "a1";
    record.failure_domain = "a";
    members.receive({"a1", "a", "peer/a1"}, join_reply{milliseconds(0), 1, {record}, 6}, now);
    EXPECT_EQ(members.state(), join_state::joining);
    members.receive({"a1", "a", "peer/a1"}, join_reply{milliseconds(0), 2, {record}, 7}, now);
    EXPECT_EQ(members.fence(), config_version{2});
}

TEST(membership, an_unknown_node_gets_the_highest_version_of_its_domain_as_fence)
{
    mesh net(seed, 2, 6);
    for (const std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        if (entry.first != "a4") {
            net.start(entry.first);
            net.at(entry.first).members->set_in_force(entry.first == "b1" ? 8 : 5, net.now());
        }
    }
    net.advance(seconds(20));
    net.start("a4");
    ASSERT_TRUE(
        net.wait(seconds(10), [&net] { return net.at("a4").members->fence().has_value(); }));
    EXPECT_EQ(net.at("a4").members->fence(), config_version{5});
}

TEST(membership, a_version_change_does_not_change_the_digest)
{
    mesh net(seed, 1, 4);
    start_and_converge(net);
    const std::uint64_t before = net.at("a0").members->digest_of("a");
    const std::uint64_t incarnation = net.at("a1").members->self().incarnation;
    net.at("a1").members->set_in_force(7, net.now());
    net.advance(seconds(5));
    EXPECT_EQ(net.at("a0").members->digest_of("a"), before);
    EXPECT_EQ(net.at("a1").members->self().incarnation, incarnation);
    EXPECT_EQ(net.at("a0").members->find("a1")->in_force, config_version{7});
}

TEST(membership, a_higher_incarnation_wins_and_ties_go_to_the_later_state)
{
    membership members(single_node_options(), {}, [] { return std::uint64_t{0}; });
    const time_point now(seconds(100));
    members.start(now);
    const auto push = [&members, now](std::uint64_t incarnation, member_state state) {
        member_record record;
        record.node = "a1";
        record.failure_domain = "a";
        record.incarnation = incarnation;
        record.state = state;
        members.receive({"a2", "a", ""}, members_push{{record}}, now);
        return members.find("a1")->state;
    };
    EXPECT_EQ(push(5, member_state::unreachable), member_state::unreachable);
    EXPECT_EQ(push(5, member_state::alive), member_state::unreachable);
    EXPECT_EQ(push(6, member_state::alive), member_state::alive);
    EXPECT_EQ(push(5, member_state::left), member_state::alive);
    EXPECT_EQ(push(6, member_state::suspect), member_state::suspect);
}

TEST(membership, gossip_per_message_is_bounded_and_stops_after_convergence)
{
    mesh net(seed, 1, 30);
    std::size_t largest = 0;
    net.drop = [&largest](const node_id&, const node_id&, const message& content) {
        if (const ping* value = std::get_if<ping>(&content)) {
            largest = std::max(largest, value->updates.size());
        }
        return false;
    };
    start_and_converge(net);
    EXPECT_LE(largest, membership_options().updates_per_message + 2);
    net.advance(seconds(30));
    largest = 0;
    net.advance(seconds(30));
    EXPECT_EQ(largest, 0U);
}

} // namespace agatespread
