#pragma once

#include <agatespread/event_loop.h>
#include <agatespread/kernel.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespread {

/// A condition on a row: its value equals `value`, or the row does not exist if `value` is not set.
struct precondition {
    std::string key;
    std::optional<std::string> value;
};

/// A write of a row, or its removal if `value` is not set.
struct row_write {
    std::string key;
    std::optional<std::string> value;
};

/// Writes that are applied atomically if all preconditions hold.
struct transaction {
    std::vector<precondition> preconditions;
    std::vector<row_write> writes;
};

/// A row of the table.
struct row {
    std::string key;
    std::string value;
};

/// A position in the history of the table's changes.
struct feed_position {
    std::uint64_t revision = 0; ///< Revision of the last change; 0 is before all changes.
    /// Rises when the platform returns from an older copy: acknowledged writes are lost and their
    /// revisions are used again. 0 if the platform names none.
    std::uint64_t era = 0;
};

/// The result of a poll for changed rows; a row without a value was removed.
struct row_changes {
    std::vector<row_write> rows;
    feed_position position; ///< The value of `after` for the next `poll_changes`.
    bool complete = false;  ///< `rows` holds all rows under the prefix; others were removed.
};

/// The result of a transaction; `conflicts` holds the current rows of the failed preconditions.
struct transaction_result {
    bool committed = false;
    std::vector<row> conflicts;
};

/// A driver for the platform's table service and object store; every call invokes its callback
/// exactly once.
///
/// Errors have the layer "platform" and one of the reasons "unavailable" (not executed),
/// "outcome_unknown" (a write may have been applied), "overloaded" (not executed), "not_found" or
/// "malformed".
class platform {
public:
    template <typename Result>
    using callback = std::function<void(absl::StatusOr<Result>)>;

    platform() = default;
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    virtual ~platform() = default;

    /// Applies a transaction; the preconditions are checked against the current rows.
    virtual void commit(transaction request, callback<transaction_result> done) = 0;

    /// Reads a row; the result may be stale, and is `std::nullopt` if the row does not exist.
    virtual void read(std::string key, callback<std::optional<std::string>> done) = 0;

    /// Reads at most `limit` rows whose key starts with `prefix`, in descending order of key.
    virtual void scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done) = 0;

    /// Waits for changes after the position `after` of rows whose key starts with `prefix`, for at
    /// most `wait` (a long poll).
    ///
    /// With the revision 0 it returns all rows at once. An error has the reason "history_lost" if
    /// the changes after `after` are no longer available or belong to an earlier era, and
    /// "unimplemented" if the driver does not support polling.
    virtual void poll_changes(std::string prefix, feed_position after,
                              std::chrono::milliseconds wait, callback<row_changes> done);

    /// Makes calls of the next seconds use new connections, because open ones may have fallen
    /// silent. Drivers without connections ignore it.
    virtual void avoid_open_connections() {}

    /// Stores an object under its SHA-256 hash; idempotent.
    virtual void put_object(std::string id, std::string bytes, callback<bool> done) = 0;

    /// Reads an object; the caller verifies its hash.
    virtual void get_object(std::string id, callback<std::string> done) = 0;
};

/// Creates a driver for an address; drivers are registered under a name such as "http".
using platform_factory = std::unique_ptr<platform>(event_loop& loop, const std::string& address);

} // namespace agatespread
