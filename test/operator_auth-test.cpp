#include <agatespread/operator_auth.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace agatespread {

namespace {

using std::chrono::seconds;
using std::chrono::system_clock;

const system_clock::time_point start{seconds(1800000000)};

operator_authenticator make_authenticator(std::size_t capacity = 100)
{
    return operator_authenticator({{"alice", "alice-secret-0123456789", {"f/t"}, false},
                                   {"bob", "bob-secret-0123456789-bob", {"*"}, true}},
                                  capacity);
}

http_request signed_call(std::uint64_t seed, system_clock::time_point now = start)
{
    std::mt19937_64 engine{seed};
    http_request request{"POST", "/v1/apply?subtree=f/t&change=1", {}, "{}"};
    sign_operator_call(request, "alice", "alice-secret-0123456789", now,
                       [&engine] { return engine(); });
    return request;
}

std::string check_result(operator_authenticator& authenticator, const http_request& request,
                         system_clock::time_point now = start)
{
    const absl::StatusOr<operator_key> key = authenticator.check(request, now);
    if (key.ok()) {
        return "accepted " + key->id;
    }
    EXPECT_EQ(reason_of(key.status(), "operator"), "unauthorized");
    return std::string(key.status().message());
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST(operator_auth, signed_call_is_accepted_once)
{
    operator_authenticator authenticator = make_authenticator();
    const http_request request = signed_call(1);
    EXPECT_EQ(check_result(authenticator, request), "accepted alice");
    EXPECT_TRUE(contains(check_result(authenticator, request), "already received"));
    EXPECT_EQ(check_result(authenticator, signed_call(2)), "accepted alice");
}

TEST(operator_auth, header_has_the_documented_format)
{
    http_request request{"POST", "/v1/drain?target=n1", {}, ""};
    sign_operator_call(request, "alice", "alice-secret-0123456789", start, [] { return 0xabcU; });
    // The MAC was computed independently with Python's hmac and hashlib modules.
    EXPECT_EQ(request.headers.get("Authorization"),
              "Agatespread key=alice,time=1800000000,nonce=0000000000000abc0000000000000abc,"
              "mac=e6b2c7439a149affc2fb1b2f8d092ac2572ecd49ace00c819f7569e58f678afc");
}

TEST(operator_auth, call_with_any_modified_part_is_refused)
{
    operator_authenticator authenticator = make_authenticator();
    http_request request = signed_call(1);
    request.method = "PUT";
    EXPECT_TRUE(contains(check_result(authenticator, request), "signature"));
    request = signed_call(1);
    request.target += "&dry_run=1";
    EXPECT_TRUE(contains(check_result(authenticator, request), "signature"));
    request = signed_call(1);
    request.body = request.body.bytes() + " ";
    EXPECT_TRUE(contains(check_result(authenticator, request), "signature"));
    for (const std::string part : {"key=alice", "time=18", "nonce=", "mac="}) {
        request = signed_call(1);
        std::string header(request.headers.get("Authorization"));
        const std::size_t at = header.find(part) + part.size();
        if (part == "key=alice") {
            header.replace(at - 5, 5, "bob");
        }
        else {
            header[at] = header[at] == '0' ? '1' : '0';
        }
        request.headers.set("Authorization", header);
        EXPECT_TRUE(contains(check_result(authenticator, request), "signature")) << part;
    }
    EXPECT_EQ(check_result(authenticator, signed_call(1)), "accepted alice");
}

TEST(operator_auth, call_with_more_than_a_minute_of_clock_skew_is_refused)
{
    operator_authenticator authenticator = make_authenticator();
    EXPECT_EQ(check_result(authenticator, signed_call(1, start + seconds(60))), "accepted alice");
    EXPECT_EQ(check_result(authenticator, signed_call(2, start - seconds(60))), "accepted alice");
    EXPECT_TRUE(
        contains(check_result(authenticator, signed_call(3, start + seconds(61))), "by 61 s"));
    EXPECT_TRUE(
        contains(check_result(authenticator, signed_call(4, start - seconds(61))), "by -61 s"));
}

// Guards against a nonce that expires while its call is still within the clock skew.
TEST(operator_auth, replay_is_refused_as_long_as_the_call_is_valid)
{
    operator_authenticator authenticator = make_authenticator();
    const http_request request = signed_call(1, start + seconds(60));
    EXPECT_EQ(check_result(authenticator, request), "accepted alice");
    EXPECT_TRUE(contains(check_result(authenticator, request, start + seconds(119)), "already"));
    EXPECT_TRUE(contains(check_result(authenticator, request, start + seconds(120)), "already"));
    EXPECT_TRUE(contains(check_result(authenticator, request, start + seconds(121)), "differs"));
}

// Guards against a replay cache that grows without bound or evicts valid entries under load.
TEST(operator_auth, full_replay_cache_refuses_calls_until_old_ones_expire)
{
    operator_authenticator authenticator = make_authenticator(2);
    EXPECT_EQ(check_result(authenticator, signed_call(1)), "accepted alice");
    EXPECT_EQ(check_result(authenticator, signed_call(2)), "accepted alice");
    EXPECT_TRUE(contains(check_result(authenticator, signed_call(3)), "too many calls"));
    EXPECT_TRUE(contains(check_result(authenticator, signed_call(1)), "already"));
    const system_clock::time_point later = start + seconds(121);
    EXPECT_EQ(check_result(authenticator, signed_call(4, later), later), "accepted alice");
}

TEST(operator_auth, malformed_and_duplicate_headers_are_refused)
{
    operator_authenticator authenticator = make_authenticator();
    const std::string valid_header(signed_call(1).headers.get("Authorization"));
    const std::string non_hex_mac = valid_header.substr(0, valid_header.size() - 1) + "G";
    for (const std::string& header : std::vector<std::string>{
             std::string(), std::string("Agatespread "), std::string("Basic YTpi"),
             valid_header + ",x=1", valid_header.substr(0, valid_header.size() - 1), non_hex_mac,
             valid_header + ",", " " + valid_header,
             std::string("Agatespread key=,time=1,nonce=,mac="), std::string(10000, 'a')}) {
        http_request request = signed_call(1);
        request.headers.set("Authorization", header);
        EXPECT_TRUE(contains(check_result(authenticator, request), "one header is required"))
            << header;
    }
    http_request duplicate = signed_call(1);
    duplicate.headers.add("authorization", valid_header);
    EXPECT_TRUE(contains(check_result(authenticator, duplicate), "one header is required"));
    EXPECT_TRUE(contains(check_result(authenticator, http_request()), "one header is required"));
}

TEST(operator_auth, keys_may_change_only_their_subtrees)
{
    const operator_key key{"k", "s", {"nile-soy/rounds", "zborovo/*"}, false};
    EXPECT_TRUE(may_change(key, "nile-soy/rounds"));
    EXPECT_TRUE(may_change(key, "zborovo/planner"));
    for (const char* subtree : {"nile-soy/orders", "nile-soy/rounds-next", "zborovo2/planner",
                                "zborovo/*", "zborovo/", "zborovo", "", "*"}) {
        EXPECT_FALSE(may_change(key, subtree)) << subtree;
    }
    EXPECT_TRUE(may_change({"k", "s", {"*"}, false}, "any/team"));
    EXPECT_FALSE(may_change({"k", "s", {}, true}, "any/team"));
}

// Guards against a crash, or an accepted call, when the header is malformed.
RC_GTEST_PROP(operator_auth, randomly_modified_headers_are_refused, (const std::string& bytes))
{
    operator_authenticator authenticator = make_authenticator();
    http_request request = signed_call(1);
    std::string header(request.headers.get("Authorization"));
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, header.size());
    const std::string valid_header = header;
    header.replace(at, *rc::gen::inRange<std::size_t>(0, 8), bytes);
    request.headers.set("Authorization", header);
    RC_ASSERT(authenticator.check(request, start).ok() == (header == valid_header));
}

} // namespace agatespread
