#include <agatespread/crash_guard.h>
#include <agatespread/digest.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Returned when the queue of suspects is full.
constexpr milliseconds queue_full_retry_after = std::chrono::seconds(1);

// Set in fingerprints of paths only, so that reports and rows need no further field.
constexpr std::uint64_t path_bit = std::uint64_t{1} << 63U;

bool is_path(std::uint64_t fingerprint)
{
    return (fingerprint & path_bit) != 0;
}

bool is_safe(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

milliseconds remaining_time(time_point end, time_point now)
{
    return std::max(milliseconds(1), duration_cast<milliseconds>(end - now));
}

} // namespace

std::uint64_t request_fingerprint(std::string_view scope, std::string_view method,
                                  std::string_view path, std::string_view body)
{
    // Each hash seeds the next one, so that moving a character between parts changes the result.
    return hash64(body, hash64(path, hash64(method, hash64(scope)))) & ~path_bit;
}

request_identity identify_request(std::string_view scope, std::string_view method,
                                  std::string_view path, std::string_view body)
{
    const std::string_view without_query = path.substr(0, path.find('?'));
    const std::string_view safety = is_safe(method) ? "safe" : "unsafe";
    return {request_fingerprint(scope, method, path, body),
            hash64(without_query, hash64(safety, hash64(scope))) | path_bit};
}

crash_report make_block_report(std::uint64_t fingerprint, std::uint32_t blocks,
                               milliseconds blocked_for)
{
    crash_report report;
    report.fingerprint = fingerprint;
    report.crashes = blocks + 1; // The first block follows the second crash.
    report.blocked_for = blocked_for;
    return report;
}

crash_guard::crash_guard(const crash_guard_options& options) : options_(options)
{
}

crash_guard::shard& crash_guard::shard_of(std::uint64_t fingerprint) const
{
    return shards_[fingerprint % shards_.size()];
}

guard_check crash_guard::stored_state(const entry& known, time_point now) const
{
    if (known.state == suspicion::none || known.expires_at <= now) {
        return {};
    }
    if (known.until <= now) {
        // After a block the fingerprint stays suspect until a call succeeds or the entry expires.
        return {known.state == suspicion::blocked ? suspicion::suspect : suspicion::none,
                milliseconds(0)};
    }
    if (known.state == suspicion::suspect) {
        return {suspicion::suspect, milliseconds(0)};
    }
    const milliseconds remaining = remaining_time(known.until, now);
    const bool trial = remaining <= options_.trial_duration;
    return {suspicion::blocked,
            trial ? std::min(remaining, options_.trial_retry_after) : remaining};
}

guard_check crash_guard::current_state(std::uint64_t fingerprint, const entry& known,
                                       time_point now) const
{
    const guard_check stored = stored_state(known, now);
    const bool is_counted_only = is_path(fingerprint) && stored.state == suspicion::suspect &&
                                 known.blocks == 0 && known.crashes < options_.min_path_crashes;
    return is_counted_only ? guard_check() : stored;
}

guard_check crash_guard::check(std::uint64_t fingerprint, time_point now) const
{
    if (size() == 0) {
        return {};
    }
    shard& owning_shard = shard_of(fingerprint);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto found = owning_shard.entries.find(fingerprint);
    return found == owning_shard.entries.end() ? guard_check()
                                               : current_state(fingerprint, found->second, now);
}

guard_check crash_guard::check(const request_identity& request, time_point now) const
{
    const guard_check known = check(request.exact, now);
    const guard_check path = check(request.path, now);
    const bool path_decides =
        path.state == suspicion::blocked &&
        (known.state != suspicion::blocked || path.retry_after > known.retry_after);
    return path_decides ? path : known;
}

guard_check crash_guard::gate_state(const request_identity& request, time_point now) const
{
    const guard_check known = check(request, now);
    return known.state == suspicion::none ? check(request.path, now) : known;
}

void crash_guard::record_path_success(std::uint64_t path, time_point now)
{
    shard& owning_shard = shard_of(path);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const std::size_t slot = path / shards_.size() % owning_shard.successes.size();
    owning_shard.successes[slot] = {path, now};
}

