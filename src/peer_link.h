#pragma once

#include "peer_socket.h"

#include <agatespread/metrics.h>
#include <agatespread/peer.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agatespread::detail {

/// A WebSocket connection to or from another node, and its authentication state.
struct peer_connection {
    peer_connection(bool is_outgoing, std::vector<frame_key> keys, hello self)
        : outgoing(is_outgoing), codec(std::move(keys), std::move(self))
    {
    }

    std::shared_ptr<peer_socket> socket; ///< Null until the connection attempt starts.
    bool outgoing;                       ///< Whether this node is the WebSocket client.
    frame_codec codec;
    std::string dialed_address; ///< The address connected to; empty if incoming.
    peer_endpoint peer;
    bool open = false;
    bool hello_received = false;
    bool authenticated = false; ///< A frame with a valid MAC was received.
    bool superseded = false;    ///< Replaced; only receives until closed.
    bool closing = false;
    int refused_frames = 0;
    /// Sent and received before authentication, when the peer's failure domain is not known.
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    time_point started;
    time_point authenticated_at;
    time_point last_use;
};

/// The traffic counters of one scope: "domain" for peers in this node's failure domain, "remote"
/// for all others.
struct scope_counters {
    scope_counters(metrics& data, const std::string& scope)
        : sent_bytes(data.counter_of("agatespread_peer_sent_bytes_total", {{"scope", scope}})),
          sent_frames(data.counter_of("agatespread_peer_sent_frames_total", {{"scope", scope}})),
          received_bytes(
              data.counter_of("agatespread_peer_received_bytes_total", {{"scope", scope}})),
          received_frames(
              data.counter_of("agatespread_peer_received_frames_total", {{"scope", scope}}))
    {
    }

    counter& sent_bytes;
    counter& sent_frames;
    counter& received_bytes;
    counter& received_frames;
};

} // namespace agatespread::detail
