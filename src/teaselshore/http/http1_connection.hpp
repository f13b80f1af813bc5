#pragma once

#include <memory>
#include <optional>
#include <string>

#include "h2o.hpp"
#include "request_parser.hpp"
#include "teaselshore/base/byte_budget.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

class Http1Exchange;
class ServerCore;

/// @brief One caller's HTTP/1.x connection: reads a request, waits for its answer, then reads the next one.
///
/// A refused request is answered and the connection closed, since the bytes behind it cannot be told from a request.
class Http1Connection {
public:
    Http1Connection(ServerCore& core, h2o_socket_t* socket);
    ~Http1Connection();
    Http1Connection(const Http1Connection&) = delete;
    Http1Connection& operator=(const Http1Connection&) = delete;

    /// @brief Starts to read. The socket may be handed over to h2o's HTTP/2 if the client begins with its preface.
    void start();
    /// @brief Closes the connection soon if it is idle; otherwise after the answer that announces it.
    void closeWhenIdle();
    /// @brief Closes the connection at once.
    void breakOff();
    /// @brief Closes the connection if it waits for a request of which no byte has arrived.
    void closeIfIdle();
    /// @brief Like breakOff(), and counts a request of which bytes have arrived and that gets no answer.
    void endWithServer();

    /// @brief Methods of the open exchange.
    void startAnswer(int status, const HttpHeaders& headers, std::optional<std::size_t> length);
    /// @brief Sends the head at the end of this round of the loop.
    void flushSoon();
    void write(std::string_view bytes);
    void finish();
    /// @brief Ends the answer without its end: after the pending bytes have left, or at once.
    void abort(bool keepPending);
    std::size_t pendingBytes() const { return this->pending.size() + this->sending.size() - this->sentBytes; }
    /// @brief Returns whether bytes of a request have arrived that no exchange has yet.
    bool isReceiving() const;
    /// @brief Bytes that the client has not acknowledged, those that the kernel keeps included.
    std::size_t unsentBytes() const;

private:
    /// How the end of an answer's body is marked.
    enum class Framing {
        Length,
        Chunked,
        EndOfConnection,
        NoBody,
    };
    enum class State {
        /// No byte of the next request has arrived.
        Idle,
        Reading,
        /// The handler has the request, or its answer is being sent.
        Answering,
        /// The last answer was sent; waits for the end of the client's bytes.
        Lingering,
        Closed,
    };
    enum class Received {
        /// More may have arrived.
        Part,
        All,
        /// The client ended its side, or the connection broke.
        End,
    };

    static void onReadable(h2o_socket_t* socket, const char* error);
    static void onWritten(h2o_socket_t* socket, const char* error);

    /// @brief Reads what has arrived, up to a bound.
    Received receive();
    void onReceived(Received received);
    void readRequests();
    bool readRequest();
    bool handOverToHttp2();
    /// @brief Returns false if the request that is being read takes more memory than is left.
    bool reserveMemory(std::size_t unparsedBytes);
    void dispatch();
    void refuse(int status, std::string_view reason, HttpHeaders headers = {});
    /// @brief Refuses a request that the process has no memory for, before its body is read as far as possible.
    void refuseForMemory();
    /// @brief Notes that nothing follows, and watches that the client reads what is left.
    void completeAnswer();
    void expectProgress();
    void flush();
    void writeNext();
    /// @brief Size of the write that is in flight or comes next.
    std::size_t writeSize() const;
    void onFlushed();
    void endAnswer();
    void nextRequest();
    void linger();
    std::size_t kernelBytes() const;
    /// @brief Returns whether bytes of the client wait in the kernel.
    bool hasUnreadBytes() const;
    /// @brief Returns whether bytes of a further request have arrived.
    bool hasNextRequest() const;
    /// @brief Counts and logs, once, a request that is dropped though no answer has announced the end of the
    /// connection.
    void noteDropped(std::string_view reason);
    void close();
    void armTimer(Instant due);
    void onTimer();
    void onDeadline();
    /// @brief Returns whether an idle connection whose time is over must not be closed yet, and sets a new deadline
    /// then.
    ///
    /// A request that waits unread is not known to the state of the connection: the process may have had no processor
    /// since it arrived. A closed connection does not read what crosses the close, so that callers know that it did not
    /// run; it would lose an answer that is on its way, however.
    bool staysOpen();
    /// @brief Returns whether the client has received bytes of the last answer since the previous call, and not all
    /// yet.
    bool isDelivering();
    void extendDeadline(Duration time);

    ServerCore& core;
    h2o_socket_t* socket;
    State state = State::Idle;
    std::optional<RequestParser> parser;
    /// Limit on lines between and behind the chunks of the request that is being read.
    std::size_t maxLineBytes = 0;
    /// Memory for the request that is being read.
    ByteBudget::Reservation memory;
    std::shared_ptr<Http1Exchange> exchange;
    std::string pending;
    std::string sending;
    /// Bytes of sending that the socket took.
    std::size_t sentBytes = 0;
    Framing framing = Framing::Length;
    bool first = true;
    bool sawContinue = false;
    /// Reads of the request after its time.
    int lateReads = 0;
    bool version10 = false;
    bool headRequest = false;
    bool answerDone = false;
    bool closeAfterAnswer = false;
    /// The latest answer told the client that the connection ends with it.
    bool announcedClose = false;
    bool notedDropped = false;
    bool resetOnClose = false;
    /// End of the time for the current state. A timer that fires before it is armed again.
    Instant deadline {};
    TimerId timer = 0;
    Instant timerDue {};
    TimerId flushTimer = 0;
    /// Bytes of the last answer that the kernel kept at the latest deadline.
    std::size_t undeliveredBytes = 0;
    /// Idle time that applied when the connection became idle; a client may still rely on it after a change.
    Duration idleTime {};
};

/// @brief ServerExchange of one HTTP/1.x request.
class Http1Exchange : public ServerExchange {
public:
    Http1Exchange(Http1Connection& connection, HttpRequest request)
        : connection(&connection)
        , content(std::move(request))
    {
    }

    const HttpRequest& request() const override { return this->content; }
    void reply(HttpReply reply) override;
    void startStream(int status, HttpHeaders headers) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    void finishIncomplete() override;
    std::size_t pendingBytes() const override { return this->connection ? this->connection->pendingBytes() : 0; }
    void onClosed(std::function<void()> handler) override { this->closedHandler = std::move(handler); }

    /// @brief Called by the connection when it ends before the answer is finished.
    void connectionGone();

private:
    /// Null once the answer is finished or the connection is closed.
    Http1Connection* connection;
    HttpRequest content;
    std::function<void()> closedHandler;
    bool started = false;
};

} // namespace teaselshore
