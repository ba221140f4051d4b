#include <agatespread/request_stages.h>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace agatespread {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::array<std::string_view, request_stage_count> stage_names = {
    "decision", "moves", "transit", "queue", "service", "pending"};

milliseconds between(time_point from, time_point to)
{
    return std::max(duration_cast<milliseconds>(to - from), milliseconds(0));
}

} // namespace

std::string_view name_of(request_stage stage)
{
    return stage_names[static_cast<std::size_t>(stage)];
}

request_stages stages_of(const attempt_times& attempts, time_point ended)
{
    request_stages result;
    if (attempts.first == time_point()) {
        result[request_stage::decision] = between(attempts.started, ended);
        return result;
    }
    result[request_stage::decision] = between(attempts.started, attempts.first);
    result[request_stage::moves] = between(attempts.first, attempts.last);
    const milliseconds attempt = between(attempts.last, ended);
    if (!attempts.last_held) {
        result[request_stage::pending] = attempt;
        return result;
    }
    const milliseconds held = std::clamp(attempts.last_held->total, milliseconds(0), attempt);
    const milliseconds queued =
        std::clamp(attempts.last_held->queued.value_or(milliseconds(0)), milliseconds(0), held);
    result[request_stage::transit] = attempt - held;
    result[request_stage::queue] = queued;
    result[request_stage::service] = held - queued;
    return result;
}

std::string describe(const request_stages& stages)
{
    std::string text;
    for (std::size_t index = 0; index < request_stage_count; ++index) {
        if (stages.times[index].count() > 0) {
            text += fmt::format("{}{}:{}ms", text.empty() ? "" : ",", stage_names[index],
                                stages.times[index].count());
        }
    }
    return text.empty() ? "-" : text;
}

request_stage longest_stage(const request_stages& stages)
{
    const auto longest = std::max_element(stages.times.begin(), stages.times.end());
    return static_cast<request_stage>(std::distance(stages.times.begin(), longest));
}

} // namespace agatespread
