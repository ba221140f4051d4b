#include <agatespread/operator_auth.h>
#include <agatespread/operator_client.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace agatespread {

namespace {

const std::chrono::system_clock::time_point start{std::chrono::seconds(1800000000)};

/// Returns a fixed response to every call and records the calls.
struct fake_node {
    http_result result;
    std::vector<http_call> calls;
    std::mt19937_64 engine{7};

    operator_client client()
    {
        return operator_client(
            {"127.0.0.1:9090", "alice", "alice-secret-0123456789", std::chrono::seconds(1)},
            [this](const http_call& call) {
                calls.push_back(call);
                return result;
            },
            [] { return start; }, [this] { return engine(); });
    }

    void set_response(int status, std::string body)
    {
        result = {http_outcome::answered, true, {status, {}, std::move(body)}, ""};
    }
};

std::string reason_for(const http_result& result)
{
    fake_node node;
    node.result = result;
    return reason_of(node.client().apply("f/t", "c1", "{}", false).status(), "operator");
}

std::string reason_for(int status, const std::string& body)
{
    return reason_for({http_outcome::answered, true, {status, {}, body}, ""});
}

} // namespace

TEST(operator_client, apply_is_signed_and_its_response_parsed)
{
    fake_node node;
    node.set_response(200, R"({"version":7,"change":"c1","repeated":true})");
    const absl::StatusOr<operator_response<applied_version>> response =
        node.client().apply("f/t", "c1", "{}", false);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->content.version, 7U);
    EXPECT_TRUE(response->content.repeated);
    EXPECT_EQ(node.calls.at(0).url, "http://127.0.0.1:9090/v1/apply?subtree=f%2Ft&change=c1");
    operator_authenticator authenticator({{"alice", "alice-secret-0123456789", {"*"}, false}});
    EXPECT_TRUE(authenticator.check(node.calls.at(0).request, start).ok());
}

TEST(operator_client, dry_run_response_needs_no_change_id)
{
    fake_node node;
    node.set_response(200, R"({"version":7,"dry_run":true})");
    EXPECT_TRUE(node.client().apply("f/t", "c1", "{}", true).ok());
    EXPECT_NE(node.calls.at(0).url.find("&dry_run=1"), std::string::npos);
}

// Guards against reporting that nothing was changed for an apply that may have taken effect.
TEST(operator_client, change_with_a_lost_or_malformed_response_has_an_unknown_outcome)
{
    EXPECT_EQ(reason_for({http_outcome::not_sent, false, {}, "refused"}), "unavailable");
    for (const http_outcome outcome : {http_outcome::timed_out, http_outcome::connection_lost,
                                       http_outcome::truncated, http_outcome::too_large}) {
        EXPECT_EQ(reason_for({outcome, true, {}, "lost"}), "outcome_unknown");
    }
    EXPECT_EQ(reason_for(200, "no json"), "outcome_unknown");
    EXPECT_EQ(reason_for(200, "{}"), "outcome_unknown");
    EXPECT_EQ(reason_for(500, ""), "outcome_unknown");
    EXPECT_EQ(reason_for(504, "no json"), "outcome_unknown");
}

TEST(operator_client, errors_preserve_reason_and_message)
{
    fake_node node;
    node.set_response(409, R"({"error":{"reason":"conflict","message":"f/t moved from 6 to 7"}})");
    const absl::Status status = node.client().apply("f/t", "c1", "{}", false).status();
    EXPECT_EQ(reason_of(status, "operator"), "conflict");
    EXPECT_EQ(status.message(), "f/t moved from 6 to 7");
    EXPECT_EQ(reason_for(422, R"({"error":{"reason":"refused","message":"x"}})"), "refused");
    EXPECT_EQ(reason_for(401, R"({"error":{"reason":"surprise","message":"x"}})"), "unauthorized");
    EXPECT_EQ(reason_for(404, ""), "not_found");
    EXPECT_EQ(reason_for(503, "[]"), "unavailable");
    EXPECT_EQ(reason_for(413, "[1"), "refused");
}

TEST(operator_client, reads_are_unsigned_and_their_responses_parsed)
{
    fake_node node;
    node.set_response(200, R"({"version":3,"subtrees":{"f/t":{"services":[]}}})");
    EXPECT_EQ(node.client().show("f/t")->content.subtrees.at("f/t"), R"({"services":[]})");
    EXPECT_FALSE(node.calls.at(0).request.headers.contains("Authorization"));
    node.set_response(200,
                      R"({"versions":[{"version":3,"change":"c","subtree":"f/t","operator":"a",)"
                      R"("manifest":"m"}]})");
    EXPECT_EQ(node.client().history(5)->content.at(0).operator_id, "a");
    EXPECT_EQ(node.calls.at(1).request.target, "/v1/history?limit=5");
    node.set_response(200, R"({"version":3,"domains":[{"failure_domain":"d","members":2,)"
                           R"("unreachable":1,"lowest":2,"highest":3,)"
                           R"("behind":[{"node":"n","version":2,"reason":"unreachable"}]}]})");
    EXPECT_EQ(node.client().status()->content.domains.at(0).behind.at(0).in_force, 2U);
    node.set_response(200, R"({"lines":["one","two"]})");
    EXPECT_EQ(node.client().explain("f", "a b", "/x?y")->content.size(), 2U);
    EXPECT_EQ(node.calls.at(3).request.target, "/v1/explain?caller=f&service=a%20b&path=%2Fx%3Fy");
    node.set_response(200, R"({"target":"n1","state":"draining"})");
    EXPECT_EQ(node.client().drain("n1")->content, "draining");
}

TEST(operator_client, transport_reports_a_closed_port_as_not_sent)
{
    http_call call;
    // Port 1 of the loopback address is reserved and has no listener.
    call.url = "http://127.0.0.1:1/v1/status";
    const http_result result = curl_transport()(call);
    EXPECT_EQ(result.outcome, http_outcome::not_sent);
    EXPECT_FALSE(result.sent);
    EXPECT_FALSE(result.error.empty());
}

// Guards against a crash on a response from a faulty or malicious node.
RC_GTEST_PROP(operator_client, random_and_mutated_responses_are_parsed_or_rejected,
              (const std::string& bytes))
{
    std::string body = R"({"version":3,"domains":[{"failure_domain":"d","members":2,"lowest":2,)"
                       R"("unreachable":1,"highest":3,"behind":[]}],"lines":["a"],"subtrees":{},)"
                       R"("versions":[],"state":"s","change":"c","repeated":false})";
    body.replace(*rc::gen::inRange<std::size_t>(0, body.size()),
                 *rc::gen::inRange<std::size_t>(0, 8), bytes);
    fake_node node;
    for (const std::string& text : {body, bytes}) {
        node.set_response(*rc::gen::element(200, 200, 422, 500), text);
        operator_client client = node.client();
        const std::vector<absl::Status> statuses{client.apply("f/t", "c", "{}", false).status(),
                                                 client.show("").status(),
                                                 client.history(1).status(),
                                                 client.status().status(),
                                                 client.explain("f", "s", "/").status(),
                                                 client.drain("n").status()};
        for (const absl::Status& status : statuses) {
            RC_ASSERT(status.ok() || !reason_of(status, "operator").empty());
        }
    }
}

} // namespace agatespread
