#include "message_fields.h"

#include <agatespread/version_proof.h>

#include <algorithm>
#include <utility>

namespace agatespread {

using std::chrono::milliseconds;

namespace {

// An older proof is of no use to any deployment, and larger numbers could overflow.
constexpr milliseconds longest_age = std::chrono::hours(1);

} // namespace

std::string encode(const proof_question& question)
{
    return detail::to_bytes(
        {{"#", proof_question_type}, {"n", question.node}, {"x", question.nonce}});
}

std::string encode(const proof_answer& answer)
{
    return detail::to_bytes({{"#", proof_answer_type},
                             {"x", answer.nonce},
                             {"v", answer.in_force},
                             {"a", static_cast<std::uint64_t>(answer.age.count())}});
}

absl::StatusOr<proof_question> decode_proof_question(std::string_view bytes)
{
    detail::message_fields fields(bytes);
    proof_question question;
    fields.read("n", question.node);
    fields.read("x", question.nonce);
    if (!fields.first_invalid().empty()) {
        return detail::malformed_message(fields.first_invalid());
    }
    return question;
}

absl::StatusOr<proof_answer> decode_proof_answer(std::string_view bytes)
{
    detail::message_fields fields(bytes);
    proof_answer answer;
    std::uint64_t age = 0;
    fields.read("x", answer.nonce);
    fields.read("v", answer.in_force);
    fields.read("a", age);
    if (!fields.first_invalid().empty()) {
        return detail::malformed_message(fields.first_invalid());
    }
    if (age > static_cast<std::uint64_t>(longest_age.count())) {
        return detail::malformed_message("a");
    }
    answer.age = milliseconds(age);
    return answer;
}

void version_proof::confirm(boot_clock::time_point asked_at)
{
    proven_ = std::max(proven_.value_or(asked_at), asked_at);
}

proof_question version_proof::ask(node_id own, std::uint64_t nonce, boot_clock::time_point now)
{
    open_nonce_ = std::max<std::uint64_t>(nonce, 1);
    asked_at_ = now;
    return {std::move(own), open_nonce_};
}

bool version_proof::receive(const proof_answer& answer, config_version in_force,
                            boot_clock::time_point now)
{
    if (answer.nonce == 0 || answer.nonce != open_nonce_) {
        return false;
    }
    open_nonce_ = 0;
    if (answer.in_force > in_force || asked_at_ > now) {
        return false;
    }
    confirm(asked_at_ - answer.age);
    return true;
}

std::optional<milliseconds> version_proof::age(boot_clock::time_point now) const
{
    if (!proven_) {
        return std::nullopt;
    }
    // Rounded up, because an age that is passed on must not be too low.
    return std::chrono::ceil<milliseconds>(now - *proven_);
}

bool version_proof::younger_than(milliseconds bound, boot_clock::time_point now) const
{
    return proven_ && now - *proven_ < bound;
}

} // namespace agatespread
