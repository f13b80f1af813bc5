#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Request that waits for an upstream with capacity.
struct WaitingRequest {
    RequestId id;
    ServiceName service;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    Instant arrivedAt {};
    /// Time from which it cannot be served in time any more.
    Instant until {};
    /// Upstreams that it must not be sent to.
    std::vector<UpstreamId> excluded;
};

/// @brief Queue of the requests for which no upstream has capacity, ordered by priority, then arrival. Not thread-safe.
class WaitingRequests {
public:
    /// @brief Adds a request; does nothing if it waits already.
    void add(WaitingRequest request);
    /// @brief Removes a request; does nothing if it does not wait.
    void remove(const RequestId& id);

    /// @brief Calls trySend for the waiting requests in order. It returns whether the request left the queue, and may
    /// remove others.
    ///
    /// Skips a request if an earlier one, which may use all upstreams that it may use, found no capacity.
    void dispatch(const std::function<bool(const RequestId&)>& trySend);

    /// @brief Returns the requests that can no longer be in time, in order. They remain until they are removed.
    std::vector<RequestId> expired(Instant now) const;
    /// @brief Returns when the next request can no longer be in time; Instant::max() if none waits.
    Instant nextExpiry() const;

    /// @brief Returns the waiting requests in order.
    std::vector<RequestId> ids() const;
    bool empty() const { return this->requests.empty(); }
    std::size_t size() const { return this->requests.size(); }

private:
    using Position = std::tuple<std::uint32_t, Instant, RequestId>;

    static Position positionOf(const WaitingRequest& request);
    /// @brief Returns whether a request needs an upstream that was found full for another one.
    static bool isHeldUp(const WaitingRequest& request, const WaitingRequest& blocked);

    std::map<Position, WaitingRequest> requests;
    std::unordered_map<RequestId, Position> positions;
    std::set<std::pair<Instant, RequestId>> expiries;
};

} // namespace teaselshore
