#include "loop_thread.h"
#include "raw_upstream.h"
#include "recorded_exchange.h"

#include <agatespread/platform.h>
#include <agatespread/platform_server.h>
#include <agatespread/store.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <optional>

namespace agatespread {

namespace {

using testing::HasSubstr;

const std::string arbitrary_bytes("\x00\xff\xc3\x28 key", 8);

// Serves a handler over HTTP and creates a driver "http" for its address.
class http_platform_test : public testing::Test {
protected:
    void SetUp() override { serve(platform_handler(storage)); }

    void TearDown() override
    {
        thread.call([this] {
            driver.reset();
            server.reset();
        });
    }

    void serve(const http_handler& handler)
    {
        thread.call([this, &handler] {
            server = http_server::listen(thread.loop(), "127.0.0.1:0", {}, handler).value();
            connect(server->address());
        });
    }

    void connect(const std::string& address)
    {
        driver = registry<platform_factory>::instance().find("http")(thread.loop(), address);
    }

    void set_faults(const platform_faults& faults)
    {
        thread.call([this, &faults] { storage.set_faults(faults); });
    }

    // Starts a call on the loop thread and waits for its result.
    template <typename Result, typename Start>
    absl::StatusOr<Result> wait(Start start)
    {
        std::promise<absl::StatusOr<Result>> promise;
        thread.loop().post([&promise, &start] {
            start([&promise](absl::StatusOr<Result> result) {
                promise.set_value(std::move(result));
            });
        });
        return promise.get_future().get();
    }

    absl::StatusOr<transaction_result> commit(const transaction& request)
    {
        return wait<transaction_result>([&](const platform::callback<transaction_result>& done) {
            driver->commit(request, done);
        });
    }

    std::string write_reason()
    {
        return reason_of(commit({{}, {{"key", "value"}}}).status(), "platform");
    }

    absl::StatusOr<std::optional<std::string>> read(const std::string& key)
    {
        using value = std::optional<std::string>;
        return wait<value>([&](const platform::callback<value>& done) { driver->read(key, done); });
    }

    std::string read_reason() { return reason_of(read("key").status(), "platform"); }

