#pragma once

#include <cstdint>
#include <map>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/entry/node_report.hpp"

namespace teaselshore {

/// @brief Measures the requests for each service that one node gets. Not thread-safe.
class DemandMeter {
public:
    /// @brief A request was sent; tokens are those of its prompt that the upstream has to read.
    void onSent(const ServiceName& service, std::uint32_t tokens);
    /// @brief A request was refused for lack of room; tokens are those of its prompt.
    void onRefused(const ServiceName& service, std::uint32_t tokens);
    /// @brief Returns the rates since the last call.
    std::map<ServiceName, ServiceDemand> take(Instant now);

private:
    struct Counts {
        std::uint64_t requests = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t refused = 0;
    };

    std::map<ServiceName, Counts> counts;
    Instant since {};
};

} // namespace teaselshore
