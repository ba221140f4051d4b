#include "state_names.h"

#include <algorithm>
#include <array>

namespace agatespread {

namespace {

constexpr std::array<std::string_view, 4> member_names = {"alive", "suspect", "unreachable",
                                                          "left"};
constexpr std::array<std::string_view, 4> upstream_names = {"gone", "starting", "ready",
                                                            "draining"};

} // namespace

std::string_view name_of(member_state state)
{
    return member_names.at(static_cast<std::size_t>(state));
}

std::string_view name_of(upstream_state state)
{
    return upstream_names.at(static_cast<std::size_t>(state));
}

std::optional<upstream_state> parse_upstream_state(std::string_view name)
{
    const auto found = std::find(upstream_names.begin(), upstream_names.end(), name);
    if (found == upstream_names.end()) {
        return std::nullopt;
    }
    return static_cast<upstream_state>(found - upstream_names.begin());
}

} // namespace agatespread
