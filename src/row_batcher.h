#pragma once

#include <agatespread/metrics.h>
#include <agatespread/platform.h>
#include <agatespread/timer.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatespread::detail {

/// The outcome of the write of a row.
enum class row_outcome {
    written,     ///< The row has the new value.
    conflict,    ///< The row did not have the expected value; nothing was written.
    not_applied, ///< The platform rejected the transaction; nothing was written.
    unknown      ///< The write may have taken effect, or may do so later.
};

/// The result of a write; after a conflict, with the current value of the row if it exists.
struct row_result {
    row_outcome outcome = row_outcome::not_applied;
    std::optional<std::string> current;
};

/// A compare-and-swap of one row.
struct row_update {
    std::string key;
    std::optional<std::string> expected; ///< Empty if the row must not exist.
    std::string value;
    std::function<void(const row_result&)> done;

    bool in_flight = false; ///< Part of a transaction that has not completed.
    bool cancelled = false; ///< Dropped from the queue; `done` is not called.
    bool isolated = false;  ///< Sent in a transaction of its own, to detect an absent row.
};

/// Batches the writes of many rows into few transactions.
///
/// A batch is sent when no other is in flight, or when it is full. A failed precondition of one row
/// aborts the whole transaction, so the batch is sent again without the conflicting rows.
class row_batcher : public std::enable_shared_from_this<row_batcher> {
public:
    struct limits {
        std::size_t rows = 100; ///< Per batch.
        /// Least time between batches that are not full.
        std::chrono::milliseconds min_interval{0};
        /// Longest time that a deferred write waits before it is due.
        std::chrono::milliseconds deferred_delay{0};
    };

    row_batcher(timer_service& timers, platform& driver, const limits& bounds,
                counter& transactions);

    /// Queues a write to be sent as soon as possible.
    void submit(std::shared_ptr<row_update> row);

    /// Queues a write to be sent with the next batch, or once `deferred_delay` has passed.
    void submit_deferred(std::shared_ptr<row_update> row);

private:
    using batch = std::vector<std::shared_ptr<row_update>>;

    void dispatch();
    bool ready() const;
    batch take_batch();
    void append_from(std::deque<std::shared_ptr<row_update>>& queue, batch& rows);
    void send(batch rows);
    void on_transaction_end(const batch& rows, const absl::StatusOr<transaction_result>& result);
    void resolve_conflicts(const batch& rows, const std::vector<row>& conflicts);

    timer_service& timers_;
    platform& driver_;
    limits limits_;
    counter& transactions_;
    std::deque<std::shared_ptr<row_update>> immediate_;
    std::deque<std::shared_ptr<row_update>> deferred_;
    std::size_t in_flight_ = 0;
    bool deferred_due_ = false;
    bool throttled_ = false; ///< The last batch was sent less than `min_interval` ago.
    subscription deferred_timer_;
    subscription interval_timer_;
};

} // namespace agatespread::detail
