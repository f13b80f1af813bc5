#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "teaselshore/journal/batch_cleaner.hpp"
#include "teaselshore/journal/journal_reader.hpp"
#include "teaselshore/journal/journal_sweeper.hpp"
#include "teaselshore/journal/journal_writer.hpp"
#include "teaselshore/journal/key_ledger.hpp"
#include "teaselshore/journal/owner_placement.hpp"
#include "teaselshore/journal/slot_map.hpp"

namespace teaselshore {
namespace {

    const OwnerInstance instance("node~1");

    Instant at(double seconds) { return Instant(fromSeconds(seconds)); }

    ObjectResult result(ObjectCallId id, ObjectOutcome outcome, std::string value = {})
    {
        return { id, outcome, std::move(value), 1, {} };
    }

    struct WriterTest : testing::Test {
        ObjectCallIds ids;
        WritePacer pacer { 1000, 100 };
        JournalWriter writer { instance, "writer" };

        ObjectCreate create(double seconds)
        {
            return std::get<ObjectCreate>(*this->writer.poll(at(seconds), this->ids, this->pacer));
        }
    };

    // Guards against codecs that change or lose fields, or that fail on bodies that are not UTF-8.
    RC_GTEST_PROP(Record, SurvivesEncoding, (const std::string& body, const std::string& header, std::uint32_t attempt))
    {
        JournalRequest request;
        request.id = makeRequestId(7, "x");
        request.key = { WorkspaceName("w"), IdempotencyKey(body) };
        request.headers = { { "name", header } };
        request.body = body;
        request.respondAsync = true;
        const RecordGroup group { Accepted { request },
            Dispatching { request.id, request.key, ServiceName("s"), UpstreamId("u"), attempt },
            Finished { request.id, request.key, { 201, request.headers, body, false }, true },
            NotRun { request.id, request.key },
            OutcomeUnknown { request.id, request.key, ServiceName("s"), UpstreamId("u"), attempt },
            SlotsTaken { { { 3, attempt } } }, CheckpointComplete { attempt } };
        RC_ASSERT(decodeGroup(encodeGroup(group)) == group);
        const Batch batch { "writer", attempt, false, { encodeGroup(group) } };
        RC_ASSERT(decodeBatch(encodeBatch(batch)) == batch);
    }

    // Guards against decoders that throw or abort on damaged objects.
    RC_GTEST_PROP(Record, RejectsDamagedBytes, (const std::string& bytes))
    {
        decodeGroup(bytes);
        decodeBatch(bytes);
        SlotMap::decode(bytes);
    }

    // Guards against a slot map codec that mixes up owners, epochs or runs of slots.
    RC_GTEST_PROP(SlotMap, SurvivesEncoding, (const std::vector<std::uint16_t>& changes))
    {
        SlotMap map;
        for (const std::uint16_t change : changes)
            map.assign(change % slotCount,
                { ownerInstance(NodeId("n" + std::to_string(change % 7)), change % 3), change, change % 2 == 0 });
        RC_ASSERT(SlotMap::decode(map.encode()) == map);
    }

    // Guards against request ids that cannot be routed to the slot of their key.
    RC_GTEST_PROP(SlotMap, RequestIdCarriesSlot, (std::uint16_t number, const std::string& suffix))
    {
        const Slot slot = number % slotCount;
        RC_ASSERT(slotOfRequest(makeRequestId(slot, suffix)) == slot);
    }

    // Guards against writing a batch twice when only the answer to its first write was lost.
    TEST_F(WriterTest, RecognisesItsOwnBatchAfterLostAnswer)
    {
        this->writer.append(encodeGroup({}));
        const ObjectCreate first = this->create(0);
        EXPECT_EQ(this->writer.onResult(result(first.id, ObjectOutcome::Unknown), at(0)), AppendProgress::Open);
        const auto read = std::get<ObjectRead>(*this->writer.poll(at(0), this->ids, this->pacer));
        EXPECT_EQ(
            this->writer.onResult(result(read.id, ObjectOutcome::Ok, first.value), at(0)), AppendProgress::Committed);
        EXPECT_TRUE(this->writer.drained());
    }

    // Guards against new content under a number whose first write may still be applied.
    TEST_F(WriterTest, RepeatsTheSameBatchWhileItIsInDoubt)
    {
        const AppendTicket ticket = this->writer.append(encodeGroup({}));
        const ObjectCreate first = this->create(0);
        this->writer.append(encodeGroup({}));
        this->writer.onResult(result(first.id, ObjectOutcome::Unknown), at(0));
        const auto read = std::get<ObjectRead>(*this->writer.poll(at(0), this->ids, this->pacer));
        this->writer.onResult(result(read.id, ObjectOutcome::NotFound), at(0));
        EXPECT_FALSE(this->writer.withdraw(ticket));
        const ObjectCreate second = this->create(1);
        EXPECT_EQ(second.key, first.key);
        EXPECT_EQ(second.value, first.value);
    }

