#include <agatespread/routing.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatespread {

namespace {

absl::Status unusable(const route_rule& rule, std::string_view text)
{
    return layer_error(absl::StatusCode::kInvalidArgument, "routing", "unusable_rule",
                       fmt::format("rule {}: {}", rule.name, text));
}

std::string lower_case(std::string_view text)
{
    std::string result(text);
    for (char& letter : result) {
        if (letter >= 'A' && letter <= 'Z') {
            letter = static_cast<char>(letter - 'A' + 'a');
        }
    }
    return result;
}

bool same_shares(const std::vector<service_share>& left, const std::vector<service_share>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const service_share& one, const service_share& other) {
                          return one.service == other.service && one.weight == other.weight;
                      });
}

} // namespace

routing_table::routing_table(config_version version, const caller_limits& limits)
    : version_(version), limits_(limits)
{
}

absl::Status routing_table::add(std::string_view host, route_rule rule)
{
    if (host.empty()) {
        return unusable(rule, "no host");
    }
    if (rule.prefix.empty() || rule.prefix.front() != '/' || rule.prefix.back() != '/') {
        return unusable(rule, "the path prefix does not begin and end with a slash");
    }
    if (rule.timeout.count() <= 0) {
        return unusable(rule, "the timeout is not above 0");
    }
    if (rule.max_attempts == 0) {
        return unusable(rule, "no attempt is allowed");
    }
    std::uint64_t weights = 0;
    for (const service_share& share : rule.to) {
        weights += share.service.empty() ? 0 : share.weight;
    }
    if (weights == 0) {
        return unusable(rule, "no service has a weight");
    }
    rules_by_prefix& rules = hosts_[lower_case(host)];
    const std::string prefix = rule.prefix;
    if (rules.count(prefix) > 0) {
        return unusable(rule, "another rule of the host has the same prefix");
    }
    rules.emplace(prefix, std::make_shared<const route_rule>(std::move(rule)));
    ++size_;
    return absl::OkStatus();
}

std::shared_ptr<const route_rule> routing_table::find(std::string_view host,
                                                      std::string_view target) const
{
    const auto rules = hosts_.find(lower_case(host.substr(0, host.find(':'))));
    if (rules == hosts_.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = path.rfind('/')) {
        path = path.substr(0, slash + 1);
        const auto found = rules->second.find(std::string(path));
        if (found != rules->second.end()) {
            return found->second;
        }
        path.remove_suffix(1);
    }
    return nullptr;
}

share_picker::share_picker(random_source random) : random_(std::move(random))
{
}

std::size_t share_picker::pick(const route_rule& rule)
{
    if (rule.to.size() == 1) {
        return 0;
    }
    std::int64_t total = 0;
    for (const service_share& share : rule.to) {
        total += share.weight;
    }
    shares& state = rules_[rule.name];
    if (!same_shares(state.of, rule.to)) {
        state.of = rule.to;
        state.credit.clear();
        for (const service_share& share : rule.to) {
            state.credit.push_back(share.weight == 0 ? 0
                                                     : static_cast<std::int64_t>(uniform_below(
                                                           random_, share.weight + 1)));
        }
    }
    std::size_t best = rule.to.size();
    for (std::size_t index = 0; index < rule.to.size(); ++index) {
        if (rule.to[index].weight == 0) {
            continue;
        }
        state.credit[index] += rule.to[index].weight;
        if (best == rule.to.size() || state.credit[index] > state.credit[best]) {
            best = index;
        }
    }
    state.credit[best] -= total;
    return best;
}

} // namespace agatespread
