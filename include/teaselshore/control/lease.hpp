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
    /// Empty after the holder has released the lease.
    NodeId holder;
    /// Fencing token; grows by one with each new holder, and by more with the first one after a restore of the
    /// platform.
    std::uint64_t epoch = 0;
    /// Sequence number of the holder's write, which identifies a write whose response was lost.
    std::uint64_t writeNumber = 0;
    Duration duration {};

    auto operator<=>(const Lease&) const = default;

    /// @brief Encodes as JSON.
    std::string encode() const;
    static std::optional<Lease> decode(std::string_view text);
};

struct LeaseSettings {
    /// Time for which the lease is valid after each write by its holder.
    Duration duration = std::chrono::seconds(10);
    /// Time before expiry at which the holder stops acting; also covers clocks that run at different rates.
    Duration margin = std::chrono::seconds(2);
    Duration renewEvery = std::chrono::seconds(3);
    Duration readEvery = std::chrono::seconds(2);
    /// Time after which the outcome of a call without a response counts as unknown.
    Duration callTimeout = std::chrono::seconds(2);
};

/// @brief Acquires, renews and observes the lease of one service.
///
/// Of all live nodes the one chosen by rendezvous hashing acquires the lease. Each node measures expiry as elapsed time
/// on its own monotonic clock; wall clocks of hosts are never compared.
///
/// The platform may come back from an older copy. The stored lease then says neither who holds it nor which tokens were
/// used. A holder whose lease is still valid by its own clock writes it again; all other nodes wait as for a holder
/// that has just renewed it. Each era of the platform has its own range of tokens. Pure and not thread-safe.
class LeaseHolder {
public:
    LeaseHolder(NodeId self, ServiceName service, LeaseSettings settings = {});

    /// @brief Sets the live nodes. This node is always one of them.
    void setMembers(std::set<NodeId> alive);

    /// @brief Sets whether this node acquires a free lease, overriding rendezvous hashing.
    ///
    /// The holder then keeps its lease until stop(), since handing it back to a preferred node would make two nodes
    /// alternate as holders.
    void setContending(bool contending) { this->contending = contending; }
    /// @brief Returns the calls that are due. Must be called at least every 500 ms.
    std::vector<ObjectCommand> tick(Instant now, ObjectCallIds& ids);

    /// @brief Returns whether the result of this call is outstanding.
    bool awaits(ObjectCallId id) const;

    /// @brief Handles the result of a call. Results of calls that are not outstanding are ignored.
    std::vector<ObjectCommand> onResult(const ObjectResult& result, Instant now, ObjectCallIds& ids);

    /// @brief Releases the lease at the next tick and never acquires it again.
    void stop() { this->stopping = true; }

    /// @brief Returns the fencing token if the lease is held and does not expire within the safety margin.
    ///
    /// Must be checked immediately before each action, with the current time.
    std::optional<std::uint64_t> fencingToken(Instant now) const;

    /// @brief Returns the last lease value read or written.
    const std::optional<Lease>& observed() const { return this->current; }

private:
    enum class CallKind {
        Read,
        Write,
    };

    struct Pending {
        CallKind kind = CallKind::Read;
        ObjectCallId id = 0;
        Instant sentAt {};
        Lease written;
    };

    bool shouldHold() const;
    std::vector<ObjectCommand> read(Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> write(const Lease& lease, Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> onRead(const ObjectResult& result, Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> onWritten(
        const Pending& call, const ObjectResult& result, Instant now, ObjectCallIds& ids);
    void observe(const Lease& lease, ObjectVersion version, Instant now);
    /// @brief Handles a stored lease of an earlier era, or the absence of one that was stored.
    void observeCopy(const Lease& copy, Instant now);
    /// @brief Returns whether the lease was written in the era of the version.
    static bool isOfEra(const Lease& lease, ObjectVersion version);
    /// @brief Returns the token of a new holder.
    std::uint64_t nextEpoch() const;
    /// @brief Returns the token with which this node writes its lease again.
    std::uint64_t ownEpoch() const;
    void resolveUnanswered(const Lease& lease);
    void extendValidity(const Pending& call);
    void abandonCall();
    std::vector<ObjectCommand> tickAsHolder(Instant now, ObjectCallIds& ids);
    std::vector<ObjectCommand> acquireIfDue(Instant now, ObjectCallIds& ids);

    NodeId self;
    ServiceName service;
    LeaseSettings settings;
    std::set<NodeId> members;
    std::optional<bool> contending;
    std::optional<Pending> pending;
    /// Writes without a response, oldest first. The next read shows which of them was applied.
    std::vector<Pending> unanswered;
    std::optional<Lease> current;
    ObjectVersion version = 0;
    /// True while current and version reflect the stored object as far as this node can tell.
    bool stateKnown = false;
    Instant observedAt {};
    std::optional<Instant> validUntil;
    std::uint64_t heldEpoch = 0;
    std::uint64_t writeNumber = 0;
    Instant nextRead {};
    Instant nextRenewal {};
    bool stopping = false;
};

} // namespace teaselshore
