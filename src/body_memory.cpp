#include <agatespread/body_memory.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace agatespread {

struct body_memory::impl {
    std::size_t limit = unlimited;
    std::size_t used = 0;
    std::size_t peak = 0;
    std::size_t denials = 0;
    absl::flat_hash_set<reservation::holder*> holders;

    bool fits(std::size_t bytes) const { return used <= limit && bytes <= limit - used; }
    reservation::holder* largest_reclaimable() const;
    bool make_room(const reservation::holder& asking, std::size_t bytes);
};

struct body_memory::reservation::holder {
    holder(std::shared_ptr<impl> memory, std::function<void()> hook)
        : owner(std::move(memory)), on_reclaim(std::move(hook))
    {
        owner->holders.insert(this);
    }
    holder(const holder&) = delete;
    holder& operator=(const holder&) = delete;
    ~holder()
    {
        release();
        owner->holders.erase(this);
    }

    void release() { owner->used -= std::exchange(bytes, 0); }

    std::shared_ptr<impl> owner;
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

bool body_memory::impl::make_room(const reservation::holder& asking, std::size_t bytes)
{
    while (!fits(bytes)) {
        reservation::holder* const largest = largest_reclaimable();
        if (largest == nullptr || largest->bytes <= asking.bytes + bytes) {
            return false;
        }
        ++denials;
        largest->release();
        std::exchange(largest->on_reclaim, nullptr)();
    }
    return true;
}

body_memory::body_memory(std::size_t limit_bytes) : impl_(std::make_shared<impl>())
{
    impl_->limit = limit_bytes;
}

body_memory::reservation body_memory::reserve(std::function<void()> on_reclaim)
{
    return reservation(std::make_shared<reservation::holder>(impl_, std::move(on_reclaim)));
}

void body_memory::set_limit(std::size_t bytes)
{
    impl_->limit = bytes;
}

std::size_t body_memory::limit() const
{
    return impl_->limit;
}

std::size_t body_memory::used() const
{
    return impl_->used;
}

std::size_t body_memory::peak() const
{
    return impl_->peak;
}

std::size_t body_memory::denials() const
{
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
    if (!memory.make_room(*self, bytes)) {
        ++memory.denials;
        return false;
    }
    self->bytes += bytes;
    memory.used += bytes;
    memory.peak = std::max(memory.peak, memory.used);
    return true;
}

void body_memory::reservation::release()
{
    if (holder_) {
        holder_->release();
    }
}

void body_memory::reservation::pin()
{
    if (holder_) {
        holder_->on_reclaim = nullptr;
    }
}

std::size_t body_memory::reservation::bytes() const
{
    return holder_ ? holder_->bytes : 0;
}

} // namespace agatespread
