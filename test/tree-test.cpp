#include <agatespread/tree.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace agatespread {

namespace {

constexpr const char* rounds_yaml = R"(# Stop lists
services:
  - {name: rounds, tenant: nile-soy}
clusters:
  - {name: rounds-all, service: rounds, policy: least_loaded, max_ejected: 30%}
routes:
  - {service: rounds, prefix: /stops, cluster: rounds-all, class: stop-list, timeout: 800ms,
     retry: idempotent}
classes:
  - {name: stop-list, priority: 0, deadline: 1s, once: false}
imports:
  - {service: chart, from: zborovo/planner, as: chart-sk}
)";

std::string parse_error(const std::string& yaml)
{
    const absl::StatusOr<std::string> document = canonical_subtree(yaml, "a.yaml");
    if (document.ok()) {
        return "accepted: " + *document;
    }
    EXPECT_NE(reason_of(document.status(), "tree"), "");
    return std::string(document.status().message());
}

std::string repeat(std::string_view part, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += part;
    }
    return text;
}

/// Replaces, removes, repeats or inserts bytes of a document at random.
std::string mutate(std::string text)
{
    const int changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
        const std::size_t length = *rc::gen::inRange<std::size_t>(0, text.size() - at);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, std::min<std::size_t>(length, 64)));
            break;
        default:
            text.insert(at, 1, *rc::gen::elementOf(std::string("{}[]:,-&*!|>?\"'#% \n\t")));
        }
    }
    return text;
}

config_tree tree_of(const std::vector<std::pair<std::string, std::string>>& documents)
{
    config_tree tree;
    for (const std::pair<std::string, std::string>& entry : documents) {
        const absl::StatusOr<std::string> document =
            canonical_subtree(entry.second, entry.first + ".yaml");
        EXPECT_TRUE(document.ok()) << document.status();
        tree[entry.first] = document.value_or("");
    }
    return tree;
}

std::string build_error(const config_tree& tree)
{
    const absl::StatusOr<std::shared_ptr<const snapshot>> built = build_snapshot(tree, 1, "m");
    return built.ok() ? "accepted" : std::string(built.status().message());
}

std::string tree_error(const std::vector<std::pair<std::string, std::string>>& documents)
{
    return build_error(tree_of(documents));
}

} // namespace

TEST(tree, canonical_form_has_sorted_keys_and_no_white_space)
{
    const absl::StatusOr<std::string> document = canonical_subtree(rounds_yaml, "rounds.yaml");
    ASSERT_TRUE(document.ok()) << document.status();
    EXPECT_EQ(*document,
              R"({"classes":[{"deadline":"1s","name":"stop-list","once":false,"priority":0}],)"
              R"("clusters":[{"max_ejected":"30%","name":"rounds-all","policy":"least_loaded",)"
              R"("service":"rounds"}],)"
              R"("imports":[{"as":"chart-sk","from":"zborovo/planner","service":"chart"}],)"
              R"("routes":[{"class":"stop-list","cluster":"rounds-all","prefix":"/stops",)"
              R"("retry":"idempotent","service":"rounds","timeout":"800ms"}],)"
              R"("services":[{"name":"rounds","tenant":"nile-soy"}]})");
    EXPECT_EQ(canonical_subtree(*document, "again").value_or(""), *document);
}

TEST(tree, subtree_paths_are_fleet_and_team)
{
    EXPECT_TRUE(check_subtree_path("nile-soy/rounds").ok());
    for (const char* path : {"", "nile-soy", "/rounds", "nile-soy/", "a/b/c", "A/b", "a/-b"}) {
        EXPECT_FALSE(check_subtree_path(path).ok()) << path;
    }
}

TEST(tree, misspelled_keys_are_refused_with_the_nearest_key)
{
    EXPECT_EQ(parse_error("routes: [{service: a, cluster: b, timout: 1s}]"),
              "a.yaml: routes[0]: the key \"timout\" is not allowed: did you mean timeout?");
    EXPECT_EQ(parse_error("xyzzy-xyzzy: 1"),
              "a.yaml: document: the key \"xyzzy-xyzzy\" is not allowed: known keys are services, "
              "clusters, routes, classes, imports");
}

