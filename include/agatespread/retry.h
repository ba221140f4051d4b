#pragma once

#include <agatespread/base.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace agatespread {

/// The retry budgets at each level of a call tree.
///
/// Over 11 levels the ratios add up to 5 % + 10 x 0.5 % = 10 %, because calls below a retry are not
/// retried themselves.
struct retry_options {
    double root_ratio = 0.05;    ///< Retries per first attempt at depth 0.
    double nested_ratio = 0.005; ///< Retries per first attempt at each deeper level.
    /// Retries allowed at depth 0 in any two adjacent windows, also with few first attempts.
    std::uint32_t min_root_retries = 2;
    std::chrono::milliseconds window = std::chrono::seconds(10);
    std::uint32_t max_attempts = 3; ///< Including the first.
    std::size_t max_budgets = 4096; ///< Pairs of caller and class tracked at a time.
};

/// How the last attempt of a call failed.
enum class attempt_failure : std::uint8_t {
    not_run,    ///< Not sent, or refused before its first byte.
    unanswered, ///< Sent, but no complete response arrived.
    timed_out,  ///< Sent, and the attempt timed out.
    overloaded, ///< The upstream itself responded with 503.
};

/// The inputs of a retry decision.
struct retry_context {
    std::string_view caller;
    std::string_view request_class;
    std::uint32_t depth = 0;
    bool on_retry_path = false; ///< An ancestor of this call is a retry.
    bool once = false;          ///< The request must run at most once.
    bool idempotent = false;
    std::uint32_t attempts = 1; ///< Including the one that failed.
    attempt_failure failure = attempt_failure::not_run;
    bool may_have_run = false;              ///< A byte of any attempt may have reached an upstream.
    std::chrono::milliseconds remaining{0}; ///< Until the deadline.
    std::chrono::milliseconds expected_duration{0}; ///< Typical duration of an attempt.
    std::chrono::milliseconds retry_after{0};       ///< As stated by the refusal.
};

/// What to do after a failed attempt.
struct retry_decision {
    bool should_retry = false;
    int status = 503;
    bool not_run = false;                     ///< No byte of any attempt reached an upstream.
    std::chrono::milliseconds retry_after{0}; ///< 0 if the request may not be repeated.
    std::string_view reason;
};

/// Decides on retries within a budget for each pair of caller and class.
///
///     retry_policy retries({});
///     retries.first_attempt("node-1", "chart", 0, false, now);
///     retry_decision next = retries.decide(context, now);
class retry_policy {
public:
    explicit retry_policy(const retry_options& options);

    /// Counts the first attempt of a call towards the budget.
    void first_attempt(std::string_view caller, std::string_view request_class, std::uint32_t depth,
                       bool on_retry_path, time_point now);

    /// Decides whether to retry after a failed attempt, and charges the budget for a retry.
    retry_decision decide(const retry_context& context, time_point now);

private:
    struct budget {
        std::int64_t window = 0; ///< Index of the current window.
        std::uint64_t first_attempts = 0;
        std::uint64_t retries = 0;
        std::uint64_t previous_first_attempts = 0;
        std::uint64_t previous_retries = 0;
    };

    struct shard {
        std::mutex mutex;
        absl::flat_hash_map<std::uint64_t, budget> budgets;
    };

    shard& shard_of(std::uint64_t key);
    budget* find_budget(shard& owning_shard, std::uint64_t key, time_point now);
    std::int64_t window_of(time_point now) const;
    bool charge(const retry_context& context, time_point now);
    bool permitted(const retry_context& context, std::string_view& reason) const;

    const retry_options options_;
    std::array<shard, 16> shards_;
};

} // namespace agatespread
