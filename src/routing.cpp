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

bool same_services(const std::vector<weighted_service>& left,
                   const std::vector<weighted_service>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const weighted_service& one, const weighted_service& other) {
                          return one.service == other.service && one.weight == other.weight;
                      });
}

} // namespace

std::string canonical_host(std::string_view host_header)
{
    return lower_case(host_header.substr(0, host_header.find(':')));
}

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
    std::uint64_t weight_sum = 0;
    for (const weighted_service& service : rule.services) {
        weight_sum += service.service.empty() ? 0 : service.weight;
    }
    if (weight_sum == 0) {
        return unusable(rule, "no service has a weight");
    }
    rules_by_prefix& rules = hosts_[lower_case(host)];
    const std::string prefix = rule.prefix;
    if (rules.count(prefix) > 0) {
        return unusable(rule, "another rule of the host has the same prefix");
    }
    has_uploads_ = has_uploads_ || rule.uploads;
    rules.emplace(prefix, std::make_shared<const route_rule>(std::move(rule)));
    ++size_;
    return absl::OkStatus();
}

std::shared_ptr<const route_rule> routing_table::find(std::string_view host,
                                                      std::string_view target) const
{
    const auto rules = hosts_.find(canonical_host(host));
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

weighted_round_robin::weighted_round_robin(random_source random) : random_(std::move(random))
{
}

std::size_t weighted_round_robin::pick(const route_rule& rule)
{
    if (rule.services.size() == 1) {
        return 0;
    }
    std::int64_t total_weight = 0;
    for (const weighted_service& service : rule.services) {
        total_weight += service.weight;
    }
    rule_state& state = states_[rule.name];
    if (!same_services(state.services, rule.services)) {
        state.services = rule.services;
        state.current_weights.clear();
        for (const weighted_service& service : rule.services) {
            state.current_weights.push_back(
                service.weight == 0
                    ? 0
                    : static_cast<std::int64_t>(uniform_below(random_, service.weight + 1)));
        }
    }
    std::size_t best = rule.services.size();
    for (std::size_t index = 0; index < rule.services.size(); ++index) {
        if (rule.services[index].weight == 0) {
            continue;
        }
        state.current_weights[index] += rule.services[index].weight;
        if (best == rule.services.size() ||
            state.current_weights[index] > state.current_weights[best]) {
            best = index;
        }
    }
    state.current_weights[best] -= total_weight;
    return best;
}

std::size_t weighted_round_robin::peek(const route_rule& rule, const random_source& random) const
{
    weighted_round_robin copy(random);
    const auto known = states_.find(rule.name);
    if (known != states_.end()) {
        copy.states_.insert(*known);
    }
    return copy.pick(rule);
}

} // namespace agatespread
