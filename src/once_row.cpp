#include "once_row.h"

#include "unix_time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace agatespread::detail {

namespace {

using json = nlohmann::json;

// The wall clocks of nodes may differ; a row expires this much later than it states.
constexpr std::chrono::hours max_clock_skew(1);

} // namespace

std::string encode_row(const once_row& row)
{
    json fields = {{"token", row.token},
                   {"fingerprint", row.fingerprint},
                   {"state", static_cast<unsigned int>(row.state)},
                   {"expires", detail::unix_milliseconds(row.expires)}};
    if (row.answer) {
        fields["answer"] =
            json::binary(std::vector<std::uint8_t>(row.answer->begin(), row.answer->end()));
    }
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<once_row> decode_row(const std::string& bytes)
{
    const json fields = json::from_cbor(bytes, true, false);
    if (!fields.is_object() || !fields.contains("token") || !fields["token"].is_string() ||
        !fields.contains("fingerprint") || !fields["fingerprint"].is_string() ||
        !fields.contains("state") || !fields["state"].is_number_unsigned() ||
        fields["state"].get<unsigned int>() > static_cast<unsigned int>(row_state::released) ||
        !fields.contains("expires") || !fields["expires"].is_number_integer()) {
        return std::nullopt;
    }
    once_row row{fields["token"].get<std::string>(), fields["fingerprint"].get<std::string>(),
                 static_cast<row_state>(fields["state"].get<unsigned int>()), std::nullopt,
                 system_time(std::chrono::milliseconds(fields["expires"].get<std::int64_t>()))};
    if (fields.contains("answer") && fields["answer"].is_binary()) {
        const json::binary_t& answer = fields["answer"].get_binary();
        row.answer.emplace(answer.begin(), answer.end());
    }
    return row;
}

bool is_expired(const once_row& row, system_time now)
{
    return now > row.expires + max_clock_skew;
}

} // namespace agatespread::detail
