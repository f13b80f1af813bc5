#include "teaselshore/routing/rendezvous_table.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

namespace {

    /// Mixes two digests with the finalizer of MurmurHash3.
    std::uint64_t mix(std::uint64_t first, std::uint64_t second)
    {
        std::uint64_t value = first ^ (second * 0x9e3779b97f4a7c15ULL);
        value = (value ^ (value >> 33)) * 0xff51afd7ed558ccdULL;
        value = (value ^ (value >> 33)) * 0xc4ceb9fe1a85ec53ULL;
        return value ^ (value >> 33);
    }

    /// Maps a digest to (0, 1).
    double unit(std::uint64_t value) { return (static_cast<double>(value >> 11) + 0.5) * 0x1p-53; }

} // namespace

void RendezvousTable::add(std::uint32_t member, Fingerprint salt)
{
    this->buckets[salt % bucketCount].push_back({ salt, member });
}

void RendezvousTable::remove(std::uint32_t member, Fingerprint salt)
{
    std::erase_if(
        this->buckets[salt % bucketCount], [&](const Member& candidate) { return candidate.member == member; });
}

void RendezvousTable::clear()
{
    for (std::vector<Member>& bucket : this->buckets)
        bucket.clear();
}

RendezvousTable::Choices RendezvousTable::choose(Fingerprint key) const
{
    std::array<double, 2> bestScores { 0, 0 };
    std::array<std::size_t, 2> bestBuckets { bucketCount, bucketCount };
    for (std::size_t i = 0; i < bucketCount; i++) {
        if (this->buckets[i].empty())
            continue;
        // Weighted rendezvous hashing: a bucket wins with a probability proportional to its size.
        const double score = static_cast<double>(this->buckets[i].size()) / -std::log(unit(mix(key, i + 1)));
        if (score > bestScores[0]) {
            bestScores = { score, bestScores[0] };
            bestBuckets = { i, bestBuckets[0] };
        } else if (score > bestScores[1]) {
            bestScores[1] = score;
            bestBuckets[1] = i;
        }
    }

    Choices choices;
    for (const std::size_t bucket : bestBuckets) {
        if (bucket == bucketCount)
            break;
        std::array<std::uint64_t, 2> scores { 0, 0 };
        std::array<std::uint32_t, 2> members { 0, 0 };
        for (const Member& candidate : this->buckets[bucket]) {
            const std::uint64_t score = mix(key, candidate.salt) | 1;
            if (score > scores[0]) {
                scores = { score, scores[0] };
                members = { candidate.member, members[0] };
            } else if (score > scores[1]) {
                scores[1] = score;
                members[1] = candidate.member;
            }
        }
        for (std::size_t i = 0; i < 2 && choices.count < maximumChoices; i++) {
            if (scores[i] > 0)
                choices.members[choices.count++] = members[i];
        }
    }
    return choices;
}

} // namespace teaselshore
