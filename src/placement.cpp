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
                                           const placement_options& options,
                                           const random_source& random)
{
    constexpr std::uint64_t steps = 1024;
    std::optional<std::size_t> best;
    nanoseconds best_cost{0};
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
        if (!best || cost < best_cost) {
            best = index;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace agatespread
