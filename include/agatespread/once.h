#pragma once

#include <agatespread/base.h>
#include <agatespread/metrics.h>
#include <agatespread/platform.h>
#include <agatespread/timer.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace agatespread {

/// The limits on the claims of one node.
struct once_options {
    std::size_t max_batch_rows = 100;              ///< Rows in one transaction.
    std::size_t max_response_bytes = 4096;         ///< Larger responses are not recorded.
    std::size_t max_pending = 10000;               ///< Further claims are refused as not run.
    std::chrono::milliseconds claim_timeout{1000}; ///< The callback of a claim is called within it.
    std::chrono::milliseconds lease{5000};         ///< After it, the request must not be sent.
    std::chrono::milliseconds finish_timeout{30000}; ///< Later results and releases are dropped.
    /// How long a result or release waits for claims to share a transaction with.
    std::chrono::milliseconds max_finish_delay{100};
    std::chrono::milliseconds min_batch_interval{0}; ///< Between batches that are not full.
    std::chrono::hours key_retention{24};            ///< After it, a key may be claimed again.
};

/// A request that must run at most once.
struct once_request {
    std::string tenant;
    std::string key;         ///< The value of `Idempotency-Key`.
    std::string fingerprint; ///< A hash of service, method, path and body.
};

/// The outcome of a claim.
enum class claim_outcome {
    granted,     ///< The request may be sent after `may_send`.
    recorded,    ///< The request ran before; its response was recorded.
    completed,   ///< The request ran before; its response was too large to record.
    in_progress, ///< The request is running, or its outcome is unknown.
    mismatched,  ///< The key was used for another request.
    not_run      ///< The claim failed; the request was not run.
};

/// Identifies a granted claim.
struct claim_ticket {
    std::string row_key;
    std::string token;
};

/// The result of a claim.
struct claim_result {
    claim_outcome outcome = claim_outcome::not_run;
    claim_ticket ticket; ///< Set when granted.
    std::string answer;  ///< Set when recorded.
};

/// Claims keys in the platform's table, so that each request runs at most once in the mesh.
///
/// A granted claim ends with exactly one of `complete`, `release` or `abandon`. All members must be
/// called on the thread of the driver.
///
///     claims.claim({"nile-soy", key, fingerprint}, [&](const claim_result& claim) {
///         if (claim.outcome == claim_outcome::granted && claims.may_send(claim.ticket)) {
///             send(request);
///         }
///     });
class once_claims {
public:
    using wall_clock = std::function<std::chrono::system_clock::time_point()>;
    using callback = std::function<void(const claim_result&)>;

    /// The timers, the driver and the metrics are stored by reference and must outlive the claims.
    once_claims(timer_service& timers, platform& driver, random_source random, wall_clock clock,
                metrics& data, const once_options& options = {});
    once_claims(const once_claims&) = delete;
    once_claims& operator=(const once_claims&) = delete;

    /// Ends all claims without calling outstanding callbacks.
    ~once_claims();

    /// Claims a key and calls `done` once, within the claim timeout.
    void claim(const once_request& request, callback done);

    /// Returns whether the request may be sent now; must be called right before each send.
    bool may_send(const claim_ticket& ticket) const;

    /// Records the response of a request that ran.
    void complete(const claim_ticket& ticket, std::string answer);

    /// Releases the key of a request of which no byte reached an upstream.
    void release(const claim_ticket& ticket);

    /// Leaves the key claimed until it expires, because it is unknown whether the request ran.
    void abandon(const claim_ticket& ticket);

    /// Returns the number of claims that are pending, granted or being finished.
    std::size_t pending() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// The limits of one sweep step.
struct sweep_limits {
    std::size_t max_scanned = 1000;
    std::size_t max_removed = 100;
};

/// The result of one sweep step.
struct sweep_result {
    std::size_t removed = 0;
    bool is_complete = false; ///< No expired row is left under the prefix.
};

/// Removes expired rows below a prefix in one transaction.
///
/// The caller repeats a step that is not complete if it removed rows, and otherwise divides it into
/// the prefixes with one more hexadecimal digit.
///
///     sweep_once_rows(driver, "once/nile-soy/3f", std::chrono::system_clock::now(), {}, next);
void sweep_once_rows(platform& driver, const std::string& prefix,
                     std::chrono::system_clock::time_point now, const sweep_limits& limits,
                     platform::callback<sweep_result> done);

} // namespace agatespread
