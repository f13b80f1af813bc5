#pragma once

#include <compare>
#include <cstdint>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Time in which the platform answered no call of this client.
struct PlatformOutage {
    /// The latest answer before, or the start of the client. The platform may have stopped any time after it.
    Instant lastAnswer {};
    /// The first answer after it. The platform may have returned shortly before.
    Instant returned {};

    auto operator<=>(const PlatformOutage&) const = default;
};

/// @brief What the outcomes of all calls of one client say about the platform.
///
/// One for all calls, so that the first of them that is answered ends the outage for all kinds of objects. A pure
/// function of the outcomes and their times. Not thread-safe.
class PlatformAvailability {
public:
    explicit PlatformAvailability(Instant start);

    /// @brief Returns whether the answer ends an outage.
    bool onAnswer(Instant now);
    /// @brief Returns whether the failure begins an outage.
    bool onFailure();

    bool isAvailable() const { return this->available; }
    Instant lastAnswer() const { return this->answeredAt; }
    /// @brief Returns the number of outages that have ended.
    std::uint64_t returns() const { return this->returnCount; }
    /// @brief Returns the latest outage that has ended. Precondition: there was one.
    const PlatformOutage& lastOutage() const;

private:
    bool available = true;
    Instant answeredAt;
    std::uint64_t returnCount = 0;
    PlatformOutage outage;
};

} // namespace teaselshore