TEST(tree, wrong_values_are_refused_with_path_value_and_what_is_allowed)
{
    EXPECT_EQ(parse_error("routes: [{service: a, cluster: b, timeout: 800}]"),
              "a.yaml: routes[0].timeout: 800 is not allowed: a duration with the unit ms or s, "
              "from 1ms to 3600000ms");
    EXPECT_EQ(parse_error("classes: [{name: a, priority: 10}]"),
              "a.yaml: classes[0].priority: 10 is not allowed: an integer from 0 to 9");
    EXPECT_EQ(parse_error("classes: [{name: a, once: yes}]"),
              "a.yaml: classes[0].once: \"yes\" is not allowed: true or false");
    EXPECT_EQ(parse_error("clusters: [{name: a, service: b, max_ejected: 30}]"),
              "a.yaml: clusters[0].max_ejected: 30 is not allowed: a share from 0% to 100%, with "
              "the sign %");
    EXPECT_EQ(parse_error("services: {name: a}"),
              "a.yaml: services: a mapping is not allowed: a list");
    EXPECT_EQ(parse_error("services: [{name: a}]"),
              "a.yaml: services[0].tenant: no value is not allowed: required: 1 to 63 characters "
              "a-z, 0-9 and '-', with no '-' at either end");
}

TEST(tree, unusable_scalars_are_refused)
{
    const std::vector<std::string> documents{
        "services: [{name: 12, tenant: b}]",
        "services: [{name: A, tenant: b}]",
        "services: [{name: null, tenant: b}]",
        "services: [a]",
        "clusters: [{name: a, service: b, policy: 9lives}]",
        "clusters: [{name: a, service: b, max_ejected: 101%}]",
        "routes: [{service: a, cluster: b, prefix: stops}]",
        "routes: [{service: a, cluster: b, prefix: /stops/}]",
        "routes: [{service: a, cluster: b, prefix: //stops}]",
        "routes: [{service: a, cluster: b, prefix: /a/..}]",
        "routes: [{service: a, cluster: b, prefix: '/stops?a'}]",
        "routes: [{service: a, cluster: b, timeout: 0ms}]",
        "routes: [{service: a, cluster: b, timeout: 1.5s}]",
        "routes: [{service: a, cluster: b, timeout: 3601s}]",
        "routes: [{service: a, cluster: b, timeout: 99999999999999999999s}]",
        "routes: [{service: a, cluster: b, retry: always}]",
        "classes: [{name: default}]",
        "classes: [{name: a, priority: -1}]",
        "classes: [{name: a, priority: '1'}]",
        "imports: [{service: a, from: zborovo}]",
    };
    for (const std::string& document : documents) {
        EXPECT_NE(parse_error(document).find(" is not allowed: "), std::string::npos) << document;
    }
}

TEST(tree, repeated_names_and_keys_are_refused)
{
    EXPECT_EQ(parse_error("services: [{name: a, tenant: t}, {name: a, tenant: u}]"),
              "a.yaml: services[1]: \"a\" is not allowed: it repeats services[0], each name is "
              "used once");
    EXPECT_EQ(parse_error("services: []\nservices: []"),
              "a.yaml: line 2, column 1: the key \"services\" is repeated: write each key once");
    EXPECT_NE(parse_error("services: [{name: a}, {name: b, name: c}]")
                  .find(": services[1]: the key \"name\" is repeated"),
              std::string::npos);
    EXPECT_NE(parse_error("routes: [{service: a, cluster: b}, {service: a, cluster: c, prefix: /}]")
                  .find("repeats routes[0]"),
              std::string::npos);
    EXPECT_NE(parse_error("imports: [{service: a, from: x/y}, {service: b, from: x/y, as: a}]")
                  .find("repeats imports[0]"),
              std::string::npos);
}

TEST(tree, anchors_aliases_and_tags_are_refused_before_they_expand)
{
    EXPECT_EQ(parse_error("services: &a []\nroutes: *a"),
              "a.yaml: line 1, column 11: services: an anchor is not allowed: write the value out");
    EXPECT_NE(parse_error("routes: [{service: a}, {service: a, timeout: &t 1s}]")
                  .find(": routes[1].timeout: an anchor"),
              std::string::npos);
    EXPECT_NE(parse_error("services: !!python/object x").find("the tag"), std::string::npos);
    EXPECT_NE(parse_error("<<: {services: []}").find("the key \"<<\""), std::string::npos);
}

TEST(tree, malformed_yaml_is_refused)
{
    for (const char* yaml :
         {"", "# nothing", "services: [", "a: b: c", "\t- x", "- a\nb", "{}}", "{}\n---\n{}",
          "? {a: b}\n: c", "[]", "null", "\xff\xfe\x00", "%YAML"}) {
        EXPECT_EQ(parse_error(yaml).substr(0, 8), "a.yaml: ") << yaml;
    }
    EXPECT_EQ(parse_error("{}"), "accepted: {}");
}

