#pragma once

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatespread::detail {

/// Quotes text for a message, with non-printable bytes escaped and long text truncated.
std::string quote_text(std::string_view text);

/// Formats a JSON value for a message; a list or mapping is shown by its kind only.
std::string format_value(const nlohmann::json& value);

/// Returns the kind of a JSON value, for messages that must not contain the value.
std::string_view kind_name(const nlohmann::json& value);

/// Returns whether `text` is a name: 1 to 63 lower-case letters, digits and hyphens, with no hyphen
/// at either end.
bool is_name(std::string_view text);

/// The rule of `is_name` for error messages.
inline constexpr std::string_view name_form =
    "1 to 63 characters a-z, 0-9 and '-', with no '-' at either end";

/// Parses a duration with the unit ms or s.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

/// Parses a size with the unit B, KiB or MiB; returns it in bytes.
std::optional<std::uint64_t> parse_size(std::string_view text);

/// Returns the value of a non-negative integer, or nothing for any other value.
std::optional<std::uint64_t> non_negative_integer(const nlohmann::json& value);

/// Returns the candidate with the smallest edit distance, or nothing if no candidate is similar.
std::optional<std::string_view> closest_match(std::string_view word,
                                              const std::vector<std::string_view>& candidates);

/// Records the first error of a document.
class document_errors {
public:
    /// Errors carry the layer, such as "tree", and the reason "refused".
    explicit document_errors(std::string file, std::string_view layer = "tree")
        : file_(std::move(file)), layer_(layer)
    {
    }

    /// Records that `value` is not allowed at `path`; only the first error is kept.
    void add(std::string_view path, std::string_view value, std::string_view allowed);

    bool ok() const { return message_.empty(); }

    /// Returns the first error, or OK.
    absl::Status status() const;

private:
    std::string file_;
    std::string layer_;
    std::string message_;
};

/// Reads the fields of a mapping; after an error, a getter returns its default value.
class mapping_reader {
public:
    /// Records an error if `value` is not a mapping or has a key that is not in `keys`.
    mapping_reader(const nlohmann::json& value, std::string path,
                   const std::vector<std::string_view>& keys, document_errors& errors);

    /// Returns the path of a field, such as "routes[0].timeout".
    std::string path_of(std::string_view key) const;

    bool has(std::string_view key) const { return find(key) != nullptr; }

    /// Returns a required string for which `is_valid` holds; `allowed` describes the condition.
    std::string text(std::string_view key, const std::function<bool(std::string_view)>& is_valid,
                     std::string_view allowed) const;

    /// Returns a required name.
    std::string name(std::string_view key) const { return text(key, is_name, name_form); }

    /// Returns a duration from `low` to `high`, or the default if the key is absent.
    std::chrono::milliseconds duration(std::string_view key,
                                       std::chrono::milliseconds default_value,
                                       std::chrono::milliseconds low,
                                       std::chrono::milliseconds high) const;

    /// Returns an integer from `low` to `high`, or the default if the key is absent.
    std::uint64_t integer(std::string_view key, std::uint64_t default_value, std::uint64_t low,
                          std::uint64_t high) const;

    /// Returns a percentage such as "30%" as an integer, or the default if the key is absent.
    std::uint8_t percent(std::string_view key, std::uint8_t default_value) const;

    /// Returns a boolean, or the default if the key is absent.
    bool boolean(std::string_view key, bool default_value) const;

    /// Calls `visit` with each element of a list and the element's path; an absent list is empty.
    void for_each(std::string_view key,
                  const std::function<void(const nlohmann::json&, std::string)>& visit) const;

    /// Returns the value of a key, or null if it is absent.
    const nlohmann::json* find(std::string_view key) const;

    document_errors& errors() const { return errors_; }

private:
    void refuse(std::string_view key, const nlohmann::json& value, std::string_view allowed) const;

    const nlohmann::json* value_;
    std::string path_;
    document_errors& errors_;
};

} // namespace agatespread::detail
