#include "mesh.h"

#include <agatespread/digest.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::mesh;

constexpr std::uint64_t seed = 20261204;

std::string subtree(std::size_t number)
{
    return "fleet/team-" + std::to_string(number);
}

/// Returns a document of about 500 bytes.
std::string document(const std::string& text)
{
    return "{\"text\":\"" + text + std::string(500, 'x') + "\"}";
}

/// Starts all hosts and waits until a tree of this many subtrees is in force on all of them.
void start_with_tree(mesh& net, std::size_t subtrees = 3)
{
    net.start_all();
    net.advance(seconds(10));
    for (std::size_t i = 0; i < subtrees; ++i) {
        net.commit("a0", subtree(i), document("first"), i + 1 == subtrees);
    }
    ASSERT_TRUE(net.wait(seconds(20), [&net] { return net.converged(); }));
    net.advance(seconds(10));
}

void expect_valid(const mesh& net)
{
    for (const std::string& violation : net.violations) {
        ADD_FAILURE() << violation;
    }
}

node_id non_reader(mesh& net, const std::string& domain)
{
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        if (entry.second.failure_domain == domain && entry.second.up &&
            !entry.second.members->reader_position()) {
            return entry.first;
        }
    }
    return "";
}

void deliver(mesh& net, const node_id& to, const version_push& content)
{
    const node_id from = to == "a1" ? "a2" : "a1";
    net.at(to).versions->receive({from, "a", "peer/" + from}, content, net.now());
}

/// Returns the convergence that an operator gets from a node.
std::vector<domain_summary> status_at(mesh& net, const node_id& id)
{
    const std::optional<std::size_t> position = net.at(id).members->reader_position();
    const node_id reader =
        position ? id : net.at(id).members->readers_of(net.at(id).failure_domain).front();
    return dynamic_cast<distribution&>(*net.at(reader).versions).convergence();
}

} // namespace

TEST(distribution, a_change_reaches_all_failure_domains_by_push_alone)
{
    mesh net(seed, 3, 10, "tree");
    start_with_tree(net);
    const std::uint64_t head_reads = net.platform_reads;
    net.faults.platform_down = true;
    net.commit(non_reader(net, "b"), subtree(1), document("second"));
    // At most four hops of at most 2 ms, by a reader and a reader of the other domain to a member.
    EXPECT_TRUE(net.wait(milliseconds(40), [&net] { return net.converged(); }));
    EXPECT_LE(net.platform_reads - head_reads, 3U);
    expect_valid(net);
}

TEST(distribution, a_change_that_is_not_pushed_is_found_by_polling_the_head)
{
    mesh net(seed, 3, 6, "tree");
    start_with_tree(net);
    net.commit("a0", subtree(0), document("second"), false);
    EXPECT_TRUE(net.wait(seconds(2), [&net] { return net.converged(); }));
    expect_valid(net);
}

TEST(distribution, a_lost_push_is_recovered_by_the_version_in_pings)
{
    mesh net(seed, 1, 6, "tree");
    start_with_tree(net);
    const node_id victim = non_reader(net, "a");
    net.drop = [&victim](const node_id&, const node_id& to, const message& content) {
        return to == victim && std::holds_alternative<version_push>(content);
    };
    const node_id other = net.at("a0").members->readers_of("a").front();
    net.commit(other, subtree(0), document("second"));
    net.advance(milliseconds(50));
    net.drop = nullptr;
    EXPECT_FALSE(net.converged());
    EXPECT_TRUE(net.wait(seconds(3), [&net] { return net.converged(); }));
    expect_valid(net);
}

TEST(distribution, a_delta_carries_the_changed_subtree_only)
{
    mesh net(seed, 2, 6, "tree");
    start_with_tree(net, 20);
    std::size_t objects = 0;
    config_version base = 0;
    net.drop = [&](const node_id&, const node_id&, const message& content) {
        if (const version_push* push = std::get_if<version_push>(&content)) {
            objects = std::max(objects, push->objects.size());
            base = push->base;
        }
        return false;
    };
    net.commit("a0", subtree(7), document("second"));
    EXPECT_TRUE(net.wait(seconds(1), [&net] { return net.converged(); }));
    EXPECT_EQ(objects, 1U);
    EXPECT_EQ(base, 20U);
    net.commit("a0", subtree(7), "");
    EXPECT_TRUE(net.wait(seconds(1), [&net] { return net.converged(); }));
    EXPECT_EQ(net.at("b3").versions->tree().size(), 19U);
    expect_valid(net);
}

