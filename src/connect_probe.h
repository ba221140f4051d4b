#pragma once

#include <agatespread/event_loop.h>

#include <chrono>
#include <functional>
#include <string_view>

namespace agatespread::detail {

/// Opens and closes a TCP connection; `done` receives whether it was established within `timeout`.
///
/// `done` is called once on the loop's thread, with false for a malformed address.
void probe_connection(event_loop& loop, std::string_view address, std::chrono::milliseconds timeout,
                      std::function<void(bool)> done);

} // namespace agatespread::detail
