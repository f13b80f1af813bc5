#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include <benchmark/benchmark.h>

#include "fake_store_test_support.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/journal/slot_owner.hpp"

namespace teaselshore {
namespace {

    constexpr Duration storeLatency = std::chrono::milliseconds(5);
    constexpr Duration warmUp = std::chrono::seconds(6);
    constexpr Duration measured = std::chrono::seconds(10);
    constexpr double platformWrites = 300;

    // Slot owners in simulated time against a store with a fixed latency and an upstream that answers at once, so that
    // the time from request to answer is the time that the journal adds.
    class OrderLoad {
    public:
        OrderLoad(std::size_t ownerCount, double ordersPerSecond)
            : rate(ordersPerSecond)
        {
            SlotOwnerSettings settings;
            settings.maxOwners = ownerCount;
            settings.writesPerSecond = platformWrites;
            settings.claimDelay = std::chrono::seconds(1);
            for (std::size_t index = 0; index < ownerCount; ++index)
                this->owners.push_back(std::make_unique<SlotOwner>(NodeId("n" + std::to_string(index)), settings));
            for (std::size_t index = 0; index < ownerCount; ++index) {
                for (std::size_t other = 0; other < ownerCount; ++other)
                    this->deliver(index, MemberAlive { NodeId("n" + std::to_string(other)) });
                this->tick(index);
            }
        }

        void run()
        {
            this->runUntil(Instant(warmUp));
            this->startWrites = this->writes;
            this->order();
            this->runUntil(Instant(warmUp + measured));
            std::sort(this->latencies.begin(), this->latencies.end());
        }

        double answersPerSecond() const { return static_cast<double>(this->latencies.size()) / toSeconds(measured); }
        double writesPerSecond() const
        {
            return static_cast<double>(this->writes - this->startWrites) / toSeconds(measured);
        }
        double refusedPerSecond() const { return static_cast<double>(this->refused) / toSeconds(measured); }
        double latency(double share) const
        {
            if (this->latencies.empty())
                return 0;
            const double position = share * static_cast<double>(this->latencies.size() - 1);
            return toMilliseconds(this->latencies[static_cast<std::size_t>(position)]);
        }

    private:
        struct Item {
            Instant at;
            std::uint64_t number = 0;
            std::function<void()> action;

            bool operator<(const Item& other) const
            {
                return this->at != other.at ? this->at > other.at : this->number > other.number;
            }
        };

        void after(Duration delay, std::function<void()> action)
        {
            this->queue.push({ this->now + delay, ++this->items, std::move(action) });
        }

        void runUntil(Instant end)
        {
            while (!this->queue.empty() && this->queue.top().at <= end) {
                const Item item = this->queue.top();
                this->queue.pop();
                this->now = item.at;
                item.action();
            }
            this->now = end;
        }

        void tick(std::size_t index)
        {
            this->deliver(index, Tick {});
            const Duration wait
                = std::max<Duration>(this->owners[index]->nextTick() - this->now, std::chrono::milliseconds(1));
            this->after(wait, [this, index] { this->tick(index); });
        }

        void order()
        {
            this->after(fromSeconds(this->random.exponential(1 / this->rate)), [this] { this->order(); });
            JournalRequest request;
            request.key = { WorkspaceName("households"), IdempotencyKey(std::to_string(++this->keys)) };
            const Slot slot = slotOf(request.key.workspace, request.key.key);
            request.id = makeRequestId(slot, request.key.key.value());
            request.service = ServiceName("ordering");
            request.path = "/orders";
            request.body = std::string(200, 'x');
            for (std::size_t index = 0; index < this->owners.size(); ++index) {
                if (!this->owners[index]->serves(slot))
                    continue;
                this->started[this->keys] = this->now;
                this->deliver(index, ClientRequest { this->keys, request, UpstreamId("u"), false });
                return;
            }
        }

        void deliver(std::size_t index, const SlotEvent& event)
        {
            for (const SlotCommand& command : this->owners[index]->handle(event, this->now)) {
                if (const auto* call = std::get_if<ObjectCommand>(&command))
                    this->callStore(index, *call);
                if (const auto* dispatch = std::get_if<DispatchUpstream>(&command))
                    this->after({}, [this, index, id = dispatch->request.id, attempt = dispatch->attempt] {
                        this->deliver(index, UpstreamFinished { id, attempt, { 200, {}, "ok", true } });
                    });
                if (const auto* answer = std::get_if<AnswerCaller>(&command))
                    this->onAnswer(*answer);
            }
        }

        void callStore(std::size_t index, const ObjectCommand& command)
        {
            const bool write
                = !std::holds_alternative<ObjectRead>(command) && !std::holds_alternative<ObjectList>(command);
            this->writes += write ? 1 : 0;
            this->after(storeLatency / 2, [this, index, command] {
                ObjectResult result = this->store.apply(command);
                this->after(
                    storeLatency / 2, [this, index, result = std::move(result)] { this->deliver(index, result); });
            });
        }

        void onAnswer(const AnswerCaller& answer)
        {
            if (std::holds_alternative<AnswerFinished>(answer.answer))
                this->latencies.push_back(this->now - this->started.at(answer.caller));
            else
                ++this->refused;
        }

        double rate;
        std::vector<std::unique_ptr<SlotOwner>> owners;
        test::FakeStore store;
        RandomSource random { 1 };
        Instant now {};
        std::priority_queue<Item> queue;
        std::uint64_t items = 0;
        std::uint64_t keys = 0;
        std::uint64_t writes = 0;
        std::uint64_t startWrites = 0;
        std::uint64_t refused = 0;
        std::map<CallerId, Instant> started;
        std::vector<Duration> latencies;
    };

    // Arguments: owners, offered orders per second. The time that Google Benchmark prints is the CPU time of the run.
    void benchmarkOrders(benchmark::State& state)
    {
        for ([[maybe_unused]] auto iteration : state) {
            OrderLoad load(static_cast<std::size_t>(state.range(0)), static_cast<double>(state.range(1)));
            load.run();
            state.counters["orders/s"] = load.answersPerSecond();
            state.counters["refused/s"] = load.refusedPerSecond();
            state.counters["writes/s"] = load.writesPerSecond();
            state.counters["orders/write"] = load.answersPerSecond() / load.writesPerSecond();
            state.counters["p50 ms"] = load.latency(0.5);
            state.counters["p99 ms"] = load.latency(0.99);
        }
    }

    BENCHMARK(benchmarkOrders)
        ->ArgNames({ "owners", "offered" })
        ->ArgsProduct({ { 1, 3, 9 }, { 20, 200, 2000, 10'000 } })
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace teaselshore
