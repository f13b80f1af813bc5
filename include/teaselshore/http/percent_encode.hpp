#pragma once

#include <string>
#include <string_view>

namespace teaselshore {

/// @brief Escapes all but unreserved characters; keepsSlashes for paths. Thread-safe.
std::string percentEncode(std::string_view text, bool keepsSlashes);

} // namespace teaselshore
