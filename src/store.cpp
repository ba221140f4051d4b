#include <agatespread/digest.h>
#include <agatespread/store.h>

#include <absl/strings/str_cat.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace agatespread {

namespace {

using json = nlohmann::json;

constexpr std::string_view head_key = "head";

// One attempt and three retries. If the responses to all of them are lost, the operator gets
// "outcome_unknown" and queries the outcome later by the change id.
constexpr int max_attempts = 4;

// Backoff before the first retry, doubled for each further one. The three delays add up to 1.4 s,
// so that the operator gets a response within the 3 s in which a change must be in force.
constexpr std::chrono::milliseconds initial_backoff(200);

std::string version_key(config_version version)
{
    // Zero-padded to a fixed width, so that keys sort in the order of versions.
    return fmt::format("version/{:020}", version);
}

std::string change_key(const std::string& id)
{
    return "change/" + id;
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status store_error(absl::StatusCode code, std::string_view reason, std::string_view message)
{
    return layer_error(code, "store", reason, message);
}

absl::Status corrupt_error(std::string_view message)
{
    return store_error(absl::StatusCode::kDataLoss, "corrupt", message);
}

// Converts a platform error of a call that does not write.
absl::Status read_error(const absl::Status& status, std::string_view subject)
{
    const std::string reason = reason_of(status, "platform");
    const std::string message = fmt::format("{}: {}", subject, std::string(status.message()));
    if (reason == "not_found") {
        return store_error(absl::StatusCode::kNotFound, "not_found", message);
    }
    if (reason == "malformed") {
        return corrupt_error(message);
    }
    return store_error(absl::StatusCode::kUnavailable, "unavailable", message);
}

std::string text_field(const json& object, const char* name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

std::optional<config_version> version_field(const json& object, const char* name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_number_unsigned()) {
        return std::nullopt;
    }
    return field->get<config_version>();
}

std::string encode_head(const head& value)
{
    return dump(json{
        {"version", value.version}, {"manifest", value.manifest_id}, {"change", value.change_id}});
}

absl::StatusOr<head> decode_head(std::string_view bytes)
{
    const json row = json::parse(bytes, nullptr, false);
    const std::optional<config_version> version =
        row.is_object() ? version_field(row, "version") : std::nullopt;
    if (!version) {
        return corrupt_error("row head is malformed");
    }
    return head{*version, text_field(row, "manifest"), text_field(row, "change")};
}

// The row `change/ID`.
struct change_row {
    head accepted;
    std::string subtree;
    std::string object_id;
};

std::string encode_change(const change_row& row)
{
    return dump(json{{"version", row.accepted.version},
                     {"manifest", row.accepted.manifest_id},
                     {"subtree", row.subtree},
                     {"object", row.object_id}});
}

absl::StatusOr<change_row> decode_change(const std::string& id, std::string_view bytes)
{
    const json row = json::parse(bytes, nullptr, false);
    const std::optional<config_version> version =
        row.is_object() ? version_field(row, "version") : std::nullopt;
    if (!version) {
        return corrupt_error(fmt::format("row change/{} is malformed", id));
    }
    return change_row{head{*version, text_field(row, "manifest"), id}, text_field(row, "subtree"),
                      text_field(row, "object")};
}

absl::StatusOr<version_entry> decode_version(const row& source)
{
    const json fields = json::parse(source.value, nullptr, false);
    const std::string digits = source.key.substr(source.key.find('/') + 1);
    config_version version = 0;
    if (!fields.is_object() || !absl::SimpleAtoi(digits, &version)) {
        return corrupt_error(fmt::format("row {} is malformed", source.key));
    }
    return version_entry{version, text_field(fields, "manifest"), text_field(fields, "change"),
                         text_field(fields, "subtree"), text_field(fields, "operator")};
}

const std::string* value_of(const std::vector<row>& rows, std::string_view key)
{
    for (const row& candidate : rows) {
        if (candidate.key == key) {
            return &candidate.value;
        }
    }
    return nullptr;
}

// Reads a row by a transaction that requires it to be absent. The conflict returns the existing
// row, which, unlike the result of a plain read, cannot be stale.
void read_checked(platform& driver, const std::string& key,
                  platform::callback<std::optional<std::string>> done)
{
    transaction check;
    check.preconditions.push_back({key, std::nullopt});
    driver.commit(
        std::move(check), [key, done = std::move(done)](absl::StatusOr<transaction_result> result) {
            if (!result.ok()) {
                done(read_error(result.status(), "row " + key));
                return;
            }
            const std::string* present = value_of(result->conflicts, key);
            if (!result->committed && present == nullptr) {
                done(corrupt_error(fmt::format(
                    "the platform reported a conflict on row {} but did not return it", key)));
                return;
            }
            done(result->committed ? std::nullopt : std::optional<std::string>(*present));
        });
}

// Calls `next_attempt` after a delay, or immediately if the store has no timers.
using retry_scheduler =
    std::function<void(std::chrono::milliseconds delay, std::function<void()> next_attempt)>;

// The commit of one change. Pending callbacks own the operation.
class commit_operation : public std::enable_shared_from_this<commit_operation> {
public:
    commit_operation(platform& driver, retry_scheduler retry, change request,
                     config_store::callback<accepted_change> done)
        : driver_(driver), retry_(std::move(retry)), request_(std::move(request)),
          done_(std::move(done))
    {
    }

    void start()
    {
        manifest tree = request_.base_manifest;
        if (request_.document.empty()) {
            tree.erase(request_.subtree);
        }
        else {
            object_id_ = sha256_hex(request_.document);
            tree[request_.subtree] = object_id_;
            objects_.emplace_back(object_id_, request_.document);
        }
        for (const std::string& document : request_.lost_documents) {
            objects_.emplace_back(sha256_hex(document), document);
        }
        std::string tree_bytes = encode_manifest(tree);
        const config_version newest = std::max(request_.base.version, request_.newest_known);
        accepted_ = {newest + 1, sha256_hex(tree_bytes), request_.id};
        objects_.emplace_back(accepted_.manifest_id, std::move(tree_bytes));
        put_next_object();
    }

private:
    void put_next_object()
    {
        if (next_object_ == objects_.size()) {
            attempts_ = 0;
            commit();
            return;
        }
        ++attempts_;
        const std::pair<std::string, std::string>& object = objects_[next_object_];
        driver_.put_object(object.first, object.second,
                           [self = shared_from_this()](const absl::StatusOr<bool>& result) {
                               self->on_object_stored(result);
                           });
    }

    void on_object_stored(const absl::StatusOr<bool>& result)
    {
        if (result.ok()) {
            ++next_object_;
            attempts_ = 0;
            put_next_object();
        }
        else if (reason_of(result.status(), "platform") == "outcome_unknown" &&
                 attempts_ < max_attempts) {
            retry(&commit_operation::put_next_object);
        }
        else {
            // The transaction was not sent, so the change is not accepted, even if the object was
            // stored.
            done_(store_error(absl::StatusCode::kUnavailable, "unavailable",
                              fmt::format("object {}: {}", objects_[next_object_].first,
                                          std::string(result.status().message()))));
        }
    }

    void retry(void (commit_operation::*step)())
    {
        retry_(initial_backoff * (1 << (attempts_ - 1)),
               [self = shared_from_this(), step] { ((*self).*step)(); });
    }

    transaction make_transaction() const
    {
        const head& base = request_.base;
        transaction result;
        result.preconditions = {
            {std::string(head_key),
             base.version == 0 ? std::nullopt : std::optional<std::string>(encode_head(base))},
            {change_key(request_.id), std::nullopt}};
        const std::string version_row = dump(json{{"manifest", accepted_.manifest_id},
                                                  {"change", request_.id},
                                                  {"subtree", request_.subtree},
                                                  {"operator", request_.operator_id},
                                                  {"base", base.version}});
        result.writes = {
            {std::string(head_key), encode_head(accepted_)},
            {version_key(accepted_.version), version_row},
            {change_key(request_.id), encode_change({accepted_, request_.subtree, object_id_})}};
        return result;
    }

    // After a lost response the same transaction is sent again; its precondition on `change/ID`
    // returns that row if the first transaction was committed. If the row is absent, the second
    // transaction either commits in place of the first or fails because the head has advanced.
    // In both cases the first can no longer take effect, even if it is delivered later, which a
    // plain read could not rule out.
    void commit()
    {
        ++attempts_;
        driver_.commit(make_transaction(), [self = shared_from_this()](
                                               const absl::StatusOr<transaction_result>& result) {
            self->on_committed(result);
        });
    }

    void on_committed(const absl::StatusOr<transaction_result>& result)
    {
        if (result.ok()) {
            done_(result->committed ? accepted_change{accepted_, false}
                                    : resolve_conflict(result->conflicts));
            return;
        }
        const std::string reason = reason_of(result.status(), "platform");
        const bool not_executed = reason == "unavailable" || reason == "overloaded";
        outcome_unknown_ = outcome_unknown_ || !not_executed;
        if (!outcome_unknown_) {
            done_(store_error(absl::StatusCode::kUnavailable, "unavailable",
                              std::string(result.status().message())));
        }
        else if (attempts_ < max_attempts) {
            retry(&commit_operation::commit);
        }
        else {
            done_(store_error(absl::StatusCode::kUnknown, "outcome_unknown",
                              fmt::format("change {} of subtree {}: outcome unknown after {} "
                                          "attempts: {}",
                                          request_.id, request_.subtree, attempts_,
                                          std::string(result.status().message()))));
        }
    }

    absl::StatusOr<accepted_change> resolve_conflict(const std::vector<row>& present) const
    {
        const std::string* earlier = value_of(present, change_key(request_.id));
        if (earlier != nullptr) {
            return repeated_change(*earlier);
        }
        head current;
        const std::string* head_row = value_of(present, head_key);
        if (head_row != nullptr) {
            const absl::StatusOr<head> decoded = decode_head(*head_row);
            if (!decoded.ok()) {
                return decoded.status();
            }
            current = *decoded;
        }
        return store_error(absl::StatusCode::kAborted, "conflict",
                           fmt::format("subtree {}: validated against version {}, but the head "
                                       "is version {}",
                                       request_.subtree, request_.base.version, current.version));
    }

    absl::StatusOr<accepted_change> repeated_change(const std::string& earlier) const
    {
        const absl::StatusOr<change_row> found = decode_change(request_.id, earlier);
        if (!found.ok()) {
            return found.status();
        }
        if (found->subtree != request_.subtree || found->object_id != object_id_) {
            return store_error(
                absl::StatusCode::kAborted, "conflict",
                fmt::format("subtree {}: change id {} was used for version {} of subtree {} with "
                            "other content; the base was version {}",
                            request_.subtree, request_.id, found->accepted.version, found->subtree,
                            request_.base.version));
        }
        const bool own_commit = outcome_unknown_ && found->accepted == accepted_;
        return accepted_change{found->accepted, !own_commit};
    }

    platform& driver_;
    retry_scheduler retry_;
    change request_;
    config_store::callback<accepted_change> done_;
    std::string object_id_;
    head accepted_;
    std::vector<std::pair<std::string, std::string>> objects_;
    std::size_t next_object_ = 0;
    int attempts_ = 0;
    bool outcome_unknown_ = false;
};

} // namespace

std::string encode_manifest(const manifest& tree)
{
    return dump(json(tree));
}

absl::StatusOr<manifest> decode_manifest(std::string_view bytes)
{
    const json object = json::parse(bytes, nullptr, false);
    if (!object.is_object()) {
        return corrupt_error("manifest is not a JSON object");
    }
    manifest tree;
    for (const auto& entry : object.items()) {
        if (!entry.value().is_string()) {
            return corrupt_error(fmt::format("manifest entry {} is not an object id", entry.key()));
        }
        tree.emplace(entry.key(), entry.value().get<std::string>());
    }
    return tree;
}

// Owned by pending driver calls as well, so that it can outlive the store.
struct config_store::retry_queue {
    timer_service* timers = nullptr;
    bool closed = false;
    std::uint64_t next_id = 0;
    std::map<std::uint64_t, subscription> pending;
};

config_store::config_store(platform& driver, timer_service* timers)
    : driver_(driver), retries_(std::make_shared<retry_queue>())
{
    retries_->timers = timers;
}

config_store::~config_store()
{
    retries_->closed = true;
    std::map<std::uint64_t, subscription> cancelled;
    cancelled.swap(retries_->pending);
}

void config_store::read_head(callback<head> done)
{
    driver_.read(std::string(head_key),
                 [done = std::move(done)](absl::StatusOr<std::optional<std::string>> result) {
                     if (!result.ok()) {
                         done(read_error(result.status(), "row head"));
                         return;
                     }
                     done(result->has_value() ? decode_head(**result) : head());
                 });
}

void config_store::read_checked_head(callback<head> done)
{
    read_checked(driver_, std::string(head_key),
                 [done = std::move(done)](absl::StatusOr<std::optional<std::string>> result) {
                     if (!result.ok()) {
                         done(result.status());
                         return;
                     }
                     done(result->has_value() ? decode_head(**result) : head());
                 });
}

void config_store::read_manifest(const std::string& id, callback<manifest> done)
{
    read_object(id, [done = std::move(done)](absl::StatusOr<std::string> bytes) {
        if (!bytes.ok()) {
            done(bytes.status());
            return;
        }
        done(decode_manifest(*bytes));
    });
}

void config_store::read_object(const std::string& id, callback<std::string> done)
{
    driver_.get_object(id, [id, done = std::move(done)](absl::StatusOr<std::string> bytes) {
        if (!bytes.ok()) {
            done(read_error(bytes.status(), "object " + id));
            return;
        }
        const std::string actual = sha256_hex(*bytes);
        if (actual != id) {
            done(corrupt_error(fmt::format("object {} has the hash {}", id, actual)));
            return;
        }
        done(std::move(bytes));
    });
}

void config_store::read_history(std::size_t limit, callback<std::vector<version_entry>> done)
{
    driver_.scan("version/", limit,
                 [done = std::move(done)](absl::StatusOr<std::vector<row>> rows) {
                     if (!rows.ok()) {
                         done(read_error(rows.status(), "rows version/"));
                         return;
                     }
                     std::vector<version_entry> entries;
                     for (const row& source : *rows) {
                         absl::StatusOr<version_entry> entry = decode_version(source);
                         if (!entry.ok()) {
                             done(entry.status());
                             return;
                         }
                         entries.push_back(*std::move(entry));
                     }
                     done(std::move(entries));
                 });
}

void config_store::commit(change request, callback<accepted_change> done)
{
    retry_scheduler retry = [queue = retries_](std::chrono::milliseconds delay,
                                               std::function<void()> next_attempt) {
        if (queue->closed) {
            return;
        }
        if (queue->timers == nullptr) {
            next_attempt();
            return;
        }
        const std::uint64_t id = queue->next_id++;
        queue->pending[id] = queue->timers->after(
            delay, [queue, id, next_attempt = std::move(next_attempt)](time_point) {
                queue->pending.erase(id);
                next_attempt();
            });
    };
    std::make_shared<commit_operation>(driver_, std::move(retry), std::move(request),
                                       std::move(done))
        ->start();
}

void config_store::find_change(const std::string& id, callback<accepted_change> done)
{
    read_checked(driver_, change_key(id),
                 [id, done = std::move(done)](absl::StatusOr<std::optional<std::string>> result) {
                     if (!result.ok()) {
                         done(result.status());
                         return;
                     }
                     if (!result->has_value()) {
                         done(store_error(absl::StatusCode::kNotFound, "not_found",
                                          fmt::format("change {} was not accepted", id)));
                         return;
                     }
                     const absl::StatusOr<change_row> found = decode_change(id, **result);
                     if (!found.ok()) {
                         done(found.status());
                         return;
                     }
                     done(accepted_change{found->accepted, true});
                 });
}

} // namespace agatespread
