#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace teaselshore {

/// @brief Decides how many bytes several holders may keep together. The sum of all reservations never exceeds the
/// total.
///
/// Nothing waits: a reservation is granted or refused at once. Thread-safe; one reservation belongs to one thread at a
/// time.
class ByteBudget {
    struct State;

public:
    /// @brief Part of a budget, which is given back on destruction. May outlive the ByteBudget.
    class Reservation {
    public:
        /// @brief Holds nothing, and cannot grow.
        Reservation() = default;
        ~Reservation();
        Reservation(Reservation&& other) noexcept;
        Reservation& operator=(Reservation&& other) noexcept;
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        /// @brief Changes the number of reserved bytes. Returns false, and changes nothing, if the budget has too few.
        [[nodiscard]] bool resize(std::size_t bytes);
        std::size_t bytes() const { return this->reserved; }

    private:
        friend class ByteBudget;
        explicit Reservation(std::shared_ptr<State> state);

        std::shared_ptr<State> state;
        std::size_t reserved = 0;
    };

    explicit ByteBudget(std::size_t total);

    /// @brief Returns a reservation of no bytes, which can grow.
    Reservation reservation() const { return Reservation(this->state); }
    std::size_t total() const;
    /// @brief Sum of all reservations.
    std::size_t used() const;

private:
    struct State {
        std::size_t total = 0;
        std::atomic<std::size_t> used = 0;
    };

    std::shared_ptr<State> state;
};

} // namespace teaselshore
