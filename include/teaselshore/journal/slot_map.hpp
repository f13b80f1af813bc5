#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/name.hpp"

namespace teaselshore {

/// @brief Number of the group of idempotency keys that has one owner, in [0, slotCount).
using Slot = std::uint16_t;

constexpr std::size_t slotCount = 1024;

/// @brief Object API key of the slot map.
constexpr std::string_view slotMapKey = "slots";

/// @brief One tenure of a node as owner of slots, "<node>~<generation>". Names one journal.
using OwnerInstance = Name<struct OwnerInstanceTag>;

/// @brief Returns the instance of the given generation of a node.
OwnerInstance ownerInstance(const NodeId& node, std::uint64_t generation);

/// @brief Returns the node of an instance.
NodeId nodeOf(const OwnerInstance& instance);

/// @brief Returns the slot of a key. Stable across processes and versions.
Slot slotOf(const WorkspaceName& workspace, const IdempotencyKey& key);

/// @brief Returns a request id that carries its slot, "r<slot>-<suffix>".
RequestId makeRequestId(Slot slot, std::string_view suffix);

/// @brief Returns the slot that a request id carries; nothing if the text is no request id of makeRequestId().
std::optional<Slot> slotOfRequest(const RequestId& request);

/// @brief Ownership of one slot. The epoch grows by one whenever the owner changes.
struct SlotAssignment {
    /// Empty if the slot never had an owner.
    OwnerInstance owner;
    std::uint64_t epoch = 0;
    /// True once the owner has stopped serving the slot and lets another instance take it without a seal.
    bool released = false;

    auto operator<=>(const SlotAssignment&) const = default;
};

/// @brief Value of the slot map object: who owns each slot.
class SlotMap {
public:
    const SlotAssignment& at(Slot slot) const { return this->assignments.at(slot); }
    void assign(Slot slot, SlotAssignment assignment) { this->assignments.at(slot) = std::move(assignment); }

    /// @brief Returns the slots of an instance in ascending order.
    std::vector<Slot> slotsOf(const OwnerInstance& instance) const;

    /// @brief Encodes as compact JSON: each instance and each assignment is listed once.
    std::string encode() const;

    /// @brief Decodes encode()'s text; nothing if it is malformed or does not cover all slots.
    static std::optional<SlotMap> decode(std::string_view text);

    auto operator<=>(const SlotMap&) const = default;

private:
    std::array<SlotAssignment, slotCount> assignments;
};

} // namespace teaselshore
