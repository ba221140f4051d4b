#include "message_fields.h"

#include <agatespread/digest.h>
#include <agatespread/tenant_quota.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace agatespread {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

using json = nlohmann::json;

// Also the longest time for which the shares of a keeper that fails are not spent.
constexpr milliseconds loan_time{1000};

// Four messages during a loan: a lost one does not end it.
constexpr milliseconds ask_period{250};

// A request that waits longer is more useful to its caller as a refusal, which is retried.
constexpr milliseconds longest_wait{150};

// A round trip within a failure domain takes a few milliseconds; a later response is taken for
// lost, and the waiting requests are asked for again.
constexpr milliseconds response_timeout{40};

// A keeper without responses for this time and to this number of messages is replaced. Its loans
// expire soon after, 500 to 750 ms after its last response, so an earlier replacement gains
// nothing.
constexpr milliseconds keeper_silence{400};
constexpr std::uint32_t keeper_misses = 2;

// A keeper that did not respond is used again once it is heard from after this time.
constexpr milliseconds keeper_avoidance = std::chrono::seconds(10);

// Bounds the messages of a node under load; requests of this time share one.
constexpr milliseconds min_ask_interval{5};

// A pause between two updates of the number of nodes after which the process was frozen, and the
// time after which all other nodes have been heard of again.
constexpr milliseconds longest_pause = std::chrono::seconds(2);
constexpr milliseconds hearing_time = std::chrono::seconds(60);

// Late messages come from the last few processes of a member.
constexpr std::size_t max_replaced = 8;

// A loan is not worth its messages if the granted tokens expire sooner.
constexpr milliseconds min_validity{20};

// Members that have not asked for this time are forgotten.
constexpr milliseconds member_lifetime = std::chrono::seconds(10);

constexpr milliseconds unknown_retry_after{500};
constexpr milliseconds min_retry_after{20};

// EWMA weight of one period in the expected number of requests.
constexpr double expectation_weight = 0.25;

// Keeps a message within one packet of 1,500 bytes; the others follow with the next message.
constexpr std::size_t max_needs = 40;

// Messages whose responses are still accepted; older ones bring tokens that have expired.
constexpr std::size_t max_open = 32;

constexpr std::uint32_t max_tokens = 100000;

constexpr std::string_view keeper_role = "quota";

double seconds(nanoseconds period)
{
    return std::chrono::duration<double>(period).count();
}

std::uint64_t to_timestamp(boot_clock::time_point now)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(now.time_since_epoch().count(), 1));
}

std::uint32_t whole_tokens(double level, std::uint32_t wanted)
{
    return level < 1 ? 0
                     : static_cast<std::uint32_t>(
                           std::min(std::floor(level), static_cast<double>(wanted)));
}

bool read_flag(detail::message_fields& fields, const char* name)
{
    std::uint64_t value = 0;
    fields.read(name, value);
    return value != 0;
}

/// Reads a flat list of groups that consist of a tenant's name and two numbers.
template <typename Add>
bool read_tenants(const json& list, const Add& add)
{
    constexpr std::size_t group = 3;
    if (list.size() % group != 0 || list.size() > group * max_needs) {
        return false;
    }
    for (std::size_t index = 0; index < list.size(); index += group) {
        if (!list[index].is_string() || !list[index + 1].is_number_unsigned() ||
            !list[index + 2].is_number_unsigned() ||
            list[index + 1].get<std::uint64_t>() > max_tokens ||
            list[index + 2].get<std::uint64_t>() > max_tokens) {
            return false;
        }
        add(list[index].get<std::string>(),
            static_cast<std::uint32_t>(list[index + 1].get<std::uint64_t>()),
            static_cast<std::uint32_t>(list[index + 2].get<std::uint64_t>()));
    }
    return true;
}

} // namespace

std::string encode(const quota_ask& ask)
{
    json needs = json::array();
    for (const quota_need& need : ask.needs) {
        needs.push_back(need.tenant);
        needs.push_back(need.waiting);
        needs.push_back(need.ahead);
    }
    return detail::to_bytes({{"#", quota_ask_type},
                             {"n", ask.node},
                             {"p", ask.incarnation},
                             {"q", ask.sequence},
                             {"t", ask.timestamp},
                             {"l", ask.lends ? 1U : 0U},
                             {"w", std::move(needs)}});
}

