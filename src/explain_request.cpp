#include "caller_request.h"

#include <algorithm>
#include <utility>

namespace agatespread {

namespace detail {

namespace {

using std::chrono::milliseconds;

constexpr int unavailable_status = 503;
constexpr int unrouted_status = 404;
constexpr int unauthorized_status = 401;

/// The request of a question, which gets no response.
class asked_exchange final : public http_exchange {
public:
    explicit asked_exchange(const explain_question& question)
    {
        request_.method = question.method;
        request_.target = question.path;
        request_.headers.set("Host", question.host);
    }

    const http_request& request() const override { return request_; }
    void respond(http_response) override {}
    void on_cancel(std::function<void()>) override {}

private:
    http_request request_;
};

int status_of(std::string_view refusal)
{
    if (refusal == "unrouted") {
        return unrouted_status;
    }
    return refusal == "unknown_tenant" ? unauthorized_status : unavailable_status;
}

} // namespace

explanation caller_request::explain(const std::shared_ptr<sidecar::impl>& owner,
                                    const explain_question& question)
{
    const std::shared_ptr<caller_request> asked =
        std::make_shared<caller_request>(owner, std::make_shared<asked_exchange>(question));
    const random_source random = owner->draws.preview();
    explanation result;
    const std::optional<std::string_view> refusal = asked->explain_rule(question, random, result);
    if (refusal) {
        result.refusal = std::string(*refusal);
        result.status = status_of(*refusal);
        return result;
    }
    asked->explain_placement(random, result);
    return result;
}

std::optional<std::string_view> caller_request::explain_rule(const explain_question& question,
                                                             const random_source& random,
                                                             explanation& result)
{
    const std::shared_ptr<const routing_table> table = owner_->table;
    if (owner_->refuses_callers(times_.started)) {
        return "stopping";
    }
    if (!table) {
        return "no_configuration";
    }
    result.version = version_ = table->version();
    rule_ = table->find(question.host, question.path);
    if (!rule_) {
        return owner_->versions.behind() ? "configuration_behind" : "unrouted";
    }
    result.rule = rule_->name;
    if (rule_->needs_key) {
        if (const std::optional<std::string_view> reason = owner_->refuse_keys()) {
            return reason;
        }
        tenant_ = table->tenants()->find(question.tenant);
        if (!tenant_) {
            return "unknown_tenant";
        }
        result.tenant = tenant_->name;
        result.tenant_rate_per_second = tenant_->rate_per_second;
        result.tenant_burst = tenant_->burst;
    }
    service_ = rule_->services[owner_->shares.peek(*rule_, random)].service;
    result.service = service_;
    const auto known = owner_->series.find(rule_->name);
    series_ = known == owner_->series.end() ? nullptr : known->second.get();
    const milliseconds caller_wait = question.deadline.value_or(rule_->timeout);
    attempt_age age = series_ == nullptr ? attempt_age() : series_->age;
    set_deadlines(caller_wait, age.record(caller_wait));
    if (caller_wait.count() <= 0) {
        return "deadline_passed";
    }
    const guard_check known_crash =
        owner_->guard.check(identity_of(exchange_->request()), times_.started);
    if (known_crash.state == suspicion::blocked) {
        return "crash_guard";
    }
    suspect_ = known_crash.state == suspicion::suspect;
    if (owner_->shutdown_timed_out) {
        return "stopping";
    }
    return std::nullopt;
}

void caller_request::explain_placement(const random_source& random, explanation& result) const
{
    result.time_left = time_left();
    result.time_to_objective = time_to_objective();
    const std::vector<destination> candidates = destinations();
    const std::vector<placement_candidate> loads = loads_of(candidates);
    const placement_choice choice =
        explain_upstream(loads, placement_properties(), owner_->settings.placement, random);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        result.candidates.push_back(
            {candidates[index].node, candidates[index].load, choice.terms[index]});
    }
    result.chosen = choice.chosen;
    result.reason = std::string(name_of(choice.reason));
    if (!choice.chosen) {
        result.refusal = "no_upstream";
        result.status = unavailable_status;
        return;
    }
    std::vector<placement_candidate> others = loads;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(*choice.chosen));
    result.second.delay = owner_->hedging.delay(service_, kind_of(rule_->name));
    const std::optional<second_refusal> refusal = refuse_second(
        others, 1, time_left() - result.second.delay.value_or(std::chrono::nanoseconds(0)));
    result.second.refusal = refusal ? std::string(name_of(*refusal)) : std::string();
}

} // namespace detail

explanation sidecar::explain(const explain_question& question) const
{
    return detail::caller_request::explain(impl_, question);
}

} // namespace agatespread
