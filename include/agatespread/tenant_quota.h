#pragma once

#include <agatespread/base.h>
#include <agatespread/boot_clock.h>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatespread {

/// The bound of a tenant's requests: in any window of length W at most
/// (rate * W + burst) * (1 + overage) + slack of them run on all nodes together.
struct quota_options {
    std::chrono::milliseconds window = std::chrono::seconds(5);
    double overage = 0.1;
    double slack = 20; ///< Requests.
};

/// The quota of one tenant over all nodes.
struct quota_limit {
    std::string tenant;
    double rate_per_second = 0;
    double burst = 0;
};

/// Tokens of one tenant that a node needs.
struct quota_need {
    std::string tenant;
    std::uint32_t waiting = 0; ///< For requests that wait.
    std::uint32_t ahead = 0;   ///< For the requests expected until the next message.
};

/// The message in which a member lends its share to the keeper and asks for tokens.
struct quota_ask {
    node_id node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t timestamp = 0; ///< The keeper's latest one; 0 for none.
    bool lends = false;
    std::vector<quota_need> needs;
};

/// Tokens of one tenant that a keeper grants.
struct quota_given {
    std::string tenant;
    std::uint32_t tokens = 0;
    std::chrono::milliseconds next{0}; ///< Time until there is room for a further request.
};

/// The response to a `quota_ask`. A tenant that the keeper does not know is left out.
struct quota_grant {
    node_id node;                  ///< The keeper.
    std::uint64_t incarnation = 0; ///< Of the member.
    std::uint64_t sequence = 0;    ///< Of the message that is answered.
    std::uint64_t timestamp = 0;   ///< The keeper's clock in nanoseconds.
    bool holds = false;            ///< The keeper holds the member's share.
    std::vector<quota_given> given;
};

/// The types of the messages between nodes, see `detail::message_type`.
inline constexpr std::string_view quota_ask_type = "quota_ask";
inline constexpr std::string_view quota_grant_type = "quota_grant";

std::string encode(const quota_ask& ask);
std::string encode(const quota_grant& grant);
/// Decode a message; the error names the first field that is missing or invalid.
absl::StatusOr<quota_ask> decode_quota_ask(std::string_view bytes);
absl::StatusOr<quota_grant> decode_quota_grant(std::string_view bytes);

/// Another node of the own failure domain that takes part in quotas and does not stop.
struct quota_candidate {
    node_id node;
    std::chrono::nanoseconds heard_ago{0}; ///< Time since its last message.
};

/// The right to run one request of a tenant.
struct quota_token {
    std::string tenant;
    boot_clock::time_point expires; ///< Until then it can be returned.
};

/// The result for a request that waited for a token.
struct quota_outcome {
    std::uint64_t id = 0;
    std::optional<quota_token> token;
    bool exhausted = false; ///< Without a token: the quota is used up, rather than not known.
    std::chrono::milliseconds retry_after{0};
};

/// A message to be sent.
struct quota_message {
    node_id to;
    quota_ask ask;
};

/// One node's part in the quotas of tenants over all nodes.
///
/// Load pattern: 60 nodes serve tenants of 2 to 400 requests a second, so that the share of one
/// node is often below one request. Each node owns 1/N of every quota and lends it to one node of
/// its failure domain, the keeper, which grants whole tokens out of the shares it was lent.
///
/// Failure: a keeper or a member is killed, frozen, restarted or cut off. A share accrues at one
/// place at a time, because a loan ends at the keeper before it ends at the lender. Tokens may thus
/// be lost but are never duplicated.
///
///     tenant_quota quota("cairo-1", incarnation, {}, now);
///     quota.set_limits({{"reader", 40, 40}}, now);
///     quota.set_mesh(60, candidates, now);
///     std::optional<quota_token> token = quota.take("reader", now);
class tenant_quota {
public:
    using time = boot_clock::time_point;

    /// `started` is the start of the process; a loan of its predecessor may still last.
    tenant_quota(node_id own, std::uint64_t incarnation, const quota_options& options,
                 time started);

    /// Sets the limits of the version in force; a tenant that is new begins without tokens.
    void set_limits(const std::vector<quota_limit>& limits, time now);

    /// Sets the number of nodes, 0 if it is not known, and chooses the keeper. Called about four
    /// times a second; after a longer pause the number does not fall for some time, because a
    /// process that was frozen has heard of nobody.
    void set_mesh(std::size_t nodes, const std::vector<quota_candidate>& candidates, time now);

    /// Gives up the own share, because the other nodes no longer count this one.
    void stop(time now);

    bool active() const { return !buckets_.empty(); }

    /// Returns whether a tenant has a quota.
    bool limits(const std::string& tenant) const { return buckets_.count(tenant) > 0; }

