#include "counted_platform.h"

#include <utility>

namespace agatespread::detail {

namespace {

constexpr std::string_view objects_table = "objects";

std::string_view table_of(std::string_view key)
{
    return key.substr(0, key.find('/'));
}

} // namespace

counted_platform::counted_platform(platform& driver, counter_set& calls, counter_set& errors)
    : driver_(driver), calls_(calls), errors_(errors)
{
}

counted_platform::~counted_platform()
{
    *alive_ = false;
}

template <typename Result>
platform::callback<Result> counted_platform::count(std::string_view operation,
                                                   std::string_view table, callback<Result> done)
{
    labels name{{"call", std::string(operation)}, {"table", std::string(table)}};
    calls_.add(name);
    return [this, name = std::move(name), alive = alive_,
            done = std::move(done)](absl::StatusOr<Result> result) mutable {
        if (*alive && !result.ok()) {
            name.emplace("reason", reason_of(result.status(), "platform"));
            errors_.add(name);
        }
        done(std::move(result));
    };
}

void counted_platform::commit(transaction request, callback<transaction_result> done)
{
    const std::string table(request.writes.empty() ? std::string_view()
                                                   : table_of(request.writes.front().key));
    driver_.commit(std::move(request), count("commit", table, std::move(done)));
}

void counted_platform::read(std::string key, callback<std::optional<std::string>> done)
{
    const std::string table(table_of(key));
    driver_.read(std::move(key), count("read", table, std::move(done)));
}

void counted_platform::scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done)
{
    const std::string table(table_of(prefix));
    driver_.scan(std::move(prefix), limit, count("scan", table, std::move(done)));
}

void counted_platform::poll_changes(std::string prefix, feed_position after,
                                    std::chrono::milliseconds wait, callback<row_changes> done)
{
    const std::string table(table_of(prefix));
    driver_.poll_changes(std::move(prefix), after, wait,
                         count(after.revision == 0 ? "scan" : "poll", table, std::move(done)));
}

void counted_platform::avoid_open_connections()
{
    driver_.avoid_open_connections();
}

void counted_platform::put_object(std::string id, std::string bytes, callback<bool> done)
{
    driver_.put_object(std::move(id), std::move(bytes),
                       count("write", objects_table, std::move(done)));
}

void counted_platform::get_object(std::string id, callback<std::string> done)
{
    driver_.get_object(std::move(id), count("read", objects_table, std::move(done)));
}

} // namespace agatespread::detail
