#include <algorithm>
#include <functional>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "test_support.hpp"

namespace teaselshore {
namespace {

    constexpr std::string_view unframedHead = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    constexpr std::string_view endOfHead = "\r\n\r\n";
    constexpr std::size_t maxHeadBytes = 4096;
    /// Time after which a socket that got nothing gets no more.
    constexpr Duration quietTime = std::chrono::milliseconds(20);
    /// Rounds of the loop in which the client reads a reply and then the end of the connection.
    constexpr int roundsUntilEnd = 3;
    constexpr Duration pollTime = std::chrono::milliseconds(1);
    constexpr std::size_t kibibyte = 1024;

    enum class Ending {
        Reset,
        EndAndReset,
        EndAndLaterReset,
        EndAndReadOn,
        ReadAllAndClose,
    };

    /// When an upstream replies to an upload and how it ends the connection.
    struct Draw {
        std::size_t uploadBytes = 0;
        /// Bytes of the body that the upstream reads before it replies.
        std::size_t readBytes = 0;
        std::size_t replyBytes = 0;
        /// Time between the reply and the end.
        Duration pause {};
        Ending ending = Ending::Reset;
    };

    std::ostream& operator<<(std::ostream& out, const Draw& draw)
    {
        return out << "upload " << draw.uploadBytes << ", read " << draw.readBytes << ", reply " << draw.replyBytes
                   << ", pause " << std::chrono::duration_cast<std::chrono::milliseconds>(draw.pause).count()
                   << " ms, ending " << static_cast<int>(draw.ending);
    }

    struct Outcome {
        CallRecord record;
        /// The request had arrived whole when the upstream ended its reply in order, and no reset came with the end.
        bool endedInOrder = false;
    };

    /// Plays an upstream that replies without a length while the request may still be on its way.
    class EarlyUpstream {
    public:
        EarlyUpstream()
            : fixture([](const std::shared_ptr<ServerExchange>&) {})
        {
        }

        Outcome run(const Draw& draw)
        {
            Outcome outcome;
            this->begin(std::string(draw.uploadBytes, 'u'), outcome.record);
            this->readUpTo(this->received + draw.readBytes);
            this->connection->send(std::string(unframedHead) + std::string(draw.replyBytes, 'r'));
            this->wait(draw.pause);
            this->end(draw.ending, outcome);
            EXPECT_TRUE(this->fixture.runUntil([&] { return outcome.record.isDone(); })) << draw;
            return outcome;
        }

        /// Ends its side before it reads the body. What the client's socket has arrives before the client looks again.
        CallRecord endBeforeTheBody(std::size_t uploadBytes)
        {
            CallRecord record;
            this->begin(std::string(uploadBytes, 'u'), record);
            this->wait(quietTime);
            EXPECT_LT(this->connection->unreadBytes(), uploadBytes) << "the request has arrived";
            this->connection->send(std::string(unframedHead) + "part");
            this->connection->endSending();
            this->readWithoutClient();
            EXPECT_TRUE(this->fixture.runUntil([&] {
                this->connection->receiveAtMost(this->requestBytes);
                return record.isDone();
            }));
            return record;
        }

        /// Reads the request, ends its side, and resets the connection as soon as the client can have read the end.
        CallRecord resetAfterTheEnd(std::size_t uploadBytes)
        {
            CallRecord record;
            this->begin(std::string(uploadBytes, 'u'), record);
            this->readUpTo(this->requestBytes);
            const std::string reply = "part";
            this->connection->send(std::string(unframedHead) + reply);
            this->connection->endSending();
            // Runs once in each round of the loop, and not later than a timer that the client sets meanwhile.
            int rounds = 0;
            std::function<void()> step = [&] {
                rounds += record.body == reply ? 1 : 0;
                if (rounds == roundsUntilEnd)
                    this->connection->reset();
                else
                    this->fixture.loop->runAfter(Duration(0), step);
            };
            this->fixture.loop->runAfter(Duration(0), step);
            EXPECT_TRUE(this->fixture.runUntil([&] { return rounds == roundsUntilEnd && record.isDone(); }));
            return record;
        }

