#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/object_api.hpp"

namespace teaselshore {

/// @brief Value of the object `leases/<service>`.
struct Lease {
    /// Empty after the holder has given it up.
    NodeId holder;
    /// Fencing token; grows by one with each new holder.
    std::uint64_t epoch = 0;
    /// Number of the write by its holder, to recognise a write whose answer was lost.
    std::uint64_t writeNumber = 0;
    Duration length {};

    auto operator<=>(const Lease&) const = default;

    /// @brief Encodes as JSON.
    std::string encode() const;
    static std::optional<Lease> decode(std::string_view text);
};

struct LeaseSettings {
    /// Time for which a lease lasts after each write of its holder.
    Duration length = std::chrono::seconds(10);
    /// Time before the end from which the holder no longer acts; also covers different clock rates.
    Duration margin = std::chrono::seconds(2);
    Duration renewEvery = std::chrono::seconds(3);
    Duration readEvery = std::chrono::seconds(2);
    /// Time after which a call without an answer counts as unknown.
    Duration callTimeout = std::chrono::seconds(2);
};

/// @brief Holds or follows the lease of one service.
///
/// Of all live nodes the one that rendezvous hashing prefers takes the lease. A lease runs out by passed time on
/// each node's own clock; wall clocks of hosts are never compared. Pure and not thread-safe.
class LeaseHolder {
public:
    LeaseHolder(NodeId self, ServiceName service, LeaseSettings settings = {});

    /// @brief Sets the live nodes, this one included.
    void setMembers(std::set<NodeId> alive);

    /// @brief Lets this node take a free lease, or not, whichever node the hash prefers.
    ///
    /// A holder then keeps its lease until stop(): handing it back to a preferred node would let two nodes act in
    /// turns.
    void setContending(bool contending) { this->contending = contending; }
    /// @brief Makes due calls. Call it at least every 500 ms.
    std::vector<ObjectCommand> tick(Instant now, ObjectCallIds& ids);

    bool awaits(ObjectCallId id) const;

    /// @brief Handles the result of a call; results that are not awaited are ignored.
    std::vector<ObjectCommand> onResult(const ObjectResult& result, Instant now, ObjectCallIds& ids);

    /// @brief Gives the lease up at the next tick and takes it no more.
    void stop() { this->stopping = true; }

    /// @brief Returns the fencing token if the lease is held at this time with the safety margin left.
    ///
    /// Ask immediately before each action, with a freshly read time.
    std::optional<std::uint64_t> fencingToken(Instant now) const;

    /// @brief Returns the last lease value read or written.
    const std::optional<Lease>& observed() const { return this->current; }

private:
    enum class Call {
        Read,
        Write,
    };

    struct Pending {
        Call kind = Call::Read;
        ObjectCallId id = 0;
        Instant sentAt {};
        Lease written;
    };

    bool preferred() const;
    std::vector<ObjectCommand> read(Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> write(const Lease& lease, Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> onRead(const ObjectResult& result, Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> onWritten(
        const Pending& call, const ObjectResult& result, Instant now, ObjectCallIds& ids);
    void observe(const Lease& lease, ObjectVersion version, Instant now);
    void adopt(const Lease& lease);
    void hold(const Pending& call);
    void abandonCall();
    std::vector<ObjectCommand> tickAsHolder(Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> acquireIfDue(Instant now, ObjectCallIds& ids);

    NodeId self;
    ServiceName service;
    LeaseSettings settings;
    std::set<NodeId> members;
    std::optional<bool> contending;
    std::optional<Pending> pending;
    /// Writes without an answer, oldest first; a read decides which of them was applied.
    std::vector<Pending> unanswered;
    std::optional<Lease> current;
    ObjectVersion version = 0;
    bool known = false;
    Instant observedAt {};
    std::optional<Instant> validUntil;
    std::uint64_t heldEpoch = 0;
    std::uint64_t writeNumber = 0;
    Instant nextRead {};
    Instant nextRenewal {};
    bool stopping = false;
};

} // namespace teaselshore
