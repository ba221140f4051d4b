#include <agatespread/digest.h>
#include <agatespread/retry.h>

#include <algorithm>

namespace agatespread {

namespace {

constexpr std::chrono::milliseconds default_retry_after = std::chrono::seconds(1);

std::uint64_t key_of(std::string_view caller, std::string_view request_class, bool is_root)
{
    return hash64(request_class, hash64(caller, is_root ? 1 : 2));
}

} // namespace

retry_policy::retry_policy(const retry_options& options) : options_(options)
{
}

retry_policy::shard& retry_policy::shard_of(std::uint64_t key)
{
    return shards_[key % shards_.size()];
}

std::int64_t retry_policy::window_of(time_point now) const
{
    return now.time_since_epoch() / options_.window;
}

retry_policy::budget* retry_policy::find_budget(shard& owning_shard, std::uint64_t key,
                                                time_point now)
{
    const std::int64_t window = window_of(now);
    const auto found = owning_shard.budgets.find(key);
    if (found == owning_shard.budgets.end() &&
        owning_shard.budgets.size() >= options_.max_budgets / 16) {
        absl::erase_if(owning_shard.budgets,
                       [window](const std::pair<const std::uint64_t, budget>& each) {
                           return each.second.window + 1 < window;
                       });
        if (owning_shard.budgets.size() >= options_.max_budgets / 16) {
            return nullptr;
        }
    }
    budget& known = owning_shard.budgets[key];
    if (known.window != window) {
        const bool adjacent = known.window + 1 == window;
        known.previous_first_attempts = adjacent ? known.first_attempts : 0;
        known.previous_retries = adjacent ? known.retries : 0;
        known.first_attempts = 0;
        known.retries = 0;
        known.window = window;
    }
    return &known;
}

void retry_policy::first_attempt(std::string_view caller, std::string_view request_class,
                                 std::uint32_t depth, bool on_retry_path, time_point now)
{
    // Calls below a retry are extra load already, so they add nothing to the budget.
    if (on_retry_path) {
        return;
    }
    const std::uint64_t key = key_of(caller, request_class, depth == 0);
    shard& owning_shard = shard_of(key);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    budget* const known = find_budget(owning_shard, key, now);
    if (known != nullptr) {
        ++known->first_attempts;
    }
}

bool retry_policy::charge(const retry_context& context, time_point now)
{
    const bool is_root = context.depth == 0;
    const std::uint64_t key = key_of(context.caller, context.request_class, is_root);
    shard& owning_shard = shard_of(key);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    budget* const known = find_budget(owning_shard, key, now);
    if (known == nullptr) {
        return false;
    }
    // Two adjacent windows are bounded together, so that no sequence of windows exceeds the ratio.
    const double ratio = is_root ? options_.root_ratio : options_.nested_ratio;
    const std::uint64_t first_attempts = known->first_attempts + known->previous_first_attempts;
    const std::uint64_t retries = known->retries + known->previous_retries;
    const double earned = ratio * static_cast<double>(first_attempts);
    const double allowed = std::max(earned, is_root ? options_.min_root_retries : 0.0);
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    ++known->retries;
    return true;
}

bool retry_policy::permitted(const retry_context& context, std::string_view& reason) const
{
    if (context.once && context.may_have_run) {
        reason = "once";
    }
    else if (!context.idempotent && context.may_have_run) {
        reason = "not_idempotent";
    }
    else if (context.on_retry_path) {
        reason = "retry_path";
    }
    else if (context.attempts >= options_.max_attempts) {
        reason = "attempts";
    }
    else if (context.remaining <= context.expected_duration || context.remaining.count() <= 0) {
        reason = "deadline";
    }
    return reason.empty();
}

retry_decision retry_policy::decide(const retry_context& context, time_point now)
{
    retry_decision decision;
    if (permitted(context, decision.reason)) {
        if (charge(context, now)) {
            decision.should_retry = true;
            decision.reason = "retry";
            return decision;
        }
        decision.reason = "budget";
    }
    decision.not_run = !context.may_have_run;
    const bool safe_to_repeat = decision.not_run || (context.idempotent && !context.once);
    if (safe_to_repeat) {
        decision.retry_after = std::max(context.retry_after, default_retry_after);
    }
    if (decision.not_run) {
        decision.status = 503;
    }
    else if (context.once || context.failure == attempt_failure::timed_out) {
        decision.status = 504;
    }
    else {
        decision.status = context.failure == attempt_failure::unanswered ? 502 : 503;
    }
    return decision;
}

} // namespace agatespread
