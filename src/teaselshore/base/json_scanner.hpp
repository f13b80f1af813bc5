#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace teaselshore {

/// @brief Returns the position of the first byte that is not white space, or the size of the text.
std::size_t skipJsonSpace(std::string_view text, std::size_t position);

/// @brief Returns the position after the string literal that begins at the position, or the size of the text if it does
/// not end.
std::size_t jsonStringEnd(std::string_view text, std::size_t position);

/// @brief Returns the position after the value that begins at the position; nothing if it has no end, or has more than
/// 64 levels.
///
/// Words, numbers and the contents of strings need not be valid, but each token must stand where JSON allows one of its
/// kind: so a quote or a bracket without its partner shows where it stands or soon after.
std::optional<std::size_t> jsonValueEnd(std::string_view text, std::size_t position);

} // namespace teaselshore
