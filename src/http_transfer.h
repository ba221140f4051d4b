#pragma once

#include <agatespread/http.h>

#include <curl/curl.h>

#include <functional>
#include <string>
#include <string_view>

namespace agatespread::detail {

class curl_loop;

/// Returns the reason why a call cannot be sent, or an empty string if it can.
std::string check_call(const http_call& call);

/// A reusable libcurl easy handle and the response that it receives.
class http_transfer {
public:
    /// Is called with the call whose body was discarded; it must be removed soon, and not in one of
    /// libcurl's callbacks.
    using discard_hook = std::function<void(http_client::call_id id)>;

    http_transfer(curl_loop& loop, body_memory memory, discard_hook on_discard);
    http_transfer(const http_transfer&) = delete;
    http_transfer& operator=(const http_transfer&) = delete;
    ~http_transfer();

    /// Returns the transfer that owns an easy handle.
    static http_transfer* from_easy_handle(CURL* easy);

    /// Sets up the handle for a call that passed `check_call`.
    void prepare(http_client::call_id id, http_call call);

    /// Releases the resources of the last call.
    void clear();

    CURL* easy() const { return easy_; }
    http_client::call_id id() const { return id_; }

    /// Returns whether a byte of the request may have been sent.
    bool sent() const { return sent_; }

    /// Returns whether the transfer ended before anything was sent, because its connection was
    /// closed or held bytes that belong to no request.
    bool is_stale(CURLcode code) const { return code == CURLE_ABORTED_BY_CALLBACK && stale_; }
    int stale_connections() const { return stale_connections_; }

    /// Prepares the transfer to start again on a new connection.
    void use_new_connection();

    /// Returns the result of the call for libcurl's result code.
    http_result result(CURLcode code);

private:
    static int on_request(void* self, char* remote_ip, char* local_ip, int remote_port,
                          int local_port);
    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self);

    void set_constant_options();
    void set_method();
    void set_headers();
    int before_request(int local_port, int remote_port);
    bool parse_header_line(std::string_view line);
    bool parse_field(std::string_view line);
    bool parse_length(std::string_view value);
    bool finish_headers();
    bool append_body(std::string_view bytes);
    void discard_body();
    bool fail(http_outcome outcome, std::string_view text);
    bool body_expected() const;
    http_outcome outcome_of(CURLcode code) const;
    std::string error_of(CURLcode code) const;

    curl_loop& loop_;
    body_memory memory_;
    const discard_hook on_discard_;
    CURL* easy_;
    http_client::call_id id_ = 0;
    http_call call_;
    curl_slist* headers_ = nullptr;
    http_response response_;
    body_memory::reservation body_bytes_; ///< Of the body of `response_`.
    bool sent_ = false;
    bool stale_ = false;
    int stale_connections_ = 0;
    std::size_t header_bytes_ = 0;
    bool has_length_ = false;
    bool chunked_ = false;
    bool close_announced_ = false;
    bool headers_complete_ = false;
    bool failed_ = false;
    http_outcome failure_ = http_outcome::truncated;
    std::string failure_text_;
};

} // namespace agatespread::detail
