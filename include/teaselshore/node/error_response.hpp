#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/node/request_command.hpp"

namespace teaselshore {

/// @brief Stable error codes of the caller interface.
enum class ErrorCode {
    /// The request did not run; it may be sent again.
    NotRun,
    /// The request may have run; it may be sent again only with the same idempotency key.
    OutcomeUnknown,
    /// The request will never be run.
    Rejected,
    /// The request ran, or could be run, and gave no usable response.
    Failed,
};

/// @brief Returns "not_run", "outcome_unknown", "rejected" or "failed".
std::string_view errorCodeName(ErrorCode code);

/// @brief Error to be reported to a caller.
struct CallerError {
    ErrorCode code = ErrorCode::Failed;
    /// HTTP status; see docs/callers-reference.md for the pairs of code and status.
    int status = 502;
    std::string message;
    std::optional<Duration> retryAfter;

    auto operator<=>(const CallerError&) const = default;
};

CallerError notRunError(std::string message, Duration retryAfter);
CallerError outcomeUnknownError(std::string message, Duration retryAfter);
CallerError rejectedError(int status, std::string message);
CallerError failedError(std::string message);

/// @brief Returns the JSON body of an error.
std::string errorBody(const RequestId& request, const CallerError& error);

/// @brief Returns the complete response for an error, with Retry-After (rounded up to whole seconds) where it is set.
Respond errorResponse(const RequestId& request, const CallerError& error);

} // namespace teaselshore
