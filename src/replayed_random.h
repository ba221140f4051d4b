#pragma once

#include <agatespread/base.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <utility>

namespace agatespread::detail {

/// A random source whose next values can be looked at without using them up.
class replayed_random {
public:
    explicit replayed_random(random_source source) : source_(std::move(source)) {}
    replayed_random(const replayed_random&) = delete;
    replayed_random& operator=(const replayed_random&) = delete;
    ~replayed_random() = default;

    std::uint64_t next()
    {
        if (pending_.empty()) {
            return source_();
        }
        const std::uint64_t value = pending_.front();
        pending_.pop_front();
        return value;
    }

    /// Returns a source of the values that `next` will return; valid until `next` is called. Copies
    /// of it continue where the others are, as copies of a source of `next` do.
    random_source preview()
    {
        return [this, position = std::make_shared<std::size_t>(0)] {
            if (*position == pending_.size()) {
                pending_.push_back(source_());
            }
            return pending_[(*position)++];
        };
    }

private:
    const random_source source_;
    std::deque<std::uint64_t> pending_; ///< Drawn by previews and not yet used.
};

} // namespace agatespread::detail
