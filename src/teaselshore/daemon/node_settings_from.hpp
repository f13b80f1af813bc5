#pragma once

#include "teaselshore/configuration/daemon_settings.hpp"
#include "teaselshore/node/node_settings.hpp"

namespace teaselshore {

/// @brief Returns the id of this process: the node's name and a part that is new for each start.
NodeId makeNodeId(const std::string& nodeName, std::uint64_t start);

/// @brief Returns the settings of the decisions that follow from the daemon's settings file.
NodeSettings nodeSettingsFrom(const DaemonSettings& settings, const NodeId& id, std::uint64_t seed);

/// @brief Sets the calendar time of Instant zero by the system clock; now is the current time of the node's events.
NodeSettings withCalendarTime(NodeSettings settings, Instant now);

} // namespace teaselshore
