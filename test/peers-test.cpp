#include <agatespread/peers.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));

peer_report report_of(const std::string& node, std::uint64_t sequence,
                      std::uint64_t incarnation = 1)
{
    peer_report report;
    report.entry = {node, "cairo", "rounds", "10.0.0.1:1", "10.0.0.1:2"};
    report.incarnation = incarnation;
    report.sequence = sequence;
    report.state = upstream_state::ready;
    report.load.running = 3;
    report.load.queued = 1;
    report.load.slots = 9;
    report.load.service_time = milliseconds(90);
    report.in_force = 4;
    return report;
}

peers directory()
{
    return peers("own", "cairo", {});
}

} // namespace

// Guards against results that a node cannot read, and against reports that grow where nothing
// depends on them.
TEST(peers, results_by_rule_are_reported_and_summed)
{
    peer_report report = report_of("a", 7);
    EXPECT_EQ(encode_report(report).find("ay\x81"), std::string::npos);
    report.runs = {{21, 18, 3, 450, 0}, {22, 1, 0, 0, 100}};
    const absl::StatusOr<peer_report> read = decode_report(encode_report(report));
    ASSERT_TRUE(read.ok()) << read.status();
    peers others = directory();
    const time_point now{std::chrono::seconds(100)};
    others.receive(*read, now);
    const std::vector<run_count> runs = others.runs_of("rounds", 21, now);
    ASSERT_EQ(runs.size(), 1U);
    EXPECT_EQ(runs[0].ended, 18U);
    EXPECT_EQ(runs[0].failed, 3U);
    EXPECT_DOUBLE_EQ(others.arrivals_of(21, now).expected, 4.5);
    EXPECT_DOUBLE_EQ(others.arrivals_of(22, now).seen, 1);
    EXPECT_TRUE(others.runs_of("other", 21, now).empty());
    EXPECT_TRUE(others.runs_of("rounds", 21, now + std::chrono::seconds(5)).empty());
}

// Guards against refusals that count as made with free slots because of an upstream that may not
// receive requests, or because a queue counts as free slots of another upstream.
TEST(peers, free_slots_are_those_of_upstreams_that_may_receive_requests)
{
    peers others = directory();
    peer_report full = report_of("a", 1);
    full.load.running = 9;
    full.load.queued = 7;
    peer_report leaving = report_of("b", 1);
    leaving.state = upstream_state::draining;
    for (const peer_report& each : {full, leaving, report_of("c", 1)}) {
        others.receive(each, start);
    }
    EXPECT_EQ(others.slots_of("rounds", start).slots, 18U);
    EXPECT_EQ(others.slots_of("rounds", start).free, 5U);
    EXPECT_EQ(others.slots_of("other", start).slots, 0U);
}

// Guards against a peer that loses requests and appears near, because only responses tell the
// time to a peer: it got most of the requests of the others.
TEST(peers, peer_that_does_not_respond_counts_as_far)
{
    peers others = directory();
    others.receive(report_of("a", 1), start);
    others.record_silence("a", milliseconds(450), start);
    EXPECT_EQ(others.eligible("rounds", start).at(0).transit, milliseconds(450));
    others.record_silence("a", milliseconds(40), start);
    EXPECT_EQ(others.eligible("rounds", start).at(0).transit, milliseconds(450));
    others.record_response("a", {}, milliseconds(10), start);
    EXPECT_LT(others.eligible("rounds", start).at(0).transit, milliseconds(450));
    others.receive(report_of("a", 2), start + seconds(1));
    EXPECT_EQ(others.eligible("rounds", start + seconds(1)).at(0).transit.count(), 0);
}