        /// Replies once it has read the request, and returns the body as it arrived.
        std::string receiveBody(const std::string& body, CallRecord& record)
        {
            this->begin(body, record);
            std::string arrived;
            EXPECT_TRUE(this->fixture.runUntil([&] {
                arrived += this->connection->receiveAtMost(body.size() + 1 - arrived.size());
                return arrived.size() >= body.size();
            }));
            this->connection->send(std::string(unframedHead) + "whole");
            this->connection->endSending();
            EXPECT_TRUE(this->fixture.runUntil([&] { return record.isDone(); }));
            return arrived;
        }

    private:
        void begin(std::string body, CallRecord& record)
        {
            const std::size_t bodyBytes = body.size();
            HttpCall call = this->fixture.call("POST", "/", std::move(body));
            call.authority = this->server.authority();
            call.acceptUnframedReply = true;
            this->fixture.start(std::move(call), record);
            EXPECT_TRUE(this->fixture.runUntil([&] { return (this->connection = this->server.accept()) != nullptr; }));
            this->received = 0;
            this->readHead();
            this->requestBytes = this->received + bodyBytes;
        }

        void readWithoutClient()
        {
            for (Duration quiet {}; quiet < quietTime; quiet += pollTime) {
                if (!this->connection->receiveAtMost(this->requestBytes).empty())
                    quiet = Duration(0);
                std::this_thread::sleep_for(pollTime);
            }
        }

        void readHead()
        {
            std::string head;
            EXPECT_TRUE(this->fixture.runUntil([&] {
                // One byte at a time, so that the body stays in the socket.
                while (head.size() < maxHeadBytes && !head.ends_with(endOfHead)) {
                    const std::string byte = this->connection->receiveAtMost(1);
                    if (byte.empty())
                        return false;
                    head += byte;
                }
                return true;
            }));
            this->received = head.size();
        }

        void readUpTo(std::size_t total)
        {
            EXPECT_TRUE(this->fixture.runUntil([&] {
                while (this->received < total) {
                    const std::size_t size = this->connection->receiveAtMost(total - this->received).size();
                    if (size == 0)
                        return false;
                    this->received += size;
                }
                return true;
            }));
        }

        void wait(Duration time)
        {
            if (time > Duration(0))
                this->fixture.runUntil([] { return false; }, time);
        }

        void end(Ending ending, Outcome& outcome)
        {
            if (ending == Ending::Reset) {
                this->connection->reset();
                return;
            }
            if (ending == Ending::ReadAllAndClose)
                this->readUpTo(this->requestBytes);
            const bool arrived = this->received + this->connection->unreadBytes() == this->requestBytes;
            this->connection->endSending();
            outcome.endedInOrder = arrived && ending != Ending::EndAndReset;
            if (ending == Ending::EndAndLaterReset)
                this->wait(std::chrono::milliseconds(2));
            if (ending == Ending::EndAndReset || ending == Ending::EndAndLaterReset)
                this->connection->reset();
            if (ending == Ending::EndAndReadOn) {
                this->fixture.runUntil([&] {
                    this->connection->receiveAtMost(this->requestBytes);
                    return outcome.record.isDone();
                });
            }
        }

        HttpFixture fixture;
        RawServer server;
        std::unique_ptr<RawConnection> connection;
        std::size_t received = 0;
        std::size_t requestBytes = 0;
    };

    /// Half of the uploads are larger than what the sockets' buffers take.
    Draw draw(std::mt19937_64& random)
    {
        constexpr std::size_t smallBytes = std::size_t { 64 } * 1024;
        constexpr std::size_t largeBytes = std::size_t { 12 } * 1024 * 1024;
        const auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
        Draw drawn;
        drawn.uploadBytes = below(below(2) == 0 ? smallBytes : largeBytes);
        drawn.readBytes = below(4) == 0 ? drawn.uploadBytes : below(drawn.uploadBytes + 1);
        drawn.replyBytes = below(smallBytes);
        drawn.pause = std::chrono::milliseconds(below(3));
        drawn.ending = static_cast<Ending>(below(5));
        return drawn;
    }

