#include "loop_thread.h"
#include "table_store.h"

#include <gtest/gtest.h>

#include <deque>
#include <future>

namespace agatespread::adapter {

namespace {

/// Serves enqueued responses and records the requests; responds with 503 when none is left.
struct platform_store : ::testing::Test {
    void SetUp() override
    {
        thread.call([this] {
            server = http_server::listen(thread.loop(), "127.0.0.1:0", {},
                                         [this](const std::shared_ptr<http_exchange>& exchange) {
                                             serve(*exchange);
                                         })
                         .value();
            store = std::make_unique<table_store>(thread.loop(), server->address());
        });
    }

    void TearDown() override
    {
        thread.call([this] {
            store.reset();
            server.reset();
        });
    }

    void serve(http_exchange& exchange)
    {
        requests.push_back(exchange.request());
        http_response response;
        response.status = 503;
        if (!responses.empty()) {
            response = responses.front();
            responses.pop_front();
        }
        exchange.respond(std::move(response));
    }

    void enqueue_response(int status, std::string body, const std::string& era = {})
    {
        http_response response;
        response.status = status;
        if (!era.empty()) {
            response.headers.add("Store-Era", era);
        }
        response.body = std::move(body);
        responses.push_back(std::move(response));
    }

    absl::StatusOr<row_changes> poll_changes(feed_position after)
    {
        std::promise<absl::StatusOr<row_changes>> promise;
        thread.loop().post([&] {
            store->poll_changes("nodes/", after, std::chrono::seconds(1),
                                [&promise](absl::StatusOr<row_changes> result) {
                                    promise.set_value(std::move(result));
                                });
        });
        return promise.get_future().get();
    }

    absl::StatusOr<transaction_result> commit(transaction request)
    {
        std::promise<absl::StatusOr<transaction_result>> promise;
        thread.loop().post([&] {
            store->commit(std::move(request),
                          [&promise](absl::StatusOr<transaction_result> result) {
                              promise.set_value(std::move(result));
                          });
        });
        return promise.get_future().get();
    }

    loop_thread thread;
    std::unique_ptr<http_server> server;
    std::unique_ptr<table_store> store;
    std::deque<http_response> responses;
    std::vector<http_request> requests;
};

constexpr const char* row_a = R"({"table":"nodes","part":"","key":"a","value":"YmNk","ver":5})";

} // namespace

// Guards against missing rows: pages after the first one must be read, and changes made between
// two pages must be returned later, so the revision is that of the first page.
TEST_F(platform_store, first_poll_reads_all_pages)
{
    enqueue_response(200, std::string(R"({"rows":[)") + row_a +
                              R"(],"has_more":true,"ver":7,"now":"1ms"})");
    enqueue_response(200,
                     R"({"rows":[{"table":"nodes","part":"","key":"b","value":"eA==","ver":9}],)"
                     R"("has_more":false,"ver":9,"now":"2ms"})");
    const absl::StatusOr<row_changes> read = poll_changes({});
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_TRUE(read->complete);
    EXPECT_EQ(read->position.revision, 7U);
    ASSERT_EQ(read->rows.size(), 2U);
    EXPECT_EQ(read->rows[0].key, "nodes/a");
    EXPECT_EQ(read->rows[0].value, "bcd");
    EXPECT_EQ(read->rows[1].value, "x");
    EXPECT_EQ(requests[1].target, "/v1/rows-get?table=nodes&part=&from=a%00&limit=500");
}

TEST_F(platform_store, later_poll_returns_written_and_removed_rows)
{
    enqueue_response(
        200, std::string(R"({"rows":[)") + row_a +
                 R"(,{"table":"nodes","part":"","key":"b","deleted":true,"ver":8}],"ver":8})");
    const absl::StatusOr<row_changes> read = poll_changes({4});
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_FALSE(read->complete);
    EXPECT_EQ(read->position.revision, 8U);
    ASSERT_EQ(read->rows.size(), 2U);
    EXPECT_TRUE(read->rows[0].value.has_value());
    EXPECT_FALSE(read->rows[1].value.has_value());
    EXPECT_EQ(requests[0].target, "/v1/rows-feed?table=nodes&after=4&wait_ms=1000");
}

// Guards against a response of the store that is mapped to the wrong error.
TEST_F(platform_store, responses_map_to_error_reasons)
{
    enqueue_response(410, "{}");
    EXPECT_EQ(reason_of(poll_changes({4}).status(), "platform"), "history_lost");
    enqueue_response(429, "{}");
    EXPECT_EQ(reason_of(poll_changes({4}).status(), "platform"), "overloaded");
    enqueue_response(503, "{}");
    EXPECT_EQ(reason_of(poll_changes({4}).status(), "platform"), "unavailable");
    enqueue_response(200, "not json");
    EXPECT_EQ(reason_of(poll_changes({4}).status(), "platform"), "malformed");
    enqueue_response(200, R"({"rows":"x","ver":1})");
    EXPECT_EQ(reason_of(poll_changes({4}).status(), "platform"), "malformed");
}

// Guards against a feed that continues from a revision of an earlier era, which the store has given
// out again.
TEST_F(platform_store, position_of_an_earlier_era_is_lost_history)
{
    enqueue_response(200, std::string(R"({"rows":[)") + row_a + R"(],"has_more":false,"ver":7})",
                     "3");
    const absl::StatusOr<row_changes> read = poll_changes({});
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->position.era, 3U);
    enqueue_response(200, R"({"rows":[],"ver":7})", "3");
    EXPECT_TRUE(poll_changes(read->position).ok());
    enqueue_response(200, std::string(R"({"rows":[)") + row_a + R"(],"ver":8})", "4");
    EXPECT_EQ(reason_of(poll_changes(read->position).status(), "platform"), "history_lost");
}

