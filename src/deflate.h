#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace agatespread::detail {

/// Compresses bytes to the zlib format.
std::string deflate_bytes(std::string_view bytes);

/// Decompresses bytes; returns InvalidArgument if they are malformed or decompress to more than
/// `limit` bytes.
absl::StatusOr<std::string> inflate_bytes(std::string_view compressed, std::size_t limit);

} // namespace agatespread::detail
