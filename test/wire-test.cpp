#include <agatespread/digest.h>
#include <agatespread/wire.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace agatespread {

namespace {

member_record sample_record()
{
    return {"node-7",
            "cairo-1",
            9,
            member_state::suspect,
            true,
            "127.0.0.1:7001",
            "127.0.0.1:7002",
            {"nile-soy", "rounds", "nile-soy", 10, upstream_state::draining},
            41};
}

domain_summary sample_summary()
{
    return {"cairo-1",
            1700000000000,
            40,
            41,
            30,
            2,
            0xfedcba9876543210U,
            {{"node-1", 40, "object differs"}},
            {sample_record()}};
}

/// Returns one message of each type, with every field set to a value other than its default.
std::vector<message> sample_messages()
{
    const std::string id = sha256_hex("tree");
    return {ping{1, 2, 3, {sample_record()}},
            ack{1, "node-2", 3, 4, {sample_record()}},
            ping_request{5, "node-3"},
            join{sample_record(), true, 99},
            join_reply{std::chrono::milliseconds(250), 40, {sample_record()}, 99},
            members_pull{{{"cairo-1", 77}}, false},
            members_push{{sample_record(), sample_record()}},
            version_push{41,
                         40,
                         id,
                         "change-1",
                         {{"nile-soy/rounds", id}, {"zborovo/hall", ""}},
                         {"{\"services\":[]}"}},
            version_pull{40, id},
            version_ack{40, 41, "cluster x is missing"},
            sample_summary(),
            status_request{12},
            status_reply{12, {sample_summary()}},
            crash_report{0xffffffffffffffffU, 2, true, std::chrono::seconds(30), {1, 2}},
            drain{"node-4", "operator-1"}};
}

frame_codec make_codec(std::vector<frame_key> keys, const std::string& node, char nonce)
{
    return {std::move(keys), hello{node, "cairo-1", "127.0.0.1:7000", std::string(16, nonce)}};
}

/// Two codecs that have exchanged their hello frames.
struct codec_pair {
    codec_pair(std::vector<frame_key> left_keys, std::vector<frame_key> right_keys)
        : left(make_codec(std::move(left_keys), "left", 'l')),
          right(make_codec(std::move(right_keys), "right", 'r'))
    {
        EXPECT_TRUE(left.accept_hello(right.hello_frame()).ok());
        EXPECT_TRUE(right.accept_hello(left.hello_frame()).ok());
    }
    frame_codec left;
    frame_codec right;
};

const std::vector<frame_key> one_key = {{"k1", "secret-1"}};

std::string reason(const absl::Status& status)
{
    return reason_of(status, "wire");
}

} // namespace

TEST(wire, every_message_survives_a_round_trip)
{
    std::size_t expected_index = 0;
    for (const message& sample : sample_messages()) {
        EXPECT_EQ(sample.index(), expected_index++);
        const std::string bytes = encode(sample);
        const absl::StatusOr<message> decoded = decode(bytes);
        ASSERT_TRUE(decoded.ok()) << name_of(sample) << ": " << decoded.status();
        EXPECT_EQ(name_of(*decoded), name_of(sample));
        EXPECT_EQ(encode(*decoded), bytes) << name_of(sample);
    }
    EXPECT_EQ(expected_index, std::variant_size_v<message>);
}

TEST(wire, every_field_is_encoded_and_decoded)
{
    const message decoded = decode(encode(members_push{{sample_record()}})).value();
    const member_record copy = std::get<members_push>(decoded).members.at(0);
    const member_record sample = sample_record();
    EXPECT_EQ(std::tie(copy.node, copy.failure_domain, copy.incarnation, copy.state, copy.ready),
              std::tie(sample.node, sample.failure_domain, sample.incarnation, sample.state,
                       sample.ready));
    EXPECT_EQ(
        std::tie(copy.peer_address, copy.inbound_address, copy.upstream, copy.in_force),
        std::tie(sample.peer_address, sample.inbound_address, sample.upstream, sample.in_force));
    const message pushed = decode(encode(sample_messages()[7])).value();
    const version_push& push = std::get<version_push>(pushed);
    EXPECT_EQ(push.version, 41U);
    EXPECT_EQ(push.base, 40U);
    EXPECT_EQ(push.manifest_id, sha256_hex("tree"));
    EXPECT_EQ(push.change_id, "change-1");
    EXPECT_EQ(push.changes.at(0).object_id, sha256_hex("tree"));
    EXPECT_EQ(push.changes.at(1).object_id, "");
    EXPECT_EQ(push.objects.at(0), "{\"services\":[]}");
}

TEST(wire, a_missing_field_is_refused_by_name)
{
    for (const message& sample : sample_messages()) {
        const std::string bytes = encode(sample);
        const nlohmann::json full = nlohmann::json::from_cbor(bytes);
        for (const std::pair<const std::string, nlohmann::json>& field :
             full.get<std::map<std::string, nlohmann::json>>()) {
            nlohmann::json partial = full;
            partial.erase(field.first);
            const std::vector<std::uint8_t> encoded = nlohmann::json::to_cbor(partial);
            const absl::Status status =
                decode({reinterpret_cast<const char*>(encoded.data()), encoded.size()}).status();
            EXPECT_EQ(reason(status), "malformed") << name_of(sample) << " " << field.first;
            EXPECT_NE(status.message().find("is missing"), std::string::npos) << status;
        }
    }
}

TEST(wire, an_unknown_field_is_ignored_for_upgrades)
{
    nlohmann::json extended = nlohmann::json::from_cbor(encode(version_pull{3, ""}));
    extended["new"] = {1, 2, 3};
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(extended);
    EXPECT_TRUE(decode({reinterpret_cast<const char*>(bytes.data()), bytes.size()}).ok());
}

