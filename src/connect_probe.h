#pragma once

#include <agatespread/event_loop.h>

#include <chrono>
#include <functional>
#include <string_view>

namespace agatespread::detail {

/// Opens a connection, closes it and tells whether the address accepted it in time.
void probe_connection(event_loop& loop, std::string_view address, std::chrono::milliseconds timeout,
                      std::function<void(bool)> done);

} // namespace agatespread::detail