    loop_thread thread;
    memory_platform storage{thread.loop()};
    std::unique_ptr<http_server> server;
    std::unique_ptr<platform> driver;
};

// Returns a handler that sends the same response to every request.
http_handler constant_handler(int status, const std::string& body)
{
    return [status, body](const std::shared_ptr<http_exchange>& exchange) {
        http_response response;
        response.status = status;
        response.body = body;
        exchange->respond(std::move(response));
    };
}

} // namespace

// Guards against keys and values that are altered in transit because they are not UTF-8 text.
TEST_F(http_platform_test, rows_with_arbitrary_bytes_are_unchanged)
{
    EXPECT_TRUE(commit({{{arbitrary_bytes, std::nullopt}}, {{arbitrary_bytes, arbitrary_bytes}}})
                    ->committed);
    EXPECT_EQ(read(arbitrary_bytes).value(), arbitrary_bytes);
    EXPECT_EQ(read("absent").value(), std::nullopt);
    const transaction_result refused = commit({{{arbitrary_bytes, "other"}}, {}}).value();
    ASSERT_EQ(refused.conflicts.size(), 1U);
    EXPECT_EQ(refused.conflicts[0].value, arbitrary_bytes);
    const absl::StatusOr<std::vector<row>> rows =
        wait<std::vector<row>>([&](const platform::callback<std::vector<row>>& done) {
            driver->scan(arbitrary_bytes.substr(0, 2), 5, done);
        });
    ASSERT_EQ(rows->size(), 1U);
    EXPECT_EQ(rows->front().key, arbitrary_bytes);
    EXPECT_TRUE(commit({{}, {{arbitrary_bytes, std::nullopt}}})->committed);
    EXPECT_EQ(read(arbitrary_bytes).value(), std::nullopt);
}

// Guards against objects that are altered in transit, and absent objects that are read as empty.
TEST_F(http_platform_test, objects_with_arbitrary_bytes_are_unchanged)
{
    EXPECT_TRUE(wait<bool>([&](const platform::callback<bool>& done) {
                    driver->put_object("id", arbitrary_bytes, done);
                }).ok());
    const auto get = [&](const std::string& id) {
        return wait<std::string>(
            [&](const platform::callback<std::string>& done) { driver->get_object(id, done); });
    };
    EXPECT_EQ(get("id").value(), arbitrary_bytes);
    EXPECT_EQ(reason_of(get("absent").status(), "platform"), "not_found");
}

// Guards against a write with a lost response that is reported as not executed, and the reverse.
TEST_F(http_platform_test, errors_tell_whether_the_write_was_executed)
{
    thread.call([this] { storage.inject_write_outcome(write_outcome::response_lost, 1); });
    EXPECT_EQ(write_reason(), "outcome_unknown");
    EXPECT_EQ(read("key").value(), "value");
    platform_faults faults;
    faults.down = true;
    set_faults(faults);
    EXPECT_EQ(write_reason(), "unavailable");
    EXPECT_EQ(read_reason(), "unavailable");
    faults.down = false;
    faults.writes_per_second = 1;
    faults.reads_per_second = 1;
    set_faults(faults);
    std::string reason;
    for (int i = 0; i < 1000 && reason != "overloaded"; ++i) {
        reason = write_reason();
    }
    EXPECT_EQ(reason, "overloaded");
}

// Guards against reporting a write as not executed because an intermediary returned an error.
TEST_F(http_platform_test, write_response_without_a_reason_is_outcome_unknown)
{
    for (const int status : {429, 503, 500, 404, 400, 200}) {
        serve(constant_handler(status, "<html>"));
        EXPECT_EQ(write_reason(), "outcome_unknown") << status;
        EXPECT_EQ(read_reason(), status == 200 ? "malformed" : "unavailable") << status;
    }
}

// Guards against reporting an unknown outcome although no byte of the request was sent.
TEST_F(http_platform_test, refused_connection_is_unavailable)
{
    // No process listens on the port after the server is destroyed.
    const std::string address = server->address();
    thread.call([this, &address] {
        server.reset();
        connect(address);
    });
    EXPECT_EQ(write_reason(), "unavailable");
    EXPECT_EQ(read_reason(), "unavailable");
}

// Guards against a write that is reported as not executed although the platform received it.
TEST_F(http_platform_test, connection_lost_after_sending_is_outcome_unknown)
{
    std::atomic<int> connections{0};
    const raw_upstream closing([&connections](asio::ip::tcp::socket& socket, int) {
        ++connections;
        char piece[4096];
        asio::error_code ignored;
        socket.read_some(asio::buffer(piece), ignored);
    });
    thread.call([this, &closing] { connect(closing.address()); });
    EXPECT_EQ(write_reason(), "outcome_unknown");
    EXPECT_EQ(read_reason(), "unavailable");
    EXPECT_EQ(connections, 2);
}

// Guards against a driver that hides a lost response from the commit protocol, which then cannot
// find out whether its write was applied.
TEST_F(http_platform_test, store_resolves_a_lost_response)
{
    thread.call([this] {
        storage.inject_write_outcome(write_outcome::answered, 2);
        storage.inject_write_outcome(write_outcome::response_lost, 1);
    });
    const std::unique_ptr<config_store> store = std::make_unique<config_store>(*driver);
    const absl::StatusOr<accepted_change> result =
        wait<accepted_change>([&](const config_store::callback<accepted_change>& done) {
            store->commit({"c1", "nile-soy/rounds", "operator-1", "{}", {}, {}}, done);
        });
    ASSERT_TRUE(result.ok()) << result.status();
    EXPECT_EQ(result->accepted.version, 1U);
}

// Guards against a platform server that crashes on, or accepts, a truncated request body.
TEST(platform_server, truncated_bodies_are_refused)
{
    manual_timer_service timers;
    memory_platform storage(timers);
    const http_handler handler = platform_handler(storage);
    const std::string body("\xa2\x66"
                           "prefix\x42v/\x65"
                           "limit\x05",
                           18);
    for (std::size_t size = 0; size <= body.size(); ++size) {
        const std::shared_ptr<recorded_exchange> exchange =
            std::make_shared<recorded_exchange>("POST", "/v1/scan", body.substr(0, size));
        handler(exchange);
        EXPECT_EQ(exchange->recorded_response.status, size == body.size() ? 200 : 400) << size;
    }
}

// Guards against a misspelled fault name, which would let a fault-injection test pass without any
// fault.
TEST(platform_server, faults_are_applied_only_if_all_are_valid)
{
    manual_timer_service timers;
    memory_platform storage(timers);
    const http_handler handler = platform_handler(storage);
    const auto post = [&handler](const std::string& body) {
        const std::shared_ptr<recorded_exchange> exchange =
            std::make_shared<recorded_exchange>("POST", "/v1/faults", body);
        handler(exchange);
        return exchange->recorded_response;
    };
    EXPECT_EQ(post(R"({"down": true, "slow": 5})").status, 400);
    EXPECT_THAT(post(R"({"down": true, "delay_ms": "5"})").body, HasSubstr("delay_ms"));
    EXPECT_EQ(post("[]").status, 400);
    EXPECT_FALSE(storage.faults().down);
    EXPECT_EQ(post(R"({"down": true, "delay_ms": 5, "corrupt_objects": ["a"]})").status, 200);
    EXPECT_TRUE(storage.faults().down);
    EXPECT_EQ(storage.faults().delay, std::chrono::milliseconds(5));
    EXPECT_EQ(storage.faults().corrupt_objects, std::set<std::string>({"a"}));
}

} // namespace agatespread
