#include "engine_json.hpp"

#include <cstdlib>
#include <map>
#include <string_view>

#include <fmt/format.h>

#include "teaselshore/emulators/json_reply.hpp"

namespace teaselshore {

using nlohmann::json;

namespace {

    std::string hex(Fingerprint value) { return fmt::format("{:016x}", value); }

    std::optional<Fingerprint> parseHex(const std::string& text)
    {
        char* end = nullptr;
        const Fingerprint value = std::strtoull(text.c_str(), &end, 16);
        if (text.empty() || *end != '\0')
            return std::nullopt;
        return value;
    }

    std::string_view actionName(ControlAction action)
    {
        switch (action) {
        case ControlAction::LoadModel:
            return "load-model";
        case ControlAction::LoadAdapter:
            return "load-adapter";
        case ControlAction::LoadVersion:
            return "load-version";
        case ControlAction::SetRole:
            break;
        }
        return "set-role";
    }

    std::string_view roleName(EngineRole role) { return role == EngineRole::Serving ? "serving" : "draining"; }

} // namespace

HttpReply refusalReply(EngineRefusal refusal, const RequestId& id)
{
    switch (refusal) {
    case EngineRefusal::QueueFull:
        return errorReply(503, "queue_full", "the queue of the engine is full", id);
    case EngineRefusal::Draining:
        return errorReply(503, "draining", "the engine takes no new requests", id);
    case EngineRefusal::ModelNotLoaded:
        return errorReply(404, "model_not_loaded", "the engine has not loaded this model", id);
    case EngineRefusal::VersionFault:
        break;
    }
    return errorReply(500, "version_fault", "this version of the engine fails the request", id);
}

std::optional<ControlAction> parseAction(const std::string& text)
{
    static const std::map<std::string, ControlAction> actions { { "load-model", ControlAction::LoadModel },
        { "load-adapter", ControlAction::LoadAdapter }, { "load-version", ControlAction::LoadVersion },
        { "set-role", ControlAction::SetRole } };
    const auto found = actions.find(text);
    return found == actions.end() ? std::nullopt : std::optional(found->second);
}

std::optional<KvState> parseKvState(const json& document)
{
    const RequestId id(memberText(document, "requestId"));
    const auto key = parseHex(memberText(document, "key"));
    const json tokens = document.value("tokens", json());
    if (id.empty() || !key || !tokens.is_number_unsigned())
        return std::nullopt;
    return KvState { id, *key, tokens.get<std::uint64_t>() };
}

json kvStateJson(const KvState& state)
{
    return { { "requestId", state.id.value() }, { "key", hex(state.key) }, { "tokens", state.tokens } };
}

json loadJson(const EngineLoadReport& report, const EngineModel& model)
{
    const EngineControl& control = model.control();
    return { { "queued", report.load.queued }, { "running", report.load.running },
        { "capacity", model.engineSettings().maxRunning }, { "cachedBlocks", report.load.cachedBlocks },
        { "generatedTokens", report.load.generatedTokens }, { "ageMs", toMilliseconds(report.age) },
        { "model", control.model() }, { "version", control.version().value() }, { "role", roleName(control.role()) } };
}

json cacheEventsJson(const std::vector<CacheEvent>& events, std::uint64_t after)
{
    json list = json::array();
    std::uint64_t last = after;
    for (const CacheEvent& event : events) {
        json blocks = json::array();
        for (const Fingerprint block : event.blocks)
            blocks.push_back(hex(block));
        const bool isStored = event.kind == CacheEvent::Kind::Stored;
        list.push_back(
            { { "number", event.number }, { "kind", isStored ? "stored" : "evicted" }, { "blocks", blocks } });
        last = event.number;
    }
    return { { "events", list }, { "last", last } };
}

json controlJson(const EngineControl& control)
{
    json applied = json::array();
    for (const AppliedCommand& entry : control.applied()) {
        applied.push_back(
            { { "fencingToken", entry.command.fencingToken }, { "action", actionName(entry.command.action) },
                { "value", entry.command.value }, { "wasOld", entry.wasOld } });
    }
    return { { "model", control.model() }, { "version", control.version().value() }, { "adapters", control.adapters() },
        { "role", roleName(control.role()) }, { "loading", control.loading() },
        { "fencingToken", control.highestToken() }, { "applied", applied } };
}

json engineStatisticsJson(const EngineStatistics& counters)
{
    return { { "requests", counters.requests }, { "refused", counters.refused },
        { "versionFaults", counters.versionFaults }, { "finished", counters.finished },
        { "cancelled", counters.cancelled }, { "preempted", counters.preempted }, { "resumed", counters.resumed },
        { "kvImported", counters.kvImported }, { "generatedTokens", counters.generatedTokens },
        { "promptTokens", counters.promptTokens }, { "cachedPromptTokens", counters.cachedPromptTokens },
        { "recomputedTokens", counters.recomputedTokens } };
}

} // namespace teaselshore
