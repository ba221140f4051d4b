#include <agatespread/placement.h>

#include <algorithm>

namespace agatespread {

using std::chrono::nanoseconds;

namespace {

double to_double(nanoseconds time)
{
    return static_cast<double>(time.count());
}

/// Returns the times of a kind at an upstream, or zeros if it has not served the kind lately.
kind_time times_of(const reported_load& load, std::uint32_t kind)
{
    for (const kind_time& known : load.kinds) {
        if (kind != 0 && known.kind == kind) {
            return known;
        }
    }
    return {};
}

/// Returns the mean of the times that are known, or 0.
template <typename Time>
nanoseconds mean_of_known(const std::vector<placement_candidate>& candidates, const Time& time)
{
    nanoseconds sum{0};
    std::int64_t known = 0;
    for (const placement_candidate& candidate : candidates) {
        const nanoseconds each = time(candidate.load);
        sum += each;
        known += each.count() > 0 ? 1 : 0;
    }
    return known == 0 ? sum : sum / known;
}

/// Returns the time of the request on a slot of each candidate. One that has not served its kind
/// lately counts as average.
std::vector<nanoseconds> service_times(const std::vector<placement_candidate>& candidates,
                                       std::uint32_t kind, const placement_options& options)
{
    const auto of_kind = [kind](const reported_load& load) { return times_of(load, kind).mean; };
    const auto of_all = [](const reported_load& load) { return load.service_time; };
    const nanoseconds usual_of_kind = mean_of_known(candidates, of_kind);
    const nanoseconds usual_of_all = mean_of_known(candidates, of_all);
    std::vector<nanoseconds> result;
    result.reserve(candidates.size());
    for (const placement_candidate& candidate : candidates) {
        nanoseconds time =
            usual_of_kind.count() > 0 ? of_kind(candidate.load) : of_all(candidate.load);
        if (time.count() <= 0) {
            time = usual_of_kind.count() > 0 ? usual_of_kind : usual_of_all;
        }
        result.push_back(time.count() > 0 ? time : options.unknown_service_time);
    }
    return result;
}

/// Returns a value of [0, 1).
double draw(const random_source& random)
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(uniform_below(random, steps)) / static_cast<double>(steps);
}

/// One choice among the upstreams of a service.
class choice {
public:
    choice(const std::vector<placement_candidate>& candidates, const placement_request& request,
           const placement_options& options, const random_source& random)
        : candidates_(candidates), time_left_(std::max(request.time_left, nanoseconds(0))),
          options_(options), random_(random), kind_(request.kind),
          services_(service_times(candidates, request.kind, options))
    {
    }

    /// Returns the expected time with the time that is lost by failures.
    double own_time(std::size_t index) const
    {
        const placement_candidate& candidate = candidates_[index];
        const nanoseconds lost = std::max(time_left_, services_[index]);
        return to_double(expected_time(candidate, services_[index])) +
               to_double(lost) * candidate.load.failure_ratio;
    }

    /// Returns the own time and that by which the request delays what waits for the same slots and
    /// for the same link.
    double cost(std::size_t index) const
    {
        const reported_load& load = candidates_[index].load;
        const double on_slot = to_double(services_[index]) / std::max<double>(load.slots, 1);
        const double on_link = to_double(times_of(load, kind_).link);
        const double answers_waiting =
            to_double(load.link_delay) / std::max(1.0, to_double(load.transmission_time));
        return own_time(index) + on_slot * load.queued + on_link * answers_waiting;
    }

    /// Returns the member of a pool that is expected to answer first.
    std::size_t best_of(const std::vector<std::size_t>& pool) const
    {
        std::size_t best = pool.front();
        double best_cost = 0;
        for (const std::size_t index : draw_sample(pool)) {
            const double next =
                cost(index) + to_double(services_[index]) * options_.spread * draw(random_);
            if (best_cost == 0 || next < best_cost) {
                best = index;
                best_cost = next;
            }
        }
        return best;
    }

private:
    /// Returns the time by which the request keeps others from the upstream: on its slots, or on
    /// the link of its host if that is longer.
    nanoseconds occupation(std::size_t index) const
    {
        const reported_load& load = candidates_[index].load;
        const nanoseconds on_slots = services_[index] / std::max<std::int64_t>(load.slots, 1);
        return std::max({on_slots, times_of(load, kind_).link, nanoseconds(1)});
    }

    /// Draws distinct indices in proportion to the speed of their upstreams.
    std::vector<std::size_t> draw_sample(std::vector<std::size_t> pool) const
    {
        if (pool.size() <= options_.sample) {
            return pool;
        }
        const auto speed = [this](std::size_t index) {
            return (1 - candidates_[index].load.failure_ratio) / to_double(occupation(index));
        };
        std::vector<std::size_t> sample;
        while (sample.size() < options_.sample) {
            double total = 0;
            for (const std::size_t index : pool) {
                total += speed(index);
            }
            double point = draw(random_) * total;
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

    const std::vector<placement_candidate>& candidates_;
    const nanoseconds time_left_;
    const placement_options& options_;
    const random_source& random_;
    const std::uint32_t kind_;
    const std::vector<nanoseconds> services_;
};

} // namespace

std::uint64_t to_permille(double share)
{
    return static_cast<std::uint64_t>(std::clamp(share, 0.0, 1.0) * 1000);
}

double from_permille(std::uint64_t permille)
{
    return static_cast<double>(std::min<std::uint64_t>(permille, 1000)) / 1000;
}

nanoseconds expected_time(const placement_candidate& candidate, nanoseconds service)
{
    const reported_load& load = candidate.load;
    const std::int64_t slots = std::max<std::int64_t>(load.slots, 1);
    const std::int64_t taken = static_cast<std::int64_t>(load.running) + load.queued;
    // Of the requests sent since the report, those beyond the free slots wait as well.
    const std::int64_t more =
        taken >= slots ? candidate.sent_since_report
                       : std::max<std::int64_t>(taken + candidate.sent_since_report - slots + 1, 0);
    const nanoseconds mean = load.service_time.count() > 0 ? load.service_time : service;
    const nanoseconds at_upstream = load.wait + mean * more / slots + service;
    // What is ahead leaves through the link while the request is at the upstream.
    const nanoseconds on_link = load.link_delay +
                                load.transmission_time * (taken + candidate.sent_since_report) -
                                at_upstream;
    return candidate.round_trip_time + at_upstream + std::max(on_link, nanoseconds(0)) +
           load.transmission_time;
}

std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           const placement_request& request,
                                           const placement_options& options,
                                           const random_source& random)
{
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        (candidates[index].local_domain ? near : far).push_back(index);
    }
    if (near.empty() && far.empty()) {
        return std::nullopt;
    }
    const choice among(candidates, request, options, random);
    if (near.empty()) {
        return among.best_of(far);
    }
    const std::size_t nearest = among.best_of(near);
    const double left = to_double(std::max(request.time_left, nanoseconds(0)));
    if (far.empty() || among.own_time(nearest) <= left * options.local_share) {
        return nearest;
    }
    const std::size_t other = among.best_of(far);
    const bool large = request.answer_bytes >= options.large_answer_bytes;
    const double gain = large ? options.large_far_gain : options.far_gain;
    return among.own_time(other) <= among.own_time(nearest) * gain ? other : nearest;
}

} // namespace agatespread
