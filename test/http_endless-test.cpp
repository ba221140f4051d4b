#include "loop_thread.h"
#include "raw_upstream.h"

#include <agatespread/http.h>

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

/// What an upstream sends: a start, and then the same bytes again until the caller closes.
struct endless_bytes {
    const char* name;
    std::string start;
    std::string repeated;
};

std::string padding(std::size_t bytes)
{
    return std::string(bytes, 'x');
}

std::vector<endless_bytes> endless_heads()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    return {
        {"no status line, one line", "", padding(4096)},
        {"no status line, many lines", "", "no answer\r\n"},
        {"zeros", "", std::string(4096, '\0')},
        {"empty lines", "", "\r\n"},
        {"status line", "HTTP/1.1 200 ", padding(4096)},
        {"name of a field", ok, padding(4096)},
        {"value of a field", ok + "Field: ", padding(4096)},
        {"fields", ok, "Field: " + padding(1000) + "\r\n"},
        {"short fields", ok, "a:b\r\n"},
        {"folded lines", ok + "Field: a\r\n", " " + padding(100) + "\r\n"},
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
        {"empty interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    };
}

std::vector<endless_bytes> endless_bodies()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"body without a length", ok + "\r\n", padding(65536)},
        {"body with a length", ok + "Content-Length: 900000000000\r\n\r\n", padding(65536)},
        {"chunks", chunked, "1000\r\n" + padding(4096) + "\r\n"},
        {"chunks of one byte", chunked, "1\r\nx\r\n"},
        {"size of a chunk", chunked, std::string(4096, '0')},
        {"trailer fields", chunked + "0\r\n", "Field: " + padding(1000) + "\r\n"},
        {"trailer field", chunked + "0\r\nField: ", padding(4096)},
        {"bytes behind a body", ok + "Content-Length: 2\r\n\r\nok", padding(65536)},
        {"bytes behind the last chunk", chunked + "0\r\n\r\n", padding(65536)},
        {"body of a status without one", "HTTP/1.1 204 No Content\r\n\r\n", padding(65536)},
    };
}

std::size_t resident_bytes()
{
    std::ifstream status("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    status >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

constexpr std::size_t max_response_bytes = 1U << 20U;

// The socket buffers of both ends hold a few megabytes each.
constexpr std::size_t socket_buffers = 16U << 20U;

/// Sends one request to an upstream that answers with endless bytes.
void check_is_cut_off(const endless_bytes& answer)
{
    SCOPED_TRACE(answer.name);
    std::string part;
    while (part.size() < 65536) {
        part += answer.repeated;
    }
    std::atomic<std::size_t> sent{0};
    std::atomic<bool> closed{false};
    raw_upstream upstream([&](asio::ip::tcp::socket& socket, int) {
        raw_upstream::read_request(socket);
        raw_upstream::write(socket, answer.start);
        asio::error_code error;
        // An upstream that is never cut off ends here, so that the test ends as well.
        while (!error && sent < 64 * socket_buffers) {
            sent += asio::write(socket, asio::buffer(part), error);
        }
        closed = true;
    });
    loop_thread thread;
    std::unique_ptr<http_client> client;
    thread.call([&] { client = std::make_unique<http_client>(thread.loop()); });
    const std::size_t resident_before = resident_bytes();
    std::promise<http_result> promise;
    thread.loop().post([&] {
        http_call call;
        call.url = "http://" + upstream.address() + "/";
        call.timeout = milliseconds(5000);
        call.max_response_bytes = max_response_bytes;
        call.allow_close_delimited_body = true;
        client->send(std::move(call),
                     [&promise](http_result end) { promise.set_value(std::move(end)); });
    });
    const http_result result = promise.get_future().get();
    EXPECT_LE(result.response.body.size(), max_response_bytes);
    EXPECT_LT(resident_bytes(), resident_before + max_response_bytes + socket_buffers);
    // What follows a complete response stays unread, and ends with the connection.
    thread.call([&client] { client.reset(); });
    EXPECT_TRUE(thread.eventually([&closed] { return closed.load(); }));
    EXPECT_LT(sent, max_response_bytes + socket_buffers);
}

} // namespace

// Guards against a node that keeps, or reads until its deadline, what an upstream sends without end
// in place of the head of a response.
TEST(http_endless, heads_are_cut_off)
{
    for (const endless_bytes& each : endless_heads()) {
        check_is_cut_off(each);
    }
}

// Guards against the same in and behind the body of a response.
TEST(http_endless, bodies_are_cut_off)
{
    for (const endless_bytes& each : endless_bodies()) {
        check_is_cut_off(each);
    }
}

// Guards against the same in the extension of a chunk, which the client library reads and drops
// without passing on a byte.
TEST(http_endless, chunk_extension_is_cut_off)
{
    check_is_cut_off({"extension of a chunk",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", padding(4096)});
}

} // namespace agatespread
