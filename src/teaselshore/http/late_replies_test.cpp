#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test_support.hpp"

namespace teaselshore {
namespace {

    constexpr const char* echoName = "x-id";
    constexpr const char* requestBody = "the body";
    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;

    /// A call and what it reported.
    struct Call {
        std::string id;
        CallRecord record;
    };

    /// Plays a peer that names the request in each reply, and sends some replies a second time at any later moment.
    ///
    /// The body of a reply is the number of the call that it answers, which the client does not look at.
    class RepeatingPeer {
    public:
        struct Connection {
            std::unique_ptr<RawConnection> socket;
            /// Number and id of the call that waits for its reply.
            std::optional<std::pair<std::size_t, std::string>> waiting;
            /// Id, status and body of all replies so far.
            struct Reply {
                std::string id;
                int status = 0;
                std::string body;
            };
            std::vector<Reply> replies;
        };

        RepeatingPeer()
            : fixture([](const std::shared_ptr<ServerExchange>&) {})
        {
        }

        /// @brief Starts a call with this id, none if empty, and waits until the peer has read the request.
        void start(const std::string& id)
        {
            const std::size_t number = this->calls.size();
            this->calls.push_back(std::make_unique<Call>());
            this->calls.back()->id = id;
            HttpCall call = this->fixture.call("POST", "/" + std::to_string(number), requestBody);
            call.authority = this->server.authority();
            call.expectedEcho = HttpHeader { echoName, id };
            if (!id.empty())
                call.request.headers.add(echoName, id);
            this->fixture.start(std::move(call), this->calls.back()->record);
            this->fixture.runUntil([&] { return this->receive(number, id) || this->calls[number]->record.isDone(); });
        }

        /// @brief Replies to the call that waits on a connection, if one does.
        void reply(std::size_t index, int status)
        {
            Connection& connection = this->connections[index];
            if (!connection.waiting)
                return;
            const auto [number, id] = *std::exchange(connection.waiting, std::nullopt);
            connection.replies.push_back({ id, status, std::to_string(number) });
            send(connection, connection.replies.back());
            this->fixture.runUntil([&, call = number] { return this->calls[call]->record.isDone(); });
        }

        /// @brief Replies to the call that waits on a connection with another id than its own.
        void replyAs(std::size_t index, const std::string& id)
        {
            this->connections[index].waiting->second = id;
            this->reply(index, statusOk);
        }

        bool isWaiting(std::size_t index) const { return this->connections[index].waiting.has_value(); }

        /// @brief Sends an earlier reply on a connection once more, with these ids in place of its own if there are
        /// any.
        void repeat(std::size_t index, std::size_t reply, const std::optional<std::vector<std::string>>& ids = {})
        {
            Connection& connection = this->connections[index];
            if (connection.replies.empty() || !connection.socket)
                return;
            send(connection, connection.replies[reply % connection.replies.size()], ids);
            this->fixture.runUntil([] { return false; }, std::chrono::milliseconds(1));
        }

        /// @brief Sends the first bytes of an earlier reply's head, and then the reply that is due.
        void cutAndReply(std::size_t index, std::size_t bytes, int status)
        {
            Connection& connection = this->connections[index];
            const std::string copy = text(connection.replies.back(), {});
            connection.socket->trySend(copy.substr(0, bytes));
            const auto [number, id] = *std::exchange(connection.waiting, std::nullopt);
            connection.socket->trySend(text({ id, status, std::to_string(number) }, {}));
            this->fixture.runUntil(
                [&, call = number] { return this->calls[call]->record.isDone(); }, std::chrono::milliseconds(100));
        }

        /// @brief Returns the number of connections that the client has not closed.
        std::size_t openCount()
        {
            this->fixture.runUntil([] { return false; }, std::chrono::milliseconds(20));
            std::size_t open = 0;
            for (Connection& connection : this->connections) {
                bool ended = false;
                if (connection.socket)
                    connection.socket->receive(ended);
                open += connection.socket && !ended ? 1 : 0;
            }
            return open;
        }

        const CallRecord& record(std::size_t number) const { return this->calls[number]->record; }
        std::size_t callCount() const { return this->calls.size(); }
        std::size_t connectionCount() const { return this->connections.size(); }

        /// @brief Returns whether each call that was answered got its own reply.
        bool allGotTheirOwn() const
        {
            std::size_t number = 0;
            return std::all_of(this->calls.begin(), this->calls.end(), [&number](const auto& call) {
                const std::string own = std::to_string(number++);
                return !call->record.ended || call->record.body == own;
            });
        }

