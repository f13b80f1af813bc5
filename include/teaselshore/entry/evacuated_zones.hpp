#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Whether a zone is evacuated, as of a revision of the platform.
struct ZoneEvacuation {
    AvailabilityZone zone;
    /// False if the evacuation has ended.
    bool isEvacuated = true;
    std::uint64_t revision = 0;
    /// When a node read the change from the platform.
    Instant since {};
    /// Until when an evacuation remains in effect that is missing at a restored platform; nothing if it is not missing.
    std::optional<Instant> missingUntil {};

    auto operator<=>(const ZoneEvacuation&) const = default;
};

/// @brief Zones to whose upstreams nothing may be sent.
///
/// The operator requests an evacuation by an object at the platform. Changes come in any order, from the platform and
/// from peers; the one with the latest revision is in effect. What was read completely up to a revision takes
/// precedence over everything up to that revision. Not thread-safe.
class EvacuatedZones {
public:
    using Changes = std::vector<ZoneEvacuation>;

    /// @brief Applies all evacuations that exist at a revision. Zones that are missing are no longer evacuated, but for
    /// some seconds after a restore of the platform they remain so: the object may have been lost with the restore.
    /// Returns what changed.
    Changes onListed(const Changes& evacuations, std::uint64_t revision, Instant now);
    /// @brief Applies a change that was read from the platform. Precondition: all earlier ones have been read.
    Changes onRead(const ZoneEvacuation& change);
    /// @brief Applies a change that a peer reported.
    Changes onReported(const ZoneEvacuation& change);
    /// @brief Applies an evacuation that a peer knows from before a restore, for no longer than the peer does: this
    /// process may have started after the restore. Precondition: `missingUntil` is set.
    Changes onReportedMissing(const ZoneEvacuation& evacuation, Instant now);
    void onPlatformRestored(Instant now) { this->restoredAt = now; }
    /// @brief Ends what has been missing since a restore for too long, and drops old entries.
    Changes onTick(Instant now);

    bool contains(const AvailabilityZone& zone) const;
    /// @brief Returns whether a zone is evacuated, or was so since the given time.
    bool containedSince(const AvailabilityZone& zone, Instant since) const;
    std::size_t count() const { return this->evacuatedCount; }
    /// @brief Returns the evacuations in effect and those that have ended lately.
    Changes entries() const;
    /// @brief Returns since when a zone has been evacuated; nothing if it is not.
    std::optional<Instant> evacuatedSince(const AvailabilityZone& zone) const;
    /// @brief Returns the revision up to which all changes are known; nothing before the first list.
    std::optional<std::uint64_t> revision() const { return this->completeRevision; }

    /// @brief Returns whether an evacuation is in effect though it is missing at a restored platform.
    bool isDoubtful() const;

private:
    struct Entry {
        bool isEvacuated = false;
        std::uint64_t revision = 0;
        Instant since {};
        std::optional<Instant> missingUntil;
    };

    /// @brief Replaces what is known of a zone.
    void set(const ZoneEvacuation& change, Changes& changes);
    bool mayHaveBeenLost(Instant now) const;

    std::map<AvailabilityZone, Entry> zones;
    std::size_t evacuatedCount = 0;
    std::optional<std::uint64_t> completeRevision;
    std::optional<Instant> restoredAt;
};

} // namespace teaselshore
