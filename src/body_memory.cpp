#include <agatespread/body_memory.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace agatespread {

struct body_memory::impl {
    bool fits(std::size_t bytes) const { return used <= limit && bytes <= limit - used; }
    reservation::holder* largest_reclaimable() const;

    /// Takes the hook of the reservation that must give way, or nothing if none has to.
    std::function<void()> reclaim_from(const reservation::holder& asking, std::size_t bytes);

    mutable std::mutex mutex;
    std::shared_ptr<impl> whole; ///< That this one is a part of.
    std::size_t limit = unlimited;
    std::size_t used = 0;
    std::size_t peak = 0;
    std::size_t denials = 0;
    absl::flat_hash_set<reservation::holder*> holders;
};

struct body_memory::reservation::holder {
    holder(std::shared_ptr<impl> memory, std::function<void()> hook)
        : owner(std::move(memory)), on_reclaim(std::move(hook))
    {
        if (owner->whole) {
            outer = reservation(std::make_shared<holder>(owner->whole, nullptr));
        }
        const std::lock_guard<std::mutex> lock(owner->mutex);
        owner->holders.insert(this);
    }
    holder(const holder&) = delete;
    holder& operator=(const holder&) = delete;
    ~holder()
    {
        const std::lock_guard<std::mutex> lock(owner->mutex);
        release();
        owner->holders.erase(this);
    }

    /// Requires the lock, as do the members below.
    void release()
    {
        outer.release();
        owner->used -= std::exchange(bytes, 0);
    }

    std::shared_ptr<impl> owner;
    reservation outer; ///< Of the same bytes in the whole.
    std::function<void()> on_reclaim;
    std::size_t bytes = 0;
};

body_memory::reservation::holder* body_memory::impl::largest_reclaimable() const
{
    reservation::holder* largest = nullptr;
    for (reservation::holder* const each : holders) {
        if (each->on_reclaim && (largest == nullptr || each->bytes > largest->bytes)) {
            largest = each;
        }
    }
    return largest;
}

std::function<void()> body_memory::impl::reclaim_from(const reservation::holder& asking,
                                                      std::size_t bytes)
{
    reservation::holder* const largest = largest_reclaimable();
    if (largest == nullptr || largest->bytes <= asking.bytes + bytes) {
        return nullptr;
    }
    largest->release();
    return std::exchange(largest->on_reclaim, nullptr);
}

body_memory::body_memory(std::size_t limit_bytes) : impl_(std::make_shared<impl>())
{
    impl_->limit = limit_bytes;
}

body_memory body_memory::part(std::size_t limit_bytes) const
{
    body_memory result(limit_bytes);
    result.impl_->whole = impl_;
    return result;
}

body_memory::reservation body_memory::reserve(std::function<void()> on_reclaim)
{
    return reservation(std::make_shared<reservation::holder>(impl_, std::move(on_reclaim)));
}

std::size_t body_memory::used() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return impl_->used;
}

std::size_t body_memory::available() const
{
    std::size_t result = unlimited;
    for (const impl* memory = impl_.get(); memory != nullptr; memory = memory->whole.get()) {
        const std::lock_guard<std::mutex> lock(memory->mutex);
        result = std::min(result, memory->limit - std::min(memory->limit, memory->used));
    }
    return result;
}

std::size_t body_memory::peak() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return impl_->peak;
}

std::size_t body_memory::denials() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return impl_->denials;
}

body_memory::reservation::reservation(std::shared_ptr<holder> state) : holder_(std::move(state))
{
}

body_memory::reservation::reservation(reservation&& other) noexcept = default;

body_memory::reservation&
body_memory::reservation::operator=(reservation&& other) noexcept = default;

body_memory::reservation::~reservation() = default;

bool body_memory::reservation::grow(std::size_t bytes)
{
    if (!holder_) {
        return true;
    }
    // The hook of another reservation may destroy this one.
    const std::shared_ptr<holder> self = holder_;
    impl& memory = *self->owner;
    std::unique_lock<std::mutex> lock(memory.mutex);
    while (!memory.fits(bytes) || !self->outer.grow(bytes)) {
        ++memory.denials;
        const std::function<void()> reclaimed = memory.reclaim_from(*self, bytes);
        if (!reclaimed) {
            return false;
        }
        lock.unlock();
        reclaimed();
        lock.lock();
    }
    self->bytes += bytes;
    memory.used += bytes;
    memory.peak = std::max(memory.peak, memory.used);
    return true;
}

void body_memory::reservation::release()
{
    if (holder_) {
        const std::lock_guard<std::mutex> lock(holder_->owner->mutex);
        holder_->release();
    }
}

void body_memory::reservation::pin()
{
    if (holder_) {
        const std::lock_guard<std::mutex> lock(holder_->owner->mutex);
        holder_->on_reclaim = nullptr;
    }
}

std::size_t body_memory::reservation::bytes() const
{
    if (!holder_) {
        return 0;
    }
    const std::lock_guard<std::mutex> lock(holder_->owner->mutex);
    return holder_->bytes;
}

} // namespace agatespread