bool crash_guard::path_succeeded_recently(std::uint64_t path, time_point now) const
{
    const shard& owning_shard = shard_of(path);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const std::size_t slot = path / shards_.size() % owning_shard.successes.size();
    const path_success& last = owning_shard.successes[slot];
    return last.path == path && now - last.at <= options_.path_success_retention;
}

void crash_guard::evict(shard& owning_shard, time_point now, std::atomic<std::size_t>& size)
{
    using item = std::pair<const std::uint64_t, entry>;
    const std::size_t before = owning_shard.entries.size();
    absl::erase_if(owning_shard.entries,
                   [now](const item& each) { return each.second.expires_at <= now; });
    if (owning_shard.entries.size() == before && !owning_shard.entries.empty()) {
        // Evicts suspects before blocks, and among these the one that ends first.
        const auto victim =
            std::min_element(owning_shard.entries.begin(), owning_shard.entries.end(),
                             [](const item& left, const item& right) {
                                 return std::make_pair(left.second.state, left.second.until) <
                                        std::make_pair(right.second.state, right.second.until);
                             });
        owning_shard.entries.erase(victim);
    }
    size.fetch_sub(before - owning_shard.entries.size(), std::memory_order_relaxed);
}

crash_guard::entry& crash_guard::find_or_insert(shard& owning_shard, std::uint64_t fingerprint,
                                                time_point now)
{
    const auto found = owning_shard.entries.find(fingerprint);
    if (found != owning_shard.entries.end()) {
        return found->second;
    }
    if (owning_shard.entries.size() >= std::max<std::size_t>(1, options_.max_fingerprints / 16)) {
        evict(owning_shard, now, size_);
    }
    size_.fetch_add(1, std::memory_order_relaxed);
    return owning_shard.entries[fingerprint];
}

bool crash_guard::make_suspect(std::uint64_t fingerprint, std::uint32_t crashes, time_point now)
{
    shard& owning_shard = shard_of(fingerprint);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    entry& known = find_or_insert(owning_shard, fingerprint, now);
    if (stored_state(known, now).state == suspicion::none) {
        const std::uint32_t blocks = known.expires_at <= now ? 0 : known.blocks;
        const time_point keep_until = known.expires_at;
        known = {};
        known.state = suspicion::suspect;
        known.blocks = blocks;
        known.suspected_at = now;
        known.until = now + options_.suspect_duration;
        known.expires_at = std::max(keep_until, known.until);
    }
    else if (crashes <= known.crashes) {
        return false;
    }
    known.crashes = crashes;
    if (known.separate_crashes == 0 || now - known.last_separate_crash > options_.crash_window) {
        ++known.separate_crashes;
        known.last_separate_crash = now;
    }
    return true;
}

void crash_guard::suspect(std::uint64_t fingerprint, time_point now)
{
    make_suspect(fingerprint, 1, now);
}

void crash_guard::confirm(std::uint64_t fingerprint, time_point now)
{
    if (check(fingerprint, now).state != suspicion::blocked) {
        block(fingerprint, now);
    }
}

bool crash_guard::block_until(std::uint64_t fingerprint, std::uint32_t blocks, milliseconds length,
                              time_point now)
{
    shard& owning_shard = shard_of(fingerprint);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    entry& known = find_or_insert(owning_shard, fingerprint, now);
    const time_point end = now + length;
    // Reports of the same block differ in their end by the network delay, which is not a change.
    const bool changed =
        stored_state(known, now).state != suspicion::blocked || known.blocks < blocks;
    if (!changed) {
        return false;
    }
    known.state = suspicion::blocked;
    known.blocks = std::max(known.blocks, blocks);
    known.until = end;
    known.expires_at = end + options_.block_count_retention;
    return true;
}

crash_report crash_guard::block(std::uint64_t fingerprint, time_point now)
{

    std::uint32_t blocks = 0;
    {
        shard& owning_shard = shard_of(fingerprint);
        const std::lock_guard<std::mutex> lock(owning_shard.mutex);
        const entry& known = find_or_insert(owning_shard, fingerprint, now);
        blocks = known.expires_at <= now ? 0 : known.blocks;
    }
    milliseconds length = options_.initial_block;
    for (std::uint32_t number = 0; number < blocks && length < options_.max_block; ++number) {
        length *= options_.block_growth;
    }
    length = std::min(length, options_.max_block);
    block_until(fingerprint, blocks + 1, length, now);
    return make_block_report(fingerprint, blocks + 1, length);
}