TEST(distribution, a_node_that_missed_versions_gets_one_delta)
{
    mesh net(seed, 1, 6, "tree");
    start_with_tree(net, 20);
    const node_id victim = non_reader(net, "a");
    net.pause(victim);
    std::set<std::size_t> sizes;
    for (std::size_t i = 0; i < 5; ++i) {
        net.commit(victim == "a0" ? "a1" : "a0", subtree(i), document(std::to_string(i)));
        net.advance(seconds(1));
    }
    net.at(victim).inbox.clear();
    net.drop = [&](const node_id&, const node_id&, const message& content) {
        if (const version_push* push = std::get_if<version_push>(&content)) {
            sizes.insert(push->objects.size());
        }
        return false;
    };
    net.resume(victim);
    EXPECT_TRUE(net.wait(seconds(4), [&net] { return net.converged(); }));
    EXPECT_EQ(sizes, std::set<std::size_t>{5});
    expect_valid(net);
}

TEST(distribution, a_delta_with_a_wrong_manifest_hash_is_rejected_and_a_snapshot_pulled)
{
    mesh net(seed, 1, 4, "tree");
    start_with_tree(net);
    const node_id victim = non_reader(net, "a");
    const std::string wrong = document("wrong");
    std::vector<config_version> pulled;
    net.drop = [&](const node_id& from, const node_id&, const message& content) {
        if (const version_pull* pull = std::get_if<version_pull>(&content)) {
            pulled.push_back(from == victim ? pull->held : 99);
        }
        return false;
    };
    deliver(net, victim,
            {4, 3, sha256_hex("another tree"), "c", {{subtree(0), sha256_hex(wrong)}}, {wrong}});
    EXPECT_EQ(net.at(victim).versions->in_force(), 3U);
    EXPECT_EQ(net.at(victim).versions->counts().bad_manifests, 1U);
    EXPECT_EQ(pulled, std::vector<config_version>{0});
    // A snapshot with the same fault must not cause endless pulls.
    deliver(net, victim, {4, 0, sha256_hex("x"), "c", {{subtree(0), sha256_hex(wrong)}}, {wrong}});
    EXPECT_EQ(pulled.size(), 1U);
    expect_valid(net);
}

TEST(distribution, a_lower_version_is_never_applied)
{
    mesh net(seed, 1, 4, "tree");
    start_with_tree(net);
    const std::string old = document("old");
    const manifest tree = {{subtree(0), sha256_hex(old)}};
    deliver(net, "a0",
            {2, 0, sha256_hex(encode_manifest(tree)), "c", {{subtree(0), sha256_hex(old)}}, {old}});
    EXPECT_EQ(net.at("a0").versions->in_force(), 3U);
    expect_valid(net);
}

TEST(distribution, an_object_with_a_wrong_hash_is_not_applied)
{
    mesh net(seed, 1, 4, "tree");
    start_with_tree(net);
    const node_id victim = non_reader(net, "a");
    // The manifest is valid, but the sender replaced the document.
    net.faults.platform_down = true;
    manifest tree;
    for (std::size_t i = 0; i < 3; ++i) {
        tree[subtree(i)] = sha256_hex(document("first"));
    }
    tree[subtree(0)] = sha256_hex(document("second"));
    deliver(net, victim,
            {4,
             3,
             sha256_hex(encode_manifest(tree)),
             "c",
             {{subtree(0), sha256_hex(document("second"))}},
             {document("forged")}});
    net.advance(milliseconds(100));
    EXPECT_EQ(net.at(victim).versions->in_force(), 3U);
    EXPECT_EQ(net.at(victim).versions->counts().bad_objects, 1U);
    expect_valid(net);
}

