#pragma once

#include <agatespread/wire.h>

#include <optional>
#include <string_view>

namespace agatespread {

/// Returns the name of a member state, such as "suspect".
std::string_view name_of(member_state state);

/// Returns the name of an upstream state, such as "draining".
std::string_view name_of(upstream_state state);

/// Returns the upstream state with this name, or nothing if no state has it.
std::optional<upstream_state> parse_upstream_state(std::string_view name);

} // namespace agatespread
