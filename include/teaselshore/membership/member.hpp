#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"

namespace teaselshore {

/// @brief What a node believes about a member.
enum class MemberState {
    Alive,
    /// It did not answer probes; it is still used until it is confirmed dead.
    Suspect,
    Dead,
    /// It announced a planned stop. Final for this id.
    Left,
};

/// @brief One process instance in the member list. A restarted process has a new id.
struct Member {
    NodeId id;
    AvailabilityZone zone;
    Region region;
    /// Peer address, "address:port". Empty in an update that only changes the state of a known member.
    std::string address;
    /// Raised only by the member itself, to refute a suspicion.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    auto operator<=>(const Member&) const = default;
};

/// @brief Returns whether work may be sent to a member: it is alive or only suspected.
constexpr bool isLive(MemberState state) { return state == MemberState::Alive || state == MemberState::Suspect; }
inline bool isLive(const Member& member) { return isLive(member.state); }

/// @brief Probe of a member. Carries gossip.
struct Ping {
    /// Number that the Ack repeats; 0 asks for no Ack (gossip only).
    std::uint64_t sequence = 0;
    Member sender;
    /// Asks for the complete member list in the Ack.
    bool wantsMembers = false;
    /// Digest of the sender's live members; see Membership::digest().
    Fingerprint digest = 0;
    std::vector<Member> updates;

    auto operator<=>(const Ping&) const = default;
};

/// @brief Asks the receiver to probe a member for the sender.
struct PingRequest {
    std::uint64_t sequence = 0;
    Member sender;
    NodeId target;
    std::string targetAddress;
    std::vector<Member> updates;

    auto operator<=>(const PingRequest&) const = default;
};

/// @brief Response to Ping, or to PingRequest once the target answered the receiver.
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