    // Guards against an owner that goes on after another instance has sealed its journal.
    TEST_F(WriterTest, LosesOwnershipToASeal)
    {
        this->writer.append(encodeGroup({}));
        const ObjectCreate first = this->create(0);
        this->writer.onResult(result(first.id, ObjectOutcome::Conflict), at(0));
        const auto read = std::get<ObjectRead>(*this->writer.poll(at(0), this->ids, this->pacer));
        const std::string seal = encodeBatch({ "other", 1, true, {} });
        EXPECT_EQ(this->writer.onResult(result(read.id, ObjectOutcome::Ok, seal), at(0)), AppendProgress::Lost);
        EXPECT_FALSE(this->writer.poll(at(9), this->ids, this->pacer));
    }

    // Guards against batches above the object API's limit, and against losing the groups that do not fit.
    TEST_F(WriterTest, SplitsGroupsOverBatches)
    {
        const std::string large(400'000, 'x');
        for (int count = 0; count < 5; ++count)
            this->writer.append(
                encodeGroup({ CheckpointComplete {}, Finished { {}, {}, { 200, {}, large, true }, false } }));
        int batches = 0;
        for (; !this->writer.drained(); ++batches) {
            const ObjectCreate batch = this->create(batches);
            EXPECT_LE(batch.value.size(), batchLimit);
            this->writer.onResult(result(batch.id, ObjectOutcome::Ok), at(batches));
        }
        EXPECT_EQ(batches, 3);
    }

    // Guards against more writes than the budget, after any pattern of quiet times.
    RC_GTEST_PROP(WritePacer, KeepsTheRate, (const std::vector<std::uint16_t>& gaps))
    {
        WritePacer pacer(100, 4);
        Instant now {};
        double writes = 0;
        for (const std::uint16_t gap : gaps) {
            now += Duration(gap);
            if (!pacer.allows(now))
                continue;
            pacer.take(now);
            ++writes;
        }
        RC_ASSERT(writes <= 100 * toSeconds(now.time_since_epoch()) + 4 + 1e-6);
    }

    // Guards against a seal that fills the place of a deleted batch while the owner writes on behind it.
    TEST(JournalReader, DoesNotTrustASealBelowTheLastBatch)
    {
        ObjectCallIds ids;
        WritePacer pacer(1000, 100);
        JournalReader reader(instance, "claimer", ReadMode::SealAndRead);
        const auto next = [&] { return reader.poll(at(9), ids, pacer).front(); };
        const auto listed = [&](std::vector<ObjectEntry> entries) {
            reader.onResult({ std::get<ObjectList>(next()).id, ObjectOutcome::Ok, {}, 0, std::move(entries) }, at(0));
        };
        listed({ { batchKey(instance, 4), 1 } });
        const std::string batch = encodeBatch({ "owner", 4, false, {} });
        reader.onResult(result(std::get<ObjectRead>(next()).id, ObjectOutcome::Ok, batch), at(0));
        reader.onResult(result(std::get<ObjectCreate>(next()).id, ObjectOutcome::Ok), at(0));
        listed({ { batchKey(instance, 5), 9 }, { batchKey(instance, 8), 7 } });
        reader.onResult(result(std::get<ObjectRead>(next()).id, ObjectOutcome::Ok, batch), at(0));
        EXPECT_FALSE(reader.done());
        EXPECT_EQ(std::get<ObjectCreate>(next()).key, batchKey(instance, 9));
    }

    // Guards against sealing the journal of an owner that only this node cannot reach.
    TEST(JournalReader, DoesNotSealAJournalThatGrew)
    {
        ObjectCallIds ids;
        WritePacer pacer(1000, 100);
        JournalReader reader(instance, "claimer", ReadMode::SealAndRead);
        reader.expectLast(3);
        const auto list = std::get<ObjectList>(reader.poll(at(0), ids, pacer).front());
        reader.onResult({ list.id, ObjectOutcome::Ok, {}, 0, { { batchKey(instance, 4), 1 } } }, at(0));
        EXPECT_TRUE(reader.done());
        EXPECT_TRUE(reader.grew());
        EXPECT_EQ(reader.last(), 4u);
    }

    // Guards against a batch that can never be deleted because a delayed create brought it back.
    TEST(BatchCleaner, DeletesABatchThatCameBack)
    {
        ObjectCallIds ids;
        WritePacer pacer(1000, 100);
        JournalWriter writer(instance, "writer");
        writer.append(encodeGroup({}));
        const auto create = std::get<ObjectCreate>(*writer.poll(at(0), ids, pacer));
        writer.onResult(result(create.id, ObjectOutcome::Ok), at(0));
        BatchCleaner cleaner;
        cleaner.deleteBelow(2);
        const auto first = std::get<ObjectDelete>(*cleaner.poll(writer, at(1), ids, pacer));
        cleaner.onResult({ first.id, ObjectOutcome::Conflict, {}, 8, {} }, writer, at(1));
        const auto second = std::get<ObjectDelete>(*cleaner.poll(writer, at(2), ids, pacer));
        EXPECT_EQ(second.expected, 8u);
        cleaner.onResult(result(second.id, ObjectOutcome::Ok), writer, at(2));
        EXPECT_FALSE(cleaner.poll(writer, at(3), ids, pacer));
    }

    // Guards against unbounded memory, and against forgetting keys before their time.
    TEST(KeyLedger, KeepsSettledKeysWithinLimits)
    {
        KeyLedger ledger({ std::chrono::seconds(10), 3 });
        for (int number = 0; number < 5; ++number) {
            const KeyId key { WorkspaceName("w"), IdempotencyKey(std::to_string(number)) };
            ledger.replay(Finished { RequestId(std::to_string(number)), key, {}, false }, at(number));
        }
        ledger.expire(at(5));
        EXPECT_EQ(ledger.size(), 3u);
        ledger.expire(at(13.5));
        EXPECT_EQ(ledger.size(), 1u);
    }

    // Guards against running a request again because a checkpoint repeated its Accepted record.
    TEST(KeyLedger, NeverGoesBackToAnEarlierState)
    {
        KeyLedger ledger({});
        JournalRequest request;
        request.id = RequestId("r");
        request.key = { WorkspaceName("w"), IdempotencyKey("k") };
        ledger.replay(Dispatching { request.id, request.key, ServiceName("s"), UpstreamId("u"), 1 }, at(0));
        ledger.replay(Accepted { request }, at(0));
        EXPECT_EQ(ledger.find(request.key)->state, KeyState::Running);
    }

    // Guards against more owners than the write budget allows, uneven shares, and needless moves when a member joins.
    TEST(OwnerPlacement, SpreadsSlotsOverABoundedNumberOfOwners)
    {
        std::set<NodeId> alive;
        for (int number = 0; number < 450; ++number)
            alive.insert(NodeId("n" + std::to_string(number)));
        std::vector<NodeId> candidates = ownerCandidates(alive, 9);
        ASSERT_EQ(candidates.size(), 9u);
        const std::vector<NodeId> before = placeSlots(candidates);
        for (const NodeId& node : candidates)
            EXPECT_LE(std::count(before.begin(), before.end(), node), 126);
        candidates.pop_back();
        const std::vector<NodeId> after = placeSlots(candidates);
        std::size_t moved = 0;
        for (std::size_t slot = 0; slot < slotCount; ++slot)
            moved += before[slot] != after[slot] ? 1 : 0;
        EXPECT_LT(moved, slotCount / 4);
    }

    // Guards against deleting a journal before its retention time or without a seal.
    TEST(JournalSweeper, SealsAndLaterDeletesUnusedJournals)
    {
        ObjectCallIds ids;
        WritePacer pacer(1000, 100);
        JournalSweeper sweeper("sweeper", std::chrono::seconds(10), std::chrono::seconds(100));
        const auto unused = [](const OwnerInstance&) { return false; };
        std::map<std::string, std::string> objects { { batchKey(instance, 1),
            encodeBatch({ "owner", 1, false, {} }) } };
        for (int second = 0; second < 200; ++second) {
            for (const ObjectCommand& command : sweeper.poll(at(second), ids, pacer)) {
                ObjectResult answer { std::visit([](const auto& call) { return call.id; }, command), ObjectOutcome::Ok,
                    {}, 1, {} };
                for (const auto& [key, value] : objects)
                    answer.entries.push_back({ key, 1 });
                if (const auto* create = std::get_if<ObjectCreate>(&command))
                    objects[create->key] = create->value;
                if (const auto* read = std::get_if<ObjectRead>(&command))
                    answer.value = objects.at(read->key);
                if (const auto* removed = std::get_if<ObjectDelete>(&command))
                    objects.erase(removed->key);
                sweeper.onResult(answer, unused, at(second));
            }
            if (second == 90) {
                EXPECT_TRUE(decodeBatch(objects.at(batchKey(instance, 2)))->seal);
            }
        }
        EXPECT_TRUE(objects.empty());
    }

} // namespace
} // namespace teaselshore
