#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

using HostId = Name<struct HostIdTag>;

enum class HostKind {
    Reclaimable,
    OnDemand,
};

enum class HostState {
    Starting,
    Live,
    Departing,
};

/// @brief One rented or registered host.
struct Host {
    HostId id;
    AvailabilityZone zone;
    HostClass hostClass;
    HostKind kind = HostKind::Reclaimable;
    HostState state = HostState::Starting;
    /// What runs on the host, as given by whoever started it, for example "entry" or "engine".
    std::string role;
    /// "address:port" of the process on the host; empty if unknown.
    std::string address;

    auto operator<=>(const Host&) const = default;
};

/// @brief Hourly price of one offer.
struct HostPrice {
    AvailabilityZone zone;
    HostClass hostClass;
    double reclaimablePerHour = 0;
    double onDemandPerHour = 0;

    auto operator<=>(const HostPrice&) const = default;
};

/// @brief Announcement that a host goes away.
struct ReclaimNotice {
    /// Increases by one with each notice.
    std::uint64_t number = 0;
    HostId host;
    AvailabilityZone zone;
    Instant deadline;

    auto operator<=>(const ReclaimNotice&) const = default;
};

/// @brief Change of a host: its new state, or nothing when it is gone.
struct HostChange {
    HostId id;
    std::optional<Host> host;

    auto operator<=>(const HostChange&) const = default;
};

/// @brief Offers of the cloud and the delay of a start.
struct CloudSettings {
    std::vector<HostPrice> prices;
    Duration startDelay = std::chrono::seconds(2);
    /// Longest time that a notice stays listed after its deadline.
    Duration noticeRetention = std::chrono::seconds(60);

    auto operator<=>(const CloudSettings&) const = default;
};

/// @brief Faults of the cloud API.
struct CloudFaults {
    /// Share of starts that are refused, in [0, 1].
    double refuseStarts = 0;
    /// If set, only starts in this zone are refused.
    std::optional<AvailabilityZone> refuseZone;

    auto operator<=>(const CloudFaults&) const = default;
};

/// @brief Request for one new host.
struct HostStart {
    AvailabilityZone zone;
    HostClass hostClass;
    HostKind kind = HostKind::Reclaimable;
    std::string role;
    std::string address;

    auto operator<=>(const HostStart&) const = default;
};

enum class HostStartError {
    UnknownOffer,
    Refused,
};

/// @brief Model of the cloud API: prices, starts, reclaim notices and accumulated spend.
///
/// Pure: no I/O; not thread-safe. Changes of hosts are collected for HostList by takeChanges().
class CloudModel {
public:
    CloudModel(CloudSettings settings, std::uint64_t seed);

    /// @brief Rents a host. Returns nothing and sets error if the start is refused.
    std::optional<Host> onStart(const HostStart& start, Instant now, HostStartError* error);

    /// @brief Adds a host that already runs. A host with the same id is replaced.
    void onRegister(Host host, Instant now);

    /// @brief Gives a host back. Returns false if it is unknown.
    bool onStop(const HostId& id, Instant now);

    /// @brief Announces the reclaim of one host. Returns false if it is unknown.
    bool onReclaimHost(const HostId& id, Duration notice, Instant now);

    /// @brief Announces the reclaim of all reclaimable hosts of a zone. Returns their number.
    std::size_t onReclaimZone(const AvailabilityZone& zone, Duration notice, Instant now);

    /// @brief Brings started hosts to life and removes reclaimed ones.
    void onTick(Instant now);
    std::optional<Instant> nextTick() const;

    void onFaults(CloudFaults newFaults) { this->faults = std::move(newFaults); }

    std::vector<HostChange> takeChanges();
    std::vector<ReclaimNotice> noticesAfter(std::uint64_t number) const;
    std::vector<Host> hosts() const;
    const std::vector<HostPrice>& prices() const { return this->settings.prices; }

    /// @brief Returns the cost of all hosts up to now, in currency units. Registered hosts without an offer are free.
    double spend(Instant now) const;
    std::uint64_t startsRefused() const { return this->refused; }

private:
    struct Entry {
        Host host;
        Instant since;
        double pricePerHour = 0;
        std::optional<Instant> liveAt;
        std::optional<Instant> goneAt;
    };

    const HostPrice* offer(const AvailabilityZone& zone, const HostClass& hostClass) const;
    void announce(Entry& entry, Duration notice, Instant now);
    void add(Entry entry);
    void remove(std::map<HostId, Entry>::iterator position, Instant now);

    CloudSettings settings;
    RandomSource random;
    CloudFaults faults;
    std::map<HostId, Entry> entries;
    std::vector<ReclaimNotice> notices;
    std::vector<HostChange> changes;
    std::uint64_t lastNotice = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    double finishedSpend = 0;
};

} // namespace teaselshore
