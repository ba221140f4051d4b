#pragma once

#include <agatespread/base.h>
#include <agatespread/settings.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

namespace agatespread {

/// The listen addresses of a node as IP:port, with the ports that were bound.
struct node_addresses {
    std::string mesh;
    std::string inbound;
    std::string peer;
    std::string operators;
};

/// A proxy that is a member of the mesh and receives its configuration from it.
///
///     absl::StatusOr<std::unique_ptr<node>> proxy = node::start(settings, seed);
///     (*proxy)->run();
class node {
public:
    /// Starts all listeners and threads; `seed` initializes the random number generator.
    static absl::StatusOr<std::unique_ptr<node>> start(node_settings settings, std::uint64_t seed);

    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// Returns the addresses on which the node listens.
    node_addresses addresses() const;

    /// Runs the control loop on the calling thread until a graceful shutdown has completed.
    void run();

    /// Starts a graceful shutdown; thread-safe and idempotent.
    void shut_down();

    struct impl;
    explicit node(std::unique_ptr<impl> state);

private:
    std::unique_ptr<impl> impl_;
};

} // namespace agatespread
