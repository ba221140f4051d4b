#include <agatespread/decision_log.h>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>

namespace agatespread {

namespace {

constexpr time_point start = time_point(std::chrono::hours(1));

struct decision_log_fixture : ::testing::Test {
    void SetUp() override
    {
        ASSERT_EQ(::pipe(pipe_ends.data()), 0);
        options.descriptor = pipe_ends[1];
    }

    void TearDown() override
    {
        ::close(pipe_ends[0]);
        ::close(pipe_ends[1]);
    }

    std::string read_log() const
    {
        std::string bytes(1U << 20U, '\0');
        ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
        const ssize_t count = ::read(pipe_ends[0], &bytes[0], bytes.size());
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }

    static std::chrono::system_clock::time_point clock()
    {
        return std::chrono::system_clock::time_point(std::chrono::milliseconds(1500));
    }

    std::array<int, 2> pipe_ends{};
    decision_log_options options;
};

} // namespace

using decision_log_test = decision_log_fixture;

TEST_F(decision_log_test, line_has_time_event_node_and_fields)
{
    decision_log log("n-1", options, clock);
    log.change("started", {{"service", "charts"}, {"error", "two \"words\"\nx"}, {"empty", ""}});
    log.request("request_refused", "id-1", {{"held", std::chrono::milliseconds(3)}}, start);
    EXPECT_EQ(read_log(), "1970-01-01T00:00:01.500Z started node=n-1 service=charts "
                          "error=\"two \\\"words\\\" x\" empty=\"\"\n"
                          "1970-01-01T00:00:01.500Z request_refused node=n-1 id=id-1 held=3ms\n");
}

// Guards against a log volume that grows with the request rate.
TEST_F(decision_log_test, request_lines_beyond_the_rate_are_dropped_and_counted)
{
    options.request_lines_per_second = 2;
    decision_log log("n-1", options, clock);
    for (int line = 0; line < 10; ++line) {
        log.request("request_refused", "id", {}, start);
    }
    EXPECT_EQ(log.dropped(), 8U);
    log.request("request_refused", "id", {}, start + std::chrono::seconds(1));
    const std::string text = read_log();
    EXPECT_NE(text.find("log_left_out node=n-1 lines=8"), std::string::npos) << text;
}

// Guards against a log reader that stops reading the pipe and thereby blocks the process.
TEST_F(decision_log_test, full_pipe_drops_lines_without_blocking)
{
    decision_log log("n-1", options, clock);
    const std::string value(1000, 'x');
    constexpr int lines = 1000; // Exceeds the capacity of a pipe.
    for (int line = 0; line < lines; ++line) {
        log.change("started", {{"value", value}});
    }
    EXPECT_GT(log.dropped(), 0U);
    read_log();
    log.change("stopped", {});
    const std::string text = read_log();
    EXPECT_NE(text.find("stopped node=n-1\n"), std::string::npos) << text;
}

TEST_F(decision_log_test, successes_are_sampled_at_the_configured_interval)
{
    options.success_sample_interval = 3;
    decision_log log("n-1", options, clock);
    int sampled = 0;
    for (int request = 0; request < 9; ++request) {
        sampled += log.sample_success() ? 1 : 0;
    }
    EXPECT_EQ(sampled, 3);
}

} // namespace agatespread