TEST(peers, report_is_equal_after_encoding_and_decoding)
{
    peer_report report = report_of("a", 7);
    report.load.link_delay = milliseconds(7);
    report.load.failure_ratio = 0.25;
    report.load.transmission_time = milliseconds(6);
    report.load.wait = milliseconds(5);
    report.load.kinds = {
        {{21, milliseconds(40), milliseconds(1)}, {22, milliseconds(140), milliseconds(75)}}};
    report.can_read_platform = false;
    report.platform_era = 3;
    report.crashes.push_back({11, 2, true, milliseconds(600000), {12, 13}});
    report.version = "2.1";
    report.results = upstream_results{9, 2, {{21, 9, 2, 7, std::chrono::microseconds(77)}}};
    rollout_state rollout;
    rollout.order = {"rounds", "2.1", milliseconds(14000)};
    rollout.generation = 3;
    rollout.phase = rollout_phase::closing;
    rollout.halted = true;
    rollout.age = milliseconds(8800);
    report.rollouts = {rollout};
    const absl::StatusOr<peer_report> read = decode_report(encode_report(report));
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_TRUE(read->entry == report.entry);
    EXPECT_EQ(read->version, "2.1");
    ASSERT_TRUE(read->results && read->results->kinds.size() == 1);
    EXPECT_EQ(read->results->answered, 9U);
    EXPECT_EQ(read->results->failed, 2U);
    EXPECT_EQ(read->results->kinds[0].timed, 7U);
    EXPECT_EQ(read->results->kinds[0].total_time, std::chrono::microseconds(77));
    ASSERT_EQ(read->rollouts.size(), 1U);
    EXPECT_TRUE(read->rollouts[0].order == rollout.order);
    EXPECT_EQ(read->rollouts[0].generation, 3U);
    EXPECT_EQ(read->rollouts[0].phase, rollout_phase::closing);
    EXPECT_TRUE(read->rollouts[0].halted);
    EXPECT_EQ(read->rollouts[0].age, milliseconds(8800));
    EXPECT_EQ(read->incarnation, 1U);
    EXPECT_EQ(read->sequence, 7U);
    EXPECT_EQ(read->state, upstream_state::ready);
    EXPECT_EQ(read->load.running, 3U);
    EXPECT_EQ(read->load.queued, 1U);
    EXPECT_EQ(read->load.slots, 9U);
    EXPECT_EQ(read->load.service_time, milliseconds(90));
    EXPECT_EQ(read->load.link_delay, milliseconds(7));
    EXPECT_DOUBLE_EQ(read->load.failure_ratio, 0.25);
    EXPECT_EQ(read->load.transmission_time, milliseconds(6));
    EXPECT_EQ(read->load.wait, milliseconds(5));
    EXPECT_EQ(read->load.kinds[0].kind, 21U);
    EXPECT_EQ(read->load.kinds[1].kind, 22U);
    EXPECT_EQ(read->load.kinds[1].mean, milliseconds(140));
    EXPECT_EQ(read->load.kinds[1].transmission_time, milliseconds(75));
    EXPECT_EQ(read->load.kinds[2].kind, 0U);
    EXPECT_FALSE(read->can_read_platform);
    EXPECT_EQ(read->in_force, 4U);
    EXPECT_EQ(read->platform_era, 3U);
    ASSERT_EQ(read->crashes.size(), 1U);
    EXPECT_EQ(read->crashes[0].fingerprint, 11U);
    EXPECT_EQ(read->crashes[0].crashes, 2U);
    EXPECT_TRUE(read->crashes[0].cleared);
    EXPECT_EQ(read->crashes[0].blocked_for, milliseconds(600000));
    EXPECT_EQ(read->crashes[0].suspects, (std::vector<std::uint64_t>{12, 13}));
}

// Guards against a malformed datagram that crashes the process or is partly applied.
TEST(peers, corrupt_reports_are_rejected)
{
    const std::string encoded = encode_report(report_of("a", 7));
    std::mt19937_64 engine(7);
    int rejected = 0;
    for (int round = 0; round < 2000; ++round) {
        std::string bytes = encoded;
        bytes[engine() % bytes.size()] = static_cast<char>(engine());
        bytes.resize(bytes.size() - engine() % 2);
        rejected += decode_report(bytes).ok() ? 0 : 1;
    }
    EXPECT_GT(rejected, 500);
    EXPECT_FALSE(decode_report("").ok());
    EXPECT_FALSE(decode_report(encoded.substr(0, encoded.size() / 2)).ok());
    EXPECT_FALSE(decode_entry(std::string(40, '\0')).ok());
}

