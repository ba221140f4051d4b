#include "wire_archive.h"

#include <agatespread/digest.h>
#include <agatespread/wire.h>

#include <algorithm>
#include <array>
#include <utility>

namespace agatespread {

namespace {

// Frame layout: length of the key id (1 byte), key id, sequence number (8 bytes, big-endian), MAC
// (16 bytes), body.
constexpr std::size_t sequence_bytes = 8;
constexpr std::size_t mac_bytes = 16;
constexpr std::size_t min_nonce_bytes = 16;
constexpr std::size_t max_hello_bytes = 4096;

absl::Status frame_error(std::string_view reason, std::string_view what)
{
    return layer_error(absl::StatusCode::kPermissionDenied, "wire", reason, what);
}

void append_number(std::string& output, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8) {
        output.push_back(static_cast<char>((value >> static_cast<unsigned int>(shift)) & 0xffU));
    }
}

std::uint64_t read_number(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

/// Appends a length-prefixed field, so that different field values cannot give the same MAC input.
void append_field(std::string& output, std::string_view field)
{
    append_number(output, field.size());
    output.append(field);
}

void append_hello(std::string& output, const hello& value)
{
    append_field(output, value.nonce);
    append_field(output, value.node);
    append_field(output, value.failure_domain);
    append_field(output, value.peer_address);
}

} // namespace

frame_codec::frame_codec(std::vector<frame_key> keys, hello self)
    : keys_(std::move(keys)), self_(std::move(self))
{
}

std::string frame_codec::hello_frame() const
{
    return detail::encode_hello(self_);
}

absl::StatusOr<hello> frame_codec::accept_hello(std::string_view frame)
{
    if (frame.size() > max_hello_bytes) {
        return frame_error("malformed", "the hello frame is too long");
    }
    absl::StatusOr<hello> received = detail::decode_hello(frame);
    if (!received.ok()) {
        return received;
    }
    if (!peer_.nonce.empty()) {
        return frame_error("replay", "a hello frame was already received");
    }
    if (received->nonce.size() < min_nonce_bytes) {
        return frame_error("malformed", "the nonce is shorter than 16 bytes");
    }
    // A peer that reflects this node's nonce could also reflect its frames.
    if (received->nonce == self_.nonce) {
        return frame_error("replay", "the peer sent this node's nonce");
    }
    if (received->node.empty()) {
        return frame_error("malformed", "the node id is empty");
    }
    if (received->node == self_.node) {
        return frame_error("own_id", "the peer has this node's id");
    }
    peer_ = *received;
    return received;
}

std::string frame_codec::seal(std::string_view body)
{
    const frame_key key = keys_.empty() ? frame_key{} : keys_.front();
    ++last_sent_sequence_;
    std::string frame;
    frame.reserve(1 + key.id.size() + sequence_bytes + mac_bytes + body.size());
    frame.push_back(static_cast<char>(key.id.size()));
    frame.append(key.id);
    append_number(frame, last_sent_sequence_);
    frame.append(mac(key, self_, peer_, last_sent_sequence_, body));
    frame.append(body);
    return frame;
}

absl::StatusOr<std::string> frame_codec::open(std::string_view frame)
{
    if (peer_.nonce.empty()) {
        return frame_error("malformed", "a frame was received before the hello frame");
    }
    const std::size_t id_size = frame.empty() ? 0 : static_cast<unsigned char>(frame[0]);
    if (frame.size() < 1 + id_size + sequence_bytes + mac_bytes) {
        return frame_error("malformed", "the frame is too short");
    }
    const std::string_view id = frame.substr(1, id_size);
    const std::uint64_t sequence = read_number(frame.substr(1 + id_size, sequence_bytes));
    const std::string_view received_mac = frame.substr(1 + id_size + sequence_bytes, mac_bytes);
    const std::string_view body = frame.substr(1 + id_size + sequence_bytes + mac_bytes);
    const auto key = std::find_if(keys_.begin(), keys_.end(),
                                  [id](const frame_key& candidate) { return candidate.id == id; });
    if (key == keys_.end()) {
        return frame_error("bad_key", "the key id is unknown");
    }
    if (!equal_constant_time(received_mac, mac(*key, peer_, self_, sequence, body))) {
        return frame_error("bad_key", "the MAC does not match");
    }
    // Gaps are allowed because a sender drops frames when its queue is full.
    if (sequence <= last_received_sequence_) {
        return frame_error("replay", "the sequence number does not increase");
    }
    last_received_sequence_ = sequence;
    return std::string(body);
}

std::string frame_codec::mac(const frame_key& key, const hello& sender, const hello& receiver,
                             std::uint64_t sequence, std::string_view body) const
{
    std::string input = "agatespread frame 1";
    append_hello(input, sender);
    append_hello(input, receiver);
    append_number(input, sequence);
    // Hashing the body separately avoids copying it into the MAC input.
    const sha256_bytes body_hash = sha256(body);
    input.append(reinterpret_cast<const char*>(body_hash.data()), body_hash.size());
    const sha256_bytes full_mac = hmac_sha256(key.secret, input);
    return {reinterpret_cast<const char*>(full_mac.data()), mac_bytes};
}

} // namespace agatespread
