#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace agatespread {

/// The labels of one time series, such as `{{"tenant", "nile-soy"}}`.
using labels = std::map<std::string, std::string>;

/// A monotonically increasing count; thread-safe.
class counter {
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }

    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that can increase and decrease; thread-safe.
class gauge {
public:
    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }

    std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

/// A distribution of durations with count, sum, buckets and estimated quantiles; thread-safe.
class histogram {
public:
    histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;
    ~histogram();

    void record(std::chrono::nanoseconds value);

    /// Returns the number of recorded durations.
    std::uint64_t count() const;

    /// Returns an estimate of the quantile 0.5, 0.9, 0.99 or 0.999; 0 without data and for any
    /// other probability.
    std::chrono::nanoseconds quantile(double probability) const;

private:
    friend class metrics;
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Holds the counters, gauges and histograms of a process; thread-safe. References to them stay
/// valid for the lifetime of this object.
///
///     metrics data;
///     data.counter_of("agatespread_retries_total", {{"class", "chart"}}).add();
///     std::string page = data.prometheus_text();
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// Returns the counter with this name and these labels, created on first use.
    counter& counter_of(std::string_view name, const labels& series = {});

    /// Returns the gauge with this name and these labels, created on first use.
    gauge& gauge_of(std::string_view name, const labels& series = {});

    /// Returns the histogram with this name and these labels, created on first use.
    histogram& histogram_of(std::string_view name, const labels& series = {});

    /// Returns all series in the Prometheus text format; durations are in seconds.
    std::string prometheus_text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace agatespread
