#include "once_adapter.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>
#include <vector>

namespace agatespread {

namespace {

using nlohmann::json;

claim_state state_of(claim_outcome outcome)
{
    switch (outcome) {
    case claim_outcome::granted:
        return claim_state::granted;
    case claim_outcome::recorded:
        return claim_state::recorded;
    case claim_outcome::completed:
    case claim_outcome::in_progress:
        return claim_state::unknown;
    case claim_outcome::mismatched:
        return claim_state::mismatched;
    case claim_outcome::not_run:
        break;
    }
    return claim_state::unavailable;
}

} // namespace

std::string encode_recorded(const http_response& response)
{
    json headers = json::array();
    for (const http_headers::field& field : response.headers.fields()) {
        headers.push_back({field.first, field.second});
    }
    const json record = {
        response.status, headers,
        json::binary(std::vector<std::uint8_t>(response.body.begin(), response.body.end()))};
    const std::vector<std::uint8_t> bytes = json::to_cbor(record);
    return {bytes.begin(), bytes.end()};
}

http_response decode_recorded(const std::string& bytes)
{
    const json record = json::from_cbor(bytes, true, false);
    const bool valid = record.is_array() && record.size() == 3 && record[0].is_number_integer() &&
                       record[1].is_array() && record[2].is_binary();
    if (!valid) {
        return {502, {}, "the recorded response is malformed\n"};
    }
    http_response response;
    response.status = record[0].get<int>();
    for (const json& field : record[1]) {
        if (field.is_array() && field.size() == 2 && field[0].is_string() && field[1].is_string()) {
            response.headers.add(field[0].get<std::string>(), field[1].get<std::string>());
        }
    }
    const std::vector<std::uint8_t>& body = record[2].get_binary();
    response.body.assign(body.begin(), body.end());
    return response;
}

once_adapter::once_adapter(event_loop& control, metrics& data) : control_(control), data_(data)
{
}

void once_adapter::open(platform& driver, random_source random)
{
    claims_ = std::make_unique<once_claims>(
        control_, driver, std::move(random), [] { return std::chrono::system_clock::now(); }, data_,
        options_);
}

decltype(outbound_hooks::claim) once_adapter::claim_hook()
{
    return [this](const keyed_request& request, std::function<void(claim_reply)> done) {
        control_.post([this, request, done = std::move(done)] { claim(request, done); });
    };
}

decltype(outbound_hooks::settle) once_adapter::settle_hook()
{
    return [this](const keyed_request&, const std::string& token, settled_state state,
                  const http_response& response) {
        control_.post([this, token, state, response] { settle(token, state, response); });
    };
}

void once_adapter::claim(const keyed_request& request, const std::function<void(claim_reply)>& done)
{
    if (!claims_) {
        done(claim_reply());
        return;
    }
    const time_point requested_at = control_.now();
    claims_->claim({request.tenant, request.key, fmt::format("{:016x}", request.fingerprint)},
                   [this, requested_at, done](const claim_result& result) {
                       done(to_reply(result, requested_at));
                   });
}

claim_reply once_adapter::to_reply(const claim_result& result, time_point requested_at)
{
    claim_reply reply;
    reply.state = state_of(result.outcome);
    if (result.outcome == claim_outcome::granted) {
        reply.token = result.ticket.token;
        reply.may_send_until = requested_at + options_.lease;
        tickets_[reply.token] = result.ticket;
    }
    if (result.outcome == claim_outcome::recorded) {
        reply.response = decode_recorded(result.answer);
    }
    return reply;
}

void once_adapter::settle(const std::string& token, settled_state state,
                          const http_response& response)
{
    const auto found = tickets_.find(token);
    if (found == tickets_.end()) {
        return;
    }
    const claim_ticket ticket = std::move(found->second);
    tickets_.erase(found);
    switch (state) {
    case settled_state::completed:
        claims_->complete(ticket, encode_recorded(response));
        return;
    case settled_state::not_run:
        claims_->release(ticket);
        return;
    case settled_state::unknown:
        claims_->abandon(ticket);
        return;
    }
}

} // namespace agatespread
