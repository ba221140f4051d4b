#include "sidecar_call.h"
#include "sidecar_impl.h"

#include <fmt/format.h>

#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// Interval at which waiting offers are checked; short against the time of one upload.
constexpr milliseconds grant_check_period{20};

// As for other refusals by a gate that is closed.
constexpr milliseconds closed_retry_after{400};

http_response make_refusal(milliseconds retry_after)
{
    http_response response;
    response.status = 503;
    response.headers.add("Retry-After",
                         fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1e3));
    return response;
}

} // namespace

void sidecar::impl::serve_upload_offer(const std::shared_ptr<http_exchange>& exchange)
{
    const std::optional<detail::upload_question> question =
        detail::read_upload_question(exchange->request().headers);
    if (!question || upload_offers.count(question->id) > 0) {
        http_response response;
        response.status = 400;
        exchange->respond(std::move(response));
        return;
    }
    if (stopping || gate_state() != upstream_state::ready) {
        exchange->respond(make_refusal(closed_retry_after));
        return;
    }
    const time_point now = loop.now();
    upload_offers.emplace(question->id, exchange);
    exchange->on_cancel([weak = weak_from_this(), id = question->id] {
        const std::shared_ptr<impl> live = weak.lock();
        if (live && live->upload_offers.erase(id) > 0) {
            live->apply(live->grants.finish(id, live->loop.now()));
        }
    });
    const bool limited = question->time_left.count() > 0;
    apply(grants.offer(
        {question->id, question->bytes, limited ? now + question->time_left : time_point()}, now));
    schedule_grant_check();
}

void sidecar::impl::apply(const upload_decisions& decisions)
{
    const auto answer = [this](std::uint64_t id, http_response response) {
        const auto found = upload_offers.find(id);
        if (found != upload_offers.end()) {
            const std::shared_ptr<http_exchange> exchange = found->second;
            upload_offers.erase(found);
            exchange->respond(std::move(response));
        }
    };
    for (const upload_refusal& refusal : decisions.refused) {
        upload_offers_refused.add();
        answer(refusal.id, make_refusal(refusal.retry_after));
    }
    for (const std::uint64_t id : decisions.granted) {
        answer(id, http_response());
    }
    upload_offers_waiting.set(static_cast<std::int64_t>(upload_offers.size()));
}

void sidecar::impl::schedule_grant_check()
{
    if (grant_check_scheduled || (grants.granted() == 0 && grants.queued() == 0)) {
        return;
    }
    grant_check_scheduled = true;
    grant_timer = loop.after(grant_check_period, [this](time_point now) {
        grant_check_scheduled = false;
        check_grants(now);
        schedule_grant_check();
    });
}

void sidecar::impl::check_grants(time_point now)
{
    if (!stopping && gate_state() == upstream_state::ready) {
        apply(grants.expire(now));
        return;
    }
    // Waiting senders choose another upstream.
    const std::map<std::uint64_t, std::shared_ptr<http_exchange>> waiting =
        std::exchange(upload_offers, {});
    for (const auto& each : waiting) {
        each.second->respond(make_refusal(closed_retry_after));
    }
    for (const auto& each : waiting) {
        apply(grants.finish(each.first, now));
    }
    apply(grants.expire(now));
}

} // namespace agatespread
