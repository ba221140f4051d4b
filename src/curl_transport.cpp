#include <agatespread/operator_client.h>

#include <curl/curl.h>
#include <fmt/format.h>

#include <memory>
#include <mutex>

namespace agatespread {

namespace {

using easy_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

/// Collects a response body of at most `limit` bytes.
struct body_sink {
    std::string bytes;
    std::size_t limit = 0;
};

std::size_t write_body(char* data, std::size_t /*size*/, std::size_t count, void* target)
{
    body_sink& sink = *static_cast<body_sink*>(target);
    if (sink.bytes.size() + count > sink.limit) {
        return 0;
    }
    sink.bytes.append(data, count);
    return count;
}

header_list make_headers(const http_request& request)
{
    // A name without a value suppresses the field that libcurl adds by default.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const http_headers::field& field : request.headers.fields()) {
        list = curl_slist_append(list, fmt::format("{}: {}", field.first, field.second).c_str());
    }
    return {list, &curl_slist_free_all};
}

void set_options(CURL* handle, const http_call& call, const header_list& headers, body_sink& sink)
{
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    // A signed call must not be sent to a proxy from environment variables such as http_proxy.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, write_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &sink);
    if (call.request.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.request.body.size()));
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.request.method.c_str());
}

http_outcome outcome_of(CURLcode code, bool sent)
{
    switch (code) {
    case CURLE_OK:
        return http_outcome::answered;
    case CURLE_WRITE_ERROR:
        return http_outcome::too_large;
    case CURLE_PARTIAL_FILE:
        return http_outcome::truncated;
    case CURLE_OPERATION_TIMEDOUT:
        return sent ? http_outcome::timed_out : http_outcome::not_sent;
    default:
        return sent ? http_outcome::connection_lost : http_outcome::not_sent;
    }
}

http_result send_with_curl(const http_call& call)
{
    static std::once_flag initialized;
    std::call_once(initialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    // A new handle has no cached connections; libcurl resends a request if a cached connection
    // turns out to be closed.
    const easy_handle handle(curl_easy_init(), &curl_easy_cleanup);
    http_result result;
    if (handle == nullptr) {
        result.error = "libcurl cannot be initialised";
        return result;
    }
    const header_list headers = make_headers(call.request);
    body_sink sink{{}, call.max_response_bytes};
    set_options(handle.get(), call, headers, sink);
    const CURLcode code = curl_easy_perform(handle.get());
    long request_bytes = 0;
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    result.sent = request_bytes > 0;
    result.outcome = outcome_of(code, result.sent);
    if (code != CURLE_OK) {
        result.error = curl_easy_strerror(code);
    }
    result.response.status = static_cast<int>(status);
    result.response.body = std::move(sink.bytes);
    return result;
}

} // namespace

operator_transport curl_transport()
{
    return send_with_curl;
}

} // namespace agatespread
