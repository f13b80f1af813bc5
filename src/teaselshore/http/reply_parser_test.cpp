#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>

#include "reply_parser.hpp"

namespace teaselshore {
namespace {

    using Progress = ReplyParser::Progress;

    class RecordingSink : public ReplySink {
    public:
        bool onReplyHead(int, const HttpHeaders&, bool) override
        {
            this->hasHead = true;
            return true;
        }

        bool onReplyBytes(std::string_view bytes) override
        {
            this->body += bytes;
            return true;
        }

        bool hasHead = false;
        std::string body;
    };

    /// Parses bytes that arrive in parts of the given size, and then the orderly end of the connection.
    Progress parse(std::string_view bytes, std::size_t partSize, RecordingSink& sink)
    {
        ReplyParser parser(sink, false);
        std::string buffer;
        while (!bytes.empty()) {
            const std::string_view part = bytes.substr(0, partSize);
            bytes.remove_prefix(part.size());
            buffer += part;
            std::size_t used = 0;
            const Progress progress = parser.put(buffer, used);
            buffer.erase(0, used);
            if (progress != Progress::NeedsMore)
                return progress;
        }
        return parser.putEnd();
    }

    // Guards against callers that wait for their deadline since a chunk or a body is announced that can never arrive.
    TEST(ReplyParser, ChunkOrBodyThatCannotArriveIsMalformed)
    {
        for (const std::string rest : { "transfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
                 "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n10000000000\r\nx",
                 "content-length: 18446744073709551615\r\n\r\nx", "content-length: 1099511627776\r\n\r\nx" }) {
            RecordingSink sink;
            EXPECT_EQ(parse("HTTP/1.1 200 OK\r\n" + rest, 1, sink), Progress::Malformed) << rest;
        }
        RecordingSink sink;
        EXPECT_EQ(parse("HTTP/1.1 200 OK\r\ncontent-length: 4294967296\r\n\r\nx", 1, sink), Progress::BrokenOff);
    }

    // Guards against a response that is taken for complete, with an empty or short body, although its upstream stopped
    // in the middle of the head and closed the connection in order.
    TEST(ReplyParser, HeadThatBreaksOffIsNoResponse)
    {
        const std::vector<std::string> heads {
            "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 4\r\nx-mark: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-mark: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-mark: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nx-mark: 1\r\nconnection: close\r\n\r\n",
            "HTTP/1.0 200 OK\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nx-mark: 1\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-mark: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-mark: 1\r\n\r\n",
        };
        for (const std::string& head : heads) {
            for (std::size_t length = 0; length < head.size(); ++length) {
                for (const std::size_t partSize : { std::size_t { 1 }, head.size() }) {
                    RecordingSink sink;
                    EXPECT_EQ(parse(head.substr(0, length), partSize, sink), Progress::BrokenOff)
                        << head << " after " << length;
                    EXPECT_FALSE(sink.hasHead) << head << " after " << length;
                }
            }
        }
    }

    // Guards against a body that is taken for complete although it breaks off. Only one that ends with its connection
    // may end anywhere.
    TEST(ReplyParser, BodyThatBreaksOffIsNoResponse)
    {
        const std::string sized = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
        const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        const std::string unframed = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
        for (const auto& [head, body] : { std::pair(sized, std::string("body")),
                 std::pair(chunked, std::string("2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")) }) {
            for (std::size_t length = 0; length < body.size(); ++length) {
                RecordingSink sink;
                EXPECT_EQ(parse(head + body.substr(0, length), 1, sink), Progress::BrokenOff) << length;
            }
            RecordingSink sink;
            EXPECT_EQ(parse(head + body, 1, sink), Progress::Done);
            EXPECT_EQ(sink.body, "body");
        }
        for (std::size_t length = 0; length <= 4; ++length) {
            RecordingSink sink;
            EXPECT_EQ(parse(unframed + std::string("body").substr(0, length), 1, sink), Progress::Done) << length;
        }
    }

} // namespace
} // namespace teaselshore
