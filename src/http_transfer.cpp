#include "http_transfer.h"

#include "curl_loop.h"
#include "http_message.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>

namespace agatespread::detail {

namespace {

constexpr std::string_view scheme = "http://";

constexpr std::string_view no_body_memory = "no memory is left for the body of the response";

// Limits the header of a response, to which `max_response_bytes` does not apply.
constexpr std::size_t max_response_header_bytes = 64U << 10U;

// Shorter than the idle timeouts of common servers (5 s and more), so that the peer rarely closes
// a connection while a request is being sent on it.
constexpr long max_idle_seconds = 4;

// libcurl sets these fields itself, or they are hop-by-hop fields of another connection.
bool is_set_by_client(std::string_view name)
{
    constexpr std::string_view names[] = {
        "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "Proxy-Connection",
        "Expect",         "Upgrade",           "TE"};
    return std::any_of(std::begin(names), std::end(names),
                       [name](std::string_view entry) { return equal_ignoring_case(entry, name); });
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r' ||
                             text.back() == '\n')) {
        text.remove_suffix(1);
    }
    return text;
}

bool list_contains(std::string_view value, std::string_view element)
{
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        if (equal_ignoring_case(trim(value.substr(0, comma)), element)) {
            return true;
        }
        value.remove_prefix(comma == std::string_view::npos ? value.size() : comma + 1);
    }
    return false;
}

} // namespace

std::string check_call(const http_call& call)
{
    const std::string_view url(call.url);
    if (url.substr(0, scheme.size()) != scheme) {
        return "the URL does not start with \"http://\"";
    }
    const std::string_view rest = url.substr(scheme.size());
    const std::string_view authority = rest.substr(0, rest.find_first_of("/?#"));
    if (authority.empty() || authority.find('@') != std::string_view::npos ||
        std::any_of(url.begin(), url.end(), [](char letter) {
            return static_cast<unsigned char>(letter) <= 0x20 || letter == 0x7f || letter == '#';
        })) {
        return "the URL is malformed";
    }
    if (!is_token(call.request.method) || equal_ignoring_case(call.request.method, "CONNECT")) {
        return "the method is malformed";
    }
    if (call.request.method == "HEAD" && !call.request.body.empty()) {
        return "a HEAD request has no body";
    }
    if (!are_sendable(call.request.headers)) {
        return "a header field has a malformed name or value";
    }
    if (call.timeout.count() <= 0) {
        return "no time is left";
    }
    return {};
}

http_transfer::http_transfer(curl_loop& loop, body_memory memory, discard_hook on_discard)
    : loop_(loop), memory_(std::move(memory)), on_discard_(std::move(on_discard)),
      easy_(curl_easy_init())
{
    set_constant_options();
}

http_transfer::~http_transfer()
{
    curl_easy_cleanup(easy_);
    curl_slist_free_all(headers_);
}

http_transfer* http_transfer::from_easy_handle(CURL* easy)
{
    char* self = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &self);
    return reinterpret_cast<http_transfer*>(self);
}

void http_transfer::set_constant_options()
{
    curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy_, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy_, CURLOPT_PROXY, ""); // Ignores proxy environment variables.
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_NOPROGRESS, 1L);
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy_, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN, max_idle_seconds);
    curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &http_transfer::on_request);
    curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &http_transfer::on_header);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &http_transfer::on_body);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
}

void http_transfer::prepare(http_client::call_id id, http_call call)
{
    id_ = id;
    call_ = std::move(call);
    loop_.set_socket_callbacks(easy_, call_.detect_dead_peer);
    sent_ = false;
    stale_ = false;
    stale_connections_ = 0;
    header_bytes_ = 0;
    has_length_ = false;
    chunked_ = false;
    close_announced_ = false;
    headers_complete_ = false;
    failed_ = false;
    body_bytes_ = memory_.reserve([this] { discard_body(); });
    curl_easy_setopt(easy_, CURLOPT_URL, call_.url.c_str());
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, call_.new_connection ? 1L : 0L);
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, call_.close_connection ? 1L : 0L);
    const long timeout = static_cast<long>(call_.timeout.count());
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, timeout);
    const long connect = static_cast<long>(call_.connect_timeout.count());
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                     connect > 0 ? std::min(connect, timeout) : timeout);
    set_method();
    set_headers();
}

