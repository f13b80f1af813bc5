#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "call_runner.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/http/message.hpp"
#include "teaselshore/platform/platform_client.hpp"

namespace teaselshore {

/// @brief Returns whether a call of this kind changes state at the platform.
bool isPlatformWrite(PlatformCallKind kind);

/// @brief Returns whether a call of this kind waits at the platform for news.
bool isPlatformWatch(PlatformCallKind kind);

/// @brief Returns whether the platform answered a call, be it with a refusal of what was asked; nothing if the outcome
/// does not tell, as for a call that was not sent, or a write beyond the rate that the platform grants.
std::optional<bool> isAnswered(PlatformCallKind kind, const CallOutcome& outcome);

/// @brief Converts an error of the HTTP layer: a write whose request may have been sent has an unknown outcome.
PlatformError convertPlatformError(PlatformCallKind kind, const HttpError& error);

/// @brief Converts a reply that does not mean success; nothing for one that does.
std::optional<PlatformError> replyError(const ObjectApi& objects, PlatformCallKind kind, const HttpReply& reply);

/// @brief Error for a successful reply that cannot be understood.
PlatformError malformedReply(PlatformCallKind kind, std::string detail);

/// @name Parsers of successful replies; nothing if the reply is malformed.
/// @{
std::optional<std::vector<CloudPrice>> parseCloudPrices(const std::string& body);
std::optional<std::vector<CloudNotice>> parseCloudNotices(const std::string& body);
std::optional<std::vector<CloudHost>> parseCloudHosts(const std::string& body);
std::optional<CloudHost> parseCloudHost(const std::string& body);
/// @}

/// @brief Body of a host start.
std::string hostRequestBody(const CloudHostRequest& request);

} // namespace teaselshore
