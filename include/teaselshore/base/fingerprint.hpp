#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace teaselshore {

/// @brief 64-bit xxhash (XXH3) digest. Stable across processes and hosts; not suitable against forgery.
using Fingerprint = std::uint64_t;

/// @brief Returns the digest of the parts. The lengths are included, so {"ab", "c"} and {"a", "bc"} differ.
Fingerprint fingerprint(std::initializer_list<std::string_view> parts);

/// @brief Returns the digest of one text.
Fingerprint fingerprint(std::string_view text);

/// @brief Mixes two digests into one; the order matters.
Fingerprint combine(Fingerprint first, Fingerprint second);

} // namespace teaselshore