    private:
        /// @brief Reads a request from a new or an idle connection; returns false if none has arrived yet.
        bool receive(std::size_t number, const std::string& id)
        {
            while (auto accepted = this->server.accept()) {
                this->connections.emplace_back();
                this->connections.back().socket = std::move(accepted);
            }
            for (Connection& connection : this->connections) {
                bool ended = false;
                const std::string bytes = connection.socket ? connection.socket->receive(ended) : std::string();
                if (ended)
                    connection.socket.reset();
                if (bytes.empty())
                    continue;
                connection.waiting = { number, id };
                return true;
            }
            return false;
        }

        static void send(const Connection& connection, const Connection::Reply& reply,
            const std::optional<std::vector<std::string>>& ids = {})
        {
            // The client may have closed the connection.
            if (connection.socket)
                connection.socket->trySend(text(reply, ids));
        }

        static std::string text(const Connection::Reply& reply, const std::optional<std::vector<std::string>>& ids)
        {
            std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\nx-kind: refusal or not\r\n";
            for (const std::string& id : ids.value_or(std::vector { reply.id })) {
                if (!id.empty())
                    text += std::string(echoName) + ": " + id + "\r\n";
            }
            return text + "content-length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        }

        HttpFixture fixture;
        RawServer server;
        std::vector<std::unique_ptr<Call>> calls;
        std::vector<Connection> connections;
    };

    // Guards against the late copy of a refusal that is taken for the reply to the same request when that is sent over
    // the same connection again: the request then seems not to have run though it did.
    TEST(LateReplies, CopyOfARefusalDoesNotAnswerTheSameRequestLater)
    {
        RepeatingPeer peer;
        peer.start("a");
        ASSERT_EQ(peer.connectionCount(), 1u);
        peer.reply(0, statusUnavailable);
        ASSERT_EQ(peer.record(0).status, statusUnavailable);
        peer.start("a");
        peer.repeat(0, 0);
        ASSERT_EQ(peer.connectionCount(), 2u) << "a request is sent over a connection once";
        EXPECT_FALSE(peer.record(1).ended);
        peer.reply(1, statusOk);
        EXPECT_EQ(peer.record(1).status, statusOk);
        EXPECT_EQ(peer.record(1).body, "1");
    }

    // Guards against a new connection for every request, which would keep the first test too.
    TEST(LateReplies, OtherRequestsKeepUsingTheConnection)
    {
        RepeatingPeer peer;
        peer.start("a");
        peer.reply(0, statusUnavailable);
        for (const char* id : { "b", "c", "d" }) {
            peer.start(id);
            peer.repeat(0, 0);
            peer.reply(0, statusOk);
        }
        EXPECT_EQ(peer.connectionCount(), 1u);
        EXPECT_TRUE(peer.record(3).ended);
        EXPECT_TRUE(peer.allGotTheirOwn());
    }

    // Guards against late replies that are taken for the next reply since they name no request, or several.
    TEST(LateReplies, ReplyThatNamesNoSingleRequestAnswersNone)
    {
        for (const std::vector<std::string>& ids : { std::vector<std::string> {}, { "b", "a" }, { "a", "b" } }) {
            RepeatingPeer peer;
            peer.start("a");
            peer.reply(0, statusUnavailable);
            peer.start("b");
            peer.repeat(0, 0, ids);
            ASSERT_TRUE(peer.record(1).error);
            EXPECT_EQ(peer.record(1).error->kind, HttpError::Kind::MalformedReply);
            EXPECT_TRUE(peer.record(1).error->requestMayHaveBeenSent);
        }
    }

    // Guards against the copy of a refusal that breaks off inside its head: joined with the reply that is due, it shows
    // the status of the refusal with the id of the request that ran.
    TEST(LateReplies, CutCopyDoesNotJoinWithTheOwnReply)
    {
        const std::size_t headBytes = std::string("HTTP/1.1 503 Status\r\nx-kind: refusal or not\r\nx-id: ").size();
        for (std::size_t bytes = 1; bytes <= headBytes; ++bytes) {
            RepeatingPeer peer;
            peer.start("a");
            peer.reply(0, statusUnavailable);
            peer.start("b");
            peer.cutAndReply(0, bytes, statusOk);
            EXPECT_FALSE(peer.record(1).ended) << "cut after " << bytes << " bytes";
        }
    }

