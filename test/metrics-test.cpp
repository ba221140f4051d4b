#include <agatespread/metrics.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace agatespread {

using testing::HasSubstr;

TEST(metrics, prometheus_text_contains_counters_gauges_and_histograms)
{
    metrics data;
    data.counter_of("calls_total", {{"class", "chart"}}).add(3);
    data.gauge_of("version").set(42);
    data.histogram_of("latency_seconds").record(std::chrono::milliseconds(3));
    const std::string text = data.prometheus_text();
    EXPECT_THAT(text, HasSubstr("calls_total{class=\"chart\"} 3\n"));
    EXPECT_THAT(text, HasSubstr("version 42\n"));
    EXPECT_THAT(text, HasSubstr("latency_seconds_bucket{le=\"0.002\"} 0\n"));
    EXPECT_THAT(text, HasSubstr("latency_seconds_bucket{le=\"0.005\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("latency_seconds_count 1\n"));
}

TEST(metrics, label_values_are_escaped)
{
    metrics data;
    data.counter_of("calls_total", {{"path", "a\"b\nc"}}).add();
    EXPECT_THAT(data.prometheus_text(), HasSubstr("path=\"a\\\"b\\nc\""));
}

TEST(metrics, quantile_estimates_are_within_the_tolerance)
{
    histogram latencies;
    for (int i = 1; i <= 1000; ++i) {
        latencies.record(std::chrono::microseconds(i));
    }
    EXPECT_NEAR(static_cast<double>(latencies.quantile(0.5).count()), 500e3, 20e3);
    EXPECT_NEAR(static_cast<double>(latencies.quantile(0.99).count()), 990e3, 20e3);
}

} // namespace agatespread
