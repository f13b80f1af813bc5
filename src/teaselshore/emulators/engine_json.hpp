#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "teaselshore/emulators/engine_model.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Returns the reply to a refused request.
HttpReply refusalReply(EngineRefusal refusal, const RequestId& id);

/// @brief Parses "load-model", "load-adapter", "load-version" or "set-role".
std::optional<ControlAction> parseAction(const std::string& text);

/// @brief Reads an exported KV cache from JSON; nothing if a member is missing or malformed.
std::optional<KvState> parseKvState(const nlohmann::json& document);

nlohmann::json kvStateJson(const KvState& state);
nlohmann::json loadJson(const EngineLoadReport& report, const EngineModel& model);
nlohmann::json controlJson(const EngineControl& control);
nlohmann::json engineStatisticsJson(const EngineStatistics& counters);

/// @brief Returns the events and the number after which to ask next.
nlohmann::json cacheEventsJson(const std::vector<CacheEvent>& events, std::uint64_t after);

} // namespace teaselshore
