#pragma once

#include <agatespread/base.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace agatespread::detail {

/// The attempts of one request that have no result yet: one, or two while a second attempt runs.
///
/// An attempt leaves when its result arrives or when it is cancelled, whichever is first; a result
/// that arrives together with the cancellation finds no attempt.
class attempts_in_flight {
public:
    struct attempt {
        std::uint32_t id = 0;
        node_id node;
        time_point sent;
        bool second = false; ///< Sent because another one is slow.
        /// Returns whether the request may have run.
        std::function<bool()> cancel = nullptr;
    };

    /// Adds an attempt and returns its id.
    std::uint32_t add(const node_id& node, time_point sent, bool second);

    /// Sets how an attempt is cancelled.
    void set_cancel(std::uint32_t id, std::function<bool()> cancel);

    /// Sets when the request itself was sent, after the question whether to send it.
    void set_sent(std::uint32_t id, time_point sent);

    /// Removes and returns an attempt, or nothing if it was cancelled.
    std::optional<attempt> take(std::uint32_t id);

    bool contains(std::uint32_t id) const;
    bool empty() const { return attempts_.empty(); }
    std::size_t size() const { return attempts_.size(); }

    /// Returns the attempt that was sent first; there must be one.
    const attempt& oldest() const { return attempts_.front(); }

    const std::vector<attempt>& all() const { return attempts_; }

    /// Cancels all attempts; returns whether the request may have run.
    bool cancel_all();

private:
    std::vector<attempt> attempts_;
    std::uint32_t last_id_ = 0;
};

} // namespace agatespread::detail
