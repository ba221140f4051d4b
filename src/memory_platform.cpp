#include <agatespread/memory_platform.h>

#include <utility>
#include <vector>

namespace agatespread {

namespace {

absl::Status platform_error(absl::StatusCode code, std::string_view reason,
                            std::string_view message)
{
    return layer_error(code, "platform", reason, message);
}

absl::Status unavailable()
{
    return platform_error(absl::StatusCode::kUnavailable, "unavailable", "the platform is down");
}

absl::Status history_lost()
{
    return platform_error(absl::StatusCode::kOutOfRange, "history_lost",
                          "the changes after this position are no longer available");
}

// Only the response to a poll tells the era, so a poll from an earlier era may wait before it
// fails.
platform::callback<row_changes> check_era(feed_position after, platform::callback<row_changes> done)
{
    return [after, done = std::move(done)](absl::StatusOr<row_changes> result) {
        const bool other_era =
            result.ok() && !result->complete && result->position.era != after.era;
        done(other_era ? history_lost() : std::move(result));
    };
}

} // namespace

memory_platform::memory_platform(timer_service& timers) : timers_(timers)
{
}

void memory_platform::set_faults(platform_faults faults)
{
    if (faults.stale_reads && !faults_.stale_reads) {
        stale_rows_ = state_.rows;
    }
    faults_ = std::move(faults);
}

void memory_platform::inject_write_outcome(write_outcome outcome, std::size_t count)
{
    injected_outcomes_.insert(injected_outcomes_.end(), count, outcome);
}

void memory_platform::apply_late_writes()
{
    std::deque<std::function<void()>> writes = std::exchange(late_writes_, {});
    for (const std::function<void()>& apply_write : writes) {
        apply_write();
    }
}

bool memory_platform::within_limit(rate_window& current, std::uint64_t limit) const
{
    const std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(timers_.now().time_since_epoch()).count();
    if (current.second != second) {
        current = {second, 0};
    }
    return limit == 0 || current.calls++ < limit;
}

absl::Status memory_platform::admit_read()
{
    ++counts_.reads;
    if (faults_.down) {
        ++counts_.refused_reads;
        return unavailable();
    }
    if (!within_limit(read_window_, faults_.reads_per_second)) {
        ++counts_.refused_reads;
        return platform_error(absl::StatusCode::kResourceExhausted, "overloaded",
                              "the limit of reads per second is exceeded");
    }
    return absl::OkStatus();
}

absl::Status memory_platform::admit_write()
{
    ++counts_.writes;
    if (faults_.down) {
        ++counts_.refused_writes;
        return unavailable();
    }
    if (!within_limit(write_window_, faults_.writes_per_second)) {
        ++counts_.refused_writes;
        return platform_error(absl::StatusCode::kResourceExhausted, "overloaded",
                              "the limit of writes per second is exceeded");
    }
    return absl::OkStatus();
}

void memory_platform::after_delay(std::function<void()> call)
{
    if (faults_.delay.count() == 0) {
        call();
        return;
    }
    const std::uint64_t id = next_delayed_call_++;
    delayed_calls_[id] =
        timers_.after(faults_.delay, [this, id, call = std::move(call)](time_point) {
            delayed_calls_.erase(id);
            call();
        });
}

template <typename Result>
void memory_platform::execute_write(std::function<Result()> apply_write, callback<Result> done)
{
    const absl::Status admitted = admit_write();
    if (!admitted.ok()) {
        after_delay([admitted, done] { done(admitted); });
        return;
    }
    write_outcome outcome = write_outcome::answered;
    if (!injected_outcomes_.empty()) {
        outcome = injected_outcomes_.front();
        injected_outcomes_.pop_front();
    }
    after_delay([this, outcome, apply_write = std::move(apply_write), done = std::move(done)] {
        if (outcome == write_outcome::answered) {
            done(apply_write());
            return;
        }
        if (outcome == write_outcome::response_lost) {
            apply_write();
        }
        else if (outcome == write_outcome::applied_late) {
            late_writes_.emplace_back([apply_write] { apply_write(); });
        }
        done(platform_error(absl::StatusCode::kUnknown, "outcome_unknown",
                            "the response to a write was lost"));
    });
}

template <typename Result>
void memory_platform::execute_read(std::function<absl::StatusOr<Result>()> get,
                                   callback<Result> done)
{
    const absl::Status admitted = admit_read();
    after_delay([admitted, get = std::move(get), done = std::move(done)] {
        done(admitted.ok() ? get() : admitted);
    });
}

transaction_result memory_platform::apply(const transaction& request)
{
    transaction_result result;
    result.committed = true;
    for (const precondition& condition : request.preconditions) {
        const auto found = state_.rows.find(condition.key);
        const bool present = found != state_.rows.end();
        if (present != condition.value.has_value() ||
            (present && found->second != *condition.value)) {
            result.committed = false;
            if (present) {
                result.conflicts.push_back({found->first, found->second});
            }
        }
    }
    if (!result.committed) {
        return result;
    }
    for (const row_write& change : request.writes) {
        if (change.value) {
            state_.rows[change.key] = *change.value;
        }
        else {
            state_.rows.erase(change.key);
        }
        record(change);
    }
    complete_polls();
    return result;
}

void memory_platform::record(const row_write& change)
{
    state_.history[++state_.revision] = change;
}

void memory_platform::discard_history()
{
    state_.history.clear();
    state_.history_start = state_.revision;
}

void memory_platform::save_copy()
{
    copy_ = state_;
}

void memory_platform::restore_copy()
{
    state_ = copy_;
    ++era_;
    const std::map<std::uint64_t, pending_poll> polls = std::exchange(pending_polls_, {});
    for (const std::pair<const std::uint64_t, pending_poll>& poll : polls) {
        poll.second.done(unavailable());
    }
}

row_changes memory_platform::changes_since(const std::string& prefix, feed_position after) const
{
    const auto matches = [&prefix](const std::string& key) {
        return key.compare(0, prefix.size(), prefix) == 0;
    };
    row_changes changes;
    changes.position = {state_.revision, era_};
    changes.complete = after.revision == 0;
    if (changes.complete) {
        for (const std::pair<const std::string, std::string>& entry : state_.rows) {
            if (matches(entry.first)) {
                changes.rows.push_back({entry.first, entry.second});
            }
        }
        return changes;
    }
    for (auto entry = state_.history.upper_bound(after.revision); entry != state_.history.end();
         ++entry) {
        if (matches(entry->second.key)) {
            changes.rows.push_back(entry->second);
        }
    }
    return changes;
}

void memory_platform::complete_polls()
{
    std::vector<std::pair<callback<row_changes>, row_changes>> ready;
    for (auto poll = pending_polls_.begin(); poll != pending_polls_.end();) {
        row_changes changes = changes_since(poll->second.prefix, poll->second.after);
        if (changes.rows.empty()) {
            ++poll;
            continue;
        }
        ready.emplace_back(std::move(poll->second.done), std::move(changes));
        poll = pending_polls_.erase(poll);
    }
    for (std::pair<callback<row_changes>, row_changes>& poll : ready) {
        poll.first(std::move(poll.second));
    }
}

void memory_platform::poll_changes(std::string prefix, feed_position after,
                                   std::chrono::milliseconds wait, callback<row_changes> done)
{
    done = check_era(after, std::move(done));
    const absl::Status admitted = admit_read();
    if (!admitted.ok()) {
        after_delay([admitted, done] { done(admitted); });
        return;
    }
    if (after.revision != 0 &&
        (after.revision < state_.history_start || after.revision > state_.revision)) {
        after_delay([done] { done(history_lost()); });
        return;
    }
    row_changes changes = changes_since(prefix, after);
    if (changes.complete || !changes.rows.empty()) {
        after_delay([done, changes = std::move(changes)] { done(changes); });
        return;
    }
    const std::uint64_t id = next_poll_++;
    subscription timeout = timers_.after(wait, [this, id](time_point) {
        const auto found = pending_polls_.find(id);
        if (found != pending_polls_.end()) {
            const callback<row_changes> respond = std::move(found->second.done);
            row_changes unchanged;
            unchanged.position = {state_.revision, era_};
            pending_polls_.erase(found);
            respond(std::move(unchanged));
        }
    });
    pending_polls_[id] = {std::move(prefix), after, std::move(done), std::move(timeout)};
}

void memory_platform::commit(transaction request, callback<transaction_result> done)
{
    execute_write<transaction_result>(
        [this, request = std::move(request)] { return apply(request); }, std::move(done));
}

void memory_platform::read(std::string key, callback<std::optional<std::string>> done)
{
    using value = std::optional<std::string>;
    execute_read<value>(
        [this, key = std::move(key)]() -> absl::StatusOr<value> {
            const table& source = readable_rows();
            const auto found = source.find(key);
            return found == source.end() ? value() : value(found->second);
        },
        std::move(done));
}

void memory_platform::scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done)
{
    execute_read<std::vector<row>>(
        [this, prefix = std::move(prefix), limit]() -> absl::StatusOr<std::vector<row>> {
            const table& source = readable_rows();
            std::vector<row> found;
            for (auto entry = source.lower_bound(prefix);
                 entry != source.end() && entry->first.compare(0, prefix.size(), prefix) == 0;
                 ++entry) {
                found.push_back({entry->first, entry->second});
            }
            std::vector<row> descending(found.rbegin(), found.rend());
            descending.resize(std::min(limit, descending.size()));
            return descending;
        },
        std::move(done));
}

void memory_platform::put_object(std::string id, std::string bytes, callback<bool> done)
{
    execute_write<bool>(
        [this, id = std::move(id), bytes = std::move(bytes)] {
            objects_.emplace(id, bytes);
            return true;
        },
        std::move(done));
}

void memory_platform::get_object(std::string id, callback<std::string> done)
{
    execute_read<std::string>(
        [this, id = std::move(id)]() -> absl::StatusOr<std::string> {
            const auto found = objects_.find(id);
            if (found == objects_.end() || faults_.missing_objects.count(id) != 0) {
                return platform_error(absl::StatusCode::kNotFound, "not_found", "no object " + id);
            }
            std::string bytes = found->second;
            if (faults_.corrupt_objects.count(id) != 0 && !bytes.empty()) {
                bytes.front() = static_cast<char>(bytes.front() ^ 0x01);
            }
            return bytes;
        },
        std::move(done));
}

} // namespace agatespread
