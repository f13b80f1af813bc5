#pragma once

#include <cstdint>
#include <optional>

#include "teaselshore/base/time.hpp"
#include "teaselshore/reliability/sliding_counter.hpp"

namespace teaselshore {

struct CircuitBreakerSettings {
    Duration window = std::chrono::seconds(10);
    /// Minimum results within the window for the error ratio to open the breaker.
    std::uint32_t minimumVolume = 5;
    double errorRatio = 0.5;
    /// Time from opening to the first probe; doubles with each failed probe up to maximumOpenTime.
    Duration openTime = std::chrono::seconds(1);
    Duration maximumOpenTime = std::chrono::seconds(30);
    /// Time after which a probe without a result no longer blocks the next one.
    Duration probeTimeout = std::chrono::seconds(10);

    auto operator<=>(const CircuitBreakerSettings&) const = default;
};

enum class CircuitState {
    Closed,
    Open,
    HalfOpen,
};

/// @brief Permission to send one request. Associates its result with the state of the breaker when it was sent.
struct CircuitPass {
    std::uint32_t generation = 0;

    auto operator<=>(const CircuitPass&) const = default;
};

/// @brief Stops requests to one upstream while most of them fail.
///
/// Closed: all requests pass. Open: none. Half-open: one probe at a time; its success closes the breaker, its failure
/// opens it again. A result counts only in the generation in which its request was sent, so a late result of an old
/// request neither reopens the breaker nor decides a probe. Not thread-safe.
class CircuitBreaker {
public:
    explicit CircuitBreaker(CircuitBreakerSettings settings = {});

    /// @brief Returns the state at the given time.
    CircuitState state(Instant now) const;

    /// @brief Returns whether tryPass() would succeed.
    bool admits(Instant now) const;

    /// @brief Returns the permission to send one request; empty if the breaker rejects it.
    std::optional<CircuitPass> tryPass(Instant now);

    void onSuccess(CircuitPass pass, Instant now);
    void onFailure(CircuitPass pass, Instant now);

    /// @brief Reports a request without a result for the upstream, such as one that the caller cancelled.
    void onAbandoned(CircuitPass pass, Instant now);

    /// @brief Returns the time from which the breaker admits a request again; empty if it admits one now.
    std::optional<Instant> admitsFrom(Instant now) const;

private:
    void open(Duration length, Instant now);

    CircuitBreakerSettings settings;
    SlidingCounter counter;
    bool closed = true;
    std::uint32_t generation = 0;
    Instant openUntil {};
    Duration openLength {};
    std::optional<Instant> probeSince;
};

} // namespace teaselshore