// Guards against an entry or a report of another writer that ends the process by its nesting.
TEST(peers, deeply_nested_messages_are_rejected)
{
    constexpr std::size_t depth = 60000; // A row may have 65,536 bytes.
    const std::string arrays(depth, '\x81');
    const std::string endless_arrays(depth, '\x9f');
    std::string maps;
    for (std::size_t level = 0; level < depth / 3; ++level) {
        maps += "\xa1\x61n"; // A map with the key "n".
    }
    for (const std::string& nested : {arrays, endless_arrays, maps}) {
        EXPECT_FALSE(decode_entry(nested).ok());
        EXPECT_FALSE(decode_report(nested).ok());
        EXPECT_FALSE(decode_entry("\xa1\x61n" + nested).ok());
        EXPECT_FALSE(decode_report("\xa1\x61x" + nested).ok());
    }
}

// Guards against numbers that are cut to another value when they are read.
TEST(peers, numbers_out_of_range_are_rejected)
{
    const auto with = [](const char* field, std::uint64_t number) {
        nlohmann::json value = nlohmann::json::from_cbor(encode_report(report_of("a", 7)));
        value[field] = number;
        std::string bytes;
        nlohmann::json::to_cbor(value, bytes);
        return bytes;
    };
    constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    for (const char* const field : {"u", "w", "l", "m", "k", "i", "a", "t", "e"}) {
        EXPECT_FALSE(decode_report(with(field, largest)).ok()) << field;
    }
    EXPECT_FALSE(decode_report(with("l", std::uint64_t(1) << 32U)).ok());
    EXPECT_TRUE(decode_report(with("l", 1)).ok());
}

// Guards against numbers that would count as failures of a version, and against unknown phases.
TEST(peers, malformed_results_and_rollouts_are_rejected)
{
    const auto with = [](const char* field, const nlohmann::json& content) {
        nlohmann::json value = nlohmann::json::from_cbor(encode_report(report_of("a", 7)));
        value[field] = content;
        std::string bytes;
        nlohmann::json::to_cbor(value, bytes);
        return decode_report(bytes).ok();
    };
    EXPECT_TRUE(with("z", {9U, 2U, 21U, 9U, 2U, 7U, 77U}));
    EXPECT_FALSE(with("z", {9U}));
    EXPECT_FALSE(with("z", {2U, 9U}));
    EXPECT_FALSE(with("z", {9U, 2U, 21U}));
    EXPECT_FALSE(with("z", {9U, 2U, 21U, 9U, 2U, 8U, 77U}));
    EXPECT_FALSE(with("z", {9U, 2U, 1ULL << 32U, 9U, 2U, 7U, 77U}));
    const nlohmann::json rollout = {{"s", "rounds"}, {"t", "2"}, {"d", 1U}, {"g", 1U},
                                    {"p", 4U},       {"h", 0U},  {"a", 1U}};
    EXPECT_TRUE(with("o", nlohmann::json::array({rollout})));
    for (const char* const field : {"s", "t", "d", "g", "p", "h", "a"}) {
        nlohmann::json incomplete = rollout;
        incomplete.erase(field);
        EXPECT_FALSE(with("o", nlohmann::json::array({incomplete}))) << field;
    }
    nlohmann::json unknown = rollout;
    unknown["p"] = 5U;
    EXPECT_FALSE(with("o", nlohmann::json::array({unknown})));
    EXPECT_FALSE(with("o", nlohmann::json::array({7U})));
}

// Guards against an entry with an address that no connection can be opened to.
TEST(peers, entries_with_malformed_addresses_are_rejected)
{
    for (const char* const address :
         {"10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1", "", "10.0.0.1:18446744073709551617"}) {
        peer_entry entry = report_of("a", 1).entry;
        entry.call_address = address;
        EXPECT_FALSE(decode_entry(encode_entry(entry)).ok()) << address;
        entry = report_of("a", 1).entry;
        entry.report_address = address;
        EXPECT_FALSE(decode_entry(encode_entry(entry)).ok()) << address;
    }
}

