#include <agatespread/command_line.h>

#include <gtest/gtest.h>
#include <unistd.h>

#include <deque>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace agatespread {

namespace {

/// The environment of one command line, with a node that returns prepared responses.
struct fake_process {
    std::ostringstream out;
    std::ostringstream err;
    std::deque<http_result> responses;
    std::vector<std::string> calls; ///< Method, target and body of each request.
    std::map<std::string, std::string> variables{{"AGATESPREAD_NODE", "127.0.0.1:9090"},
                                                 {"AGATESPREAD_KEY", "alice"},
                                                 {"AGATESPREAD_SECRET", "0123456789abcdef"}};
    time_point now{std::chrono::hours(1)};

    void add_response(int status, std::string body)
    {
        responses.push_back({http_outcome::answered, true, {status, {}, std::move(body)}, ""});
    }

    int run(const std::vector<std::string>& arguments)
    {
        const command_environment environment{
            out,
            err,
            [this](const http_call& call) { return handle_call(call); },
            [] { return std::chrono::system_clock::time_point(std::chrono::seconds(1)); },
            [] { return 0xabcU; },
            [this](const std::string& name) { return variables[name]; },
            [this] { return now; },
            [this](std::chrono::milliseconds time) { now += time; }};
        return static_cast<int>(run_command_line(arguments, environment));
    }

private:
    http_result handle_call(const http_call& call)
    {
        calls.push_back(call.request.method + " " + call.request.target + " " +
                        call.request.body.bytes());
        if (responses.empty()) {
            return {http_outcome::not_sent, false, {}, "connection refused"};
        }
        http_result next = responses.front();
        responses.pop_front();
        return next;
    }
};

std::string write_file(const std::string& name, const std::string& text)
{
    // The process id keeps test processes that run in parallel from reading a partly written file.
    std::string file = testing::TempDir() + "agatespread-" + std::to_string(getpid()) + "-" + name;
    std::ofstream(file, std::ios::binary) << text;
    return file;
}

std::string valid_file()
{
    return write_file("valid.yaml", "services: [{name: a, tenant: t}]\n");
}

std::string status_body(const std::string& lowest, const std::string& behind)
{
    return R"({"version":8,"domains":[{"failure_domain":"cairo-1","members":3,"unreachable":0,)"
           R"("lowest":)" +
           lowest + R"(,"highest":8,"behind":[)" + behind + "]}]}";
}

const std::vector<std::string> all_commands{"validate", "apply", "diff",  "show",   "history",
                                            "status",   "watch", "drain", "explain"};

} // namespace

TEST(command_line, every_command_has_help_and_json)
{
    for (const std::string& command : all_commands) {
        fake_process process;
        EXPECT_EQ(process.run({command, "--help"}), 0);
        EXPECT_EQ(process.out.str().substr(0, 19 + command.size()),
                  "usage: agatespread " + command);
        EXPECT_NE(process.out.str().find("--json"), std::string::npos) << command;
    }
    fake_process process;
    EXPECT_EQ(process.run({"--help"}), 0);
    EXPECT_EQ(process.run({"--version"}), 0);
}

TEST(command_line, wrong_arguments_are_usage_errors_without_a_call)
{
    const std::string file = valid_file();
    const std::vector<std::vector<std::string>> command_lines{
        {},
        {"aply"},
        {"validate"},
        {"validate", "no-such-folder/a.yaml"},
        {"apply", "f/t"},
        {"apply", "f/t", file, "more"},
        {"apply", "f/t", "no-such-folder/a.yaml"},
        {"apply", "f/t", file, "--change", "a/b"},
        {"apply", "f/t", file, "--change", std::string(65, 'a')},
        {"apply", "f/t", file, "--key", "A B"},
        {"apply", "f/t", file, "--key-file", "no-such-folder/key"},
        {"apply", "f/t", file, "--limit", "3"},
        {"status", "more"},
        {"status", "--nod"},
        {"status", "--node"},
        {"status", "--node", "localhost:80"},
        {"status", "--node", "127.0.0.1:0"},
        {"status", "-x"},
        {"status", "--json=1"},
        {"history", "--limit", "0"},
        {"history", "--limit", "1001"},
        {"history", "--limit", "many"},
        {"watch", "latest"},
        {"watch", "0"},
        {"watch", "7", "--timeout", "60"},
        {"drain"},
        {"explain", "f", "service"},
    };
    for (const std::vector<std::string>& line : command_lines) {
        fake_process process;
        EXPECT_EQ(process.run(line), 2) << testing::PrintToString(line);
        EXPECT_NE(process.err.str(), "") << testing::PrintToString(line);
        EXPECT_TRUE(process.calls.empty()) << testing::PrintToString(line);
    }
}

