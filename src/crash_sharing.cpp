#include "crash_sharing.h"

#include <algorithm>
#include <map>

namespace agatespread::detail {

namespace {

/// Returns up to `limit` fingerprints in ascending order after `last`, continuing with the lowest,
/// and stores the last one returned.
std::vector<known_fingerprint> take_page(std::vector<known_fingerprint> all, std::size_t limit,
                                         std::uint64_t& last)
{
    std::sort(all.begin(), all.end(),
              [](const known_fingerprint& left, const known_fingerprint& right) {
                  return left.fingerprint < right.fingerprint;
              });
    const auto next = std::find_if(all.begin(), all.end(), [last](const known_fingerprint& each) {
        return each.fingerprint > last;
    });
    std::rotate(all.begin(), next, all.end());
    all.resize(std::min(all.size(), limit));
    last = all.empty() ? 0 : all.back().fingerprint;
    return all;
}

} // namespace

crash_sharing::crash_sharing(const crash_guard& guard, const crash_sharing_options& options)
    : guard_(guard), options_(options)
{
}

void crash_sharing::add(const crash_report& decision, time_point now)
{
    decisions_.emplace_back(now, decision);
}

std::vector<crash_report> crash_sharing::recent_decisions(time_point now)
{
    while (!decisions_.empty() && now - decisions_.front().first > options_.decision_retention) {
        decisions_.pop_front();
    }
    std::vector<crash_report> result;
    result.reserve(decisions_.size());
    for (const std::pair<time_point, crash_report>& each : decisions_) {
        result.push_back(each.second);
    }
    return result;
}

std::vector<crash_report> crash_sharing::next_page(time_point now)
{
    if (guard_.size() == 0) {
        return {};
    }
    std::vector<known_fingerprint> blocks;
    std::vector<known_fingerprint> suspects;
    for (const known_fingerprint& each : guard_.known_fingerprints(now)) {
        if (each.state == suspicion::blocked && each.blocked_for >= options_.min_shared_block) {
            blocks.push_back(each);
        }
        else if (each.state == suspicion::suspect && each.known_for <= options_.suspect_retention) {
            suspects.push_back(each);
        }
    }
    std::vector<crash_report> page;
    for (const known_fingerprint& each :
         take_page(std::move(blocks), options_.blocks_per_page, last_block_)) {
        page.push_back(make_block_report(each.fingerprint, each.blocks, each.blocked_for));
    }
    std::map<std::uint32_t, crash_report> by_crashes;
    for (const known_fingerprint& each :
         take_page(std::move(suspects), options_.suspects_per_page, last_suspect_)) {
        by_crashes[each.crashes].crashes = each.crashes;
        by_crashes[each.crashes].suspects.push_back(each.fingerprint);
    }
    for (std::pair<const std::uint32_t, crash_report>& each : by_crashes) {
        page.push_back(std::move(each.second));
    }
    return page;
}

} // namespace agatespread::detail
