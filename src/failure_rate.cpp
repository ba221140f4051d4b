#include <agatespread/failure_rate.h>

#include <cmath>

namespace agatespread {

double failure_rate::estimate(time_point now) const
{
    const std::chrono::duration<double> passed = now - at_;
    const std::chrono::duration<double> half_life = options_.half_life;
    return share_ * std::exp2(-passed.count() / half_life.count());
}

void failure_rate::add(bool failed, time_point now)
{
    const double known = estimate(now);
    share_ = known + ((failed ? 1.0 : 0.0) - known) * options_.weight;
    at_ = now;
}

double failure_rate::share(time_point now) const
{
    const double known = estimate(now);
    return known < options_.ignored_share ? 0 : known;
}

} // namespace agatespread