    /// Counts a request and returns a token for it if there is one.
    std::optional<quota_token> take(const std::string& tenant, time now);

    /// Lets a request wait that found no token; `take_outcomes` returns its result.
    void wait(const std::string& tenant, std::uint64_t id, time now);

    /// Takes back the token of a request that has not run.
    void give_back(const quota_token& token, time now);

    /// Returns the next message if it is due.
    std::optional<quota_message> next_message(time now);

    /// Handles a member's message. Returns nothing for a repeated one.
    std::optional<quota_grant> answer(const quota_ask& ask, time now);

    /// Handles a keeper's response. Returns false if it answers no open message.
    bool receive(const quota_grant& grant, time now);

    /// Returns the results of requests that waited, also of those that waited too long.
    std::vector<quota_outcome> take_outcomes(time now);

    std::size_t waiting() const { return waiting_; }
    /// Returns the keeper, or an empty text if it is this node.
    const node_id& keeper() const { return keeper_; }
    /// Returns the number of shares that this node can spend.
    std::size_t shares() const { return loans_.size() + (has_share_ ? 1 : 0); }
    std::size_t nodes() const { return nodes_; }

private:
    struct waiter {
        std::uint64_t id = 0;
        time since;
        std::uint64_t asked_in = 0; ///< Sequence number of the latest message; 0 for none.
    };

    struct bucket {
        double rate = 0;     ///< Tokens per second, over all nodes.
        double capacity = 0; ///< Over all nodes.
        double level = 0;
        double promised = 0; ///< Refused requests that were told to come back for later tokens.
        time settled;
        std::deque<time> granted; ///< Expiry of tokens from a keeper or returned, ascending.
        double expected = 0;      ///< Mean number of requests in one period.
        std::uint32_t arrived = 0;
        std::deque<waiter> waiters;
    };

    struct member {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time last;
        std::deque<std::uint64_t> replaced; ///< Earlier incarnations, whose messages are late.
    };

    struct open_ask {
        std::uint64_t sequence = 0;
        node_id keeper;
        time sent;
        bool renews = false; ///< Its response brings the timestamp of the next loan.
    };

    double fraction() const;
    void settle(bucket& subject, time now) const;
    void settle_all(time now);
    /// Ends loans that have expired, and begins to use the own share once no keeper may hold it.
    void advance(time now);
    void end_loan(const node_id& lender, time at);
    bool may_lend(time now) const;
    bool may_release() const;
    quota_message make_message(const node_id& to, time now);
    bool is_due(time now) const;
    void update_expectations(time now);
    bool is_unanswered(time now) const;
    void choose_keeper(const std::vector<quota_candidate>& candidates, time now);
    bool accepts(const quota_ask& ask, time now);
    std::optional<time> draw(bucket& subject, time now);
    std::chrono::milliseconds time_to_next(const bucket& subject) const;
    std::vector<quota_need> needs(bool with_expected, time now);
    quota_given give(bucket& subject, const quota_need& need, time now);
    void serve_waiters(const std::string& tenant, bucket& subject, time now);
    void refuse(bucket& subject, std::uint64_t up_to, std::chrono::milliseconds retry_after);
    std::chrono::nanoseconds validity() const;

    const node_id own_;
    const std::uint64_t incarnation_;
    const quota_options options_;
    const time started_;
    std::map<std::string, bucket> buckets_;
    std::size_t nodes_ = 0;
    time mesh_updated_;             ///< The last call of `set_mesh`; the epoch for none.
    time nodes_kept_until_;         ///< Until then `nodes_` does not fall.
    std::map<node_id, time> loans_; ///< To this node, with their ends.
    time next_loan_end_ = time::max();
    std::map<node_id, member> members_;
    bool has_share_ = false; ///< The own share accrues here.
    time share_from_;        ///< Until then a keeper may hold the own share.
    bool stopping_ = false;
    node_id keeper_;    ///< Empty for this node.
    node_id lent_to_;   ///< The keeper of the latest loan.
    bool lent_ = false; ///< The last message to `lent_to_` lent the share.
    std::uint64_t sequence_ = 0;
    std::uint64_t release_ = 0;   ///< Sequence number of the message that ended the latest loan.
    std::uint64_t timestamp_ = 0; ///< The keeper's latest; 0 for none.
    std::uint64_t timestamp_sequence_ = 0;
    time timestamp_received_;
    time asked_at_;
    time expectations_updated_;
    std::deque<open_ask> open_;
    std::uint32_t unanswered_ = 0; ///< Messages to the keeper since its last response.
    time unanswered_since_;
    std::map<node_id, time> silent_; ///< Keepers that did not respond, and since when.
    std::size_t waiting_ = 0;
    std::vector<quota_outcome> outcomes_;
};

} // namespace agatespread
