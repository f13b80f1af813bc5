#pragma once

#include "teaselshore/base/time.hpp"
#include "teaselshore/reliability/sliding_counter.hpp"

namespace teaselshore {

struct RetryBudgetSettings {
    /// Retries per request within the window.
    double ratio = 0.1;
    /// Retries that are always allowed within the window, regardless of the number of requests.
    double floor = 3;
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryBudgetSettings&) const = default;
};

/// @brief Bounds the retries of one service to a ratio of its requests plus a small floor.
///
/// Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// @brief Counts a first attempt.
    void onRequest(Instant now);

    /// @brief Takes one retry from the budget. Returns false if the budget is exhausted.
    bool tryRetry(Instant now);

    /// @brief Sets the number of retries that are always allowed within the window.
    void setFloor(double floor) { this->settings.floor = floor; }
    /// @brief Returns the number of retries that are left, at least 0.
    double remaining(Instant now) const;

private:
    RetryBudgetSettings settings;
    SlidingCounter counter;
};

} // namespace teaselshore
