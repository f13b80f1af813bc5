#pragma once

#include <set>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/journal/slot_map.hpp"

namespace teaselshore {

/// @brief Returns the weight of a node for a subject in rendezvous hashing; the highest weight wins.
std::uint64_t rendezvousWeight(std::string_view subject, const NodeId& node);

/// @brief Returns the node with the highest weight for the subject. Precondition: nodes is not empty.
NodeId rendezvousChoice(std::string_view subject, const std::vector<NodeId>& nodes);

/// @brief Returns at most maxOwners of the live nodes, chosen by rendezvous hashing, in ascending order.
std::vector<NodeId> ownerCandidates(const std::set<NodeId>& alive, std::size_t maxOwners);

/// @brief Returns the owner of each slot for these candidates. Precondition: candidates is not empty.
///
/// A candidate that reaches 1.1 times the mean gets no further slots, so that no owner is overloaded.
std::vector<NodeId> placeSlots(const std::vector<NodeId>& candidates);

} // namespace teaselshore