TEST(tree, oversize_and_deep_documents_are_refused)
{
    EXPECT_EQ(parse_error(std::string(max_subtree_bytes + 1, '#')),
              "a.yaml: document: a size of 262145 bytes is not allowed: at most 262144 bytes");
    for (const char* part : {"[", "{a: ", "- ", "? ", "a: \n "}) {
        EXPECT_EQ(parse_error(repeat(part, 30000)).substr(0, 8), "a.yaml: ") << part;
    }
    config_tree tree;
    for (std::size_t i = 0; i <= max_subtrees; ++i) {
        tree["fleet/team-" + std::to_string(i)] = "{}";
    }
    EXPECT_EQ(build_error(tree), "tree: document: a number of 1001 subtrees is not allowed: at "
                                 "most 1000");
    tree.clear();
    for (std::size_t i = 0; i < 17; ++i) {
        tree["fleet/team-" + std::to_string(i)] = std::string(max_subtree_bytes, 'x');
    }
    EXPECT_EQ(build_error(tree), "tree: document: a size of 4456448 bytes is not allowed: at "
                                 "most 4194304 bytes");
}

TEST(tree, control_bytes_of_a_value_are_escaped_in_the_error)
{
    EXPECT_NE(parse_error("services: [{name: \"a\\e[1m\", tenant: t}]").find("\"a\\x1b[1m\""),
              std::string::npos);
    EXPECT_LT(parse_error("services: [{name: " + std::string(100000, 'x') + ", tenant: t}]").size(),
              300U);
}

TEST(tree, stored_documents_are_validated_again)
{
    const std::vector<std::string> documents{
        "",
        "null",
        "[]",
        "{",
        "{} ",
        " {}",
        R"({"services":1})",
        R"({"services":[],"services":[]})",
        R"({"services":[{"tenant":"a","name":"b"}]})",
        R"({"priority":1e999})",
        R"({"classes":[{"name":"a","priority":1.0}]})",
        R"({"classes":[{"name":"a\u0000"}]})",
        "{\"services\":[{\"name\":\"\xff\",\"tenant\":\"a\"}]}",
        repeat("[", 200000),
        repeat("{\"a\":", 40000),
    };
    for (const std::string& document : documents) {
        EXPECT_NE(build_error(config_tree{{"a/b", document}}), "accepted")
            << document.substr(0, 80);
    }
    EXPECT_NE(build_error(config_tree{{"a", "{}"}}), "accepted");
    EXPECT_EQ(build_error(config_tree{{"a/b", "{}"}}), "accepted");
}

TEST(tree, references_that_do_not_resolve_are_refused)
{
    const std::string service = "services: [{name: a, tenant: t}]\n";
    EXPECT_EQ(tree_error({{"f/t", service + "routes: [{service: a, cluster: none}]"}}),
              "f/t: routes[0].cluster: \"none\" is not allowed: a cluster that exists in the "
              "subtree or the fleet f");
    EXPECT_EQ(tree_error({{"f/t", service + "clusters: [{name: c, service: a}]\n"
                                            "routes: [{service: a, cluster: c, class: none}]"}}),
              "f/t: routes[0].class: \"none\" is not allowed: a request class that exists in the "
              "subtree or the fleet f");
    EXPECT_EQ(tree_error({{"f/t", "clusters: [{name: c, service: none}]"}}),
              "f/t: clusters[0].service: \"none\" is not allowed: a service of the fleet f");
    EXPECT_EQ(tree_error({{"f/t", "imports: [{service: a, from: g/u}]"}, {"g/v", service}}),
              "f/t: imports[0].service: \"a\" is not allowed: a service that g/u defines");
    EXPECT_NE(tree_error({{"f/t", "imports: [{service: a, from: f/u}]"}, {"f/u", service}}),
              "accepted");
}

TEST(tree, a_route_belongs_to_the_owner_of_its_service)
{
    EXPECT_EQ(tree_error({{"f/t", "services: [{name: a, tenant: t}]"},
                          {"f/u", "clusters: [{name: c, service: a}]\n"
                                  "routes: [{service: a, cluster: c}]"}}),
              "f/u: routes[0].service: \"a\" is not allowed: a service that this subtree defines; "
              "f/t owns it");
}

TEST(tree, a_service_defined_by_two_teams_is_refused_with_both_candidates)
{
    const std::string service = "services: [{name: a, tenant: t}]";
    EXPECT_EQ(tree_error({{"f/t", service}, {"f/u", service}}),
              "f/u: services[0].name: \"a\" is not allowed: a service of one subtree, but both "
              "f/t/a and f/u/a define it");
    EXPECT_EQ(tree_error({{"f/t", service}, {"g/t", service}}), "accepted");
}

