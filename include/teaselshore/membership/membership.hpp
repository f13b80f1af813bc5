#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/membership/member.hpp"

namespace teaselshore {

/// @brief Times and limits of the failure detector.
struct MembershipSettings {
    /// Time between two probes by one node.
    Duration probePeriod = std::chrono::seconds(1);
    /// Time without Ack after which other members are asked to probe the target.
    Duration directTimeout = std::chrono::milliseconds(400);
    /// Number of members asked to probe a target that does not answer.
    std::size_t indirectProbes = 3;
    /// The suspicion timeout is this factor times log10 of the cluster size (at least 1) times the probe period.
    double suspicionFactor = 3;
    /// Time between rounds of gossip while there are updates to tell.
    Duration gossipPeriod = std::chrono::milliseconds(200);
    /// Number of members told in each round of gossip.
    std::size_t gossipFanout = 3;
    std::size_t updatesPerMessage = 12;
    /// Each update is sent at most this factor times log10 of the cluster size (at least 1).
    double retransmitFactor = 5;
    /// Time between probes of listed addresses without a live member and of dead members.
    Duration seedPeriod = std::chrono::seconds(2);
    /// Time for which digests may differ before the complete list is fetched, and half the time between two fetches.
    Duration syncDelay = std::chrono::seconds(5);
    /// A longer gap between two events means that this process was paused.
    Duration pauseGap = std::chrono::milliseconds(1500);
    /// Upper bound of the local health score; timeouts are multiplied by the score plus one.
    std::uint32_t maximumHealthScore = 3;
    /// Time for which dead members are remembered and probed; longer than a region partition of an hour.
    Duration deadRetention = std::chrono::minutes(90);
    /// Time for which members that left are remembered, so that old gossip does not revive them.
    Duration leftRetention = std::chrono::minutes(10);

    auto operator<=>(const MembershipSettings&) const = default;
};

/// @brief Host in the platform's host list. The list lags behind.
struct ListedHost {
    /// Peer address of the process on the host.
    std::string address;
    bool leaving = false;

    auto operator<=>(const ListedHost&) const = default;
};

struct SendPing {
    std::string address;
    Ping ping;

    auto operator<=>(const SendPing&) const = default;
};

struct SendPingRequest {
    std::string address;
    PingRequest request;

    auto operator<=>(const SendPingRequest&) const = default;
};

struct SendAck {
    std::string address;
    Ack ack;

    auto operator<=>(const SendAck&) const = default;
};

/// @brief A member joined (no previous state) or changed its state. Never about the own node.
struct MemberChanged {
    Member member;
    std::optional<MemberState> previous;

    auto operator<=>(const MemberChanged&) const = default;
};

using MembershipCommand = std::variant<SendPing, SendPingRequest, SendAck, MemberChanged>;

/// @brief Member list of one node, kept by a SWIM-style failure detector.
///
/// Each period it probes one member in a shuffled round robin, then asks a few members to probe it, then suspects it.
/// A suspected member has time to refute with a higher incarnation before it counts as dead. Changes spread as gossip
/// on probes; a digest of the list in each probe finds lists that still differ. Host list entries are only addresses
/// to probe: they neither revive nor kill a member. Not thread-safe.
class Membership {
public:
    /// @brief Starts with the own node as the only member. Precondition: self has an id and an address.
    Membership(Member self, MembershipSettings settings, RandomSource random);
    ~Membership();
    Membership(Membership&&) noexcept;
    Membership& operator=(Membership&&) noexcept;

    /// @brief Drives all timers. Call it every 100 ms or so.
    std::vector<MembershipCommand> onTick(Instant now);
    std::vector<MembershipCommand> onPing(const Ping& ping, Instant now);
    std::vector<MembershipCommand> onPingRequest(const PingRequest& request, Instant now);
    std::vector<MembershipCommand> onAck(const Ack& ack, Instant now);

    /// @brief Replaces the listed hosts. Call it with each response of the host list, and once with configured seeds.
    std::vector<MembershipCommand> onHostList(const std::vector<ListedHost>& hosts, Instant now);

    /// @brief Announces the planned stop of the own node. Afterwards it only answers.
    std::vector<MembershipCommand> onLeave(Instant now);

    const Member& self() const;

    /// @brief Returns a member of any state, or null. Valid until the next event.
    const Member* find(const NodeId& id) const;

    /// @brief Returns the live member (the own node included) at a peer address, or null. Valid until the next event.
    const Member* findLiveAt(const std::string& address) const;

    /// @brief Returns all remembered members, the own node included, ordered by id.
    std::vector<Member> members() const;

    /// @brief Returns the live members, the own node included, ordered by id.
    std::vector<Member> liveMembers() const;

    /// @brief Digest of the ids and incarnations of the live members, the own node included.
    Fingerprint digest() const;

    /// @brief Returns 0 if probes are answered, more if the own node seems slow or cut off.
    std::uint32_t healthScore() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
