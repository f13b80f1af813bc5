#pragma once

#include <cstdint>
#include <string>

#include "teaselshore/daemon/request_relay.hpp"
#include "teaselshore/entry/entry_command.hpp"
#include "teaselshore/entry/entry_statistics.hpp"
#include "teaselshore/http/http_server.hpp"
#include "teaselshore/platform/platform_client.hpp"
#include "teaselshore/telemetry/metrics.hpp"

namespace teaselshore {

/// @brief Metrics of an EntryTask in the Prometheus text format. Not thread-safe.
class EntryMetrics {
public:
    void update(const EntryStatistics& statistics, const RelayCounters& relay, std::uint64_t refusedRequests);
    void onRequestEnded(const RequestEnded& request);
    void updatePlatformCalls(const PlatformClient& platform);
    void updateBodies(const BodyMemory& bodies);
    void updateAnswers(const UnsentAnswers& unsent, std::uint64_t cut);
    void updateDroppedRequests(std::uint64_t dropped, Duration longestLoopDelay);
    void startWindow() { this->metrics.startWindow(); }
    std::string render() const { return this->metrics.renderPrometheus(); }

private:
    void updateAdmissions(const EntryStatistics& statistics);
    void setCounter(
        const std::string& name, const std::string& help, std::uint64_t value, const MetricLabels& labels = {});
    void setGauge(const std::string& name, const std::string& help, double value);

    Metrics metrics;
};

} // namespace teaselshore
