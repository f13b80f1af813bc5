#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "teaselshore/base/time.hpp"
#include "teaselshore/emulators/rate_limit.hpp"

namespace teaselshore {

/// @brief Limits of the weight store.
struct WeightStoreSettings {
    double fetchesPerSecond = 5;
    double bytesPerSecond = 4e9;
    double bytesPerModel = 2e9;

    auto operator<=>(const WeightStoreSettings&) const = default;
};

/// @brief Accepted fetch of model weights.
struct WeightFetch {
    std::string model;
    std::uint64_t bytes = 0;
    /// Time until the transfer is complete. Transfers share the bandwidth in the order of arrival.
    Duration duration {};

    auto operator<=>(const WeightFetch&) const = default;
};

/// @brief Model of the rate-limited weight store. Pure: no I/O; not thread-safe.
class WeightStore {
public:
    explicit WeightStore(WeightStoreSettings settings);

    /// @brief Starts a fetch; nothing if the rate limit is exceeded.
    std::optional<WeightFetch> onFetch(const std::string& model, Instant now);

    std::uint64_t rejected() const { return this->rejections; }
    const RateMeter& fetches() const { return this->meter; }

private:
    WeightStoreSettings settings;
    RateLimit limit;
    RateMeter meter;
    Instant busyUntil {};
    std::uint64_t rejections = 0;
};

} // namespace teaselshore
