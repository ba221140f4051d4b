#include <agatespread/failure_rate.h>

#include <cmath>

namespace agatespread {

double failure_rate::decayed_share(time_point now) const
{
    const std::chrono::duration<double> elapsed = now - updated_at_;
    const std::chrono::duration<double> half_life = options_.half_life;
    return share_ * std::exp2(-elapsed.count() / half_life.count());
}

void failure_rate::add(bool failed, time_point now)
{
    const double current = decayed_share(now);
    share_ = current + ((failed ? 1.0 : 0.0) - current) * options_.outcome_weight;
    updated_at_ = now;
}

double failure_rate::share(time_point now) const
{
    const double current = decayed_share(now);
    return current < options_.min_reported_share ? 0 : current;
}

} // namespace agatespread
