#include <agatespread/metrics.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <vector>

namespace agatespread {

namespace {

namespace acc = boost::accumulators;

using distribution =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

constexpr std::array<double, 4> probabilities = {0.5, 0.9, 0.99, 0.999};

// Upper bounds of the histogram buckets in seconds.
constexpr std::array<double, 14> bucket_bounds = {0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01,
                                                  0.02,   0.05,   0.1,    0.25,  0.5,   1.0,   3.0};

constexpr std::size_t shard_count = 8;

std::string escape_label(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text.push_back('\\');
        }
        if (character == '\n') {
            text.append("\\n");
        }
        else {
            text.push_back(character);
        }
    }
    return text;
}

std::string format_labels(const labels& series)
{
    std::string text;
    for (const labels::value_type& label : series) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.first,
                            escape_label(label.second));
    }
    return text;
}

std::string in_braces(const std::string& series)
{
    return series.empty() ? std::string() : "{" + series + "}";
}

std::string with_label(const std::string& series, std::string_view name, const std::string& value)
{
    return fmt::format("{{{}{}{}=\"{}\"}}", series, series.empty() ? "" : ",", name, value);
}

} // namespace

struct histogram::impl {
    mutable std::mutex mutex;
    distribution data{acc::extended_p_square_probabilities = probabilities};
    std::array<std::uint64_t, bucket_bounds.size()> buckets{};
};

histogram::histogram() : impl_(std::make_unique<impl>())
{
}

histogram::~histogram() = default;

void histogram::record(std::chrono::nanoseconds value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const auto bucket = std::lower_bound(bucket_bounds.begin(), bucket_bounds.end(), seconds);
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->data(seconds);
    if (bucket != bucket_bounds.end()) {
        ++impl_->buckets[static_cast<std::size_t>(bucket - bucket_bounds.begin())];
    }
}

std::uint64_t histogram::count() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return acc::count(impl_->data);
}

std::chrono::nanoseconds histogram::quantile(double probability) const
{
    const auto found = std::find(probabilities.begin(), probabilities.end(), probability);
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (found == probabilities.end() || acc::count(impl_->data) == 0) {
        return std::chrono::nanoseconds(0);
    }
    const double seconds = acc::extended_p_square(impl_->data)[found - probabilities.begin()];
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds));
}

struct metrics::impl {
    template <typename Series>
    using family = std::map<std::string, std::map<std::string, std::unique_ptr<Series>>>;

    struct shard {
        mutable std::mutex mutex;
        family<counter> counters;
        family<gauge> gauges;
        family<histogram> histograms;
    };

    shard& shard_of(std::string_view name)
    {
        return shards[std::hash<std::string_view>()(name) % shard_count];
    }

    template <typename Series>
    static Series& find_or_create(shard& owning_shard, family<Series>& series_by_name,
                                  std::string_view name, const labels& series)
    {
        const std::string key = format_labels(series);
        const std::lock_guard<std::mutex> lock(owning_shard.mutex);
        std::unique_ptr<Series>& slot = series_by_name[std::string(name)][key];
        if (!slot) {
            slot = std::make_unique<Series>();
        }
        return *slot;
    }

    template <typename Series>
    static void write_values(const family<Series>& families, std::string_view type,
                             std::map<std::string, std::string>& pages)
    {
        for (const typename family<Series>::value_type& entry : families) {
            std::string& page = pages[entry.first];
            page = fmt::format("# TYPE {} {}\n", entry.first, type);
            for (const auto& series : entry.second) {
                page += fmt::format("{}{} {}\n", entry.first, in_braces(series.first),
                                    series.second->value());
            }
        }
    }

    static void write_histogram(const std::string& name, const std::string& series,
                                const histogram& source, std::string& page)
    {
        const histogram::impl& data = *source.impl_;
        const std::lock_guard<std::mutex> lock(data.mutex);
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < bucket_bounds.size(); ++i) {
            cumulative += data.buckets[i];
            page += fmt::format("{}_bucket{} {}\n", name,
                                with_label(series, "le", fmt::format("{}", bucket_bounds[i])),
                                cumulative);
        }
        page += fmt::format("{}_bucket{} {}\n", name, with_label(series, "le", "+Inf"),
                            acc::count(data.data));
        page += fmt::format("{}_sum{} {}\n", name, in_braces(series), acc::sum(data.data));
        page += fmt::format("{}_count{} {}\n", name, in_braces(series), acc::count(data.data));
        // Estimates are inaccurate with fewer samples than the estimator has markers; without
        // samples there are none.
        if (acc::count(data.data) == 0) {
            return;
        }
        for (std::size_t i = 0; i < probabilities.size(); ++i) {
            page += fmt::format("{}_quantile{} {}\n", name,
                                with_label(series, "quantile", fmt::format("{}", probabilities[i])),
                                acc::extended_p_square(data.data)[static_cast<std::ptrdiff_t>(i)]);
        }
    }

    std::array<shard, shard_count> shards;
};

metrics::metrics() : impl_(std::make_unique<impl>())
{
}

metrics::~metrics() = default;

counter& metrics::counter_of(std::string_view name, const labels& series)
{
    impl::shard& owning_shard = impl_->shard_of(name);
    return impl::find_or_create(owning_shard, owning_shard.counters, name, series);
}

gauge& metrics::gauge_of(std::string_view name, const labels& series)
{
    impl::shard& owning_shard = impl_->shard_of(name);
    return impl::find_or_create(owning_shard, owning_shard.gauges, name, series);
}

histogram& metrics::histogram_of(std::string_view name, const labels& series)
{
    impl::shard& owning_shard = impl_->shard_of(name);
    return impl::find_or_create(owning_shard, owning_shard.histograms, name, series);
}

std::string metrics::prometheus_text() const
{
    std::map<std::string, std::string> pages;
    for (const impl::shard& owning_shard : impl_->shards) {
        const std::lock_guard<std::mutex> lock(owning_shard.mutex);
        impl::write_values(owning_shard.counters, "counter", pages);
        impl::write_values(owning_shard.gauges, "gauge", pages);
        for (const impl::family<histogram>::value_type& entry : owning_shard.histograms) {
            std::string& page = pages[entry.first];
            page = fmt::format("# TYPE {} histogram\n", entry.first);
            for (const auto& series : entry.second) {
                impl::write_histogram(entry.first, series.first, *series.second, page);
            }
        }
    }
    std::string text;
    for (const std::pair<const std::string, std::string>& page : pages) {
        text += page.second;
    }
    return text;
}

} // namespace agatespread
