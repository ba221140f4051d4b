#include "curl_loop.h"
#include "http_message.h"
#include "http_transfer.h"

#include <agatespread/http.h>

#include <asio/post.hpp>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace agatespread {

namespace {

// How many times a call that found its connection unusable is started on a new connection.
constexpr int max_stale_connections = 3;

} // namespace

struct http_client::impl {
    impl(asio::io_context& context, std::size_t connections_per_host, body_memory body_bytes)
        : memory(std::move(body_bytes)),
          curl(context, connections_per_host,
               [this](CURL* easy, CURLcode code) { finish(easy, code); })
    {
    }

    struct active_call {
        std::unique_ptr<detail::http_transfer> transfer;
        callback done;
    };

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl()
    {
        *alive = false;
        for (const std::pair<const call_id, active_call>& entry : calls) {
            curl.remove(entry.second.transfer->easy());
        }
    }

    void post_result(callback done, http_result result)
    {
        asio::post(curl.context(), [call = std::move(done), end = std::move(result)]() mutable {
            call(std::move(end));
        });
    }

    void start(call_id id, http_call call, callback done)
    {
        // Handles are not reused: libcurl 7.88.1 keeps a pointer to the last header line of the
        // transfer before, which it has freed, and follows it for a first line that begins with a
        // space.
        std::unique_ptr<detail::http_transfer> transfer = std::make_unique<detail::http_transfer>(
            curl, memory, [this](call_id discarded) { post_end(discarded); });
        transfer->prepare(id, std::move(call));
        CURL* const easy = transfer->easy();
        calls.emplace(id, active_call{std::move(transfer), std::move(done)});
        curl.add(easy);
    }

    void finish(CURL* easy, CURLcode code)
    {
        detail::http_transfer* const transfer = detail::http_transfer::from_easy_handle(easy);
        const auto found = calls.find(transfer->id());
        if (found == calls.end()) {
            return;
        }
        if (transfer->is_stale(code) && transfer->stale_connections() < max_stale_connections) {
            // Nothing was sent, so starting again cannot run the request twice.
            transfer->use_new_connection();
            curl.add(easy);
            return;
        }
        active_call ended = std::move(found->second);
        calls.erase(found);
        http_result result = ended.transfer->result(code);
        ended.transfer.reset();
        ended.done(std::move(result));
    }

    /// Ends a call whose body was discarded. Posted, because libcurl may be in a callback.
    void post_end(call_id id)
    {
        asio::post(curl.context(), [this, id, live = alive] {
            if (*live) {
                end(id);
            }
        });
    }

    void end(call_id id)
    {
        const auto found = calls.find(id);
        if (found == calls.end()) {
            return;
        }
        active_call ended = remove(found);
        http_result result = ended.transfer->result(CURLE_WRITE_ERROR);
        ended.transfer.reset();
        ended.done(std::move(result));
    }

    void cancel(call_id id)
    {
        const auto found = calls.find(id);
        if (found == calls.end()) {
            return;
        }
        active_call ended = remove(found);
        http_result result;
        result.outcome = http_outcome::cancelled;
        result.sent = ended.transfer->sent();
        result.error = "cancelled";
        ended.transfer.reset();
        post_result(std::move(ended.done), std::move(result));
    }

    /// Removes a call in progress and closes its connection.
    active_call remove(std::unordered_map<call_id, active_call>::iterator found)
    {
        active_call ended = std::move(found->second);
        calls.erase(found);
        curl.remove(ended.transfer->easy());
        return ended;
    }

    std::unordered_map<call_id, active_call> calls;
    call_id last_id = 0;
    body_memory memory;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    detail::curl_loop curl; ///< Declared last, because it must be destroyed before the transfers.
};

http_client::http_client(event_loop& loop, std::size_t connections_per_host, body_memory memory)
    : impl_(std::make_unique<impl>(loop.native().context, connections_per_host, std::move(memory)))
{
}

http_client::~http_client() = default;

http_client::call_id http_client::send(http_call call, callback done)
{
    const call_id id = ++impl_->last_id;
    const std::string rejection = detail::check_call(call);
    if (!rejection.empty()) {
        http_result result;
        result.error = rejection;
        impl_->post_result(std::move(done), std::move(result));
        return id;
    }
    impl_->start(id, std::move(call), std::move(done));
    return id;
}

void http_client::cancel(call_id id)
{
    impl_->cancel(id);
}

} // namespace agatespread
