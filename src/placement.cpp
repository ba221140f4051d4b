#include <agatespread/placement.h>
#include <agatespread/upload_link.h>

#include <algorithm>
#include <array>
#include <map>
#include <tuple>
#include <utility>

namespace agatespread {

using std::chrono::nanoseconds;

namespace {

double to_double(nanoseconds time)
{
    return static_cast<double>(time.count());
}

nanoseconds to_time(double value)
{
    return nanoseconds(static_cast<std::int64_t>(value));
}

/// Returns the times of a kind at an upstream, or zeros if its report does not include the kind.
kind_time times_of(const reported_load& load, std::uint32_t kind)
{
    for (const kind_time& known : load.kinds) {
        if (kind != 0 && known.kind == kind) {
            return known;
        }
    }
    return {};
}

/// Returns the mean of the non-zero times, or 0 if there are none.
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

/// Returns the expected service time of the request at each candidate. A candidate that has not
/// reported a time for the kind gets the mean of the others.
std::vector<nanoseconds> service_times(const std::vector<placement_candidate>& candidates,
                                       std::uint32_t kind, const placement_options& options)
{
    const auto of_kind = [kind](const reported_load& load) { return times_of(load, kind).mean; };
    const auto of_all = [](const reported_load& load) { return load.service_time; };
    const nanoseconds mean_of_kind = mean_of_known(candidates, of_kind);
    const nanoseconds mean_of_all = mean_of_known(candidates, of_all);
    std::vector<nanoseconds> result;
    result.reserve(candidates.size());
    for (const placement_candidate& candidate : candidates) {
        nanoseconds time =
            mean_of_kind.count() > 0 ? of_kind(candidate.load) : of_all(candidate.load);
        if (time.count() <= 0) {
            time = mean_of_kind.count() > 0 ? mean_of_kind : mean_of_all;
        }
        result.push_back(time.count() > 0 ? time : options.default_service_time);
    }
    return result;
}

/// Returns a random value in [0, 1).
double draw(const random_source& random)
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(uniform_below(random, steps)) / static_cast<double>(steps);
}

/// Compares the upstreams of a service for one request.
class upstream_selector {
public:
    upstream_selector(const std::vector<placement_candidate>& candidates,
                      const placement_request& request, const placement_options& options,
                      const random_source& random)
        : candidates_(candidates),
          time_to_objective_(std::max(request.time_to_objective, nanoseconds(0))),
          options_(options), random_(random), kind_(request.kind),
          uploads_(request.upload_bytes / reference_upload_bytes),
          service_times_(service_times(candidates, request.kind, options))
    {
    }

    /// Returns the expected time until the response, including the time lost to failures.
    double time_with_failures(std::size_t index) const
    {
        return to_double(expected_time(candidates_[index], service_times_[index])) +
               upload_time(index) + failures(index);
    }

    /// Returns the time of this request and the delay that it causes for requests and responses
    /// that wait for the same slots and the same link.
    double cost(std::size_t index) const
    {
        return time_with_failures(index) + slot_delay(index) + link_delay(index);
    }

    /// Returns the terms of each candidate's cost; only drawn ones have a total.
    std::vector<placement_terms> terms() const
    {
        std::vector<placement_terms> result(candidates_.size());
        for (std::size_t index = 0; index < result.size(); ++index) {
            placement_terms& each = result[index];
            each.service_time = service_times_[index];
            each.response = expected_time(candidates_[index], service_times_[index]) +
                            to_time(upload_time(index));
            each.failures = to_time(failures(index));
            each.slot_delay = to_time(slot_delay(index));
            each.link_delay = to_time(link_delay(index));
            const auto drawn = drawn_costs_.find(index);
            if (drawn != drawn_costs_.end()) {
                each.cost = to_time(drawn->second);
            }
        }
        return result;
    }

    /// Keeps the costs of the candidates that are drawn, for `terms`.
    void keep_costs() { keeps_costs_ = true; }

    /// Returns the candidate of a pool with the lowest cost among a random sample.
    std::size_t best_of(const std::vector<std::size_t>& pool)
    {
        std::size_t best = pool.front();
        double best_cost = 0;
        for (const std::size_t index : draw_sample(pool)) {
            const double next = cost(index) + to_double(service_times_[index]) *
                                                  options_.cost_jitter * draw(random_);
            if (keeps_costs_) {
                drawn_costs_[index] = next;
            }
            if (best_cost == 0 || next < best_cost) {
                best = index;
                best_cost = next;
            }
        }
        return best;
    }

private:
    double upload_time(std::size_t index) const
    {
        return to_double(candidates_[index].load.upload_time) * uploads_;
    }

    double failures(std::size_t index) const
    {
        const nanoseconds lost = std::max(time_to_objective_, service_times_[index]);
        return to_double(lost) * candidates_[index].load.failure_ratio;
    }

