#include "sidecar_call.h"

#include "proxy_headers.h"

#include <agatespread/crash_guard.h>
#include <agatespread/routing.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace agatespread::detail {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view request_header = "X-Agatespread-Forwarded";
constexpr std::string_view response_header = "X-Agatespread-Answer";
constexpr std::string_view announcement_header = "X-Agatespread-Announced";
constexpr std::string_view forwarded_tenant_header = "X-Agatespread-Tenant";
constexpr std::string_view upload_question_header = "X-Agatespread-Upload-Offer";
constexpr std::string_view upload_grant_header = "X-Agatespread-Upload-Grant";
constexpr std::string_view no_value = "-";
constexpr char separator = ';';

constexpr std::array<std::string_view, 9> outcome_names = {"answered",    "not_run",   "draining",
                                                           "unavailable", "blocked",   "crashed",
                                                           "failed",      "timed_out", "rejected"};

// Reads the fields of a header in order; `valid` is false after a malformed number.
class field_reader {
public:
    explicit field_reader(std::string_view text) : rest_(text) {}

    std::string text() { return std::string(take_token(rest_, separator)); }

    template <typename Number>
    Number number()
    {
        const std::optional<Number> value = parse_number<Number>(take_token(rest_, separator));
        valid_ = valid_ && value.has_value();
        return value.value_or(Number{});
    }

    bool valid() const { return valid_; }

private:
    std::string_view rest_;
    bool valid_ = true;
};

void write_announcement(const std::optional<upstream_announcement>& announced,
                        http_headers& headers)
{
    if (announced) {
        const std::string rate_limit =
            announced->rate_limit ? absl::StrCat(*announced->rate_limit) : std::string(no_value);
        headers.set(announcement_header,
                    absl::StrCat(announced->instance, ";", announced->started_at.count(), ";",
                                 announced->leaving ? 1 : 0, ";", rate_limit));
    }
}

std::optional<upstream_announcement> read_announcement(const http_headers& headers)
{
    const std::string_view value = headers.get(announcement_header);
    if (value.empty()) {
        return std::nullopt;
    }
    field_reader fields(value);
    upstream_announcement announced;
    announced.instance = fields.text();
    announced.started_at = milliseconds(fields.number<std::int64_t>());
    announced.leaving = fields.number<int>() != 0;
    const std::string rate_limit = fields.text();
    double per_second = 0;
    if (absl::SimpleAtod(rate_limit, &per_second)) {
        announced.rate_limit = per_second;
    }
    return fields.valid() ? std::make_optional(std::move(announced)) : std::nullopt;
}

// The name of a tenant may contain the separator, so it comes last.
bool read_tenant(const http_headers& headers, forwarded_request_metadata& metadata)
{
    std::string_view value = headers.get(forwarded_tenant_header);
    if (value.empty()) {
        return true;
    }
    const std::optional<config_version> version =
        parse_number<config_version>(take_token(value, separator));
    metadata.tenant_version = version.value_or(0);
    metadata.tenant = std::string(value);
    return version.has_value() && !metadata.tenant.empty();
}

} // namespace

std::string_view name_of(call_outcome outcome)
{
    return outcome_names[static_cast<std::size_t>(outcome)];
}

request_identity identity_of(const http_request& request)
{
    return identify_request(canonical_host(request.headers.get("Host")), request.method,
                            request.target, request.body);
}

void write_upload_question(const upload_question& question, http_headers& headers)
{
    headers.set(upload_question_header,
                absl::StrCat(question.id, ";", question.bytes, ";", question.time_left.count()));
}

std::optional<upload_question> read_upload_question(const http_headers& headers)
{
    field_reader fields(headers.get(upload_question_header));
    upload_question question;
    question.id = fields.number<std::uint64_t>();
    question.bytes = fields.number<std::size_t>();
    question.time_left = milliseconds(fields.number<std::int64_t>());
    return fields.valid() ? std::make_optional(question) : std::nullopt;
}

void write_upload_grant(std::uint64_t id, http_headers& headers)
{
    headers.set(upload_grant_header, absl::StrCat(id));
}

std::uint64_t read_upload_grant(const http_headers& headers)
{
    return parse_number<std::uint64_t>(headers.get(upload_grant_header)).value_or(0);
}

