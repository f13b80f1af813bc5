#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/entry/outage_evidence.hpp"
#include "teaselshore/entry/registered_upstream.hpp"

namespace teaselshore {

/// @brief This node's copy of the upstreams that are registered at the platform.
///
/// An entry that is missing shortly after an outage of the platform may have expired there although its upstream still
/// runs. It is kept until upstreams have had time to register again, which they do within some seconds of the
/// platform's return. An outage that was too short for entries to expire is no reason to keep any.
///
/// A platform that was restored from an older copy may lack entries, which are kept in the same way, and may show
/// upstreams that are leaving or have left as they were before. A process that was leaving gets no requests any more,
/// and one whose entry was removed gets none until the entries of processes that have ended have expired. Not
/// thread-safe.
class UpstreamDirectory {
public:
    /// @brief renewalPeriod is the time between two renewals of an entry.
    explicit UpstreamDirectory(Duration renewalPeriod = std::chrono::seconds(1));

    /// @brief Applies a complete list. Returns whether anything changed.
    bool onListed(const std::vector<RegisteredUpstream>& upstreams, Instant now);
    bool onChanged(RegisteredUpstream upstream);
    /// @brief Handles the removal of an entry.
    bool onRemoved(const std::string& instance, Instant now);
    /// @brief Handles the replacement of an entry by a value that describes no upstream.
    bool onReplaced(const std::string& instance, Instant now);
    /// @brief Handles the end of an outage of at most the given length, as far as this node can tell.
    void onPlatformReturned(Duration longestOutage, Instant now);
    /// @brief Returns whether it matters when the platform returned.
    bool keepsMissingEntries(Instant now) const;
    /// @brief Handles what another node knows: the platform answered it without an outage from the first to the second
    /// time.
    void onPlatformAnsweredPeer(Instant first, Instant last);
    void onPlatformRestored(Instant now);
    /// @brief Removes entries whose grace period has ended. Returns whether anything changed.
    bool onTick(Instant now);

    /// @brief Returns whether a complete list has been read.
    bool hasSynced() const { return this->synced; }
    std::vector<RegisteredUpstream> upstreams() const;
    /// @brief Returns the entry of a process, or null. The pointer is valid until the directory changes.
    const RegisteredUpstream* find(const UpstreamId& upstream) const;
    /// @brief Returns the entry of an instance name, whichever process holds the name, or null.
    const RegisteredUpstream* findInstance(const std::string& instance) const;

private:
    struct Entry {
        RegisteredUpstream upstream;
        /// True while the entry is missing at the platform and may have expired in an outage.
        bool isMissing = false;
        /// True while the entry may be that of a process that left before the platform was restored.
        bool mayHaveLeft = false;
    };

    /// Process whose entry was removed.
    struct Removed {
        Instant at {};
        bool wasDraining = false;
    };

    /// @brief Returns whether upstreams have had time to register again since the last outage.
    bool isGracePeriodOver(Instant now) const;
    void remove(std::map<std::string, Entry>::iterator entry, Instant now);

    /// Outages in which entries can have expired.
    OutageEvidence outages;
    std::map<std::string, Entry> entries;
    std::map<UpstreamId, Removed> removed;
    /// When the platform was restored; reset once the entries of processes that had ended before have expired.
    std::optional<Instant> restoredAt;
    bool synced = false;
};

} // namespace teaselshore
