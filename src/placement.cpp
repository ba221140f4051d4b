#include <agatespread/placement.h>

#include <algorithm>

namespace agatespread {

using std::chrono::nanoseconds;

namespace {

nanoseconds service_of(const placement_candidate& candidate, const placement_options& options)
{
    return candidate.load.service_time.count() > 0 ? candidate.load.service_time
                                                   : options.unknown_service_time;
}

/// Returns the mean service time of the candidates that have answered something.
nanoseconds usual_service_time(const std::vector<placement_candidate>& candidates,
                               nanoseconds otherwise)
{
    nanoseconds sum{0};
    std::int64_t known = 0;
    for (const placement_candidate& candidate : candidates) {
        sum += candidate.load.service_time;
        known += candidate.load.service_time.count() > 0 ? 1 : 0;
    }
    return known == 0 ? otherwise : sum / known;
}

} // namespace

nanoseconds expected_time(const placement_candidate& candidate, const placement_options& options)
{
    const reported_load& load = candidate.load;
    const nanoseconds service = service_of(candidate, options);
    const std::int64_t slots = std::max<std::int64_t>(load.slots, 1);
    const std::int64_t ahead =
        static_cast<std::int64_t>(load.running) + load.queued + candidate.sent_since;
    const std::int64_t waiting = std::max<std::int64_t>(ahead - slots + 1, 0);
    return candidate.distance + load.link_delay + service + service * waiting / slots;
}

namespace {

/// Returns a value of [0, 1).
double draw(const random_source& random)
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(uniform_below(random, steps)) / static_cast<double>(steps);
}

/// Draws distinct indices in proportion to the speed of their upstreams.
std::vector<std::size_t> draw_sample(const std::vector<placement_candidate>& candidates,
                                     std::vector<std::size_t> pool,
                                     const placement_options& options, const random_source& random)
{
    if (pool.size() <= options.sample) {
        return pool;
    }
    const auto speed = [&candidates, &options](std::size_t index) {
        return 1.0 / static_cast<double>(service_of(candidates[index], options).count());
    };
    std::vector<std::size_t> sample;
    while (sample.size() < options.sample) {
        double total = 0;
        for (const std::size_t index : pool) {
            total += speed(index);
        }
        double point = draw(random) * total;
        std::size_t position = 0;
        while (position + 1 < pool.size() && point >= speed(pool[position])) {
            point -= speed(pool[position]);
            ++position;
        }
        sample.push_back(pool[position]);
        pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(position));
    }
    return sample;
}

/// Returns the member of a pool that is expected to answer first.
std::size_t choose_from(const std::vector<placement_candidate>& candidates,
                        const std::vector<std::size_t>& pool, const placement_options& options,
                        const random_source& random)
{
    std::size_t best = pool.front();
    double best_cost = 0;
    for (const std::size_t index : draw_sample(candidates, pool, options, random)) {
        const double service = static_cast<double>(service_of(candidates[index], options).count());
        const double cost = static_cast<double>(expected_time(candidates[index], options).count()) +
                            service * options.spread * draw(random);
        if (best_cost == 0 || cost < best_cost) {
            best = index;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace

std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           nanoseconds time_left, const placement_options& given,
                                           const random_source& random)
{
    placement_options options = given;
    options.unknown_service_time = usual_service_time(candidates, given.unknown_service_time);
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        (candidates[index].local_domain ? near : far).push_back(index);
    }
    if (near.empty() && far.empty()) {
        return std::nullopt;
    }
    if (near.empty()) {
        return choose_from(candidates, far, options, random);
    }
    const std::size_t nearest = choose_from(candidates, near, options, random);
    const double near_time =
        static_cast<double>(expected_time(candidates[nearest], options).count());
    const double left = static_cast<double>(std::max(time_left, nanoseconds(0)).count());
    if (far.empty() || near_time <= left * options.local_share) {
        return nearest;
    }
    const std::size_t other = choose_from(candidates, far, options, random);
    const double far_time = static_cast<double>(expected_time(candidates[other], options).count());
    return far_time <= near_time * options.far_gain ? other : nearest;
}

} // namespace agatespread