std::string encode(const quota_grant& grant)
{
    json given = json::array();
    for (const quota_given& each : grant.given) {
        given.push_back(each.tenant);
        given.push_back(each.tokens);
        given.push_back(static_cast<std::uint64_t>(each.next.count()));
    }
    return detail::to_bytes({{"#", quota_grant_type},
                             {"n", grant.node},
                             {"p", grant.incarnation},
                             {"q", grant.sequence},
                             {"t", grant.timestamp},
                             {"l", grant.holds ? 1U : 0U},
                             {"g", std::move(given)}});
}

absl::StatusOr<quota_ask> decode_quota_ask(std::string_view bytes)
{
    detail::message_fields fields(bytes);
    quota_ask ask;
    fields.read("n", ask.node);
    fields.read("p", ask.incarnation);
    fields.read("q", ask.sequence);
    fields.read("t", ask.timestamp);
    ask.lends = read_flag(fields, "l");
    const bool valid = read_tenants(
        fields.list("w"), [&ask](std::string tenant, std::uint32_t waiting, std::uint32_t ahead) {
            ask.needs.push_back({std::move(tenant), waiting, ahead});
        });
    if (!fields.first_invalid().empty() || !valid) {
        return detail::malformed_message(valid ? fields.first_invalid() : "w");
    }
    return ask;
}

absl::StatusOr<quota_grant> decode_quota_grant(std::string_view bytes)
{
    detail::message_fields fields(bytes);
    quota_grant grant;
    fields.read("n", grant.node);
    fields.read("p", grant.incarnation);
    fields.read("q", grant.sequence);
    fields.read("t", grant.timestamp);
    grant.holds = read_flag(fields, "l");
    const bool valid = read_tenants(
        fields.list("g"), [&grant](std::string tenant, std::uint32_t tokens, std::uint32_t next) {
            grant.given.push_back({std::move(tenant), tokens, milliseconds(next)});
        });
    if (!fields.first_invalid().empty() || !valid) {
        return detail::malformed_message(valid ? fields.first_invalid() : "g");
    }
    return grant;
}

tenant_quota::tenant_quota(node_id own, std::uint64_t incarnation, const quota_options& options,
                           time started)
    : own_(std::move(own)), incarnation_(incarnation), options_(options), started_(started),
      share_from_(started + loan_time)
{
}

nanoseconds tenant_quota::validity() const
{
    return std::chrono::duration_cast<nanoseconds>(options_.window * options_.overage);
}

double tenant_quota::fraction() const
{
    return nodes_ == 0 ? 0 : static_cast<double>(shares()) / static_cast<double>(nodes_);
}

void tenant_quota::settle(bucket& subject, time now) const
{
    const double part = fraction();
    const double added =
        now > subject.settled ? subject.rate * part * seconds(now - subject.settled) : 0;
    subject.settled = std::max(subject.settled, now);
    subject.promised = std::max(0.0, subject.promised - added);
    // Also lowers the level when a share, and with it a part of the capacity, has left.
    subject.level = std::min(subject.level + added, subject.capacity * part);
}

void tenant_quota::settle_all(time now)
{
    for (std::pair<const std::string, bucket>& each : buckets_) {
        settle(each.second, now);
    }
}

void tenant_quota::end_loan(const node_id& lender, time at)
{
    settle_all(at);
    loans_.erase(lender);
    settle_all(at);
}

void tenant_quota::advance(time now)
{
    while (now >= next_loan_end_) {
        const auto first =
            std::min_element(loans_.begin(), loans_.end(), [](const auto& left, const auto& right) {
                return left.second < right.second;
            });
        if (first != loans_.end() && first->second <= now) {
            const node_id lender = first->first;
            end_loan(lender, first->second);
            continue;
        }
        next_loan_end_ = first == loans_.end() ? time::max() : first->second;
    }
    if (!has_share_ && !stopping_ && nodes_ > 0 && now >= share_from_) {
        settle_all(now);
        has_share_ = true;
        lent_ = false;
    }
}