void http_transfer::set_method()
{
    const http_request& request = call_.request;
    if (request.method == "HEAD") {
        curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, nullptr);
        curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
        return;
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L); // Resets NOBODY and POST of the last call.
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" ||
        request.method == "PATCH") {
        curl_easy_setopt(easy_, CURLOPT_POST, 1L);
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
    }
}

void http_transfer::set_headers()
{
    // libcurl adds these fields by default; a name without a value suppresses them.
    headers_ = curl_slist_append(headers_, "Expect:");
    if (!call_.request.headers.contains("Accept")) {
        headers_ = curl_slist_append(headers_, "Accept:");
    }
    if (!call_.request.headers.contains("Content-Type")) {
        headers_ = curl_slist_append(headers_, "Content-Type:");
    }
    for (const http_headers::field& entry : call_.request.headers.fields()) {
        if (!is_set_by_client(entry.first)) {
            // libcurl sends a field with an empty value only if it is given as "name;".
            const std::string line = trim(entry.second).empty()
                                         ? absl::StrCat(entry.first, ";")
                                         : absl::StrCat(entry.first, ": ", entry.second);
            headers_ = curl_slist_append(headers_, line.c_str());
        }
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
}

void http_transfer::clear()
{
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, nullptr);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, nullptr);
    curl_slist_free_all(headers_);
    headers_ = nullptr;
    call_ = http_call();
    response_ = http_response();
    body_bytes_ = body_memory::reservation();
    failure_text_.clear();
}

void http_transfer::use_new_connection()
{
    stale_ = false;
    ++stale_connections_;
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
}

int http_transfer::on_request(void* self, char* /*remote_ip*/, char* /*local_ip*/, int remote_port,
                              int local_port)
{
    return static_cast<http_transfer*>(self)->before_request(local_port, remote_port);
}

int http_transfer::before_request(int local_port, int remote_port)
{
    if (sent_) {
        // libcurl resends a request if its reused connection is closed before the response, which
        // could run the request twice.
        return CURL_PREREQFUNC_ABORT;
    }
    // Unread bytes on the connection would be taken for the response to this request.
    if (!loop_.is_usable(local_port, remote_port)) {
        stale_ = true;
        return CURL_PREREQFUNC_ABORT;
    }
    sent_ = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t http_transfer::on_header(char* data, std::size_t size, std::size_t count, void* self)
{
    const std::string_view line(data, size * count);
    return static_cast<http_transfer*>(self)->parse_header_line(line) ? line.size() : 0;
}

std::size_t http_transfer::on_body(char* data, std::size_t size, std::size_t count, void* self)
{
    const std::string_view bytes(data, size * count);
    return static_cast<http_transfer*>(self)->append_body(bytes) ? bytes.size() : 0;
}

bool http_transfer::fail(http_outcome outcome, std::string_view text)
{
    if (!failed_) {
        failed_ = true;
        failure_ = outcome;
        failure_text_ = std::string(text);
    }
    return false;
}

bool http_transfer::parse_header_line(std::string_view line)
{
    header_bytes_ += line.size();
    if (header_bytes_ > max_response_header_bytes) {
        return fail(http_outcome::too_large, "the response's header fields are too large");
    }
    if (headers_complete_) {
        return true; // The trailer of a chunked body is ignored.
    }
    if (line.substr(0, 5) == "HTTP/") {
        // The final status line follows the header of any interim response, such as 103.
        response_ = http_response();
        has_length_ = false;
        chunked_ = false;
        close_announced_ = false;
        const std::size_t space = line.find(' ');
        const std::string_view digits = space == std::string_view::npos
                                            ? std::string_view()
                                            : trim(line.substr(space)).substr(0, 3);
        const std::from_chars_result number =
            std::from_chars(digits.data(), digits.data() + digits.size(), response_.status);
        return number.ec == std::errc() || fail(http_outcome::truncated, "malformed status line");
    }
    if (trim(line).empty()) {
        return finish_headers();
    }
    return parse_field(line);
}

bool http_transfer::parse_field(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !is_token(name)) {
        return fail(http_outcome::truncated, "malformed header field in the response");
    }
    const std::string_view value = trim(line.substr(colon + 1));
    if (!is_field_value(value)) {
        return fail(http_outcome::truncated, "malformed header field in the response");
    }
    if (equal_ignoring_case(name, "Content-Length") && !parse_length(value)) {
        return false;
    }
    if (equal_ignoring_case(name, "Transfer-Encoding")) {
        if (chunked_ || !equal_ignoring_case(value, "chunked")) {
            return fail(http_outcome::truncated, "unknown transfer encoding in the response");
        }
        chunked_ = true;
        return true; // libcurl decodes the body.
    }
    if (equal_ignoring_case(name, "Connection") && list_contains(value, "close")) {
        close_announced_ = true;
    }
    response_.headers.add(name, std::string(value));
    return true;
}