TEST(command_line, missing_node_key_or_secret_is_a_usage_error)
{
    for (const std::string name : {"AGATESPREAD_NODE", "AGATESPREAD_KEY", "AGATESPREAD_SECRET"}) {
        fake_process process;
        process.variables.erase(name);
        EXPECT_EQ(process.run({"drain", "n1"}), 2);
        EXPECT_NE(process.err.str().find(name), std::string::npos);
    }
}

TEST(command_line, validate_names_the_refused_file)
{
    fake_process process;
    const std::string bad = write_file("bad.yaml", "servces: []\n");
    EXPECT_EQ(process.run({"validate", valid_file(), bad}), 1);
    EXPECT_NE(process.out.str().find("valid.yaml: valid\n"), std::string::npos);
    EXPECT_NE(process.out.str().find("did you mean services?"), std::string::npos);
    EXPECT_EQ(process.run({"validate", valid_file()}), 0);
}

TEST(command_line, apply_prints_the_change_id_before_the_call)
{
    fake_process process;
    EXPECT_EQ(process.run({"apply", "f/t", valid_file()}), 3);
    EXPECT_EQ(process.out.str().substr(0, 40), "change 0000000000000abc0000000000000abc\n");
    EXPECT_NE(process.out.str().find("--change 0000000000000abc0000000000000abc"),
              std::string::npos);
    process.add_response(200, R"({"version":8,"change":"c1","repeated":true})");
    EXPECT_EQ(process.run({"apply", "f/t", valid_file(), "--change", "c1"}), 0);
    EXPECT_EQ(process.calls.back(), "POST /v1/apply?subtree=f%2Ft&change=c1 "
                                    R"({"services":[{"name":"a","tenant":"t"}]})");
    EXPECT_NE(process.out.str().find("change c1\nversion 8 accepted by an earlier apply\n"),
              std::string::npos);
}

TEST(command_line, json_output_of_apply_keeps_every_field_of_the_response)
{
    fake_process process;
    process.add_response(200,
                         R"({"version":8,"change":"c1","repeated":false,"accepted_unix_ms":5})");
    EXPECT_EQ(process.run({"apply", "f/t", valid_file(), "--change", "c1", "--json"}), 0);
    EXPECT_EQ(process.out.str(),
              "{\"change\":\"c1\"}\n"
              "{\"accepted_unix_ms\":5,\"change\":\"c1\",\"repeated\":false,\"version\":8}\n");
}

TEST(command_line, exit_codes_distinguish_refused_from_unreachable_and_unknown)
{
    const std::vector<std::pair<std::string, int>> ends{
        {"conflict", 1},  {"refused", 1},     {"unauthorized", 1},
        {"not_found", 1}, {"unavailable", 3}, {"outcome_unknown", 3},
    };
    for (const std::pair<std::string, int>& end : ends) {
        fake_process process;
        process.add_response(500, R"({"error":{"reason":")" + end.first +
                                      R"(","message":"a\u001b[1m"}})");
        EXPECT_EQ(process.run({"drain", "n1"}), end.second) << end.first;
        EXPECT_EQ(process.err.str(), "agatespread: " + end.first + ": a?[1m\n");
    }
    fake_process process;
    process.add_response(409, R"({"error":{"reason":"conflict","message":"m"}})");
    EXPECT_EQ(process.run({"drain", "n1", "--json"}), 1);
    EXPECT_EQ(process.out.str(), "{\"error\":{\"message\":\"m\",\"reason\":\"conflict\"}}\n");
}

TEST(command_line, a_refused_document_is_not_sent)
{
    fake_process process;
    const std::string bad = write_file("bad.yaml", "servces: []\n");
    EXPECT_EQ(process.run({"apply", "f/t", bad}), 1);
    EXPECT_EQ(process.run({"apply", "f", valid_file()}), 1);
    EXPECT_TRUE(process.calls.empty());
}

TEST(command_line, diff_names_the_entries_that_differ)
{
    fake_process process;
    process.add_response(200,
                         R"({"version":8,"subtrees":{"f/t":{"services":[{"name":"a","tenant":"u"},)"
                         R"({"name":"b","tenant":"t"}]}}})");
    EXPECT_EQ(process.run({"diff", "f/t", valid_file()}), 0);
    EXPECT_EQ(process.out.str(), "~ services a: tenant \"u\" -> \"t\"\n"
                                 "- services b: {\"name\":\"b\",\"tenant\":\"t\"}\n");
    fake_process absent;
    absent.add_response(404, R"({"error":{"reason":"not_found","message":"none"}})");
    EXPECT_EQ(absent.run({"diff", "f/t", valid_file()}), 0);
    EXPECT_EQ(absent.out.str(), "+ services a: {\"name\":\"a\",\"tenant\":\"t\"}\n");
}