void tenant_quota::set_limits(const std::vector<quota_limit>& limits, time now)
{
    advance(now);
    settle_all(now);
    std::map<std::string, bucket> next;
    for (const quota_limit& limit : limits) {
        const auto known = buckets_.find(limit.tenant);
        bucket& subject = next[limit.tenant];
        if (known != buckets_.end()) {
            subject = std::move(known->second);
            buckets_.erase(known);
        }
        subject.settled = now;
        subject.rate = limit.rate_per_second;
        subject.capacity = limit.burst * (1 + options_.overage) + options_.slack;
    }
    // Requests of a tenant without a quota in the new version need no token.
    for (std::pair<const std::string, bucket>& removed : buckets_) {
        for (const waiter& each : removed.second.waiters) {
            outcomes_.push_back({each.id, quota_token{removed.first, now}, false, {}});
        }
        waiting_ -= removed.second.waiters.size();
    }
    buckets_ = std::move(next);
    settle_all(now);
}

void tenant_quota::set_mesh(std::size_t nodes, const std::vector<quota_candidate>& candidates,
                            time now)
{
    advance(now);
    if (mesh_updated_ != time() && now - mesh_updated_ > longest_pause) {
        nodes_kept_until_ = now + hearing_time;
    }
    mesh_updated_ = now;
    const std::size_t counted = now < nodes_kept_until_ ? std::max(nodes, nodes_) : nodes;
    if (counted != nodes_) {
        settle_all(now);
        nodes_ = counted;
        settle_all(now);
        advance(now);
    }
    for (auto each = members_.begin(); each != members_.end();) {
        const bool forgotten = now - each->second.last > member_lifetime;
        each = forgotten ? members_.erase(each) : std::next(each);
    }
    choose_keeper(candidates, now);
}

bool tenant_quota::is_unanswered(time now) const
{
    return unanswered_ >= keeper_misses && now - unanswered_since_ >= keeper_silence;
}

void tenant_quota::choose_keeper(const std::vector<quota_candidate>& candidates, time now)
{
    if (!keeper_.empty() && is_unanswered(now)) {
        silent_[keeper_] = unanswered_since_;
    }
    // When a part of the domain is cut off, the next candidates are often cut off as well. Those
    // that were heard after the last keeper stopped to respond are not.
    time heard_since = time::min();
    for (const std::pair<const node_id, time>& each : silent_) {
        heard_since = std::max(heard_since, each.second);
    }
    node_id best;
    // A stopping node keeps nothing, but still gets tokens for its last requests.
    std::uint64_t best_rank = stopping_ ? 0 : rendezvous_rank(keeper_role, own_);
    for (const quota_candidate& each : candidates) {
        if (heard_since != time::min() && now - each.heard_ago <= heard_since) {
            continue;
        }
        const auto silent = silent_.find(each.node);
        if (silent != silent_.end()) {
            if (now - silent->second < keeper_avoidance) {
                continue;
            }
            silent_.erase(silent);
        }
        const std::uint64_t rank = rendezvous_rank(keeper_role, each.node);
        if (rank > best_rank || (rank == best_rank && each.node < (best.empty() ? own_ : best))) {
            best = each.node;
            best_rank = rank;
        }
    }
    if (validity() < min_validity) {
        best.clear();
    }
    if (best != keeper_) {
        keeper_ = best;
        timestamp_ = 0;
        timestamp_sequence_ = 0;
        unanswered_ = 0;
        asked_at_ = time::min();
    }
}

void tenant_quota::stop(time now)
{
    advance(now);
    settle_all(now);
    stopping_ = true;
    has_share_ = false;
    settle_all(now);
}

std::optional<tenant_quota::time> tenant_quota::draw(bucket& subject, time now)
{
    while (!subject.granted.empty() && subject.granted.front() <= now) {
        subject.granted.pop_front();
    }
    if (!subject.granted.empty()) {
        const time expires = subject.granted.front();
        subject.granted.pop_front();
        return expires;
    }
    settle(subject, now);
    if (subject.level < 1) {
        return std::nullopt;
    }
    subject.level -= 1;
    return now + validity();
}

std::optional<quota_token> tenant_quota::take(const std::string& tenant, time now)
{
    advance(now);
    const auto found = buckets_.find(tenant);
    if (found == buckets_.end()) {
        return std::nullopt;
    }
    ++found->second.arrived;
    const std::optional<time> expires = draw(found->second, now);
    return expires ? std::make_optional(quota_token{tenant, *expires}) : std::nullopt;
}

