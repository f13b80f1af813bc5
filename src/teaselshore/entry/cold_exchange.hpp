#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "entry_state.hpp"

namespace teaselshore {

/// @brief Learns which upstreams are cold, sets their limits, and tells peers what upstreams state in responses.
///
/// An upstream is cold for as long as its entry or a response says; the last statement counts. If its entry says
/// nothing, it is cold for the cold time of its service after its start. An upstream that broke off a connection, could
/// not be connected to or whose entry was removed may have become cold: it counts as cold until that time has passed
/// after its first answer, unless a statement says otherwise. So do all upstreams of a zone if several of them fail
/// while none there answers: a node sends few requests to each, and does not notice the failure of every one. Does
/// nothing for services without a cold rate. Not thread-safe.
class ColdExchange {
public:
    explicit ColdExchange(EntryState& state);

    void onConfiguration(Instant now);
    /// @brief Applies an entry that was read at the platform. Must be called before the directory applies it.
    void onEntry(const RegisteredUpstream& entry, Instant now);
    void onEntries(const std::vector<RegisteredUpstream>& entries, Instant now);
    /// @brief Handles a change of the directory: entries that are missing there may return.
    void onUpstreams(Instant now);
    /// @brief Handles a connection that broke or could not be established.
    void onUnreachable(const UpstreamId& upstream, Instant now);
    void onResponse(const UpstreamId& upstream, const ResponseFacts& facts, Instant now);
    void onChecked(const UpstreamChecked& result, Instant now);
    void onReport(const std::string& sender, const ColdReport& report, Instant now);
    /// @brief Ends expired limits, checks upstreams that are only taken for cold, and tells peers what is new.
    void onTick(Instant now);

private:
    /// How this node knows that an upstream is cold or warm.
    enum class Basis {
        /// Start of the process; the entry states nothing.
        Start,
        /// Broken connections or a removed entry.
        Presumption,
        /// The entry, a response or a peer.
        Statement,
    };

    struct Upstream {
        ServiceName service;
        AvailabilityZone zone;
        std::string instance;
        /// Unix milliseconds.
        std::int64_t startedAt = 0;
        /// Version of the object that held the last entry.
        std::uint64_t objectVersion = 0;
        Basis basis = Basis::Start;
        /// For the log.
        std::string source;
        Instant coldUntil {};
        /// Time of the statement or of the last sign that the upstream may be cold.
        Instant learnedAt {};
        /// True from a failed connection to the next answer.
        bool isUnreachable = false;
        /// Since when the entry is missing in the directory.
        std::optional<Instant> missingSince;
        /// True until a check has asked whether the upstream is cold.
        bool isCheckDue = false;
    };

    /// @brief Returns the service if its upstreams have a limit while they are cold, or null.
    const EntryService* coldService(const ServiceName& name) const;
    bool isUsed() const { return !this->coldServices.empty(); }
    /// @brief Sets coldUntil from the start of the process.
    void applyStart(Upstream& upstream, Instant now);
    void presume(Upstream& upstream, std::string source, Instant now);
    /// @brief Limits an upstream that does not answer until it does.
    void markUnreachable(const UpstreamId& id, Upstream& upstream, std::string source, Instant now);
    /// @brief Applies a statement; returns whether it was news.
    bool applyStatement(const UpstreamId& id, Upstream& upstream, Duration left, Instant statedAt,
        const std::string& source, Instant now);
    /// @brief Sets or ends the limit.
    void update(const UpstreamId& id, const Upstream& upstream, Instant now);
    void checkPresumed(Instant now);
    void sendReport(Instant now);

    EntryState& state;
    std::set<ServiceName> coldServices;
    std::map<UpstreamId, Upstream> upstreams;
    /// Upstreams whose responses to this node were news.
    std::set<UpstreamId> changed;
    /// Upstreams that failed since any of the same service and zone has answered.
    std::map<std::pair<ServiceName, AvailabilityZone>, std::set<UpstreamId>> failedByZone;
    /// True if starts could not be compared with the clock yet.
    bool awaitsClock = false;
};

} // namespace teaselshore
