#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/entry/registered_upstream.hpp"

namespace teaselshore {

/// @brief Decides which upstreams of a brittle service this node may send a request to.
///
/// The upstreams of a brittle service fail if they must refuse more than some requests in a second, whichever node sent
/// them. A node may replace a request that an upstream has completed, since its slot is free. All nodes together add
/// further requests only up to the room that the upstream last reported and a part of the allowance. Where these are
/// fewer than the nodes, it is drawn for each report which nodes may add one. A known refusal of any node closes the
/// upstream for some time, for the rest of a second once half of the allowance is used.
/// Not thread-safe.
class BrittleUpstreams {
public:
    /// @brief Period over which upstreams count the requests that they refuse.
    static constexpr Duration refusalPeriod = std::chrono::seconds(1);

    /// @brief host distinguishes this node from the others.
    explicit BrittleUpstreams(std::string host);

    /// @brief Sets the number of nodes that send requests; 0 if it is not known yet.
    void setNodes(std::size_t count) { this->nodes = count; }

    /// @brief Applies what a response of any upstream of the service states: the refusals per second that each upstream
    /// bears, or nothing. The lowest allowance counts until no response has stated one for some time. Returns whether
    /// the allowance changed.
    bool onStated(const ServiceName& service, std::optional<double> allowance, Instant statedAt);
    /// @brief Returns the allowance of a service; nothing if it is not brittle.
    std::optional<double> allowance(const ServiceName& service) const;
    /// @brief Returns when a response last stated the allowance of a brittle service.
    std::optional<Instant> statedAt(const ServiceName& service) const;
    std::vector<ServiceName> brittleServices() const;

    /// @brief Records a request of this node. Call it for all services: one may become brittle at any time.
    void onSent(const RegisteredUpstream& upstream, Instant now);
    /// @brief Records that a request of this node has ended and freed its slot, after the load that its response
    /// reported.
    void onCompleted(const RegisteredUpstream& upstream, Instant now);
    /// @brief Applies the number of requests that run or wait at an upstream, as it reported to any node.
    void onLoad(const UpstreamId& upstream, std::uint32_t outstanding, Instant now);
    /// @brief Records requests of any node that an upstream refused.
    void onRefused(const UpstreamId& upstream, std::uint32_t count, Instant now);
    /// @brief Forgets upstreams that were not used for some time.
    void onTick(Instant now);

    /// @brief Returns which of the upstreams get no request from this node now; none if their service is not brittle.
    /// Precondition: the upstreams are those of one service that take new work.
    std::vector<UpstreamId> closedUpstreams(const std::vector<RegisteredUpstream>& upstreams, Instant now) const;
    /// @brief Returns until when the upstream is closed because of refusals; the given time or an earlier one if it is
    /// open.
    Instant closedUntil(const RegisteredUpstream& upstream, Instant now) const;

private:
    struct Statement {
        double allowance = 0;
        Instant at {};
    };

    struct Entry {
        /// Requests that run or wait at the upstream, as last reported.
        std::optional<std::uint32_t> outstanding;
        Instant reportedAt {};
        /// Times at which this node added requests, as far as they may not be contained in the report.
        std::deque<Instant> additions;
        /// Times until which this node may replace a completed request.
        std::deque<Instant> replacements;
        /// Refusals of all nodes that this node knows of.
        std::deque<Instant> refusals;
        Instant usedAt {};
    };

    Entry& use(const UpstreamId& upstream, Instant now);
    const Entry* find(const UpstreamId& upstream) const;
    /// Whether this node may replace a completed request, and how many it may add.
    struct Permission {
        bool isClosed = false;
        bool mayReplace = false;
        /// At least half of its slots are free.
        bool hasAmpleRoom = false;
        /// Requests that this node may add on average between two reports of the load.
        double share = 0;
        /// When the last report arrived.
        Instant reportedAt {};
        /// Requests that it has added since then.
        std::size_t added = 0;
    };
    Permission permission(const RegisteredUpstream& upstream, double allowance, Instant now) const;
    /// @brief Rounds a share up or down, so that the shares of all nodes keep their sum on average. The draw is the
    /// same for equal arguments.
    std::size_t round(double share, const std::string& subject, std::int64_t draw) const;

    std::string host;
    std::size_t nodes = 0;
    std::map<ServiceName, Statement> services;
    std::unordered_map<UpstreamId, Entry> entries;
};

} // namespace teaselshore
