#pragma once

#include <string>
#include <unordered_map>

#include "teaselshore/daemon/request_relay.hpp"
#include "teaselshore/node/node.hpp"
#include "teaselshore/telemetry/metrics.hpp"
#include "teaselshore/telemetry/span.hpp"

namespace teaselshore {

/// @brief Metrics of the serving task. Not thread-safe.
class ServingMetrics {
public:
    ServingMetrics();

    /// @brief Records a finished hop; hops named "request" give the latency per service, "attempt" per upstream
    /// service.
    void onSpan(const Span& span);

    /// @brief Takes over the counters of node and relay before rendering.
    void update(const Node& node, const RelayCounters& relay, std::size_t openCallers, std::size_t openAttempts);

    std::string render();

    /// @brief Ends the window of the largest latencies; call it in a fixed interval.
    void startWindow() { this->metrics.startWindow(); }

private:
    void setCounter(const std::string& name, const std::string& help, std::uint64_t value);

    Metrics metrics;
};

} // namespace teaselshore
