#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace teaselshore {

/// @brief Reads a file of at most maxBytes; returns nothing and sets error to one line if that is not possible.
std::optional<std::string> readTextFile(const std::string& path, std::size_t maxBytes, std::string& error);

} // namespace teaselshore
