#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"

namespace teaselshore {

/// @brief State of a member in the member list of one node.
enum class MemberState {
    Alive,
    /// Did not acknowledge probes. Still receives work until it is confirmed dead.
    Suspect,
    Dead,
    /// Announced that it leaves the cluster. Final for this id.
    Left,
};

/// @brief One process instance in the member list. A restarted process has a new id.
struct Member {
    NodeId id;
    AvailabilityZone zone;
    Region region;
    /// Peer address, "address:port". Empty in an update that only changes the state of a known member.
    std::string address;
    /// Incremented only by the member itself, to refute a suspicion.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    auto operator<=>(const Member&) const = default;
};

/// @brief Returns whether work may be sent to a member: it is alive or only suspected.
constexpr bool isLive(MemberState state) { return state == MemberState::Alive || state == MemberState::Suspect; }
inline bool isLive(const Member& member) { return isLive(member.state); }

/// @brief Probes a member. Gossip is piggybacked in updates.
struct Ping {
    /// Sequence number that the Ack repeats; 0 requests no Ack (gossip only).
    std::uint64_t sequence = 0;
    Member sender;
    /// Requests the complete member list in the Ack.
    bool wantsMembers = false;
    /// Digest of the sender's live members; see Membership::digest().
    Fingerprint digest = 0;
    std::vector<Member> updates;

    auto operator<=>(const Ping&) const = default;
};

/// @brief Asks the receiver to probe a member on behalf of the sender (indirect probe).
struct PingRequest {
    std::uint64_t sequence = 0;
    Member sender;
    NodeId target;
    std::string targetAddress;
    std::vector<Member> updates;

    auto operator<=>(const PingRequest&) const = default;
};

/// @brief Response to Ping, or to PingRequest once the target acknowledged the indirect probe.
struct Ack {
    std::uint64_t sequence = 0;
    /// The member that was probed, as it describes itself.
    Member responder;
    Fingerprint digest = 0;
    /// True if updates holds the complete member list of the responder.
    bool complete = false;
    std::vector<Member> updates;

    auto operator<=>(const Ack&) const = default;
};

/// @brief Messages between the failure detectors of two nodes.
using MembershipMessage = std::variant<Ping, PingRequest, Ack>;

} // namespace teaselshore