TEST(wire, a_list_above_its_limit_is_refused)
{
    const std::vector<member_record> too_many(65, sample_record());
    const absl::Status status = decode(encode(ping{1, 2, 3, too_many})).status();
    EXPECT_NE(status.message().find("\"ping.updates\" has too many elements"), std::string::npos)
        << status;
}

// Unbounded nesting would exhaust the stack of the recursive CBOR parser.
TEST(wire, excessive_nesting_is_refused_before_parsing)
{
    EXPECT_EQ(reason(decode(std::string(1U << 20U, '\x81')).status()), "malformed");
    EXPECT_EQ(reason(decode(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)).status()),
              "malformed");
}

RC_GTEST_PROP(wire, random_bytes_decode_or_are_refused_as_malformed, (const std::string& bytes))
{
    const absl::StatusOr<message> decoded = decode(bytes);
    RC_ASSERT(decoded.ok() || reason(decoded.status()) == "malformed");
}

RC_GTEST_PROP(wire, mutated_bytes_decode_to_a_valid_message_or_an_error, ())
{
    const std::vector<message> samples = sample_messages();
    std::string bytes = encode(samples[*rc::gen::inRange<std::size_t>(0, samples.size())]);
    const std::size_t mutations = *rc::gen::inRange<std::size_t>(1, 6);
    for (std::size_t i = 0; i < mutations; ++i) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(bytes.size() / 2, bytes.size() + 1));
    const absl::StatusOr<message> decoded = decode(bytes);
    if (decoded.ok()) {
        RC_ASSERT(decode(encode(*decoded)).ok());
    }
    else {
        RC_ASSERT(reason(decoded.status()) == "malformed");
    }
}

TEST(frame_codec, an_opened_frame_returns_the_sealed_body)
{
    codec_pair pair(one_key, one_key);
    const std::string body(100000, 'x');
    EXPECT_EQ(pair.right.open(pair.left.seal(body)).value(), body);
    EXPECT_EQ(pair.left.open(pair.right.seal("")).value(), "");
}

TEST(frame_codec, replayed_and_reordered_frames_are_refused)
{
    codec_pair pair(one_key, one_key);
    const std::string first = pair.left.seal("1");
    const std::string second = pair.left.seal("2");
    const std::string third = pair.left.seal("3");
    EXPECT_TRUE(pair.right.open(first).ok());
    EXPECT_EQ(reason(pair.right.open(first).status()), "replay");
    EXPECT_TRUE(pair.right.open(third).ok());
    EXPECT_EQ(reason(pair.right.open(second).status()), "replay");
}

TEST(frame_codec, a_frame_of_another_connection_is_refused)
{
    codec_pair recorded(one_key, one_key);
    const std::string frame = recorded.left.seal("1");
    frame_codec left = make_codec(one_key, "left", 'l');
    frame_codec right = make_codec(one_key, "right", 's');
    ASSERT_TRUE(right.accept_hello(left.hello_frame()).ok());
    EXPECT_EQ(reason(right.open(frame).status()), "bad_key");
}

TEST(frame_codec, a_reflected_frame_is_refused)
{
    codec_pair pair(one_key, one_key);
    EXPECT_EQ(reason(pair.left.open(pair.left.seal("1")).status()), "bad_key");
    frame_codec self = make_codec(one_key, "self", 's');
    EXPECT_EQ(reason(self.accept_hello(self.hello_frame()).status()), "replay");
}

TEST(frame_codec, a_wrong_secret_or_unknown_key_is_refused)
{
    codec_pair wrong(one_key, {{"k1", "secret-2"}});
    EXPECT_EQ(reason(wrong.right.open(wrong.left.seal("1")).status()), "bad_key");
    codec_pair unknown(one_key, {{"k2", "secret-1"}});
    EXPECT_EQ(reason(unknown.right.open(unknown.left.seal("1")).status()), "bad_key");
}

TEST(frame_codec, keys_rotate_without_refused_frames)
{
    const frame_key old_key{"k1", "secret-1"};
    const frame_key new_key{"k2", "secret-2"};
    // Rotation: all nodes accept the new key, then sign with it, then remove the old key.
    codec_pair prepared({old_key}, {old_key, new_key});
    EXPECT_TRUE(prepared.right.open(prepared.left.seal("1")).ok());
    EXPECT_TRUE(prepared.left.open(prepared.right.seal("1")).ok());
    codec_pair switched({new_key, old_key}, {old_key, new_key});
    EXPECT_TRUE(switched.right.open(switched.left.seal("1")).ok());
    EXPECT_TRUE(switched.left.open(switched.right.seal("1")).ok());
    codec_pair dropped({new_key}, {old_key});
    EXPECT_EQ(reason(dropped.right.open(dropped.left.seal("1")).status()), "bad_key");
}

RC_GTEST_PROP(frame_codec, any_changed_byte_is_refused, ())
{
    codec_pair pair(one_key, one_key);
    std::string frame = pair.left.seal(encode(version_pull{7, sha256_hex("tree")}));
    const std::size_t position = *rc::gen::inRange<std::size_t>(0, frame.size());
    frame[position] = static_cast<char>(frame[position] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(!pair.right.open(frame).ok());
}

TEST(frame_codec, a_frame_before_the_hello_or_a_second_hello_is_refused)
{
    codec_pair pair(one_key, one_key);
    frame_codec fresh = make_codec(one_key, "right", 'r');
    EXPECT_EQ(reason(fresh.open(pair.left.seal("1")).status()), "malformed");
    EXPECT_EQ(reason(pair.right.accept_hello(pair.left.hello_frame()).status()), "replay");
}

} // namespace agatespread
