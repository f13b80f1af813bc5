#pragma once

#include <string_view>

namespace teaselshore {

/// @brief Logs the failed invariant and aborts the process.
[[noreturn]] void assertionFailed(
    std::string_view condition, std::string_view message, std::string_view file, int line);

} // namespace teaselshore

/// Checks an invariant in every build type. A process that broke an invariant must not go on to answer callers.
#define TEASELSHORE_ASSERT(condition, message)                                                                         \
    ((condition) ? static_cast<void>(0) : ::teaselshore::assertionFailed(#condition, message, __FILE__, __LINE__))