bool crash_guard::is_undecided(std::uint64_t fingerprint, const entry& known, time_point now) const
{
    const suspicion state = current_state(fingerprint, known, now).state;
    return state == suspicion::suspect ||
           (state == suspicion::blocked && known.until - now <= options_.trial_duration);
}

bool crash_guard::is_undecided(std::uint64_t fingerprint, time_point now) const
{
    shard& owning_shard = shard_of(fingerprint);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto found = owning_shard.entries.find(fingerprint);
    return found != owning_shard.entries.end() && is_undecided(fingerprint, found->second, now);
}

bool crash_guard::is_undecided(const request_identity& request, time_point now) const
{
    return is_undecided(request.exact, now) || is_undecided(request.path, now);
}

std::optional<crash_report> crash_guard::begin_trial(const request_identity& request,
                                                     time_point now)
{
    // The trial of a path includes that of its requests.
    std::optional<crash_report> trial = begin_trial(request.path, now);
    return trial ? trial : begin_trial(request.exact, now);
}

std::optional<crash_report> crash_guard::begin_trial(std::uint64_t fingerprint, time_point now)
{
    std::uint32_t blocks = 0;
    {
        shard& owning_shard = shard_of(fingerprint);
        const std::lock_guard<std::mutex> lock(owning_shard.mutex);
        const auto found = owning_shard.entries.find(fingerprint);
        if (found == owning_shard.entries.end() ||
            (found->second.blocks == 0 && found->second.crashes < 2)) {
            return std::nullopt;
        }
        blocks = found->second.blocks;
    }
    block_until(fingerprint, blocks, options_.trial_duration, now);
    return make_block_report(fingerprint, blocks, options_.trial_duration);
}

std::optional<std::uint32_t> crash_guard::clear(std::uint64_t fingerprint, time_point now)
{
    shard& owning_shard = shard_of(fingerprint);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto found = owning_shard.entries.find(fingerprint);
    // A longer block stays until its end: a call that completes meanwhile was started before it.
    if (found == owning_shard.entries.end() || !is_undecided(fingerprint, found->second, now)) {
        return std::nullopt;
    }
    const std::uint32_t blocks = found->second.blocks;
    found->second = {};
    found->second.cleared_at = now;
    found->second.expires_at = now + options_.success_retention;
    return blocks;
}

void crash_guard::clear(const request_identity& request, guard_actions& actions, time_point now)
{
    for (const std::uint64_t fingerprint : {request.exact, request.path}) {
        const std::optional<std::uint32_t> blocks = clear(fingerprint, now);
        // Other nodes clear a path that was not blocked by successes of their own.
        if (blocks && (!is_path(fingerprint) || *blocks > 0)) {
            crash_report report;
            report.fingerprint = fingerprint;
            report.crashes = *blocks == 0 ? 0 : *blocks + 1;
            report.cleared = true;
            actions.reports.push_back(std::move(report));
        }
    }
}

guard_decision crash_guard::enter(std::uint64_t id, const request_identity& request, bool suspected,
                                  time_point now)
{
    if (suspected) {
        make_suspect(request.exact, 1, now);
    }
    const std::lock_guard<std::mutex> lock(calls_mutex_);
    call& entered = calls_[id];
    entered.identity = request;
    return admit(id, entered, now);
}

guard_decision crash_guard::try_start(std::uint64_t id, time_point now)
{
    const std::lock_guard<std::mutex> lock(calls_mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return {guard_verdict::refuse, milliseconds(0), std::nullopt};
    }
    call& queued = found->second;
    if (queued.holds_suspect_slot) {
        const guard_check known = gate_state(queued.identity, now);
        if (known.state == suspicion::blocked) {
            // The call remains until `leave`, which admits the calls that wait for the suspect
            // slot.
            queued.holds_suspect_slot = false;
            suspect_running_ = false;
            return {guard_verdict::refuse, known.retry_after, std::nullopt};
        }
    }
    guard_decision result = queued.holds_suspect_slot ? guard_decision() : admit(id, queued, now);
    if (result.verdict == guard_verdict::pass) {
        queued.running = true;
        queued.started_at = now;
        if (queued.holds_suspect_slot) {
            result.trial = begin_trial(queued.identity, now);
        }
    }
    return result;
}

