#pragma once

#include <agatespread/base.h>
#include <agatespread/wire.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace agatespread {

/// The state that an upstream reports of itself.
struct upstream_heartbeat {
    std::string instance;
    std::chrono::milliseconds started_at{0}; ///< On the wall clock; 0 if not reported.
    std::uint64_t sequence = 0;              ///< Increases with each heartbeat of an incarnation.
    bool draining = false;
    std::uint32_t slots = 0;
    std::chrono::milliseconds warmup_remaining{0}; ///< Until it responds at full speed.
    std::string version;                           ///< Of its software; empty if not reported.
};

/// An incarnation that is draining or deregistered.
struct upstream_departure {
    std::string instance;
    std::chrono::milliseconds started_at{0}; ///< 0 if not known.

    friend bool operator==(const upstream_departure& left, const upstream_departure& right)
    {
        return left.instance == right.instance && left.started_at == right.started_at;
    }
};

/// What an incarnation says of itself in its responses.
struct upstream_announcement {
    std::string instance;
    std::chrono::milliseconds started_at{0}; ///< 0 if not known.
    bool leaving = false;
    std::optional<double> rate_limit; ///< Requests per second that it accepts from all hosts.
};

/// Whether a message opened or closed the upstream for new requests.
enum class lifecycle_change : std::uint8_t { none, opened, closed };

/// Tracks the incarnations of the upstream process beside the node, whose messages may be delayed.
///
/// An incarnation is identified by its instance and start time. Heartbeats of an earlier
/// incarnation, and heartbeats with a sequence number that is not higher than the last one, are
/// ignored. An incarnation that is draining or deregistered is not opened again, whatever the order
/// in which its messages arrive.
///
/// A process of the node that has just started does not know what an earlier one acknowledged, and
/// the first heartbeat may have been sent before the upstream left. With `confirm_first` it opens
/// nothing until the upstream itself says in a health check that it does not leave, or until
/// `confirming_heartbeats` of one incarnation have arrived, as one that has left sends no more.
class upstream_lifecycle {
public:
    static constexpr std::uint32_t confirming_heartbeats = 3;

    explicit upstream_lifecycle(bool confirm_first = false) : confirmed_(!confirm_first) {}

    /// Applies a heartbeat.
    lifecycle_change receive(const upstream_heartbeat& heartbeat);

    /// Applies the deregistration of an incarnation, which is its last message but may arrive
    /// before the first one.
    lifecycle_change deregister(const std::string& instance, std::chrono::milliseconds started_at);

    /// Applies a response in which the current incarnation says that it is leaving.
    lifecycle_change mark_leaving();

    /// Applies a departure that was recorded by an earlier process of this node or is known to
    /// another node.
    lifecycle_change restore(const upstream_departure& departure);

    /// Returns the current incarnation if it is draining or deregistered.
    std::optional<upstream_departure> departure() const;

    /// Closes an upstream that refuses connections or responds as another instance; the next
    /// heartbeat opens it again.
    lifecycle_change mark_unreachable();

    /// Applies a successful health check, which opens an upstream that has not sent a heartbeat yet
    /// and confirms one that has.
    lifecycle_change health_check_passed(const std::string& instance, std::uint32_t slots);

    const std::string& instance() const { return instance_; }
    /// Returns the software version of the current incarnation; empty if not known.
    const std::string& version() const { return version_; }
    std::chrono::milliseconds started_at() const { return started_at_; }
    std::uint32_t slots() const { return slots_; }
    upstream_state state() const { return state_; }
    bool heartbeat_received() const { return heartbeat_received_; }

    /// Returns whether a health check could open the gate or let a heartbeat open it.
    bool awaits_confirmation() const { return !confirmed_ && !left_service_; }

    /// Returns how many incarnations were replaced by a later one.
    std::uint64_t replacements() const { return replacements_; }

    /// Returns how many messages of earlier or unknown incarnations changed nothing.
    std::uint64_t ignored_messages() const { return ignored_messages_; }

    /// Returns whether the incarnation that was replaced last had announced its exit.
    bool exit_announced() const { return exit_announced_; }

private:
    lifecycle_change transition_to(upstream_state next);
    void adopt(const std::string& instance, std::chrono::milliseconds started_at);
    /// Returns whether a message is of a process that ran before the one that is known to have
    /// left.
    bool precedes_departure(const std::string& instance,
                            std::chrono::milliseconds started_at) const;

    std::string instance_;
    std::string version_;
    std::chrono::milliseconds started_at_{0};
    std::uint64_t sequence_ = 0;
    std::uint32_t slots_ = 0;
    upstream_state state_ = upstream_state::gone;
    bool heartbeat_received_ = false;
    bool confirmed_; ///< An incarnation was found not to leave since this process started.
    std::uint32_t unconfirmed_heartbeats_ = 0; ///< Of this incarnation.
    std::string healthy_instance_;             ///< Of the last health check that passed.
    bool left_service_ = false;                ///< This incarnation is draining or deregistered.
    /// Left before this process of the node got a heartbeat of it.
    std::optional<upstream_departure> departed_;
    std::uint64_t replacements_ = 0;
    std::uint64_t ignored_messages_ = 0;
    bool exit_announced_ = false;
};

} // namespace agatespread
