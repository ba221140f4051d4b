#pragma once

#include <agatespread/base.h>
#include <agatespread/placement.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace agatespread {

/// A request whose routing is asked for.
struct explain_question {
    std::string host;
    std::string path = "/"; ///< With the query.
    std::string method = "GET";
    std::string tenant; ///< Name; empty for none. Keys are neither taken nor shown.
    std::optional<std::chrono::milliseconds> deadline; ///< The time that the caller waits.
};

/// An upstream that the request could be sent to.
struct explained_candidate {
    node_id node;
    placement_candidate load;
    placement_terms terms;
};

/// Whether a second upstream would be asked if the first one did not respond in time.
struct explained_second_attempt {
    std::optional<std::chrono::nanoseconds> delay; ///< Nothing before enough responses.
    std::string refusal;                           ///< Why none would be asked; empty if one would.
};

/// Where a request would be routed at this moment, and why.
struct explanation {
    std::string refusal; ///< Why the request would be refused; empty if it would be sent.
    int status = 0;      ///< Of the refusal; 0 without one.
    config_version version = 0;
    std::string rule;
    std::string service;
    std::string tenant;
    double tenant_rate_per_second = 0; ///< Of the tenant's quota; 0 means no limit.
    double tenant_burst = 0;
    std::chrono::milliseconds time_left{0};
    std::chrono::milliseconds time_to_objective{0};
    std::vector<explained_candidate> candidates;
    std::optional<std::size_t> chosen; ///< Index in `candidates`.
    std::string reason;                ///< Why that candidate, as `name_of(placement_reason)`.
    explained_second_attempt second;
};

} // namespace agatespread
