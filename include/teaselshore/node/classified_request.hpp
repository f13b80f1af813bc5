#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/node/error_response.hpp"
#include "teaselshore/node/request_event.hpp"

namespace teaselshore {

/// @brief What the node has to know about a request before it decides anything.
struct ClassifiedRequest {
    ServiceName service;
    ServiceKind kind = ServiceKind::Plain;
    RouteName route;
    ClassName latencyClass;
    std::uint32_t priority = 0;
    WorkspaceName workspace;
    /// Set if the caller gave a key.
    std::optional<IdempotencyKey> key;
    bool idempotent = false;
    /// True if the caller accepts 202 and reads the response later.
    bool respondAsync = false;
    /// True if the caller asked for an event stream.
    bool stream = false;
    /// Events that the caller already has, from Last-Event-ID.
    std::uint64_t deliveredEvents = 0;
    Duration timeLimit {};
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
    std::vector<Fingerprint> prefixBlocks;
    /// Identifies the request among crash suspects.
    Fingerprint suspect = 0;

    /// @brief True if the request must be journalled before it runs.
    bool durable() const { return !this->idempotent || this->respondAsync; }
};

/// @brief Returns the classification, or the error to answer with.
///
/// Uses the route table and, for engines, the JSON body (prompt, max_tokens, stream).
std::variant<ClassifiedRequest, CallerError> classifyRequest(
    const RequestArrived& request, const Configuration& configuration, std::uint32_t defaultOutputTokens);

/// @brief Returns the value of a header; names are lower case.
std::optional<std::string> findHeader(const HeaderList& headers, std::string_view name);

} // namespace teaselshore