// Guards against requests to nodes that have a table entry but may no longer exist.
TEST(peers, peer_is_eligible_after_its_first_report)
{
    peers peer_directory = directory();
    peer_directory.add_entry(report_of("a", 1).entry, start);
    EXPECT_TRUE(peer_directory.eligible("rounds", start).empty());
    EXPECT_EQ(peer_directory.in_domain(true).size(), 1U);
    EXPECT_TRUE(peer_directory.in_domain(false).empty());
    EXPECT_TRUE(peer_directory.receive(report_of("a", 1), start));
    ASSERT_EQ(peer_directory.eligible("rounds", start).size(), 1U);
    EXPECT_TRUE(peer_directory.eligible("rounds", start)[0].local_domain);
    EXPECT_TRUE(peer_directory.eligible("orders", start).empty());
}

// Guards against requests that time out at a host that lost power or is partitioned.
TEST(peers, peer_without_recent_reports_is_not_eligible)
{
    peers peer_directory = directory();
    peer_directory.receive(report_of("a", 1), start);
    EXPECT_EQ(peer_directory.eligible("rounds", start + milliseconds(340)).size(), 1U);
    EXPECT_TRUE(peer_directory.eligible("rounds", start + milliseconds(360)).empty());
    peer_directory.receive(report_of("a", 2), start + seconds(5));
    EXPECT_EQ(peer_directory.eligible("rounds", start + seconds(5)).size(), 1U);
}

// Guards against a delayed report that makes a draining upstream eligible again, and against
// ignoring the reports of a restarted process, whose sequence starts again.
TEST(peers, outdated_reports_are_ignored_and_new_incarnations_accepted)
{
    peers peer_directory = directory();
    peer_report draining = report_of("a", 9);
    draining.state = upstream_state::draining;
    EXPECT_TRUE(peer_directory.receive(draining, start));
    EXPECT_FALSE(peer_directory.receive(report_of("a", 8), start));
    EXPECT_TRUE(peer_directory.eligible("rounds", start).empty());
    EXPECT_TRUE(peer_directory.receive(report_of("a", 1, 2), start));
    EXPECT_EQ(peer_directory.eligible("rounds", start).size(), 1U);
}

TEST(peers, failed_peer_is_not_eligible_until_its_next_report)
{
    peers peer_directory = directory();
    peer_directory.receive(report_of("a", 1), start);
    peer_directory.record_failure("a", start);
    EXPECT_TRUE(peer_directory.eligible("rounds", start).empty());
    peer_directory.receive(report_of("a", 2), start);
    EXPECT_EQ(peer_directory.eligible("rounds", start).size(), 1U);
}

TEST(peers, sent_requests_are_counted_until_the_next_load_update)
{
    peers peer_directory = directory();
    peer_directory.receive(report_of("a", 1), start);
    peer_directory.record_sent("a");
    peer_directory.record_sent("a");
    EXPECT_EQ(peer_directory.eligible("rounds", start)[0].sent_since_report, 2U);
    peer_directory.record_response("a", {5, 0, 9, milliseconds(80)}, milliseconds(2), start);
    EXPECT_EQ(peer_directory.eligible("rounds", start)[0].sent_since_report, 0U);
    EXPECT_EQ(peer_directory.eligible("rounds", start)[0].load.running, 5U);
}

// Guards against requests to a host whose link is saturated by large responses: the transit time is
// used while it is recent, and the peer is tried again afterwards.
TEST(peers, transit_time_is_measured_and_expires)
{
    peers peer_directory = directory();
    peer_directory.receive(report_of("a", 1), start);
    EXPECT_EQ(peer_directory.eligible("rounds", start)[0].transit, milliseconds(0));
    for (int i = 0; i < 30; ++i) {
        peer_directory.record_response("a", {5, 0, 9, milliseconds(80)}, milliseconds(200), start);
    }
    EXPECT_GT(peer_directory.eligible("rounds", start)[0].transit, milliseconds(190));
    peer_directory.receive(report_of("a", 2), start + seconds(1));
    EXPECT_EQ(peer_directory.eligible("rounds", start + seconds(1))[0].transit, milliseconds(0));
}

