#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

namespace agatespread {

/// Counts the bytes of the message bodies that a process holds and bounds their sum.
///
/// A holder of many bytes gives way to one of few: a reservation that does not fit reclaims the
/// largest reclaimable one, so that a body without end costs its own request and not those beside
/// it. Reservations that can be reclaimed are used on one event loop; pinned ones may be destroyed
/// on any thread.
///
///     body_memory memory(40U << 20U);
///     body_reservation body = memory.reserve([] { /* drop the body */ });
///     if (!body.grow(1024)) { /* refuse the message */ }
class body_memory {
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    class reservation;

    explicit body_memory(std::size_t limit_bytes = unlimited);

    /// Returns a part of this memory: its bytes count here as well, and are at most `limit_bytes`.
    /// Reservations are then made in parts only, and reclaimed from their own part.
    body_memory part(std::size_t limit_bytes) const;

    /// Returns an empty reservation; `on_reclaim` is called at most once, when its bytes are
    /// needed elsewhere and have been returned already. Without a function it is never reclaimed.
    reservation reserve(std::function<void()> on_reclaim = nullptr);

    std::size_t used() const;

    /// Returns how many bytes fit now.
    std::size_t available() const;

    /// Returns the most bytes that were in use at a time.
    std::size_t peak() const;

    /// Returns how many reservations were reclaimed or refused.
    std::size_t denials() const;

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

/// The bytes of one body, which are returned on destruction.
class body_memory::reservation {
public:
    reservation() = default; ///< Counts nothing, and `grow` always succeeds.
    reservation(reservation&& other) noexcept;
    reservation& operator=(reservation&& other) noexcept;
    reservation(const reservation&) = delete;
    reservation& operator=(const reservation&) = delete;
    ~reservation();

    /// Adds bytes; returns false, and adds nothing, if they do not fit.
    bool grow(std::size_t bytes);

    /// Returns all bytes.
    void release();

    /// Keeps the bytes from being reclaimed.
    void pin();

    std::size_t bytes() const;

    struct holder;

private:
    friend class body_memory;
    explicit reservation(std::shared_ptr<holder> state);

    std::shared_ptr<holder> holder_;
};

} // namespace agatespread
