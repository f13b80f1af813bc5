#include "teaselshore/reliability/crash_history.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace teaselshore {

CrashHistory::CrashHistory(CrashHistorySettings settings)
    : settings(settings)
{
}

bool CrashHistory::add(const RequestCrash& crash, Duration wallClock)
{
    if (this->isExpired(crash, wallClock))
        return false;
    if (!this->crashesByKey.contains(crash.key) && this->crashesByKey.size() >= this->settings.maximumKeys)
        this->evict();
    Crashes& crashes = this->crashesByKey[crash.key];
    const auto known = std::find_if(crashes.begin(), crashes.end(),
        [&crash](const RequestCrash& other) { return other.upstream == crash.upstream; });
    const RequestCrash before = known == crashes.end() ? RequestCrash {} : *known;
    if (known == crashes.end()) {
        crashes.push_back(crash);
    } else {
        // Several nodes sent the request to the same process.
        known->startedAt = std::min(known->startedAt, crash.startedAt);
        known->endedAt = std::max(known->endedAt, crash.endedAt);
        known->isVoid = known->isVoid || crash.isVoid;
        if (*known == before)
            return false;
    }
    std::sort(crashes.begin(), crashes.end(), [](const RequestCrash& first, const RequestCrash& second) {
        return std::pair(first.endedAt, first.upstream) < std::pair(second.endedAt, second.upstream);
    });
    return true;
}

std::vector<RequestCrash> CrashHistory::clear(Fingerprint key)
{
    std::vector<RequestCrash> voided;
    const auto found = this->crashesByKey.find(key);
    if (found == this->crashesByKey.end())
        return voided;
    for (RequestCrash& crash : found->second) {
        if (!std::exchange(crash.isVoid, true))
            voided.push_back(crash);
    }
    return voided;
}

std::size_t CrashHistory::countConsecutive(const Crashes& crashes) const
{
    std::size_t count = 0;
    Duration lastEnd = Duration::min();
    for (const RequestCrash& crash : crashes) {
        if (crash.isVoid || crash.startedAt < lastEnd)
            continue;
        ++count;
        lastEnd = crash.endedAt;
    }
    return count;
}

std::size_t CrashHistory::count(Fingerprint key) const
{
    const auto found = this->crashesByKey.find(key);
    return found == this->crashesByKey.end() ? 0 : this->countConsecutive(found->second);
}

CrashVerdict CrashHistory::verdictAfter(std::size_t crashes) const
{
    if (crashes >= this->settings.rejectAfter)
        return CrashVerdict::Rejected;
    return crashes >= this->settings.suspectAfter ? CrashVerdict::Suspect : CrashVerdict::Clear;
}

CrashVerdict CrashHistory::verdict(Fingerprint key) const { return this->verdictAfter(this->count(key)); }

CrashVerdict CrashHistory::verdict(const std::vector<Fingerprint>& keys) const
{
    CrashVerdict worst = CrashVerdict::Clear;
    for (const Fingerprint key : keys) {
        const auto found = this->crashesByKey.find(key);
        if (found == this->crashesByKey.end())
            continue;
        const CrashVerdict verdict = this->verdictAfter(this->countConsecutive(found->second));
        if (verdict > worst && this->areOnlySharedKeys(keys, found->second))
            worst = verdict;
    }
    return worst;
}

bool CrashHistory::areOnlySharedKeys(const std::vector<Fingerprint>& keys, const Crashes& crashes) const
{
    const auto contains = [](const Crashes& others, const UpstreamId& upstream) {
        return std::any_of(others.begin(), others.end(),
            [&upstream](const RequestCrash& other) { return !other.isVoid && other.upstream == upstream; });
    };
    for (const auto& entry : this->crashesByKey) {
        if (std::find(keys.begin(), keys.end(), entry.first) != keys.end())
            continue;
        const bool isShared = std::all_of(crashes.begin(), crashes.end(),
            [&](const RequestCrash& crash) { return crash.isVoid || contains(entry.second, crash.upstream); });
        if (isShared)
            return false;
    }
    return true;
}

Duration CrashHistory::remaining(const std::vector<Fingerprint>& keys, Duration wallClock) const
{
    Duration lastEnd = Duration::min();
    for (const Fingerprint key : keys) {
        if (this->verdict(key) != CrashVerdict::Rejected)
            continue;
        for (const RequestCrash& crash : this->crashesByKey.at(key))
            lastEnd = crash.isVoid ? lastEnd : std::max(lastEnd, crash.endedAt);
    }
    if (lastEnd == Duration::min())
        return Duration(0);
    return std::clamp(lastEnd + this->settings.expiry - wallClock, Duration(0), this->settings.expiry);
}

std::vector<RequestCrash> CrashHistory::suspects(std::size_t maxKeys) const
{
    // Most crashes first, then most recent.
    std::vector<std::tuple<std::size_t, Duration, Fingerprint>> ranked;
    for (const auto& [key, crashes] : this->crashesByKey) {
        const std::size_t count = this->countConsecutive(crashes);
        if (count >= this->settings.suspectAfter)
            ranked.emplace_back(count, crashes.back().endedAt, key);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), maxKeys));
    std::vector<RequestCrash> result;
    for (const auto& [count, endedAt, key] : ranked) {
        for (const RequestCrash& crash : this->crashesByKey.at(key)) {
            if (!crash.isVoid)
                result.push_back(crash);
        }
    }
    return result;
}

bool CrashHistory::isExpired(const RequestCrash& crash, Duration wallClock) const
{
    // A time far in the future comes from a host with a wrong clock and is rejected as well.
    return crash.endedAt < wallClock - this->settings.expiry || crash.endedAt > wallClock + this->settings.expiry;
}

void CrashHistory::expire(Duration wallClock)
{
    for (auto entry = this->crashesByKey.begin(); entry != this->crashesByKey.end();) {
        std::erase_if(entry->second, [&](const RequestCrash& crash) { return this->isExpired(crash, wallClock); });
        entry = entry->second.empty() ? this->crashesByKey.erase(entry) : std::next(entry);
    }
}

void CrashHistory::evict()
{
    const auto rank = [this](const auto& entry) {
        return std::pair(this->countConsecutive(entry.second), entry.second.back().endedAt);
    };
    this->crashesByKey.erase(std::min_element(this->crashesByKey.begin(), this->crashesByKey.end(),
        [&rank](const auto& first, const auto& second) { return rank(first) < rank(second); }));
}

} // namespace teaselshore
