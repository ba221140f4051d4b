#pragma once

#include <agatespread/platform.h>
#include <agatespread/rollout.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace agatespread::detail {

/// What a node knows of the rollouts of one service.
struct service_rollout {
    service_rollout(const rollout_options& options, std::chrono::milliseconds window)
        : evidence(window), exposure(options)
    {
    }

    rollout_state state;                 ///< Generation 0 without an order.
    time_point started;                  ///< When the order was first read by any node.
    time_point changed;                  ///< Last change of the state.
    bool idle_reported = false;          ///< The gate of the own old upstream, in `closing`.
    std::optional<rollout_phase> passed; ///< Phase at whose end the version was found good.
    rollout_evidence evidence;
    std::string reason; ///< Of the last verdict.
    exposure_limit exposure;
    std::vector<rollout_order> earlier; ///< Orders that were replaced by later ones.

    std::optional<rollout_order> read; ///< Order of the operator that is not applied yet.
    time_point read_at;
    bool read_at_start = false;            ///< It may be older than this process.
    bool verify = false;                   ///< The platform may have lost the state.
    bool in_flight = false;                ///< A read or a write of the row.
    time_point next_step_at;               ///< No call to the platform before.
    std::optional<time_point> due_step_at; ///< When this node writes the step that is due.
};

} // namespace agatespread::detail