guard_decision crash_guard::admit(std::uint64_t id, call& entered, time_point now)
{
    const guard_check known = gate_state(entered.identity, now);
    if (known.state == suspicion::none) {
        return {};
    }
    if (known.state == suspicion::suspect && !suspect_running_) {
        suspect_running_ = true;
        entered.holds_suspect_slot = true;
        return {};
    }
    if (known.state == suspicion::suspect && waiting_.size() < options_.max_waiting) {
        waiting_.push_back(id);
        return {guard_verdict::wait, milliseconds(0), std::nullopt};
    }
    calls_.erase(id);
    return {guard_verdict::refuse, std::max(known.retry_after, queue_full_retry_after),
            std::nullopt};
}

void crash_guard::release(guard_actions& actions, time_point now)
{
    std::deque<std::uint64_t> still_waiting;
    for (const std::uint64_t id : waiting_) {
        call& next = calls_.at(id);
        const suspicion state = gate_state(next.identity, now).state;
        if (state == suspicion::blocked) {
            calls_.erase(id);
            actions.refuse.push_back(id);
        }
        else if (state == suspicion::none) {
            actions.pass.push_back(id);
        }
        else if (!suspect_running_) {
            suspect_running_ = true;
            next.holds_suspect_slot = true;
            actions.pass.push_back(id);
        }
        else {
            still_waiting.push_back(id);
        }
    }
    waiting_.swap(still_waiting);
}

crash_guard::call crash_guard::end_call(absl::flat_hash_map<std::uint64_t, call>::iterator position)
{
    const std::uint64_t id = position->first;
    const call ended = position->second;
    calls_.erase(position);
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), id), waiting_.end());
    if (ended.holds_suspect_slot) {
        suspect_running_ = false;
    }
    return ended;
}

void crash_guard::record_response(time_point now)
{
    last_response_ = now;
    while (!unanswered_.empty() &&
           now - unanswered_.front().runs_until > options_.unanswered_retention) {
        unanswered_.pop_front();
    }
    for (unanswered_call& each : unanswered_) {
        each.upstream_responded = each.upstream_responded || each.runs_until <= now;
    }
}

guard_actions crash_guard::leave(std::uint64_t id, call_end end, time_point now)
{
    guard_actions actions;
    const std::lock_guard<std::mutex> lock(calls_mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return actions;
    }
    const call ended = end_call(found);
    if (end != call_end::not_run) {
        record_response(now);
    }
    if (end == call_end::succeeded) {
        record_path_success(ended.identity.path, now);
        if (size() > 0) {
            clear(ended.identity, actions, now);
        }
    }
    release(actions, now);
    return actions;
}

guard_actions crash_guard::leave_unanswered(std::uint64_t id, time_point runs_until, time_point now)
{
    guard_actions actions;
    const std::lock_guard<std::mutex> lock(calls_mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return actions;
    }
    const call ended = end_call(found);
    if (ended.running && !ended.in_counted_crash) {
        if (unanswered_.size() >= options_.max_unanswered) {
            unanswered_.pop_front();
        }
        unanswered_.push_back(
            {{ended.identity, ended.holds_suspect_slot, ended.started_at}, false, runs_until});
    }
    release(actions, now);
    return actions;
}

std::vector<crash_guard::call_in_flight> crash_guard::take_running()
{
    std::vector<call_in_flight> result;
    for (std::pair<const std::uint64_t, call>& each : calls_) {
        call& candidate = each.second;
        if (candidate.running && !candidate.in_counted_crash) {
            candidate.in_counted_crash = true;
            result.push_back(
                {candidate.identity, candidate.holds_suspect_slot, candidate.started_at});
        }
    }
    return result;
}

