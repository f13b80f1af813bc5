#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

/// @brief Chooses the same few members for the same key on every node (rendezvous hashing).
///
/// Members are hashed into buckets, and buckets into groups. A lookup ranks the groups and then the buckets of the best
/// group by weighted rendezvous hashing, and finally the members of the two best buckets. Its cost grows with a small
/// fraction of the number of members, and adding or removing a member moves few keys of the others. Not thread-safe.
class RendezvousTable {
public:
    static constexpr std::size_t maximumChoices = 3;

    struct Choices {
        std::array<std::uint32_t, maximumChoices> members;
        std::size_t count = 0;

        std::span<const std::uint32_t> all() const& { return { this->members.data(), this->count }; }
        /// Deleted, since the view of a temporary would dangle in a range-based loop.
        std::span<const std::uint32_t> all() const&& = delete;
    };

    /// @brief Adds a member; nameHash must be the same on every node.
    void add(std::uint32_t member, Fingerprint nameHash);

    /// @brief Removes a member; nameHash must be the one it was added with.
    void remove(std::uint32_t member, Fingerprint nameHash);

    void clear();

    /// @brief Returns the preferred members of a key, best first, from at most two buckets of one group.
    Choices choose(Fingerprint key) const;

private:
    static constexpr std::size_t groupCount = 16;
    static constexpr std::size_t bucketsPerGroup = 16;

    struct Member {
        Fingerprint nameHash = 0;
        std::uint32_t member = 0;
    };

    struct Group {
        std::array<std::vector<Member>, bucketsPerGroup> buckets;
        std::size_t size = 0;
    };

    static std::size_t groupOf(Fingerprint nameHash) { return nameHash % groupCount; }
    static std::size_t bucketOf(Fingerprint nameHash) { return nameHash / groupCount % bucketsPerGroup; }

    std::array<Group, groupCount> groups;
};

} // namespace teaselshore