TEST(distribution, a_refused_version_is_reported_with_its_reason_and_the_next_one_applied)
{
    mesh net(seed, 2, 5, "tree");
    start_with_tree(net);
    const node_id victim = non_reader(net, "b");
    net.at(victim).refused_versions = {4};
    net.commit("a0", subtree(0), document("second"));
    net.advance(seconds(2));
    EXPECT_EQ(net.at(victim).versions->in_force(), 3U);
    for (const node_id& viewer : {node_id("a0"), node_id("b0")}) {
        bool is_named = false;
        for (const domain_summary& summary : status_at(net, viewer)) {
            for (const lagging_node& behind : summary.behind) {
                is_named = is_named || (behind.node == victim && behind.in_force == 3 &&
                                        behind.reason == "refused by the test");
            }
        }
        EXPECT_TRUE(is_named) << viewer;
    }
    EXPECT_LE(net.at(victim).versions->counts().refused, 1U);
    net.commit("a0", subtree(0), document("third"));
    EXPECT_TRUE(net.wait(seconds(1), [&net] { return net.converged(); }));
    expect_valid(net);
}

TEST(distribution, status_counts_versions_and_unreachable_nodes_of_all_domains)
{
    mesh net(seed, 3, 5, "tree");
    start_with_tree(net);
    net.stop(non_reader(net, "c"));
    net.advance(seconds(20));
    net.commit("a0", subtree(0), document("second"));
    net.advance(seconds(1));
    const std::vector<domain_summary> status = status_at(net, "b1");
    ASSERT_EQ(status.size(), 3U);
    for (const domain_summary& summary : status) {
        EXPECT_EQ(summary.lowest, 4U) << summary.failure_domain;
        EXPECT_EQ(summary.highest, 4U) << summary.failure_domain;
        EXPECT_EQ(summary.members, 5U) << summary.failure_domain;
        EXPECT_EQ(summary.unreachable, summary.failure_domain == "c" ? 1U : 0U);
        EXPECT_TRUE(summary.behind.empty()) << summary.failure_domain;
    }
    // A failure domain from which no summaries arrive counts as unreachable.
    net.faults.partitions = {{"a", "c"}, {"b", "c"}};
    net.advance(seconds(25));
    for (const domain_summary& summary : status_at(net, "b1")) {
        EXPECT_EQ(summary.unreachable, summary.failure_domain == "c" ? 5U : 0U);
    }
}

TEST(distribution, a_ready_upstream_is_announced_to_other_domains_in_summaries)
{
    mesh net(seed, 3, 6, "tree");
    start_with_tree(net);
    upstream_record upstream{"nile-soy", "rounds", "nile-soy", 10, upstream_state::ready};
    const node_id target = non_reader(net, "a");
    std::size_t cross_domain_messages = 0;
    net.drop = [&](const node_id& from, const node_id& to, const message&) {
        cross_domain_messages += from == target && to[0] != 'a' ? 1 : 0;
        return false;
    };
    net.at(target).members->set_upstream(upstream, net.now());
    EXPECT_TRUE(net.wait(seconds(3), [&] {
        for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
            if (!(entry.second.members->find(target)->upstream == upstream)) {
                return false;
            }
        }
        return true;
    }));
    // Only readers connect to other failure domains; otherwise a mass restart would cause a
    // connection storm.
    EXPECT_EQ(cross_domain_messages, 0U);
}

TEST(distribution, a_node_applies_no_version_below_its_fence)
{
    mesh net(seed, 1, 1, "tree");
    std::vector<outgoing_message> sent;
    membership_options options;
    options.self = "n";
    options.failure_domain = "n";
    options.seeds = {"peer/x"};
    const random_source random = [] { return std::uint64_t{0}; };
    membership members(options, {[](const outgoing_message&) {}, {}, {}}, random);
    distribution_hooks hooks;
    hooks.send = [&sent](outgoing_message batch) { sent.push_back(std::move(batch)); };
    hooks.apply = [](const config_tree&, config_version, const std::string&) {
        return absl::OkStatus();
    };
    distribution versions({}, hooks, members, random);
    members.start(net.now());
    versions.start(net.now());
    const peer_endpoint peer{"x", "n", "peer/x"};
    member_record record;
    record.node = "x";
    record.failure_domain = "n";
    members.receive(peer, join_reply{milliseconds(0), 4, {record}, 0}, net.now());
    ASSERT_EQ(members.fence(), config_version{4});
    const std::string id = sha256_hex(encode_manifest({}));
    versions.receive(peer, version_push{3, 0, id, "c", {}, {}}, net.now());
    EXPECT_FALSE(versions.is_ready());
    versions.receive(peer, version_push{4, 0, id, "c", {}, {}}, net.now());
    EXPECT_TRUE(versions.is_ready());
}

