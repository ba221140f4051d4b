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

/// What becomes of a write.
enum class write_outcome {
    answered,      ///< It takes effect and is answered.
    response_lost, ///< It takes effect, but the answer is lost.
    request_lost,  ///< It has no effect, and the caller cannot know.
    applied_late   ///< The answer is lost, and it takes effect when late writes are applied.
};

/// The faults of a platform that stay until they are changed.
struct platform_faults {
    bool down = false;                   ///< Every call ends with "unavailable".
    bool stale_reads = false;            ///< Reads and scans see the table as it was at the switch.
    std::chrono::milliseconds delay{0};  ///< Passes before a call takes effect and is answered.
    std::uint64_t writes_per_second = 0; ///< Further writes are refused; 0 is no limit.
    std::uint64_t reads_per_second = 0;  ///< Further reads are refused; 0 is no limit.
    std::set<std::string> corrupt_objects; ///< Objects that are read with one byte changed.
    std::set<std::string> missing_objects; ///< Objects that are not found.
};

/// How many calls a platform received; refused calls are counted as reads or writes as well.
struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; ///< Transactions, with or without writes, and stored objects.
    std::uint64_t refused_reads = 0;
    std::uint64_t refused_writes = 0;
};

/// A platform in memory with faults for tests and for the stand-in; to be used on one thread.
///
/// Without a delay a call ends before it returns.
///
///     manual_timer_service timers;
///     memory_platform driver(timers);
///     driver.inject_write_outcome(write_outcome::response_lost, 1);
class memory_platform final : public platform {
public:
    /// Keeps a reference to the timers, which outlive the driver.
    explicit memory_platform(timer_service& timers);

    void commit(transaction request, callback<transaction_result> done) override;
    void read(std::string key, callback<std::optional<std::string>> done) override;
    void scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done) override;
    void poll_changes(std::string prefix, std::uint64_t after, std::chrono::milliseconds wait,
                      callback<row_changes> done) override;
    void put_object(std::string id, std::string bytes, callback<bool> done) override;
    void get_object(std::string id, callback<std::string> done) override;

    /// Returns the faults in force.
    const platform_faults& faults() const { return faults_; }

    /// Replaces the faults in force.
    void set_faults(platform_faults faults);

    /// Gives a fate to the next `count` transactions and stored objects.
    void inject_write_outcome(write_outcome fate, std::size_t count);

    /// Lets the writes with the fate `applied_late` take effect, in their order.
    void apply_late_writes();

    /// Forgets all changes so far, so that feeds that are behind get "history_lost".
    void discard_history();

    /// Returns how many calls were received.
    const platform_counts& counts() const { return counts_; }

    /// Returns the present rows.
    const std::map<std::string, std::string>& rows() const { return rows_; }

private:
    using table = std::map<std::string, std::string>;

    struct window {
        std::int64_t second = -1;
        std::uint64_t used = 0;
    };

    absl::Status admit_read();
    absl::Status admit_write();
    bool within_limit(window& used, std::uint64_t limit) const;
    /// A call of `follow` that waits for a change.
    struct follower {
        std::string prefix;
        std::uint64_t after = 0;
        callback<row_changes> done;
        subscription timeout;
    };

    row_changes changes_of(const std::string& prefix, std::uint64_t after) const;
    void record(const row_write& change);
    void wake_followers();
    void after_delay(std::function<void()> call);
    template <typename Result>
    void write(std::function<Result()> apply, callback<Result> done);
    template <typename Result>
    void answer_read(std::function<absl::StatusOr<Result>()> get, callback<Result> done);
    transaction_result apply(const transaction& request);
    const table& readable_rows() const { return faults_.stale_reads ? stale_rows_ : rows_; }

    timer_service& timers_;
    platform_faults faults_;
    platform_counts counts_;
    window read_window_;
    window write_window_;
    table rows_;
    table stale_rows_;
    table objects_;
    std::uint64_t revision_ = 1;    ///< Of the newest change.
    std::uint64_t known_since_ = 1; ///< Changes after this revision are known.
    std::map<std::uint64_t, row_write> history_;
    std::map<std::uint64_t, follower> followers_;
    std::uint64_t next_follower_ = 0;
    std::deque<write_outcome> fates_;
    std::deque<std::function<void()>> late_writes_;
    std::uint64_t next_timer_ = 0;
    std::map<std::uint64_t, subscription> pending_;
};

} // namespace agatespread
