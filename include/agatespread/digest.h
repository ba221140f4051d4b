#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace agatespread {

/// The bytes of a SHA-256 hash.
using sha256_bytes = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 hash of the given bytes.
sha256_bytes sha256(std::string_view bytes);

/// Returns the SHA-256 hash of the given bytes as 64 lower-case hexadecimal digits.
///
///     std::string id = sha256_hex("abc"); // "ba7816bf..."
std::string sha256_hex(std::string_view bytes);

/// Returns the HMAC-SHA-256 of the given bytes under a key.
sha256_bytes hmac_sha256(std::string_view key, std::string_view bytes);

/// Returns the bytes as lower-case hexadecimal digits.
std::string to_hex(std::string_view bytes);

/// Returns whether two byte strings are equal, in a time that depends only on their lengths.
bool equal_constant_time(std::string_view left, std::string_view right);

/// Returns a fast, non-cryptographic 64-bit hash that is the same on every node.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the rendezvous rank of a member for a role; the highest rank holds the role.
///
///     std::uint64_t rank = rendezvous_rank("readers/cairo-1", "node-17");
std::uint64_t rendezvous_rank(std::string_view role, std::string_view member);

} // namespace agatespread
