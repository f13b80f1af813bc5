#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/membership/configuration_distributor.hpp"

namespace teaselshore {

/// @brief Splits a text into chunks of a few lines. An inserted or changed line changes only the chunks around it.
std::vector<std::string_view> splitChunks(std::string_view text);

/// @brief Returns the digests of the chunks, in order.
std::vector<Fingerprint> chunkDigests(std::string_view text);

/// @brief Returns pieces from which assembleText() makes the text, given the chunk digests of another text.
std::vector<ConfigurationPiece> differenceFrom(const std::vector<Fingerprint>& base, std::string_view text);

/// @brief Makes a text from pieces; nothing if a piece refers to chunks that the base does not have.
std::optional<std::string> assembleText(std::string_view base, const std::vector<ConfigurationPiece>& pieces);

} // namespace teaselshore
