#pragma once

#include <compare>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Rate limit that allows short bursts. Pure; not thread-safe.
class TokenBucket {
public:
    /// @brief Starts full. Preconditions: perSecond > 0, burst >= 1.
    TokenBucket(double perSecond, double burst, Instant now);

    /// @brief Uses one token; false if there is none.
    bool take(Instant now);

    /// @brief Returns the time until the next token; zero if there is one.
    Duration untilNext(Instant now) const;

    /// @brief Changes the rate from now on.
    void setRate(double perSecond, double burst, Instant now);

private:
    double available(Instant now) const;

    double perSecond;
    double burst;
    double tokens;
    Instant updated;
};

/// @brief Share of the platform's rate limits that one process may use.
struct CallBudgetLimits {
    double writesPerSecond = 5;
    double writeBurst = 10;
    double readsPerSecond = 20;
    double readBurst = 40;

    auto operator<=>(const CallBudgetLimits&) const = default;
};

} // namespace teaselshore