    double slot_delay(std::size_t index) const
    {
        const reported_load& load = candidates_[index].load;
        return to_double(service_times_[index]) / std::max<double>(load.slots, 1) * load.queued;
    }

    double link_delay(std::size_t index) const
    {
        const reported_load& load = candidates_[index].load;
        const double link_time = to_double(times_of(load, kind_).transmission_time);
        return link_time *
               (to_double(load.link_delay) / std::max(1.0, to_double(load.transmission_time)));
    }

    /// Returns the time for which the request occupies the upstream's capacity: its slots, or the
    /// link of its host if that takes longer.
    nanoseconds occupancy(std::size_t index) const
    {
        const reported_load& load = candidates_[index].load;
        const nanoseconds on_slots = service_times_[index] / std::max<std::int64_t>(load.slots, 1);
        return std::max({on_slots, times_of(load, kind_).transmission_time, nanoseconds(1)});
    }

    /// Draws distinct indices, weighted by the throughput of their upstreams.
    std::vector<std::size_t> draw_sample(std::vector<std::size_t> pool) const
    {
        if (pool.size() <= options_.sample_size) {
            return pool;
        }
        const auto speed = [this](std::size_t index) {
            return (1 - candidates_[index].load.failure_ratio) /
                   std::max(to_double(occupancy(index)), upload_time(index));
        };
        std::vector<std::size_t> sample;
        while (sample.size() < options_.sample_size) {
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
    const nanoseconds time_to_objective_;
    const placement_options& options_;
    const random_source& random_;
    const std::uint32_t kind_;
    const double uploads_; ///< Size of the body in uploads of the reference size.
    const std::vector<nanoseconds> service_times_;
    bool keeps_costs_ = false;
    std::map<std::size_t, double> drawn_costs_;
};

/// Chooses among the candidates; returns nothing for the index if there are none.
std::pair<std::optional<std::size_t>, placement_reason>
choose(upstream_selector& selector, const std::vector<placement_candidate>& candidates,
       const placement_request& request, const placement_options& options)
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        (candidates[index].local_domain ? local : remote).push_back(index);
    }
    if (local.empty() && remote.empty()) {
        return {std::nullopt, placement_reason::none};
    }
    if (local.empty()) {
        return {selector.best_of(remote), placement_reason::no_local};
    }
    const std::size_t local_best = selector.best_of(local);
    const double time_left = to_double(std::max(request.time_to_objective, nanoseconds(0)));
    if (remote.empty() ||
        selector.time_with_failures(local_best) <= time_left * options.local_objective_share) {
        return {local_best, placement_reason::in_domain};
    }
    const std::size_t remote_best = selector.best_of(remote);
    const bool large_response = request.response_bytes >= options.large_response_bytes;
    const double required_ratio =
        large_response ? options.large_response_remote_time_ratio : options.remote_time_ratio;
    const bool faster = selector.time_with_failures(remote_best) <=
                        selector.time_with_failures(local_best) * required_ratio;
    return {faster ? remote_best : local_best,
            faster ? placement_reason::faster : placement_reason::no_better};
}

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
    const std::int64_t outstanding = static_cast<std::int64_t>(load.running) + load.queued;
    // Requests sent since the report that exceed the free slots also wait.
    const std::int64_t waiting =
        outstanding >= slots
            ? candidate.sent_since_report
            : std::max<std::int64_t>(outstanding + candidate.sent_since_report - slots + 1, 0);
    const nanoseconds mean = load.service_time.count() > 0 ? load.service_time : service;
    const nanoseconds upstream_time = load.wait + mean * waiting / slots + service;
    // Earlier responses are transmitted while the request is queued and runs.
    const nanoseconds link_wait =
        load.link_delay + load.transmission_time * (outstanding + candidate.sent_since_report) -
        upstream_time;
    return candidate.round_trip_time + upstream_time + std::max(link_wait, nanoseconds(0)) +
           load.transmission_time;
}

std::string_view name_of(placement_reason reason)
{
    constexpr std::array<std::string_view, 5> names = {"none", "in_domain", "no_better", "faster",
                                                       "no_local"};
    return names[static_cast<std::size_t>(reason)];
}

std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           const placement_request& request,
                                           const placement_options& options,
                                           const random_source& random)
{
    upstream_selector selector(candidates, request, options, random);
    return choose(selector, candidates, request, options).first;
}

placement_choice explain_upstream(const std::vector<placement_candidate>& candidates,
                                  const placement_request& request,
                                  const placement_options& options, const random_source& random)
{
    upstream_selector selector(candidates, request, options, random);
    selector.keep_costs();
    placement_choice result;
    std::tie(result.chosen, result.reason) = choose(selector, candidates, request, options);
    result.terms = selector.terms();
    return result;
}

} // namespace agatespread
