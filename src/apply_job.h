#pragma once

#include <agatespread/store.h>
#include <agatespread/tree.h>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatespread {

/// An operator's request to replace or remove one subtree.
struct apply_request {
    std::string subtree;
    std::string document; ///< In canonical form; empty removes the subtree.
    std::string change_id;
    std::string operator_id;
    bool dry_run = false;
};

/// The result of an accepted change, with the data that is needed to distribute it.
struct apply_result {
    accepted_change accepted;
    change committed;
    bool dry_run = false;
};

/// The configuration in force on the node that applies a change. Its documents need not be read
/// from the platform.
struct local_configuration {
    config_version version = 0;
    config_tree tree;
};

using local_configuration_source = std::function<local_configuration()>;

/// Validates a change against the newest tree and commits it with optimistic concurrency control.
///
/// After a concurrent change of another subtree, the change is validated again on the new tree and
/// retried; after a concurrent change of the same subtree, it fails with the reason "conflict".
/// A platform that has returned from an older copy names a head below the version in force. The
/// change is then applied to the tree in force, so that the lost changes become part of the new
/// version, and gets a number above it.
///
/// Errors carry the layer "store" or, for an invalid tree, the layer "tree".
void apply_change(config_store& store, apply_request request, local_configuration_source local,
                  std::function<void(absl::StatusOr<apply_result>)> done);

} // namespace agatespread
