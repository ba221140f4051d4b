#pragma once

#include <agatespread/base.h>

#include <chrono>
#include <deque>

namespace agatespread {

/// Measures for how long a node has known of a newer version than the one it has in force.
class version_progress {
public:
    /// Records a version that another node has in force. Returns whether it is newer than all
    /// versions known before.
    bool hear(config_version version, time_point now);

    /// Records that a version came into force on this node.
    void take(config_version version, time_point now);

    /// Returns the version in force; 0 for none.
    config_version in_force() const { return in_force_; }

    /// Returns the newest version that is in force on this node or was heard of.
    config_version newest() const;

    /// Returns whether the node knows of a version above the one in force.
    bool behind() const { return !newer_.empty(); }

    /// Returns the time since the node first heard of a version above the one in force, or 0 if it
    /// knows of none.
    std::chrono::milliseconds behind_for(time_point now) const;

    /// Returns the time since the version in force was taken, or 0 without one.
    std::chrono::milliseconds in_force_for(time_point now) const;

private:
    struct heard_version {
        config_version version = 0;
        time_point first_heard_at;
    };

    config_version in_force_ = 0;
    time_point in_force_since_;
    std::deque<heard_version> newer_; ///< Above the one in force, in ascending order.
};

} // namespace agatespread
