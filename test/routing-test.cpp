#include <agatespread/routing.h>

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace agatespread {

namespace {

route_rule rule_for(std::string name, std::string prefix, std::vector<weighted_service> services)
{
    route_rule rule;
    rule.name = std::move(name);
    rule.prefix = std::move(prefix);
    rule.timeout = std::chrono::seconds(1);
    rule.max_attempts = 2;
    rule.services = std::move(services);
    return rule;
}

std::string name_at(const routing_table& table, std::string_view host, std::string_view target)
{
    const std::shared_ptr<const route_rule> found = table.find(host, target);
    return found ? found->name : "none";
}

} // namespace

// Guards against matching a shorter prefix, another host's rule or a part of a path segment.
TEST(routing, longest_prefix_of_the_host_wins)
{
    routing_table table(1, {});
    ASSERT_TRUE(table.add("Charts.example", rule_for("all", "/", {{"a", 1}})).ok());
    ASSERT_TRUE(table.add("charts.example", rule_for("view", "/view/", {{"a", 1}})).ok());
    ASSERT_TRUE(table.add("charts.example", rule_for("deep", "/view/x/", {{"a", 1}})).ok());
    ASSERT_TRUE(table.add("other.example", rule_for("other", "/view/", {{"a", 1}})).ok());
    EXPECT_EQ(name_at(table, "charts.example", "/view/1"), "view");
    EXPECT_EQ(name_at(table, "CHARTS.example:8080", "/view/x/2?q=/a/b/"), "deep");
    EXPECT_EQ(name_at(table, "charts.example", "/view"), "all");
    EXPECT_EQ(name_at(table, "charts.example", "/viewer/1"), "all");
    EXPECT_EQ(name_at(table, "charts.example", "/view/"), "view");
    EXPECT_EQ(name_at(table, "other.example", "/"), "none");
    EXPECT_EQ(name_at(table, "unknown.example", "/view/1"), "none");
}

// Guards against accepting a rule that cannot route requests.
TEST(routing, unusable_rules_are_rejected)
{
    routing_table table(1, {});
    const auto is_rejected = [&table](const route_rule& rule, std::string_view host = "h") {
        return !table.add(host, rule).ok();
    };
    EXPECT_TRUE(is_rejected(rule_for("r", "no-slash/", {{"a", 1}})));
    EXPECT_TRUE(is_rejected(rule_for("r", "/open", {{"a", 1}})));
    EXPECT_TRUE(is_rejected(rule_for("r", "", {{"a", 1}})));
    EXPECT_TRUE(is_rejected(rule_for("r", "/x/", {})));
    EXPECT_TRUE(is_rejected(rule_for("r", "/x/", {{"a", 0}, {"", 3}})));
    EXPECT_TRUE(is_rejected(rule_for("r", "/x/", {{"a", 1}}), ""));
    route_rule without_timeout = rule_for("r", "/x/", {{"a", 1}});
    without_timeout.timeout = std::chrono::milliseconds(0);
    EXPECT_TRUE(is_rejected(without_timeout));
    route_rule without_attempts = rule_for("r", "/x/", {{"a", 1}});
    without_attempts.max_attempts = 0;
    EXPECT_TRUE(is_rejected(without_attempts));
    EXPECT_TRUE(table.add("h", rule_for("r", "/x/", {{"a", 1}})).ok());
    EXPECT_TRUE(is_rejected(rule_for("again", "/x/", {{"a", 1}})));
    EXPECT_EQ(table.size(), 1U);
}

// Guards against a split on one node that deviates from its weights.
TEST(routing, requests_are_split_by_weight)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 engine(seed);
        weighted_round_robin selector([&engine] { return engine(); });
        const route_rule rule = rule_for("r", "/", {{"a", 90}, {"b", 0}, {"c", 10}});
        std::map<std::size_t, int> counts;
        constexpr int requests = 100;
        for (int request = 0; request < requests; ++request) {
            ++counts[selector.pick(rule)];
        }
        EXPECT_NEAR(counts[0], 90, 1) << "seed " << seed;
        EXPECT_EQ(counts[1], 0) << "seed " << seed;
        EXPECT_NEAR(counts[2], 10, 1) << "seed " << seed;
    }
}

// Guards against state of the old weights that distorts a changed split.
TEST(routing, changed_weights_reset_the_split)
{
    std::mt19937_64 engine(7);
    weighted_round_robin selector([&engine] { return engine(); });
    route_rule rule = rule_for("r", "/", {{"a", 1}, {"b", 99}});
    for (int request = 0; request < 50; ++request) {
        selector.pick(rule);
    }
    rule.services = {{"a", 50}, {"b", 50}};
    int first = 0;
    for (int request = 0; request < 40; ++request) {
        first += selector.pick(rule) == 0 ? 1 : 0;
    }
    EXPECT_NEAR(first, 20, 1);
}

} // namespace agatespread
