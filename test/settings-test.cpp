#include <agatespread/settings.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace agatespread {

namespace {

constexpr const char* required_yaml = "node: node-1\n"
                                      "failure_domain: cairo-1\n"
                                      "fleet: nile-soy\n"
                                      "platform_address: 127.0.0.1:9000\n"
                                      "peer_keys: [{id: p1, secret: 0123456789abcdef-p}]\n";

std::string settings_error(const std::string& more)
{
    const absl::StatusOr<node_settings> settings = parse_settings(required_yaml + more, "n.yaml");
    if (settings.ok()) {
        return "accepted";
    }
    EXPECT_NE(reason_of(settings.status(), "settings"), "");
    return std::string(settings.status().message());
}

} // namespace

TEST(settings, defaults_are_those_of_the_header)
{
    const absl::StatusOr<node_settings> settings = parse_settings(required_yaml, "n.yaml");
    ASSERT_TRUE(settings.ok()) << settings.status();
    const node_settings defaults;
    EXPECT_EQ(settings->node, "node-1");
    EXPECT_EQ(settings->peer_keys.at(0).id, "p1");
    EXPECT_EQ(settings->mesh_address, defaults.mesh_address);
    EXPECT_EQ(settings->inbound_address, defaults.inbound_address);
    EXPECT_EQ(settings->peer_address, defaults.peer_address);
    EXPECT_EQ(settings->operator_address, defaults.operator_address);
    EXPECT_EQ(settings->platform_driver, defaults.platform_driver);
    EXPECT_EQ(settings->data_threads, defaults.data_threads);
    EXPECT_EQ(settings->probe_period, defaults.probe_period);
    EXPECT_EQ(settings->head_poll_period, defaults.head_poll_period);
    EXPECT_EQ(settings->announce_period, defaults.announce_period);
    EXPECT_EQ(settings->shutdown_deadline, defaults.shutdown_deadline);
    EXPECT_EQ(settings->queue_length, defaults.queue_length);
    EXPECT_EQ(settings->connections_per_upstream, defaults.connections_per_upstream);
    EXPECT_EQ(settings->max_body_bytes, defaults.max_body_bytes);
    EXPECT_EQ(settings->fault_injection, defaults.fault_injection);
    EXPECT_EQ(settings->log_level, defaults.log_level);
}

TEST(settings, all_value_types_are_parsed)
{
    const absl::StatusOr<node_settings> settings = parse_settings(
        std::string(required_yaml) + "peer_address: '[::1]:7000'\n"
                                     "seeds: [127.0.0.1:7001, '[::1]:7002']\n"
                                     "operator_keys:\n"
                                     "  - {id: k, secret: 0123456789abcdef, may_drain: true,\n"
                                     "     subtrees: [nile-soy/rounds, zborovo/*, '*']}\n"
                                     "probe_period: 500ms\n"
                                     "shutdown_deadline: 2s\n"
                                     "max_body_bytes: 512KiB\n"
                                     "data_threads: 4\n"
                                     "fault_injection: true\n"
                                     "log_level: debug\n",
        "n.yaml");
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->peer_address, "[::1]:7000");
    EXPECT_EQ(settings->seeds, (std::vector<std::string>{"127.0.0.1:7001", "[::1]:7002"}));
    EXPECT_EQ(settings->operator_keys.at(0).subtrees,
              (std::vector<std::string>{"nile-soy/rounds", "zborovo/*", "*"}));
    EXPECT_TRUE(settings->operator_keys.at(0).may_drain);
    EXPECT_EQ(settings->probe_period, std::chrono::milliseconds(500));
    EXPECT_EQ(settings->shutdown_deadline, std::chrono::seconds(2));
    EXPECT_EQ(settings->max_body_bytes, 512U << 10U);
    EXPECT_EQ(settings->data_threads, 4U);
    EXPECT_TRUE(settings->fault_injection);
    EXPECT_EQ(settings->log_level, "debug");
}

TEST(settings, misspelt_keys_are_refused_with_the_closest_key)
{
    EXPECT_EQ(settings_error("probe_perid: 1s\n"),
              "n.yaml: document: the key \"probe_perid\" is not allowed: did you mean "
              "probe_period?");
    EXPECT_EQ(
        settings_error("operator_keys: [{id: k, secret: 0123456789abcdef, may_drian: true}]\n"),
        "n.yaml: operator_keys[0]: the key \"may_drian\" is not allowed: did you mean "
        "may_drain?");
}

TEST(settings, units_and_ranges_are_checked)
{
    EXPECT_EQ(settings_error("probe_period: 500\n"),
              "n.yaml: probe_period: 500 is not allowed: 10ms to 60000ms, with the unit");
    EXPECT_EQ(settings_error("max_body_bytes: 8MB\n"),
              "n.yaml: max_body_bytes: \"8MB\" is not allowed: 1KiB to 256MiB, with the unit");
    EXPECT_EQ(settings_error("data_threads: 0\n"),
              "n.yaml: data_threads: 0 is not allowed: an integer from 1 to 64");
    EXPECT_EQ(settings_error("log_level: loud\n"),
              "n.yaml: log_level: \"loud\" is not allowed: trace, debug, info, warn or error");
    for (const char* more :
         {"probe_period: 9ms\n", "probe_period: 1 s\n", "probe_period: -1s\n",
          "max_body_bytes: 8388608\n", "max_body_bytes: 257MiB\n", "data_threads: 4.5\n",
          "data_threads: '4'\n", "data_threads: null\n", "fault_injection: 1\n",
          "queue_length: -1\n", "seeds: 127.0.0.1:1\n"}) {
        EXPECT_NE(settings_error(more).find(" is not allowed: "), std::string::npos) << more;
    }
}

