#pragma once

#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/platform/platform_error.hpp"

namespace teaselshore {

/// @brief Returns the outcome of an object API call, as decision code knows it.
inline ObjectOutcome outcomeOf(PlatformError::Kind kind)
{
    switch (kind) {
    case PlatformError::Kind::Conflict:
        return ObjectOutcome::Conflict;
    case PlatformError::Kind::NotFound:
        return ObjectOutcome::NotFound;
    case PlatformError::Kind::OutcomeUnknown:
        return ObjectOutcome::Unknown;
    default:
        return ObjectOutcome::Unavailable;
    }
}

} // namespace teaselshore
