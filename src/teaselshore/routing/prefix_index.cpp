#include "teaselshore/routing/prefix_index.hpp"

#include <algorithm>
#include <bit>
#include <optional>

namespace teaselshore {

namespace {

    /// Blocks of a prompt beyond this depth are not looked up.
    constexpr std::uint32_t maximumDepth = 4096;

    /// Returns the depths at which a dispatched prompt is recorded and looked up: all up to 8, then each about a
    /// quarter deeper than the one before.
    const std::vector<std::uint32_t>& depthGrid()
    {
        static const std::vector<std::uint32_t> grid = [] {
            std::vector<std::uint32_t> depths;
            for (std::uint32_t depth = 1; depth <= maximumDepth; depth += std::max(1U, depth / 4))
                depths.push_back(depth);
            return depths;
        }();
        return grid;
    }

    std::size_t gridDepthsWithin(std::size_t blocks)
    {
        const auto& grid = depthGrid();
        return std::upper_bound(grid.begin(), grid.end(), blocks) - grid.begin();
    }

} // namespace

PrefixIndex::PrefixIndex(PrefixIndexSettings settings)
    : settings(settings)
    , setMask(std::bit_ceil(std::max(settings.maximumBlocks, ways)) / ways - 1)
    , table((this->setMask + 1) * ways)
{
}

void PrefixIndex::onEvent(std::uint32_t index, const CacheEvent& event)
{
    Engine& engine = this->engineAt(index);
    if (event.sequence == engine.lastSequence)
        return;
    const bool late = event.sequence < engine.lastSequence;
    if (!late) {
        // The missing events may have removed any block that was stored before.
        if (engine.lastSequence != 0 && event.sequence != engine.lastSequence + 1)
            engine.epoch++;
        engine.lastSequence = event.sequence;
    }

    switch (event.kind) {
    case CacheEventKind::Stored:
        for (const Fingerprint hash : event.blocks)
            this->store(index, hash, late ? engine.epoch - 1 : engine.epoch);
        return;
    case CacheEventKind::Removed:
        for (const Fingerprint hash : event.blocks)
            this->remove(index, hash, late);
        return;
    case CacheEventKind::Cleared:
        engine.epoch++;
        if (!late)
            engine.firstValidEpoch = engine.epoch;
        return;
    }
}

void PrefixIndex::onDispatched(std::uint32_t index, const PromptBlocks& blocks)
{
    if (blocks.empty())
        return;
    const std::uint32_t epoch = this->engineAt(index).epoch;
    const auto& grid = depthGrid();
    const std::size_t count = gridDepthsWithin(blocks.size());
    for (std::size_t i = 0; i < count; i++)
        this->store(index, blocks[grid[i] - 1], epoch);
    if (grid[count - 1] != blocks.size() && blocks.size() <= maximumDepth)
        this->store(index, blocks.back(), epoch);
}

void PrefixIndex::invalidate(std::uint32_t index)
{
    Engine& engine = this->engineAt(index);
    engine.epoch++;
    engine.firstValidEpoch = engine.epoch;
    // The next process of the engine restarts its sequence numbers.
    engine.lastSequence = 0;
}

PrefixHolders PrefixIndex::find(const PromptBlocks& blocks) const
{
    PrefixHolders found;
    const auto& grid = depthGrid();
    const auto probe = [&](std::uint32_t depth) {
        const Block* block = this->findBlock(blocks[depth - 1]);
        return block != nullptr && this->mergeHolders(*block, depth, found);
    };

    std::size_t lastHit = 0;
    std::size_t firstMiss = gridDepthsWithin(blocks.size()) + 1;
    while (firstMiss - lastHit > 1) {
        const std::size_t middle = (lastHit + firstMiss) / 2;
        (probe(grid[middle - 1]) ? lastHit : firstMiss) = middle;
    }

    // Refines the result between two depths of the grid, where only cache events and ends of prompts are recorded.
    std::uint32_t low = lastHit == 0 ? 0 : grid[lastHit - 1];
    auto high = static_cast<std::uint32_t>(std::min<std::size_t>(blocks.size(), maximumDepth)) + 1;
    if (firstMiss <= gridDepthsWithin(blocks.size()))
        high = grid[firstMiss - 1];
    if (high - low > 1 && probe(high - 1))
        low = high - 1;
    while (high - low > 1) {
        const std::uint32_t middle = (low + high) / 2;
        (probe(middle) ? low : high) = middle;
    }
    return found;
}

std::size_t PrefixIndex::memoryBytes() const
{
    return this->table.capacity() * sizeof(Block) + this->engines.capacity() * sizeof(Engine);
}

PrefixIndex::Engine& PrefixIndex::engineAt(std::uint32_t index)
{
    if (index >= this->engines.size())
        this->engines.resize(index + 1);
    return this->engines[index];
}

const PrefixIndex::Block* PrefixIndex::findBlock(Fingerprint hash) const
{
    const Block* set = &this->table[(hash & this->setMask) * ways];
    for (std::size_t i = 0; i < ways; i++) {
        if (set[i].hash == hash)
            return &set[i];
    }
    return nullptr;
}

PrefixIndex::Block& PrefixIndex::findOrCreateBlock(Fingerprint hash)
{
    Block* set = &this->table[(hash & this->setMask) * ways];
    Block* oldest = set;
    for (std::size_t i = 0; i < ways; i++) {
        if (set[i].hash == hash)
            return set[i];
        // Unsigned subtraction stays correct when the counter wraps around.
        if (this->useClock - set[i].usedAt > this->useClock - oldest->usedAt)
            oldest = &set[i];
    }
    *oldest = Block { hash, this->useClock, {} };
    return *oldest;
}

void PrefixIndex::store(std::uint32_t index, Fingerprint hash, std::uint32_t epoch)
{
    Block& block = this->findOrCreateBlock(hash);
    block.usedAt = ++this->useClock;
    Holder* place = &block.holders[this->useClock % holdersPerBlock];
    for (Holder& holder : block.holders) {
        if (holder.epoch != 0 && holder.engine == index) {
            holder.epoch = std::max(holder.epoch, epoch);
            return;
        }
        if (this->certainty(holder) == 0)
            place = &holder;
    }
    *place = Holder { index, epoch };
}

void PrefixIndex::remove(std::uint32_t index, Fingerprint hash, bool late)
{
    const Block* block = this->findBlock(hash);
    if (block == nullptr)
        return;
    for (Holder& holder : this->table[block - this->table.data()].holders) {
        if (holder.epoch == 0 || holder.engine != index)
            continue;
        // The block may have been stored again after the late removal.
        holder.epoch = late ? holder.epoch - 1 : 0;
    }
}

double PrefixIndex::certainty(const Holder& holder) const
{
    if (holder.epoch == 0 || holder.engine >= this->engines.size())
        return 0;
    const Engine& engine = this->engines[holder.engine];
    if (holder.epoch < engine.firstValidEpoch)
        return 0;
    double result = 1;
    for (std::uint32_t epoch = holder.epoch; epoch < engine.epoch; epoch++) {
        result *= this->settings.gapCertaintyFactor;
        if (result < 0.05)
            return 0;
    }
    return result;
}

bool PrefixIndex::mergeHolders(const Block& block, std::uint32_t depth, PrefixHolders& found) const
{
    bool any = false;
    for (const Holder& holder : block.holders) {
        const double certainty = this->certainty(holder);
        if (certainty == 0)
            continue;
        any = true;
        const PrefixHolder entry { holder.engine, depth, certainty };
        const auto expectedBlocks
            = [](const PrefixHolder& candidate) { return candidate.blocks * candidate.certainty; };
        PrefixHolder* place = nullptr;
        for (std::size_t i = 0; i < found.count; i++) {
            if (found.entries[i].engine == holder.engine)
                place = &found.entries[i];
        }
        if (place == nullptr && found.count < PrefixHolders::maximum) {
            found.entries[found.count++] = entry;
            continue;
        }
        if (place == nullptr) {
            place = std::min_element(found.entries.data(), found.entries.data() + found.count,
                [&](const PrefixHolder& first, const PrefixHolder& second) {
                    return expectedBlocks(first) < expectedBlocks(second);
                });
        }
        if (expectedBlocks(entry) > expectedBlocks(*place))
            *place = entry;
    }
    return any;
}

} // namespace teaselshore
