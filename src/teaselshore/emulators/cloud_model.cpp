#include "teaselshore/emulators/cloud_model.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace teaselshore {

namespace {

    double hours(Duration length) { return toSeconds(length) / 3600.0; }

    double priceOf(const HostPrice& offer, HostKind kind)
    {
        return kind == HostKind::Reclaimable ? offer.reclaimablePerHour : offer.onDemandPerHour;
    }

    void lower(std::optional<Instant>& earliest, const std::optional<Instant>& candidate)
    {
        if (candidate && (!earliest || *candidate < *earliest))
            earliest = candidate;
    }

} // namespace

CloudModel::CloudModel(CloudSettings settings, std::uint64_t seed)
    : settings(std::move(settings))
    , random(seed)
{
}

std::optional<Host> CloudModel::onStart(const HostStart& start, Instant now, HostStartError* error)
{
    const HostPrice* price = this->offer(start.zone, start.hostClass);
    if (price == nullptr) {
        *error = HostStartError::UnknownOffer;
        return std::nullopt;
    }
    const bool zoneMatches = !this->faults.refuseZone || *this->faults.refuseZone == start.zone;
    if (zoneMatches && this->random.uniform() < this->faults.refuseStarts) {
        ++this->refused;
        *error = HostStartError::Refused;
        return std::nullopt;
    }

    const HostId id(fmt::format("host-{}", ++this->started));
    Host host { id, start.zone, start.hostClass, start.kind, HostState::Starting, start.role, start.address };
    this->add({ host, now, priceOf(*price, start.kind), now + this->settings.startDelay, std::nullopt });
    return host;
}

void CloudModel::onRegister(Host host, Instant now)
{
    const auto found = this->entries.find(host.id);
    if (found != this->entries.end())
        this->remove(found, now);
    const HostPrice* price = this->offer(host.zone, host.hostClass);
    const double pricePerHour = price == nullptr ? 0 : priceOf(*price, host.kind);
    host.state = HostState::Live;
    this->add({ std::move(host), now, pricePerHour, std::nullopt, std::nullopt });
}

bool CloudModel::onStop(const HostId& id, Instant now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
        return false;
    this->remove(found, now);
    return true;
}

bool CloudModel::onReclaimHost(const HostId& id, Duration notice, Instant now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
        return false;
    this->announce(found->second, notice, now);
    return true;
}

std::size_t CloudModel::onReclaimZone(const AvailabilityZone& zone, Duration notice, Instant now)
{
    std::size_t count = 0;
    for (auto& [id, entry] : this->entries) {
        if (entry.host.zone != zone || entry.host.kind != HostKind::Reclaimable)
            continue;
        this->announce(entry, notice, now);
        ++count;
    }
    return count;
}

void CloudModel::onTick(Instant now)
{
    for (auto position = this->entries.begin(); position != this->entries.end();) {
        const auto current = position++;
        Entry& entry = current->second;
        if (entry.goneAt && *entry.goneAt <= now) {
            this->remove(current, *entry.goneAt);
            continue;
        }
        if (entry.liveAt && *entry.liveAt <= now) {
            entry.liveAt.reset();
            entry.host.state = HostState::Live;
            this->changes.push_back({ entry.host.id, entry.host });
        }
    }
    std::erase_if(this->notices,
        [&](const ReclaimNotice& notice) { return notice.deadline + this->settings.noticeRetention < now; });
}

std::optional<Instant> CloudModel::nextTick() const
{
    std::optional<Instant> next;
    for (const auto& [id, entry] : this->entries) {
        lower(next, entry.liveAt);
        lower(next, entry.goneAt);
    }
    return next;
}

std::vector<HostChange> CloudModel::takeChanges() { return std::exchange(this->changes, {}); }

std::vector<ReclaimNotice> CloudModel::noticesAfter(std::uint64_t number) const
{
    std::vector<ReclaimNotice> result;
    for (const ReclaimNotice& notice : this->notices) {
        if (notice.number > number)
            result.push_back(notice);
    }
    return result;
}

std::vector<Host> CloudModel::hosts() const
{
    std::vector<Host> result;
    for (const auto& [id, entry] : this->entries)
        result.push_back(entry.host);
    return result;
}

double CloudModel::spend(Instant now) const
{
    double total = this->finishedSpend;
    for (const auto& [id, entry] : this->entries)
        total += hours(now - entry.since) * entry.pricePerHour;
    return total;
}

const HostPrice* CloudModel::offer(const AvailabilityZone& zone, const HostClass& hostClass) const
{
    for (const HostPrice& price : this->settings.prices) {
        if (price.zone == zone && price.hostClass == hostClass)
            return &price;
    }
    return nullptr;
}

void CloudModel::announce(Entry& entry, Duration notice, Instant now)
{
    const Instant deadline = now + notice;
    // A second notice may bring the end forward but never postpones it.
    if (entry.goneAt && *entry.goneAt <= deadline)
        return;
    entry.goneAt = deadline;
    entry.liveAt.reset();
    entry.host.state = HostState::Departing;
    this->notices.push_back({ ++this->lastNotice, entry.host.id, entry.host.zone, deadline });
    this->changes.push_back({ entry.host.id, entry.host });
}

void CloudModel::add(Entry entry)
{
    this->changes.push_back({ entry.host.id, entry.host });
    const HostId id = entry.host.id;
    this->entries.insert_or_assign(id, std::move(entry));
}

void CloudModel::remove(std::map<HostId, Entry>::iterator position, Instant now)
{
    const Entry& entry = position->second;
    this->finishedSpend += hours(now - entry.since) * entry.pricePerHour;
    this->changes.push_back({ entry.host.id, std::nullopt });
    this->entries.erase(position);
}

} // namespace teaselshore
