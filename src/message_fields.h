#pragma once

#include "address.h"

#include <agatespread/base.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace agatespread::detail {

/// Returns the type of a datagram between nodes, or an empty text for a report, which has none.
///
/// The type is the first field of the map, because "#" comes before all letters; it is read without
/// decoding the message.
std::string_view message_type(std::string_view bytes);

/// Encodes a message as CBOR.
std::string to_bytes(const nlohmann::json& value);

/// Returns the error for a message with a missing or invalid field.
absl::Status malformed_message(std::string_view field);

/// Returns whether a reported time keeps sums of such times far below the largest duration.
inline bool is_time(std::uint64_t nanoseconds)
{
    constexpr std::chrono::nanoseconds longest = std::chrono::hours(1);
    return nanoseconds <= static_cast<std::uint64_t>(longest.count());
}

/// Reads the fields of a CBOR message and stores the name of the first one that is missing or
/// invalid.
class message_fields {
public:
    explicit message_fields(std::string_view bytes)
    {
        // The parser throws for excessive sizes even with exceptions disabled.
        try {
            object_ = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
        }
        catch (const nlohmann::json::exception&) {
            object_ = nlohmann::json(nlohmann::json::value_t::discarded);
        }
        if (!object_.is_object()) {
            first_invalid_ = "(message)";
        }
    }

    explicit message_fields(nlohmann::json object) : object_(std::move(object)) {}

    void read(const char* name, std::string& target)
    {
        const auto found = find(name);
        if (found == object_.end() || !found->is_string()) {
            fail(name);
            return;
        }
        target = found->get<std::string>();
    }

    template <typename Number>
    void read(const char* name, Number& target)
    {
        const auto found = find(name);
        if (found == object_.end() || !found->is_number_unsigned() ||
            found->get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
            fail(name);
            return;
        }
        target = static_cast<Number>(found->get<std::uint64_t>());
    }

    void read(const char* name, std::chrono::nanoseconds& target)
    {
        std::uint64_t count = 0;
        read(name, count);
        if (!is_time(count)) {
            fail(name);
            return;
        }
        target = std::chrono::nanoseconds(count);
    }

    /// Reads the address of a listener.
    void read_address(const char* name, std::string& target)
    {
        read(name, target);
        if (!detail::parse_address(target)) {
            fail(name);
        }
    }

    void read_optional(const char* name, std::uint64_t& target)
    {
        if (find(name) != object_.end()) {
            read(name, target);
        }
    }

    void read_optional(const char* name, std::string& target)
    {
        if (find(name) != object_.end()) {
            read(name, target);
        }
    }

    bool contains(const char* name) const { return find(name) != object_.end(); }

    nlohmann::json list(const char* name)
    {
        const auto found = find(name);
        if (found == object_.end() || !found->is_array()) {
            fail(name);
            return nlohmann::json::array();
        }
        return *found;
    }

    const std::string& first_invalid() const { return first_invalid_; }

private:
    nlohmann::json::const_iterator find(const char* name) const
    {
        return object_.is_object() ? object_.find(name) : object_.end();
    }

    void fail(const char* name)
    {
        if (first_invalid_.empty()) {
            first_invalid_ = name;
        }
    }

    nlohmann::json object_;
    std::string first_invalid_;
};

} // namespace agatespread::detail