    // Guards against a truncated reply without a length that is reported as complete: a reset that a write of the
    // upload saw first leaves an ordinary end for the next read, and an upstream that ends its side early may reset
    // afterwards.
    TEST(TruncatedReplies, UnframedReplyIsCompleteOnlyAfterTheWholeRequest)
    {
        constexpr int draws = 300;
        constexpr std::uint64_t seed = 7;
        std::mt19937_64 random(seed);
        EarlyUpstream upstream;
        int complete = 0;
        int partial = 0;
        int falselyComplete = 0;
        int falselyPartial = 0;
        for (int index = 0; index < draws; ++index) {
            const Draw drawn = draw(random);
            const Outcome outcome = upstream.run(drawn);
            (outcome.record.ended ? complete : partial) += 1;
            if (outcome.record.ended && !outcome.endedInOrder) {
                ++falselyComplete;
                ADD_FAILURE() << "complete, draw " << index << ": " << drawn;
            }
            if (drawn.ending == Ending::ReadAllAndClose && !outcome.record.ended) {
                ++falselyPartial;
                ADD_FAILURE() << "partial, draw " << index << ": " << drawn;
            }
            if (!outcome.record.ended) {
                ASSERT_TRUE(outcome.record.error) << drawn;
                EXPECT_EQ(outcome.record.error->kind, HttpError::Kind::ConnectionClosed) << drawn;
                EXPECT_TRUE(outcome.record.error->requestMayHaveBeenSent) << drawn;
            }
        }
        RecordProperty("complete", complete);
        RecordProperty("partial", partial);
        EXPECT_GT(complete, 0);
        EXPECT_GT(partial, 0);
        EXPECT_EQ(falselyComplete, 0) << "of " << draws << ", seed " << seed;
        EXPECT_EQ(falselyPartial, 0) << "of " << draws << ", seed " << seed;
    }

    void expectPartial(const CallRecord& record)
    {
        EXPECT_FALSE(record.ended);
        ASSERT_TRUE(record.error);
        EXPECT_EQ(record.error->kind, HttpError::Kind::ConnectionClosed);
        EXPECT_TRUE(record.error->requestMayHaveBeenSent);
    }

    // Guards against a truncated reply that is reported as complete since the request arrived, after the upstream had
    // ended its side, from the buffer of the client's socket before the client looked at the connection.
    TEST(TruncatedReplies, UnframedReplyThatEndsBeforeTheBodyIsPartial)
    {
        EarlyUpstream upstream;
        for (const std::size_t kibibytes : { 200, 300, 600, 1024, 3000, 8000, 12000 }) {
            SCOPED_TRACE(kibibytes);
            expectPartial(upstream.endBeforeTheBody(kibibytes * kibibyte));
        }
    }

    // Guards against a reply that is reported as complete since its end was read a moment before the reset.
    TEST(TruncatedReplies, UnframedReplyThatIsResetAfterItsEndIsPartial)
    {
        EarlyUpstream upstream;
        for (const std::size_t kibibytes : { 0, 1, 20, 33, 200, 1024, 8000 }) {
            SCOPED_TRACE(kibibytes);
            expectPartial(upstream.resetAfterTheEnd(kibibytes * kibibyte));
        }
    }

    // Guards against request bodies that lose, repeat or mix bytes since they are written in parts.
    TEST(TruncatedReplies, RequestOfAnySizeArrivesAsItIs)
    {
        EarlyUpstream upstream;
        std::mt19937_64 random(1);
        std::vector<std::size_t> sizes { 0, 1, 1000 * kibibyte, 8000 * kibibyte };
        for (const std::size_t kibibytes : { 1, 31, 32, 33, 64, 65, 512 })
            sizes.insert(sizes.end(), { kibibytes * kibibyte - 1, kibibytes * kibibyte, kibibytes * kibibyte + 1 });
        for (const std::size_t size : sizes) {
            std::string body(size, '\0');
            std::generate(body.begin(), body.end(), [&random] { return static_cast<char>(random()); });
            CallRecord record;
            EXPECT_TRUE(upstream.receiveBody(body, record) == body) << size;
            EXPECT_TRUE(record.ended) << size;
            EXPECT_EQ(record.body, "whole") << size;
        }
    }

} // namespace
} // namespace teaselshore