    // Guards against replies to earlier requests that a request without an id takes for its own.
    TEST(LateReplies, RequestWithoutIdSharesNoConnection)
    {
        RepeatingPeer peer;
        peer.start("a");
        peer.reply(0, statusUnavailable);
        peer.start("");
        peer.repeat(0, 0);
        EXPECT_FALSE(peer.record(1).ended);
        ASSERT_EQ(peer.connectionCount(), 2u);
        peer.reply(1, statusOk);
        EXPECT_EQ(peer.record(1).body, "1");
        peer.start("");
        EXPECT_EQ(peer.connectionCount(), 3u);
    }

    // Guards against a caller that fills the upstream's connections by sending one id, or none, again and again.
    TEST(LateReplies, RepeatedIdsLeaveFewConnectionsOpen)
    {
        constexpr std::size_t calls = 100;
        for (const char* id : { "a", "" }) {
            RepeatingPeer peer;
            for (std::size_t call = 0; call < calls; ++call) {
                peer.start(id);
                peer.reply(peer.connectionCount() - 1, statusOk);
                ASSERT_TRUE(peer.record(call).ended);
            }
            EXPECT_LE(peer.openCount(), 1u) << "id: " << id;
        }
    }

    // Guards against a new connection though another idle one could take the request.
    TEST(LateReplies, AnotherIdleConnectionIsUsedIfTheLastOneCannotBe)
    {
        RepeatingPeer peer;
        peer.start("a");
        peer.start("b");
        ASSERT_EQ(peer.connectionCount(), 2u);
        peer.reply(0, statusOk);
        peer.reply(1, statusOk);
        peer.start("b");
        EXPECT_EQ(peer.connectionCount(), 2u);
        EXPECT_TRUE(peer.isWaiting(0));
    }

    // Guards against a connection whose record of ids grows for good.
    TEST(LateReplies, ConnectionIsReplacedAfterManyRequests)
    {
        constexpr std::size_t calls = 2100;
        RepeatingPeer peer;
        for (std::size_t call = 0; call < calls; ++call) {
            peer.start("id-" + std::to_string(call));
            peer.reply(peer.connectionCount() - 1, statusOk);
        }
        EXPECT_EQ(peer.connectionCount(), 3u);
        EXPECT_EQ(peer.openCount(), 1u);
    }

    // Guards against a request without an id that waits for its deadline since the peer names its reply by one.
    TEST(LateReplies, RequestWithoutIdTakesAReplyWithOne)
    {
        RepeatingPeer peer;
        peer.start("");
        peer.replyAs(0, "generated");
        EXPECT_TRUE(peer.record(0).ended);
    }

    /// One step of a drawn sequence; which numbers count depends on the kind.
    struct Step {
        int kind = 0;
        std::size_t connection = 0;
        std::size_t detail = 0;
    };

    void showValue(const Step& step, std::ostream& out)
    {
        out << "(" << step.kind << ", " << step.connection << ", " << step.detail << ")";
    }

    void play(RepeatingPeer& peer, const Step& step)
    {
        const std::vector<std::string> ids { "a", "a", "a", "b", "b", "b", "c", "" };
        if (step.kind <= 1 || peer.connectionCount() == 0) {
            peer.start(ids[step.detail]);
            return;
        }
        const std::size_t index = step.connection % peer.connectionCount();
        switch (step.kind) {
        case 2:
        case 3:
            peer.reply(index, statusUnavailable);
            return;
        case 4:
            peer.reply(index, statusOk);
            return;
        case 5:
            peer.repeat(index, step.detail, std::vector<std::string> {});
            return;
        default:
            peer.repeat(index, step.detail);
            return;
        }
    }

    // Guards against any order of requests, refusals and copies in which a call gets a reply to another request, so
    // that one that ran is taken for refused.
    RC_GTEST_PROP(LateReplies, EachCallGetsItsOwnReplyOrNone, ())
    {
        constexpr std::size_t stepCount = 40;
        const auto draw = rc::gen::apply(
            [](int kind, std::size_t connection, std::size_t detail) {
                return Step { kind, connection, detail };
            },
            rc::gen::inRange(0, 8), rc::gen::inRange<std::size_t>(0, 4), rc::gen::inRange<std::size_t>(0, 8));
        const auto steps = *rc::gen::container<std::vector<Step>>(stepCount, draw);
        RepeatingPeer peer;
        for (const Step& step : steps)
            play(peer, step);
        for (std::size_t index = 0; index < peer.connectionCount(); ++index)
            peer.reply(index, statusOk);
        RC_ASSERT(peer.allGotTheirOwn());
    }

} // namespace
} // namespace teaselshore
