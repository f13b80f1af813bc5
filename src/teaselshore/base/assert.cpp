#include "teaselshore/base/assert.hpp"

#include <cstdlib>

#include "teaselshore/base/log.hpp"

namespace teaselshore {

void assertionFailed(std::string_view condition, std::string_view message, std::string_view file, int line)
{
    logLine(LogLevel::Error, "invariant violated",
        { { "condition", condition }, { "detail", message }, { "file", file }, { "line", line } });
    std::abort();
}

} // namespace teaselshore
