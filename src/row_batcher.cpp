#include "row_batcher.h"

#include <algorithm>
#include <map>
#include <utility>

namespace agatespread::detail {

row_batcher::row_batcher(timer_service& timers, platform& driver, const limits& bounds,
                         counter& transactions)
    : timers_(timers), driver_(driver), limits_(bounds), transactions_(transactions)
{
}

void row_batcher::submit(std::shared_ptr<row_update> row)
{
    immediate_.push_back(std::move(row));
    dispatch();
}

void row_batcher::submit_deferred(std::shared_ptr<row_update> row)
{
    deferred_.push_back(std::move(row));
    if (deferred_.size() == 1 && !deferred_due_) {
        deferred_timer_ = timers_.after(limits_.deferred_delay, [this](time_point) {
            deferred_due_ = true;
            dispatch();
        });
    }
    dispatch();
}

bool row_batcher::ready() const
{
    const std::size_t queued = immediate_.size() + deferred_.size();
    if (queued >= limits_.rows) {
        return true;
    }
    const bool has_due = !immediate_.empty() || (deferred_due_ && !deferred_.empty());
    return has_due && in_flight_ == 0 && !throttled_;
}

void row_batcher::dispatch()
{
    const std::shared_ptr<row_batcher> self = shared_from_this();
    while (ready()) {
        batch rows = take_batch();
        if (!rows.empty()) {
            send(std::move(rows));
        }
    }
}

void row_batcher::append_from(std::deque<std::shared_ptr<row_update>>& queue, batch& rows)
{
    while (!queue.empty() && rows.size() < limits_.rows) {
        const std::shared_ptr<row_update>& next = queue.front();
        if (next->isolated && !rows.empty()) {
            return;
        }
        const bool isolated = next->isolated;
        if (!next->cancelled) {
            rows.push_back(next);
        }
        queue.pop_front();
        if (isolated && !rows.empty()) {
            return;
        }
    }
}

row_batcher::batch row_batcher::take_batch()
{
    batch rows;
    append_from(immediate_, rows);
    if (rows.empty() || !rows.front()->isolated) {
        append_from(deferred_, rows);
    }
    if (deferred_.empty()) {
        deferred_due_ = false;
        deferred_timer_.cancel();
    }
    return rows;
}

void row_batcher::send(batch rows)
{
    ++in_flight_;
    transactions_.add();
    if (limits_.min_interval.count() > 0) {
        throttled_ = true;
        interval_timer_ = timers_.after(limits_.min_interval, [this](time_point) {
            throttled_ = false;
            dispatch();
        });
    }
    transaction request;
    for (const std::shared_ptr<row_update>& row : rows) {
        row->in_flight = true;
        request.preconditions.push_back({row->key, row->expected});
        request.writes.push_back({row->key, row->value});
    }
    driver_.commit(std::move(request), [weak = weak_from_this(), rows = std::move(rows)](
                                           const absl::StatusOr<transaction_result>& result) {
        const std::shared_ptr<row_batcher> self = weak.lock();
        if (self) {
            self->on_transaction_end(rows, result);
        }
    });
}

void row_batcher::on_transaction_end(const batch& rows,
                                     const absl::StatusOr<transaction_result>& result)
{
    --in_flight_;
    for (const std::shared_ptr<row_update>& row : rows) {
        row->in_flight = false;
    }
    if (result.ok() && !result->committed) {
        resolve_conflicts(rows, result->conflicts);
    }
    else {
        const std::string reason = reason_of(result.status(), "platform");
        const bool is_rejected = reason == "unavailable" || reason == "overloaded";
        const row_outcome outcome = result.ok()   ? row_outcome::written
                                    : is_rejected ? row_outcome::not_applied
                                                  : row_outcome::unknown;
        for (const std::shared_ptr<row_update>& row : rows) {
            row->done({outcome, std::nullopt});
        }
    }
    dispatch();
}

void row_batcher::resolve_conflicts(const batch& rows, const std::vector<row>& conflicts)
{
    std::map<std::string, std::string> current_values;
    for (const row& conflict : conflicts) {
        current_values.emplace(conflict.key, conflict.value);
    }
    batch conflicting;
    batch retried;
    for (const std::shared_ptr<row_update>& row : rows) {
        (current_values.count(row->key) != 0 || rows.size() == 1 ? conflicting : retried)
            .push_back(row);
    }
    for (const std::shared_ptr<row_update>& row : retried) {
        // Reported conflicts omit absent rows. If none is reported, a row that should exist is
        // absent; to find it, each row that should exist is sent in a transaction of its own.
        row->isolated = conflicting.empty() && row->expected.has_value();
    }
    immediate_.insert(immediate_.begin(), retried.begin(), retried.end());
    for (const std::shared_ptr<row_update>& row : conflicting) {
        const auto found = current_values.find(row->key);
        row->done({row_outcome::conflict, found == current_values.end()
                                              ? std::nullopt
                                              : std::optional<std::string>(found->second)});
    }
}

} // namespace agatespread::detail
