#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace agatespread::detail {

/// Compresses bytes with zlib.
std::string deflate_bytes(std::string_view bytes);

/// Restores compressed bytes; more than `limit` bytes are an error.
absl::StatusOr<std::string> inflate_bytes(std::string_view compressed, std::size_t limit);

} // namespace agatespread::detail
