#pragma once

#include <agatespread/base.h>
#include <agatespread/platform.h>
#include <agatespread/timer.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agatespread {

/// Maps subtree paths to the SHA-256 of their documents.
using manifest = std::map<std::string, std::string>;

/// Serializes a manifest; the SHA-256 of the result is the manifest id.
std::string encode_manifest(const manifest& tree);

/// Parses a serialized manifest; fails with the reason "corrupt".
absl::StatusOr<manifest> decode_manifest(std::string_view bytes);

/// The latest accepted version.
struct head {
    config_version version = 0;
    std::string manifest_id;
    std::string change_id;

    friend bool operator==(const head& left, const head& right)
    {
        return left.version == right.version && left.manifest_id == right.manifest_id &&
               left.change_id == right.change_id;
    }
};

/// An accepted version in the history.
struct version_entry {
    config_version version = 0;
    std::string manifest_id;
    std::string change_id;
    std::string subtree;
    std::string operator_id;
};

/// A change to one subtree, validated against the version `base`.
struct change {
    std::string id;
    std::string subtree;
    std::string operator_id;
    std::string document; ///< Canonical form; an empty document removes the subtree.
    head base;
    manifest base_manifest;
    /// The accepted version is above this one as well. It is above that of `base` if the platform
    /// has returned from an older copy and lost accepted versions.
    config_version newest_known = 0;
    std::vector<std::string> lost_documents{}; ///< Of `base_manifest`; they are stored again.
};

/// The outcome of an accepted change.
struct accepted_change {
    head accepted;
    bool repeated = false; ///< The change id was already accepted by an earlier request.
};

/// Reads and writes versions on the platform.
///
/// Errors carry the layer "store" and one of the reasons "conflict", "unavailable",
/// "outcome_unknown", "corrupt" (an object's hash differs) or "not_found".
class config_store {
public:
    template <typename Result>
    using callback = std::function<void(absl::StatusOr<Result>)>;

    /// `driver` and `timers` must outlive the store.
    ///
    /// A write whose response was lost is retried: with timers after an exponential backoff,
    /// without timers immediately.
    explicit config_store(platform& driver, timer_service* timers = nullptr);
    config_store(const config_store&) = delete;
    config_store& operator=(const config_store&) = delete;

    /// Cancels pending retries; their callbacks are not called.
    ~config_store();

    /// Reads the head; the result may be stale. Returns version 0 if no version was accepted.
    void read_head(callback<head> done);

    /// Reads the head by a transaction; unlike a plain read, the result is never stale.
    void read_checked_head(callback<head> done);

    /// Reads a manifest by id and verifies its hash.
    void read_manifest(const std::string& id, callback<manifest> done);

    /// Reads an object by id and verifies its hash.
    void read_object(const std::string& id, callback<std::string> done);

    /// Reads at most `limit` versions, latest first.
    void read_history(std::size_t limit, callback<std::vector<version_entry>> done);

    /// Writes the objects, then advances the head in one transaction.
    ///
    /// The change id makes the commit idempotent, so that it can be retried after a lost response.
    /// If the head advanced, the commit fails with "conflict" even if the other change was to
    /// another subtree: the caller validates the tree against the new base and commits again with
    /// the same change id.
    void commit(change request, callback<accepted_change> done);

    /// Returns the outcome of an accepted change by its id, or "not_found".
    void find_change(const std::string& id, callback<accepted_change> done);

private:
    struct retry_queue;

    platform& driver_;
    std::shared_ptr<retry_queue> retries_;
};

} // namespace agatespread
