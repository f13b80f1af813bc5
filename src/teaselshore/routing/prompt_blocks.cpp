#include "teaselshore/routing/prompt_blocks.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/base/overloaded.hpp"

namespace teaselshore {

PromptBlocks::PromptBlocks(std::vector<Fingerprint> hashes)
    : blocks(std::move(hashes))
{
}

PromptBlocks::PromptBlocks(const std::vector<PromptPart>& parts, std::uint32_t tokensPerBlock)
{
    Parts chained { {}, tokensPerBlock };
    chained.parts.reserve(parts.size());
    Part last;
    for (const PromptPart& part : parts) {
        last = { last.end, last.end + part.tokens, combine(last.throughPart, part.id) };
        chained.parts.push_back(last);
    }
    this->blocks = std::move(chained);
}

std::size_t PromptBlocks::size() const
{
    return std::visit(Overloaded {
                          [](const std::vector<Fingerprint>& hashes) { return hashes.size(); },
                          [](const Parts& chained) {
                              const std::uint64_t tokens = chained.parts.empty() ? 0 : chained.parts.back().end;
                              return static_cast<std::size_t>(tokens / chained.tokensPerBlock);
                          },
                      },
        this->blocks);
}

Fingerprint PromptBlocks::operator[](std::size_t index) const
{
    return std::visit(Overloaded {
                          [index](const std::vector<Fingerprint>& hashes) { return hashes[index]; },
                          [index](const Parts& chained) {
                              const std::uint64_t end = (std::uint64_t { index } + 1) * chained.tokensPerBlock;
                              const auto part = std::lower_bound(chained.parts.begin(), chained.parts.end(), end,
                                  [](const Part& candidate, std::uint64_t tokens) { return candidate.end < tokens; });
                              return combine(part->throughPart, end - part->begin);
                          },
                      },
        this->blocks);
}

} // namespace teaselshore
