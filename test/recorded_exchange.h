#pragma once

#include <agatespread/http.h>

#include <functional>
#include <string>
#include <utility>

namespace agatespread {

/// An exchange without a connection that stores the response.
class recorded_exchange final : public http_exchange {
public:
    recorded_exchange(std::string method, std::string target, std::string body)
    {
        request_.method = std::move(method);
        request_.target = std::move(target);
        request_.body = std::move(body);
    }

    const http_request& request() const override { return request_; }
    void respond(http_response response) override { recorded_response = std::move(response); }
    void on_cancel(std::function<void()>) override {}

    http_response recorded_response;

private:
    http_request request_;
};

} // namespace agatespread