TEST(settings, addresses_are_ip_and_port)
{
    for (const char* address : {"localhost:80", "127.0.0.1", "'127.0.0.1:'", "127.0.0.1:65536",
                                "127.0.0.1:080", "127.0.0.1:-1", "::1:80", "'[::1]'",
                                "'[127.0.0.1]:80'", "1.2.3:80", "256.0.0.1:80", "80"}) {
        EXPECT_NE(settings_error(std::string("mesh_address: ") + address + "\n").find("IP:port"),
                  std::string::npos)
            << address;
    }
    EXPECT_EQ(settings_error("mesh_address: 0.0.0.0:80\n"), "accepted");
    EXPECT_NE(settings_error("peer_address: 0.0.0.0:80\n").find("no unspecified IP"),
              std::string::npos);
    EXPECT_NE(settings_error("inbound_address: '[::]:80'\n").find("no unspecified IP"),
              std::string::npos);
    EXPECT_NE(settings_error("seeds: [127.0.0.1:0]\n").find("seeds[0]"), std::string::npos);
}

TEST(settings, required_keys_are_named)
{
    EXPECT_EQ(parse_settings("{}", "n.yaml").status().message().substr(0, 38),
              "n.yaml: node: no value is not allowed:");
    for (const char* key : {"node", "failure_domain", "fleet", "platform_address", "peer_keys"}) {
        std::string yaml = required_yaml;
        const std::size_t at = yaml.find(key);
        yaml.erase(at, yaml.find('\n', at) + 1 - at);
        EXPECT_NE(std::string(parse_settings(yaml, "n.yaml").status().message()).find(key),
                  std::string::npos);
    }
}

TEST(settings, repeated_key_ids_are_refused)
{
    EXPECT_EQ(settings_error("operator_keys: [{id: k, secret: 0123456789abcdef}, "
                             "{id: k, secret: 0123456789abcdeg}]\n"),
              "n.yaml: operator_keys[1].id: \"k\" is not allowed: each key id is used once");
    std::string yaml = required_yaml;
    yaml.insert(yaml.find("}]"), "}, {id: p1, secret: 0123456789abcdef-q");
    EXPECT_EQ(parse_settings(yaml, "n.yaml").status().message(),
              "n.yaml: peer_keys[1].id: \"p1\" is not allowed: each key id is used once");
}

TEST(settings, secrets_are_not_shown_in_errors)
{
    EXPECT_EQ(settings_error("operator_keys: [{id: k, secret: tell-nobody}]\n"),
              "n.yaml: operator_keys[0].secret: the value (not shown) is not allowed: text of 16 "
              "to 256 bytes");
    EXPECT_EQ(settings_error("operator_keys: [tell-nobody]\n").find("tell-nobody"),
              std::string::npos);
    EXPECT_EQ(settings_error("operator_keys: tell-nobody\n").find("tell-nobody"),
              std::string::npos);
}

TEST(settings, subtree_patterns_are_checked)
{
    for (const char* pattern : {"nile-soy", "'*/rounds'", "'**'", "nile-soy/r*", "a/b/c", "1"}) {
        EXPECT_NE(settings_error("operator_keys: [{id: k, secret: 0123456789abcdef, subtrees: [" +
                                 std::string(pattern) + "]}]\n")
                      .find("FLEET/TEAM, FLEET/* or *"),
                  std::string::npos)
            << pattern;
    }
}

TEST(settings, an_unreadable_file_is_an_error)
{
    const absl::StatusOr<node_settings> settings = load_settings("no-such-folder/n.yaml");
    EXPECT_EQ(reason_of(settings.status(), "settings"), "unreadable");
    EXPECT_EQ(reason_of(load_settings(testing::TempDir()).status(), "settings"), "unreadable");
}

TEST(settings, a_file_is_parsed_and_its_size_is_limited)
{
    const std::string file = testing::TempDir() + "agatespread-settings-test.yaml";
    std::ofstream(file) << required_yaml;
    const absl::StatusOr<node_settings> settings = load_settings(file);
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->fleet, "nile-soy");
    std::ofstream(file) << std::string(2U << 20U, '#');
    EXPECT_NE(std::string(load_settings(file).status().message()).find("1048576 bytes"),
              std::string::npos);
}

// Guards against a reference page that is out of date after a change to the settings table.
TEST(settings, the_reference_page_is_equal_to_the_table)
{
    std::ifstream stream(std::string(AGATESPREAD_SOURCE_DIR) + "/docs/settings.md");
    const std::string page((std::istreambuf_iterator<char>(stream)), {});
    if (page != settings_reference()) {
        const std::string expected = testing::TempDir() + "agatespread-settings.md";
        std::ofstream(expected) << settings_reference();
        FAIL() << "docs/settings.md differs from the table; the expected page is " << expected;
    }
}

// Guards against crashes and uncaught exceptions of the parser on arbitrary files.
RC_GTEST_PROP(settings, random_and_mutated_bytes_are_read_or_refused, (const std::string& bytes))
{
    std::string yaml = required_yaml;
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, yaml.size());
    const std::size_t length = *rc::gen::inRange<std::size_t>(0, 8);
    yaml.replace(at, length, bytes);
    for (const std::string& text : {yaml, bytes}) {
        const absl::StatusOr<node_settings> settings = parse_settings(text, "n.yaml");
        RC_ASSERT(settings.ok() || !reason_of(settings.status(), "settings").empty());
    }
}

} // namespace agatespread