TEST(command_line, show_prints_text_that_can_be_applied_again)
{
    fake_process process;
    process.add_response(200, R"({"version":8,"subtrees":{"f/t":{"services":[]}}})");
    EXPECT_EQ(process.run({"show"}), 0);
    EXPECT_EQ(process.out.str(), "# version 8\n# f/t\n{\n  \"services\": []\n}\n");
    EXPECT_EQ(canonical_subtree(process.out.str(), "shown").value_or(""), R"({"services":[]})");
}

TEST(command_line, watch_ends_when_the_version_is_in_force_everywhere)
{
    fake_process process;
    process.add_response(200, status_body("7", R"({"node":"n1","version":7,"reason":""})"));
    process.add_response(503, R"({"error":{"reason":"unavailable","message":"no reader"}})");
    process.add_response(200, status_body("8", ""));
    EXPECT_EQ(process.run({"watch", "8"}), 0);
    EXPECT_EQ(process.calls.size(), 3U);
    EXPECT_NE(process.out.str().find("version 8 is in force on all reachable nodes\n"),
              std::string::npos);
}

TEST(command_line, watch_names_nodes_that_refused_or_are_unreachable)
{
    fake_process process;
    process.add_response(200,
                         status_body("6", R"({"node":"n1","version":6,"reason":"unreachable"})"));
    EXPECT_EQ(process.run({"watch", "8"}), 0);
    EXPECT_NE(process.out.str().find("not in force: n1 in cairo-1 is at version 6: unreachable"),
              std::string::npos);
    process.add_response(200,
                         status_body("7", R"({"node":"n2","version":7,"reason":"bad object"})"));
    EXPECT_EQ(process.run({"watch", "8"}), 1);
    EXPECT_NE(process.out.str().find("n2 in cairo-1 is at version 7: bad object"),
              std::string::npos);
}

// Guards against showing a version as in force in a failure domain that is not reachable.
TEST(command_line, watch_shows_an_unreachable_failure_domain)
{
    fake_process process;
    process.add_response(200, R"({"version":8,"domains":[)"
                              R"({"failure_domain":"cairo-1","members":3,"unreachable":0,)"
                              R"("lowest":8,"highest":8,"behind":[]},)"
                              R"({"failure_domain":"west-1","members":2,"unreachable":2,)"
                              R"("lowest":0,"highest":0,"behind":[]}]})");
    EXPECT_EQ(process.run({"watch", "8"}), 0);
    EXPECT_NE(process.out.str().find("west-1: unreachable, 2 nodes"), std::string::npos);
    EXPECT_NE(process.out.str().find("cairo-1: in force"), std::string::npos);
}

// Guards against a watch that ends with success on a status older than the watched version.
TEST(command_line, watch_fails_after_its_timeout)
{
    fake_process process;
    for (int i = 0; i < 10; ++i) {
        process.add_response(200, status_body("8", ""));
    }
    EXPECT_EQ(process.run({"watch", "9", "--timeout", "1s"}), 3);
    EXPECT_EQ(process.calls.size(), 5U);
    EXPECT_NE(process.err.str().find("within 1000 ms"), std::string::npos);
}

TEST(command_line, status_history_explain_and_drain_print_their_lines)
{
    fake_process process;
    process.add_response(200, status_body("7", R"({"node":"n1","version":7,"reason":""})"));
    process.add_response(200, R"({"versions":[{"version":8,"change":"c1","subtree":"f/t",)"
                              R"("operator":"alice","manifest":"0123456789abcdef"}]})");
    process.add_response(200, R"({"lines":["first","second"]})");
    process.add_response(200, R"({"target":"n1","state":"draining"})");
    EXPECT_EQ(process.run({"status"}), 0);
    EXPECT_EQ(process.run({"history", "--limit", "1"}), 0);
    EXPECT_EQ(process.run({"explain", "f", "a", "/x"}), 0);
    EXPECT_EQ(process.run({"drain", "n1"}), 0);
    EXPECT_EQ(process.out.str(), "version 8\n"
                                 "cairo-1: 3 nodes, 0 unreachable, versions 7 to 8\n"
                                 "  n1 in cairo-1 is at version 7\n"
                                 "       8  f/t  by alice  change c1  manifest 0123456789ab\n"
                                 "first\nsecond\n"
                                 "n1 is draining\n");
}

} // namespace agatespread
