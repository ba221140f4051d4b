#pragma once

#include <agatespread/http.h>
#include <agatespread/memory_platform.h>

namespace agatespread {

/// Returns a handler that serves an in-memory platform with the protocol of
/// docs/platform-protocol.md, and also `/v1/faults` and `/metrics`.
///
///     memory_platform driver(loop);
///     auto server = http_server::listen(loop, "127.0.0.1:0", {}, platform_handler(driver));
http_handler platform_handler(memory_platform& driver);

} // namespace agatespread
