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

/// A condition on a row: it has this value, or does not exist when the value is empty.
struct precondition {
    std::string key;
    std::optional<std::string> value;
};

/// A write of a row, or its removal when the value is empty.
struct row_write {
    std::string key;
    std::optional<std::string> value;
};

/// Writes that take effect together when all preconditions hold.
struct transaction {
    std::vector<precondition> preconditions;
    std::vector<row_write> writes;
};

/// A row as read from the table.
struct row {
    std::string key;
    std::string value;
};

/// Rows that changed; a row without a value was removed.
struct row_changes {
    std::vector<row_write> rows;
    std::uint64_t revision = 0; ///< Where the next call of `follow` goes on.
    bool complete = false;      ///< `rows` are all rows, so that others are gone.
};

/// The end of a transaction; `conflicts` holds the present rows of the failed preconditions.
struct transaction_result {
    bool committed = false;
    std::vector<row> conflicts;
};

/// The platform's table service and object store; every call ends with one callback.
///
/// Errors carry the layer "platform" and one of the reasons "unavailable" (nothing was done),
/// "outcome_unknown" (a write may have taken effect), "overloaded" (nothing was done),
/// "not_found" or "malformed".
class platform {
public:
    template <typename Result>
    using callback = std::function<void(absl::StatusOr<Result>)>;

    platform() = default;
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    virtual ~platform() = default;

    /// Applies a transaction; its view of the preconditions is never stale.
    virtual void commit(transaction request, callback<transaction_result> done) = 0;

    /// Reads a row, which may be stale; an absent row is `std::nullopt`.
    virtual void read(std::string key, callback<std::optional<std::string>> done) = 0;

    /// Reads at most `limit` rows whose key starts with `prefix`, in descending order of key.
    virtual void scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done) = 0;

    /// Waits for changes of rows whose key starts with `prefix`, for at most `wait`.
    ///
    /// `after` 0 returns all rows at once. The reason "history_lost" says that changes after
    /// `after` are no longer known. Drivers without a feed answer "unimplemented".
    virtual void poll_changes(std::string prefix, std::uint64_t after,
                              std::chrono::milliseconds wait, callback<row_changes> done);

    /// Stores an object under its SHA-256; storing it again has no effect.
    virtual void put_object(std::string id, std::string bytes, callback<bool> done) = 0;

    /// Reads an object; the caller checks its hash.
    virtual void get_object(std::string id, callback<std::string> done) = 0;
};

/// Makes a driver for an address; drivers register under a name such as "http".
using platform_factory = std::unique_ptr<platform>(event_loop& loop, const std::string& address);

} // namespace agatespread
