#include "teaselshore/journal/record.hpp"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    // Numbers of the record kinds in the encoding; they never change.
    enum class Kind {
        Accepted = 1,
        Dispatching = 2,
        Finished = 3,
        NotRun = 4,
        OutcomeUnknown = 5,
        SlotsTaken = 6,
        CheckpointComplete = 7,
    };

    constexpr std::size_t numberDigits = 12;

    Json tag(Kind kind) { return static_cast<int>(kind); }

    Json encodeRecord(const Accepted& record)
    {
        const JournalRequest& request = record.request;
        return Json::array({ tag(Kind::Accepted), request.id.value(), request.key.workspace.value(),
            request.key.key.value(), request.service.value(), request.route.value(), request.method, request.path,
            request.headers, request.body, request.idempotent, request.respondAsync, request.traceparent });
    }

    Json encodeRecord(const Dispatching& record)
    {
        return Json::array({ tag(Kind::Dispatching), record.request.value(), record.key.workspace.value(),
            record.key.key.value(), record.service.value(), record.upstream.value(), record.attempt });
    }

    Json encodeRecord(const Finished& record)
    {
        return Json::array({ tag(Kind::Finished), record.request.value(), record.key.workspace.value(),
            record.key.key.value(), record.answer.status, record.answer.headers, record.answer.body,
            record.answer.bodyStored, record.respondAsync });
    }

    Json encodeRecord(const NotRun& record)
    {
        return Json::array(
            { tag(Kind::NotRun), record.request.value(), record.key.workspace.value(), record.key.key.value() });
    }

    Json encodeRecord(const OutcomeUnknown& record)
    {
        return Json::array({ tag(Kind::OutcomeUnknown), record.request.value(), record.key.workspace.value(),
            record.key.key.value(), record.service.value(), record.upstream.value(), record.attempt });
    }

    Json encodeRecord(const SlotsTaken& record) { return Json::array({ tag(Kind::SlotsTaken), record.epochs }); }

    Json encodeRecord(const CheckpointComplete& record)
    {
        return Json::array({ tag(Kind::CheckpointComplete), record.from });
    }

    template <typename T> T field(const Json& item, std::size_t index) { return item.at(index).get<T>(); }

    KeyId keyOf(const Json& item)
    {
        return { WorkspaceName(field<std::string>(item, 2)), IdempotencyKey(field<std::string>(item, 3)) };
    }

    JournalRecord decodeAccepted(const Json& item)
    {
        JournalRequest request;
        request.id = RequestId(field<std::string>(item, 1));
        request.key = keyOf(item);
        request.service = ServiceName(field<std::string>(item, 4));
        request.route = RouteName(field<std::string>(item, 5));
        request.method = field<std::string>(item, 6);
        request.path = field<std::string>(item, 7);
        request.headers = field<JournalHeaders>(item, 8);
        request.body = field<std::string>(item, 9);
        request.idempotent = field<bool>(item, 10);
        request.respondAsync = field<bool>(item, 11);
        request.traceparent = field<std::string>(item, 12);
        return Accepted { std::move(request) };
    }

    // Throws nlohmann::json::exception on malformed records.
    std::optional<JournalRecord> decodeRecord(const Json& item)
    {
        const Kind kind = static_cast<Kind>(field<int>(item, 0));
        if (kind == Kind::SlotsTaken)
            return SlotsTaken { field<std::vector<std::pair<Slot, std::uint64_t>>>(item, 1) };
        if (kind == Kind::CheckpointComplete)
            return CheckpointComplete { field<std::uint64_t>(item, 1) };
        if (kind == Kind::Accepted)
            return decodeAccepted(item);
        const RequestId request(field<std::string>(item, 1));
        switch (kind) {
        case Kind::Dispatching:
            return Dispatching { request, keyOf(item), ServiceName(field<std::string>(item, 4)),
                UpstreamId(field<std::string>(item, 5)), field<std::uint32_t>(item, 6) };
        case Kind::Finished:
            return Finished { request, keyOf(item),
                { field<int>(item, 4), field<JournalHeaders>(item, 5), field<std::string>(item, 6),
                    field<bool>(item, 7) },
                field<bool>(item, 8) };
        case Kind::NotRun:
            return NotRun { request, keyOf(item) };
        case Kind::OutcomeUnknown:
            return OutcomeUnknown { request, keyOf(item), ServiceName(field<std::string>(item, 4)),
                UpstreamId(field<std::string>(item, 5)), field<std::uint32_t>(item, 6) };
        default:
            return std::nullopt;
        }
    }

    std::string toBytes(const Json& value)
    {
        std::string bytes;
        Json::to_cbor(value, bytes);
        return bytes;
    }

} // namespace

std::string encodeGroup(const RecordGroup& group)
{
    Json items = Json::array();
    for (const JournalRecord& record : group)
        items.push_back(std::visit([](const auto& content) { return encodeRecord(content); }, record));
    return toBytes(items);
}

std::optional<RecordGroup> decodeGroup(std::string_view bytes)
{
    try {
        RecordGroup group;
        for (const Json& item : Json::from_cbor(bytes)) {
            std::optional<JournalRecord> record = decodeRecord(item);
            if (!record)
                return std::nullopt;
            group.push_back(std::move(*record));
        }
        return group;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encodeBatch(const Batch& batch)
{
    std::string bytes = toBytes(Json::array({ batch.writer, batch.number, batch.seal, batch.groups }));
    TEASELSHORE_ASSERT(bytes.size() <= batchLimit, "batch exceeds the object API's value limit");
    return bytes;
}

std::optional<Batch> decodeBatch(std::string_view bytes)
{
    try {
        const Json value = Json::from_cbor(bytes);
        return Batch { field<std::string>(value, 0), field<std::uint64_t>(value, 1), field<bool>(value, 2),
            field<std::vector<std::string>>(value, 3) };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string journalPrefix(const OwnerInstance& instance) { return fmt::format("journal/{}/", instance.value()); }

std::string batchKey(const OwnerInstance& instance, std::uint64_t number)
{
    return fmt::format("journal/{}/{:0{}}", instance.value(), number, numberDigits);
}

std::optional<std::uint64_t> batchNumber(const OwnerInstance& instance, std::string_view key)
{
    const std::string prefix = journalPrefix(instance);
    if (!key.starts_with(prefix) || key.size() != prefix.size() + numberDigits)
        return std::nullopt;
    std::uint64_t number = 0;
    const char* const end = key.data() + key.size();
    const auto [rest, error] = std::from_chars(key.data() + prefix.size(), end, number);
    if (error != std::errc() || rest != end)
        return std::nullopt;
    return number;
}

} // namespace teaselshore
