#include <agatespread/upstream_lifecycle.h>

namespace agatespread {

lifecycle_change upstream_lifecycle::transition_to(upstream_state next)
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
    const bool same_incarnation = heartbeat_received_ && heartbeat.started_at == started_at_ &&
                                  heartbeat.instance == instance_;
    const bool earlier_incarnation = heartbeat_received_ && heartbeat.started_at < started_at_;
    if (earlier_incarnation || (same_incarnation && heartbeat.sequence <= sequence_)) {
        ++ignored_messages_;
        return lifecycle_change::none;
    }
    if (heartbeat_received_ && !same_incarnation) {
        ++replacements_;
        exit_announced_ = left_service_;
    }
    if (!same_incarnation) {
        left_service_ = false;
    }
    heartbeat_received_ = true;
    instance_ = heartbeat.instance;
    started_at_ = heartbeat.started_at;
    sequence_ = heartbeat.sequence;
    slots_ = heartbeat.slots;
    left_service_ = left_service_ || heartbeat.draining;
    return transition_to(left_service_ ? upstream_state::draining : upstream_state::ready);
}

lifecycle_change upstream_lifecycle::deregister(const std::string& instance,
                                                std::chrono::milliseconds started_at)
{
    const bool other_incarnation =
        heartbeat_received_ &&
        (instance != instance_ || (started_at.count() != 0 && started_at < started_at_));
    if (other_incarnation) {
        ++ignored_messages_;
        return lifecycle_change::none;
    }
    if (!heartbeat_received_ || started_at > started_at_) {
        instance_ = instance;
        started_at_ = started_at;
        sequence_ = 0;
    }
    heartbeat_received_ = true;
    left_service_ = true;
    return transition_to(upstream_state::draining);
}

lifecycle_change upstream_lifecycle::mark_leaving()
{
    left_service_ = true;
    return state_ == upstream_state::ready ? transition_to(upstream_state::draining)
                                           : lifecycle_change::none;
}

lifecycle_change upstream_lifecycle::mark_unreachable()
{
    return state_ == upstream_state::ready ? transition_to(upstream_state::gone)
                                           : lifecycle_change::none;
}

lifecycle_change upstream_lifecycle::health_check_passed(const std::string& instance,
                                                         std::uint32_t slots)
{
    if (heartbeat_received_ || instance.empty()) {
        return lifecycle_change::none;
    }
    instance_ = instance;
    slots_ = slots;
    return transition_to(upstream_state::ready);
}

} // namespace agatespread
