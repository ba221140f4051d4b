#include "wire_archive.h"

#include <agatespread/digest.h>
#include <agatespread/tree.h>
#include <agatespread/wire.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <array>
#include <type_traits>
#include <utility>

namespace agatespread {

namespace detail {

// Each function lists the fields of one struct for both encoding and decoding. Keys are short
// because every message repeats them. They must not change, because nodes of different software
// versions exchange messages.

template <typename Archive>
void fields(Archive& archive, upstream_record& value)
{
    archive.text("f", "fleet", value.fleet);
    archive.text("s", "service", value.service);
    archive.text("t", "tenant", value.tenant);
    archive.number("n", "slots", value.slots);
    archive.enumeration("z", "state", value.state, upstream_state::draining);
}

template <typename Archive>
void fields(Archive& archive, member_record& value)
{
    archive.text("n", "node", value.node);
    archive.text("d", "failure_domain", value.failure_domain);
    archive.number("i", "incarnation", value.incarnation);
    archive.enumeration("z", "state", value.state, member_state::left);
    archive.flag("r", "ready", value.ready);
    archive.text("p", "peer_address", value.peer_address);
    archive.text("a", "inbound_address", value.inbound_address);
    archive.object("u", "upstream", value.upstream);
    archive.number("v", "in_force", value.in_force);
}

template <typename Archive>
void fields(Archive& archive, ping& value)
{
    archive.number("s", "sequence", value.sequence);
    archive.number("v", "in_force", value.in_force);
    archive.number("d", "members_digest", value.members_digest);
    archive.list("u", "updates", value.updates, max_updates);
}

template <typename Archive>
void fields(Archive& archive, ack& value)
{
    archive.number("s", "sequence", value.sequence);
    archive.text("n", "subject", value.subject);
    archive.number("v", "in_force", value.in_force);
    archive.number("d", "members_digest", value.members_digest);
    archive.list("u", "updates", value.updates, max_updates);
}

template <typename Archive>
void fields(Archive& archive, ping_request& value)
{
    archive.number("s", "sequence", value.sequence);
    archive.text("n", "subject", value.subject);
}

template <typename Archive>
void fields(Archive& archive, join& value)
{
    archive.object("m", "self", value.self);
    archive.flag("f", "fence_only", value.fence_only);
    archive.number("x", "nonce", value.nonce);
}

template <typename Archive>
void fields(Archive& archive, join_reply& value)
{
    archive.duration("r", "retry_after", value.retry_after);
    archive.number("f", "fence", value.fence);
    archive.list("m", "members", value.members, max_records);
    archive.number("x", "nonce", value.nonce);
}

template <typename Archive>
void fields(Archive& archive, domain_digest& value)
{
    archive.text("n", "failure_domain", value.failure_domain);
    archive.number("d", "members_digest", value.members_digest);
}

template <typename Archive>
void fields(Archive& archive, members_pull& value)
{
    archive.list("h", "held", value.held, max_domains);
    archive.flag("a", "all_domains", value.all_domains);
}

template <typename Archive>
void fields(Archive& archive, members_push& value)
{
    archive.list("m", "members", value.members, max_records);
}

template <typename Archive>
void fields(Archive& archive, subtree_change& value)
{
    archive.text("s", "subtree", value.subtree);
    archive.hash("o", "object_id", value.object_id);
}

template <typename Archive>
void fields(Archive& archive, version_push& value)
{
    archive.number("v", "version", value.version);
    archive.number("b", "base", value.base);
    archive.hash("m", "manifest_id", value.manifest_id);
    archive.text("i", "change_id", value.change_id);
    archive.list("c", "changes", value.changes, max_changes);
    archive.text_list("o", "objects", value.objects, max_changes, max_subtree_bytes);
}

template <typename Archive>
void fields(Archive& archive, version_pull& value)
{
    archive.number("v", "held", value.held);
    archive.hash("m", "manifest_id", value.manifest_id);
}

template <typename Archive>
void fields(Archive& archive, version_ack& value)
{
    archive.number("v", "in_force", value.in_force);
    archive.number("r", "refused", value.refused);
    archive.text("w", "reason", value.reason, max_reason_bytes);
}

template <typename Archive>
void fields(Archive& archive, lagging_node& value)
{
    archive.text("n", "node", value.node);
    archive.number("v", "in_force", value.in_force);
    archive.text("w", "reason", value.reason, max_reason_bytes);
}

template <typename Archive>
void fields(Archive& archive, domain_summary& value)
{
    archive.text("n", "failure_domain", value.failure_domain);
    archive.number("s", "sequence", value.sequence);
    archive.number("l", "lowest", value.lowest);
    archive.number("h", "highest", value.highest);
    archive.number("m", "members", value.members);
    archive.number("u", "unreachable", value.unreachable);
    archive.number("d", "members_digest", value.members_digest);
    archive.list("b", "behind", value.behind, max_behind);
    archive.list("r", "records", value.records, max_records);
}

template <typename Archive>
void fields(Archive& archive, status_request& value)
{
    archive.number("i", "id", value.id);
}

template <typename Archive>
void fields(Archive& archive, status_reply& value)
{
    archive.number("i", "id", value.id);
    archive.list("d", "domains", value.domains, max_domains);
}

template <typename Archive>
void fields(Archive& archive, crash_report& value)
{
    archive.number("f", "fingerprint", value.fingerprint);
    archive.number("c", "crashes", value.crashes);
    archive.flag("x", "cleared", value.cleared);
    archive.duration("b", "blocked_for", value.blocked_for);
    archive.number_list("s", "suspects", value.suspects, max_suspects);
}

template <typename Archive>
void fields(Archive& archive, drain& value)
{
    archive.text("n", "target", value.target);
    archive.text("o", "operator_id", value.operator_id);
}

template <typename Archive>
void fields(Archive& archive, hello& value)
{
    archive.text("n", "node", value.node);
    archive.text("d", "failure_domain", value.failure_domain);
    archive.text("p", "peer_address", value.peer_address);
    archive.text("x", "nonce", value.nonce);
}

} // namespace detail

namespace {

using nlohmann::json;

constexpr std::size_t message_count = std::variant_size_v<message>;

// The index in `message` is the message type on the wire, so new messages are added at the end.
constexpr std::array<std::string_view, message_count> message_names = {
    "ping",         "ack",          "ping_request",   "join",
    "join_reply",   "members_pull", "members_push",   "version_push",
    "version_pull", "version_ack",  "domain_summary", "status_request",
    "status_reply", "crash_report", "drain"};

absl::Status malformed_error(std::string_view what)
{
    return layer_error(absl::StatusCode::kInvalidArgument, "wire", "malformed", what);
}

template <typename Struct>
std::string encode_struct(const Struct& value, std::size_t type)
{
    detail::json_writer writer;
    // A writing archive only reads from the value.
    detail::fields(writer, const_cast<Struct&>(value));
    writer.result()["T"] = type;
    const std::vector<std::uint8_t> bytes = json::to_cbor(writer.result());
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

template <typename Struct>
absl::StatusOr<Struct> decode_struct(const json& source, std::string_view name)
{
    Struct value;
    detail::json_reader reader(source, std::string(name));
    detail::fields(reader, value);
    if (!reader.error().empty()) {
        return malformed_error(reader.error());
    }
    return value;
}

template <std::size_t Index = 0>
absl::StatusOr<message> decode_alternative(const json& source, std::size_t type)
{
    if constexpr (Index < message_count) {
        if (type != Index) {
            return decode_alternative<Index + 1>(source, type);
        }
        using alternative = std::variant_alternative_t<Index, message>;
        absl::StatusOr<alternative> value =
            decode_struct<alternative>(source, message_names[Index]);
        if (!value.ok()) {
            return value.status();
        }
        return message(std::move(*value));
    }
    else {
        return malformed_error(absl::StrCat("message type ", type, " is unknown"));
    }
}

/// Parses one CBOR map after checking its size and nesting.
absl::StatusOr<json> parse_map(std::string_view bytes)
{
    if (!detail::is_bounded_cbor(bytes)) {
        return malformed_error("the bytes are not one CBOR item within the limits");
    }
    json source = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!source.is_object()) {
        return malformed_error("the message is not a CBOR map");
    }
    return source;
}

absl::StatusOr<std::size_t> type_of(const json& source)
{
    const auto found = source.find("T");
    if (found == source.end() || !found->is_number_unsigned()) {
        return malformed_error("field \"T\" (message type) is missing or not a number");
    }
    return found->get<std::size_t>();
}

} // namespace

std::string encode(const message& content)
{
    return std::visit(
        [&content](const auto& value) { return encode_struct(value, content.index()); }, content);
}

absl::StatusOr<message> decode(std::string_view bytes)
{
    const absl::StatusOr<json> source = parse_map(bytes);
    if (!source.ok()) {
        return source.status();
    }
    const absl::StatusOr<std::size_t> type = type_of(*source);
    if (!type.ok()) {
        return type.status();
    }
    return decode_alternative(*source, *type);
}

std::string_view name_of(const message& content)
{
    return message_names[content.index()];
}

namespace detail {

std::string encode_hello(const hello& value)
{
    // A type that no message uses, so that a hello frame cannot be decoded as a message.
    return encode_struct(value, hello_type);
}

absl::StatusOr<hello> decode_hello(std::string_view bytes)
{
    const absl::StatusOr<json> source = parse_map(bytes);
    if (!source.ok()) {
        return source.status();
    }
    const absl::StatusOr<std::size_t> type = type_of(*source);
    if (!type.ok()) {
        return type.status();
    }
    if (*type != hello_type) {
        return malformed_error("the first frame is not a hello");
    }
    return decode_struct<hello>(*source, "hello");
}

} // namespace detail

std::uint32_t kind_of(std::string_view name)
{
    // 0 means no kind.
    return std::max(static_cast<std::uint32_t>(hash64(name)), 1U);
}

} // namespace agatespread
