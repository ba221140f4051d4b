#pragma once

#include <agatespread/base.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace agatespread {

/// The limit on repeated requests to each service over all nodes of the mesh.
struct repeat_budget_options {
    double ratio = 0.2; ///< Repeats per request in any window.
    double slack = 0;   ///< Repeats in any window beyond the ratio, for all nodes together.
    std::chrono::milliseconds window = std::chrono::seconds(10);
    /// Part of the limit up to which lost and refused requests are repeated. The rest is left for
    /// the calls that a repeated request makes to further services, about 1.4 each, which count as
    /// repeats there.
    double lost_share = 0.35;
    /// Part of the limit up to which requests that failed in the upstream are repeated. It is
    /// lower than `lost_share` because the next upstream often fails for the same reason.
    double failure_share = 0.12;
    /// Part of the limit up to which requests with a slow response are sent to a second upstream:
    /// at a ratio of 0.2, the 5 % of the requests that take longer than the 95th percentile. It is
    /// lower than `lost_share`, so that lost requests are still repeated.
    double slow_share = 0.25;
};

/// Why a request is sent again.
enum class repeat_reason : std::uint8_t {
    lost,    ///< The upstream refused it, or its response was lost.
    failure, ///< The upstream responded with a failure.
    slow,    ///< The upstream has not responded yet; see `second_attempts`.
};

/// Limits how many requests this node sends to a second upstream.
///
/// Each node stays within the ratio of its own requests and an equal part of the slack, so that all
/// nodes together stay within the limit without exchanging messages.
///
///     repeat_budget budget({});
///     budget.count_request("charts", now);
///     if (budget.try_acquire("charts", repeat_reason::lost, nodes, now)) { /* send again */ }
class repeat_budget {
public:
    explicit repeat_budget(const repeat_budget_options& options);

    /// Counts a request of a caller for a service.
    void count_request(std::string_view service, time_point now);

    /// Charges one repeat if the budget allows it; `nodes` share the slack.
    bool try_acquire(std::string_view service, repeat_reason reason, std::size_t nodes,
                     time_point now);

    /// Returns whether `try_acquire` would succeed, without charging anything.
    bool allows(std::string_view service, repeat_reason reason, std::size_t nodes,
                time_point now) const;

private:
    static constexpr std::size_t slots_per_window = 10;
    static constexpr std::size_t kept_slots = slots_per_window + 2;

    struct usage {
        std::array<std::uint32_t, kept_slots> requests{};
        std::array<std::uint32_t, kept_slots> repeats{};
        std::int64_t current = 0; ///< Index of the newest slot.
    };

    usage& usage_of(std::string_view service, time_point now);
    void advance(usage& used, time_point now) const;
    bool permits(const usage& used, repeat_reason reason, std::size_t nodes) const;

    const repeat_budget_options options_;
    std::unordered_map<std::string, usage> services_;
};

} // namespace agatespread
