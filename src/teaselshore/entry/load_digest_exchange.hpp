#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry_state.hpp"

namespace teaselshore {

/// @brief Shares with peers what upstreams of model engine services report about their load.
///
/// In a large fleet, a node hears from a given engine every few seconds, while a request holds its slot for a fraction
/// of that time. Each node sends the youngest statements that it knows, its own and those of peers, to a few random
/// peers several times per second, and passes received statements to the router with their age. The cost per node
/// does not depend on the size of the fleet. Nothing is sent in small fleets, without model engines, and while all
/// nodes hear from each engine often enough by themselves. Not thread-safe.
class LoadDigestExchange {
public:
    explicit LoadDigestExchange(EntryState& state);

    /// @brief Adopts the registered upstreams; statements about others are dropped.
    void onUpstreams();
    /// @brief Records what an upstream has reported in a response to this node.
    void onLoad(const UpstreamId& upstream, const ResponseFacts::Load& load, Instant now);
    void onDigest(const std::string& senderAddress, const LoadDigest& digest, Instant now);
    /// @brief Sends a digest if one is due. Call it about every 100 ms.
    void onTick(Instant now);

private:
    /// Outstanding prompt tokens of one peer at an upstream.
    struct PeerTokens {
        std::uint64_t peer = 0;
        std::uint32_t tokens = 0;
        Instant at = Instant::min();
    };
    /// Youngest statement about an upstream, and the peers that have work there.
    struct Statement {
        UpstreamId upstream;
        std::uint32_t slots = 1;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slowness = 0;
        Instant at = Instant::min();
        static constexpr std::size_t maximumPeers = 4;
        std::array<PeerTokens, maximumPeers> peers;
    };

    void addPeerTokens(Statement& statement, std::uint64_t peer, std::uint32_t tokens, Instant now);
    /// @brief Returns whether requests hold their slots for less time than passes between two reports to this node.
    bool hearsTooSeldom() const;
    LoadDigest youngest(Instant now) const;
    /// @brief Returns random neighbours. Neighbours change slowly, since each new one costs a connection.
    std::vector<std::string> receivers(Instant now);

    EntryState& state;
    std::vector<ServiceName> services;
    /// By LoadDigest::key() of the upstream. Upstreams whose keys are equal are left out.
    std::unordered_map<std::uint32_t, Statement> statements;
    /// Own reports in the current second, and per second in the last one.
    std::uint32_t ownReports = 0;
    std::uint32_t ownReportRate = 0;
    Instant nextCount {};
    /// When a peer last said that it hears from the upstreams too seldom.
    Instant lastWanted = Instant::min();
    Instant nextDigest {};
    /// Peers that get digests.
    std::vector<std::string> neighbours;
    Instant nextNeighbour {};
};

} // namespace teaselshore
