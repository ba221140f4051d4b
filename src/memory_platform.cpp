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

} // namespace

memory_platform::memory_platform(timer_service& timers) : timers_(timers)
{
}

void memory_platform::set_faults(platform_faults faults)
{
    if (faults.stale_reads && !faults_.stale_reads) {
        stale_rows_ = rows_;
    }
    faults_ = std::move(faults);
}

void memory_platform::inject_write_outcome(write_outcome fate, std::size_t count)
{
    fates_.insert(fates_.end(), count, fate);
}

void memory_platform::apply_late_writes()
{
    std::deque<std::function<void()>> writes = std::exchange(late_writes_, {});
    for (const std::function<void()>& apply_write : writes) {
        apply_write();
    }
}

bool memory_platform::within_limit(window& used, std::uint64_t limit) const
{
    const std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(timers_.now().time_since_epoch()).count();
    if (used.second != second) {
        used = {second, 0};
    }
    return limit == 0 || used.used++ < limit;
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
                              "too many reads a second");
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
                              "too many writes a second");
    }
    return absl::OkStatus();
}

void memory_platform::after_delay(std::function<void()> call)
{
    if (faults_.delay.count() == 0) {
        call();
        return;
    }
    const std::uint64_t id = next_timer_++;
    pending_[id] = timers_.after(faults_.delay, [this, id, call = std::move(call)](time_point) {
        pending_.erase(id);
        call();
    });
}

template <typename Result>
void memory_platform::write(std::function<Result()> apply_write, callback<Result> done)
{
    const absl::Status admitted = admit_write();
    if (!admitted.ok()) {
        after_delay([admitted, done] { done(admitted); });
        return;
    }
    write_outcome fate = write_outcome::answered;
    if (!fates_.empty()) {
        fate = fates_.front();
        fates_.pop_front();
    }
    after_delay([this, fate, apply_write = std::move(apply_write), done = std::move(done)] {
        if (fate == write_outcome::answered) {
            done(apply_write());
            return;
        }
        if (fate == write_outcome::response_lost) {
            apply_write();
        }
        else if (fate == write_outcome::applied_late) {
            late_writes_.emplace_back([apply_write] { apply_write(); });
        }
        done(platform_error(absl::StatusCode::kUnknown, "outcome_unknown",
                            "the answer to a write was lost"));
    });
}

template <typename Result>
void memory_platform::answer_read(std::function<absl::StatusOr<Result>()> get,
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
        const auto found = rows_.find(condition.key);
        const bool present = found != rows_.end();
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
            rows_[change.key] = *change.value;
        }
        else {
            rows_.erase(change.key);
        }
        record(change);
    }
    wake_followers();
    return result;
}

void memory_platform::record(const row_write& change)
{
    history_[++revision_] = change;
}

void memory_platform::discard_history()
{
    history_.clear();
    known_since_ = revision_;
}

row_changes memory_platform::changes_of(const std::string& prefix, std::uint64_t after) const
{
    const auto matches = [&prefix](const std::string& key) {
        return key.compare(0, prefix.size(), prefix) == 0;
    };
    row_changes changes;
    changes.revision = revision_;
    changes.complete = after == 0;
    if (changes.complete) {
        for (const std::pair<const std::string, std::string>& entry : rows_) {
            if (matches(entry.first)) {
                changes.rows.push_back({entry.first, entry.second});
            }
        }
        return changes;
    }
    for (auto entry = history_.upper_bound(after); entry != history_.end(); ++entry) {
        if (matches(entry->second.key)) {
            changes.rows.push_back(entry->second);
        }
    }
    return changes;
}

void memory_platform::wake_followers()
{
    std::vector<std::pair<callback<row_changes>, row_changes>> ready;
    for (auto each = followers_.begin(); each != followers_.end();) {
        row_changes changes = changes_of(each->second.prefix, each->second.after);
        if (changes.rows.empty()) {
            ++each;
            continue;
        }
        ready.emplace_back(std::move(each->second.done), std::move(changes));
        each = followers_.erase(each);
    }
    for (std::pair<callback<row_changes>, row_changes>& each : ready) {
        each.first(std::move(each.second));
    }
}

void memory_platform::poll_changes(std::string prefix, std::uint64_t after,
                                   std::chrono::milliseconds wait, callback<row_changes> done)
{
    const absl::Status admitted = admit_read();
    if (!admitted.ok()) {
        after_delay([admitted, done] { done(admitted); });
        return;
    }
    if (after != 0 && after < known_since_) {
        after_delay([done] {
            done(platform_error(absl::StatusCode::kOutOfRange, "history_lost",
                                "the changes are no longer known"));
        });
        return;
    }
    row_changes changes = changes_of(prefix, after);
    if (changes.complete || !changes.rows.empty()) {
        after_delay([done, changes = std::move(changes)] { done(changes); });
        return;
    }
    const std::uint64_t id = next_follower_++;
    subscription timeout = timers_.after(wait, [this, id](time_point) {
        const auto found = followers_.find(id);
        if (found != followers_.end()) {
            const callback<row_changes> call = std::move(found->second.done);
            row_changes none;
            none.revision = revision_;
            followers_.erase(found);
            call(std::move(none));
        }
    });
    followers_[id] = {std::move(prefix), after, std::move(done), std::move(timeout)};
}

void memory_platform::commit(transaction request, callback<transaction_result> done)
{
    write<transaction_result>([this, request = std::move(request)] { return apply(request); },
                              std::move(done));
}

void memory_platform::read(std::string key, callback<std::optional<std::string>> done)
{
    using value = std::optional<std::string>;
    answer_read<value>(
        [this, key = std::move(key)]() -> absl::StatusOr<value> {
            const table& source = readable_rows();
            const auto found = source.find(key);
            return found == source.end() ? value() : value(found->second);
        },
        std::move(done));
}

void memory_platform::scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done)
{
    answer_read<std::vector<row>>(
        [this, prefix = std::move(prefix), limit]() -> absl::StatusOr<std::vector<row>> {
            const table& source = readable_rows();
            std::vector<row> found;
            for (auto entry = source.lower_bound(prefix);
                 entry != source.end() && entry->first.compare(0, prefix.size(), prefix) == 0;
                 ++entry) {
                found.push_back({entry->first, entry->second});
            }
            std::vector<row> newest(found.rbegin(), found.rend());
            newest.resize(std::min(limit, newest.size()));
            return newest;
        },
        std::move(done));
}

void memory_platform::put_object(std::string id, std::string bytes, callback<bool> done)
{
    write<bool>(
        [this, id = std::move(id), bytes = std::move(bytes)] {
            objects_.emplace(id, bytes);
            return true;
        },
        std::move(done));
}

void memory_platform::get_object(std::string id, callback<std::string> done)
{
    answer_read<std::string>(
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
