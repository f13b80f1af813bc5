#pragma once

#include <cstdint>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

struct ConcurrencyLimitSettings {
    double initial = 8;
    double minimum = 1;
    double maximum = 64;
    /// Lower bound for decreases because of latency; refusals and timeouts decrease the limit down to minimum.
    double latencyMinimum = 1;
    /// A smoothed latency above this multiple of the baseline counts as overload.
    double tolerance = 2.5;
    /// A smoothed latency below this never counts as overload.
    Duration minimumOverloadLatency = std::chrono::milliseconds(1);
    /// Factor by which the limit decreases on overload.
    double decrease = 0.8;
    /// Minimum time between two decreases, so that many requests of one overload decrease the limit only once.
    Duration decreaseInterval = std::chrono::milliseconds(500);
    /// Relative rise of the baseline per second, applied by requests that may raise it, so that the baseline adapts to
    /// an upstream that became permanently slower.
    double baselineRise = 0.01;

    auto operator<=>(const ConcurrencyLimitSettings&) const = default;
};

/// @brief Adaptive limit of concurrent requests to one upstream: additive increase, multiplicative decrease.
///
/// A smoothed latency well above the baseline, the lowest smoothed latency seen, indicates overload. The baseline rises
/// slowly while the upstream is lightly used or its limit is at latencyMinimum. The limit grows only while it is in
/// use. Not thread-safe.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(ConcurrencyLimitSettings settings = {});

    /// @brief Reports a completed request: its latency, which must be comparable between requests, and the number of
    /// requests outstanding when it completed, including itself.
    void onCompleted(Duration latency, std::uint32_t outstanding, Instant now);

    /// @brief Reports a request that the upstream refused or that timed out.
    void onOverload(Instant now);

    /// @brief Returns the current limit, at least 1.
    std::uint32_t limit() const;

    /// @brief Replaces the bounds and keeps the measured baseline.
    void setBounds(double minimum, double latencyMinimum, double maximum);

private:
    void decreaseLimit(double lowerBound, Instant now);
    void updateBaseline(bool mayRise, Instant now);

    ConcurrencyLimitSettings settings;
    double current;
    /// Both in microseconds; 0 before the first sample.
    double smoothed = 0;
    double baseline = 0;
    Instant baselineAt {};
    Instant decreasedAt = Instant::min();
};

} // namespace teaselshore
