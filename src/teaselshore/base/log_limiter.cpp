#include "teaselshore/base/log_limiter.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

LogLimiter::LogLimiter(double perSecond, double burst)
    : perSecond(perSecond)
    , burst(burst)
    , tokens(burst)
{
}

bool LogLimiter::admit(Instant now)
{
    this->tokens = std::min(this->burst, this->tokens + toSeconds(now - this->updated) * this->perSecond);
    this->updated = now;
    if (this->tokens < 1) {
        ++this->leftOut;
        return false;
    }
    this->tokens -= 1;
    return true;
}

std::uint64_t LogLimiter::takeLeftOut() { return std::exchange(this->leftOut, 0); }

} // namespace teaselshore
