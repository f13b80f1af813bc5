#pragma once

#include <map>
#include <set>
#include <vector>

#include "node_state.hpp"

namespace teaselshore {

/// @brief Request whose connection to an upstream broke after it was sent.
struct BrokenRequest {
    RequestId request;
    bool durable = false;
    std::uint32_t journalAttempt = 0;
    Fingerprint suspect = 0;
    bool alone = false;
};

/// @brief Result of a check: whether the upstream's process died, and the requests that wait for this.
struct CrashCheckResult {
    UpstreamId upstream;
    bool crashed = false;
    std::vector<BrokenRequest> requests;
};

/// @brief Finds out whether a broken connection was the death of the upstream.
///
/// A connection may break for other reasons, so the upstream is asked for its load before its requests become crash
/// suspects. Requests wait for the result before they are retried. Not thread-safe.
class CrashChecks {
public:
    explicit CrashChecks(NodeState& state);

    /// @brief Adds a request to the check of its upstream, and starts the check if none is running.
    void onBroken(const UpstreamId& upstream, BrokenRequest request, Instant now);

    /// @brief Starts a check without a waiting request, after a refused connection.
    void onRefused(const UpstreamId& upstream, Instant now);

    /// @brief Ends the check of the upstream, if one is running, and reports a crash to router, suspects and peers.
    std::vector<CrashCheckResult> onLoadQueried(const LoadQueried& result, Instant now);

    /// @brief Returns whether a check of the upstream is running.
    bool checking(const UpstreamId& upstream) const { return this->checks.contains(upstream); }

    /// @brief Ends checks without an answer; the upstream counts as dead.
    std::vector<CrashCheckResult> onTick(Instant now);

private:
    struct Check {
        Instant startedAt {};
        /// Tells the answer to the check's own query from the answer to an earlier one, which may show the upstream as
        /// it was before its death.
        std::uint64_t number = 0;
        std::vector<BrokenRequest> requests;
    };

    Check& checkOf(const UpstreamId& upstream, Instant now);
    CrashCheckResult conclude(const UpstreamId& upstream, bool crashed, Instant now);
    void reportCrash(const CrashCheckResult& result, Instant now);

    NodeState& state;
    std::map<UpstreamId, Check> checks;
    std::uint64_t lastNumber = 0;
};

} // namespace teaselshore
