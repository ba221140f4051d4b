#pragma once

#include <agatespread/base.h>
#include <agatespread/wire.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace agatespread {

/// What an upstream says of itself at one moment.
struct upstream_heartbeat {
    std::string instance;
    std::chrono::milliseconds born{0}; ///< Its start on the wall clock; 0 when it did not say.
    std::uint64_t sequence = 0;        ///< Grows with each heartbeat of one life.
    bool draining = false;
    std::uint32_t slots = 0;
    std::chrono::milliseconds cold_for{0}; ///< How much longer it is slow after its start.
};

/// What a message of the upstream changed.
enum class lifecycle_change : std::uint8_t { none, opened, closed };

/// Follows the lives of the upstream beside the node, whose messages may arrive late.
///
/// A life is known by its instance and birth. Heartbeats of an earlier life, or older than the
/// last one of the present life, change nothing. A life that has announced its leave never takes
/// work again.
class upstream_lifecycle {
public:
    /// Takes a heartbeat.
    lifecycle_change receive(const upstream_heartbeat& heartbeat);

    /// Takes the last message of a life.
    lifecycle_change leave(const std::string& instance, std::chrono::milliseconds born);

    /// Takes that the upstream refuses connections or answers as another instance; a heartbeat
    /// opens it again.
    lifecycle_change lost();

    /// Takes an answer to a health check of an upstream that has sent no heartbeat yet.
    lifecycle_change healthy(const std::string& instance, std::uint32_t slots);

    const std::string& instance() const { return instance_; }
    std::uint32_t slots() const { return slots_; }
    upstream_state state() const { return state_; }
    bool heard() const { return heard_; }

private:
    lifecycle_change enter(upstream_state next);

    std::string instance_;
    std::chrono::milliseconds born_{0};
    std::uint64_t sequence_ = 0;
    std::uint32_t slots_ = 0;
    upstream_state state_ = upstream_state::gone;
    bool heard_ = false;
    bool left_ = false; ///< This life has announced its leave.
};

} // namespace agatespread