TEST(distribution, a_restarted_domain_recovers_from_peers_while_the_platform_is_down)
{
    mesh net(seed, 2, 5, "tree");
    start_with_tree(net);
    net.faults.platform_down = true;
    for (const node_id& id :
         {node_id("a0"), node_id("a1"), node_id("a2"), node_id("a3"), node_id("a4")}) {
        net.stop(id);
    }
    net.advance(seconds(5));
    for (const node_id& id :
         {node_id("a0"), node_id("a1"), node_id("a2"), node_id("a3"), node_id("a4")}) {
        net.start(id);
    }
    EXPECT_TRUE(net.wait(seconds(8), [&net] { return net.converged(); }));
    expect_valid(net);
}

TEST(distribution, nodes_without_a_fence_from_peers_read_the_head_by_transaction)
{
    mesh net(seed, 1, 3, "tree");
    start_with_tree(net);
    // An unchecked read returns a stale head; only a read by transaction returns the version that
    // was served before the restart.
    net.faults.stale_head = true;
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        net.stop(entry.first);
    }
    net.start_all();
    EXPECT_TRUE(net.wait(seconds(10), [&net] { return net.converged(); }));
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        EXPECT_EQ(entry.second.served_since_start, entry.second.highest_served) << entry.first;
    }
    expect_valid(net);
}

TEST(distribution, a_partitioned_domain_receives_versions_through_a_third_domain)
{
    mesh net(seed, 3, 5, "tree");
    start_with_tree(net);
    net.faults.partitions = {{"a", "b"}};
    net.faults.platform_down = true;
    net.commit("a0", subtree(0), document("second"));
    // Domain "c" reaches both sides and relays the version to "b".
    EXPECT_TRUE(net.wait(seconds(3), [&net] { return net.converged(); }));
    expect_valid(net);
}

TEST(distribution, a_change_converges_when_a_third_of_the_nodes_and_all_readers_stop)
{
    mesh net(seed, 3, 12, "tree");
    start_with_tree(net);
    net.faults.loss = 0.1;
    net.commit(non_reader(net, "a"), subtree(0), document("second"));
    for (const std::string& domain : {std::string("a"), std::string("b"), std::string("c")}) {
        const std::vector<node_id> readers = net.at(domain + "0").members->readers_of(domain);
        net.stop(readers[0]);
        net.stop(readers[1]);
        net.stop(non_reader(net, domain));
        net.stop(non_reader(net, domain));
    }
    EXPECT_TRUE(net.wait(seconds(3), [&net] { return net.converged(); }));
    expect_valid(net);
}

TEST(distribution, only_readers_poll_the_head)
{
    mesh net(seed, 3, 10, "tree");
    start_with_tree(net);
    const std::uint64_t before = net.platform_reads;
    net.advance(seconds(100));
    // In each domain the first reader reads once per second, the second one every two seconds.
    EXPECT_NEAR(static_cast<double>(net.platform_reads - before), 450, 45);
}

TEST(distribution, one_version_is_not_pulled_from_many_peers_at_once)
{
    mesh net(seed, 1, 30, "tree");
    start_with_tree(net);
    const node_id victim = non_reader(net, "a");
    net.drop = [&victim](const node_id&, const node_id& to, const message& content) {
        return to == victim && std::holds_alternative<version_push>(content);
    };
    net.commit(net.at("a0").members->readers_of("a").front(), subtree(0), document("second"));
    net.advance(milliseconds(50));
    const std::uint64_t before = net.at(victim).versions->counts().pulls;
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        if (entry.first != victim) {
            net.at(victim).versions->receive({entry.first, "a", "peer/" + entry.first},
                                             ping{1, 4, 0, {}}, net.now());
        }
    }
    EXPECT_EQ(net.at(victim).versions->counts().pulls - before, 1U);
}

