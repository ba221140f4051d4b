#pragma once

#include <agatespread/base.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace agatespread {

/// Whether a member takes part in its failure domain. At equal incarnation, the later enumerator
/// takes precedence.
enum class member_state : std::uint8_t { alive, suspect, unreachable, left };

/// The life cycle state of an upstream; only a ready one is sent new requests.
enum class upstream_state : std::uint8_t { gone, starting, ready, draining };

/// The mean times of the requests of one kind at an upstream.
struct kind_time {
    std::uint32_t kind = 0;                        ///< As returned by `kind_of`; 0 for none.
    std::chrono::nanoseconds mean{0};              ///< Service time on a slot.
    std::chrono::nanoseconds transmission_time{0}; ///< Of the response over the host's link.
};

/// Returns the kind of the requests of a request class or rule: a non-zero hash of its name.
std::uint32_t kind_of(std::string_view name);

/// The kinds that an upstream served most recently. Four cover services with up to three kinds.
using kind_times = std::array<kind_time, 4>;

/// The upstream of a target, as it registered itself.
struct upstream_record {
    std::string fleet;
    std::string service;
    std::string tenant;
    std::uint32_t slots = 0;
    upstream_state state = upstream_state::gone;

    friend bool operator==(const upstream_record& left, const upstream_record& right)
    {
        return left.fleet == right.fleet && left.service == right.service &&
               left.tenant == right.tenant && left.slots == right.slots &&
               left.state == right.state;
    }
};

/// The state of one node as spread by gossip.
struct member_record {
    node_id node;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    bool ready = false;          ///< Whether the node has applied a version.
    std::string peer_address;    ///< Listens for other nodes.
    std::string inbound_address; ///< Listens for requests to its upstream.
    upstream_record upstream;
    config_version in_force = 0; ///< The last version that the node reported as applied.
};

/// A probe of the failure detector.
struct ping {
    std::uint64_t sequence = 0;
    config_version in_force = 0;
    std::uint64_t members_digest = 0;
    std::vector<member_record> updates;
};

/// The response to a ping. For an indirect probe, `subject` is the member that was probed.
struct ack {
    std::uint64_t sequence = 0;
    node_id subject;
    config_version in_force = 0;
    std::uint64_t members_digest = 0;
    std::vector<member_record> updates;
};

/// Asks a member to probe `subject` (indirect probe).
struct ping_request {
    std::uint64_t sequence = 0;
    node_id subject;
};

/// Asks to join the mesh.
struct join {
    member_record self;
    bool fence_only = false; ///< Asks for the fence without the member records.
    std::uint64_t nonce = 0; ///< Differs between incarnations of the process.
};

/// The response to a join; if `retry_after` is above 0, no other field is set.
struct join_reply {
    std::chrono::milliseconds retry_after{0};
    config_version fence = 0; ///< The lowest version that the node may serve.
    std::vector<member_record> members;
    std::uint64_t nonce = 0; ///< Of the join.
};

/// The digest of the member records of one failure domain.
struct domain_digest {
    std::string failure_domain;
    std::uint64_t members_digest = 0;
};

/// Asks for the member records of the failure domains whose digests differ from those in `held`.
struct members_pull {
    std::vector<domain_digest> held;
    bool all_domains = true; ///< Also asks for failure domains not listed in `held`.
};

/// Sends member records.
struct members_push {
    std::vector<member_record> members;
};

/// A subtree changed by a version; an empty object id means that it is removed.
struct subtree_change {
    std::string subtree;
    std::string object_id;
};

/// Sends a version as a delta on version `base`, or the whole tree if `base` is 0.
struct version_push {
    config_version version = 0;
    config_version base = 0;
    std::string manifest_id;
    std::string change_id;
    std::vector<subtree_change> changes;
    std::vector<std::string> objects; ///< Changed documents that the receiver may not have.
};

/// Asks for the newest version; `held` is the version that the sender has.
struct version_pull {
    config_version held = 0;
    std::string manifest_id;
};

/// Reports the version in force and, if `refused` is above it, a version that could not be applied.
struct version_ack {
    config_version in_force = 0;
    config_version refused = 0;
    std::string reason;
};

/// One node that is behind the newest version.
struct lagging_node {
    node_id node;
    config_version in_force = 0;
    std::string reason;
};

/// The convergence and the members of one failure domain, as aggregated by its readers.
struct domain_summary {
    std::string failure_domain;
    std::uint64_t sequence = 0; ///< Wall-clock milliseconds at the sender; orders summaries.
    config_version lowest = 0;  ///< Lowest version in force.
    config_version highest = 0; ///< Highest version in force.
    std::uint32_t members = 0;
    std::uint32_t unreachable = 0;
    std::uint64_t members_digest = 0;
    std::vector<lagging_node> behind;
    std::vector<member_record> records;
};

/// Asks a reader for the convergence of all failure domains.
struct status_request {
    std::uint64_t id = 0;
};

/// The response to a status request; `id` is that of the request.
struct status_reply {
    std::uint64_t id = 0;
    std::vector<domain_summary> domains;
};

/// Shares crash suspects, a blocked fingerprint or a cleared one between nodes.
struct crash_report {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    bool cleared = false; ///< A request with the fingerprint completed.
    std::chrono::milliseconds blocked_for{0};
    std::vector<std::uint64_t> suspects; ///< Fingerprints in flight when an upstream crashed.
};

/// Asks the node on `target` to drain its upstream.
struct drain {
    node_id target;
    std::string operator_id;
};

/// Any message between two nodes.
using message = std::variant<ping, ack, ping_request, join, join_reply, members_pull, members_push,
                             version_push, version_pull, version_ack, domain_summary,
                             status_request, status_reply, crash_report, drain>;

/// Encodes a message as CBOR.
std::string encode(const message& content);

/// Decodes a message from CBOR; the error (reason "malformed") names the invalid field.
absl::StatusOr<message> decode(std::string_view bytes);

/// Returns the name of a message, such as "version_push".
std::string_view name_of(const message& content);

/// A key that authenticates frames.
struct frame_key {
    std::string id;
    std::string secret;
};

/// The first frame on a connection, sent by both sides.
struct hello {
    node_id node;
    std::string failure_domain;
    std::string peer_address;
    std::string nonce;
};

/// Authenticates the frames that one side of a connection sends and receives.
class frame_codec {
public:
    /// Signs with the first key and accepts all keys.
    frame_codec(std::vector<frame_key> keys, hello self);

    /// Replaces the keys; the first one signs from now on.
    void set_keys(std::vector<frame_key> keys) { keys_ = std::move(keys); }

    /// Returns this side's hello frame.
    std::string hello_frame() const;

    /// Accepts the peer's hello frame. Fails with reason "malformed", "replay" or "own_id".
    absl::StatusOr<hello> accept_hello(std::string_view frame);

    /// Returns a signed frame with an encoded message.
    std::string seal(std::string_view body);

    /// Verifies a frame and returns its encoded message. Fails with reason "bad_key", "replay" or
    /// "malformed".
    absl::StatusOr<std::string> open(std::string_view frame);

private:
    std::string mac(const frame_key& key, const hello& sender, const hello& receiver,
                    std::uint64_t sequence, std::string_view body) const;

    std::vector<frame_key> keys_;
    hello self_;
    hello peer_;
    std::uint64_t last_sent_sequence_ = 0;
    std::uint64_t last_received_sequence_ = 0;
};

} // namespace agatespread
