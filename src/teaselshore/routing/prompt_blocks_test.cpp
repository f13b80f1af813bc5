#include <cstdint>
#include <limits>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/routing/prefix_index.hpp"
#include "teaselshore/routing/prompt_blocks.hpp"

namespace teaselshore {
namespace {

    constexpr std::uint32_t tokensPerBlock = 256;

    /// The same blocks, computed one after the other.
    std::vector<Fingerprint> allHashes(const std::vector<PromptPart>& parts)
    {
        std::vector<Fingerprint> hashes;
        Fingerprint prefix = 0;
        std::uint64_t tokens = 0;
        for (const PromptPart& part : parts) {
            prefix = combine(prefix, part.id);
            const std::uint64_t end = tokens + part.tokens;
            for (std::uint64_t next = (hashes.size() + 1) * tokensPerBlock; next <= end; next += tokensPerBlock)
                hashes.push_back(combine(prefix, next - tokens));
            tokens = end;
        }
        return hashes;
    }

    // Guards against other choices of upstreams than with a list of all hashes, as nodes of different versions make
    // them side by side.
    RC_GTEST_PROP(PromptBlocks, HashesOfPartsAreThoseOfTheList, ())
    {
        std::vector<PromptPart> parts;
        for (const std::uint32_t tokens : *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 3000U)))
            parts.push_back({ *rc::gen::inRange<std::uint64_t>(0, 9), tokens });
        const std::vector<Fingerprint> hashes = allHashes(parts);
        const PromptBlocks blocks(parts, tokensPerBlock);
        RC_ASSERT(blocks.size() == hashes.size());
        for (std::size_t index = 0; index < hashes.size(); ++index)
            RC_ASSERT(blocks[index] == hashes[index]);
    }

    // Guards against memory and time that follow the tokens which a caller states.
    TEST(PromptBlocks, PartsOfAnyLengthCanBeLookedUp)
    {
        constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
        const PromptBlocks blocks(std::vector<PromptPart>(1000, { 1, most }), tokensPerBlock);
        EXPECT_EQ(blocks.size(), std::uint64_t { most } * 1000 / tokensPerBlock);
        PrefixIndex index;
        index.onDispatched(1, blocks);
        ASSERT_EQ(index.find(blocks).count, 1U);
        EXPECT_EQ(index.find(blocks).entries[0].engine, 1U);
    }

} // namespace
} // namespace teaselshore
