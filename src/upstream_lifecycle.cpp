#include <agatespread/upstream_lifecycle.h>

namespace agatespread {

lifecycle_change upstream_lifecycle::enter(upstream_state next)
{
    const upstream_state before = state_;
    state_ = next;
    if (before == next) {
        return lifecycle_change::none;
    }
    if (next == upstream_state::ready) {
        return lifecycle_change::opened;
    }
    return before == upstream_state::ready ? lifecycle_change::closed : lifecycle_change::none;
}

lifecycle_change upstream_lifecycle::receive(const upstream_heartbeat& heartbeat)
{
    const bool same_life = heard_ && heartbeat.born == born_ && heartbeat.instance == instance_;
    const bool earlier_life = heard_ && heartbeat.born < born_;
    if (earlier_life || (same_life && heartbeat.sequence <= sequence_)) {
        return lifecycle_change::none;
    }
    if (!same_life) {
        left_ = false;
    }
    heard_ = true;
    instance_ = heartbeat.instance;
    born_ = heartbeat.born;
    sequence_ = heartbeat.sequence;
    slots_ = heartbeat.slots;
    left_ = left_ || heartbeat.draining;
    return enter(left_ ? upstream_state::draining : upstream_state::ready);
}

lifecycle_change upstream_lifecycle::leave(const std::string& instance,
                                           std::chrono::milliseconds born)
{
    const bool other_life =
        heard_ && (instance != instance_ || (born.count() != 0 && born < born_));
    if (other_life) {
        return lifecycle_change::none;
    }
    if (!heard_ || born > born_) {
        instance_ = instance;
        born_ = born;
        sequence_ = 0;
    }
    heard_ = true;
    left_ = true;
    return enter(upstream_state::draining);
}

lifecycle_change upstream_lifecycle::lost()
{
    return state_ == upstream_state::ready ? enter(upstream_state::gone) : lifecycle_change::none;
}

lifecycle_change upstream_lifecycle::healthy(const std::string& instance, std::uint32_t slots)
{
    if (heard_ || instance.empty()) {
        return lifecycle_change::none;
    }
    instance_ = instance;
    slots_ = slots;
    return enter(upstream_state::ready);
}

} // namespace agatespread
