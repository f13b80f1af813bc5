#include "teaselshore/journal/slot_map.hpp"

#include <charconv>
#include <map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t slotDigits = 4;

    // Decodes [owner index or -1, epoch, released].
    std::optional<SlotAssignment> decodeAssignment(const Json& item, const Json& owners)
    {
        if (!item.is_array() || item.size() != 3)
            return std::nullopt;
        for (const Json& field : item) {
            if (!field.is_number_integer())
                return std::nullopt;
        }
        SlotAssignment assignment { {}, item[1].get<std::uint64_t>(), item[2].get<int>() != 0 };
        const std::int64_t index = item[0].get<std::int64_t>();
        if (index < 0)
            return assignment;
        if (index >= static_cast<std::int64_t>(owners.size()))
            return std::nullopt;
        const Json& owner = owners[static_cast<std::size_t>(index)];
        if (!owner.is_string())
            return std::nullopt;
        assignment.owner = OwnerInstance(owner.get<std::string>());
        return assignment;
    }

} // namespace

OwnerInstance ownerInstance(const NodeId& node, std::uint64_t generation)
{
    return OwnerInstance(fmt::format("{}~{}", node.value(), generation));
}

NodeId nodeOf(const OwnerInstance& instance) { return NodeId(instance.value().substr(0, instance.value().rfind('~'))); }

Slot slotOf(const WorkspaceName& workspace, const IdempotencyKey& key)
{
    return static_cast<Slot>(fingerprint({ workspace.value(), key.value() }) % slotCount);
}

RequestId makeRequestId(Slot slot, std::string_view suffix)
{
    TEASELSHORE_ASSERT(slot < slotCount, "slot out of range");
    return RequestId(fmt::format("r{:04}-{}", slot, suffix));
}

std::optional<Slot> slotOfRequest(const RequestId& request)
{
    const std::string& text = request.value();
    if (text.size() < slotDigits + 2 || text[0] != 'r' || text[slotDigits + 1] != '-')
        return std::nullopt;
    Slot slot = 0;
    const char* const end = text.data() + 1 + slotDigits;
    const auto [rest, error] = std::from_chars(text.data() + 1, end, slot);
    if (error != std::errc() || rest != end || slot >= slotCount)
        return std::nullopt;
    return slot;
}

std::vector<Slot> SlotMap::slotsOf(const OwnerInstance& instance) const
{
    std::vector<Slot> slots;
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        if (this->assignments[slot].owner == instance)
            slots.push_back(static_cast<Slot>(slot));
    }
    return slots;
}

std::string SlotMap::encode() const
{
    std::map<OwnerInstance, std::int64_t> ownerIndexes;
    std::map<SlotAssignment, std::size_t> indexes;
    Json owners = Json::array();
    Json assigned = Json::array();
    Json slots = Json::array();
    for (const SlotAssignment& assignment : this->assignments) {
        const auto [position, added] = indexes.try_emplace(assignment, assigned.size());
        slots.push_back(position->second);
        if (!added)
            continue;
        std::int64_t index = -1;
        if (!assignment.owner.empty()) {
            const auto [owner, first] = ownerIndexes.try_emplace(assignment.owner, owners.size());
            index = owner->second;
            if (first)
                owners.push_back(assignment.owner.value());
        }
        assigned.push_back({ index, assignment.epoch, assignment.released ? 1 : 0 });
    }
    const Json value { { "owners", std::move(owners) }, { "assignments", std::move(assigned) },
        { "slots", std::move(slots) } };
    return toJsonText(value);
}

std::optional<SlotMap> SlotMap::decode(std::string_view text)
{
    const Json value = Json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    for (const char* const part : { "owners", "assignments", "slots" }) {
        if (!value.contains(part) || !value[part].is_array())
            return std::nullopt;
    }
    std::vector<SlotAssignment> assigned;
    for (const Json& item : value["assignments"]) {
        std::optional<SlotAssignment> assignment = decodeAssignment(item, value["owners"]);
        if (!assignment)
            return std::nullopt;
        assigned.push_back(std::move(*assignment));
    }
    const Json& slots = value["slots"];
    if (slots.size() != slotCount)
        return std::nullopt;
    SlotMap map;
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        if (!slots[slot].is_number_unsigned() || slots[slot].get<std::size_t>() >= assigned.size())
            return std::nullopt;
        map.assignments[slot] = assigned[slots[slot].get<std::size_t>()];
    }
    return map;
}

} // namespace teaselshore
