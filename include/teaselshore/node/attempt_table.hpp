#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/node/ids.hpp"
#include "teaselshore/routing/router.hpp"
#include "teaselshore/telemetry/trace_context.hpp"

namespace teaselshore {

/// @brief Attempt whose outcome is not known yet.
struct RunningAttempt {
    AttemptId id = 0;
    /// Id under which the attempt was started: of the caller's request, or of the journalled request if durable.
    RequestId request;
    bool durable = false;
    /// Attempt number in the journal, for durable requests.
    std::uint32_t journalAttempt = 0;
    DispatchId dispatch;
    ServiceName service;
    RouteName route;
    ClassName latencyClass;
    UpstreamId upstream;
    VersionName version;
    AvailabilityZone zone;
    Fingerprint suspect = 0;
    bool alone = false;
    Instant startedAt {};
    /// Set once the first bytes of a streamed response arrived.
    std::optional<Instant> firstByteAt;
    TraceContext trace;
    SpanId parentSpan;
};

/// @brief Running attempts of one node, by id and by upstream. Not thread-safe.
class AttemptTable {
public:
    /// @brief Adds an attempt under a new id and returns the id.
    AttemptId add(RunningAttempt attempt);

    /// @brief Records the first bytes of the response; ignored if the attempt has ended.
    void onFirstByte(AttemptId id, Instant now);

    const RunningAttempt* find(AttemptId id) const;

    /// @brief Removes and returns an attempt; nothing if it ended before.
    std::optional<RunningAttempt> take(AttemptId id);

    /// @brief Returns the attempts that run on an upstream.
    std::vector<AttemptId> onUpstream(const UpstreamId& upstream) const;

    std::size_t size() const { return this->attempts.size(); }

private:
    AttemptId last = 0;
    std::unordered_map<AttemptId, RunningAttempt> attempts;
    std::unordered_map<UpstreamId, std::set<AttemptId>> byUpstream;
};

} // namespace teaselshore
