#include "counter_set.h"

#include <fmt/format.h>

#include <utility>

namespace agatespread::detail {

counter_set::counter_set(metrics& data, std::string series)
    : data_(data), series_(std::move(series))
{
}

void counter_set::add(const labels& name, std::uint64_t amount)
{
    counter*& found = counters_[name];
    if (found == nullptr) {
        found = &data_.counter_of(series_, name);
    }
    found->add(amount);
}

std::string counter_set::summary() const
{
    std::string text;
    for (const std::pair<const labels, counter*>& each : counters_) {
        std::string name;
        for (const std::pair<const std::string, std::string>& label : each.first) {
            name += (name.empty() ? "" : "/") + label.second;
        }
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", name, each.second->value());
    }
    return text.empty() ? "-" : text;
}

} // namespace agatespread::detail
