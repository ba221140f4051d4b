#include "departure_row.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace agatespread::detail {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds retry_delay{500};

std::string encode(const upstream_departure& departure)
{
    return absl::StrCat(departure.started_at.count(), " ", departure.instance);
}

} // namespace

departure_row::departure_row(platform& driver, timer_service& timers, std::string key,
                             error_hook on_error)
    : driver_(driver), timers_(timers), key_(std::move(key)), on_error_(std::move(on_error))
{
}

departure_row::~departure_row()
{
    *alive_ = false;
}

void departure_row::load(departure_hook on_departure)
{
    on_departure_ = std::move(on_departure);
    read();
}

void departure_row::read()
{
    driver_.read(key_,
                 [this, alive = alive_](const absl::StatusOr<std::optional<std::string>>& result) {
                     if (!*alive) {
                         return;
                     }
                     if (!result.ok()) {
                         on_error_("read", result.status());
                         read_timer_ = timers_.after(retry_delay, [this](time_point) { read(); });
                         return;
                     }
                     on_departure_(*result ? decode(**result) : std::nullopt);
                 });
}

std::optional<upstream_departure> departure_row::decode(const std::string& value) const
{
    const std::vector<std::string> words = absl::StrSplit(value, ' ');
    std::int64_t started_at = 0;
    if (words.size() != 2 || !absl::SimpleAtoi(words[0], &started_at) || words[1].empty()) {
        on_error_("decode", absl::InvalidArgumentError(absl::StrCat(
                                "row ", key_, ": expected a start time and an instance")));
        return std::nullopt;
    }
    return upstream_departure{words[1], milliseconds(started_at)};
}

void departure_row::store(const upstream_departure& departure)
{
    if (stored_ && *stored_ == departure) {
        return;
    }
    stored_ = departure;
    written_ = false;
    write();
}

void departure_row::repeat_write()
{
    written_ = false;
    write();
}

void departure_row::write()
{
    if (!stored_ || written_ || write_in_flight_) {
        return;
    }
    write_in_flight_ = true;
    transaction change;
    change.writes.push_back({key_, encode(*stored_)});
    driver_.commit(std::move(change), [this, departure = *stored_, alive = alive_](
                                          const absl::StatusOr<transaction_result>& result) {
        if (!*alive) {
            return;
        }
        write_in_flight_ = false;
        if (!result.ok()) {
            on_error_("write", result.status());
            write_timer_ = timers_.after(retry_delay, [this](time_point) { write(); });
            return;
        }
        written_ = *stored_ == departure;
        write();
    });
}

} // namespace agatespread::detail
