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

// The delays between the tries of a claim and of a result or release; both double up to 2 s.
constexpr std::chrono::milliseconds claim_retry_delay(20);
constexpr std::chrono::milliseconds finish_retry_delay(100);
constexpr std::chrono::milliseconds max_retry_delay(2000);

// A claim that loses the row to others this often is refused.
constexpr int max_refusals = 10;

std::string row_key(const once_request& request)
{
    return fmt::format("once/{}/{}", request.tenant, sha256_hex(request.key));
}

} // namespace

struct once_claims::impl : std::enable_shared_from_this<once_claims::impl> {
    enum class phase { claiming, granted, recording, releasing };

    // One key of this node, from its claim until the row needs no further write.
    struct entry {
        std::string key;
        once_row row;
        std::string claimed; ///< The encoded row while claimed.
        phase step = phase::claiming;
        callback done; ///< Empty after it was called.
        std::shared_ptr<row_update> write;
        bool uncertain = false; ///< A try to claim may have taken effect, or may do so later.
        int refusals = 0;
        int failures = 0;
        time_point lease_end;
        time_point finish_end;
        subscription limit_timer;
        subscription retry_timer;
    };

    impl(timer_service& timer_source, platform& driver, random_source random_values,
         wall_clock wall, metrics& data, const once_options& options)
        : timers(timer_source), random(std::move(random_values)), clock(std::move(wall)),
          counters(data), bounds(options),
          batcher(std::make_shared<detail::row_batcher>(
              timers, driver,
              detail::row_batcher::limits{options.batch_rows, options.pace, options.finish_delay},
              data.counter_of("agatespread_once_transactions_total")))
    {
    }

    void claim(const once_request& request, callback done);
    static claim_result repeated(const entry& known, const once_request& request);
    entry* find(const claim_ticket& ticket) const;
    void write(entry& source, std::optional<std::string> expected, const std::string& value);
    void write_later(entry& source);
    void written(const std::string& key, const row_result& end);
    void claim_ended(entry& source, const row_result& end);
    void claim_refused(entry& source, const row_result& end);
    void claim_failed(entry& source, const row_result& end);
    void claim_time_over(entry& source);
    void grant(entry& source);
    void answer(entry& source, const claim_result& result) const;
    void answer_not_run(entry& source) const { answer(source, {}); }
    void finish(entry& source, phase step, std::optional<std::string> expected);
    void finish_ended(entry& source, const row_result& end);
    void finish_refused(entry& source, const row_result& end);
    void erase(const entry& source) { entries.erase(std::string(source.key)); }
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
    if (entries.size() >= bounds.pending) {
        count("agatespread_once_refused_total");
        done({});
        return;
    }
    const std::shared_ptr<entry> created = std::make_shared<entry>();
    created->key = key;
    created->row = {fmt::format("{:016x}{:016x}", random(), random()), request.fingerprint,
                    row_state::claimed, std::nullopt, clock() + bounds.keep};
    created->claimed = encode_row(created->row);
    created->done = std::move(done);
    created->lease_end = timers.now() + bounds.lease;
    created->limit_timer =
        timers.after(bounds.claim_time,
                     [this, created = created.get()](time_point) { claim_time_over(*created); });
    entries.emplace(key, created);
    write(*created, std::nullopt, created->claimed);
}

claim_result once_claims::impl::repeated(const entry& known, const once_request& request)
{
    if (known.row.fingerprint != request.fingerprint) {
        return {claim_outcome::mismatched, {}, {}};
    }
    if (known.step == phase::recording && known.row.answer) {
        return {claim_outcome::recorded, {}, *known.row.answer};
    }
    return {claim_outcome::in_progress, {}, {}};
}

once_claims::impl::entry* once_claims::impl::find(const claim_ticket& ticket) const
{
    const auto found = entries.find(ticket.row_key);
    const bool granted = found != entries.end() && found->second->row.token == ticket.token &&
                         found->second->step == phase::granted;
    return granted ? found->second.get() : nullptr;
}