// Guards against a complete read whose pages are of two eras.
TEST_F(platform_store, pages_of_two_eras_are_lost_history)
{
    enqueue_response(200, std::string(R"({"rows":[)") + row_a + R"(],"has_more":true,"ver":7})",
                     "3");
    enqueue_response(200, R"({"rows":[],"has_more":false,"ver":5})", "4");
    EXPECT_EQ(reason_of(poll_changes({}).status(), "platform"), "history_lost");
}

// Guards against a malformed row of another writer that makes a whole page unreadable.
TEST_F(platform_store, unreadable_rows_are_skipped)
{
    enqueue_response(
        200, std::string(R"({"rows":[{"table":1},{"table":"nodes","key":"x","value":"%%"},)") +
                 row_a + R"(],"has_more":false,"ver":7})");
    const absl::StatusOr<row_changes> read = poll_changes({});
    ASSERT_TRUE(read.ok());
    ASSERT_EQ(read->rows.size(), 1U);
    EXPECT_EQ(read->rows[0].key, "nodes/a");
}

TEST_F(platform_store, write_without_precondition_is_one_request)
{
    enqueue_response(200, R"({"ver":9,"now":"1ms"})");
    transaction write;
    write.writes.push_back({"nodes/a", "bcd"});
    write.writes.push_back({"nodes/b", std::nullopt});
    const absl::StatusOr<transaction_result> done = commit(std::move(write));
    ASSERT_TRUE(done.ok());
    EXPECT_TRUE(done->committed);
    ASSERT_EQ(requests.size(), 1U);
    const nlohmann::json body = nlohmann::json::parse(requests[0].body.bytes());
    EXPECT_EQ(body["writes"][0]["value"], "YmNk");
    EXPECT_EQ(body["writes"][0]["table"], "nodes");
    EXPECT_EQ(body["remove"][0]["key"], "b");
}

// Guards against a lost update: the store must compare the version of the row whose value was
// checked.
TEST_F(platform_store, precondition_on_a_value_is_sent_as_the_row_version)
{
    enqueue_response(200, std::string(R"({"rows":[)") + row_a + R"(],"has_more":false,"ver":7})");
    enqueue_response(200, R"({"ver":9,"now":"1ms"})");
    transaction write;
    write.preconditions.push_back({"nodes/a", "bcd"});
    write.writes.push_back({"nodes/a", "new"});
    ASSERT_TRUE(commit(std::move(write))->committed);
    EXPECT_EQ(nlohmann::json::parse(requests[1].body.bytes())["expected_rev"][0]["ver"], 5);
}

TEST_F(platform_store, failed_precondition_is_a_conflict_without_a_write)
{
    enqueue_response(200, std::string(R"({"rows":[)") + row_a + R"(],"has_more":false,"ver":7})");
    transaction write;
    write.preconditions.push_back({"nodes/a", "other"});
    write.writes.push_back({"nodes/a", "new"});
    const absl::StatusOr<transaction_result> done = commit(std::move(write));
    ASSERT_TRUE(done.ok());
    EXPECT_FALSE(done->committed);
    ASSERT_EQ(done->conflicts.size(), 1U);
    EXPECT_EQ(done->conflicts[0].value, "bcd");
    EXPECT_EQ(requests.size(), 1U);
}

} // namespace agatespread::adapter
