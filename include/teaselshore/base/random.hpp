#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace teaselshore {

/// @brief Seeded source of random numbers. The same seed gives the same sequence on every run.
///
/// Not thread-safe; each owner of state has its own source.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed)
        : engine(seed)
    {
    }

    std::uint64_t next() { return this->engine(); }

    /// @brief Returns a number in [0, bound). Precondition: bound > 0.
    std::uint64_t below(std::uint64_t bound);

    /// @brief Returns a number in [0, 1).
    double uniform();

    /// @brief Returns an exponentially distributed number with the given mean. Precondition: mean > 0.
    double exponential(double mean);

    /// @brief Returns digits lower-case hexadecimal digits.
    std::string hex(std::size_t digits);

private:
    std::mt19937_64 engine;
};

} // namespace teaselshore
