#include "wire_archive.h"

#include <agatespread/digest.h>

#include <absl/strings/str_cat.h>

#include <array>

namespace agatespread::detail {

namespace {

// The deepest message today is status_reply with 6 levels (map, array, map, array, map, map); the
// rest allows for messages of newer versions. Unbounded nesting would exhaust the stack of the
// recursive parser.
constexpr std::size_t max_nesting = 12;
constexpr std::size_t max_items = 500000;

int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

/// The head of a CBOR item (RFC 8949): major type and argument.
struct cbor_head {
    unsigned int major = 0;
    std::uint64_t argument = 0;
};

/// Reads the head of an item and advances `position` past it. Returns false if the head is
/// truncated, reserved or of indefinite length.
bool read_head(std::string_view bytes, std::size_t& position, cbor_head& head)
{
    if (position >= bytes.size()) {
        return false;
    }
    const unsigned int first = static_cast<unsigned char>(bytes[position++]);
    const unsigned int info = first & 0x1fU;
    head.major = first >> 5U;
    if (info < 24) {
        head.argument = info;
        return true;
    }
    if (info > 27) {
        return false;
    }
    const std::size_t size = std::size_t{1} << (info - 24U);
    if (bytes.size() - position < size) {
        return false;
    }
    head.argument = 0;
    for (std::size_t i = 0; i < size; ++i) {
        head.argument = (head.argument << 8U) | static_cast<unsigned char>(bytes[position++]);
    }
    return true;
}

} // namespace

bool is_bounded_cbor(std::string_view bytes)
{
    std::array<std::uint64_t, max_nesting> remaining{};
    std::size_t depth = 1;
    std::size_t position = 0;
    remaining[0] = 1;
    for (std::size_t items = 0; depth > 0; ++items) {
        cbor_head head;
        if (items > max_items || !read_head(bytes, position, head)) {
            return false;
        }
        --remaining[depth - 1];
        if (head.major == 2 || head.major == 3) {
            if (head.argument > bytes.size() - position) {
                return false;
            }
            position += head.argument;
        }
        else if (head.major == 4 || head.major == 5) {
            // Each element takes at least one byte, so a larger count cannot be valid.
            if (depth == max_nesting || head.argument > bytes.size() - position) {
                return false;
            }
            remaining[depth++] = head.major == 5 ? head.argument * 2 : head.argument;
        }
        else if (head.major == 6) {
            return false;
        }
        while (depth > 0 && remaining[depth - 1] == 0) {
            --depth;
        }
    }
    return position == bytes.size();
}

std::vector<std::uint8_t> hash_from_hex(std::string_view hex)
{
    std::vector<std::uint8_t> bytes;
    if (hex.size() != 64) {
        return bytes;
    }
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        const int high = hex_value(hex[i]);
        const int low = hex_value(hex[i + 1]);
        if (high < 0 || low < 0) {
            return {};
        }
        bytes.push_back(static_cast<std::uint8_t>(high * 16 + low));
    }
    return bytes;
}

void json_writer::hash(const char* key, const char* name, const std::string& value)
{
    std::vector<std::uint8_t> bytes = hash_from_hex(value);
    if (bytes.empty()) {
        text(key, name, value);
    }
    else {
        object_[key] = nlohmann::json::binary(std::move(bytes));
    }
}

const nlohmann::json* json_reader::find(const char* key, const char* name)
{
    if (!error_.empty()) {
        return nullptr;
    }
    const auto found = source_.find(key);
    if (found == source_.end()) {
        fail(name, "is missing");
        return nullptr;
    }
    return &*found;
}

const nlohmann::json* json_reader::find_array(const char* key, const char* name,
                                              std::size_t max_count)
{
    const nlohmann::json* found = find(key, name);
    if (found != nullptr && (!found->is_array() || found->size() > max_count)) {
        fail(name, found->is_array() ? "has too many elements" : "is not a list");
        return nullptr;
    }
    return found;
}

bool json_reader::read_number(const char* key, const char* name, std::uint64_t max_value,
                              std::uint64_t& value)
{
    const nlohmann::json* found = find(key, name);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_number_unsigned()) {
        fail(name, "is not an unsigned number");
        return false;
    }
    value = found->get<std::uint64_t>();
    if (value > max_value) {
        fail(name, absl::StrCat("is above ", max_value));
        return false;
    }
    return true;
}

void json_reader::flag(const char* key, const char* name, bool& value)
{
    const nlohmann::json* found = find(key, name);
    if (found != nullptr && !found->is_boolean()) {
        fail(name, "is not a boolean");
    }
    else if (found != nullptr) {
        value = found->get<bool>();
    }
}

void json_reader::text(const char* key, const char* name, std::string& value, std::size_t max_bytes)
{
    const nlohmann::json* found = find(key, name);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string()) {
        fail(name, "is not a text string");
        return;
    }
    const std::string& source = found->get_ref<const std::string&>();
    if (source.size() > max_bytes) {
        fail(name, absl::StrCat("is longer than ", max_bytes, " bytes"));
        return;
    }
    value = source;
}

void json_reader::text_list(const char* key, const char* name, std::vector<std::string>& values,
                            std::size_t max_count, std::size_t max_bytes)
{
    const nlohmann::json* found = find_array(key, name, max_count);
    if (found == nullptr) {
        return;
    }
    for (const nlohmann::json& item : *found) {
        if (!item.is_string() || item.get_ref<const std::string&>().size() > max_bytes) {
            fail(name, "has an element that is not a text string or is too long");
            return;
        }
        values.push_back(item.get_ref<const std::string&>());
    }
}

void json_reader::number_list(const char* key, const char* name, std::vector<std::uint64_t>& values,
                              std::size_t max_count)
{
    const nlohmann::json* found = find_array(key, name, max_count);
    if (found == nullptr) {
        return;
    }
    for (const nlohmann::json& item : *found) {
        if (!item.is_number_unsigned()) {
            fail(name, "has an element that is not an unsigned number");
            return;
        }
        values.push_back(item.get<std::uint64_t>());
    }
}

void json_reader::hash(const char* key, const char* name, std::string& value)
{
    const nlohmann::json* found = find(key, name);
    if (found == nullptr) {
        return;
    }
    if (!found->is_binary()) {
        text(key, name, value);
        return;
    }
    const std::vector<std::uint8_t>& bytes = found->get_binary();
    if (bytes.size() != 32) {
        fail(name, "is not 32 bytes long");
        return;
    }
    value = to_hex({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

void json_reader::duration(const char* key, const char* name, std::chrono::milliseconds& value)
{
    std::uint64_t raw_value = 0;
    if (read_number(key, name, max_duration_ms, raw_value)) {
        value = std::chrono::milliseconds(raw_value);
    }
}

void json_reader::fail(const char* name, std::string_view problem)
{
    if (error_.empty()) {
        error_ = absl::StrCat("field \"", path_, ".", name, "\" ",
                              absl::string_view(problem.data(), problem.size()));
    }
}

} // namespace agatespread::detail
