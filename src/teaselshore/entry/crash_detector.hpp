#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry_state.hpp"
#include "teaselshore/reliability/crash_history.hpp"

namespace teaselshore {

/// @brief Detects upstreams that crashed while they ran requests, and shares with all nodes which requests they ran.
///
/// A broken connection does not prove a crash, since connections are reset and responses truncated for other reasons.
/// The end of the process proves it, as shown by a new process at its address or under the same instance name, or by
/// connections that are refused twice while this node reaches another upstream. An upstream that announced its end is
/// not counted. Neither is one that only stops answering, since a network partition or a lost zone looks the same.
///
/// Nodes send each other new crashes at once. Their reports at the platform also carry the suspects, for nodes that
/// start, that were partitioned or that no peer can reach. Not thread-safe.
class CrashDetector {
public:
    explicit CrashDetector(EntryState& state);

    /// @brief Handles an attempt whose connection broke before the response was complete. The keys are those of
    /// crashKeys().
    void onConnectionBroken(
        const UpstreamId& upstream, const std::vector<Fingerprint>& keys, Instant startedAt, Instant now);
    void onChecked(const UpstreamChecked& result, Instant now);
    /// @brief Handles a change of the registered upstreams.
    void onUpstreams(Instant now);
    /// @brief Forgets the connections that broke with the links of this node.
    void onLinksLost();
    /// @brief Clears keys of a request that ran without a crash, which shows that none of them crashes upstreams.
    void onRunWithoutCrash(const std::vector<Fingerprint>& keys);
    /// @brief Adds the crashes that another node sent in a message or in its report.
    void onCrashes(const std::vector<RequestCrash>& crashes, Instant now);
    void onTick(Instant now);

    /// @brief Returns whether no crash is known or open, so that the verdict on every request is Clear.
    bool isEmpty() const { return this->history.isEmpty() && this->unconfirmedCrashes.empty(); }
    CrashVerdict verdict(const std::vector<Fingerprint>& keys) const { return this->history.verdict(keys); }
    /// @brief Returns whether a request may be sent again after its connection has just broken.
    bool mayRetryAfterBrokenConnection(const std::vector<Fingerprint>& keys) const;
    /// @brief Returns how much longer a rejected request is refused if no further crash follows.
    Duration remainingRejection(const std::vector<Fingerprint>& keys, Instant now) const;
    /// @brief Returns the crashes to include in this node's report.
    std::vector<RequestCrash> reportedCrashes() const { return this->history.suspects(maxReportedKeys); }
    /// @brief Sends them to a peer that may not have read the reports of all nodes.
    void tellCrashes(const std::string& peerAddress) const;
    /// @brief Returns whether this node found a suspect since the last call, so that its report is due.
    bool takeReportDue() { return std::exchange(this->reportDue, false); }

private:
    /// Maximum number of keys in a report. It is limited because each node decodes the reports of all nodes.
    static constexpr std::size_t maxReportedKeys = 16;

    /// Attempts with one key whose connections to an upstream broke.
    struct BrokenAttempts {
        Duration startedAt {};
        Duration brokenAt {};
    };

    /// Upstream with broken connections, whose crash is not confirmed.
    struct UnconfirmedCrash {
        std::string instance;
        std::map<Fingerprint, BrokenAttempts> attemptsByKey;
        Instant until {};
        bool isChecking = false;
        /// When the last check was refused.
        std::optional<Instant> refusedAt;
        /// When the upstream was checked again, together with others.
        std::optional<Instant> checkedAgainAt;
        /// The upstream answered a check since; only a new process under its instance name then proves a crash.
        bool hasAnswered = false;
    };

    const RegisteredUpstream* findRegistered(const UpstreamId& upstream) const;
    /// @brief Returns whether the upstream refused a check while this node could reach others.
    bool isRefusedAlone(const UpstreamId& upstream, const UnconfirmedCrash& unconfirmed) const;
    /// @brief Checks an upstream again that refused a check, and others, to learn whether this node reaches any.
    void checkAgain(const UpstreamId& upstream, UnconfirmedCrash& unconfirmed, Instant now);
    void checkOthers(const UpstreamId& upstream, Instant now);
    /// @brief Decides on refused checks.
    void decideRefusedChecks(Instant now);
    void confirmCrash(const UpstreamId& upstream, Instant now);
    void sendCrashReport();

    EntryState& state;
    CrashHistory history;
    std::map<UpstreamId, UnconfirmedCrash> unconfirmedCrashes;
    /// Crashes that were not sent to the other nodes yet.
    std::vector<RequestCrash> unsent;
    bool reportDue = false;
};

} // namespace teaselshore
