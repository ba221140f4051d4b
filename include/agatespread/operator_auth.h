#pragma once

#include <agatespread/base.h>
#include <agatespread/http.h>
#include <agatespread/settings.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespread {

/// The maximum difference between the clocks of an operator and a node.
inline constexpr std::chrono::seconds max_clock_skew{60};

/// The default number of accepted calls that a node stores for replay detection. A call is stored
/// for two minutes, which is twice the maximum clock skew.
inline constexpr std::size_t max_replay_cache_size = 100000;

/// Signs a call with HMAC-SHA256 by setting its `Authorization` header.
///
/// The signature covers the method, the target, the time, the nonce and the SHA-256 of the body.
///
///     sign_operator_call(request, "alice", secret, std::chrono::system_clock::now(), random);
void sign_operator_call(http_request& request, std::string_view key_id, std::string_view secret,
                        std::chrono::system_clock::time_point now, const random_source& random);

/// Returns whether a key may change a subtree.
bool may_change(const operator_key& key, std::string_view subtree);

/// Verifies the signatures of operator calls and rejects replays; not thread-safe.
///
/// Each node detects only replays of calls that it accepted itself. At other nodes, a replay within
/// the clock skew has no further effect: an apply is idempotent by its change id, and so is a
/// drain.
class operator_authenticator {
public:
    /// Stores at most `capacity` accepted calls; when full, rejects calls until old ones expire.
    explicit operator_authenticator(std::vector<operator_key> keys,
                                    std::size_t capacity = max_replay_cache_size);

    /// Returns the key that signed the call; errors carry the layer "operator" and the reason
    /// "unauthorized".
    absl::StatusOr<operator_key> check(const http_request& request,
                                       std::chrono::system_clock::time_point now);

private:
    using unix_time = std::chrono::seconds;

    absl::Status record_call(const std::string& call, unix_time now);

    std::map<std::string, operator_key> keys_;
    std::size_t capacity_;
    std::set<std::string> accepted_calls_; ///< As "key id/nonce".
    std::set<std::pair<unix_time, std::string>>
        expirations_; ///< The same calls by expiration time.
};

} // namespace agatespread