std::vector<crash_guard::call_in_flight> crash_guard::take_unanswered(time_point now)
{
    std::vector<call_in_flight> result;
    for (const unanswered_call& each : unanswered_) {
        const milliseconds retention =
            each.upstream_responded ? options_.restart_notice : options_.unanswered_retention;
        if (now - each.runs_until <= retention) {
            result.push_back(each.run);
            // A suspect that the upstream outlived does not identify the crash.
            result.back().held_suspect_slot &= !each.upstream_responded;
        }
    }
    unanswered_.clear();
    return result;
}

void crash_guard::count_crash(std::uint64_t fingerprint,
                              std::map<std::uint32_t, crash_report>& suspects_by_crashes,
                              guard_actions& actions, time_point now)
{
    const crash_count before = crashes_of(fingerprint, now);
    if (before.decided) {
        return;
    }
    make_suspect(fingerprint, before.crashes + 1, now);
    if (crashes_of(fingerprint, now).separate >= options_.max_separate_crashes) {
        actions.reports.push_back(block(fingerprint, now));
        return;
    }
    crash_report& report = suspects_by_crashes[before.crashes + 1];
    report.crashes = before.crashes + 1;
    report.suspects.push_back(fingerprint);
}

crash_guard::crash_count crash_guard::crashes_of(std::uint64_t fingerprint, time_point now) const
{
    shard& owning_shard = shard_of(fingerprint);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto found = owning_shard.entries.find(fingerprint);
    if (found == owning_shard.entries.end() ||
        stored_state(found->second, now).state == suspicion::none) {
        return {};
    }
    return {found->second.crashes, found->second.separate_crashes,
            current_state(fingerprint, found->second, now).state == suspicion::blocked &&
                !is_undecided(fingerprint, found->second, now)};
}

bool crash_guard::identifies_crash(const call_in_flight& candidate, time_point earliest_start,
                                   time_point now) const
{
    const time_point silent_since = std::max(last_response_, earliest_start);
    const bool upstream_was_silent = candidate.started_at - silent_since > options_.max_silence;
    return candidate.held_suspect_slot && !upstream_was_silent &&
           is_undecided(candidate.identity, now);
}

