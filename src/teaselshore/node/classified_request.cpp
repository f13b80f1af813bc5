#include "teaselshore/node/classified_request.hpp"

#include <algorithm>
#include <charconv>

#include "teaselshore/node/prompt.hpp"
#include "teaselshore/reliability/crash_suspects.hpp"

namespace teaselshore {

namespace {

    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr std::size_t maxKeyLength = 256;
    constexpr std::string_view defaultWorkspace = "default";
    constexpr std::string_view respondAsyncPreference = "respond-async";

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::optional<CallerError> applyCallerHeaders(
        const HeaderList& headers, const Configuration& configuration, ClassifiedRequest& classified)
    {
        if (const auto name = findHeader(headers, "x-class")) {
            if (!configuration.findClass(ClassName(*name)))
                return rejectedError(badRequest, "X-Class names no configured class");
            classified.latencyClass = ClassName(*name);
        }
        if (const auto key = findHeader(headers, "idempotency-key")) {
            if (key->empty() || key->size() > maxKeyLength)
                return rejectedError(badRequest, "Idempotency-Key must have 1 to 256 characters");
            classified.key = IdempotencyKey(*key);
        }
        if (const auto last = findHeader(headers, "last-event-id")) {
            const auto number = parseNumber(*last);
            if (!number)
                return rejectedError(badRequest, "Last-Event-ID must be the id of an event of the stream");
            classified.deliveredEvents = *number + 1;
        }
        const auto prefer = findHeader(headers, "prefer");
        classified.respondAsync = prefer && prefer->find(respondAsyncPreference) != std::string::npos;
        classified.workspace
            = WorkspaceName(findHeader(headers, "x-workspace").value_or(std::string(defaultWorkspace)));
        return std::nullopt;
    }

    std::optional<CallerError> applyClass(
        const HeaderList& headers, const Configuration& configuration, ClassifiedRequest& classified)
    {
        const ClassConfiguration* latencyClass = configuration.findClass(classified.latencyClass);
        if (!latencyClass)
            return failedError("the route names a class that is not configured");
        classified.priority = latencyClass->priority;
        classified.timeLimit = latencyClass->deadline;
        const auto deadline = findHeader(headers, "x-deadline-ms");
        if (!deadline)
            return std::nullopt;
        const auto milliseconds = parseNumber(*deadline);
        if (!milliseconds || *milliseconds == 0)
            return rejectedError(badRequest, "X-Deadline-Ms must be a positive whole number");
        const auto asked = std::chrono::milliseconds(
            std::min<std::uint64_t>(*milliseconds, static_cast<std::uint64_t>(latencyClass->deadline.count())));
        classified.timeLimit = std::min<Duration>(classified.timeLimit, asked);
        return std::nullopt;
    }

    std::optional<CallerError> applyPrompt(const RequestArrived& request, const ServiceConfiguration& service,
        std::uint32_t defaultOutputTokens, ClassifiedRequest& classified)
    {
        Prompt prompt;
        PromptError error;
        if (!readPrompt(request.body, prompt, error))
            return rejectedError(badRequest, error.message);
        const std::string& model = prompt.model.empty() ? service.model : prompt.model;
        classified.stream = prompt.stream;
        classified.promptTokens = estimatePromptTokens(prompt.text);
        classified.expectedOutputTokens = prompt.maxTokens > 0 ? prompt.maxTokens : defaultOutputTokens;
        classified.prefixBlocks = promptPrefixBlocks(model, prompt.text);
        return std::nullopt;
    }

} // namespace

std::variant<ClassifiedRequest, CallerError> classifyRequest(
    const RequestArrived& request, const Configuration& configuration, std::uint32_t defaultOutputTokens)
{
    const std::string path = request.path.substr(0, request.path.find('?'));
    const auto match = matchRoute(configuration, request.method, path);
    if (!match)
        return rejectedError(notFound, "no route matches this method and path");

    ClassifiedRequest classified;
    classified.service = match->service->name;
    classified.kind = match->service->kind;
    classified.route = match->route->name;
    classified.latencyClass = match->route->latencyClass;
    classified.idempotent = match->route->idempotent;
    if (const auto error = applyCallerHeaders(request.headers, configuration, classified))
        return *error;
    if (const auto error = applyClass(request.headers, configuration, classified))
        return *error;
    if (classified.kind == ServiceKind::Engine && !request.body.empty()) {
        if (const auto error = applyPrompt(request, *match->service, defaultOutputTokens, classified))
            return *error;
    }
    classified.suspect = suspectFingerprint(classified.workspace, classified.route, request.body);
    return classified;
}

std::optional<std::string> findHeader(const HeaderList& headers, std::string_view name)
{
    for (const auto& [fieldName, value] : headers) {
        if (fieldName == name)
            return value;
    }
    return std::nullopt;
}

} // namespace teaselshore