// The entry may be gone when this returns, because a driver may answer at once.
void once_claims::impl::write(entry& source, std::optional<std::string> expected,
                              const std::string& value)
{
    source.write = std::make_shared<row_update>();
    source.write->key = source.key;
    source.write->expected = std::move(expected);
    source.write->value = value;
    source.write->done = [weak = weak_from_this(), key = source.key](const row_result& end) {
        const std::shared_ptr<impl> self = weak.lock();
        if (self) {
            self->written(key, end);
        }
    };
    const std::shared_ptr<row_update> row = source.write;
    if (source.step == phase::claiming) {
        batcher->submit(row);
    }
    else {
        batcher->submit_deferred(row);
    }
}

// Repeats the last write after a delay with full jitter.
void once_claims::impl::write_later(entry& source)
{
    const std::chrono::milliseconds first =
        source.step == phase::claiming ? claim_retry_delay : finish_retry_delay;
    const std::chrono::milliseconds ceiling =
        std::min(max_retry_delay, first * (1 << std::min(source.failures, 10)));
    ++source.failures;
    const std::shared_ptr<row_update> last = std::exchange(source.write, nullptr);
    source.retry_timer = timers.after(
        uniform_between(random, std::chrono::milliseconds(1), ceiling),
        [this, &source, last](time_point) { write(source, last->expected, last->value); });
}

void once_claims::impl::written(const std::string& key, const row_result& end)
{
    const auto found = entries.find(key);
    if (found == entries.end()) {
        return;
    }
    const std::shared_ptr<entry> keep_alive = found->second;
    if (keep_alive->step == phase::claiming) {
        claim_ended(*keep_alive, end);
    }
    else {
        finish_ended(*keep_alive, end);
    }
}

void once_claims::impl::claim_ended(entry& source, const row_result& end)
{
    switch (end.outcome) {
    case row_outcome::written:
        grant(source);
        break;
    case row_outcome::conflict:
        claim_refused(source, end);
        break;
    case row_outcome::unknown:
        source.uncertain = true;
        claim_failed(source, end);
        break;
    case row_outcome::not_applied:
        claim_failed(source, end);
        break;
    }
}

void once_claims::impl::claim_refused(entry& source, const row_result& end)
{
    const std::optional<once_row> present =
        end.current ? decode_row(*end.current) : std::optional<once_row>();
    if (end.current && *end.current == source.claimed) {
        grant(source); // An earlier try took effect.
        return;
    }
    const bool is_free = !end.current || (present && (present->state == row_state::released ||
                                                      detail::is_expired(*present, clock())));
    if (is_free && source.done && ++source.refusals < max_refusals) {
        write(source, end.current, source.claimed);
        return;
    }
    if (is_free) {
        claim_failed(source, end);
        return;
    }
    claim_result result;
    if (present && present->fingerprint != source.row.fingerprint) {
        result.outcome = claim_outcome::mismatched;
    }
    else if (present && present->state == row_state::done) {
        result.outcome = present->answer ? claim_outcome::recorded : claim_outcome::completed;
        result.answer = present->answer.value_or(std::string());
    }
    else {
        result.outcome = claim_outcome::in_progress; // A malformed row is never replaced.
    }
    // The row of another claimant also keeps a late try of this one from taking effect.
    erase(source);
    answer(source, result);
}

void once_claims::impl::claim_failed(entry& source, const row_result& end)
{
    if (!source.uncertain) {
        count("agatespread_once_refused_total");
        erase(source);
        answer_not_run(source);
    }
    else if (source.done && end.outcome != row_outcome::conflict) {
        write_later(source);
    }
    else {
        answer_not_run(source);
        finish(source, phase::releasing, end.current);
    }
}

