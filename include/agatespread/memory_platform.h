#pragma once

#include <agatespread/base.h>
#include <agatespread/platform.h>
#include <agatespread/timer.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace agatespread {

/// The outcome of a write.
enum class write_outcome {
    answered,      ///< Applied and acknowledged.
    response_lost, ///< Applied, but the response is lost.
    request_lost,  ///< Not applied; the caller gets the same error as for a lost response.
    applied_late   ///< The response is lost; applied by `apply_late_writes`.
};

/// Injected faults, which last until they are changed.
struct platform_faults {
    bool down = false;        ///< Every call fails with "unavailable".
    bool stale_reads = false; ///< Reads and scans return the rows as of when this was set.
    std::chrono::milliseconds delay{0};    ///< Passes before a call is executed and answered.
    std::uint64_t writes_per_second = 0;   ///< Excess writes are refused; 0 means no limit.
    std::uint64_t reads_per_second = 0;    ///< Excess reads are refused; 0 means no limit.
    std::set<std::string> corrupt_objects; ///< Objects that are returned with one bit flipped.
    std::set<std::string> missing_objects; ///< Objects that are reported as not found.
};

/// The numbers of received calls; refused calls are also counted as reads or writes.
struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; ///< Transactions, also without writes, and stored objects.
    std::uint64_t refused_reads = 0;
    std::uint64_t refused_writes = 0;
};

/// An in-memory platform with fault injection, for tests and for `agatespread-platform-stand-in`.
/// Not thread-safe.
///
/// Without an injected delay, a call invokes its callback before it returns, except for a poll that
/// waits for changes.
///
///     manual_timer_service timers;
///     memory_platform driver(timers);
///     driver.inject_write_outcome(write_outcome::response_lost, 1);
class memory_platform final : public platform {
public:
    /// The timers must outlive the driver.
    explicit memory_platform(timer_service& timers);

    void commit(transaction request, callback<transaction_result> done) override;
    void read(std::string key, callback<std::optional<std::string>> done) override;
    void scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done) override;
    void poll_changes(std::string prefix, feed_position after, std::chrono::milliseconds wait,
                      callback<row_changes> done) override;
    void put_object(std::string id, std::string bytes, callback<bool> done) override;
    void get_object(std::string id, callback<std::string> done) override;

    /// Returns the injected faults.
    const platform_faults& faults() const { return faults_; }

    /// Replaces the injected faults.
    void set_faults(platform_faults faults);

    /// Sets the outcome of `count` transactions or stored objects, after those already set.
    void inject_write_outcome(write_outcome outcome, std::size_t count);

    /// Applies the writes with the outcome `applied_late` in the order of their calls.
    void apply_late_writes();

    /// Discards the history of changes, so that polls from an older revision fail with
    /// "history_lost".
    void discard_history();

    /// Keeps a copy of the rows for `restore_copy`.
    void save_copy();

    /// Returns to the copy, in a new era: later writes are lost and their revisions are used again.
    /// Polls that wait for changes fail with "unavailable".
    void restore_copy();

    /// Returns the numbers of received calls.
    const platform_counts& counts() const { return counts_; }

    /// Returns the current rows.
    const std::map<std::string, std::string>& rows() const { return state_.rows; }

private:
    using table = std::map<std::string, std::string>;

    /// The rows with their history of changes.
    struct table_state {
        table rows;
        std::uint64_t revision = 1;      ///< Revision of the newest change.
        std::uint64_t history_start = 1; ///< `history` holds all changes after this revision.
        std::map<std::uint64_t, row_write> history;
    };

    struct rate_window {
        std::int64_t second = -1;
        std::uint64_t calls = 0;
    };

    absl::Status admit_read();
    absl::Status admit_write();
    bool within_limit(rate_window& current, std::uint64_t limit) const;
    /// A call of `poll_changes` that waits for a change.
    struct pending_poll {
        std::string prefix;
        feed_position after;
        callback<row_changes> done;
        subscription timeout;
    };

    row_changes changes_since(const std::string& prefix, feed_position after) const;
    void record(const row_write& change);
    void complete_polls();
    void after_delay(std::function<void()> call);
    template <typename Result>
    void execute_write(std::function<Result()> apply_write, callback<Result> done);
    template <typename Result>
    void execute_read(std::function<absl::StatusOr<Result>()> get, callback<Result> done);
    transaction_result apply(const transaction& request);
    const table& readable_rows() const { return faults_.stale_reads ? stale_rows_ : state_.rows; }

    timer_service& timers_;
    platform_faults faults_;
    platform_counts counts_;
    rate_window read_window_;
    rate_window write_window_;
    table_state state_;
    table_state copy_;
    std::uint64_t era_ = 1; ///< Number of the returns to the copy, plus 1.
    table stale_rows_;
    table objects_;
    std::map<std::uint64_t, pending_poll> pending_polls_;
    std::uint64_t next_poll_ = 0;
    std::deque<write_outcome> injected_outcomes_;
    std::deque<std::function<void()>> late_writes_;
    std::uint64_t next_delayed_call_ = 0;
    std::map<std::uint64_t, subscription> delayed_calls_;
};

} // namespace agatespread