TEST(peers, highest_reported_version_is_found)
{
    peers peer_directory = directory();
    peer_report newer = report_of("b", 1);
    newer.in_force = 9;
    peer_report remote = report_of("c", 1);
    remote.in_force = 9;
    remote.entry.failure_domain = "alex";
    peer_directory.receive(report_of("a", 1), start);
    peer_directory.receive(newer, start);
    peer_directory.receive(remote, start);
    ASSERT_EQ(peer_directory.ahead_of(3, true, {}, start).size(), 1U);
    EXPECT_EQ(peer_directory.ahead_of(3, true, {}, start)[0].node, "b");
    ASSERT_EQ(peer_directory.ahead_of(3, false, {}, start).size(), 1U);
    EXPECT_EQ(peer_directory.ahead_of(3, false, {}, start)[0].node, "c");
    EXPECT_TRUE(peer_directory.ahead_of(9, true, {}, start).empty());
    EXPECT_TRUE(peer_directory.ahead_of(4, true, {}, start + seconds(5)).empty());
}

// Guards against a node that asks nobody while the only peer with the newest version is silent.
TEST(peers, peers_with_an_older_version_are_asked_after_those_with_the_newest)
{
    peers peer_directory = directory();
    const std::vector<std::pair<std::string, config_version>> versions = {
        {"a", 9}, {"b", 8}, {"c", 7}, {"d", 3}};
    for (const std::pair<std::string, config_version>& each : versions) {
        peer_report report = report_of(each.first, 1);
        report.in_force = each.second;
        peer_directory.receive(report, start);
    }
    ASSERT_EQ(peer_directory.ahead_of(3, true, {"a"}, start).size(), 1U);
    EXPECT_EQ(peer_directory.ahead_of(3, true, {"a"}, start)[0].node, "b");
    EXPECT_EQ(peer_directory.ahead_of(3, true, {"a", "b"}, start)[0].node, "c");
    EXPECT_TRUE(peer_directory.ahead_of(3, true, {"a", "b", "c"}, start).empty());
}

// Guards against all nodes of a large domain reading the platform, and against a domain without a
// reader after its first nodes have failed or lost the platform.
TEST(peers, first_nodes_that_can_read_are_the_readers)
{
    peers peer_directory("m", "cairo", {});
    EXPECT_TRUE(peer_directory.is_reader(2, start));
    peer_directory.receive(report_of("a", 1), start);
    EXPECT_TRUE(peer_directory.is_reader(2, start));
    peer_directory.receive(report_of("b", 1), start);
    peer_directory.receive(report_of("z", 1), start);
    EXPECT_FALSE(peer_directory.is_reader(2, start));
    peer_report disconnected = report_of("a", 2);
    disconnected.can_read_platform = false;
    peer_directory.receive(disconnected, start);
    EXPECT_TRUE(peer_directory.is_reader(2, start));
    peer_directory.receive(report_of("a", 3), start);
    EXPECT_FALSE(peer_directory.is_reader(2, start));
    EXPECT_TRUE(peer_directory.is_reader(2, start + seconds(1)));
}

// Guards against a mesh that starts, or a node that restarts, of which each node polls the platform
// because it has not heard of the others yet, and against entries of hosts that are gone.
TEST(peers, node_whose_first_report_is_due_counts_as_a_reader)
{
    peers peer_directory("m", "cairo", {});
    for (const char* const node : {"a", "b", "c"}) {
        peer_directory.add_entry(report_of(node, 1).entry, start);
    }
    EXPECT_FALSE(peer_directory.is_reader(2, start + milliseconds(100)));
    EXPECT_TRUE(peer_directory.is_reader(2, start + milliseconds(400)));
    peer_directory.receive(report_of("a", 1), start);
    EXPECT_EQ(peer_directory.ahead_by_id(start + milliseconds(100)).able, 3U);
    EXPECT_TRUE(peer_directory.eligible("rounds", start).size() == 1);
}

