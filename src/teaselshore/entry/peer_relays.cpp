#include "teaselshore/entry/peer_relays.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Time for which a peer that failed is the last choice. It may be in the part of the network that is cut off, too.
    constexpr Duration avoidTime = std::chrono::seconds(1);

} // namespace

std::optional<std::string> PeerRelays::choose(const std::vector<std::string>& tried, Instant now)
{
    std::erase_if(this->failedAt, [now](const auto& entry) { return now - entry.second >= avoidTime; });
    std::vector<std::string> sound;
    std::vector<std::string> others;
    for (const std::string& peer : this->peers) {
        if (std::find(tried.begin(), tried.end(), peer) != tried.end())
            continue;
        (this->failedAt.contains(peer) ? others : sound).push_back(peer);
    }
    const std::vector<std::string>& choices = sound.empty() ? others : sound;
    if (choices.empty())
        return std::nullopt;
    return choices[this->random.below(choices.size())];
}

bool PeerRelays::hasOther(const std::vector<std::string>& tried) const
{
    return std::any_of(this->peers.begin(), this->peers.end(),
        [&tried](const std::string& peer) { return std::find(tried.begin(), tried.end(), peer) == tried.end(); });
}

void PeerRelays::onFailed(const std::string& address, Instant now) { this->failedAt.insert_or_assign(address, now); }

} // namespace teaselshore
