#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "teaselshore/base/name.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Returns a reply with a JSON body.
HttpReply jsonReply(int status, const nlohmann::json& body);

/// @brief Returns a reply {"error":{"code","message","requestId"}}.
HttpReply errorReply(int status, std::string_view code, std::string_view message, const RequestId& id = {});

/// @brief Parses a JSON object; nothing if the text is anything else.
std::optional<nlohmann::json> parseObject(std::string_view text);

/// @brief Returns a string member, or an empty text if it is missing or no string.
std::string memberText(const nlohmann::json& document, const char* name);

} // namespace teaselshore
