#include "teaselshore/ctl/admin_reply.hpp"

#include <nlohmann/json.hpp>

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    const Json& member(const Json& object, const char* key)
    {
        static const Json absent;
        const auto found = object.is_object() ? object.find(key) : object.end();
        return found == object.end() ? absent : *found;
    }

    std::string text(const Json& object, const char* key)
    {
        const Json& value = member(object, key);
        return value.is_string() ? value.get<std::string>() : std::string();
    }

    std::uint64_t count(const Json& object, const char* key)
    {
        const Json& value = member(object, key);
        return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
    }

    std::int64_t micros(const Json& object, const char* key)
    {
        const Json& value = member(object, key);
        return value.is_number_integer() ? value.get<std::int64_t>() : 0;
    }

    double number(const Json& object, const char* key)
    {
        const Json& value = member(object, key);
        return value.is_number() ? value.get<double>() : 0;
    }

    bool flag(const Json& object, const char* key)
    {
        const Json& value = member(object, key);
        return value.is_boolean() && value.get<bool>();
    }

    const Json& list(const Json& object, const char* key)
    {
        static const Json empty = Json::array();
        const Json& value = member(object, key);
        return value.is_array() ? value : empty;
    }

    std::optional<Json> parseObject(std::string_view text)
    {
        Json value = Json::parse(text, nullptr, false);
        if (!value.is_object())
            return std::nullopt;
        return value;
    }

    ServiceStatus serviceStatus(const Json& service)
    {
        ServiceStatus status;
        status.name = text(service, "name");
        const Json& upstreams = member(service, "upstreams");
        status.upstreams = count(upstreams, "total");
        status.availableUpstreams = count(upstreams, "available");
        const Json& move = member(service, "move");
        if (move.is_object())
            status.move = MoveStatus { text(move, "from"), text(move, "to"), text(move, "state"), text(move, "reason"),
                number(move, "share"), text(move, "moveBy") };
        return status;
    }

    TraceSpan traceSpan(const Json& span, const std::string& node)
    {
        TraceSpan result;
        result.spanId = text(span, "spanId");
        result.parentSpanId = text(span, "parentSpanId");
        result.node = node;
        result.name = text(span, "name");
        result.startMicros = micros(span, "startMicros");
        result.durationMicros = micros(span, "durationMicros");
        const Json& attributes = member(span, "attributes");
        if (!attributes.is_object())
            return result;
        for (const auto& [key, value] : attributes.items())
            result.attributes[key] = value.is_string() ? value.get<std::string>() : toJsonText(value);
        return result;
    }

} // namespace

std::optional<NodeStatus> parseNodeStatus(std::string_view reply)
{
    const std::optional<Json> object = parseObject(reply);
    if (!object)
        return std::nullopt;
    NodeStatus status;
    status.node = text(*object, "node");
    status.zone = text(*object, "zone");
    status.state = text(*object, "state");
    const Json& configuration = member(*object, "configuration");
    status.configurationVersion = count(configuration, "version");
    status.revisionNote = text(configuration, "revisionNote");
    status.configurationAgeMs = count(configuration, "ageMs");
    const Json& rejected = member(configuration, "rejected");
    if (rejected.is_object())
        status.rejected = RejectedConfiguration { count(rejected, "version"), text(rejected, "problem") };
    status.platformReachable = flag(member(*object, "platform"), "reachable");
    const Json& requests = member(*object, "requests");
    status.openRequests = count(requests, "open");
    status.queuedRequests = count(requests, "queued");
    for (const Json& service : list(*object, "services"))
        status.services.push_back(serviceStatus(service));
    return status;
}

std::optional<NodeMembers> parseNodeMembers(std::string_view reply)
{
    const std::optional<Json> object = parseObject(reply);
    if (!object)
        return std::nullopt;
    NodeMembers result;
    result.node = text(*object, "node");
    for (const Json& item : list(*object, "members"))
        result.members.push_back({ text(item, "node"), text(item, "zone"), text(item, "state"),
            text(item, "adminAddress"), count(item, "configurationVersion") });
    return result;
}

std::optional<NodeTrace> parseNodeTrace(std::string_view reply)
{
    const std::optional<Json> object = parseObject(reply);
    if (!object)
        return std::nullopt;
    NodeTrace result;
    result.traceId = text(*object, "traceId");
    for (const Json& span : list(*object, "spans"))
        result.spans.push_back(traceSpan(span, text(*object, "node")));
    return result;
}

std::optional<NodeExplanation> parseNodeExplanation(std::string_view reply)
{
    const std::optional<Json> object = parseObject(reply);
    if (!object)
        return std::nullopt;
    NodeExplanation result { text(*object, "node"), text(*object, "traceId"), text(*object, "workspace"),
        text(*object, "service"), text(*object, "route"), text(*object, "class"), text(*object, "state"), {} };
    for (const Json& step : list(*object, "steps"))
        result.steps.push_back({ micros(step, "timeMicros"), result.node, text(step, "kind"), text(step, "text") });
    return result;
}

std::optional<NodeForecast> parseNodeForecast(std::string_view reply)
{
    const std::optional<Json> object = parseObject(reply);
    if (!object || text(*object, "outcome").empty())
        return std::nullopt;
    const auto optionalNumber = [&](const char* key) {
        return member(*object, key).is_number() ? std::optional(number(*object, key)) : std::nullopt;
    };
    NodeForecast result { text(*object, "node"), text(*object, "outcome"), text(*object, "reason"),
        count(*object, "status"), optionalNumber("retryAfterMs"), optionalNumber("longestWaitMs"),
        text(*object, "route"), text(*object, "workspace"), text(*object, "service"), text(*object, "zone"),
        text(*object, "version"), {} };
    for (const Json& entry : list(*object, "candidates")) {
        ForecastCandidate candidate { text(entry, "upstream"), number(entry, "score"),
            number(entry, "predictedFirstEventMs"), count(entry, "cachedTokens"), {} };
        for (const auto& [name, value] : member(entry, "terms").items()) {
            if (value.is_number())
                candidate.terms.emplace_back(name, value.get<double>());
        }
        result.candidates.push_back(std::move(candidate));
    }
    return result;
}

std::optional<DrainReply> parseDrainReply(std::string_view reply)
{
    const std::optional<Json> object = parseObject(reply);
    if (!object)
        return std::nullopt;
    return DrainReply { text(*object, "node"), text(*object, "state"), count(*object, "openRequests") };
}

} // namespace teaselshore
