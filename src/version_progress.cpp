#include <agatespread/version_progress.h>

namespace agatespread {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Bounds the memory of a node that is behind for long; beyond it, the newest entry is replaced.
constexpr std::size_t max_newer_versions = 64;

} // namespace

bool version_progress::hear(config_version version, time_point now)
{
    if (version <= newest()) {
        return false;
    }
    if (newer_.size() == max_newer_versions) {
        newer_.back().version = version;
    }
    else {
        newer_.push_back({version, now});
    }
    return true;
}

void version_progress::take(config_version version, time_point now)
{
    in_force_ = version;
    in_force_since_ = now;
    while (!newer_.empty() && newer_.front().version <= version) {
        newer_.pop_front();
    }
}

config_version version_progress::newest() const
{
    return newer_.empty() ? in_force_ : newer_.back().version;
}

milliseconds version_progress::behind_for(time_point now) const
{
    return newer_.empty() ? milliseconds(0)
                          : duration_cast<milliseconds>(now - newer_.front().first_heard_at);
}

milliseconds version_progress::in_force_for(time_point now) const
{
    return in_force_ == 0 ? milliseconds(0) : duration_cast<milliseconds>(now - in_force_since_);
}

} // namespace agatespread
