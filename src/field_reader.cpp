#include "field_reader.h"

#include <agatespread/base.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace agatespread::detail {

namespace {

constexpr std::size_t max_quoted_bytes = 64;

bool is_lower_or_digit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

/// Splits "800ms" into 800 and "ms". Accepts at most 9 digits, so that conversions to another unit
/// do not overflow 64 bits.
std::optional<std::pair<std::uint64_t, std::string_view>> split_unit(std::string_view text)
{
    std::uint64_t number = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    const std::size_t digits = static_cast<std::size_t>(parsed.ptr - text.data());
    if (parsed.ec != std::errc() || digits > 9 || (digits > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    return std::pair<std::uint64_t, std::string_view>(number, text.substr(digits));
}

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    for (std::size_t j = 0; j <= right.size(); ++j) {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string quote_text(std::string_view text)
{
    std::string quoted = "\"";
    for (const char byte : text.substr(0, max_quoted_bytes)) {
        const unsigned int value = static_cast<unsigned char>(byte);
        if (byte == '"' || byte == '\\') {
            quoted.push_back('\\');
        }
        if (value < 0x20 || value > 0x7e) {
            quoted += fmt::format("\\x{:02x}", value);
        }
        else {
            quoted.push_back(byte);
        }
    }
    return quoted + (text.size() > max_quoted_bytes ? "...\"" : "\"");
}

std::string format_value(const nlohmann::json& value)
{
    if (value.is_string()) {
        return quote_text(value.get_ref<const std::string&>());
    }
    return value.is_structured() ? std::string(kind_name(value)) : value.dump();
}

std::string_view kind_name(const nlohmann::json& value)
{
    if (value.is_array()) {
        return "a list";
    }
    if (value.is_object()) {
        return "a mapping";
    }
    return value.is_string() ? "text" : "a single value";
}

bool is_name(std::string_view text)
{
    if (text.empty() || text.size() > 63 || text.front() == '-' || text.back() == '-') {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char character) {
        return is_lower_or_digit(character) || character == '-';
    });
}

std::optional<std::chrono::milliseconds> parse_duration(std::string_view text)
{
    const std::optional<std::pair<std::uint64_t, std::string_view>> parts = split_unit(text);
    if (!parts || (parts->second != "ms" && parts->second != "s")) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(parts->first * (parts->second == "s" ? 1000 : 1));
}

std::optional<std::uint64_t> parse_size(std::string_view text)
{
    const std::optional<std::pair<std::uint64_t, std::string_view>> parts = split_unit(text);
    if (!parts) {
        return std::nullopt;
    }
    if (parts->second == "B") {
        return parts->first;
    }
    if (parts->second == "KiB") {
        return parts->first << 10U;
    }
    if (parts->second == "MiB") {
        return parts->first << 20U;
    }
    return std::nullopt;
}

std::optional<std::uint64_t> non_negative_integer(const nlohmann::json& value)
{
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>();
    }
    if (value.is_number_integer() && value.get<std::int64_t>() >= 0) {
        return static_cast<std::uint64_t>(value.get<std::int64_t>());
    }
    return std::nullopt;
}

std::optional<std::string_view> closest_match(std::string_view word,
                                              const std::vector<std::string_view>& candidates)
{
    std::optional<std::string_view> best;
    // Bounds the cost of the edit distance; a key can be as long as the whole document.
    if (word.size() > max_quoted_bytes) {
        return best;
    }
    std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const std::string_view candidate : candidates) {
        const std::size_t distance = edit_distance(word, candidate);
        if (distance < best_distance) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

void document_errors::add(std::string_view path, std::string_view value, std::string_view allowed)
{
    if (ok()) {
        message_ = fmt::format("{}: {}: {} is not allowed: {}", file_,
                               path.empty() ? "document" : path, value, allowed);
    }
}

absl::Status document_errors::status() const
{
    return ok() ? absl::OkStatus()
                : layer_error(absl::StatusCode::kInvalidArgument, layer_, "refused", message_);
}

mapping_reader::mapping_reader(const nlohmann::json& value, std::string path,
                               const std::vector<std::string_view>& keys, document_errors& errors)
    : value_(&value), path_(std::move(path)), errors_(errors)
{
    if (!value.is_object()) {
        errors_.add(path_, format_value(value),
                    fmt::format("a mapping with the keys {}", fmt::join(keys, ", ")));
        return;
    }
    for (auto field = value.begin(); field != value.end(); ++field) {
        if (std::find(keys.begin(), keys.end(), field.key()) != keys.end()) {
            continue;
        }
        const std::optional<std::string_view> suggestion = closest_match(field.key(), keys);
        errors_.add(path_, "the key " + quote_text(field.key()),
                    suggestion ? fmt::format("did you mean {}?", *suggestion)
                               : fmt::format("known keys are {}", fmt::join(keys, ", ")));
    }
}

std::string mapping_reader::path_of(std::string_view key) const
{
    return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

const nlohmann::json* mapping_reader::find(std::string_view key) const
{
    if (!value_->is_object()) {
        return nullptr;
    }
    const auto field = value_->find(std::string(key));
    return field == value_->end() ? nullptr : &*field;
}

void mapping_reader::refuse(std::string_view key, const nlohmann::json& value,
                            std::string_view allowed) const
{
    errors_.add(path_of(key), format_value(value), allowed);
}

std::string mapping_reader::text(std::string_view key,
                                 const std::function<bool(std::string_view)>& is_valid,
                                 std::string_view allowed) const
{
    const nlohmann::json* value = find(key);
    if (value == nullptr) {
        errors_.add(path_of(key), "no value", fmt::format("required: {}", allowed));
        return {};
    }
    if (!value->is_string()) {
        refuse(key, *value,
               fmt::format("text (in quotes where YAML reads another type): {}", allowed));
        return {};
    }
    if (!is_valid(value->get_ref<const std::string&>())) {
        refuse(key, *value, allowed);
        return {};
    }
    return value->get<std::string>();
}

std::chrono::milliseconds mapping_reader::duration(std::string_view key,
                                                   std::chrono::milliseconds default_value,
                                                   std::chrono::milliseconds low,
                                                   std::chrono::milliseconds high) const
{
    const nlohmann::json* value = find(key);
    if (value == nullptr) {
        return default_value;
    }
    std::optional<std::chrono::milliseconds> parsed;
    if (value->is_string()) {
        parsed = parse_duration(value->get_ref<const std::string&>());
    }
    if (!parsed || *parsed < low || *parsed > high) {
        refuse(key, *value,
               fmt::format("a duration with the unit ms or s, from {}ms to {}ms", low.count(),
                           high.count()));
        return default_value;
    }
    return *parsed;
}

std::uint64_t mapping_reader::integer(std::string_view key, std::uint64_t default_value,
                                      std::uint64_t low, std::uint64_t high) const
{
    const nlohmann::json* value = find(key);
    if (value == nullptr) {
        return default_value;
    }
    const std::optional<std::uint64_t> number = non_negative_integer(*value);
    if (!number || *number < low || *number > high) {
        refuse(key, *value, fmt::format("an integer from {} to {}", low, high));
        return default_value;
    }
    return *number;
}

std::uint8_t mapping_reader::percent(std::string_view key, std::uint8_t default_value) const
{
    const nlohmann::json* value = find(key);
    if (value == nullptr) {
        return default_value;
    }
    std::optional<std::pair<std::uint64_t, std::string_view>> parts;
    if (value->is_string()) {
        parts = split_unit(value->get_ref<const std::string&>());
    }
    if (!parts || parts->second != "%" || parts->first > 100) {
        refuse(key, *value, "a share from 0% to 100%, with the sign %");
        return default_value;
    }
    return static_cast<std::uint8_t>(parts->first);
}

bool mapping_reader::boolean(std::string_view key, bool default_value) const
{
    const nlohmann::json* value = find(key);
    if (value == nullptr) {
        return default_value;
    }
    if (!value->is_boolean()) {
        refuse(key, *value, "true or false");
        return default_value;
    }
    return value->get<bool>();
}

void mapping_reader::for_each(
    std::string_view key,
    const std::function<void(const nlohmann::json&, std::string)>& visit) const
{
    const nlohmann::json* value = find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        refuse(key, *value, "a list");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        visit((*value)[i], fmt::format("{}[{}]", path_of(key), i));
    }
}

} // namespace agatespread::detail
