#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespread {

/// Maps names to factories of one plug-in interface; plug-ins add themselves at start-up.
///
/// `Signature` is the factory's type.
///
///     using policy_registry = registry<std::unique_ptr<policy>()>;
///     static const registration<std::unique_ptr<policy>()> entry{"least_loaded", make_policy};
template <typename Signature>
class registry {
public:
    using factory = std::function<Signature>;

    /// Returns the registry shared by the whole process.
    static registry& instance()
    {
        static registry shared;
        return shared;
    }

    /// Adds a factory and returns false when the name is taken.
    bool add(std::string name, factory make)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return factories_.emplace(std::move(name), std::move(make)).second;
    }

    /// Returns the factory of a name, or an empty function.
    factory find(std::string_view name) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto entry = factories_.find(std::string(name));
        return entry == factories_.end() ? factory() : entry->second;
    }

    /// Returns all registered names in order.
    std::vector<std::string> names() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::string> result;
        for (const std::pair<const std::string, factory>& entry : factories_) {
            result.push_back(entry.first);
        }
        return result;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, factory> factories_;
};

/// Adds a plug-in to its registry when constructed as a static object.
template <typename Signature>
class registration {
public:
    registration(std::string name, typename registry<Signature>::factory make)
    {
        registry<Signature>::instance().add(std::move(name), std::move(make));
    }
};

} // namespace agatespread
