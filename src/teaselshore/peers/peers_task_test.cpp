#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <zmq.hpp>

#include "teaselshore/peers/peers_task.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    PeerMessage numbered(std::uint64_t number, std::size_t size = 0)
    {
        VersionEvidence evidence;
        evidence.pair.service = ServiceName(std::string(size, 'x'));
        evidence.fault.to.samples = number;
        return RequestMessage(evidence);
    }

    std::uint64_t numberOf(const PeerMessage& message)
    {
        return std::get<VersionEvidence>(std::get<RequestMessage>(message)).fault.to.samples;
    }

    /// @brief Peers task that records what it receives and what it could not send.
    class Peer {
    public:
        explicit Peer(
            std::string name, std::string address = "127.0.0.1:0", std::string cluster = "test", bool blocked = false)
        {
            PeersSettings settings {
                .node = NodeId(std::move(name)), .cluster = std::move(cluster), .address = std::move(address)
            };
            settings.highWaterMark = 10;
            settings.waitingLimit = 10;
            settings.waitingTimeout = 500ms;
            PeersHandlers handlers;
            handlers.onMessage = [this, blocked](Envelope envelope) {
                std::unique_lock lock(this->mutex);
                if (blocked)
                    this->changed.wait(lock, [this] { return this->released; });
                this->received.push_back(std::move(envelope));
                this->changed.notify_all();
            };
            handlers.onNotSent = [this](const std::string&, const PeerMessage& message) {
                const std::lock_guard lock(this->mutex);
                this->notSent.insert(numberOf(message));
                this->changed.notify_all();
            };
            this->task = PeersTask::start(std::move(settings), std::move(handlers), this->error);
        }
        ~Peer() { this->release(); }
        Peer(const Peer&) = delete;
        Peer& operator=(const Peer&) = delete;

        void release()
        {
            const std::lock_guard lock(this->mutex);
            this->released = true;
            this->changed.notify_all();
        }

        template <typename Condition> bool waitFor(Condition condition)
        {
            std::unique_lock lock(this->mutex);
            return this->changed.wait_for(lock, 10s, condition);
        }

        std::set<std::uint64_t> receivedNumbers()
        {
            const std::lock_guard lock(this->mutex);
            std::set<std::uint64_t> numbers;
            for (const Envelope& envelope : this->received)
                numbers.insert(numberOf(envelope.message));
            return numbers;
        }

        std::size_t notSentCount()
        {
            const std::lock_guard lock(this->mutex);
            return this->notSent.size();
        }

        std::mutex mutex;
        std::condition_variable changed;
        bool released = false;
        std::vector<Envelope> received;
        std::set<std::uint64_t> notSent;
        PeersError error {};
        std::unique_ptr<PeersTask> task;
    };

    // Guards against messages that reach the wrong peer, lose their order or name another sender address than the one
    // that answers reach.
    TEST(PeersTask, CarriesMessagesInOrderBetweenThreePeers)
    {
        Peer first("first");
        Peer second("second");
        Peer third("third");
        for (std::uint64_t number = 0; number < 5; ++number) {
            EXPECT_TRUE(first.task->send(second.task->address(), numbered(number)));
            EXPECT_TRUE(first.task->send(third.task->address(), numbered(100 + number)));
        }
        for (Peer* peer : { &second, &third }) {
            ASSERT_TRUE(peer->waitFor([&] { return peer->received.size() == 5; }));
            const std::uint64_t base = peer == &second ? 0 : 100;
            for (std::uint64_t number = 0; number < 5; ++number)
                EXPECT_EQ(numberOf(peer->received[number].message), base + number);
            EXPECT_EQ(peer->received[0].sender, NodeId("first"));
            EXPECT_TRUE(peer->task->send(peer->received[0].senderAddress, numbered(base)));
        }
        EXPECT_TRUE(first.waitFor([&] { return first.received.size() == 2; }));
        EXPECT_EQ(first.task->counters().messagesSent, 10u);
    }

    // Guards against a message to a stopped peer that is neither delivered nor reported, and against a connection to
    // it that is kept; and against a peer that came back on the same address and is never reached again.
    TEST(PeersTask, ReportsStoppedPeerAndReachesItWhenItIsBack)
    {
        Peer sender("sender");
        auto peer = std::make_unique<Peer>("peer");
        const std::string address = peer->task->address();
        sender.task->send(address, numbered(1));
        ASSERT_TRUE(peer->waitFor([&] { return peer->received.size() == 1; }));
        peer.reset();
        // The end of the connection becomes known a moment later; only later messages are certain to be not sent.
        std::this_thread::sleep_for(100ms);
        sender.task->send(address, numbered(2));
        EXPECT_TRUE(sender.waitFor([&] { return sender.notSent.contains(2); }));

        peer = std::make_unique<Peer>("peer-restarted", address);
        ASSERT_TRUE(peer->task);
        for (std::uint64_t number = 3; peer->receivedNumbers().empty() && number < 100; ++number) {
            sender.task->send(address, numbered(number));
            std::this_thread::sleep_for(100ms);
        }
        EXPECT_FALSE(peer->receivedNumbers().empty());
        peer.reset();
        sender.task->forget(address);
        sender.task->send("not an address", numbered(200));
        EXPECT_TRUE(sender.waitFor([&] { return sender.notSent.contains(200); }));
        EXPECT_EQ(sender.task->counters().connections, 0u);
    }

    // Guards against a slow peer that blocks the sender or makes it queue without a bound, and against messages that
    // are both reported as not sent and delivered.
    TEST(PeersTask, DropsMessagesToSlowPeerWithoutBlocking)
    {
        Peer sender("sender");
        Peer slow("slow", "127.0.0.1:0", "test", true);
        Peer other("other");
        constexpr std::uint64_t count = 2000;
        const auto start = std::chrono::steady_clock::now();
        for (std::uint64_t number = 0; number < count; ++number)
            sender.task->send(slow.task->address(), numbered(number, 100'000));
        EXPECT_LT(std::chrono::steady_clock::now() - start, 5s);
        sender.task->send(other.task->address(), numbered(1));
        EXPECT_TRUE(other.waitFor([&] { return other.received.size() == 1; }));
        ASSERT_TRUE(sender.waitFor([&] { return !sender.notSent.empty(); }));

        slow.release();
        EXPECT_TRUE(slow.waitFor([&] { return slow.received.size() + sender.notSentCount() == count; }));
        sender.task->stop();
        const std::set<std::uint64_t> delivered = slow.receivedNumbers();
        for (const std::uint64_t number : sender.notSent)
            EXPECT_FALSE(delivered.contains(number)) << number;
        EXPECT_EQ(sender.task->counters().notSent, sender.notSent.size());
    }

    // Guards against messages of another cluster, or bytes that are no message, reaching the decisions of a node.
    TEST(PeersTask, RefusesOtherClustersAndForeignBytes)
    {
        Peer receiver("receiver");
        Peer foreign("foreign", "127.0.0.1:0", "other cluster");
        foreign.task->send(receiver.task->address(), numbered(1));
        zmq::context_t context;
        zmq::socket_t socket(context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 1000);
        socket.connect("tcp://" + receiver.task->address());
        socket.send(zmq::str_buffer("no message"), zmq::send_flags::sndmore);
        socket.send(zmq::str_buffer("\xff\xff"), zmq::send_flags::none);
        for (int wait = 0; wait < 100 && receiver.task->counters().refused < 2; ++wait)
            std::this_thread::sleep_for(50ms);
        EXPECT_EQ(receiver.task->counters().refused, 2u);
        EXPECT_TRUE(receiver.received.empty());
    }

    // Guards against a planned stop that drops the messages sent right before it, such as the announcement itself.
    TEST(PeersTask, StopSendsWhatWasQueued)
    {
        Peer receiver("receiver");
        Peer sender("sender");
        for (std::uint64_t number = 0; number < 10; ++number)
            sender.task->send(receiver.task->address(), numbered(number));
        sender.task->stop();
        EXPECT_FALSE(sender.task->send(receiver.task->address(), numbered(11)));
        EXPECT_TRUE(receiver.waitFor([&] { return receiver.received.size() == 10; }));
    }

    // Guards against two processes on one address, and against an exception from an address that cannot be bound.
    TEST(PeersTask, ReportsAddressThatCannotBeBound)
    {
        Peer first("first");
        Peer second("second", first.task->address());
        EXPECT_FALSE(second.task);
        EXPECT_EQ(second.error, PeersError::AddressInUse);
        Peer invalid("invalid", "nowhere");
        EXPECT_FALSE(invalid.task);
        EXPECT_EQ(invalid.error, PeersError::InvalidAddress);
    }

} // namespace
} // namespace teaselshore
