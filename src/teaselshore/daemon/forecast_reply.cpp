#include "forecast_reply.hpp"

#include <limits>
#include <optional>

#include <nlohmann/json.hpp>

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    /// Longer prompts than any engine takes; bounds the blocks that are computed for one question.
    constexpr std::uint64_t maxPromptTokens = 1'000'000;
    constexpr std::size_t maxParts = 1000;

    std::optional<std::string> readText(const Json& object, const char* key)
    {
        const auto found = object.find(key);
        if (found == object.end() || !found->is_string() || found->get_ref<const std::string&>().empty())
            return std::nullopt;
        return found->get<std::string>();
    }

    std::optional<std::uint64_t> readCount(const Json& object, const char* key, std::uint64_t limit)
    {
        const auto found = object.find(key);
        if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > limit)
            return std::nullopt;
        return found->get<std::uint64_t>();
    }

    bool readParts(const Json& list, CallerRequest& request)
    {
        if (!list.is_array() || list.size() > maxParts)
            return false;
        std::uint64_t sum = 0;
        for (const Json& part : list) {
            if (!part.is_object())
                return false;
            const auto id = readCount(part, "id", std::numeric_limits<std::uint64_t>::max());
            const auto tokens = readCount(part, "tokens", maxPromptTokens);
            if (!id || !tokens)
                return false;
            sum += *tokens;
            request.parts.push_back({ *id, static_cast<std::uint32_t>(*tokens) });
        }
        return sum <= maxPromptTokens;
    }

    std::optional<CallerRequest> readRequest(std::string_view body, std::string& problem)
    {
        const Json object = Json::parse(body, nullptr, false);
        CallerRequest request;
        if (!object.is_object()) {
            problem = "the body is not a JSON object";
            return std::nullopt;
        }
        const auto path = readText(object, "path");
        const auto host = readText(object, "host");
        if (!path || !host) {
            problem = "host and path are needed";
            return std::nullopt;
        }
        request.path = *path;
        request.host = *host;
        request.method = readText(object, "method").value_or("POST");
        request.key = readText(object, "key");
        if (object.contains("promptTokens")) {
            const auto prompt = readCount(object, "promptTokens", maxPromptTokens);
            const auto output = readCount(object, "outputTokens", maxPromptTokens);
            if (!prompt || (object.contains("outputTokens") && !output)) {
                problem = "promptTokens and outputTokens must be whole numbers up to 1000000";
                return std::nullopt;
            }
            request.size
                = PromptSize { static_cast<std::uint32_t>(*prompt), static_cast<std::uint32_t>(output.value_or(0)) };
        }
        if (object.contains("parts") && !readParts(object["parts"], request)) {
            problem = "parts must be a list of objects with id and tokens, 1000000 tokens in all";
            return std::nullopt;
        }
        return request;
    }

    Json candidateJson(const ScoredUpstream& scored)
    {
        const ScoreTerms& terms = scored.terms;
        return { { "upstream", scored.upstream.value() }, { "score", terms.sum() },
            { "predictedFirstEventMs", toMilliseconds(scored.predictedFirstToken) },
            { "cachedTokens", scored.cachedTokens },
            { "terms",
                { { "firstToken", terms.firstToken }, { "overTarget", terms.overTarget },
                    { "linkDelay", terms.linkDelay }, { "linkCost", terms.linkCost }, { "price", terms.price },
                    { "reclaimRisk", terms.reclaimRisk }, { "interference", terms.interference },
                    { "blocking", terms.blocking }, { "refusal", terms.refusal }, { "affinity", terms.affinity } } } };
    }

    Json millisecondsOrNull(const std::optional<Duration>& duration)
    {
        return duration ? Json(toMilliseconds(*duration)) : Json();
    }

} // namespace

HttpReply forecastReply(EntryNode& node, const std::string& nodeName, std::string_view body, Instant now)
{
    const HttpHeaders headers { { "content-type", "application/json" } };
    std::string problem;
    const std::optional<CallerRequest> request = readRequest(body, problem);
    if (!request)
        return { statusBadRequest, headers, toJsonText(Json { { "problem", problem } }) };

    const RequestForecast forecast = node.forecast(*request, now);
    Json reply { { "node", nodeName }, { "outcome", outcomeName(forecast.outcome) }, { "reason", forecast.reason },
        { "status", forecast.status }, { "retryAfterMs", millisecondsOrNull(forecast.retryAfter) },
        { "longestWaitMs", millisecondsOrNull(forecast.longestWait) }, { "route", forecast.route },
        { "workspace", forecast.workspace }, { "service", forecast.service }, { "priority", forecast.priority },
        { "address", "" }, { "zone", "" }, { "version", "" }, { "candidates", Json::array() } };
    if (forecast.decision) {
        reply["address"] = forecast.decision->address;
        reply["zone"] = forecast.decision->zone.value();
        reply["version"] = forecast.decision->version.value();
        reply["candidates"].push_back(candidateJson(forecast.decision->chosen));
        for (const ScoredUpstream& runnerUp : forecast.decision->runnersUp)
            reply["candidates"].push_back(candidateJson(runnerUp));
    }
    return { statusOk, headers, toJsonText(reply) };
}

} // namespace teaselshore