void tenant_quota::wait(const std::string& tenant, std::uint64_t id, time now)
{
    const auto found = buckets_.find(tenant);
    if (found == buckets_.end() || (keeper_.empty() && fraction() <= 0)) {
        outcomes_.push_back({id, std::nullopt, false, unknown_retry_after});
        return;
    }
    bucket& subject = found->second;
    subject.waiters.push_back({id, now, 0});
    ++waiting_;
    if (keeper_.empty()) {
        const milliseconds next = time_to_next(subject);
        subject.promised += 1;
        refuse(subject, 0, next);
    }
}

void tenant_quota::give_back(const quota_token& token, time now)
{
    const auto found = buckets_.find(token.tenant);
    if (found == buckets_.end() || token.expires <= now) {
        return;
    }
    // Keeps its expiry, so that the tokens of a window are at most those of the window and of the
    // validity before it.
    std::deque<time>& granted = found->second.granted;
    granted.insert(std::upper_bound(granted.begin(), granted.end(), token.expires), token.expires);
    serve_waiters(found->first, found->second, now);
}

milliseconds tenant_quota::time_to_next(const bucket& subject) const
{
    const double rate = subject.rate * fraction();
    if (rate <= 0) {
        return unknown_retry_after;
    }
    const double wait = (subject.promised + 1 - subject.level) / rate;
    const milliseconds longest = std::max(options_.window, min_retry_after);
    return wait >= seconds(longest)
               ? longest
               : std::max(min_retry_after,
                          milliseconds(static_cast<std::int64_t>(std::ceil(wait * 1000))));
}

bool tenant_quota::may_lend(time now) const
{
    return !stopping_ && timestamp_ != 0 && now - timestamp_received_ < loan_time && nodes_ > 0 &&
           (has_share_ || (lent_ && lent_to_ == keeper_));
}

bool tenant_quota::is_due(time now) const
{
    if (keeper_.empty() || buckets_.empty()) {
        return false;
    }
    if (asked_at_ == time::min() || now - asked_at_ >= ask_period) {
        return true;
    }
    // The first response of a keeper, or the end of a loan to another one, makes a loan possible;
    // a stopping node ends its loan.
    if ((stopping_ && lent_ && lent_to_ == keeper_) || (has_share_ && may_lend(now))) {
        return true;
    }
    if (waiting_ == 0 || now - asked_at_ < min_ask_interval ||
        (!open_.empty() && now - open_.back().sent < response_timeout)) {
        return false;
    }
    return std::any_of(buckets_.begin(), buckets_.end(),
                       [](const std::pair<const std::string, bucket>& each) {
                           return !each.second.waiters.empty();
                       });
}

void tenant_quota::update_expectations(time now)
{
    expectations_updated_ = now;
    for (std::pair<const std::string, bucket>& each : buckets_) {
        bucket& subject = each.second;
        subject.expected += (subject.arrived - subject.expected) * expectation_weight;
        subject.arrived = 0;
    }
}

std::vector<quota_need> tenant_quota::needs(bool with_expected, time now)
{
    std::vector<quota_need> result;
    for (std::pair<const std::string, bucket>& each : buckets_) {
        bucket& subject = each.second;
        const time still_valid = now + ask_period / 2;
        const std::ptrdiff_t held =
            subject.granted.end() -
            std::upper_bound(subject.granted.begin(), subject.granted.end(), still_valid);
        // Nothing for small tenants: a token that is not used expires, and they have few.
        const double missing = std::round(subject.expected) - static_cast<double>(held);
        quota_need need{each.first, 0, 0};
        need.waiting =
            static_cast<std::uint32_t>(std::min<std::size_t>(subject.waiters.size(), max_tokens));
        need.ahead = with_expected && missing > 0
                         ? static_cast<std::uint32_t>(std::min<double>(missing, max_tokens))
                         : 0;
        if (need.waiting > 0 || need.ahead > 0) {
            result.push_back(std::move(need));
        }
    }
    if (result.size() > max_needs) {
        std::partial_sort(result.begin(), result.begin() + max_needs, result.end(),
                          [](const quota_need& left, const quota_need& right) {
                              return std::make_pair(left.waiting, left.ahead) >
                                     std::make_pair(right.waiting, right.ahead);
                          });
        result.resize(max_needs);
    }
    return result;
}

