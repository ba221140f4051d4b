#include "once_row.h"
#include "row_batcher.h"

#include <agatespread/digest.h>
#include <agatespread/once.h>

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace agatespread {

namespace {

using detail::decode_row;
using detail::encode_row;
using detail::once_row;
using detail::row_outcome;
using detail::row_result;
using detail::row_state;
using detail::row_update;

// The initial retry delays of claims and of results and releases; both double up to 2 s.
constexpr std::chrono::milliseconds claim_retry_delay(20);
constexpr std::chrono::milliseconds finish_retry_delay(100);
constexpr std::chrono::milliseconds max_retry_delay(2000);

// A claim is refused after this many conflicts with other writers of the row.
constexpr int max_refusals = 10;

std::string row_key(const once_request& request)
{
    return fmt::format("once/{}/{}", request.tenant, sha256_hex(request.key));
}

} // namespace

struct once_claims::impl : std::enable_shared_from_this<once_claims::impl> {
    enum class phase { claiming, granted, recording, releasing };

    // A key claimed by this node, kept until its row needs no further write.
    struct entry {
        std::string key;
        once_row row;
        std::string claimed; ///< The encoded row while claimed.
        phase current_phase = phase::claiming;
        callback done; ///< Empty after the call.
        std::shared_ptr<row_update> write;
        bool uncertain = false; ///< A claim attempt may have taken effect or may do so later.
        int refusals = 0;
        int failures = 0;
        time_point lease_end;
        time_point finish_end;
        subscription timeout_timer;
        subscription retry_timer;
    };

    impl(timer_service& timer_source, platform& driver, random_source random_values,
         wall_clock wall, metrics& data, const once_options& options)
        : timers(timer_source), random(std::move(random_values)), clock(std::move(wall)),
          counters(data), bounds(options),
          batcher(std::make_shared<detail::row_batcher>(
              timers, driver,
              detail::row_batcher::limits{options.max_batch_rows, options.min_batch_interval,
                                          options.max_finish_delay},
              data.counter_of("agatespread_once_transactions_total")))
    {
    }

    void claim(const once_request& request, callback done);
    static claim_result repeated(const entry& known, const once_request& request);
    entry* find(const claim_ticket& ticket) const;
    void write(entry& claim_entry, std::optional<std::string> expected, const std::string& value);
    void write_later(entry& claim_entry);
    void write_ended(const std::string& key, const row_result& end);
    void claim_ended(entry& claim_entry, const row_result& end);
    void claim_refused(entry& claim_entry, const row_result& end);
    void claim_failed(entry& claim_entry, const row_result& end);
    void claim_timed_out(entry& claim_entry);
    void grant(entry& claim_entry);
    void answer(entry& claim_entry, const claim_result& result) const;
    void answer_not_run(entry& claim_entry) const { answer(claim_entry, {}); }
    void finish(entry& claim_entry, phase current_phase, std::optional<std::string> expected);
    void finish_ended(entry& claim_entry, const row_result& end);
    void finish_refused(entry& claim_entry, const row_result& end);
    void erase(const entry& claim_entry) { entries.erase(std::string(claim_entry.key)); }
    void count(std::string_view name) const { counters.counter_of(name).add(); }

    timer_service& timers;
    random_source random;
    wall_clock clock;
    metrics& counters;
    once_options bounds;
    std::shared_ptr<detail::row_batcher> batcher;
    std::unordered_map<std::string, std::shared_ptr<entry>> entries;
};

void once_claims::impl::claim(const once_request& request, callback done)
{
    const std::string key = row_key(request);
    const auto known = entries.find(key);
    if (known != entries.end()) {
        done(repeated(*known->second, request));
        return;
    }
    if (entries.size() >= bounds.max_pending) {
        count("agatespread_once_refused_total");
        done({});
        return;
    }
    const std::shared_ptr<entry> created = std::make_shared<entry>();
    created->key = key;
    created->row = {fmt::format("{:016x}{:016x}", random(), random()), request.fingerprint,
                    row_state::claimed, std::nullopt, clock() + bounds.key_retention};
    created->claimed = encode_row(created->row);
    created->done = std::move(done);
    created->lease_end = timers.now() + bounds.lease;
    created->timeout_timer =
        timers.after(bounds.claim_timeout,
                     [this, created = created.get()](time_point) { claim_timed_out(*created); });
    entries.emplace(key, created);
    write(*created, std::nullopt, created->claimed);
}

claim_result once_claims::impl::repeated(const entry& known, const once_request& request)
{
    if (known.row.fingerprint != request.fingerprint) {
        return {claim_outcome::mismatched, {}, {}};
    }
    if (known.current_phase == phase::recording && known.row.answer) {
        return {claim_outcome::recorded, {}, *known.row.answer};
    }
    return {claim_outcome::in_progress, {}, {}};
}

once_claims::impl::entry* once_claims::impl::find(const claim_ticket& ticket) const
{
    const auto found = entries.find(ticket.row_key);
    const bool granted = found != entries.end() && found->second->row.token == ticket.token &&
                         found->second->current_phase == phase::granted;
    return granted ? found->second.get() : nullptr;
}

// The entry may be erased when this returns, because a driver may call back synchronously.
void once_claims::impl::write(entry& claim_entry, std::optional<std::string> expected,
                              const std::string& value)
{
    claim_entry.write = std::make_shared<row_update>();
    claim_entry.write->key = claim_entry.key;
    claim_entry.write->expected = std::move(expected);
    claim_entry.write->value = value;
    claim_entry.write->done = [weak = weak_from_this(),
                               key = claim_entry.key](const row_result& end) {
        const std::shared_ptr<impl> self = weak.lock();
        if (self) {
            self->write_ended(key, end);
        }
    };
    const std::shared_ptr<row_update> row = claim_entry.write;
    if (claim_entry.current_phase == phase::claiming) {
        batcher->submit(row);
    }
    else {
        batcher->submit_deferred(row);
    }
}

// Retries the last write after an exponential backoff with full jitter.
void once_claims::impl::write_later(entry& claim_entry)
{
    const std::chrono::milliseconds first =
        claim_entry.current_phase == phase::claiming ? claim_retry_delay : finish_retry_delay;
    const std::chrono::milliseconds ceiling =
        std::min(max_retry_delay, first * (1 << std::min(claim_entry.failures, 10)));
    ++claim_entry.failures;
    const std::shared_ptr<row_update> last = std::exchange(claim_entry.write, nullptr);
    claim_entry.retry_timer =
        timers.after(uniform_between(random, std::chrono::milliseconds(1), ceiling),
                     [this, &claim_entry, last](time_point) {
                         write(claim_entry, last->expected, last->value);
                     });
}

void once_claims::impl::write_ended(const std::string& key, const row_result& end)
{
    const auto found = entries.find(key);
    if (found == entries.end()) {
        return;
    }
    const std::shared_ptr<entry> keep_alive = found->second;
    if (keep_alive->current_phase == phase::claiming) {
        claim_ended(*keep_alive, end);
    }
    else {
        finish_ended(*keep_alive, end);
    }
}

void once_claims::impl::claim_ended(entry& claim_entry, const row_result& end)
{
    switch (end.outcome) {
    case row_outcome::written:
        grant(claim_entry);
        break;
    case row_outcome::conflict:
        claim_refused(claim_entry, end);
        break;
    case row_outcome::unknown:
        claim_entry.uncertain = true;
        claim_failed(claim_entry, end);
        break;
    case row_outcome::not_applied:
        claim_failed(claim_entry, end);
        break;
    }
}

void once_claims::impl::claim_refused(entry& claim_entry, const row_result& end)
{
    const std::optional<once_row> present =
        end.current ? decode_row(*end.current) : std::optional<once_row>();
    if (end.current && *end.current == claim_entry.claimed) {
        grant(claim_entry); // An earlier attempt took effect.
        return;
    }
    const bool is_claimable = !end.current || (present && (present->state == row_state::released ||
                                                           detail::is_expired(*present, clock())));
    if (is_claimable && claim_entry.done && ++claim_entry.refusals < max_refusals) {
        write(claim_entry, end.current, claim_entry.claimed);
        return;
    }
    if (is_claimable) {
        claim_failed(claim_entry, end);
        return;
    }
    claim_result result;
    if (present && present->fingerprint != claim_entry.row.fingerprint) {
        result.outcome = claim_outcome::mismatched;
    }
    else if (present && present->state == row_state::done) {
        result.outcome = present->answer ? claim_outcome::recorded : claim_outcome::completed;
        result.answer = present->answer.value_or(std::string());
    }
    else {
        result.outcome = claim_outcome::in_progress; // A malformed row is never replaced.
    }
    // The other claimant's row also fails the precondition of a delayed attempt of this claim.
    erase(claim_entry);
    answer(claim_entry, result);
}

void once_claims::impl::claim_failed(entry& claim_entry, const row_result& end)
{
    if (!claim_entry.uncertain) {
        count("agatespread_once_refused_total");
        erase(claim_entry);
        answer_not_run(claim_entry);
    }
    else if (claim_entry.done && end.outcome != row_outcome::conflict) {
        write_later(claim_entry);
    }
    else {
        answer_not_run(claim_entry);
        finish(claim_entry, phase::releasing, end.current);
    }
}

void once_claims::impl::claim_timed_out(entry& claim_entry)
{
    const std::shared_ptr<entry> keep_alive = entries.at(claim_entry.key);
    count("agatespread_once_refused_total");
    if (claim_entry.write && claim_entry.write->in_flight) {
        answer_not_run(claim_entry); // The result of the write decides whether the row is released.
        return;
    }
    if (claim_entry.write) {
        claim_entry.write->cancelled = true;
    }
    claim_entry.retry_timer.cancel();
    if (claim_entry.uncertain) {
        answer_not_run(claim_entry);
        finish(claim_entry, phase::releasing, std::nullopt);
    }
    else {
        erase(claim_entry);
        answer_not_run(claim_entry);
    }
}

void once_claims::impl::grant(entry& claim_entry)
{
    claim_entry.timeout_timer.cancel();
    if (!claim_entry.done) {
        finish(claim_entry, phase::releasing, claim_entry.claimed);
        return;
    }
    claim_entry.current_phase = phase::granted;
    claim_entry.failures = 0;
    answer(claim_entry, {claim_outcome::granted, {claim_entry.key, claim_entry.row.token}, {}});
}

void once_claims::impl::answer(entry& claim_entry, const claim_result& result) const
{
    claim_entry.timeout_timer.cancel();
    const callback done = std::exchange(claim_entry.done, nullptr);
    if (done) {
        done(result);
    }
}

// Writes the final state of a row. A release replaces the row by a tombstone instead of removing
// it, so that a delayed claim attempt finds a row and fails its precondition.
void once_claims::impl::finish(entry& claim_entry, phase current_phase,
                               std::optional<std::string> expected)
{
    claim_entry.current_phase = current_phase;
    claim_entry.failures = 0;
    claim_entry.finish_end = timers.now() + bounds.finish_timeout;
    if (current_phase == phase::releasing) {
        claim_entry.row.state = row_state::released;
    }
    write(claim_entry, std::move(expected), encode_row(claim_entry.row));
}

void once_claims::impl::finish_ended(entry& claim_entry, const row_result& end)
{
    if (end.outcome == row_outcome::written) {
        erase(claim_entry);
    }
    else if (end.outcome == row_outcome::conflict) {
        finish_refused(claim_entry, end);
    }
    else if (timers.now() >= claim_entry.finish_end) {
        count(claim_entry.current_phase == phase::recording
                  ? "agatespread_once_results_dropped_total"
                  : "agatespread_once_releases_dropped_total");
        erase(claim_entry);
    }
    else {
        write_later(claim_entry);
    }
}

void once_claims::impl::finish_refused(entry& claim_entry, const row_result& end)
{
    const std::optional<once_row> present =
        end.current ? decode_row(*end.current) : std::optional<once_row>();
    const bool has_taken_effect = end.current && *end.current == encode_row(claim_entry.row);
    const bool own_claim = end.current && *end.current == claim_entry.claimed;
    // The precondition of a delayed attempt is an absent row or another claimant's tombstone.
    const bool may_arrive_late =
        claim_entry.uncertain && !has_taken_effect &&
        (!end.current || (present && present->state == row_state::released));
    if (claim_entry.current_phase == phase::releasing && (own_claim || may_arrive_late)) {
        write(claim_entry, end.current, encode_row(claim_entry.row));
        return;
    }
    if (claim_entry.current_phase == phase::recording && !has_taken_effect) {
        count("agatespread_once_results_lost_total");
    }
    erase(claim_entry);
}

once_claims::once_claims(timer_service& timers, platform& driver, random_source random,
                         wall_clock clock, metrics& data, const once_options& options)
    : impl_(std::make_shared<impl>(timers, driver, std::move(random), std::move(clock), data,
                                   options))
{
}

once_claims::~once_claims() = default;

void once_claims::claim(const once_request& request, callback done)
{
    impl_->claim(request, std::move(done));
}

bool once_claims::may_send(const claim_ticket& ticket) const
{
    // The wall clock is checked as well, because the monotonic clock may stop while the machine is
    // suspended.
    const impl::entry* claim_entry = impl_->find(ticket);
    return claim_entry != nullptr && impl_->timers.now() < claim_entry->lease_end &&
           impl_->clock() < claim_entry->row.expires;
}

void once_claims::complete(const claim_ticket& ticket, std::string answer)
{
    impl::entry* claim_entry = impl_->find(ticket);
    if (claim_entry == nullptr) {
        return;
    }
    claim_entry->row.state = row_state::done;
    if (answer.size() <= impl_->bounds.max_response_bytes) {
        claim_entry->row.answer = std::move(answer);
    }
    impl_->finish(*claim_entry, impl::phase::recording, claim_entry->claimed);
}

void once_claims::release(const claim_ticket& ticket)
{
    impl::entry* claim_entry = impl_->find(ticket);
    if (claim_entry != nullptr) {
        impl_->finish(*claim_entry, impl::phase::releasing, claim_entry->claimed);
    }
}

void once_claims::abandon(const claim_ticket& ticket)
{
    const impl::entry* claim_entry = impl_->find(ticket);
    if (claim_entry != nullptr) {
        impl_->erase(*claim_entry);
    }
}

std::size_t once_claims::pending() const
{
    return impl_->entries.size();
}

} // namespace agatespread
