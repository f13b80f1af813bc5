#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/membership/membership.hpp"

namespace teaselshore {

/// @brief Member list of one node and the rules by which updates are merged into it.
class MemberTable {
public:
    struct Record {
        Member member;
        Instant changedAt {};
        /// Time at which a suspect member is declared dead.
        Instant deadline {};
    };

    /// @brief Origin of an update about a member.
    enum class Source {
        Gossip,
        /// Complete list of a peer. It may be outdated, so members that are dead in it only become suspect here.
        CompleteList,
    };

    /// @brief Result of an operation on the table; empty if nothing changed.
    struct StateChange {
        /// True if the new state of the member must be sent to other members.
        bool disseminate = false;
        /// Event to report if a member with a known address joined or changed its state.
        std::optional<MemberChanged> event;
    };

    explicit MemberTable(Member self);

    /// @brief Merges an update. Precondition: it is not about the local node.
    StateChange merge(const Member& update, Source source, Instant now, Duration suspicionTimeout);

    /// @brief Marks an alive member suspect at its current incarnation.
    StateChange suspect(const NodeId& id, Instant now, Duration suspicionTimeout);

    /// @brief Declares a live member dead at its current incarnation.
    StateChange confirmDead(const NodeId& id, Instant now);

    /// @brief Marks a dead member alive again at its current incarnation, without gossip to other members.
    StateChange markAlive(const NodeId& id, Instant now);

    /// @brief Sets the incarnation and state of the local node.
    void setSelf(std::uint64_t incarnation, MemberState state);

    /// @brief Restarts the suspicion timeout of all suspect members.
    void extendSuspicions(Instant now, Duration suspicionTimeout);

    /// @brief Returns the suspect members whose suspicion timeout has expired.
    std::vector<NodeId> expiredSuspicions(Instant now) const;

    /// @brief Removes dead and left members whose retention time has passed.
    void removeExpired(Instant now, Duration deadRetention, Duration leftRetention);

    const Member& self() const { return this->records.at(this->selfId).member; }
    const Record* find(const NodeId& id) const;
    const Member* findLiveAt(const std::string& address) const;
    const std::map<NodeId, Record>& all() const { return this->records; }

    /// @brief Returns the live members except the local node.
    std::vector<const Member*> livePeers() const;
    /// @brief Returns the number of live members, the local node included.
    std::size_t liveCount() const { return this->liveMemberCount; }
    Fingerprint digest() const { return this->liveDigest; }
    Instant digestChangedAt() const { return this->lastDigestChange; }

private:
    StateChange setState(
        Record& record, MemberState state, std::uint64_t incarnation, Instant now, Duration suspicionTimeout);
    StateChange insert(const Member& update, Instant now, Duration suspicionTimeout);
    /// @brief Adds a live member to the counts and the digest, or removes it from them.
    void updateLiveTotals(const Member& member, bool add);

    NodeId selfId;
    std::map<NodeId, Record> records;
    std::size_t liveMemberCount = 0;
    std::size_t suspectCount = 0;
    Fingerprint liveDigest = 0;
    Instant lastDigestChange {};
};

} // namespace teaselshore
