#pragma once

#include <agatespread/metrics.h>

#include <cstdint>
#include <map>
#include <string>

namespace agatespread::detail {

/// Counters of one series with different labels, with a summary for the log; not thread-safe.
class counter_set {
public:
    counter_set(metrics& data, std::string series);

    void add(const labels& name, std::uint64_t amount = 1);

    /// Returns the counts since the start of the process, such as "poll/op:12,scan/nodes:1": the
    /// values of the labels in the order of their names, then the count. "-" without any.
    std::string summary() const;

private:
    metrics& data_;
    const std::string series_;
    std::map<labels, counter*> counters_;
};

} // namespace agatespread::detail