bool tenant_quota::may_release() const
{
    // Once for each loan: without a response it ends by itself.
    return lent_ && lent_to_ != keeper_ && release_ == 0;
}

quota_message tenant_quota::make_message(const node_id& to, time now)
{
    quota_message message;
    message.to = to;
    message.ask.node = own_;
    message.ask.incarnation = incarnation_;
    message.ask.sequence = ++sequence_;
    open_.push_back({sequence_, to, now, false});
    if (open_.size() > max_open) {
        open_.pop_front();
    }
    return message;
}

std::optional<quota_message> tenant_quota::next_message(time now)
{
    advance(now);
    if (may_release()) {
        const quota_message message = make_message(lent_to_, now);
        release_ = message.ask.sequence;
        return message;
    }
    if (!is_due(now)) {
        return std::nullopt;
    }
    const bool periodic = now - expectations_updated_ >= ask_period;
    if (periodic) {
        update_expectations(now);
    }
    quota_message message = make_message(keeper_, now);
    // A loan that each message renews would last a full second when its keeper is lost.
    open_.back().renews = periodic || timestamp_ == 0;
    message.ask.timestamp = timestamp_;
    message.ask.lends = may_lend(now);
    message.ask.needs = needs(periodic, now);
    if (message.ask.lends) {
        settle_all(now);
        has_share_ = false;
        settle_all(now);
        share_from_ = std::max(share_from_, timestamp_received_ + loan_time);
        lent_to_ = keeper_;
        release_ = 0;
    }
    lent_ = message.ask.lends || (lent_ && lent_to_ != keeper_);
    for (const quota_need& need : message.ask.needs) {
        for (waiter& each : buckets_[need.tenant].waiters) {
            each.asked_in = sequence_;
        }
    }
    asked_at_ = now;
    unanswered_since_ = unanswered_ == 0 ? now : unanswered_since_;
    ++unanswered_;
    return message;
}

bool tenant_quota::accepts(const quota_ask& ask, time now)
{
    if (ask.node == own_) {
        return false;
    }
    member& known = members_[ask.node];
    if (known.incarnation != ask.incarnation) {
        if (std::find(known.replaced.begin(), known.replaced.end(), ask.incarnation) !=
            known.replaced.end()) {
            return false;
        }
        known.replaced.push_back(known.incarnation);
        if (known.replaced.size() > max_replaced) {
            known.replaced.pop_front();
        }
    }
    else if (ask.sequence <= known.sequence) {
        return false;
    }
    known.incarnation = ask.incarnation;
    known.sequence = ask.sequence;
    known.last = now;
    return true;
}

quota_given tenant_quota::give(bucket& subject, const quota_need& need, time now)
{
    settle(subject, now);
    quota_given given{need.tenant, whole_tokens(subject.level, need.waiting), {}};
    const std::uint32_t missing = need.waiting - given.tokens;
    subject.level -= given.tokens;
    if (missing > 0) {
        given.next = time_to_next(subject);
        subject.promised = std::min(subject.promised + missing,
                                    subject.rate * fraction() * seconds(options_.window));
    }
    // Requests that are expected get tokens from the upper half only, which keeps the lower one for
    // bursts: some of the tokens that are granted in advance expire.
    const std::uint32_t ahead =
        whole_tokens(subject.level - subject.capacity * fraction() / 2, need.ahead);
    subject.level -= ahead;
    given.tokens += ahead;
    return given;
}

