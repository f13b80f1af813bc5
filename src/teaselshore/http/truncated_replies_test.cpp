#include <algorithm>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include <gtest/gtest.h>

#include "test_support.hpp"

namespace teaselshore {
namespace {

    constexpr std::string_view unframedHead = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    constexpr std::string_view endOfHead = "\r\n\r\n";
    constexpr std::size_t maxHeadBytes = 4096;

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
            HttpCall call = this->fixture.call("POST", "/", std::string(draw.uploadBytes, 'u'));
            call.authority = this->server.authority();
            call.acceptUnframedReply = true;
            this->fixture.start(std::move(call), outcome.record);
            EXPECT_TRUE(this->fixture.runUntil([&] { return (this->connection = this->server.accept()) != nullptr; }));
            this->received = 0;
            this->readHead();
            this->requestBytes = this->received + draw.uploadBytes;
            this->readUpTo(this->received + draw.readBytes);
            this->connection->send(std::string(unframedHead) + std::string(draw.replyBytes, 'r'));
            this->wait(draw.pause);
            this->end(draw.ending, outcome);
            EXPECT_TRUE(this->fixture.runUntil([&] { return outcome.record.isDone(); })) << draw;
            return outcome;
        }

    private:
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

} // namespace
} // namespace teaselshore
