#pragma once

#include <cstdint>
#include <optional>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Load of an upstream as it reported it, in a response header or on request.
struct LoadReport {
    UpstreamId upstream;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    /// Time since the upstream measured it.
    Duration lag {};

    auto operator<=>(const LoadReport&) const = default;
};

/// @brief Amount of work of one request, as far as it is known before it runs.
struct WorkSize {
    std::uint32_t promptTokens = 0;
    /// Tokens of the prompt that the upstream has in its prefix cache.
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;

    /// @brief Returns the prompt tokens to compute, plus a fixed amount per request. Unit: token equivalents.
    double prefillWork() const;

    auto operator<=>(const WorkSize&) const = default;
};

/// @brief How an upstream works off its requests.
struct LoadShape {
    /// Requests that run at the same time without queueing.
    std::uint32_t capacity = 1;
    /// Requests whose work before the first byte proceeds in parallel: 1 for an engine (one prefill at a time), the
    /// capacity for a plain service.
    std::uint32_t parallelism = 1;

    auto operator<=>(const LoadShape&) const = default;
};

/// @brief Measured speeds, of one upstream or as the mean of a pool of upstreams.
struct LoadRates {
    /// Token equivalents before the first byte, per second and unit of parallelism.
    float prefillPerSecond = 8000;
    /// Time between two output tokens of one request, seconds.
    float secondsPerToken = 0.03F;
    /// Time a request occupies its slot, seconds.
    float holdSeconds = 1;
    /// Work before the first byte per request, token equivalents.
    float workPerRequest = 50;

    auto operator<=>(const LoadRates&) const = default;
};

/// @brief Predicted course of one request at one upstream.
struct LoadPrediction {
    /// Time to the first byte.
    double firstTokenSeconds = 0;
    /// Requests of all nodes that are there now.
    double outstanding = 0;

    auto operator<=>(const LoadPrediction&) const = default;
};

/// @brief Predicts the load and speed of one upstream.
///
/// It combines the node's own outstanding work, which is exact and current, with load reports, which cover all nodes
/// but are late: the part of a report that the own work does not explain fades towards its average with age. A measured
/// speed fades towards that of the pool, so that an upstream that was slow is tried again. Not thread-safe.
class LoadEstimate {
public:
    void onDispatched(const WorkSize& work);

    /// @brief Reports the first byte of a response, with the work that was ahead of it at its dispatch.
    void onFirstToken(
        const WorkSize& work, double workAhead, Duration elapsed, const LoadShape& shape, LoadRates& pool, Instant now);

    /// @brief Reports the end of a request; firstTokenSeen tells whether onFirstToken() was called for it.
    void onFinished(const WorkSize& work, bool firstTokenSeen);

    /// @brief Reports the measured times of a completed request.
    void onCompleted(
        std::uint32_t outputTokens, Duration sinceFirstToken, Duration total, LoadRates& pool, Instant now);

    void onReport(const LoadReport& report, Instant now);

    /// @brief Returns the requests that this node has outstanding there.
    std::uint32_t ownOutstanding() const { return this->outstanding; }

    /// @brief Returns the estimated requests of other nodes there.
    double othersOutstanding(Instant now) const;

    /// @brief Returns the work before the first byte of the requests that wait there. Unit: token equivalents.
    double workAhead(Instant now) const;

    /// @brief Predicts a new request, without the network.
    LoadPrediction predict(const WorkSize& work, const LoadShape& shape, const LoadRates& pool, Instant now) const;

private:
    double blend(double measuredRate, double poolRate, Instant now) const;

    std::uint32_t outstanding = 0;
    double ownPrefillWork = 0;
    float othersLast = 0;
    float othersAverage = 0;
    /// Part of othersLast that waits, in [0, 1].
    float queuedPart = 0;
    Instant reportedAt = Instant::min();
    /// Measured; all zero before the first sample.
    LoadRates measured { 0, 0, 0, 0 };
    Instant measuredAt = Instant::min();
};

} // namespace teaselshore
