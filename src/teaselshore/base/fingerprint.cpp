#include "teaselshore/base/fingerprint.hpp"

#include <array>

#include <xxhash.h>

namespace teaselshore {

Fingerprint fingerprint(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

Fingerprint combine(Fingerprint first, Fingerprint second)
{
    const std::array<Fingerprint, 2> pair { first, second };
    return XXH3_64bits(pair.data(), sizeof(pair));
}

Fingerprint fingerprint(std::initializer_list<std::string_view> parts)
{
    Fingerprint result = parts.size();
    for (const std::string_view part : parts)
        result = combine(result, fingerprint(part));
    return result;
}

} // namespace teaselshore
