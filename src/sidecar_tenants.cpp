#include "sidecar_impl.h"

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

// Interval at which a node that does not read the platform itself asks for a younger proof, and the
// age from which it does.
constexpr milliseconds proof_period{500};
constexpr milliseconds young_proof{1000};

constexpr milliseconds unknown_age = std::chrono::hours(1);

} // namespace

std::optional<std::string_view> sidecar::impl::refuse_keys() const
{
    if (!keeps_proof() || proof.younger_than(settings.revocation_bound, settings.boot_now())) {
        return std::nullopt;
    }
    return "configuration_stale";
}

void sidecar::impl::count_tenant_request(const std::string& tenant, std::string_view result)
{
    tenant_requests.add({{"tenant", tenant}, {"result", std::string(result)}});
}

void sidecar::impl::schedule_proof()
{
    if (keeps_proof()) {
        proof_timer = loop.every(proof_period, [this](time_point now) { renew_proof(now); });
    }
}

void sidecar::impl::renew_proof(time_point now)
{
    const boot_clock::time_point boot_now = settings.boot_now();
    counters.proof_age.set(proof.age(boot_now).value_or(milliseconds(0)).count());
    log_keys_state();
    if (!table || proof.younger_than(young_proof, boot_now)) {
        return;
    }
    const std::optional<peer_entry> peer = known_peers.proof_source(random, now);
    if (peer) {
        send_datagram(*peer, encode(proof.ask(settings.node, random(), boot_now)), "proof");
    }
}

void sidecar::impl::log_keys_state()
{
    const bool refused = table && table->has_tenants() && refuse_keys().has_value();
    if (refused != keys_refused) {
        keys_refused = refused;
        log.change(refused ? "keys_refused" : "keys_accepted",
                   {{"version", versions.in_force()},
                    {"proof_age", proof.age(settings.boot_now()).value_or(unknown_age)},
                    {"bound", settings.revocation_bound}});
    }
}

void sidecar::impl::receive_message(std::string_view type, std::string_view bytes)
{
    if (type == proof_question_type) {
        answer_proof_question(bytes);
    }
    else if (type == proof_answer_type) {
        receive_proof_answer(bytes);
    }
    else if (type == quota_ask_type) {
        receive_quota_ask(bytes);
    }
    else if (type == quota_grant_type) {
        receive_quota_grant(bytes);
    }
    else {
        counters.reports_malformed.add();
    }
}

void sidecar::impl::answer_proof_question(std::string_view bytes)
{
    const absl::StatusOr<proof_question> question = decode_proof_question(bytes);
    if (!question.ok()) {
        counters.reports_malformed.add();
        return;
    }
    const std::optional<peer_entry> peer = known_peers.find(question->node);
    const std::optional<milliseconds> age = proof.age(settings.boot_now());
    if (peer && age && table) {
        send_datagram(*peer, encode(proof_answer{question->nonce, table->version(), *age}),
                      "proof");
    }
}

void sidecar::impl::receive_proof_answer(std::string_view bytes)
{
    const absl::StatusOr<proof_answer> answer = decode_proof_answer(bytes);
    if (!answer.ok()) {
        counters.reports_malformed.add();
        return;
    }
    proof.receive(*answer, versions.in_force(), settings.boot_now());
    log_keys_state();
}

} // namespace agatespread
