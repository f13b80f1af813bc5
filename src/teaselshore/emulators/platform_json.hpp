#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "teaselshore/emulators/cloud_model.hpp"
#include "teaselshore/emulators/object_store.hpp"
#include "teaselshore/emulators/target.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Faults of all platform APIs.
struct PlatformFaults {
    ObjectFaults objects;
    CloudFaults cloud;
    std::optional<Duration> hostListLag;
};

/// @brief Returns the call of the object API that a request stands for; nothing if it is malformed.
std::optional<ObjectCall> objectCall(const HttpRequest& request, const RequestTarget& target);

/// @brief Returns the reply for an answer of the object API.
HttpReply objectReply(const ObjectAnswer& answer);

/// @brief Changes the faults that the document names; a document with "reset": true first clears all.
///
/// Returns false and sets problem if a member is unknown or has the wrong type.
bool applyFaults(const nlohmann::json& document, Instant now, PlatformFaults& faults, std::string* problem);

/// @brief Reads a host from a JSON object; nothing if zone or class is missing or the kind is unknown.
std::optional<Host> parseHost(const nlohmann::json& document);

nlohmann::json hostJson(const Host& host);
nlohmann::json hostsJson(const std::vector<Host>& hosts);
nlohmann::json pricesJson(const std::vector<HostPrice>& prices);
nlohmann::json noticesJson(const std::vector<ReclaimNotice>& notices, Instant now);
nlohmann::json objectStatisticsJson(const ObjectStoreStatistics& statistics);

/// @brief Returns a non-negative integer member.
std::optional<std::uint32_t> memberNumber(const nlohmann::json& document, const char* name);

} // namespace teaselshore
