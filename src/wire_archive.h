#pragma once

#include <agatespread/wire.h>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace agatespread::detail {

// Limits on the content of one message. They bound the memory that a peer with a valid key can make
// this node allocate; the values follow from the limits on configuration trees and on members.
inline constexpr std::size_t max_name_bytes = 512;
inline constexpr std::size_t max_reason_bytes = 4096;
inline constexpr std::size_t max_updates = 64;
inline constexpr std::size_t max_records = 8192;
inline constexpr std::size_t max_changes = 2000;
inline constexpr std::size_t max_behind = 1024;
inline constexpr std::size_t max_domains = 512;
inline constexpr std::size_t max_suspects = 1024;
inline constexpr std::uint64_t max_duration_ms = std::uint64_t{7} * 24 * 3600 * 1000;

/// The message type of a hello frame.
inline constexpr std::size_t hello_type = 255;

/// Encodes a hello frame as CBOR.
std::string encode_hello(const hello& value);

/// Decodes a hello frame from CBOR; the error has reason "malformed".
absl::StatusOr<hello> decode_hello(std::string_view bytes);

/// Returns whether the bytes are exactly one CBOR item without tags, with definite lengths and with
/// bounded nesting.
bool is_bounded_cbor(std::string_view bytes);

/// Returns the 32 bytes of a hash in 64 lower-case hexadecimal digits, or an empty vector.
std::vector<std::uint8_t> hash_from_hex(std::string_view hex);

/// Archive that writes the fields of a struct to a JSON object.
class json_writer {
public:
    template <typename Number>
    void number(const char* key, const char* /*name*/, const Number& value)
    {
        object_[key] = value;
    }
    void flag(const char* key, const char* /*name*/, const bool& value) { object_[key] = value; }
    void text(const char* key, const char* /*name*/, const std::string& value,
              std::size_t /*max_bytes*/ = max_name_bytes)
    {
        object_[key] = value;
    }
    void text_list(const char* key, const char* /*name*/, const std::vector<std::string>& values,
                   std::size_t /*max_count*/, std::size_t /*max_bytes*/)
    {
        object_[key] = values;
    }
    void number_list(const char* key, const char* /*name*/,
                     const std::vector<std::uint64_t>& values, std::size_t /*max_count*/)
    {
        object_[key] = values;
    }
    void hash(const char* key, const char* name, const std::string& value);
    void duration(const char* key, const char* /*name*/, const std::chrono::milliseconds& value)
    {
        object_[key] = static_cast<std::uint64_t>(value.count() < 0 ? 0 : value.count());
    }
    template <typename Enum>
    void enumeration(const char* key, const char* /*name*/, const Enum& value, Enum /*last*/)
    {
        object_[key] = static_cast<std::uint64_t>(value);
    }
    template <typename Struct>
    void object(const char* key, const char* /*name*/, Struct& value)
    {
        json_writer nested;
        fields(nested, value);
        object_[key] = std::move(nested.object_);
    }
    template <typename Struct>
    void list(const char* key, const char* /*name*/, std::vector<Struct>& values,
              std::size_t /*max_count*/)
    {
        nlohmann::json array = nlohmann::json::array();
        for (Struct& value : values) {
            json_writer nested;
            fields(nested, value);
            array.push_back(std::move(nested.object_));
        }
        object_[key] = std::move(array);
    }

    nlohmann::json& result() { return object_; }

private:
    nlohmann::json object_ = nlohmann::json::object();
};

/// Archive that reads the fields of a struct from a JSON object and keeps the first error.
class json_reader {
public:
    json_reader(const nlohmann::json& source, std::string path)
        : source_(source), path_(std::move(path))
    {
    }

    template <typename Number>
    void number(const char* key, const char* name, Number& value)
    {
        std::uint64_t raw_value = 0;
        if (read_number(key, name, std::numeric_limits<Number>::max(), raw_value)) {
            value = static_cast<Number>(raw_value);
        }
    }
    void flag(const char* key, const char* name, bool& value);
    void text(const char* key, const char* name, std::string& value,
              std::size_t max_bytes = max_name_bytes);
    void text_list(const char* key, const char* name, std::vector<std::string>& values,
                   std::size_t max_count, std::size_t max_bytes);
    void number_list(const char* key, const char* name, std::vector<std::uint64_t>& values,
                     std::size_t max_count);
    void hash(const char* key, const char* name, std::string& value);
    void duration(const char* key, const char* name, std::chrono::milliseconds& value);
    template <typename Enum>
    void enumeration(const char* key, const char* name, Enum& value, Enum last)
    {
        std::uint64_t raw_value = 0;
        if (read_number(key, name, static_cast<std::uint64_t>(last), raw_value)) {
            value = static_cast<Enum>(raw_value);
        }
    }
    template <typename Struct>
    void object(const char* key, const char* name, Struct& value)
    {
        const nlohmann::json* found = find(key, name);
        if (found != nullptr) {
            read_struct(*found, name, value);
        }
    }
    template <typename Struct>
    void list(const char* key, const char* name, std::vector<Struct>& values, std::size_t max_count)
    {
        const nlohmann::json* found = find_array(key, name, max_count);
        if (found == nullptr) {
            return;
        }
        values.reserve(found->size());
        for (const nlohmann::json& item : *found) {
            values.emplace_back();
            read_struct(item, name, values.back());
            if (!error_.empty()) {
                return;
            }
        }
    }

    const std::string& error() const { return error_; }

private:
    template <typename Struct>
    void read_struct(const nlohmann::json& item, const char* name, Struct& value)
    {
        if (!item.is_object()) {
            fail(name, "is not a map");
            return;
        }
        json_reader nested(item, path_ + "." + name);
        fields(nested, value);
        if (error_.empty()) {
            error_ = nested.error_;
        }
    }

    const nlohmann::json* find(const char* key, const char* name);
    const nlohmann::json* find_array(const char* key, const char* name, std::size_t max_count);
    bool read_number(const char* key, const char* name, std::uint64_t max_value,
                     std::uint64_t& value);
    void fail(const char* name, std::string_view problem);

    const nlohmann::json& source_;
    std::string path_;
    std::string error_;
};

} // namespace agatespread::detail
