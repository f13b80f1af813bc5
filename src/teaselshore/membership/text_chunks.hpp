#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/membership/configuration_distributor.hpp"

namespace teaselshore {

/// @brief Splits a text into chunks of a few lines at content-defined boundaries.
///
/// An inserted or changed line affects only the chunks around it.
std::vector<std::string_view> splitChunks(std::string_view text);

/// @brief Returns the digests of the chunks of a text, in order.
std::vector<Fingerprint> chunkDigests(std::string_view text);

/// @brief Returns the pieces from which assembleText() rebuilds a text, given the chunk digests of the base text.
std::vector<ConfigurationPiece> differenceFrom(const std::vector<Fingerprint>& base, std::string_view text);

/// @brief Rebuilds a text from pieces. Returns nullopt if a piece refers to chunks that the base does not have.
std::optional<std::string> assembleText(std::string_view base, const std::vector<ConfigurationPiece>& pieces);

} // namespace teaselshore
