#include "teaselshore/base/byte_budget.hpp"

#include <utility>

namespace teaselshore {

ByteBudget::ByteBudget(std::size_t total)
    : state(std::make_shared<State>())
{
    this->state->total = total;
}

std::size_t ByteBudget::total() const { return this->state->total; }

std::size_t ByteBudget::used() const { return this->state->used; }

ByteBudget::Reservation::Reservation(std::shared_ptr<State> state)
    : state(std::move(state))
{
}

ByteBudget::Reservation::~Reservation()
{
    if (this->state)
        this->state->used -= this->reserved;
}

ByteBudget::Reservation::Reservation(Reservation&& other) noexcept
    : state(std::exchange(other.state, nullptr))
    , reserved(std::exchange(other.reserved, 0))
{
}

ByteBudget::Reservation& ByteBudget::Reservation::operator=(Reservation&& other) noexcept
{
    Reservation old(std::move(*this));
    this->state = std::exchange(other.state, nullptr);
    this->reserved = std::exchange(other.reserved, 0);
    return *this;
}

bool ByteBudget::Reservation::resize(std::size_t bytes)
{
    if (bytes <= this->reserved) {
        if (this->state)
            this->state->used -= this->reserved - bytes;
        this->reserved = bytes;
        return true;
    }
    if (!this->state)
        return false;
    const std::size_t more = bytes - this->reserved;
    std::size_t used = this->state->used;
    do {
        if (more > this->state->total - used)
            return false;
    } while (!this->state->used.compare_exchange_weak(used, used + more));
    this->reserved = bytes;
    return true;
}

} // namespace teaselshore