std::optional<std::uint64_t> crash_guard::find_cause(const std::vector<call_in_flight>& in_flight,
                                                     time_point now) const
{
    time_point earliest_start = time_point::max();
    for (const call_in_flight& each : in_flight) {
        earliest_start = std::min(earliest_start, each.started_at);
    }
    std::vector<std::pair<std::uint32_t, std::uint64_t>> candidates;
    for (const call_in_flight& each : in_flight) {
        if (identifies_crash(each, earliest_start, now)) {
            candidates.emplace_back(crashes_of(each.identity.exact, now).crashes,
                                    each.identity.exact);
        }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
    const bool identified = candidates.size() == 1 ||
                            (candidates.size() > 1 && candidates[0].first > candidates[1].first);
    return identified ? std::make_optional(candidates[0].second) : std::nullopt;
}

void crash_guard::attribute_crash(const std::vector<call_in_flight>& in_flight,
                                  guard_actions& actions, time_point now)
{
    const std::optional<std::uint64_t> cause = find_cause(in_flight, now);
    std::map<std::uint32_t, crash_report> suspects_by_crashes;
    absl::flat_hash_set<std::uint64_t> counted;
    const auto attribute = [&](std::uint64_t fingerprint, bool identified) {
        if (!counted.insert(fingerprint).second) {
            return;
        }
        if (identified && !crashes_of(fingerprint, now).decided) {
            actions.reports.push_back(block(fingerprint, now));
        }
        else {
            count_crash(fingerprint, suspects_by_crashes, actions, now);
        }
    };
    for (const call_in_flight& each : in_flight) {
        const request_identity& identity = each.identity;
        const bool is_cause = identity.exact == cause;
        const bool crashed_before = crashes_of(identity.exact, now).crashes > 0;
        const bool path_is_cause = is_cause && is_undecided(identity.path, now);
        attribute(identity.exact, is_cause);
        // A path counts once for each fingerprint: further crashes tell of the request only.
        if (identity.path != 0 && !crashed_before && !path_succeeded_recently(identity.path, now)) {
            attribute(identity.path, path_is_cause);
        }
    }
    for (std::pair<const std::uint32_t, crash_report>& each : suspects_by_crashes) {
        actions.reports.push_back(std::move(each.second));
    }
}

guard_actions crash_guard::crashed(std::uint64_t id, time_point now)
{
    guard_actions actions;
    const std::lock_guard<std::mutex> lock(calls_mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return actions;
    }
    if (!found->second.in_counted_crash) {
        actions.crash_counted = true;
        std::vector<call_in_flight> in_flight = take_running();
        const std::vector<call_in_flight> unanswered = take_unanswered(now);
        in_flight.insert(in_flight.end(), unanswered.begin(), unanswered.end());
        attribute_crash(in_flight, actions, now);
    }
    end_call(found);
    release(actions, now);
    return actions;
}

guard_actions crash_guard::upstream_refused(time_point now)
{
    guard_actions actions;
    const std::lock_guard<std::mutex> lock(calls_mutex_);
    attribute_crash(take_unanswered(now), actions, now);
    actions.crash_counted = !actions.reports.empty();
    release(actions, now);
    return actions;
}

guard_actions crash_guard::upstream_replaced(bool announced, time_point now)
{
    guard_actions actions;
    const std::lock_guard<std::mutex> lock(calls_mutex_);
    if (announced) {
        unanswered_.clear();
        return actions;
    }
    std::vector<call_in_flight> in_flight = take_running();
    const std::vector<call_in_flight> unanswered = take_unanswered(now);
    in_flight.insert(in_flight.end(), unanswered.begin(), unanswered.end());
    attribute_crash(in_flight, actions, now);
    if (!actions.reports.empty()) {
        actions.crash_counted = true;
    }
    release(actions, now);
    return actions;
}

bool crash_guard::receive(const crash_report& report, time_point now)
{
    if (report.cleared) {
        return clear(report.fingerprint, now).has_value();
    }
    bool changed = false;
    const bool names_healthy_path =
        is_path(report.fingerprint) && path_succeeded_recently(report.fingerprint, now);
    if (report.blocked_for.count() > 0 && !names_healthy_path) {
        const std::uint32_t blocks = std::max(report.crashes, 1U) - 1;
        changed = block_until(report.fingerprint, blocks,
                              std::min(report.blocked_for, options_.max_block), now);
    }
    for (const std::uint64_t fingerprint : report.suspects) {
        if (cleared_recently(fingerprint, now) ||
            (is_path(fingerprint) && path_succeeded_recently(fingerprint, now))) {
            continue;
        }
        changed = make_suspect(fingerprint, std::max(report.crashes, 1U), now) || changed;
    }
    return changed;
}

bool crash_guard::cleared_recently(std::uint64_t fingerprint, time_point now) const
{
    shard& owning_shard = shard_of(fingerprint);
    const std::lock_guard<std::mutex> lock(owning_shard.mutex);
    const auto found = owning_shard.entries.find(fingerprint);
    return found != owning_shard.entries.end() && found->second.state == suspicion::none &&
           now - found->second.cleared_at <= options_.success_retention;
}

std::vector<known_fingerprint> crash_guard::known_fingerprints(time_point now) const
{
    std::vector<known_fingerprint> result;
    for (shard& current_shard : shards_) {
        const std::lock_guard<std::mutex> lock(current_shard.mutex);
        for (const std::pair<const std::uint64_t, entry>& each : current_shard.entries) {
            const guard_check now_known = current_state(each.first, each.second, now);
            if (now_known.state != suspicion::none) {
                result.push_back({each.first, now_known.state, each.second.crashes,
                                  each.second.blocks, now_known.retry_after,
                                  duration_cast<milliseconds>(now - each.second.suspected_at)});
            }
        }
    }
    return result;
}

void crash_guard::expire(time_point now)
{
    using item = std::pair<const std::uint64_t, entry>;
    for (shard& current_shard : shards_) {
        const std::lock_guard<std::mutex> lock(current_shard.mutex);
        const std::size_t before = current_shard.entries.size();
        absl::erase_if(current_shard.entries,
                       [now](const item& each) { return each.second.expires_at <= now; });
        size_.fetch_sub(before - current_shard.entries.size(), std::memory_order_relaxed);
    }
}

} // namespace agatespread
