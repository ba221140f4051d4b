#include "apply_job.h"

#include <agatespread/digest.h>

#include <map>
#include <utility>
#include <vector>

namespace agatespread {

namespace {

// Each lost race means that another change was accepted, so that some operator made progress.
constexpr int max_races = 8;

class apply_job : public std::enable_shared_from_this<apply_job> {
public:
    apply_job(config_store& store, apply_request request, local_tree local,
              std::function<void(absl::StatusOr<apply_result>)> done)
        : store_(store), request_(std::move(request)), local_(std::move(local)),
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
        if (base_.version == 0) {
            on_manifest(manifest());
            return;
        }
        const std::shared_ptr<apply_job> self = shared_from_this();
        store_.read_manifest(base_.manifest_id, [self](const absl::StatusOr<manifest>& tree) {
            self->on_manifest(tree);
        });
    }

    void on_manifest(const absl::StatusOr<manifest>& result)
    {
        if (!result.ok()) {
            done_(result.status());
            return;
        }
        base_tree_ = *result;
        if (lost_to_same_subtree()) {
            done_(layer_error(absl::StatusCode::kAborted, "store", "conflict",
                              "subtree " + request_.subtree + " changed between version " +
                                  std::to_string(first_base_) + " and version " +
                                  std::to_string(base_.version)));
            return;
        }
        collect_documents();
    }

    // The first base is what the operator's change was checked against.
    bool lost_to_same_subtree()
    {
        const auto found = base_tree_.find(request_.subtree);
        const std::string object = found == base_tree_.end() ? std::string() : found->second;
        if (!first_object_) {
            first_object_ = object;
            first_base_ = base_.version;
        }
        return *first_object_ != object;
    }

    void collect_documents()
    {
        std::map<std::string, std::string> known;
        for (const config_tree::value_type& held : local_()) {
            known.emplace(sha256_hex(held.second), held.second);
        }
        documents_.clear();
        missing_ = 0;
        failure_ = absl::OkStatus();
        std::vector<manifest::value_type> to_read;
        for (const manifest::value_type& entry : base_tree_) {
            const auto found = known.find(entry.second);
            if (found != known.end()) {
                documents_[entry.first] = found->second;
            }
            else if (entry.first != request_.subtree) {
                to_read.push_back(entry);
            }
        }
        missing_ = to_read.size();
        if (missing_ == 0) {
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
            if (--self->missing_ == 0) {
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
            build_snapshot(documents_, base_.version + 1, "");
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
        const std::shared_ptr<apply_job> self = shared_from_this();
        store_.commit(change_, [self](const absl::StatusOr<accepted_change>& result) {
            self->on_committed(result);
        });
    }

    void on_committed(const absl::StatusOr<accepted_change>& result)
    {
        if (!result.ok()) {
            if (reason_of(result.status(), "store") == "conflict" && ++races_ < max_races) {
                start();
                return;
            }
            done_(result.status());
            return;
        }
        apply_result end;
        end.accepted = *result;
        end.committed = std::move(change_);
        done_(std::move(end));
    }

    config_store& store_;
    apply_request request_;
    local_tree local_;
    std::function<void(absl::StatusOr<apply_result>)> done_;
    head base_;
    manifest base_tree_;
    std::optional<std::string> first_object_;
    config_version first_base_ = 0;
    config_tree documents_;
    std::size_t missing_ = 0;
    absl::Status failure_;
    change change_;
    int races_ = 0;
};

} // namespace

void apply_change(config_store& store, apply_request request, local_tree local,
                  std::function<void(absl::StatusOr<apply_result>)> done)
{
    std::make_shared<apply_job>(store, std::move(request), std::move(local), std::move(done))
        ->start();
}

} // namespace agatespread
