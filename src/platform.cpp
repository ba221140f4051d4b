#include <agatespread/base.h>
#include <agatespread/platform.h>

namespace agatespread {

void platform::follow(std::string prefix, std::uint64_t /*after*/,
                      std::chrono::milliseconds /*wait*/, callback<row_changes> done)
{
    done(layer_error(absl::StatusCode::kUnimplemented, "platform", "unimplemented",
                     "the driver has no feed of " + prefix));
}

} // namespace agatespread