// Guards against a number of reports that grows with the square of the mesh size: a node sends 60
// per second to its own failure domain and 30 to the others.
TEST(peers, report_rate_of_a_node_is_bounded)
{
    peers peer_directory = directory();
    EXPECT_EQ(peer_directory.report_period(true), milliseconds(100));
    for (int node = 0; node < 240; ++node) {
        peer_entry entry = report_of(std::to_string(node), 1).entry;
        entry.failure_domain = node < 24 ? "cairo" : "alex";
        peer_directory.add_entry(entry, start);
    }
    EXPECT_EQ(peer_directory.report_period(true), milliseconds(400));
    EXPECT_EQ(peer_directory.report_period(false), milliseconds(7200));
}

// Guards against a remote peer that becomes ineligible between two reports, as its period is
// longer.
TEST(peers, remote_peers_are_eligible_for_their_own_period)
{
    peers peer_directory = directory();
    for (int node = 0; node < 60; ++node) {
        peer_report report = report_of(std::to_string(node), 1);
        report.entry.failure_domain = "alex";
        peer_directory.receive(report, start);
    }
    EXPECT_EQ(peer_directory.eligible("rounds", start + milliseconds(6000)).size(), 60U);
    EXPECT_TRUE(peer_directory.eligible("rounds", start + milliseconds(6100)).empty());
}

TEST(peers, removed_entry_of_a_reporting_peer_is_kept)
{
    peers peer_directory = directory();
    peer_directory.receive(report_of("a", 1), start);
    peer_directory.remove("a", start);
    EXPECT_EQ(peer_directory.size(), 2U);
    peer_directory.remove("a", start + seconds(5));
    EXPECT_EQ(peer_directory.size(), 1U);
}

TEST(peers, peers_without_reports_expire)
{
    peers peer_directory = directory();
    peer_directory.receive(report_of("a", 1), start);
    peer_directory.expire(start + std::chrono::minutes(9));
    EXPECT_EQ(peer_directory.size(), 2U);
    peer_directory.expire(start + std::chrono::minutes(11));
    EXPECT_EQ(peer_directory.size(), 1U);
}

namespace {

constexpr std::size_t readers_per_domain = 2;

/// Nodes that tell each other of a new version and fetch it from the node that told them.
class version_model {
public:
    version_model(std::size_t domains, std::size_t nodes_per_domain) : domains_(domains)
    {
        for (std::size_t own = 0; own < domains * nodes_per_domain; ++own) {
            nodes_.emplace_back(name_of(own), domain_of(own), peer_options());
            for (std::size_t other = 0; other < domains * nodes_per_domain; ++other) {
                peer_report report = report_of(name_of(other), 1);
                report.entry.failure_domain = domain_of(other);
                nodes_.back().receive(report, start);
            }
        }
    }

    /// Gives a version to the readers of all domains but `cut_off`; returns how many nodes got it.
    std::size_t spread(const std::string& cut_off)
    {
        std::vector<bool> informed(nodes_.size(), false);
        std::vector<std::size_t> pending;
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            if (nodes_[node].is_reader(readers_per_domain, start) && domain_of(node) != cut_off) {
                informed[node] = true;
                pending.push_back(node);
            }
        }
        while (!pending.empty()) {
            const std::size_t sender = pending.back();
            pending.pop_back();
            const bool is_reader = nodes_[sender].is_reader(readers_per_domain, start);
            for (const peer_entry& to :
                 nodes_[sender].version_recipients(is_reader, random_, start)) {
                datagrams_between_domains_ += to.failure_domain == domain_of(sender) ? 0 : 1;
                const std::size_t receiver = std::stoul(to.node);
                if (!informed[receiver]) {
                    informed[receiver] = true;
                    pending.push_back(receiver);
                }
            }
        }
        return static_cast<std::size_t>(std::count(informed.begin(), informed.end(), true));
    }

    std::size_t datagrams_between_domains() const { return datagrams_between_domains_; }

private:
    std::string name_of(std::size_t node) const
    {
        std::string digits = std::to_string(node);
        return std::string(4 - digits.size(), '0') + digits; // Ordered by number.
    }

    std::string domain_of(std::size_t node) const
    {
        return "domain-" + std::to_string(node % domains_);
    }

