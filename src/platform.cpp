#include <agatespread/base.h>
#include <agatespread/platform.h>

#include <utility>

namespace agatespread {

void platform::poll_changes(std::string prefix, feed_position /*after*/,
                            std::chrono::milliseconds /*wait*/, callback<row_changes> done)
{
    const std::string requested = std::move(prefix);
    std::exchange(done, nullptr)(
        layer_error(absl::StatusCode::kUnimplemented, "platform", "unimplemented",
                    "the driver does not support polling for changes of " + requested));
}

} // namespace agatespread
