#include "mesh.h"

#include <absl/strings/str_cat.h>

namespace agatespread::test {

namespace {

constexpr std::chrono::milliseconds tick_period(50);

} // namespace

mesh::mesh(std::uint64_t seed, std::size_t domains, std::size_t nodes,
           const std::string& distributor_name)
    : engine_(seed), distributor_name_(distributor_name), next_tick_(now_)
{
    for (std::size_t domain = 0; domain < domains; ++domain) {
        const std::string name = domain < 26 ? std::string(1, static_cast<char>('a' + domain))
                                             : absl::StrCat("z", domain);
        for (std::size_t i = 0; i < nodes; ++i) {
            host& entry = hosts_[absl::StrCat(name, i)];
            entry.id = absl::StrCat(name, i);
            entry.failure_domain = name;
        }
    }
}

void mesh::start(const node_id& id)
{
    host& entry = at(id);
    entry.up = true;
    entry.paused = false;
    entry.inbox.clear();
    entry.served_since_start = 0;
    entry.peer_versions.clear();
    ++entry.incarnation;
    for (const std::pair<const node_id, host>& other : hosts_) {
        if (other.second.up && !other.second.paused && other.first != id &&
            other.second.failure_domain == entry.failure_domain) {
            entry.peer_versions.push_back(
                {other.first, other.second.incarnation, other.second.members->last_announced(id)});
        }
    }
    membership_options options;
    options.self = id;
    options.failure_domain = entry.failure_domain;
    options.peer_address = "peer/" + id;
    options.inbound_address = "inbound/" + id;
    options.first_incarnation = entry.incarnation;
    for (const std::pair<const node_id, host>& other : hosts_) {
        if (other.first.back() == '0' || other.first.back() == '1') {
            options.seeds.push_back("peer/" + other.first);
        }
    }
    const random_source random = [this] { return engine_(); };
    entry.versions.reset();
    entry.members = std::make_unique<membership>(
        options,
        membership_hooks{[this, id](const outgoing_message& batch) { send(id, batch); }, {}, {}},
        random);
    entry.members->start(now_);
    if (!distributor_name_.empty()) {
        entry.versions = registry<distributor_factory>::instance().find(distributor_name_)(
            distribution_options(), make_hooks(id), *entry.members, random);
        entry.versions->start(now_);
    }
}

void mesh::resume(const node_id& id)
{
    host& entry = at(id);
    entry.paused = false;
    const std::vector<std::function<void()>> waiting = std::move(entry.inbox);
    entry.inbox.clear();
    for (const std::function<void()>& call : waiting) {
        call();
    }
}

void mesh::advance(std::chrono::milliseconds step)
{
    const time_point end = now_ + step;
    while (now_ < end) {
        const time_point event = events_.empty() ? end : events_.begin()->first;
        now_ = std::max(now_, std::min({event, next_tick_, end}));
        run_due();
        if (now_ >= next_tick_) {
            next_tick_ = now_ + tick_period;
            for (std::pair<const node_id, host>& entry : hosts_) {
                if (entry.second.up && !entry.second.paused) {
                    entry.second.members->tick(now_);
                    if (entry.second.versions) {
                        entry.second.versions->tick(now_);
                    }
                }
            }
        }
    }
}

void mesh::run_due()
{
    while (!events_.empty() && events_.begin()->first <= now_) {
        const std::function<void()> call = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        call();
    }
}

bool mesh::wait(std::chrono::milliseconds limit, const std::function<bool()>& condition)
{
    const time_point end = now_ + limit;
    while (now_ < end && !condition()) {
        advance(std::chrono::milliseconds(10));
    }
    return condition();
}

bool mesh::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(engine_) < probability;
}

void mesh::send(const node_id& from, const outgoing_message& batch)
{
    const std::shared_ptr<const message> content = std::make_shared<message>(batch.content);
    const std::uint64_t size = count_bytes ? encode(batch.content).size() : 0;
    for (const peer_endpoint& target : batch.to) {
        const node_id to = target.address.substr(target.address.find('/') + 1);
        const bool crosses = at(from).failure_domain != at(to).failure_domain;
        ++messages[std::string(name_of(*content))];
        bytes += size;
        cross_domain_bytes += crosses ? size : 0;
        if ((drop && drop(from, to, *content)) || (crosses && chance(faults.loss))) {
            continue;
        }
        for (int copies = chance(faults.duplication) ? 2 : 1; copies > 0; --copies) {
            const std::uint64_t delay =
                1 + engine_() % static_cast<std::uint64_t>(faults.delay.count());
            events_.emplace(now_ + std::chrono::milliseconds(delay),
                            [this, from, to, content] { deliver(from, to, content); });
        }
    }
}

void mesh::dispatch(const node_id& id, std::uint64_t incarnation,
                    const std::function<void(host&)>& call)
{
    host& target = at(id);
    if (!target.up || target.incarnation != incarnation) {
        return;
    }
    if (target.paused) {
        target.inbox.push_back([this, id, incarnation, call] { dispatch(id, incarnation, call); });
    }
    else {
        call(target);
    }
}

void mesh::deliver(const node_id& from, const node_id& to,
                   const std::shared_ptr<const message>& content)
{
    const std::string domain = at(from).failure_domain;
    if (faults.partitions.count(std::minmax(domain, at(to).failure_domain)) == 0) {
        dispatch(to, at(to).incarnation, [this, from, domain, content](host& target) {
            const peer_endpoint source{from, domain, "peer/" + from};
            target.members->receive(source, *content, now_);
            if (target.versions) {
                target.versions->receive(source, *content, now_);
            }
        });
    }
}

void mesh::schedule_response(const node_id& id, const std::function<void(host&)>& call)
{
    const std::uint64_t incarnation = at(id).incarnation;
    events_.emplace(now_ + std::chrono::milliseconds(1 + engine_() % 3),
                    [this, id, incarnation, call] { dispatch(id, incarnation, call); });
}

} // namespace agatespread::test
