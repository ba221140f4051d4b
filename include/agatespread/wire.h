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

/// Whether a member takes part in its failure domain; later states win at equal incarnation.
enum class member_state : std::uint8_t { alive, suspect, unreachable, left };

/// Whether an upstream takes new work.
enum class upstream_state : std::uint8_t { gone, starting, ready, draining };

/// What the calls of one kind take at an upstream, on average.
struct kind_time {
    std::uint32_t kind = 0;           ///< Of `kind_of`; 0 for none.
    std::chrono::nanoseconds mean{0}; ///< On a slot.
    std::chrono::nanoseconds link{0}; ///< For which the answer occupies the host's link.
};

/// Returns the kind of the calls of a class or rule.
std::uint32_t kind_of(std::string_view name);

/// The kinds that an upstream has served last; the users' services have up to three.
using kind_times = std::array<kind_time, 4>;

/// The back end on a target, as announced by itself.
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

/// What the mesh knows of one node.
struct member_record {
    node_id node;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    bool ready = false;          ///< Whether the node has a version in force.
    std::string peer_address;    ///< Where other nodes connect to.
    std::string inbound_address; ///< Where calls for its upstream go.
    upstream_record upstream;
    config_version in_force = 0; ///< The last version that the node announced.
};

/// Asks a member whether it is alive.
struct ping {
    std::uint64_t sequence = 0;
    config_version in_force = 0;
    std::uint64_t members_digest = 0;
    std::vector<member_record> updates;
};

/// Answers a ping; `subject` names the member that answered, when relayed.
struct ack {
    std::uint64_t sequence = 0;
    node_id subject;
    config_version in_force = 0;
    std::uint64_t members_digest = 0;
    std::vector<member_record> updates;
};

/// Asks a member to ping another one.
struct ping_request {
    std::uint64_t sequence = 0;
    node_id subject;
};

/// Asks to become a member.
struct join {
    member_record self;
    bool fence_only = false; ///< Asks for the fence only.
    std::uint64_t nonce = 0; ///< Differs between the lives of a node.
};

/// Answers a join; with `retry_after` above 0 nothing else is set.
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

/// Asks for the member records of the failure domains whose digests differ from these.
struct members_pull {
    std::vector<domain_digest> held;
    bool all_domains = true; ///< Whether failure domains that are not named differ too.
};

/// Carries member records.
struct members_push {
    std::vector<member_record> members;
};

/// A subtree that a version changes; an empty object id removes it.
struct subtree_change {
    std::string subtree;
    std::string object_id;
};

/// Carries a version: a delta on `base`, or the whole tree when `base` is 0.
struct version_push {
    config_version version = 0;
    config_version base = 0;
    std::string manifest_id;
    std::string change_id;
    std::vector<subtree_change> changes;
    std::vector<std::string> objects; ///< Documents of the changes that the receiver may lack.
};

/// Asks for the newest version.
struct version_pull {
    config_version held = 0;
    std::string manifest_id;
};

/// Reports the version in force, and a version that could not be applied.
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

/// The convergence and the members of one failure domain, as its readers see it.
struct domain_summary {
    std::string failure_domain;
    std::uint64_t sequence = 0; ///< Wall-clock milliseconds at the sender; orders summaries.
    config_version lowest = 0;
    config_version highest = 0;
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

/// Answers a status request.
struct status_reply {
    std::uint64_t id = 0;
    std::vector<domain_summary> domains;
};

/// Shares what is known of a request fingerprint.
struct crash_report {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    bool cleared = false;
    std::chrono::milliseconds blocked_for{0};
    std::vector<std::uint64_t> suspects;
};

/// Asks a node to drain its upstream.
struct drain {
    node_id target;
    std::string operator_id;
};

/// Any message between two nodes.
using message = std::variant<ping, ack, ping_request, join, join_reply, members_pull, members_push,
                             version_push, version_pull, version_ack, domain_summary,
                             status_request, status_reply, crash_report, drain>;

/// Returns the CBOR form of a message.
std::string encode(const message& content);

/// Reads the CBOR form of a message; the error names the field that is wrong.
absl::StatusOr<message> decode(std::string_view bytes);

/// Returns the name of a message, such as "version_push".
std::string_view name_of(const message& content);

/// A key that authenticates frames.
struct frame_key {
    std::string id;
    std::string secret;
};

/// Opens a connection; both sides send one.
struct hello {
    node_id node;
    std::string failure_domain;
    std::string peer_address;
    std::string nonce;
};

/// Signs and checks the frames of one direction of one connection.
class frame_codec {
public:
    /// Uses the first key to sign and accepts all of them.
    frame_codec(std::vector<frame_key> keys, hello self);

    /// Replaces the keys; the first one signs from now on.
    void set_keys(std::vector<frame_key> keys) { keys_ = std::move(keys); }

    /// Returns the frame that opens the connection.
    std::string hello_frame() const;

    /// Takes the peer's opening frame.
    absl::StatusOr<hello> accept_hello(std::string_view frame);

    /// Returns a signed frame around an encoded message.
    std::string seal(std::string_view body);

    /// Returns the encoded message of a frame; refuses a bad key, a replay and a malformed frame.
    absl::StatusOr<std::string> open(std::string_view frame);

private:
    std::string mac(const frame_key& key, const hello& sender, const hello& receiver,
                    std::uint64_t sequence, std::string_view body) const;

    std::vector<frame_key> keys_;
    hello self_;
    hello peer_;
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
};

} // namespace agatespread
