#pragma once

#include "control_plane.h"
#include "data_plane.h"

#include <agatespread/event_loop.h>
#include <agatespread/http.h>
#include <agatespread/kernel.h>
#include <agatespread/metrics.h>
#include <agatespread/operator_auth.h>
#include <agatespread/settings.h>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace agatespread {

/// The address and state that the upstream of this target announced.
struct upstream_announcement {
    std::string address;
    upstream_record record;
};

/// The parts of a node that operator endpoints use; accessed on the control thread only.
struct operator_context {
    const node_settings& settings;
    event_loop& loop;
    metrics& metric_registry;
    control_plane& control;
    data_plane& data_path;
    random_source random;
    std::function<std::chrono::system_clock::time_point()> wall_clock;
    std::function<bool()> ready;
    std::function<void(const upstream_announcement&)> announce;
};

/// A request to the operator API, with its decoded query parameters.
struct operator_call {
    std::shared_ptr<http_exchange> exchange;
    std::map<std::string, std::string> query;
};

/// An endpoint that requires no signature; registered as "METHOD /path".
using open_endpoint = void(operator_context& context, const operator_call& call);

/// An endpoint that requires a signature and receives the key that signed the call; registered as
/// "METHOD /path". It has a separate registry, so that no request line can match it as an open
/// endpoint.
using signed_endpoint = void(operator_context& context, const operator_call& call,
                             const operator_key& caller);

/// Responds with a JSON body.
void respond_json(http_exchange& exchange, int status, const nlohmann::json& body);

/// Responds with an error of the form `{"error": {"reason", "message"}}`.
void respond_error(http_exchange& exchange, int status, std::string_view reason,
                   std::string_view text);

/// Responds with the HTTP status and reason that correspond to an error of the library.
void respond_status(http_exchange& exchange, const absl::Status& error);

/// Routes calls to their endpoints and verifies the signature where one is required.
class operator_server {
public:
    explicit operator_server(operator_context context);

    /// Handles a request that arrived on the operator port.
    void handle(const std::shared_ptr<http_exchange>& exchange);

private:
    void handle_signed(const operator_call& call, const std::function<signed_endpoint>& endpoint);

    operator_context context_;
    operator_authenticator authenticator_;
};

} // namespace agatespread
