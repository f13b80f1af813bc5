#include "teaselshore/routing/rendezvous_table.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

namespace {

    /// Combines two hashes with the finalizer of MurmurHash3.
    std::uint64_t mix(std::uint64_t first, std::uint64_t second)
    {
        std::uint64_t value = first ^ (second * 0x9e3779b97f4a7c15ULL);
        value = (value ^ (value >> 33)) * 0xff51afd7ed558ccdULL;
        value = (value ^ (value >> 33)) * 0xc4ceb9fe1a85ec53ULL;
        return value ^ (value >> 33);
    }

    /// Maps a hash to (0, 1).
    double toUnitInterval(std::uint64_t value) { return (static_cast<double>(value >> 11) + 0.5) * 0x1p-53; }

    /// Returns the score of a set of members; a set has the highest score with a probability proportional to its size.
    double weightedScore(std::uint64_t digest, std::size_t size)
    {
        return static_cast<double>(size) / -std::log(toUnitInterval(digest));
    }

    /// Keeps the two items with the highest scores; a score of 0 marks an empty entry.
    template <typename Score> struct BestTwo {
        std::array<Score, 2> scores { 0, 0 };
        std::array<std::uint32_t, 2> items { 0, 0 };

        void add(std::uint32_t item, Score score)
        {
            if (score > this->scores[0]) {
                this->scores = { score, this->scores[0] };
                this->items = { item, this->items[0] };
            } else if (score > this->scores[1]) {
                this->scores[1] = score;
                this->items[1] = item;
            }
        }
    };

} // namespace

void RendezvousTable::add(std::uint32_t member, Fingerprint nameHash)
{
    Group& group = this->groups[groupOf(nameHash)];
    group.buckets[bucketOf(nameHash)].push_back({ nameHash, member });
    group.size++;
}

void RendezvousTable::remove(std::uint32_t member, Fingerprint nameHash)
{
    Group& group = this->groups[groupOf(nameHash)];
    group.size -= std::erase_if(
        group.buckets[bucketOf(nameHash)], [&](const Member& candidate) { return candidate.member == member; });
}

void RendezvousTable::clear()
{
    for (Group& group : this->groups) {
        group.size = 0;
        for (std::vector<Member>& bucket : group.buckets)
            bucket.clear();
    }
}

RendezvousTable::Choices RendezvousTable::choose(Fingerprint key) const
{
    BestTwo<double> bestGroups;
    for (std::uint32_t i = 0; i < groupCount; i++) {
        if (this->groups[i].size > 0)
            bestGroups.add(i, weightedScore(mix(key, i + 1), this->groups[i].size));
    }
    Choices choices;
    if (bestGroups.scores[0] == 0)
        return choices;

    const Group& group = this->groups[bestGroups.items[0]];
    BestTwo<double> bestBuckets;
    for (std::uint32_t i = 0; i < bucketsPerGroup; i++) {
        if (!group.buckets[i].empty())
            bestBuckets.add(i, weightedScore(mix(key, groupCount + i + 1), group.buckets[i].size()));
    }
    for (std::size_t i = 0; i < 2 && bestBuckets.scores[i] > 0; i++) {
        BestTwo<std::uint64_t> bestMembers;
        for (const Member& candidate : group.buckets[bestBuckets.items[i]])
            bestMembers.add(candidate.member, mix(key, candidate.nameHash) | 1);
        for (std::size_t j = 0; j < 2 && bestMembers.scores[j] > 0 && choices.count < maximumChoices; j++)
            choices.members[choices.count++] = bestMembers.items[j];
    }
    return choices;
}

} // namespace teaselshore
