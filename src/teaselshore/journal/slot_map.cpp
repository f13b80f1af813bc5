#include "teaselshore/journal/slot_map.hpp"

#include <charconv>
#include <map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t slotDigits = 4;

    // One run of equal assignments in the encoded map: [owner index or -1, epoch, released, length].
    struct Run {
        std::int64_t owner = -1;
        std::uint64_t epoch = 0;
        bool released = false;
        std::size_t length = 0;
    };

    std::optional<Run> decodeRun(const Json& item)
    {
        if (!item.is_array() || item.size() != 4)
            return std::nullopt;
        for (const Json& field : item) {
            if (!field.is_number_integer())
                return std::nullopt;
        }
        return Run { item[0].get<std::int64_t>(), item[1].get<std::uint64_t>(), item[2].get<int>() != 0,
            item[3].get<std::size_t>() };
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
    std::map<OwnerInstance, std::size_t> indexes;
    Json owners = Json::array();
    Json runs = Json::array();
    const SlotAssignment* previous = nullptr;
    for (const SlotAssignment& assignment : this->assignments) {
        if (previous && *previous == assignment) {
            runs.back()[3] = runs.back()[3].get<std::size_t>() + 1;
            continue;
        }
        previous = &assignment;
        std::int64_t index = -1;
        if (!assignment.owner.empty()) {
            const auto [position, added] = indexes.try_emplace(assignment.owner, owners.size());
            if (added)
                owners.push_back(assignment.owner.value());
            index = static_cast<std::int64_t>(position->second);
        }
        runs.push_back({ index, assignment.epoch, assignment.released ? 1 : 0, 1 });
    }
    return Json { { "owners", std::move(owners) }, { "slots", std::move(runs) } }.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

std::optional<SlotMap> SlotMap::decode(std::string_view text)
{
    const Json value = Json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("owners") || !value.contains("slots"))
        return std::nullopt;
    const Json& owners = value["owners"];
    if (!owners.is_array() || !value["slots"].is_array())
        return std::nullopt;
    SlotMap map;
    std::size_t slot = 0;
    for (const Json& item : value["slots"]) {
        const std::optional<Run> run = decodeRun(item);
        if (!run || run->length > slotCount - slot || run->owner >= static_cast<std::int64_t>(owners.size()))
            return std::nullopt;
        SlotAssignment assignment { {}, run->epoch, run->released };
        if (run->owner >= 0) {
            const Json& owner = owners[static_cast<std::size_t>(run->owner)];
            if (!owner.is_string())
                return std::nullopt;
            assignment.owner = OwnerInstance(owner.get<std::string>());
        }
        for (std::size_t end = slot + run->length; slot < end; ++slot)
            map.assignments[slot] = assignment;
    }
    if (slot != slotCount)
        return std::nullopt;
    return map;
}

} // namespace teaselshore
