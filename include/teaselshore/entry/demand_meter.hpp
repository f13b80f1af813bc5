#pragma once

#include <cstdint>
#include <map>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {

/// @brief Measures the request rates of each service at one node. Not thread-safe.
class DemandMeter {
public:
    /// @brief Counts a sent request; tokens is the number of prompt tokens that the upstream does not have cached.
    void onSent(const ServiceName& service, std::uint32_t tokens);
    /// @brief Counts a request refused for lack of capacity; tokens is the number of tokens of its prompt.
    void onRefused(const ServiceName& service, std::uint32_t tokens);
    /// @brief Returns the rates since the last call and resets the counts; the first call returns nothing.
    std::map<ServiceName, ServiceDemand> takeRates(Instant now);

private:
    struct Counts {
        std::uint64_t requests = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t refused = 0;
    };

    std::map<ServiceName, Counts> counts;
    Instant intervalStart {};
};

} // namespace teaselshore
