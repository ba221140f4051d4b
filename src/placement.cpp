#include <agatespread/placement.h>

#include <algorithm>

namespace agatespread {

using std::chrono::nanoseconds;

nanoseconds expected_time(const placement_candidate& candidate, const placement_options& options)
{
    const reported_load& load = candidate.load;
    const nanoseconds service =
        load.service_time.count() > 0 ? load.service_time : options.unknown_service_time;
    const std::int64_t slots = std::max<std::int64_t>(load.slots, 1);
    const std::int64_t ahead =
        static_cast<std::int64_t>(load.running) + load.queued + candidate.sent_since;
    const std::int64_t waiting = std::max<std::int64_t>(ahead - slots + 1, 0);
    return candidate.distance + service + service * waiting / slots;
}

std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           nanoseconds time_left, const placement_options& options,
                                           const random_source& random)
{
    constexpr std::uint64_t steps = 1024;
    struct best_choice {
        std::optional<std::size_t> index;
        nanoseconds cost{0};
    };
    best_choice near;
    best_choice any;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const placement_candidate& candidate = candidates[index];
        const nanoseconds service = candidate.load.service_time.count() > 0
                                        ? candidate.load.service_time
                                        : options.unknown_service_time;
        const double draw =
            static_cast<double>(uniform_below(random, steps)) / static_cast<double>(steps);
        const nanoseconds noise(static_cast<std::int64_t>(static_cast<double>(service.count()) *
                                                          options.spread * draw));
        const nanoseconds cost = expected_time(candidate, options) + noise;
        const auto take = [index, cost](best_choice& best) {
            if (!best.index || cost < best.cost) {
                best.index = index;
                best.cost = cost;
            }
        };
        take(any);
        if (candidate.local_domain) {
            take(near);
        }
    }
    const nanoseconds local_limit(static_cast<std::int64_t>(
        static_cast<double>(std::max(time_left, nanoseconds(0)).count()) * options.local_share));
    return near.index && near.cost <= local_limit ? near.index : any.index;
}

} // namespace agatespread
