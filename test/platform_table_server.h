#pragma once

#include <agatespread/event_loop.h>
#include <agatespread/http.h>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agatespread::adapter {

/// A stand-in for the store's tables and their feed, which can return from an older copy.
///
/// All members must be called on the loop's thread.
class platform_table_server {
public:
    explicit platform_table_server(event_loop& loop)
        : loop_(loop), server_(http_server::listen(loop, "127.0.0.1:0", {},
                                                   [this](std::shared_ptr<http_exchange> exchange) {
                                                       serve(std::move(exchange));
                                                   })
                                   .value())
    {
    }

    std::string address() const { return server_->address(); }

    void write(const std::string& table, const std::string& key, std::string value)
    {
        state_.rows[{table, key}] = {std::move(value), ++state_.version};
        answer_polls();
    }

    bool contains(const std::string& table, const std::string& key) const
    {
        return state_.rows.count({table, key}) > 0;
    }

    /// Returns the number of long polls of a table that wait for a change.
    std::size_t waiting_polls(const std::string& table) const
    {
        return static_cast<std::size_t>(
            std::count_if(polls_.begin(), polls_.end(),
                          [&table](const std::pair<const std::uint64_t, poll>& each) {
                              return each.second.table == table;
                          }));
    }

    /// Refuses all calls, also the polls that wait.
    void set_down(bool down)
    {
        down_ = down;
        const std::map<std::uint64_t, poll> waiting = std::exchange(polls_, {});
        for (const std::pair<const std::uint64_t, poll>& each : waiting) {
            respond(*each.second.exchange, 503, nlohmann::json::array());
        }
    }

    void save_copy() { copy_ = state_; }

    void restore_copy()
    {
        state_ = copy_;
        ++era_;
    }

private:
    struct versioned_value {
        std::string value;
        std::uint64_t version = 0;
    };
    struct content {
        std::map<std::pair<std::string, std::string>, versioned_value> rows;
        std::uint64_t version = 1;
    };
    struct poll {
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<http_exchange> exchange;
        subscription timeout;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const std::size_t start = target.find(name + "=");
        if (start == std::string::npos) {
            return {};
        }
        const std::size_t value = start + name.size() + 1;
        return target.substr(value, target.find('&', value) - value);
    }

    void serve(std::shared_ptr<http_exchange> exchange)
    {
        if (down_) {
            respond(*exchange, 503, nlohmann::json::array());
            return;
        }
        const std::string target = exchange->request().target;
        const std::string table = parameter(target, "table");
        if (target.rfind("/v1/rows-tx", 0) == 0) {
            const nlohmann::json body = nlohmann::json::parse(exchange->request().body.bytes());
            respond(*exchange, 200, nlohmann::json::array());
            for (const nlohmann::json& row : body["writes"]) {
                std::string value;
                absl::Base64Unescape(row["value"].get<std::string>(), &value);
                write(row["table"], row["key"], std::move(value));
            }
            return;
        }
        if (target.rfind("/v1/rows-get", 0) == 0) {
            respond(*exchange, 200, rows_after(table, 0));
            return;
        }
        poll next{table, std::stoull(parameter(target, "after")), std::move(exchange), {}};
        if (next.after > state_.version) {
            respond(*next.exchange, 410, nlohmann::json::array());
            return;
        }
        const std::uint64_t id = ++last_poll_;
        const std::chrono::milliseconds wait(std::stoll(parameter(target, "wait_ms")));
        next.timeout = loop_.after(wait, [this, id](time_point) {
            respond(*polls_.at(id).exchange, 200, nlohmann::json::array());
            polls_.erase(id);
        });
        polls_.emplace(id, std::move(next));
        answer_polls();
    }

    nlohmann::json rows_after(const std::string& table, std::uint64_t after) const
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto& [name, stored] : state_.rows) {
            if (name.first == table && stored.version > after) {
                rows.push_back({{"table", table},
                                {"key", name.second},
                                {"value", absl::Base64Escape(stored.value)},
                                {"ver", stored.version}});
            }
        }
        return rows;
    }

    void answer_polls()
    {
        for (auto each = polls_.begin(); each != polls_.end();) {
            nlohmann::json rows = rows_after(each->second.table, each->second.after);
            if (rows.empty()) {
                ++each;
                continue;
            }
            respond(*each->second.exchange, 200, std::move(rows));
            each = polls_.erase(each);
        }
    }

    void respond(http_exchange& exchange, int status, nlohmann::json rows) const
    {
        http_response response;
        response.status = status;
        response.headers.add("Store-Era", std::to_string(era_));
        response.body =
            nlohmann::json{{"rows", std::move(rows)}, {"ver", state_.version}, {"has_more", false}}
                .dump();
        exchange.respond(std::move(response));
    }

    event_loop& loop_;
    content state_;
    content copy_;
    std::uint64_t era_ = 1;
    bool down_ = false;
    std::map<std::uint64_t, poll> polls_;
    std::uint64_t last_poll_ = 0;
    std::unique_ptr<http_server> server_;
};

} // namespace agatespread::adapter
