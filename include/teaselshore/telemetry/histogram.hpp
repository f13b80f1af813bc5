#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace teaselshore {

/// @brief Latency histogram with fixed bounds, so that the histograms of all nodes can be added up. Not thread-safe.
///
/// The counts and the sum cover the whole life. The maximum, on Boost.Accumulators, covers the last complete window in
/// which values were recorded, or the running one before that; so it follows a change, and an idle route reports none.
class Histogram {
public:
    /// @brief Upper bounds of the buckets in seconds, from the latency of a short answer to the longest time limits of
    /// requests. Values above the last one count only in count().
    static constexpr std::array<double, 13> bounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 1.5, 3, 15, 60 };

    Histogram();
    ~Histogram();
    Histogram(Histogram&&) noexcept;
    Histogram& operator=(Histogram&&) noexcept;

    /// @brief Counts a value, in seconds.
    void record(double value);

    /// @brief Ends the window; the values recorded since the last call become the complete window.
    void startWindow();

    std::uint64_t count() const;
    double sum() const;
    /// @brief Returns the number of values up to the bound of the bucket, those of the buckets below it included.
    ///
    /// Precondition: the bucket is an index of bounds.
    std::uint64_t countUpTo(std::size_t bucket) const;
    /// @brief Returns NaN if the window has no values.
    double maximum() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
