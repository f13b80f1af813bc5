#pragma once

#include <cstdint>
#include <memory>

namespace teaselshore {

/// @brief Latency distribution on Boost.Accumulators. Not thread-safe.
///
/// Count and sum cover the whole life. Mean, maximum and quantiles cover the last complete window in which values were
/// recorded, or the running one before that; so they follow a change, and an idle route reports none.
class Distribution {
public:
    Distribution();
    ~Distribution();
    Distribution(Distribution&&) noexcept;
    Distribution& operator=(Distribution&&) noexcept;

    void record(double value);

    /// @brief Ends the window; the values recorded since the last call become the complete window.
    void startWindow();

    std::uint64_t count() const;
    double sum() const;
    /// @brief Returns NaN if the window has no values, as do maximum() and the quantiles.
    double mean() const;
    double maximum() const;
    double p50() const;
    double p95() const;
    double p99() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
