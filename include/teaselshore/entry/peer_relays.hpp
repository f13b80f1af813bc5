#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Chooses the peers that get the requests which this node cannot send to upstreams. Not thread-safe.
class PeerRelays {
public:
    explicit PeerRelays(std::uint64_t seed)
        : random(seed)
    {
    }

    /// @brief Sets the addresses at which the other live nodes take requests.
    void setPeers(std::vector<std::string> addresses) { this->peers = std::move(addresses); }
    /// @brief Returns a random peer out of those that were not tried, preferably one that has not failed lately;
    /// nothing if all were tried.
    std::optional<std::string> choose(const std::vector<std::string>& tried, Instant now);
    /// @brief Returns whether there is a peer that was not tried.
    bool hasOther(const std::vector<std::string>& tried) const;
    /// @brief Records that a peer could not be reached or did not take a request.
    void onFailed(const std::string& address, Instant now);

private:
    RandomSource random;
    std::vector<std::string> peers;
    /// When each peer failed last.
    std::map<std::string, Instant> failedAt;
};

} // namespace teaselshore
