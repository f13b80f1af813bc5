#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

/// @brief Chooses the same few members for the same key on every node (rendezvous hashing).
///
/// Members are hashed into buckets; a key ranks the buckets by weighted rendezvous hashing and then the members of the
/// best buckets. The cost grows with the square root of the number of members instead of linearly, and the arrival or
/// departure of a member moves only the keys of that member. Not thread-safe.
class RendezvousTable {
public:
    static constexpr std::size_t maximumChoices = 3;

    struct Choices {
        std::array<std::uint32_t, maximumChoices> members;
        std::size_t count = 0;

        std::span<const std::uint32_t> all() const { return { this->members.data(), this->count }; }
    };

    /// @brief Adds a member; salt is a digest of its name that is the same on every node.
    void add(std::uint32_t member, Fingerprint salt);

    /// @brief Removes a member that was added with the same salt.
    void remove(std::uint32_t member, Fingerprint salt);

    void clear();

    /// @brief Returns the preferred members of a key, best first, from at most two buckets.
    Choices choose(Fingerprint key) const;

private:
    static constexpr std::size_t bucketCount = 64;

    struct Member {
        Fingerprint salt = 0;
        std::uint32_t member = 0;
    };

    std::array<std::vector<Member>, bucketCount> buckets;
};

} // namespace teaselshore
