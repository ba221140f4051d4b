#include <agatespread/upload_grants.h>

#include <algorithm>

namespace agatespread {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Ethernet, IP and TCP headers add 5 % to the 1,448 bytes of a packet; the acknowledgements for the
// opposite direction add up to 3 %.
constexpr double packet_factor = 1.08;

// Bodies in transit at a time: a quarter of the usual objective of a call between upstreams. One
// body is granted in any case.
constexpr milliseconds max_in_transit{50};

// A body that takes this many times as long as the link needs for all granted ones has been lost
// with its sender. Its bytes may still arrive, which delays a few calls.
constexpr int lost_factor = 4;
constexpr milliseconds min_lease{500};

// Memory for offers is bounded; a queue of this length takes seconds on the slowest links.
constexpr std::size_t max_queued = 200;

} // namespace

nanoseconds upload_grants::time_to_receive(std::size_t bytes) const
{
    const std::chrono::duration<double> seconds(static_cast<double>(bytes) * packet_factor /
                                                bytes_per_second_);
    return std::chrono::duration_cast<nanoseconds>(seconds);
}

bool upload_grants::fits(std::size_t bytes) const
{
    return granted_.empty() || bytes_per_second_ <= 0 ||
           time_to_receive(granted_bytes_ + bytes) <= max_in_transit;
}

void upload_grants::add_grant(const upload_offer& next, time_point now, upload_decisions& decisions)
{
    granted_bytes_ += next.bytes;
    const nanoseconds lease =
        bytes_per_second_ <= 0
            ? nanoseconds(min_lease)
            : std::max<nanoseconds>(min_lease, time_to_receive(granted_bytes_) * lost_factor);
    granted_[next.id] = {next.bytes, now + lease};
    decisions.granted.push_back(next.id);
}

void upload_grants::grant_queued(time_point now, upload_decisions& decisions)
{
    while (!queue_.empty() && fits(queue_.front().bytes)) {
        const upload_offer next = queue_.front();
        queue_.pop_front();
        queued_bytes_ -= next.bytes;
        add_grant(next, now, decisions);
    }
}

upload_decisions upload_grants::offer(const upload_offer& next, time_point now)
{
    upload_decisions decisions;
    if (queue_.empty() && fits(next.bytes)) {
        add_grant(next, now, decisions);
        return decisions;
    }
    const nanoseconds before = time_to_receive(granted_bytes_ + queued_bytes_);
    const bool late = next.latest_arrival != time_point() &&
                      now + before + time_to_receive(next.bytes) > next.latest_arrival;
    if (late || queue_.size() >= max_queued) {
        decisions.refused.push_back({next.id, std::chrono::ceil<milliseconds>(before)});
        return decisions;
    }
    queue_.push_back(next);
    queued_bytes_ += next.bytes;
    return decisions;
}

upload_decisions upload_grants::finish(std::uint64_t id, time_point now)
{
    upload_decisions decisions;
    const auto granted = granted_.find(id);
    if (granted != granted_.end()) {
        granted_bytes_ -= granted->second.bytes;
        granted_.erase(granted);
    }
    const auto queued = std::find_if(queue_.begin(), queue_.end(),
                                     [id](const upload_offer& each) { return each.id == id; });
    if (queued != queue_.end()) {
        queued_bytes_ -= queued->bytes;
        queue_.erase(queued);
    }
    grant_queued(now, decisions);
    return decisions;
}

upload_decisions upload_grants::expire(time_point now)
{
    upload_decisions decisions;
    for (auto each = granted_.begin(); each != granted_.end();) {
        const bool lost = now >= each->second.expires_at;
        granted_bytes_ -= lost ? each->second.bytes : 0;
        each = lost ? granted_.erase(each) : std::next(each);
    }
    for (auto each = queue_.begin(); each != queue_.end();) {
        const bool late = each->latest_arrival != time_point() &&
                          now + time_to_receive(each->bytes) > each->latest_arrival;
        if (!late) {
            ++each;
            continue;
        }
        queued_bytes_ -= each->bytes;
        decisions.refused.push_back({each->id, std::chrono::ceil<milliseconds>(time_to_receive(
                                                   granted_bytes_ + queued_bytes_))});
        each = queue_.erase(each);
    }
    grant_queued(now, decisions);
    return decisions;
}

} // namespace agatespread
