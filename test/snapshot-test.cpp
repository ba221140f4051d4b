#include <agatespread/snapshot.h>
#include <agatespread/tree.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace agatespread {

namespace {

/// Two fleets that both define a service "orders"; nile-soy imports chart of zborovo as chart-sk.
std::shared_ptr<const snapshot> two_fleets()
{
    config_tree tree;
    tree["nile-soy/orders"] =
        canonical_subtree("services: [{name: orders, tenant: nile-soy}]\n"
                          "clusters: [{name: all, service: orders}]\n"
                          "classes: [{name: confirm, priority: 2, once: true}]\n"
                          "routes:\n"
                          "  - {service: orders, prefix: /, cluster: all}\n"
                          "  - {service: orders, prefix: /shop, cluster: all, class: confirm}\n"
                          "  - {service: orders, prefix: /shop/list, cluster: all, "
                          "retry: idempotent, timeout: 250ms}\n",
                          "a")
            .value();
    tree["nile-soy/rounds"] =
        canonical_subtree("services: [{name: rounds, tenant: nile-soy}]\n"
                          "clusters: [{name: all, service: rounds}]\n"
                          "routes: [{service: rounds, prefix: /stops, cluster: all}]\n"
                          "imports: [{service: chart, from: zborovo/planner, as: chart-sk}]\n",
                          "b")
            .value();
    tree["zborovo/planner"] = canonical_subtree("services: [{name: orders, tenant: zborovo}, "
                                                "{name: chart, tenant: zborovo}]\n"
                                                "clusters: [{name: all, service: orders}]\n"
                                                "routes: [{service: orders, cluster: all}]\n",
                                                "c")
                                  .value();
    return build_snapshot(tree, 7, "manifest").value();
}

std::string resolved_name(std::string_view fleet, std::string_view host)
{
    const absl::StatusOr<service_name> name = two_fleets()->find_service(fleet, host);
    return name.ok()
               ? name->service + "." + name->fleet
               : reason_of(name.status(), "snapshot") + ": " + std::string(name.status().message());
}

std::string prefix_of(std::string_view path)
{
    const absl::StatusOr<std::shared_ptr<const route>> match =
        two_fleets()->resolve("nile-soy", "orders", path);
    return match.ok() ? (*match)->prefix : reason_of(match.status(), "snapshot");
}

} // namespace

TEST(snapshot, keeps_version_and_manifest)
{
    EXPECT_EQ(two_fleets()->version(), 7U);
    EXPECT_EQ(two_fleets()->manifest_id(), "manifest");
    EXPECT_EQ(two_fleets()->routes().size(), 5U);
}

TEST(snapshot, names_resolve_in_the_fleet_of_the_caller_first)
{
    EXPECT_EQ(resolved_name("nile-soy", "orders"), "orders.nile-soy");
    EXPECT_EQ(resolved_name("zborovo", "orders"), "orders.zborovo");
    EXPECT_EQ(resolved_name("zborovo", "orders.zborovo"), "orders.zborovo");
}

TEST(snapshot, imports_resolve_by_alias_and_by_qualified_name)
{
    EXPECT_EQ(resolved_name("nile-soy", "chart-sk"), "chart.zborovo");
    EXPECT_EQ(resolved_name("nile-soy", "chart.zborovo"), "chart.zborovo");
    EXPECT_EQ(resolved_name("nile-soy", "Chart-SK:8080"), "chart.zborovo");
}

TEST(snapshot, names_of_other_fleets_are_refused_with_the_candidates)
{
    EXPECT_EQ(resolved_name("third", "orders"),
              "not_imported: fleet third neither has nor imports the service \"orders\"; "
              "candidates: orders.nile-soy, orders.zborovo");
    EXPECT_EQ(resolved_name("zborovo", "orders.nile-soy").substr(0, 12), "not_imported");
    EXPECT_EQ(resolved_name("nile-soy", "chart").substr(0, 12), "not_imported");
    for (const char* host : {"", ".", "none", "orders..nile-soy", "[::1]", "chart-sk.nile-soy"}) {
        EXPECT_FALSE(two_fleets()->find_service("nile-soy", host).ok()) << host;
    }
}

