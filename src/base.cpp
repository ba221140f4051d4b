#include <agatespread/base.h>

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>

namespace agatespread {

namespace {

constexpr std::string_view payload_prefix = "agatespread/";

} // namespace

std::uint64_t uniform_below(const random_source& random, std::uint64_t bound)
{
    // The high bits of the product avoid the modulo bias and a second draw.
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(random()) * bound) >> 64);
}

std::chrono::milliseconds uniform_between(const random_source& random,
                                          std::chrono::milliseconds low,
                                          std::chrono::milliseconds high)
{
    const std::uint64_t span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + std::chrono::milliseconds(uniform_below(random, span));
}

absl::Status layer_error(absl::StatusCode code, std::string_view layer, std::string_view reason,
                         std::string_view message)
{
    absl::Status status(code, absl::string_view(message.data(), message.size()));
    status.SetPayload(absl::StrCat(payload_prefix.data(), std::string(layer)),
                      absl::Cord(std::string(reason)));
    return status;
}

std::string reason_of(const absl::Status& status, std::string_view layer)
{
    const absl::optional<absl::Cord> payload =
        status.GetPayload(absl::StrCat(payload_prefix.data(), std::string(layer)));
    return payload ? std::string(*payload) : std::string();
}

std::string_view library_version()
{
    return AGATESPREAD_VERSION;
}

} // namespace agatespread
