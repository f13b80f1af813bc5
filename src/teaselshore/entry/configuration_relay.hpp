#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "entry_state.hpp"

namespace teaselshore {

/// @brief Lets nodes that the platform turns away learn newer configurations from their peers.
///
/// The platform may reject single nodes for a long time while it serves the operator and the other nodes. Such a node
/// still gets callers' requests, so it must not go on with an old configuration. And a platform that was restored from
/// an older copy shows an older configuration until the operator has written the newest again, which a node that has
/// just started would take. Nodes ask while the platform does not answer them, and for some seconds after a start or a
/// restore, so the relay costs nothing at other times. Not thread-safe.
class ConfigurationRelay {
public:
    explicit ConfigurationRelay(EntryState& state);

    void onPlatformRestored(Instant now);
    void onWatchChanged(const ConfigurationWatchChanged& event, Instant now);
    /// @brief Keeps the text of the configuration in effect.
    void onConfiguration(std::string text) { this->text = std::move(text); }
    void onRequest(const std::string& senderAddress, const NewerConfigurationRequest& request);
    void onCopy(const std::string& senderAddress, const ConfigurationCopy& copy);
    void onTick(Instant now);

private:
    std::uint64_t currentVersion() const;

    EntryState& state;
    std::string text;
    bool isAnswered = true;
    Instant nextRequest {};
    /// End of the time for which peers are asked although the platform answers; set at the first tick.
    std::optional<Instant> askUntil;
};

} // namespace teaselshore
