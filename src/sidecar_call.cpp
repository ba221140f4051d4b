#include "sidecar_call.h"

#include "proxy_headers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace agatespread::detail {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view forwarded_header = "X-Agatespread-Forwarded";
constexpr std::string_view answer_header = "X-Agatespread-Answer";
constexpr std::string_view no_value = "-";
constexpr char separator = ';';

constexpr std::array<std::string_view, 9> outcome_names = {"answered",    "not_run",   "draining",
                                                           "unavailable", "blocked",   "crashed",
                                                           "failed",      "timed_out", "rejected"};

// Reads the parts of a header and remembers whether one was malformed.
class part_reader {
public:
    explicit part_reader(std::string_view text) : rest_(text) {}

    std::string text() { return std::string(take_part(rest_, separator)); }

    template <typename Number>
    Number number()
    {
        const std::optional<Number> value = parse_number<Number>(take_part(rest_, separator));
        valid_ = valid_ && value.has_value();
        return value.value_or(Number{});
    }

    bool valid() const { return valid_; }

private:
    std::string_view rest_;
    bool valid_ = true;
};

} // namespace

std::string_view name_of(answer_outcome outcome)
{
    return outcome_names[static_cast<std::size_t>(outcome)];
}

void write_forwarded_request(const forwarded_request_metadata& call, http_headers& headers)
{
    const std::string target =
        call.target ? std::to_string(call.target->count()) : std::string(no_value);
    headers.set(forwarded_header,
                absl::StrCat(call.caller_service, ";", call.service, ";", call.rule, ";",
                             static_cast<int>(call.priority), ";", call.suspect ? 1 : 0, ";",
                             call.left.count(), ";", target));
}

std::optional<forwarded_request_metadata> read_forwarded_request(const http_headers& headers)
{
    const std::string_view value = headers.get(forwarded_header);
    if (value.empty()) {
        return std::nullopt;
    }
    part_reader parts(value);
    forwarded_request_metadata call;
    call.caller_service = parts.text();
    call.service = parts.text();
    call.rule = parts.text();
    call.priority = parts.number<std::uint8_t>();
    call.suspect = parts.number<int>() != 0;
    call.left = milliseconds(parts.number<std::int64_t>());
    const std::string target = parts.text();
    if (target != no_value) {
        const std::optional<std::int64_t> time = parse_number<std::int64_t>(target);
        if (!time) {
            return std::nullopt;
        }
        call.target = milliseconds(*time);
    }
    if (!parts.valid()) {
        return std::nullopt;
    }
    return call;
}

void write_forwarded_response(const forwarded_response_metadata& answer, http_headers& headers)
{
    headers.set(answer_header,
                absl::StrCat(std::string(name_of(answer.outcome)), ";", answer.load.running, ";",
                             answer.load.queued, ";", answer.load.slots, ";",
                             answer.load.service_time.count(), ";", answer.load.wait.count(), ";",
                             answer.load.link_delay.count(), ";", answer.load.answer_time.count(),
                             ";", to_permille(answer.load.failing), ";", answer.retry_after.count(),
                             ";", answer.held.count(), ";", answer.reason));
}

std::optional<forwarded_response_metadata> read_forwarded_response(const http_headers& headers)
{
    const std::string_view value = headers.get(answer_header);
    if (value.empty()) {
        return std::nullopt;
    }
    part_reader parts(value);
    const std::string outcome = parts.text();
    forwarded_response_metadata answer;
    std::size_t index = 0;
    while (index < outcome_names.size() && outcome_names[index] != outcome) {
        ++index;
    }
    answer.load.running = parts.number<std::uint32_t>();
    answer.load.queued = parts.number<std::uint32_t>();
    answer.load.slots = parts.number<std::uint32_t>();
    answer.load.service_time = std::chrono::nanoseconds(parts.number<std::int64_t>());
    answer.load.wait = std::chrono::nanoseconds(parts.number<std::int64_t>());
    answer.load.link_delay = std::chrono::nanoseconds(parts.number<std::int64_t>());
    answer.load.answer_time = std::chrono::nanoseconds(parts.number<std::int64_t>());
    answer.load.failing = from_permille(parts.number<std::uint64_t>());
    answer.retry_after = milliseconds(parts.number<std::int64_t>());
    answer.held = milliseconds(parts.number<std::int64_t>());
    answer.reason = parts.text();
    if (index == outcome_names.size() || !parts.valid()) {
        return std::nullopt;
    }
    answer.outcome = static_cast<answer_outcome>(index);
    return answer;
}

} // namespace agatespread::detail
