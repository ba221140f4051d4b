#pragma once

#include <agatespread/event_loop.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <memory>
#include <vector>

namespace agatespread {

/// The Asio context of an event loop; this header is private to the library.
struct event_loop::impl {
    // The concurrency hint 1 reduces Asio's locking, because only one thread runs the context.
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    std::vector<std::unique_ptr<asio::signal_set>> signals;
};

} // namespace agatespread
