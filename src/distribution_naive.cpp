#include <agatespread/digest.h>
#include <agatespread/distribution.h>
#include <agatespread/kernel.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

/// Polls the head on every node and reads the whole tree whenever it changes; sends no messages.
///
/// The baseline of the differential tests and of the benchmark.
class naive_distribution final : public distributor {
public:
    naive_distribution(distribution_options options, distribution_hooks hooks, membership& members,
                       random_source random)
        : options_(options), hooks_(std::move(hooks)), members_(members), random_(std::move(random))
    {
    }

    void start(time_point now) override
    {
        next_poll_ =
            now + uniform_between(random_, std::chrono::milliseconds(0), options_.head_poll_period);
    }

    void tick(time_point now) override
    {
        if (now < next_poll_) {
            return;
        }
        next_poll_ = now + options_.head_poll_period;
        ++counts_.head_reads;
        hooks_.read_head(!checked_head_);
    }

    void receive(const peer_endpoint& /*from*/, const message& /*content*/,
                 time_point /*now*/) override
    {
    }

    void on_committed(const head& /*accepted*/, const change& /*request*/,
                      time_point /*now*/) override
    {
    }

    void on_head(const absl::StatusOr<head>& result, bool checked, time_point now) override
    {
        if (!result.ok()) {
            return;
        }
        if (checked) {
            checked_head_ = result->version;
        }
        const bool is_fetching = fetching_ && now - fetch_started_ < options_.read_timeout;
        if (!checked_head_ || result->version < *checked_head_ || result->version <= in_force_ ||
            is_fetching) {
            return;
        }
        fetching_ = *result;
        fetch_started_ = now;
        manifest_.clear();
        objects_.clear();
        ++counts_.platform_reads;
        hooks_.read_manifest(fetching_->manifest_id);
    }

    void on_manifest(const std::string& id, const absl::StatusOr<manifest>& result,
                     time_point now) override
    {
        if (!fetching_ || fetching_->manifest_id != id) {
            return;
        }
        if (!result.ok()) {
            fetching_.reset();
            return;
        }
        manifest_ = *result;
        std::set<std::string> ids;
        for (const std::pair<const std::string, std::string>& subtree : manifest_) {
            ids.insert(subtree.second);
        }
        missing_ = ids;
        for (const std::string& object : ids) {
            ++counts_.platform_reads;
            hooks_.read_object(object);
        }
        apply_if_complete(now);
    }

    void on_object(const std::string& id, const absl::StatusOr<std::string>& result,
                   time_point now) override
    {
        if (!fetching_ || missing_.count(id) == 0) {
            return;
        }
        if (!result.ok() || sha256_hex(*result) != id) {
            counts_.bad_objects += result.ok() ? 1 : 0;
            fetching_.reset();
            return;
        }
        objects_[id] = *result;
        missing_.erase(id);
        apply_if_complete(now);
    }

    void request_status(std::uint64_t id, time_point /*now*/) override
    {
        domain_summary own;
        own.failure_domain = members_.self().failure_domain;
        own.lowest = in_force_;
        own.highest = in_force_;
        own.members = 1;
        if (hooks_.status) {
            hooks_.status({id, {own}});
        }
    }

    config_version in_force() const override { return in_force_; }
    const config_tree& tree() const override { return documents_; }
    const distribution_counts& counts() const override { return counts_; }

private:
    void apply_if_complete(time_point now)
    {
        if (!missing_.empty()) {
            return;
        }
        config_tree documents;
        for (const std::pair<const std::string, std::string>& subtree : manifest_) {
            documents[subtree.first] = objects_.at(subtree.second);
        }
        const head new_head = *std::exchange(fetching_, std::nullopt);
        if (!hooks_.apply(documents, new_head.version, new_head.manifest_id).ok()) {
            ++counts_.refused;
            return;
        }
        ++counts_.applied;
        in_force_ = new_head.version;
        documents_ = std::move(documents);
        members_.set_in_force(in_force_, now);
    }

    distribution_options options_;
    distribution_hooks hooks_;
    membership& members_;
    random_source random_;
    distribution_counts counts_;
    time_point next_poll_;
    std::optional<config_version> checked_head_;
    std::optional<head> fetching_;
    time_point fetch_started_;
    manifest manifest_;
    std::map<std::string, std::string> objects_;
    std::set<std::string> missing_;
    config_version in_force_ = 0;
    config_tree documents_;
};

const registration<distributor_factory> entry{
    "naive",
    [](distribution_options options, distribution_hooks hooks, membership& members,
       random_source random) -> std::unique_ptr<distributor> {
        return std::make_unique<naive_distribution>(options, std::move(hooks), members,
                                                    std::move(random));
    }};

} // namespace

} // namespace agatespread
