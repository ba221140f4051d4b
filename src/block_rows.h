#pragma once

#include <agatespread/base.h>
#include <agatespread/platform.h>
#include <agatespread/timer.h>
#include <agatespread/wire.h>

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread::detail {

/// The keys, delays and limits of `block_rows`.
struct block_rows_options {
    std::string prefix = "blocks/";
    std::chrono::milliseconds retry_delay = std::chrono::seconds(1);
    /// A row is removed this long after the end of its block; until then its number of blocks
    /// counts.
    std::chrono::milliseconds retention = std::chrono::hours(4);
    /// How long a failed removal of a cleared block is repeated.
    std::chrono::milliseconds removal_timeout = std::chrono::minutes(1);
    std::size_t max_rows = 1000;
    std::size_t max_removals = 20; ///< In one transaction.
};

/// Keeps the blocks of the crash guard on the platform, so that they outlast a restart of all
/// nodes.
///
/// A row has the fingerprint as key and holds the number of blocks and the end as Unix time. Calls
/// that fail are repeated until the block ends.
class block_rows {
public:
    using wall_clock = std::function<std::chrono::system_clock::time_point()>;
    using block_hook = std::function<void(const crash_report& block)>;
    using error_hook = std::function<void(std::string_view action, const absl::Status& status)>;

    /// The driver and the timers must outlive the rows.
    block_rows(platform& driver, timer_service& timers, wall_clock clock, error_hook on_error,
               block_rows_options options);
    block_rows(const block_rows&) = delete;
    block_rows& operator=(const block_rows&) = delete;
    ~block_rows();

    /// Reads all blocks once and passes them to the hook, those that have ended with a time of 1
    /// ms.
    void load(block_hook on_block);

    /// Writes the block of a report.
    void store(const crash_report& block);

    /// Removes the row of a fingerprint that a success cleared.
    void remove(std::uint64_t fingerprint);

    /// Repeats the writes and removals of this process that still matter, because the platform may
    /// have lost them.
    void repeat_writes();

    /// Excludes a block that another node cleared from `repeat_writes`.
    void forget(std::uint64_t fingerprint);

private:
    struct stored_block {
        std::uint32_t blocks = 0; ///< 0 to remove the row.
        std::chrono::system_clock::time_point end;
    };

    std::string key_of(std::uint64_t fingerprint) const;
    void scan();
    void apply_rows(const std::vector<row>& rows);
    void remove_rows(const std::vector<row>& ended);
    void write_pending();

    platform& driver_;
    timer_service& timers_;
    const wall_clock clock_;
    const error_hook on_error_;
    const block_rows_options options_;
    block_hook on_block_;
    std::map<std::uint64_t, stored_block> pending_; ///< Blocks that are not written yet.
    std::map<std::uint64_t, stored_block> written_; ///< Blocks that have not ended yet.
    bool write_in_flight_ = false;
    subscription scan_timer_;
    subscription write_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace agatespread::detail
