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

/// How the write of a row ended.
enum class row_outcome {
    written,     ///< The row has the new value.
    conflict,    ///< The row did not have the expected value.
    not_applied, ///< The platform did nothing.
    unknown      ///< The row may have the new value now or later.
};

/// The end of a write with the present value of a refused row, if the row exists.
struct row_result {
    row_outcome outcome = row_outcome::not_applied;
    std::optional<std::string> current;
};

/// One conditional write of a row.
struct row_update {
    std::string key;
    std::optional<std::string> expected; ///< Empty: the row does not exist.
    std::string value;
    std::function<void(const row_result&)> done;

    bool in_flight = false; ///< Part of a transaction that has not ended.
    bool cancelled = false; ///< Not to be sent; `done` is not called.
    bool isolated = false;  ///< Sent by itself, to learn whether the row is absent.
};

/// Combines the writes of many rows into few transactions.
///
/// A batch goes out when no other is in flight, or when it is full. A failed condition of one row
/// refuses the whole transaction, so the batch is sent again without the refused rows.
class row_batcher : public std::enable_shared_from_this<row_batcher> {
public:
    struct limits {
        std::size_t rows = 100;
        std::chrono::milliseconds min_interval{0};
        std::chrono::milliseconds deferred_delay{0};
    };

    row_batcher(timer_service& timers, platform& driver, const limits& bounds,
                counter& transactions);

    /// Queues a write that goes out as soon as possible.
    void submit(std::shared_ptr<row_update> row);

    /// Queues a write that goes out with the next batch, or after the lazy delay.
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
    bool throttled_ = false; ///< A batch went out less than the pace ago.
    subscription deferred_timer_;
    subscription interval_timer_;
};

} // namespace agatespread::detail
