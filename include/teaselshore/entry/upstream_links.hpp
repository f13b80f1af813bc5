#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/node/ids.hpp"

namespace teaselshore {

/// @brief Decides whether this node has lost its links to all upstreams.
///
/// A single upstream that refuses connections or is silent says nothing about the links of this node. If several do,
/// connections to a sample of all upstreams are tried: the links are lost if none of them can be established, and are
/// back with the first one that can. Responses on connections that are open already do not count: these may live on
/// while no new ones can be established. Not thread-safe.
class UpstreamLinks {
public:
    explicit UpstreamLinks(std::uint64_t seed);

    /// @brief Records the start of an attempt. Precondition: ids and times never decrease.
    void onAttemptStarted(AttemptId attempt, const UpstreamId& upstream, Instant now);
    /// @brief Records the first bytes of a response.
    void onAnswered(AttemptId attempt, Instant now);
    /// @brief Records that no connection for the attempt could be established.
    void onNotConnected(AttemptId attempt, Instant now);
    /// @brief Records that the connection of an attempt broke.
    void onBroken(AttemptId attempt, Instant now);
    /// @brief Records that an attempt ended for another reason.
    void onAttemptEnded(AttemptId attempt) { this->unanswered.erase(attempt); }
    /// @brief Records the end of a check, which opens a connection of its own.
    void onChecked(const UpstreamId& upstream, bool isReached, Instant now);

    /// @brief Records that there is no upstream to which this node may connect, which says nothing about its links.
    void onNoUpstreams();

    /// @brief Returns whether takeChecks() should be called, with this number of known upstreams.
    bool areChecksDue(std::size_t known, Instant now);
    /// @brief Returns a random sample of the upstreams, which are to be checked now.
    std::vector<UpstreamId> takeChecks(std::vector<UpstreamId> upstreams, Instant now);

    bool areLost() const { return this->lost; }
    /// @brief Returns whether an attempt was answered lately, also on a connection that was open before.
    bool areAnswering(Instant now) const;
    /// @brief Returns whether an upstream other than the given one has answered or was reached since the given time.
    bool hasReachedAnotherSince(const UpstreamId& upstream, Instant since) const;
    /// @brief Returns when the last response or check reached an upstream; nothing before the first one.
    std::optional<Instant> lastReached() const;

private:
    struct Contact {
        UpstreamId upstream;
        Instant at {};
    };

    /// An attempt without any byte of a response.
    struct Unanswered {
        UpstreamId upstream;
        Instant startedAt {};
    };

    /// A connection that broke or could not be established.
    struct Trouble {
        UpstreamId upstream;
        Instant at {};
    };

    void addTrouble(AttemptId attempt, Instant now);
    void addContact(const UpstreamId& upstream, Instant now);
    /// @brief Returns whether enough upstreams of those known are in trouble to check others.
    bool isSuspect(std::size_t known, Instant now);

    RandomSource random;
    std::map<AttemptId, Unanswered> unanswered;
    std::deque<Trouble> troubles;
    /// The last contacts with two different upstreams, the latest one first.
    std::optional<Contact> latest;
    std::optional<Contact> latestOther;
    /// Checks without a result.
    std::set<UpstreamId> checking;
    Instant checksSentAt {};
    bool isReachedByChecks = false;
    Instant nextChecks {};
    std::optional<Instant> answeredAt;
    bool lost = false;
};

} // namespace teaselshore
