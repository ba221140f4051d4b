// The simulated platform of `mesh`: committed versions, reads with injected faults, and checks of
// the versions and trees that nodes apply.

#include "mesh.h"

#include <agatespread/digest.h>

#include <absl/strings/str_cat.h>

namespace agatespread::test {

config_version mesh::commit(const node_id& id, const std::string& subtree,
                            const std::string& document, bool notify_host)
{
    change request{
        absl::StrCat("change-", heads_.size() + 1), subtree, "operator", document, {}, {}};
    config_tree tree;
    if (!heads_.empty()) {
        request.base = heads_.back();
        request.base_manifest = manifests_.at(heads_.back().manifest_id);
        tree = trees_.at(heads_.back().version);
    }
    manifest next = request.base_manifest;
    if (document.empty()) {
        next.erase(subtree);
        tree.erase(subtree);
    }
    else {
        next[subtree] = sha256_hex(document);
        tree[subtree] = document;
        objects_[sha256_hex(document)] = document;
    }
    const head accepted{heads_.size() + 1, sha256_hex(encode_manifest(next)), request.id};
    manifests_[accepted.manifest_id] = next;
    trees_[accepted.version] = tree;
    heads_.push_back(accepted);
    if (notify_host) {
        at(id).versions->on_committed(accepted, request, now_);
    }
    return accepted.version;
}

bool mesh::converged() const
{
    for (const std::pair<const node_id, host>& entry : hosts_) {
        if (entry.second.up && entry.second.versions->in_force() != newest()) {
            return false;
        }
    }
    return true;
}

template <typename Result>
absl::StatusOr<Result> mesh::read(bool fails, const Result& value, std::size_t size)
{
    ++platform_reads;
    if (fails) {
        return layer_error(absl::StatusCode::kUnavailable, "store", "unavailable", "down");
    }
    platform_bytes += size;
    return value;
}

distribution_hooks mesh::make_hooks(const node_id& id)
{
    distribution_hooks hooks;
    hooks.send = [this, id](const outgoing_message& batch) { send(id, batch); };
    hooks.wall_clock = [this] {
        return static_cast<std::uint64_t>(now_.time_since_epoch() / std::chrono::milliseconds(1));
    };
    hooks.read_head = [this, id](bool checked) {
        const std::size_t stale = faults.stale_head && !checked && !heads_.empty() ? 1 : 0;
        const std::size_t seen = heads_.size() - stale;
        const absl::StatusOr<head> result =
            read(faults.platform_down, seen == 0 ? head{} : heads_[seen - 1], 100);
        schedule_response(id, [this, result, checked](host& target) {
            target.versions->on_head(result, checked, now_);
        });
    };
    hooks.read_manifest = [this, id](const std::string& object) {
        const manifest value = manifests_.count(object) == 0 ? manifest() : manifests_.at(object);
        const absl::StatusOr<manifest> result =
            read(faults.platform_down || chance(faults.loss), value, value.size() * 80);
        schedule_response(id, [this, object, result](host& target) {
            target.versions->on_manifest(object, result, now_);
        });
    };
    hooks.read_object = [this, id](const std::string& object) {
        const std::string value = objects_.count(object) == 0 ? "" : objects_.at(object);
        const absl::StatusOr<std::string> result =
            read(faults.platform_down || chance(faults.loss), value, value.size());
        schedule_response(id, [this, object, result](host& target) {
            target.versions->on_object(object, result, now_);
        });
    };
    hooks.apply = [this, id](const config_tree& tree, config_version version,
                             const std::string& /*manifest_id*/) {
        return apply(at(id), tree, version);
    };
    return hooks;
}

absl::Status mesh::apply(host& target, const config_tree& tree, config_version version)
{
    if (target.refused_versions.count(version) != 0) {
        return absl::InvalidArgumentError("refused by the test");
    }
    if (version <= target.served_since_start) {
        violations.push_back(
            absl::StrCat(target.id, " went from ", target.served_since_start, " to ", version));
    }
    if (trees_.count(version) == 0 || trees_.at(version) != tree) {
        violations.push_back(
            absl::StrCat(target.id, " applied a different tree as version ", version));
    }
    if (target.served_since_start == 0) {
        check_restart(target, version);
    }
    target.served_since_start = version;
    target.highest_served = std::max(target.highest_served, version);
    return absl::OkStatus();
}

void mesh::check_restart(const host& target, config_version version)
{
    for (const peer_version& peer : target.peer_versions) {
        const host& other = at(peer.node);
        const bool is_reachable =
            other.up && !other.paused && other.incarnation == peer.incarnation;
        if (is_reachable && version < std::min(peer.version, target.highest_served)) {
            violations.push_back(absl::StrCat(target.id, " restarted at ", version, " while ",
                                              peer.node, " stores ", peer.version));
        }
    }
}

} // namespace agatespread::test
