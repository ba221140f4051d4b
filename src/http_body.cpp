#include <agatespread/http.h>

#include <utility>

namespace agatespread {

namespace {

struct counted_bytes {
    std::string bytes;
    body_memory::reservation memory;
};

} // namespace

const std::shared_ptr<const std::string>& http_body::no_bytes()
{
    static const std::shared_ptr<const std::string> empty = std::make_shared<const std::string>();
    return empty;
}

http_body::http_body(std::string bytes)
    : bytes_(bytes.empty() ? no_bytes() : std::make_shared<const std::string>(std::move(bytes)))
{
}

http_body::http_body(std::string bytes, body_memory::reservation memory)
{
    const std::shared_ptr<const counted_bytes> counted =
        std::make_shared<const counted_bytes>(counted_bytes{std::move(bytes), std::move(memory)});
    bytes_ = std::shared_ptr<const std::string>(counted, &counted->bytes);
}

} // namespace agatespread