std::optional<quota_grant> tenant_quota::answer(const quota_ask& ask, time now)
{
    advance(now);
    if (!active() || !accepts(ask, now)) {
        return std::nullopt;
    }
    const std::uint64_t own_time = to_timestamp(now);
    const nanoseconds age(ask.timestamp == 0 || ask.timestamp > own_time
                              ? nanoseconds(0)
                              : nanoseconds(own_time - ask.timestamp));
    const auto loan = loans_.find(ask.node);
    // A timestamp of an earlier process of this node may come in a message that was delayed until
    // its sender took the share back.
    const bool valid = ask.lends && ask.timestamp >= to_timestamp(started_) &&
                       ask.timestamp <= own_time && age < loan_time && !stopping_ &&
                       loans_.size() < nodes_;
    if (valid) {
        const time until = now - age + loan_time;
        if (loan == loans_.end()) {
            settle_all(now);
        }
        loans_[ask.node] = until;
        next_loan_end_ = std::min(next_loan_end_, until);
    }
    else if (loan != loans_.end()) {
        end_loan(ask.node, now);
    }
    quota_grant grant{own_, ask.incarnation, ask.sequence, own_time, valid, {}};
    // A keeper that was frozen finds old messages, whose tokens would expire on the way.
    if (age < loan_time && fraction() > 0) {
        for (const quota_need& need : ask.needs) {
            const auto found = buckets_.find(need.tenant);
            if (found != buckets_.end() && grant.given.size() < max_needs) {
                grant.given.push_back(give(found->second, need, now));
            }
        }
    }
    return grant;
}

void tenant_quota::serve_waiters(const std::string& tenant, bucket& subject, time now)
{
    while (!subject.waiters.empty()) {
        const std::optional<time> expires = draw(subject, now);
        if (!expires) {
            return;
        }
        outcomes_.push_back({subject.waiters.front().id, quota_token{tenant, *expires}, false, {}});
        subject.waiters.pop_front();
        --waiting_;
    }
}

void tenant_quota::refuse(bucket& subject, std::uint64_t up_to, milliseconds retry_after)
{
    std::deque<waiter> left;
    for (const waiter& each : subject.waiters) {
        if (each.asked_in <= up_to && (each.asked_in != 0 || up_to == 0)) {
            outcomes_.push_back({each.id, std::nullopt, true, retry_after});
            --waiting_;
        }
        else {
            left.push_back(each);
        }
    }
    subject.waiters = std::move(left);
}

bool tenant_quota::receive(const quota_grant& grant, time now)
{
    advance(now);
    const auto open = std::find_if(open_.begin(), open_.end(), [&grant](const open_ask& each) {
        return each.sequence == grant.sequence && each.keeper == grant.node;
    });
    if (grant.incarnation != incarnation_ || open == open_.end()) {
        return false;
    }
    // The keeper granted the tokens after the message was sent, so they expire at most this late.
    const time expires = open->sent + validity();
    const bool renews = open->renews;
    open_.erase(open);
    if (grant.node == keeper_) {
        unanswered_ = 0;
        if (renews && grant.sequence > timestamp_sequence_) {
            timestamp_ = grant.timestamp;
            timestamp_sequence_ = grant.sequence;
            timestamp_received_ = now;
        }
    }
    const bool latest = grant.node == keeper_ ? grant.sequence == sequence_
                                              : release_ != 0 && grant.sequence == release_;
    if (!grant.holds && lent_ && lent_to_ == grant.node && latest) {
        // The keeper has ended the loan, and ignores all messages before this one. If it is to hold
        // the share again, its next response brings the timestamp.
        share_from_ = now;
        timestamp_ = grant.node == keeper_ ? 0 : timestamp_;
        advance(now);
    }
    for (const quota_given& given : grant.given) {
        const auto found = buckets_.find(given.tenant);
        if (found == buckets_.end()) {
            continue;
        }
        bucket& subject = found->second;
        if (expires > now) {
            const auto place =
                std::upper_bound(subject.granted.begin(), subject.granted.end(), expires);
            subject.granted.insert(place, given.tokens, expires);
        }
        serve_waiters(found->first, subject, now);
        if (given.next.count() > 0) {
            refuse(subject, grant.sequence, given.next);
        }
    }
    return true;
}

std::vector<quota_outcome> tenant_quota::take_outcomes(time now)
{
    if (waiting_ == 0) {
        return std::exchange(outcomes_, {});
    }
    for (std::pair<const std::string, bucket>& each : buckets_) {
        bucket& subject = each.second;
        while (!subject.waiters.empty() && now - subject.waiters.front().since >= longest_wait) {
            outcomes_.push_back({subject.waiters.front().id, std::nullopt, false, min_retry_after});
            subject.waiters.pop_front();
            --waiting_;
        }
    }
    return std::exchange(outcomes_, {});
}

} // namespace agatespread
