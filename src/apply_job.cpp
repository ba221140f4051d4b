#include "apply_job.h"

#include <agatespread/digest.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace agatespread {

namespace {

// Each conflict means that another change was accepted, so the system as a whole makes progress.
constexpr int max_commit_attempts = 8;

manifest manifest_of(const config_tree& tree)
{
    manifest result;
    for (const config_tree::value_type& entry : tree) {
        result[entry.first] = sha256_hex(entry.second);
    }
    return result;
}

class apply_job : public std::enable_shared_from_this<apply_job> {
public:
    apply_job(config_store& store, apply_request request, local_configuration_source local,
              std::function<void(absl::StatusOr<apply_result>)> done)
        : store_(store), request_(std::move(request)), local_source_(std::move(local)),
          done_(std::move(done))
    {
    }

    void start()
    {
        const std::shared_ptr<apply_job> self = shared_from_this();
        store_.read_head([self](const absl::StatusOr<head>& result) { self->on_head(result); });
    }

private:
    void on_head(const absl::StatusOr<head>& result)
    {
        if (!result.ok()) {
            done_(result.status());
            return;
        }
        base_ = *result;
        local_ = local_source_();
        // The head may also be stale, which fails the commit.
        if (platform_lost_versions()) {
            on_manifest(manifest_of(local_.tree));
            return;
        }
        if (base_.version == 0) {
            on_manifest(manifest());
            return;
        }
        const std::shared_ptr<apply_job> self = shared_from_this();
        store_.read_manifest(base_.manifest_id, [self](const absl::StatusOr<manifest>& tree) {
            self->on_manifest(tree);
        });
    }

    bool platform_lost_versions() const { return base_.version < local_.version; }

    config_version next_version() const { return std::max(base_.version, local_.version) + 1; }

    void on_manifest(const absl::StatusOr<manifest>& result)
    {
        if (!result.ok()) {
            done_(result.status());
            return;
        }
        base_tree_ = *result;
        if (subtree_changed_concurrently()) {
            done_(layer_error(absl::StatusCode::kAborted, "store", "conflict",
                              "subtree " + request_.subtree + " changed between version " +
                                  std::to_string(original_version_) + " and version " +
                                  std::to_string(base_.version)));
            return;
        }
        collect_documents();
    }

    // Compares with the first version that was read, the base of the operator's change.
    bool subtree_changed_concurrently()
    {
        const auto found = base_tree_.find(request_.subtree);
        const std::string object_id = found == base_tree_.end() ? std::string() : found->second;
        if (!original_object_id_) {
            original_object_id_ = object_id;
            original_version_ = base_.version;
        }
        return *original_object_id_ != object_id;
    }

    void collect_documents()
    {
        std::map<std::string, std::string> local_documents_by_id;
        for (const config_tree::value_type& local_document : local_.tree) {
            local_documents_by_id.emplace(sha256_hex(local_document.second), local_document.second);
        }
        documents_.clear();
        pending_reads_ = 0;
        failure_ = absl::OkStatus();
        std::vector<manifest::value_type> to_read;
        for (const manifest::value_type& entry : base_tree_) {
            const auto found = local_documents_by_id.find(entry.second);
            if (found != local_documents_by_id.end()) {
                documents_[entry.first] = found->second;
            }
            else if (entry.first != request_.subtree) {
                to_read.push_back(entry);
            }
        }
        pending_reads_ = to_read.size();
        if (pending_reads_ == 0) {
            validate();
            return;
        }
        for (const manifest::value_type& entry : to_read) {
            read_document(entry.first, entry.second);
        }
    }

    void read_document(const std::string& subtree, const std::string& id)
    {
        const std::shared_ptr<apply_job> self = shared_from_this();
        store_.read_object(id, [self, subtree](const absl::StatusOr<std::string>& result) {
            if (result.ok()) {
                self->documents_[subtree] = *result;
            }
            else {
                self->failure_ = result.status();
            }
            if (--self->pending_reads_ == 0) {
                self->validate();
            }
        });
    }

    void validate()
    {
        if (!failure_.ok()) {
            done_(failure_);
            return;
        }
        if (request_.document.empty()) {
            documents_.erase(request_.subtree);
        }
        else {
            documents_[request_.subtree] = request_.document;
        }
        const absl::StatusOr<std::shared_ptr<const snapshot>> built =
            build_snapshot(documents_, next_version(), "");
        if (!built.ok()) {
            done_(built.status());
            return;
        }
        if (request_.dry_run) {
            apply_result result;
            result.accepted.accepted.version = base_.version;
            result.dry_run = true;
            done_(std::move(result));
            return;
        }
        commit();
    }

    void commit()
    {
        change_ = change();
        change_.id = request_.change_id;
        change_.subtree = request_.subtree;
        change_.operator_id = request_.operator_id;
        change_.document = request_.document;
        change_.base = base_;
        change_.base_manifest = base_tree_;
        change_.newest_known = local_.version;
        if (platform_lost_versions()) {
            for (const config_tree::value_type& entry : local_.tree) {
                change_.lost_documents.push_back(entry.second);
            }
        }
        const std::shared_ptr<apply_job> self = shared_from_this();
        store_.commit(change_, [self](const absl::StatusOr<accepted_change>& result) {
            self->on_committed(result);
        });
    }

    void on_committed(const absl::StatusOr<accepted_change>& result)
    {
        if (!result.ok()) {
            if (reason_of(result.status(), "store") == "conflict" &&
                ++commit_conflicts_ < max_commit_attempts) {
                start();
                return;
            }
            done_(result.status());
            return;
        }
        apply_result outcome;
        outcome.accepted = *result;
        outcome.committed = std::move(change_);
        done_(std::move(outcome));
    }

    config_store& store_;
    apply_request request_;
    local_configuration_source local_source_;
    local_configuration local_; ///< When the head was read.
    std::function<void(absl::StatusOr<apply_result>)> done_;
    head base_;
    manifest base_tree_;
    std::optional<std::string> original_object_id_;
    config_version original_version_ = 0;
    config_tree documents_;
    std::size_t pending_reads_ = 0;
    absl::Status failure_;
    change change_;
    int commit_conflicts_ = 0;
};

} // namespace

void apply_change(config_store& store, apply_request request, local_configuration_source local,
                  std::function<void(absl::StatusOr<apply_result>)> done)
{
    std::make_shared<apply_job>(store, std::move(request), std::move(local), std::move(done))
        ->start();
}

} // namespace agatespread