TEST(distribution, a_mass_restart_causes_few_platform_reads)
{
    mesh net(seed, 3, 20, "tree");
    start_with_tree(net, 30);
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        if (entry.first[0] == 'a') {
            net.stop(entry.first);
        }
    }
    net.advance(seconds(3));
    const std::uint64_t before = net.platform_reads;
    for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
        if (!entry.second.up) {
            net.start(entry.first);
        }
    }
    EXPECT_TRUE(net.wait(seconds(10), [&net] { return net.converged(); }));
    EXPECT_LE(net.platform_reads - before, 60U);
    expect_valid(net);
}

TEST(distribution, a_document_beyond_the_push_limit_is_read_from_the_platform)
{
    mesh net(seed, 1, 4, "tree");
    start_with_tree(net);
    const node_id victim = non_reader(net, "a");
    net.drop = [&victim](const node_id&, const node_id& to, const message& content) {
        return to == victim && std::holds_alternative<version_push>(content);
    };
    net.commit(net.at("a0").members->readers_of("a").front(), subtree(0), document("second"));
    manifest tree;
    for (std::size_t i = 0; i < 3; ++i) {
        tree[subtree(i)] = sha256_hex(document(i == 0 ? "second" : "first"));
    }
    deliver(net, victim,
            {4,
             3,
             sha256_hex(encode_manifest(tree)),
             "c",
             {{subtree(0), sha256_hex(document("second"))}},
             {}});
    EXPECT_TRUE(net.wait(milliseconds(50), [&net] { return net.converged(); }));
    expect_valid(net);
}

TEST(distribution, the_same_versions_give_the_same_documents_as_the_naive_baseline)
{
    std::map<std::string, config_tree> final_trees;
    for (const std::string& name : registry<distributor_factory>::instance().names()) {
        mesh net(seed, 2, 5, name);
        net.start_all();
        net.advance(seconds(8));
        std::mt19937_64 engine(seed);
        for (int i = 0; i < 60; ++i) {
            const std::string text = engine() % 5 == 0 ? "" : document(std::to_string(engine()));
            net.commit("a" + std::to_string(engine() % 5), subtree(engine() % 12), text);
            net.advance(milliseconds(engine() % 400));
        }
        ASSERT_TRUE(net.wait(seconds(5), [&net] { return net.converged(); })) << name;
        for (std::pair<const node_id, mesh::host>& entry : net.hosts()) {
            final_trees.emplace(name, entry.second.versions->tree());
            EXPECT_EQ(entry.second.versions->tree(), final_trees.at(name)) << entry.first;
        }
        expect_valid(net);
    }
    ASSERT_EQ(final_trees.size(), 2U);
    EXPECT_EQ(final_trees.at("naive"), final_trees.at("tree"));
}

// Guards against all readers reading the whole tree at the same time after a mass restart. Without
// the random delay, 12 readers of 6 failure domains read 87 documents each within one second.
TEST(distribution, a_bulk_read_of_a_node_without_a_version_waits_for_a_random_time)
{
    for (const std::size_t documents : {std::size_t(5), std::size_t(30)}) {
        manifest tree;
        for (std::size_t i = 0; i < documents; ++i) {
            tree[subtree(i)] = sha256_hex(document(std::to_string(i)));
        }
        const std::string id = sha256_hex(encode_manifest(tree));
        std::size_t reads = 0;
        distribution_hooks hooks;
        hooks.send = [](const outgoing_message&) {};
        hooks.read_head = [](bool) {};
        hooks.read_manifest = [](const std::string&) {};
        hooks.read_object = [&reads](const std::string&) { ++reads; };
        std::mt19937_64 engine(seed);
        const random_source random = [&engine] { return engine(); };
        membership_options options;
        options.self = "a0";
        options.failure_domain = "a";
        membership members(options, {hooks.send, {}, {}}, random);
        distribution node({}, hooks, members, random);
        time_point now(std::chrono::hours(1));
        members.start(now);
        node.start(now);
        node.on_head(head{1, id, "c"}, true, now);
        node.on_manifest(id, tree, now);
        EXPECT_EQ(reads, documents == 5 ? 5U : 0U);
        for (int i = 0; i < 21; ++i) {
            now += milliseconds(50);
            node.tick(now);
        }
        EXPECT_EQ(reads, documents);
    }
}

} // namespace agatespread
