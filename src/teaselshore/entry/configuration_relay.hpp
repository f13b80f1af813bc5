#pragma once

#include <cstdint>
#include <string>

#include "entry_state.hpp"

namespace teaselshore {

/// @brief Lets nodes that the platform turns away learn newer configurations from their peers.
///
/// The platform may reject single nodes for a long time while it serves the operator and the other nodes. Such a node
/// still gets callers' requests, so it must not go on with an old configuration. Only nodes without an answer from the
/// platform ask, so the relay costs nothing at other times. Not thread-safe.
class ConfigurationRelay {
public:
    explicit ConfigurationRelay(EntryState& state);

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
};

} // namespace teaselshore
