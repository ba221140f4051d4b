#pragma once

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// Holds every public part of the library.
namespace agatespread {

/// A point of the monotonic clock; decision code receives it as an argument.
using time_point = std::chrono::steady_clock::time_point;

/// The number of an accepted configuration; versions are totally ordered and 0 means "none".
using config_version = std::uint64_t;

/// The identity of a node, unique in the mesh and stable across restarts of its target.
using node_id = std::string;

/// A source of uniformly distributed 64-bit values.
///
///     std::mt19937_64 engine{7};
///     random_source random = [&engine] { return engine(); };
using random_source = std::function<std::uint64_t()>;

/// Returns a uniformly distributed value in `[0, bound)`, or 0 for a bound of 0.
std::uint64_t uniform_below(const random_source& random, std::uint64_t bound);

/// Returns a duration drawn uniformly from `[low, high]`.
std::chrono::milliseconds uniform_between(const random_source& random,
                                          std::chrono::milliseconds low,
                                          std::chrono::milliseconds high);

/// Builds a status that carries the layer that detected the error and a stable reason.
///
///     return layer_error(absl::StatusCode::kAborted, "store", "conflict",
///                        "head moved from 7 to 8");
absl::Status layer_error(absl::StatusCode code, std::string_view layer, std::string_view reason,
                         std::string_view message);

/// Returns the reason that `layer` attached to a status, or an empty string.
std::string reason_of(const absl::Status& status, std::string_view layer);

/// Returns the version of the library, such as "0.1.0".
std::string_view library_version();

} // namespace agatespread
