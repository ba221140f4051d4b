#pragma once

#include <agatespread/base.h>
#include <agatespread/boot_clock.h>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agatespread {

/// A question to a peer for its proof.
struct proof_question {
    node_id node;            ///< That asks.
    std::uint64_t nonce = 0; ///< Random; repeated in the answer.
};

/// The answer to a `proof_question`.
struct proof_answer {
    std::uint64_t nonce = 0;
    config_version in_force = 0;      ///< At the peer.
    std::chrono::milliseconds age{0}; ///< Of the peer's proof when the answer was sent.
};

/// The types of the messages between nodes, see `detail::message_type`.
inline constexpr std::string_view proof_question_type = "proof_ask";
inline constexpr std::string_view proof_answer_type = "proof";

std::string encode(const proof_question& question);
std::string encode(const proof_answer& answer);
/// Decode a message; the error names the first field that is missing or invalid.
absl::StatusOr<proof_question> decode_proof_question(std::string_view bytes);
absl::StatusOr<proof_answer> decode_proof_answer(std::string_view bytes);

/// The latest moment for which a node knows that every version acknowledged before is at most the
/// version in force.
///
/// Failure: a node is cut off when a key is revoked. As nothing tells it of the new version, it
/// must stop serving keys once its proof is older than the bound of revocations. A proof comes from
/// a poll of the platform, or from a peer that has one; the moment counts at which the poll or the
/// question was sent, so that no delay on the way makes a proof appear younger than it is.
class version_proof {
public:
    /// Applies a poll of the platform that was sent at `asked_at` and whose changes are in force.
    void confirm(boot_clock::time_point asked_at);

    /// Returns a question with the given nonce; an earlier one without an answer is given up.
    proof_question ask(node_id own, std::uint64_t nonce, boot_clock::time_point now);

    /// Applies an answer. Returns false if it answers no open question, or if the peer has a
    /// version above `in_force`, whose content this node does not know.
    bool receive(const proof_answer& answer, config_version in_force, boot_clock::time_point now);

    /// Returns the age of the proof, or nothing without any.
    std::optional<std::chrono::milliseconds> age(boot_clock::time_point now) const;

    /// Returns whether the proof is younger than `bound`.
    bool younger_than(std::chrono::milliseconds bound, boot_clock::time_point now) const;

private:
    std::optional<boot_clock::time_point> proven_;
    std::uint64_t open_nonce_ = 0; ///< 0 for none.
    boot_clock::time_point asked_at_;
};

} // namespace agatespread
