#include <agatespread/upstream_lifecycle.h>

namespace agatespread {

namespace {

bool concerns(const upstream_departure& departure, const std::string& instance,
              std::chrono::milliseconds started_at)
{
    return departure.instance == instance &&
           (departure.started_at.count() == 0 || started_at.count() == 0 ||
            departure.started_at == started_at);
}

bool is_earlier(std::chrono::milliseconds left, std::chrono::milliseconds right)
{
    return left.count() != 0 && right.count() != 0 && left < right;
}

} // namespace

bool upstream_lifecycle::precedes_departure(const std::string& instance,
                                            std::chrono::milliseconds started_at) const
{
    // A start time may be earlier because the clock was set back; a passed health check shows that
    // the process runs now.
    return departed_ && is_earlier(started_at, departed_->started_at) &&
           healthy_instance_ != instance;
}

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

void upstream_lifecycle::adopt(const std::string& instance, std::chrono::milliseconds started_at)
{
    if (heartbeat_received_) {
        ++replacements_;
        exit_announced_ = left_service_;
    }
    left_service_ = departed_ && concerns(*departed_, instance, started_at);
    if (left_service_ || (departed_ && is_earlier(departed_->started_at, started_at))) {
        departed_.reset();
    }
    heartbeat_received_ = true;
    instance_ = instance;
    version_.clear();
    started_at_ = started_at;
    sequence_ = 0;
    unconfirmed_heartbeats_ = 0;
    confirmed_ = confirmed_ || (!left_service_ && healthy_instance_ == instance);
}

lifecycle_change upstream_lifecycle::receive(const upstream_heartbeat& heartbeat)
{
    const bool same_incarnation = heartbeat_received_ && heartbeat.started_at == started_at_ &&
                                  heartbeat.instance == instance_;
    const bool earlier_incarnation = heartbeat_received_ && heartbeat.started_at < started_at_;
    if (earlier_incarnation || precedes_departure(heartbeat.instance, heartbeat.started_at) ||
        (same_incarnation && heartbeat.sequence <= sequence_)) {
        ++ignored_messages_;
        return lifecycle_change::none;
    }
    if (!same_incarnation) {
        adopt(heartbeat.instance, heartbeat.started_at);
    }
    sequence_ = heartbeat.sequence;
    slots_ = heartbeat.slots;
    version_ = heartbeat.version;
    left_service_ = left_service_ || heartbeat.draining;
    if (left_service_) {
        return transition_to(upstream_state::draining);
    }
    if (!confirmed_ && ++unconfirmed_heartbeats_ < confirming_heartbeats) {
        return transition_to(upstream_state::gone);
    }
    confirmed_ = true;
    return transition_to(upstream_state::ready);
}

lifecycle_change upstream_lifecycle::deregister(const std::string& instance,
                                                std::chrono::milliseconds started_at)
{
    const bool order_unknown = started_at.count() == 0;
    if (precedes_departure(instance, started_at)) {
        ++ignored_messages_;
        return lifecycle_change::none;
    }
    if (!heartbeat_received_ || started_at > started_at_) {
        adopt(instance, started_at);
        if (order_unknown) {
            departed_ = upstream_departure{instance, started_at};
        }
    }
    else if (order_unknown && instance != instance_) {
        // An earlier process, or one whose heartbeats are late: its next heartbeat tells.
        departed_ = upstream_departure{instance, started_at};
        return lifecycle_change::none;
    }
    else if (instance != instance_ || (!order_unknown && started_at < started_at_)) {
        ++ignored_messages_;
        return lifecycle_change::none;
    }
    left_service_ = true;
    return transition_to(upstream_state::draining);
}

lifecycle_change upstream_lifecycle::mark_leaving()
{
    left_service_ = true;
    if (!heartbeat_received_) {
        departed_ = upstream_departure{instance_, started_at_};
    }
    return state_ == upstream_state::ready ? transition_to(upstream_state::draining)
                                           : lifecycle_change::none;
}

lifecycle_change upstream_lifecycle::restore(const upstream_departure& departure)
{
    if (!heartbeat_received_) {
        if (!departed_ || departed_->started_at <= departure.started_at) {
            departed_ = departure;
        }
        const bool opened = state_ == upstream_state::ready && instance_ == departure.instance;
        left_service_ = left_service_ || opened;
        return opened ? transition_to(upstream_state::draining) : lifecycle_change::none;
    }
    if (left_service_ || !concerns(departure, instance_, started_at_)) {
        return lifecycle_change::none;
    }
    left_service_ = true;
    return transition_to(upstream_state::draining);
}

std::optional<upstream_departure> upstream_lifecycle::departure() const
{
    if (!left_service_) {
        return std::nullopt;
    }
    return upstream_departure{instance_, started_at_};
}

lifecycle_change upstream_lifecycle::mark_unreachable()
{
    return state_ == upstream_state::ready ? transition_to(upstream_state::gone)
                                           : lifecycle_change::none;
}

lifecycle_change upstream_lifecycle::health_check_passed(const std::string& instance,
                                                         std::uint32_t slots)
{
    if (instance.empty() || (departed_ && departed_->instance == instance)) {
        return lifecycle_change::none;
    }
    healthy_instance_ = instance;
    if (heartbeat_received_) {
        if (!awaits_confirmation() || instance != instance_) {
            return lifecycle_change::none;
        }
        confirmed_ = true;
        return transition_to(upstream_state::ready);
    }
    instance_ = instance;
    slots_ = slots;
    return transition_to(upstream_state::ready);
}

} // namespace agatespread
