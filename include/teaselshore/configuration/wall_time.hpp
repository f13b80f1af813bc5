#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "teaselshore/configuration/configuration.hpp"

namespace teaselshore {

/// @brief Parses ISO 8601 UTC with seconds, "2026-12-04T18:00:00Z", of the years 2000 to 2199; nothing otherwise.
std::optional<WallTime> parseWallTime(std::string_view text);

/// @brief Returns the time in the form that parseWallTime() reads.
std::string formatWallTime(WallTime time);

} // namespace teaselshore