bool http_transfer::parse_length(std::string_view value)
{
    std::uint64_t length = 0;
    const std::from_chars_result number =
        std::from_chars(value.data(), value.data() + value.size(), length);
    if (has_length_ || number.ec != std::errc() || number.ptr != value.data() + value.size()) {
        return fail(http_outcome::truncated, "conflicting lengths in the response");
    }
    has_length_ = true;
    if (body_expected()) {
        if (length > call_.max_response_bytes) {
            return fail(http_outcome::too_large, "the response is too large");
        }
        response_.body.reserve(static_cast<std::size_t>(length));
    }
    return true;
}

bool http_transfer::finish_headers()
{
    if (chunked_ && has_length_) {
        return fail(http_outcome::truncated, "conflicting lengths in the response");
    }
    headers_complete_ = response_.status >= 200;
    if (headers_complete_ && call_.accept_head && !call_.accept_head(response_)) {
        return fail(http_outcome::truncated, "the response was not accepted");
    }
    return true;
}

bool http_transfer::append_body(std::string_view bytes)
{
    if (failed_) {
        return false;
    }
    if (response_.body.size() + bytes.size() > call_.max_response_bytes) {
        return fail(http_outcome::too_large, "the response is too large");
    }
    if (!body_bytes_.grow(bytes.size())) {
        return fail(http_outcome::too_large, no_body_memory);
    }
    response_.body.append(bytes);
    return true;
}

void http_transfer::discard_body()
{
    fail(http_outcome::too_large, no_body_memory);
    std::string().swap(response_.body);
    on_discard_(id_);
}

bool http_transfer::body_expected() const
{
    return call_.request.method != "HEAD" && response_.status != 204 && response_.status != 304;
}

http_outcome http_transfer::outcome_of(CURLcode code) const
{
    if (!sent_) {
        return http_outcome::not_sent;
    }
    if (failed_) {
        return failure_;
    }
    switch (code) {
    case CURLE_OK:
        // Without a length, only an announced close distinguishes a complete body from a truncated
        // one.
        return headers_complete_ && (!body_expected() || has_length_ || chunked_ ||
                                     close_announced_ || call_.allow_close_delimited_body)
                   ? http_outcome::answered
                   : http_outcome::truncated;
    case CURLE_OPERATION_TIMEDOUT:
        return http_outcome::timed_out;
    case CURLE_ABORTED_BY_CALLBACK:
    case CURLE_GOT_NOTHING:
    case CURLE_SEND_ERROR:
        return http_outcome::connection_lost;
    default:
        return header_bytes_ > 0 || code != CURLE_RECV_ERROR ? http_outcome::truncated
                                                             : http_outcome::connection_lost;
    }
}

std::string http_transfer::error_of(CURLcode code) const
{
    if (failed_) {
        return failure_text_;
    }
    if (code == CURLE_OK) {
        return "the connection ended inside the response";
    }
    if (code == CURLE_ABORTED_BY_CALLBACK) {
        return "the connection ended before the response";
    }
    return curl_easy_strerror(code);
}

http_result http_transfer::result(CURLcode code)
{
    http_result result;
    result.outcome = outcome_of(code);
    result.sent = sent_;
    if (result.outcome == http_outcome::answered) {
        result.response = std::move(response_);
        if (body_bytes_.bytes() > 0) {
            body_bytes_.pin();
            result.response.memory =
                std::make_shared<body_memory::reservation>(std::move(body_bytes_));
        }
    }
    else {
        result.error = error_of(code);
    }
    return result;
}

} // namespace agatespread::detail
