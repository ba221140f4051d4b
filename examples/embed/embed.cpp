// Embeds the library: validates a subtree, builds a snapshot from it, and serves and sends an HTTP
// request.
#include <agatespread/base.h>
#include <agatespread/event_loop.h>
#include <agatespread/http.h>
#include <agatespread/tree.h>

#include <iostream>
#include <memory>
#include <string>

using agatespread::event_loop;
using agatespread::http_call;
using agatespread::http_client;
using agatespread::http_exchange;
using agatespread::http_outcome;
using agatespread::http_response;
using agatespread::http_result;
using agatespread::http_server;

namespace {

constexpr const char* document = R"(
services:
  - name: rounds
    tenant: nile-soy
clusters:
  - name: rounds-all
    service: rounds
    policy: least_loaded
routes:
  - service: rounds
    prefix: /stops
    cluster: rounds-all
    class: stop-list
    timeout: 800ms
classes:
  - name: stop-list
    priority: 0
    deadline: 1s
)";

bool print_route_count()
{
    const absl::StatusOr<std::string> canonical =
        agatespread::canonical_subtree(document, "rounds.yaml");
    if (!canonical.ok()) {
        std::cerr << canonical.status().message() << '\n';
        return false;
    }
    const absl::StatusOr<std::shared_ptr<const agatespread::snapshot>> config =
        agatespread::build_snapshot({{"nile-soy/rounds", *canonical}}, 1, "example");
    if (!config.ok()) {
        std::cerr << config.status().message() << '\n';
        return false;
    }
    std::cout << "routes: " << (*config)->routes().size() << '\n';
    return true;
}

bool send_request()
{
    event_loop loop;
    const absl::StatusOr<std::unique_ptr<http_server>> server = http_server::listen(
        loop, "127.0.0.1:0", {}, [](const std::shared_ptr<http_exchange>& exchange) {
            http_response response;
            response.body = "answer to " + exchange->request().target;
            exchange->respond(std::move(response));
        });
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        return false;
    }
    http_client client(loop);
    http_call call;
    call.url = "http://" + (*server)->address() + "/stops";
    bool answered = false;
    client.send(std::move(call), [&](const http_result& result) {
        answered = result.outcome == http_outcome::answered;
        std::cout << result.response.body << '\n';
        loop.stop();
    });
    loop.run();
    return answered;
}

} // namespace

int main()
{
    std::cout << "agatespread " << agatespread::library_version() << '\n';
    return print_route_count() && send_request() ? 0 : 1;
}
