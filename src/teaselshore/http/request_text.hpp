#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Returns the head of an HTTP/1.1 request, up to and including the empty line.
///
/// Fields that concern one connection only, and those that the client sets itself, are left out. Returns nothing if
/// the method, the path or a field contains bytes that would change the framing.
std::optional<std::string> requestHead(const HttpRequest& request, const std::string& authority);

/// @brief Returns whether a field can be written without changing the framing.
bool isValidField(std::string_view name, std::string_view value);

} // namespace teaselshore
