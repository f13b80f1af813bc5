#include "teaselshore/journal/owner_placement.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    constexpr double loadBound = 1.1;

    std::vector<NodeId> ranking(std::string_view subject, std::vector<NodeId> nodes)
    {
        std::sort(nodes.begin(), nodes.end(), [&](const NodeId& first, const NodeId& second) {
            return rendezvousWeight(subject, first) > rendezvousWeight(subject, second);
        });
        return nodes;
    }

} // namespace

std::uint64_t rendezvousWeight(std::string_view subject, const NodeId& node)
{
    return fingerprint({ subject, node.value() });
}

NodeId rendezvousChoice(std::string_view subject, const std::vector<NodeId>& nodes)
{
    TEASELSHORE_ASSERT(!nodes.empty(), "choice among no nodes");
    return *std::max_element(nodes.begin(), nodes.end(), [&](const NodeId& first, const NodeId& second) {
        return rendezvousWeight(subject, first) < rendezvousWeight(subject, second);
    });
}

std::vector<NodeId> ownerCandidates(const std::set<NodeId>& alive, std::size_t maxOwners)
{
    std::vector<NodeId> ranked = ranking("slot owners", { alive.begin(), alive.end() });
    ranked.resize(std::min(ranked.size(), maxOwners));
    std::sort(ranked.begin(), ranked.end());
    return ranked;
}

std::vector<NodeId> placeSlots(const std::vector<NodeId>& candidates)
{
    TEASELSHORE_ASSERT(!candidates.empty(), "no candidates to own slots");
    const double mean = static_cast<double>(slotCount) / static_cast<double>(candidates.size());
    const std::size_t bound = static_cast<std::size_t>(mean * loadBound) + 1;
    std::map<NodeId, std::size_t> load;
    std::vector<NodeId> owners;
    owners.reserve(slotCount);
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        for (const NodeId& node : ranking("slot " + std::to_string(slot), candidates)) {
            if (load[node] >= bound)
                continue;
            ++load[node];
            owners.push_back(node);
            break;
        }
    }
    return owners;
}

} // namespace teaselshore
