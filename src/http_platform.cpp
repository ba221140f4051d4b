#include "platform_codec.h"

#include <agatespread/http.h>
#include <agatespread/platform.h>

#include <fmt/format.h>

#include <utility>

namespace agatespread {

namespace {

// A response that takes longer is treated as lost. A change must be in force within 3 s as well.
constexpr std::chrono::milliseconds call_timeout(3000);

absl::Status platform_error(absl::StatusCode code, std::string_view reason,
                            std::string_view message)
{
    return layer_error(code, "platform", reason, message);
}

// The error of a call that ended without a usable response after bytes of the request were sent.
absl::Status no_response_error(bool is_write, std::string_view message)
{
    return is_write ? platform_error(absl::StatusCode::kUnknown, "outcome_unknown", message)
                    : platform_error(absl::StatusCode::kUnavailable, "unavailable", message);
}

// Only a body with a reason of the protocol shows that the request was not executed; an
// intermediary may return the same status after it forwarded the request.
absl::Status error_from_response(const http_response& response, bool is_write)
{
    const std::optional<detail::error_body> error = detail::decode_error_body(response.body);
    const std::string text = fmt::format("status {}: {}", response.status,
                                         error ? error->message : std::string("no reason given"));
    const std::string reason = error ? error->reason : std::string();
    const int status = response.status;
    if ((status == 429 || status == 503) && reason == "overloaded") {
        return platform_error(absl::StatusCode::kResourceExhausted, reason, text);
    }
    if (status == 503 && reason == "unavailable") {
        return platform_error(absl::StatusCode::kUnavailable, reason, text);
    }
    if (status == 404 && reason == "not_found") {
        return platform_error(absl::StatusCode::kNotFound, reason, text);
    }
    if (status == 400 && reason == "malformed") {
        return platform_error(absl::StatusCode::kInvalidArgument, reason, text);
    }
    return no_response_error(is_write, text);
}

template <typename Result>
absl::StatusOr<Result>
result_from_response(const http_result& result, bool is_write,
                     const std::function<std::optional<Result>(std::string_view)>& decode)
{
    if (result.outcome != http_outcome::answered) {
        return result.sent
                   ? no_response_error(is_write, result.error)
                   : platform_error(absl::StatusCode::kUnavailable, "unavailable", result.error);
    }
    if (result.response.status != 200) {
        return error_from_response(result.response, is_write);
    }
    std::optional<Result> decoded = decode(result.response.body);
    if (decoded) {
        return *std::move(decoded);
    }
    return is_write ? no_response_error(true, "the response to a write is malformed")
                    : platform_error(absl::StatusCode::kDataLoss, "malformed",
                                     "the response to a read is malformed");
}

// The driver "http", which sends every call as one POST request with a CBOR body.
class http_platform final : public platform {
public:
    http_platform(event_loop& loop, const std::string& address)
        : base_url_(address.find("://") == std::string::npos ? "http://" + address : address),
          client_(loop)
    {
    }

    void commit(transaction request, callback<transaction_result> done) override
    {
        send<transaction_result>(detail::transaction_path, detail::encode(request), true,
                                 detail::decode_transaction_result, std::move(done));
    }

    void read(std::string key, callback<std::optional<std::string>> done) override
    {
        send<std::optional<std::string>>(detail::read_path, detail::encode_bytes(key), false,
                                         detail::decode_bytes, std::move(done));
    }

    void scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done) override
    {
        send<std::vector<row>>(detail::scan_path,
                               detail::encode(detail::scan_request{std::move(prefix), limit}),
                               false, detail::decode_rows, std::move(done));
    }

    void put_object(std::string id, std::string bytes, callback<bool> done) override
    {
        send<bool>(
            detail::put_object_path,
            detail::encode(detail::stored_object{std::move(id), std::move(bytes)}), true,
            [](std::string_view) { return std::optional<bool>(true); }, std::move(done));
    }

    void get_object(std::string id, callback<std::string> done) override
    {
        send<std::string>(
            detail::get_object_path, detail::encode_bytes(id), false,
            [](std::string_view body) { return detail::decode_bytes(body).value_or(std::nullopt); },
            std::move(done));
    }

private:
    template <typename Result>
    void send(std::string_view path, std::string body, bool is_write,
              std::function<std::optional<Result>(std::string_view)> decode, callback<Result> done)
    {
        http_call call;
        call.url = base_url_ + std::string(path);
        call.request.method = "POST";
        call.request.target = std::string(path);
        call.request.headers.set("Content-Type", std::string(detail::cbor_type));
        call.request.body = std::move(body);
        call.timeout = call_timeout;
        client_.send(std::move(call), [is_write, decode = std::move(decode),
                                       done = std::move(done)](const http_result& result) {
            done(result_from_response<Result>(result, is_write, decode));
        });
    }

    std::string base_url_;
    http_client client_;
};

const registration<platform_factory> http_entry("http", [](event_loop& loop,
                                                           const std::string& address) {
    return std::make_unique<http_platform>(loop, address);
});

} // namespace

} // namespace agatespread
