#include "deflate.h"

#include <agatespread/base.h>

#include <zlib.h>

#include <algorithm>

namespace agatespread::detail {

std::string deflate_bytes(std::string_view bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string result(size, '\0');
    // Cannot fail, because the buffer has the size of compressBound().
    compress2(reinterpret_cast<Bytef*>(&result[0]), &size,
              reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uLong>(bytes.size()),
              Z_BEST_SPEED);
    result.resize(size);
    return result;
}

absl::StatusOr<std::string> inflate_bytes(std::string_view compressed, std::size_t limit)
{
    // The buffer grows with the decompressed size, so that a short message does not cause an
    // allocation of `limit` bytes.
    std::string result;
    std::size_t capacity = std::min<std::size_t>(limit, 16 * compressed.size() + 1024);
    while (true) {
        result.resize(capacity);
        uLongf size = capacity;
        const int code = uncompress(reinterpret_cast<Bytef*>(&result[0]), &size,
                                    reinterpret_cast<const Bytef*>(compressed.data()),
                                    static_cast<uLong>(compressed.size()));
        if (code == Z_OK) {
            result.resize(size);
            return result;
        }
        if (code != Z_BUF_ERROR || capacity >= limit) {
            return layer_error(absl::StatusCode::kInvalidArgument, "deflate", "malformed",
                               "compressed bytes are damaged or too long");
        }
        capacity = std::min(limit, capacity * 4);
    }
}

} // namespace agatespread::detail
