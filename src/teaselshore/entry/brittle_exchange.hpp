#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry_state.hpp"
#include "teaselshore/entry/brittle_upstreams.hpp"

namespace teaselshore {

/// @brief Learns from responses and peers which services are brittle and how much room their upstreams have, and tells
/// peers at once what they need to avoid refusals.
///
/// Peers learn the begin and the end of a statement, each refusal, and changes of the upstreams' loads. Not
/// thread-safe.
class BrittleExchange {
public:
    explicit BrittleExchange(EntryState& state);

    void onSent(const UpstreamId& upstream, Instant now);
    /// @brief Applies what a response says about the service of the upstream and about its room.
    void onResponse(const UpstreamId& upstream, const ResponseFacts& facts, Instant now);
    /// @brief Records that an attempt ended and freed its slot; call it after onResponse() for its response.
    void onCompleted(const UpstreamId& upstream, Instant now);
    void onReport(const std::string& sender, const BrittlenessReport& report, Instant now);
    /// @brief Counts a request that starts to wait for an upstream of the service.
    void onWaiting(const ServiceName& service);
    void onTick(Instant now);
    /// @brief Returns whether upstreams of the service fail if they must refuse many requests.
    bool isBrittle(const ServiceName& service) const { return this->upstreams.allowance(service).has_value(); }
    /// @brief Returns the upstreams of the service that get no request from this node now.
    std::vector<UpstreamId> closedUpstreams(const ServiceName& service, Instant now) const;

private:
    const RegisteredUpstream* find(const UpstreamId& upstream) const;
    /// @brief Returns whether the statement changed what this node knew.
    bool applyStatement(
        const ServiceName& service, std::optional<double> allowance, const std::string& source, Instant at);
    /// @brief Returns whether peers need the load that an upstream has reported.
    bool isNews(const RegisteredUpstream& upstream, std::optional<std::uint32_t> outstanding, Instant now) const;
    void tellPeers(const BrittlenessReport& report);
    BrittlenessReport statements(Instant now) const;

    EntryState& state;
    BrittleUpstreams upstreams;
    /// Load that this node or a peer last told the others.
    struct ToldLoad {
        std::uint32_t outstanding = 0;
        Instant at {};
    };
    std::map<UpstreamId, ToldLoad> told;
    Instant nextStatements {};
};

} // namespace teaselshore