void write_forwarded_request(const forwarded_request_metadata& metadata, http_headers& headers)
{
    const std::string time_to_objective = metadata.time_to_objective
                                              ? std::to_string(metadata.time_to_objective->count())
                                              : std::string(no_value);
    headers.set(request_header,
                absl::StrCat(metadata.caller_service, ";", metadata.service, ";", metadata.rule,
                             ";", static_cast<int>(metadata.priority), ";",
                             metadata.suspect ? 1 : 0, ";", metadata.time_left.count(), ";",
                             time_to_objective, metadata.nested ? ";1" : ""));
    if (!metadata.tenant.empty()) {
        headers.set(forwarded_tenant_header,
                    absl::StrCat(metadata.tenant_version, ";", metadata.tenant));
    }
    write_announcement(metadata.announced, headers);
}

std::optional<forwarded_request_metadata> read_forwarded_request(const http_headers& headers)
{
    const std::string_view value = headers.get(request_header);
    if (value.empty()) {
        return std::nullopt;
    }
    field_reader fields(value);
    forwarded_request_metadata metadata;
    metadata.caller_service = fields.text();
    metadata.service = fields.text();
    metadata.rule = fields.text();
    metadata.priority = fields.number<std::uint8_t>();
    metadata.suspect = fields.number<int>() != 0;
    metadata.time_left = milliseconds(fields.number<std::int64_t>());
    const std::string time_to_objective = fields.text();
    if (time_to_objective != no_value) {
        const std::optional<std::int64_t> time = parse_number<std::int64_t>(time_to_objective);
        if (!time) {
            return std::nullopt;
        }
        metadata.time_to_objective = milliseconds(*time);
    }
    metadata.nested = fields.text() == "1";
    metadata.announced = read_announcement(headers);
    if (!fields.valid() || !read_tenant(headers, metadata)) {
        return std::nullopt;
    }
    return metadata;
}

void write_forwarded_response(const forwarded_response_metadata& metadata, http_headers& headers)
{
    headers.set(response_header,
                absl::StrCat(
                    std::string(name_of(metadata.outcome)), ";", metadata.load.running, ";",
                    metadata.load.queued, ";", metadata.load.slots, ";",
                    metadata.load.service_time.count(), ";", metadata.load.wait.count(), ";",
                    metadata.load.link_delay.count(), ";", metadata.load.transmission_time.count(),
                    ";", to_permille(metadata.load.failure_ratio), ";",
                    metadata.retry_after.count(), ";", metadata.held.count(), ";", metadata.reason,
                    metadata.queued ? absl::StrCat(";", metadata.queued->count()) : std::string()));
    write_announcement(metadata.announced, headers);
}

std::optional<forwarded_response_metadata> read_forwarded_response(const http_headers& headers)
{
    const std::string_view value = headers.get(response_header);
    if (value.empty()) {
        return std::nullopt;
    }
    field_reader fields(value);
    const std::string outcome = fields.text();
    forwarded_response_metadata metadata;
    std::size_t index = 0;
    while (index < outcome_names.size() && outcome_names[index] != outcome) {
        ++index;
    }
    metadata.load.running = fields.number<std::uint32_t>();
    metadata.load.queued = fields.number<std::uint32_t>();
    metadata.load.slots = fields.number<std::uint32_t>();
    metadata.load.service_time = std::chrono::nanoseconds(fields.number<std::int64_t>());
    metadata.load.wait = std::chrono::nanoseconds(fields.number<std::int64_t>());
    metadata.load.link_delay = std::chrono::nanoseconds(fields.number<std::int64_t>());
    metadata.load.transmission_time = std::chrono::nanoseconds(fields.number<std::int64_t>());
    metadata.load.failure_ratio = from_permille(fields.number<std::uint64_t>());
    metadata.retry_after = milliseconds(fields.number<std::int64_t>());
    metadata.held = milliseconds(fields.number<std::int64_t>());
    metadata.reason = fields.text();
    if (const std::optional<std::int64_t> queued = parse_number<std::int64_t>(fields.text())) {
        metadata.queued = milliseconds(*queued);
    }
    if (index == outcome_names.size() || !fields.valid()) {
        return std::nullopt;
    }
    metadata.outcome = static_cast<call_outcome>(index);
    metadata.announced = read_announcement(headers);
    return metadata;
}

} // namespace agatespread::detail
