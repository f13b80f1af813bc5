#pragma once

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Estimates how long operations of one kind take, from exponentially weighted averages. Not thread-safe.
class DurationEstimate {
public:
    void add(Duration sample);
    /// @brief Returns a time that few operations exceed: the mean plus four mean deviations, as in RFC 6298; zero
    /// before the first sample.
    Duration upperBound() const;

private:
    /// In seconds.
    double mean = 0;
    double deviation = 0;
    bool hasSamples = false;
};

} // namespace teaselshore
