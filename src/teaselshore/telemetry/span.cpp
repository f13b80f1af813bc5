#include "teaselshore/telemetry/span.hpp"

#include <nlohmann/json.hpp>

namespace teaselshore {

nlohmann::ordered_json toJson(const Span& span)
{
    nlohmann::ordered_json json;
    json["traceId"] = span.traceId.value();
    json["spanId"] = span.spanId.value();
    if (!span.parentId.empty())
        json["parentId"] = span.parentId.value();
    json["name"] = span.name;
    json["node"] = span.node.value();
    json["startMicros"] = span.start.time_since_epoch().count();
    json["durationMicros"] = span.duration.count();
    nlohmann::ordered_json attributes = nlohmann::ordered_json::object();
    for (const SpanAttribute& attribute : span.attributes)
        std::visit([&](const auto& value) { attributes[attribute.name] = value; }, attribute.value);
    json["attributes"] = std::move(attributes);
    return json;
}

} // namespace teaselshore