void once_claims::impl::claim_time_over(entry& source)
{
    const std::shared_ptr<entry> keep_alive = entries.at(source.key);
    count("agatespread_once_refused_total");
    if (source.write && source.write->in_flight) {
        answer_not_run(source); // The end of the write decides whether the row is released.
        return;
    }
    if (source.write) {
        source.write->cancelled = true;
    }
    source.retry_timer.cancel();
    if (source.uncertain) {
        answer_not_run(source);
        finish(source, phase::releasing, std::nullopt);
    }
    else {
        erase(source);
        answer_not_run(source);
    }
}

void once_claims::impl::grant(entry& source)
{
    source.limit_timer.cancel();
    if (!source.done) {
        finish(source, phase::releasing, source.claimed);
        return;
    }
    source.step = phase::granted;
    source.failures = 0;
    answer(source, {claim_outcome::granted, {source.key, source.row.token}, {}});
}

void once_claims::impl::answer(entry& source, const claim_result& result) const
{
    source.limit_timer.cancel();
    const callback done = std::exchange(source.done, nullptr);
    if (done) {
        done(result);
    }
}

// Writes the last state of a row. A release replaces the row by a marker instead of removing it,
// so that a try to claim that arrives late still finds a row and has no effect.
void once_claims::impl::finish(entry& source, phase step, std::optional<std::string> expected)
{
    source.step = step;
    source.failures = 0;
    source.finish_end = timers.now() + bounds.finish_time;
    if (step == phase::releasing) {
        source.row.state = row_state::released;
    }
    write(source, std::move(expected), encode_row(source.row));
}

void once_claims::impl::finish_ended(entry& source, const row_result& end)
{
    if (end.outcome == row_outcome::written) {
        erase(source);
    }
    else if (end.outcome == row_outcome::conflict) {
        finish_refused(source, end);
    }
    else if (timers.now() >= source.finish_end) {
        count(source.step == phase::recording ? "agatespread_once_results_dropped_total"
                                              : "agatespread_once_releases_dropped_total");
        erase(source);
    }
    else {
        write_later(source);
    }
}

void once_claims::impl::finish_refused(entry& source, const row_result& end)
{
    const std::optional<once_row> present =
        end.current ? decode_row(*end.current) : std::optional<once_row>();
    const bool taken_effect = end.current && *end.current == encode_row(source.row);
    const bool own_claim = end.current && *end.current == source.claimed;
    // A late try expects an absent row or the marker of another claimant.
    const bool may_arrive_late =
        source.uncertain && !taken_effect &&
        (!end.current || (present && present->state == row_state::released));
    if (source.step == phase::releasing && (own_claim || may_arrive_late)) {
        write(source, end.current, encode_row(source.row));
        return;
    }
    if (source.step == phase::recording && !taken_effect) {
        count("agatespread_once_results_lost_total");
    }
    erase(source);
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
    // The wall clock is checked as well, because the monotonic clock may stand still while the
    // machine is suspended.
    const impl::entry* source = impl_->find(ticket);
    return source != nullptr && impl_->timers.now() < source->lease_end &&
           impl_->clock() < source->row.expires;
}

void once_claims::complete(const claim_ticket& ticket, std::string answer)
{
    impl::entry* source = impl_->find(ticket);
    if (source == nullptr) {
        return;
    }
    source->row.state = row_state::done;
    if (answer.size() <= impl_->bounds.answer_bytes) {
        source->row.answer = std::move(answer);
    }
    impl_->finish(*source, impl::phase::recording, source->claimed);
}

void once_claims::release(const claim_ticket& ticket)
{
    impl::entry* source = impl_->find(ticket);
    if (source != nullptr) {
        impl_->finish(*source, impl::phase::releasing, source->claimed);
    }
}

void once_claims::leave(const claim_ticket& ticket)
{
    const impl::entry* source = impl_->find(ticket);
    if (source != nullptr) {
        impl_->erase(*source);
    }
}

std::size_t once_claims::pending() const
{
    return impl_->entries.size();
}

} // namespace agatespread
