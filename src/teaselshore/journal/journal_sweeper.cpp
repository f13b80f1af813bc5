#include "teaselshore/journal/journal_sweeper.hpp"

#include <algorithm>
#include <string_view>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    constexpr std::string_view allJournals = "journal/";

    std::optional<OwnerInstance> instanceOf(std::string_view key)
    {
        if (!key.starts_with(allJournals))
            return std::nullopt;
        key.remove_prefix(allJournals.size());
        const std::size_t end = key.rfind('/');
        if (end == std::string_view::npos)
            return std::nullopt;
        return OwnerInstance(std::string(key.substr(0, end)));
    }

} // namespace

JournalSweeper::JournalSweeper(std::string writerId, Duration interval, Duration retention)
    : writer(std::move(writerId))
    , interval(interval)
    , retention(retention)
{
}

bool JournalSweeper::due(Instant now) const
{
    if (this->listCall || this->deleteCall)
        return false;
    return this->sealing || !this->deletions.empty() || now >= this->nextList;
}

std::vector<ObjectCommand> JournalSweeper::poll(Instant now, ObjectCallIds& ids, WritePacer& pacer)
{
    if (!this->due(now))
        return {};
    if (this->sealing)
        return this->sealing->poll(now, ids, pacer);
    if (!this->deletions.empty()) {
        if (!pacer.allows(now))
            return {};
        pacer.take(now);
        this->deleteCall = ids.next();
        return { ObjectDelete { *this->deleteCall, this->deletions.front().key, this->deletions.front().version } };
    }
    this->nextList = now + this->interval;
    this->listCall = ids.next();
    return { ObjectList { *this->listCall, std::string(allJournals) } };
}

bool JournalSweeper::awaits(ObjectCallId id) const
{
    return this->listCall == id || this->deleteCall == id || (this->sealing && this->sealing->awaits(id));
}

void JournalSweeper::onResult(const ObjectResult& result, const InUse& inUse, Instant now)
{
    TEASELSHORE_ASSERT(this->awaits(result.id), "result of a call that is not in flight");
    if (this->listCall == result.id) {
        this->listCall.reset();
        this->onList(result, inUse, now);
        return;
    }
    if (this->deleteCall == result.id) {
        this->deleteCall.reset();
        // A deletion that failed stops the sweep: the order of the batches must be kept.
        if (result.outcome == ObjectOutcome::Ok || result.outcome == ObjectOutcome::NotFound)
            this->deletions.pop_front();
        else
            this->deletions.clear();
        return;
    }
    this->sealing->onResult(result, now);
    if (!this->sealing->done())
        return;
    this->unused[this->sealing->source()].sealed = true;
    this->sealing.reset();
    this->nextList = now;
}

void JournalSweeper::onList(const ObjectResult& result, const InUse& inUse, Instant now)
{
    if (result.outcome != ObjectOutcome::Ok)
        return;
    std::map<OwnerInstance, std::vector<ObjectEntry>> listed;
    for (const ObjectEntry& entry : result.entries) {
        const std::optional<OwnerInstance> instance = instanceOf(entry.key);
        if (instance && !inUse(*instance))
            listed[*instance].push_back(entry);
    }
    std::erase_if(this->unused, [&](const auto& known) { return !listed.contains(known.first); });
    for (auto& [instance, entries] : listed) {
        const Known& known = this->unused.try_emplace(instance, Known { now, false }).first->second;
        if (!known.sealed) {
            this->sealing = std::make_unique<JournalReader>(instance, this->writer, ReadMode::Seal);
            return;
        }
        if (now - known.since < this->retention)
            continue;
        std::sort(entries.begin(), entries.end());
        this->deletions.insert(this->deletions.end(), entries.begin(), entries.end());
    }
}

} // namespace teaselshore