TEST(snapshot, longest_prefix_of_whole_segments_matches)
{
    EXPECT_EQ(prefix_of("/"), "/");
    EXPECT_EQ(prefix_of("/shop"), "/shop");
    EXPECT_EQ(prefix_of("/shop/"), "/shop");
    EXPECT_EQ(prefix_of("/shopping"), "/");
    EXPECT_EQ(prefix_of("/shop/list?day=1"), "/shop/list");
    EXPECT_EQ(prefix_of("/shop/list/3"), "/shop/list");
    EXPECT_EQ(prefix_of("/shop/lists"), "/shop");
    EXPECT_EQ(prefix_of("/shop?x=/list"), "/shop");
    EXPECT_EQ(prefix_of(""), "no_route");
    EXPECT_EQ(prefix_of("*"), "no_route");
}

TEST(snapshot, a_path_without_route_is_refused)
{
    const absl::StatusOr<std::shared_ptr<const route>> match =
        two_fleets()->resolve("nile-soy", "rounds", "/stop");
    EXPECT_EQ(reason_of(match.status(), "snapshot"), "no_route");
    EXPECT_EQ(reason_of(two_fleets()->resolve("nile-soy", "chart-sk", "/").status(), "snapshot"),
              "no_route");
}

TEST(snapshot, routes_carry_resolved_cluster_class_and_defaults)
{
    const std::shared_ptr<const route> plain =
        two_fleets()->resolve("nile-soy", "orders", "/").value();
    EXPECT_EQ(plain->destination->name, "nile-soy/orders/all");
    EXPECT_EQ(plain->assigned_class->name, "default");
    EXPECT_EQ(plain->tenant, "nile-soy");
    EXPECT_FALSE(plain->idempotent);
    EXPECT_EQ(plain->timeout, std::chrono::seconds(1));
    const std::shared_ptr<const route> once =
        two_fleets()->resolve("nile-soy", "orders", "/shop").value();
    EXPECT_TRUE(once->assigned_class->once);
    EXPECT_EQ(once->assigned_class->priority, 2);
    const std::shared_ptr<const route> list =
        two_fleets()->resolve("nile-soy", "orders", "/shop/list").value();
    EXPECT_TRUE(list->idempotent);
    EXPECT_EQ(list->timeout, std::chrono::milliseconds(250));
}

TEST(snapshot, explain_lists_every_step)
{
    const std::vector<std::string> expected{
        "version 7: caller fleet nile-soy, service \"orders\", path \"/shop/7\"",
        "service orders.nile-soy of tenant nile-soy, defined in the caller's fleet",
        "prefix /shop/list: does not match",
        "prefix /shop: matches",
        "route of subtree nile-soy/orders: timeout 1000ms, never retried",
        "cluster nile-soy/orders/all: policy least_loaded, at most 30% ejected",
        "class confirm: priority 2, deadline 1000ms, once true",
    };
    EXPECT_EQ(two_fleets()->explain("nile-soy", "orders", "/shop/7"), expected);
    EXPECT_EQ(two_fleets()->explain("third", "none", "/").back(),
              "refused: no fleet has the service \"none\"");
}

// Guards against a crash on arbitrary hosts and paths, which callers control.
RC_GTEST_PROP(snapshot, random_hosts_and_paths_resolve_or_are_refused,
              (const std::string& host, const std::string& path))
{
    static const std::shared_ptr<const snapshot> fleets = two_fleets();
    const absl::StatusOr<std::shared_ptr<const route>> match =
        fleets->resolve("nile-soy", host, path);
    RC_ASSERT(match.ok() || !reason_of(match.status(), "snapshot").empty());
    RC_ASSERT(!fleets->explain("nile-soy", "orders", path).empty());
}

} // namespace agatespread
