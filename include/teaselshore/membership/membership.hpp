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
    /// Time without Ack after which other members are asked to probe the target indirectly.
    Duration directTimeout = std::chrono::milliseconds(400);
    /// Number of members asked to probe a target that does not respond.
    std::size_t indirectProbes = 3;
    /// The suspicion timeout is this factor times log10 of the cluster size (at least 1) times the probe period.
    double suspicionFactor = 3;
    /// Time between gossip rounds while updates are queued.
    Duration gossipPeriod = std::chrono::milliseconds(200);
    /// Number of members that receive gossip in each round.
    std::size_t gossipFanout = 3;
    std::size_t updatesPerMessage = 12;
    /// Each update is sent at most this factor times log10 of the cluster size (at least 1) times.
    double retransmitFactor = 5;
    /// Time between probes of dead members and of listed addresses without a live member.
    Duration seedPeriod = std::chrono::seconds(2);
    /// Time for which the local digest must be unchanged before a differing list is fetched, and half the minimum time
    /// between two fetches.
    Duration syncDelay = std::chrono::seconds(5);
    /// A longer gap between two events means that this process was paused.
    Duration pauseGap = std::chrono::milliseconds(1500);
    /// Upper bound of the local health score; timeouts are multiplied by the score plus one.
    std::uint32_t maximumHealthScore = 3;
    /// Time for which dead members are kept and probed; must exceed a region partition of an hour.
    Duration deadRetention = std::chrono::minutes(90);
    /// Time for which members that left are kept, so that delayed gossip does not add them again.
    Duration leftRetention = std::chrono::minutes(10);

    auto operator<=>(const MembershipSettings&) const = default;
};

/// @brief Host in the platform's host list, which may be out of date.
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

/// @brief A member joined (no previous state) or changed its state. Never reported for the local node.
struct MemberChanged {
    Member member;
    std::optional<MemberState> previous;

    auto operator<=>(const MemberChanged&) const = default;
};

using MembershipCommand = std::variant<SendPing, SendPingRequest, SendAck, MemberChanged>;

/// @brief Member list of one node, kept by a SWIM-style failure detector.
///
/// Each period it probes one member in randomized round-robin order. If the probe is not acknowledged, a few other
/// members probe the target indirectly; if those probes fail too, the target becomes suspect. A suspect member can
/// refute with a higher incarnation until the suspicion timeout, after which it is declared dead. State changes spread
/// as gossip piggybacked on probes. Each probe carries a digest of the live members, by which lists that still differ
/// are detected and synchronized. Host list entries are only addresses to probe and do not change the state of a
/// member. Not thread-safe.
class Membership {
public:
    /// @brief Starts with the local node as the only member. Precondition: self has an id and an address.
    Membership(Member self, MembershipSettings settings, RandomSource random);
    ~Membership();
    Membership(Membership&&) noexcept;
    Membership& operator=(Membership&&) noexcept;

    /// @brief Processes all timers. Call it about every 100 ms.
    std::vector<MembershipCommand> onTick(Instant now);
    std::vector<MembershipCommand> onPing(const Ping& ping, Instant now);
    std::vector<MembershipCommand> onPingRequest(const PingRequest& request, Instant now);
    std::vector<MembershipCommand> onAck(const Ack& ack, Instant now);

    /// @brief Replaces the listed hosts. Call it once with the configured seeds and with each host list response.
    std::vector<MembershipCommand> onHostList(const std::vector<ListedHost>& hosts, Instant now);

    /// @brief Announces that the local node leaves the cluster. Afterwards it only responds to probes.
    std::vector<MembershipCommand> onLeave(Instant now);

    const Member& self() const;

    /// @brief Returns a member of any state, or null. Valid until the next event.
    const Member* find(const NodeId& id) const;

    /// @brief Returns the live member (the local node included) at a peer address, or null. Valid until the next event.
    const Member* findLiveAt(const std::string& address) const;

    /// @brief Returns all remembered members, the local node included, ordered by id.
    std::vector<Member> members() const;

    /// @brief Returns the live members, the local node included, ordered by id.
    std::vector<Member> liveMembers() const;

    /// @brief Returns a digest of the ids and incarnations of the live members, the local node included.
    Fingerprint digest() const;

    /// @brief Returns 0 while probes are acknowledged, more if the local node seems slow or disconnected.
    std::uint32_t healthScore() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
