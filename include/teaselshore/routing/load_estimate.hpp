#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Load that an upstream reported, in a response header or in answer to a poll.
struct LoadReport {
    UpstreamId upstream;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    /// Age of the measurement when the report arrived.
    Duration lag {};
    /// Requests that the upstream runs at the same time; 0 if it does not say.
    std::uint32_t slots = 0;
    /// Time that work takes at the moment of the measurement, relative to the usual time; 0 if the upstream does not
    /// say.
    float slowness = 0;
    /// LoadRates::prefillPerSecond as a peer has measured it; 0 if it has not.
    float prefillPerSecond = 0;

    auto operator<=>(const LoadReport&) const = default;
};

/// @brief Amount of work of one request, as far as it is known before it runs.
struct WorkSize {
    std::uint32_t promptTokens = 0;
    /// Prompt tokens that are in the prefix cache of the upstream.
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;

    /// @brief Returns the uncached prompt tokens plus a fixed cost per request, in token equivalents.
    double prefillWork() const;

    auto operator<=>(const WorkSize&) const = default;
};

/// @brief Number of requests that an upstream processes in parallel.
struct UpstreamCapacity {
    /// Requests that run at the same time without queueing.
    std::uint32_t slots = 1;
    /// Requests whose work before the first byte proceeds in parallel: 1 for an engine, which runs one prefill at a
    /// time, and the number of slots for a plain service.
    std::uint32_t prefillParallelism = 1;

    auto operator<=>(const UpstreamCapacity&) const = default;
};

/// @brief Measured rates of one upstream, or the mean rates of a pool of upstreams.
struct LoadRates {
    /// Token equivalents processed before the first byte, per second and parallel prefill.
    float prefillPerSecond = 8000;
    /// Time between two output tokens of one request.
    float secondsPerToken = 0.03F;
    /// Time a request occupies its slot.
    float holdSeconds = 1;
    /// Mean work before the first byte of a request, in token equivalents.
    float workPerRequest = 50;
    /// Mean slowness that the upstreams of a pool report.
    float slowness = 1;

    auto operator<=>(const LoadRates&) const = default;
};

/// @brief Prediction for one request at one upstream.
struct LoadPrediction {
    /// Time to the first byte.
    double firstTokenSeconds = 0;
    /// Requests of all nodes that the upstream has outstanding now.
    double outstanding = 0;

    auto operator<=>(const LoadPrediction&) const = default;
};

/// @brief Predicts the load and speed of one upstream.
///
/// Combines the outstanding work of this node, which is exact and current, with load reports, which cover all nodes but
/// are late. The reported load of the other nodes decays towards its average with age, and the average towards zero.
/// Measured rates are those at the usual speed: times are divided by the slowness that the upstream reports, which
/// changes several times per second and is therefore used only while it is young. A measured rate decays slowly towards
/// that of the pool, so that an upstream that was slow is tried again. Not thread-safe.
class LoadEstimate {
public:
    void onDispatched(const WorkSize& work, Instant now);

    /// @brief Records the first byte of a response; workAhead is the result of workAhead() at its dispatch.
    void onFirstToken(const WorkSize& work, double workAhead, Duration elapsed, const UpstreamCapacity& capacity,
        LoadRates& pool, Instant now);

    /// @brief Records the end of a request; firstTokenSeen tells whether onFirstToken() was called for it.
    void onFinished(const WorkSize& work, bool firstTokenSeen, Instant now);

    /// @brief Records the measured times of a completed request.
    void onCompleted(
        std::uint32_t outputTokens, Duration sinceFirstToken, Duration total, LoadRates& pool, Instant now);

    void onReport(const LoadReport& report, LoadRates& pool, Instant now);

    /// @brief Records a report that a peer received. It contains the requests that this node had outstanding when it
    /// was made. Its effect fades within two seconds, after which only the reports to this node count.
    void onPeerReport(const LoadReport& report, LoadRates& pool, Instant now);

    /// @brief Sets the work before the first byte that some peers have outstanding at the upstream; fades within a
    /// second.
    void onPeerWork(double work, Instant now);

    /// @brief Returns whether the youngest report came from a peer, so that other nodes know it too.
    bool isSharedReport(Instant now) const;

    /// @brief Returns the age of the youngest report; nothing if there is none.
    std::optional<Duration> reportAge(Instant now) const;

    /// @brief Returns the work of this node before the first byte, in token equivalents.
    double ownWork() const { return this->ownPrefillWork; }

    /// @brief Returns the number of requests that this node has outstanding at the upstream.
    std::uint32_t ownOutstanding() const { return this->outstanding; }

    /// @brief Returns the estimated number of requests that other nodes have outstanding at the upstream.
    double othersOutstanding(Instant now) const;

    /// @brief Returns that number as far as it may make the upstream unavailable: a statement of a peer can lower it
    /// but not raise it.
    double certainOthersOutstanding(Instant now) const;

    /// @brief Returns the time that work takes now relative to the usual time: as a young report says, or else the mean
    /// of the pool, so that an upstream of which nothing is known is not preferred to one that is as fast as usual.
    double slowness(const LoadRates& pool, Instant now) const;

    /// @brief Returns the rate before the first byte as this node or a peer has measured it; 0 if neither has.
    double prefillRate(const LoadRates& pool, Instant now) const;

    /// @brief Returns the work that precedes the first byte of a new request, in token equivalents.
    double workAhead(Instant now) const;

    /// @brief Predicts the course of a new request, excluding network delay.
    LoadPrediction predict(
        const WorkSize& work, const UpstreamCapacity& capacity, const LoadRates& pool, Instant now) const;

private:
    /// Number of own outstanding requests from a point in time on.
    struct OwnChange {
        Instant at = Instant::min();
        std::uint32_t outstanding = 0;
    };
    static constexpr std::size_t maximumOwnChanges = 6;

    void recordOwnChange(Instant now);
    std::uint32_t ownOutstandingAt(Instant at) const;
    void setSlowness(float slowness, LoadRates& pool, Instant at);
    double poolPrefillRate(const LoadRates& pool, Instant now) const;
    double reportedOthersOutstanding(Instant now) const;
    /// @brief Returns the weight of the report of a peer, in [0, 1]; 0 if a report to this node is younger.
    double peerWeight(Instant now) const;
    double othersQueuedWork(double workPerRequest, Instant now) const;
    double blendWithPool(double measuredRate, double poolRate, Instant now) const;

    std::uint32_t outstanding = 0;
    double ownPrefillWork = 0;
    float lastReportedOthers = 0;
    float averageOthers = 0;
    /// Fraction of the reported requests that were queued, in [0, 1].
    float queuedFraction = 0;
    Instant reportedAt = Instant::min();
    /// Zero for a rate without samples.
    LoadRates measured { 0, 0, 0, 0 };
    Instant measuredAt = Instant::min();
    std::uint32_t reportedSlots = 0;
    float reportedSlowness = 1;
    Instant slownessReportedAt = Instant::min();
    float peerReportedOthers = 0;
    float peerQueuedFraction = 0;
    Instant peerReportedAt = Instant::min();
    float peerRate = 0;
    Instant peerRateAt = Instant::min();
    float peerWork = 0;
    Instant peerWorkAt = Instant::min();
    /// The last changes, in a ring.
    std::array<OwnChange, maximumOwnChanges> ownChanges;
    std::uint32_t nextOwnChange = 0;
};

} // namespace teaselshore
