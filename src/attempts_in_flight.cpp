#include "attempts_in_flight.h"

#include <algorithm>
#include <utility>

namespace agatespread::detail {

std::uint32_t attempts_in_flight::add(const node_id& node, time_point sent, bool second)
{
    attempts_.push_back({++last_id_, node, sent, second});
    return last_id_;
}

void attempts_in_flight::set_cancel(std::uint32_t id, std::function<bool()> cancel)
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [id](const attempt& each) { return each.id == id; });
    if (found != attempts_.end()) {
        found->cancel = std::move(cancel);
    }
}

void attempts_in_flight::set_sent(std::uint32_t id, time_point sent)
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [id](const attempt& each) { return each.id == id; });
    if (found != attempts_.end()) {
        found->sent = sent;
    }
}

std::optional<attempts_in_flight::attempt> attempts_in_flight::take(std::uint32_t id)
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [id](const attempt& each) { return each.id == id; });
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    attempt taken = std::move(*found);
    attempts_.erase(found);
    return taken;
}

bool attempts_in_flight::contains(std::uint32_t id) const
{
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [id](const attempt& each) { return each.id == id; });
}

bool attempts_in_flight::cancel_all()
{
    // Cancelling may call back into the request, which must not find these attempts any more.
    const std::vector<attempt> cancelled = std::exchange(attempts_, {});
    bool may_have_run = false;
    for (const attempt& each : cancelled) {
        may_have_run = (each.cancel && each.cancel()) || may_have_run;
    }
    return may_have_run;
}

} // namespace agatespread::detail
