#include "sidecar_fixture.h"

#include <agatespread/peers.h>

#include <thread>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

/// A node whose upstream answers each request with status 500.
struct sidecar_runs_test : test::sidecar_fixture {
    sidecar_runs_test()
    {
        adjust_dialect = [this](sidecar_dialect& dialect) {
            const auto read = dialect.read_configuration;
            dialect.read_configuration = [this,
                                          read](std::string_view text) -> decltype(read(text)) {
                absl::StatusOr<std::shared_ptr<const routing_table>> plain = read(text);
                if (!plain.ok()) {
                    return plain;
                }
                const std::shared_ptr<routing_table> table =
                    std::make_shared<routing_table>((*plain)->version(), caller_limits());
                route_rule rule = *(*plain)->find("mesh.example", "/x/1");
                rule.uploads = uploads;
                const absl::Status added = table->add("mesh.example", std::move(rule));
                return added.ok() ? absl::StatusOr<std::shared_ptr<const routing_table>>(table)
                                  : added;
            };
        };
    }

    /// Returns how many of some requests are refused with a `Retry-After` before they run.
    int count_refusals()
    {
        adjust_settings = [this](sidecar_settings& settings) {
            report_address = settings.report_address;
        };
        start(first, "a", "rounds");
        thread.call([this] {
            first.serve = [](const std::shared_ptr<http_exchange>& exchange) {
                http_response response = test::make_response(exchange->request());
                response.status = 500;
                exchange->respond(std::move(response));
            };
        });
        configure("1 2000 once rounds");
        EXPECT_TRUE(eventually_ready(first));
        send_heartbeat(first);
        int count = 0;
        for (int request = 0; request < 200; ++request) {
            if (others_lose_runs) {
                report_lost_runs(static_cast<std::uint64_t>(request) + 1);
            }
            const http_result result = send(first, std::to_string(request));
            const bool refused = result.response.body == "runs_fail\n";
            EXPECT_TRUE(!refused || result.response.headers.contains("Retry-After"));
            count += refused ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(5));
        }
        return count;
    }

    /// Reports, as another node, that runs were lost because their calls were refused for load.
    void report_lost_runs(std::uint64_t sequence) const
    {
        peer_report report;
        report.entry = {"b", "cairo", "rounds", "127.0.0.1:1", "127.0.0.1:1"};
        report.incarnation = 1;
        report.sequence = sequence;
        report.state = upstream_state::draining;
        report.runs = {{kind_of("all"), 100, 40, 0, 0}};
        const std::string bytes = encode_report(report);
        asio::io_context context;
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        const std::size_t colon = report_address.find(':');
        const int port = std::stoi(report_address.substr(colon + 1));
        socket.send_to(asio::buffer(bytes),
                       {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)});
    }

    bool uploads = true;
    bool others_lose_runs = false;
    std::string report_address;
};

} // namespace

// Guards against runs that are started and lost, although other nodes report that the service they
// call has no room.
TEST_F(sidecar_runs_test, runs_that_lose_their_calls_to_load_are_not_started)
{
    others_lose_runs = true;
    EXPECT_GT(count_refusals(), 20);
}

// Guards against requests that are refused while slots are free, because runs fail for a reason
// that does not depend on the load: most tile reads of loaded days were refused for errors, cut off
// nodes and slow links.
TEST_F(sidecar_runs_test, runs_that_fail_by_themselves_refuse_no_requests)
{
    EXPECT_EQ(count_refusals(), 0);
}

// Guards against refusals where the configuration does not call for them.
TEST_F(sidecar_runs_test, all_runs_are_started_without_tenants_and_uploads)
{
    uploads = false;
    others_lose_runs = true;
    EXPECT_EQ(count_refusals(), 0);
}

} // namespace agatespread
