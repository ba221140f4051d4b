#pragma once

#include "counter_set.h"

#include <agatespread/platform.h>

#include <memory>
#include <string>
#include <string_view>

namespace agatespread::detail {

/// A driver that counts the calls of another one by operation and table.
///
/// A read of all rows by `poll_changes` counts as "scan". A call that the driver divides into
/// several, such as pages or preconditions, counts once.
class counted_platform final : public platform {
public:
    /// The arguments must outlive this object, which may be destroyed with calls in flight.
    counted_platform(platform& driver, counter_set& calls, counter_set& errors);
    counted_platform(const counted_platform&) = delete;
    counted_platform& operator=(const counted_platform&) = delete;
    ~counted_platform() override;

    void commit(transaction request, callback<transaction_result> done) override;
    void read(std::string key, callback<std::optional<std::string>> done) override;
    void scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done) override;
    void poll_changes(std::string prefix, feed_position after, std::chrono::milliseconds wait,
                      callback<row_changes> done) override;
    void avoid_open_connections() override;
    void put_object(std::string id, std::string bytes, callback<bool> done) override;
    void get_object(std::string id, callback<std::string> done) override;

private:
    /// Counts a call and returns a callback that counts its error.
    template <typename Result>
    callback<Result> count(std::string_view operation, std::string_view table,
                           callback<Result> done);

    platform& driver_;
    counter_set& calls_;
    counter_set& errors_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace agatespread::detail
