#pragma once

#include <agatespread/base.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace agatespread {

/// The limit of repeated requests to each service over all nodes of the mesh.
struct repeat_budget_options {
    double ratio = 0.2; ///< Repeats per request in any window.
    double slack = 0;   ///< Repeats in any window beyond the ratio, for all nodes together.
    std::chrono::milliseconds window = std::chrono::seconds(10);
    double used_share = 0.5; ///< Of the limit; the rest is for the calls that repeats make.
};

/// Limits how many requests this node sends to a second upstream.
///
/// Each node stays within the ratio of its own requests and its part of the slack, so that all
/// nodes together stay within the limit without a message.
///
///     repeat_budget budget({});
///     budget.count_request("charts", now);
///     if (budget.take("charts", nodes, now)) { /* send again */ }
class repeat_budget {
public:
    explicit repeat_budget(const repeat_budget_options& options);

    /// Counts a request of a caller for a service.
    void count_request(std::string_view service, time_point now);

    /// Takes one repeat if the budget holds it; `nodes` share the slack.
    bool take(std::string_view service, std::size_t nodes, time_point now);

private:
    static constexpr std::size_t slots_per_window = 10;
    static constexpr std::size_t kept_slots = slots_per_window + 2;

    struct usage {
        std::array<std::uint32_t, kept_slots> requests{};
        std::array<std::uint32_t, kept_slots> repeats{};
        std::int64_t current = 0; ///< Number of the newest slot.
    };

    usage& usage_of(std::string_view service, time_point now);

    const repeat_budget_options options_;
    std::unordered_map<std::string, usage> services_;
};

} // namespace agatespread