    const std::size_t domains_;
    std::vector<peers> nodes_;
    std::mt19937_64 engine_{1};
    random_source random_ = [this] { return engine_(); };
    std::size_t datagrams_between_domains_ = 0;
};

} // namespace

// Guards against one datagram from each node to each other one for a version.
TEST(peers, version_reaches_all_nodes_and_few_datagrams_cross_domains)
{
    constexpr std::size_t domains = 5;
    const std::size_t limit =
        domains * (domains - 1) * readers_per_domain * peer_options().remote_recipients;
    for (const std::size_t nodes_per_domain : {6U, 39U}) {
        version_model model(domains, nodes_per_domain);
        EXPECT_EQ(model.spread(""), domains * nodes_per_domain);
        EXPECT_LE(model.datagrams_between_domains(), limit) << nodes_per_domain;
    }
}

TEST(peers, version_reaches_a_domain_whose_readers_are_cut_off)
{
    constexpr std::size_t domains = 5;
    version_model model(domains, 39);
    EXPECT_EQ(model.spread("domain-3"), domains * 39);
}

TEST(peers, peers_without_a_recent_report_are_unheard)
{
    peers others = directory();
    others.receive(report_of("a", 1), start);
    others.add_entry(report_of("b", 1).entry, start);
    ASSERT_EQ(others.unheard(start).size(), 1U);
    EXPECT_EQ(others.unheard(start)[0].node, "b");
    EXPECT_EQ(others.unheard(start + seconds(5)).size(), 2U);
}

namespace {

/// A node in one of several failure domains of equal size, which receives the reports of all nodes
/// of the other domains.
class report_model {
public:
    /// All nodes start within 300 ms.
    report_model(std::size_t domains, std::size_t nodes_per_domain, double loss, std::uint64_t seed)
        : receiver_("receiver", domain_of(0), {}), loss_(loss), engine_(seed)
    {
        std::vector<peer_report> reports;
        for (std::size_t node = 0; node < domains * nodes_per_domain; ++node) {
            reports.push_back(report_of("node-" + std::to_string(node), 1));
            reports.back().entry.failure_domain = domain_of(node % domains);
        }
        for (std::size_t node = 0; node < reports.size(); ++node) {
            const std::string& own_domain = reports[node].entry.failure_domain;
            senders_.push_back({reports[node], peers(reports[node].entry.node, own_domain, {}),
                                start + milliseconds(engine_() % 300)});
            for (const peer_report& other : reports) {
                senders_.back().directory.add_entry(other.entry, start);
            }
            senders_.back().directory.add_entry({"receiver", domain_of(0), "rounds", "", ""},
                                                start);
            receiver_.receive(reports[node], start);
        }
    }

    static std::string domain_of(std::size_t number) { return "domain-" + std::to_string(number); }

    void cut_off(const std::string& failure_domain) { cut_off_ = failure_domain; }

    /// Delivers the reports of the other domains in steps of 10 ms, and calls `on_step` after each.
    template <typename Step>
    void run(milliseconds duration, const Step& on_step)
    {
        constexpr milliseconds step{10};
        for (const time_point end = now_ + duration; now_ < end; now_ += step) {
            std::size_t received = 0;
            for (sender& each : senders_) {
                received += deliver(each) ? 1 : 0;
            }
            most_in_a_step_ = std::max(most_in_a_step_, received);
            on_step();
        }
    }

    /// Returns how many nodes of a failure domain may receive requests.
    std::size_t eligible_in(std::size_t number) const
    {
        const std::vector<eligible_peer> all = receiver_.eligible("rounds", now_);
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const eligible_peer& each) {
                return senders_[std::stoul(each.node.substr(5))].report.entry.failure_domain ==
                       domain_of(number);
            }));
    }

    std::size_t most_in_a_step() const { return most_in_a_step_; }

