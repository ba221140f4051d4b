#include "raw_upstream.h"
#include "sidecar_fixture.h"

#include <thread>

namespace agatespread::test {

namespace {

using std::chrono::milliseconds;

using sidecar_upstream = sidecar_fixture;

std::string id_of(const std::string& head)
{
    const std::size_t start = head.find("\r\nId: ") + 6;
    return head.substr(start, head.find('\r', start) - start);
}

std::string read_head(asio::ip::tcp::socket& socket)
{
    std::string head;
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
    return error ? std::string() : head;
}

std::string refusal_of(const std::string& id)
{
    const std::string id_line = id.empty() ? "" : "Id: " + id + "\r\n";
    return "HTTP/1.1 503 Busy\r\n" + id_line + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/// Sends a request that is refused and one that runs, on one connection to an upstream that writes
/// `repeated` before the response to the second one. Returns the second response's status.
int status_after_repeated_refusal(sidecar_fixture& test, const std::string& repeated,
                                  std::atomic<int>& runs)
{
    raw_upstream upstream([&runs, &repeated](asio::ip::tcp::socket& socket, int) {
        for (std::string head = read_head(socket); !head.empty(); head = read_head(socket)) {
            if (head.find("POST") != 0) {
                raw_upstream::write(socket, refusal_of(id_of(head)));
                continue;
            }
            if (id_of(head) == "1") {
                raw_upstream::write(socket, refusal_of("1"));
                continue;
            }
            ++runs;
            raw_upstream::write(socket, repeated + "HTTP/1.1 200 OK\r\nId: " + id_of(head) +
                                            "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    test.start(test.first, "a", "rounds", upstream.address());
    test.configure("1 1000 once rounds");
    EXPECT_TRUE(test.eventually_ready(test.first));
    test.send_heartbeat(test.first);
    EXPECT_EQ(test.send(test.first, "1", "POST").response.status, 503);
    const int status = test.send(test.first, "2", "POST").response.status;
    test.thread.call([&test] { test.first.node.reset(); });
    return status;
}

} // namespace

// Guards against "not run" for a request that an upstream has run, because it wrote the refusal of
// an earlier request once more.
TEST_F(sidecar_upstream, repeated_refusal_of_an_earlier_request_is_not_taken_for_a_response)
{
    std::atomic<int> runs{0};
    EXPECT_EQ(status_after_repeated_refusal(*this, refusal_of("1"), runs), 502);
    EXPECT_EQ(runs, 1);
}

// The same for a refusal that names no request.
TEST_F(sidecar_upstream, refusal_without_a_request_id_is_not_taken_for_a_response)
{
    std::atomic<int> runs{0};
    EXPECT_EQ(status_after_repeated_refusal(*this, refusal_of(""), runs), 502);
    EXPECT_EQ(runs, 1);
}

// Guards against a response whose head broke off that a caller gets as a whole one.
TEST_F(sidecar_upstream, response_that_ends_within_its_head_is_a_failure)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\nId: ?\r\nSignature: s\r\nContent-Type: text/plain\r\n"
        "Content-Length: 1000\r\n\r\n";
    std::atomic<std::size_t> cut{0};
    raw_upstream upstream([&head, &cut](asio::ip::tcp::socket& socket, int) {
        const std::string request = read_head(socket);
        if (request.find("GET /x/") != 0) {
            return;
        }
        std::string response = head;
        response.replace(response.find('?'), 1, id_of(request));
        raw_upstream::write(socket, response.substr(0, cut));
    });
    start(first, "a", "rounds", upstream.address());
    configure("1 1000 once rounds");
    ASSERT_TRUE(eventually_ready(first));
    for (cut = 1; cut < head.size(); ++cut) {
        send_heartbeat(first, "i-1", false, cut);
        EXPECT_EQ(send(first, "7").response.status, 502) << head.substr(0, cut);
    }
}

} // namespace agatespread::test
