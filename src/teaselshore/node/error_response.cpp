#include "teaselshore/node/error_response.hpp"

#include <chrono>

#include <nlohmann/json.hpp>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    constexpr int badGateway = 502;
    constexpr int serviceUnavailable = 503;
    constexpr int gatewayTimeout = 504;

} // namespace

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::NotRun:
        return "not_run";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::Rejected:
        return "rejected";
    case ErrorCode::Failed:
        return "failed";
    }
    return "failed";
}

CallerError notRunError(std::string message, Duration retryAfter)
{
    return { ErrorCode::NotRun, serviceUnavailable, std::move(message), retryAfter };
}

CallerError outcomeUnknownError(std::string message, Duration retryAfter)
{
    return { ErrorCode::OutcomeUnknown, gatewayTimeout, std::move(message), retryAfter };
}

CallerError rejectedError(int status, std::string message)
{
    TEASELSHORE_ASSERT(status >= 400 && status < 500, "rejections have a 4xx status");
    return { ErrorCode::Rejected, status, std::move(message), std::nullopt };
}

CallerError failedError(std::string message)
{
    return { ErrorCode::Failed, badGateway, std::move(message), std::nullopt };
}

std::string errorBody(const RequestId& request, const CallerError& error)
{
    nlohmann::ordered_json content;
    content["code"] = errorCodeName(error.code);
    content["message"] = error.message;
    content["requestId"] = request.value();
    if (error.retryAfter)
        content["retryAfterMs"] = std::chrono::ceil<std::chrono::milliseconds>(*error.retryAfter).count();
    const nlohmann::ordered_json body { { "error", std::move(content) } };
    return toJsonText(body);
}

Respond errorResponse(const RequestId& request, const CallerError& error)
{
    Respond response { request, error.status, { { "content-type", "application/json" } }, errorBody(request, error) };
    if (error.retryAfter) {
        const auto seconds = std::max<std::chrono::seconds::rep>(
            1, std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count());
        response.headers.emplace_back("retry-after", std::to_string(seconds));
    }
    return response;
}

} // namespace teaselshore