private:
    struct sender {
        peer_report report;
        peers directory;
        time_point next;
    };

    bool deliver(sender& from)
    {
        const std::string& own_domain = from.report.entry.failure_domain;
        if (own_domain == domain_of(0) || now_ < from.next) {
            return false;
        }
        const milliseconds interval = from.directory.report_interval(false);
        from.next += interval;
        for (const peer_entry& to : from.directory.next_recipients(false, interval)) {
            const bool lost = static_cast<double>(engine_() % 1000) < loss_ * 1000;
            if (to.node == "receiver" && own_domain != cut_off_ && !lost) {
                ++from.report.sequence;
                receiver_.receive(from.report, now_);
                return true;
            }
        }
        return false;
    }

    peers receiver_;
    std::vector<sender> senders_;
    const double loss_;
    std::mt19937_64 engine_;
    std::string cut_off_;
    std::size_t most_in_a_step_ = 0;
    time_point now_ = start;
};

struct mesh_size {
    std::size_t domains;
    std::size_t nodes_per_domain;
};

constexpr mesh_size mesh_sizes[] = {{3, 4}, {3, 10}, {3, 25}, {5, 40}};

} // namespace

// Replays a failure domain that is cut off. Guards against a domain whose nodes stay in use until
// the reports of each of them are overdue, 16 s with five domains of 40.
TEST(peers, domain_that_is_cut_off_is_out_of_use_within_two_seconds)
{
    for (const mesh_size& size : mesh_sizes) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            report_model model(size.domains, size.nodes_per_domain, 0.0005, seed);
            model.run(seconds(12), [] {});
            ASSERT_GT(model.eligible_in(1), 0U);
            model.cut_off(report_model::domain_of(1));
            model.run(seconds(2), [] {});
            EXPECT_EQ(model.eligible_in(1), 0U) << size.nodes_per_domain << " seed " << seed;
            EXPECT_EQ(model.eligible_in(2), size.nodes_per_domain) << seed;
            model.cut_off("");
            model.run(seconds(1), [] {});
            EXPECT_GT(model.eligible_in(1), 0U) << size.nodes_per_domain << " seed " << seed;
        }
    }
}

// Guards against domains that are taken for lost, so that their slots stay idle, because links lose
// half of the reports.
TEST(peers, domain_is_in_use_although_half_of_its_reports_are_lost)
{
    constexpr double half = 0.5;
    for (const mesh_size& size : mesh_sizes) {
        report_model model(size.domains, size.nodes_per_domain, half, 1);
        std::size_t steps = 0;
        std::size_t without = 0;
        model.run(seconds(12), [] {});
        model.run(seconds(30), [&] {
            ++steps;
            without += model.eligible_in(1) == 0 ? 1 : 0;
        });
        EXPECT_LE(without * 100, steps) << size.nodes_per_domain;
    }
}

// Replays the start of a mesh, after which all nodes reported to all others at the same moment, in
// bursts that delayed requests on slow links and hosts.
TEST(peers, reports_do_not_arrive_in_bursts)
{
    report_model model(5, 40, 0, 1);
    model.run(seconds(12), [] {});
    EXPECT_LE(model.most_in_a_step(), 16U); // A tenth of the 160 senders.
}

TEST(peers, each_peer_gets_a_report_in_each_period)
{
    peers sender("own", "cairo", {});
    for (int node = 0; node < 100; ++node) {
        peer_entry entry = report_of(std::to_string(node), 1).entry;
        entry.failure_domain = node < 20 ? "cairo" : "alex";
        sender.add_entry(entry, start);
    }
    std::map<node_id, int> received;
    const milliseconds interval = sender.report_interval(false);
    const int calls = static_cast<int>(3 * sender.report_period(false) / interval);
    for (int call = 0; call < calls; ++call) {
        for (const peer_entry& to : sender.next_recipients(false, interval)) {
            ++received[to.node];
        }
    }
    EXPECT_EQ(received.size(), 80U);
    for (const std::pair<const node_id, int>& each : received) {
        EXPECT_GE(each.second, 2) << each.first;
        EXPECT_LE(each.second, 3) << each.first;
    }
    EXPECT_LE(sender.next_recipients(false, std::chrono::hours(1)).size(), 80U);
    EXPECT_EQ(sender.next_recipients(true, sender.report_period(true)).size(), 20U);
}

} // namespace agatespread
