#include "teaselshore/base/random.hpp"

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    TEASELSHORE_ASSERT(bound > 0, "below() needs a positive bound");
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(this->engine);
}

double RandomSource::uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine); }

double RandomSource::exponential(double mean)
{
    return std::exponential_distribution<double>(1.0 / mean)(this->engine);
}

std::string RandomSource::hex(std::size_t digits)
{
    static constexpr char alphabet[] = "0123456789abcdef";
    std::string text;
    text.reserve(digits);
    while (text.size() < digits)
        text.push_back(alphabet[this->below(16)]);
    return text;
}

} // namespace teaselshore
