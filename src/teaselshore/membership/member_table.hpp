#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/membership/membership.hpp"

namespace teaselshore {

/// @brief Members of one node's list and the rules by which claims about them are merged.
class MemberTable {
public:
    struct Record {
        Member member;
        Instant changedAt {};
        /// Time at which a suspected member counts as dead.
        Instant deadline {};
    };

    /// @brief Where a claim about a member comes from.
    enum class Source {
        Gossip,
        /// Complete list of a peer. It may be old: its dead members are only suspected here.
        CompleteList,
    };

    /// @brief Effect of a claim.
    struct Merge {
        /// The claim changed the list and is to be told to others.
        bool news = false;
        std::optional<MemberChanged> change;
    };

    explicit MemberTable(Member self);

    /// @brief Applies a claim about another member. Precondition: it is not about the own node.
    Merge merge(const Member& claim, Source source, Instant now, Duration suspicionTimeout);

    /// @brief Suspects a live member at its current incarnation.
    Merge suspect(const NodeId& id, Instant now, Duration suspicionTimeout);

    /// @brief Declares a live member dead at its current incarnation.
    Merge confirmDead(const NodeId& id, Instant now);

    /// @brief Counts a dead member as alive again at its current incarnation; not to be told to others.
    Merge revive(const NodeId& id, Instant now);

    /// @brief Sets the own incarnation and state.
    void setSelf(std::uint64_t incarnation, MemberState state);

    /// @brief Gives all suspected members the complete time again.
    void extendSuspicions(Instant now, Duration suspicionTimeout);

    /// @brief Returns the suspected members whose time is over.
    std::vector<NodeId> overdue(Instant now) const;

    /// @brief Drops members that have been dead or left for long.
    void forgetOld(Instant now, Duration deadRetention, Duration leftRetention);

    const Member& self() const { return this->records.at(this->selfId).member; }
    const Record* find(const NodeId& id) const;
    const Member* findLiveAt(const std::string& address) const;
    const std::map<NodeId, Record>& all() const { return this->records; }

    /// @brief Returns the live members but the own node.
    std::vector<const Member*> livePeers() const;
    /// @brief Number of live members, the own node included.
    std::size_t liveCount() const { return this->live; }
    Fingerprint digest() const { return this->liveDigest; }
    Instant digestChangedAt() const { return this->digestChange; }

private:
    Merge change(Record& record, MemberState state, std::uint64_t incarnation, Instant now, Duration suspicionTimeout);
    Merge insert(const Member& claim, Instant now, Duration suspicionTimeout);
    void count(const Member& member, bool add);

    NodeId selfId;
    std::map<NodeId, Record> records;
    std::size_t live = 0;
    std::size_t suspects = 0;
    Fingerprint liveDigest = 0;
    Instant digestChange {};
};

} // namespace teaselshore