TEST(tree, an_ambiguous_cluster_or_class_is_refused_with_both_candidates)
{
    const std::string own = "services: [{name: a, tenant: t}]\n"
                            "clusters: [{name: own, service: a}]\n";
    const std::string other = "clusters: [{name: c, service: a}]\nclasses: [{name: k}]";
    EXPECT_EQ(
        tree_error(
            {{"f/t", own + "routes: [{service: a, cluster: c}]"}, {"f/u", other}, {"f/v", other}}),
        "f/t: routes[0].cluster: \"c\" is not allowed: a cluster of one meaning, but both "
        "f/u/c and f/v/c exist");
    EXPECT_NE(tree_error({{"f/t", own + "routes: [{service: a, cluster: own, class: k}]"},
                          {"f/u", other},
                          {"f/v", other}})
                  .find("both f/u/k and f/v/k exist"),
              std::string::npos);
}

TEST(tree, an_import_that_hides_a_service_or_an_import_is_refused)
{
    const std::string service = "services: [{name: a, tenant: t}, {name: b, tenant: t}]";
    const std::string import_a = "imports: [{service: a, from: g/u}]";
    EXPECT_EQ(tree_error({{"f/t", import_a}, {"f/u", service}, {"g/u", service}}),
              "f/t: imports[0].as: \"a\" is not allowed: a name that does not hide a service of "
              "the own fleet, but both f/u/a and g/u/a would have it");
    EXPECT_EQ(tree_error({{"f/t", import_a},
                          {"f/v", "imports: [{service: b, from: g/u, as: a}]"},
                          {"g/u", service}}),
              "f/v: imports[0].as: \"a\" is not allowed: a name of one import of the fleet, but "
              "both g/u/a and g/u/b would have it");
    EXPECT_EQ(tree_error({{"f/t", import_a}, {"f/v", import_a}, {"g/u", service}}), "accepted");
}

TEST(tree, a_class_that_runs_once_cannot_have_retried_routes)
{
    EXPECT_NE(tree_error({{"f/t", "services: [{name: a, tenant: t}]\n"
                                  "clusters: [{name: c, service: a}]\n"
                                  "classes: [{name: k, once: true}]\n"
                                  "routes: [{service: a, cluster: c, class: k, "
                                  "retry: idempotent}]"}})
                  .find("f/t: routes[0].retry: \"idempotent\" is not allowed: never"),
              std::string::npos);
}

// Guards against crashes and exceptions of the parsers on arbitrary operator input.
RC_GTEST_PROP(tree, random_bytes_cause_no_exception, ())
{
    const std::string bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const absl::StatusOr<std::string> document = canonical_subtree(bytes, "a.yaml");
    RC_ASSERT(document.ok() || !document.status().message().empty());
}

// Guards against an accepted document whose canonical form is refused or changes when parsed again.
RC_GTEST_PROP(tree, mutated_documents_are_refused_or_have_a_stable_form, ())
{
    const absl::StatusOr<std::string> document = canonical_subtree(mutate(rounds_yaml), "a.yaml");
    if (document.ok()) {
        const absl::StatusOr<std::string> again = canonical_subtree(*document, "again");
        RC_ASSERT(again.ok());
        RC_ASSERT(*again == *document);
    }
}

// Guards against accepting a stored tree with a route whose cluster or class does not exist.
RC_GTEST_PROP(tree, accepted_trees_have_no_route_without_cluster_and_class, ())
{
    config_tree tree =
        tree_of({{"nile-soy/rounds", rounds_yaml},
                 {"nile-soy/more", "clusters: [{name: rounds-all, service: rounds}]"},
                 {"zborovo/planner", "services: [{name: chart, tenant: zborovo}]\n"
                                     "clusters: [{name: chart-all, service: chart}]\n"
                                     "routes: [{service: chart, cluster: chart-all}]"}});
    const std::string path = *rc::gen::element<std::string>("nile-soy/rounds", "zborovo/planner");
    std::string& document = tree[path];
    if (*rc::gen::arbitrary<bool>()) {
        document = mutate(document);
    }
    else {
        const nlohmann::json parsed = nlohmann::json::parse(document);
        const nlohmann::json flat = parsed.flatten();
        nlohmann::json modified = parsed;
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, flat.size());
        const std::string key = std::next(flat.begin(), static_cast<std::ptrdiff_t>(at)).key();
        modified[nlohmann::json::json_pointer(key)] =
            *rc::gen::element<std::string>("rounds", "chart", "rounds-all", "stop-list", "/", "1s");
        document = modified.dump();
    }
    const absl::StatusOr<std::shared_ptr<const snapshot>> built = build_snapshot(tree, 1, "m");
    if (!built.ok()) {
        RC_ASSERT(!built.status().message().empty());
        return;
    }
    for (const std::shared_ptr<const route>& entry : (*built)->routes()) {
        RC_ASSERT(entry->destination != nullptr);
        RC_ASSERT(entry->assigned_class != nullptr);
        RC_ASSERT(!entry->destination->service.service.empty());
        RC_ASSERT(!entry->tenant.empty());
    }
}

} // namespace agatespread
