#include "http1_connection.hpp"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "event_loop_impl.hpp"
#include "request_text.hpp"
#include "server_core.hpp"
#include "status_text.hpp"
#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/log.hpp"

namespace teaselshore {

namespace {

    constexpr std::string_view http2Preface = "PRI * HTTP/2.0\r\n";
    /// Bytes of later requests that wait while an answer is open; more stay in the kernel.
    constexpr std::size_t maxPipelinedBytes = std::size_t { 16 } * 1024;
    /// Bytes read before they are parsed. A client may send faster than they are read, and no budget counts them.
    constexpr std::size_t maxReadBytes = std::size_t { 16 } * 1024;
    /// Space for a read, which doubles the buffer as often as it is full.
    constexpr std::size_t leastReadBytes = std::size_t { 4 } * 1024;
    /// Reads per event. A body that has arrived is taken at once as a rule: many half-read ones would fill the budget,
    /// and none of them could end.
    constexpr int readsPerEvent = 256;
    /// Bytes of a head, and of lines that have not ended, for which a request needs nothing of the memory budget: more
    /// than those of common requests, and little on as many connections as a process has descriptors.
    constexpr std::size_t freeHeadBytes = std::size_t { 4 } * 1024;
    /// The reservation for a body grows with the bytes that arrive, and not with its length: callers may announce
    /// bodies that they do not send.
    constexpr std::size_t leastBodyReservation = std::size_t { 4 } * 1024;
    constexpr std::size_t bodyReservationFactor = 2;
    /// Time until a deadline is judged again for which bytes had arrived unread; the loop reads them meanwhile.
    constexpr Duration unreadRecheckTime = std::chrono::milliseconds(1);
    /// Further reads of a request whose time is over and whose rest may have arrived before. Without a limit, a client
    /// that keeps sending would hold its connection for good.
    constexpr int maxLateReads = 16;
    /// Time for the client to read the last answer before the connection is closed.
    constexpr Duration lingerTime = std::chrono::milliseconds(500);
    /// Bytes handed to the socket at once; the end of each write shows that the client still reads.
    constexpr std::size_t maxWriteBytes = std::size_t { 64 } * 1024;
    /// Added to the idle time, so that a client that keeps to it never meets a close.
    constexpr Duration idleMargin = std::chrono::seconds(2);
    /// Time that idle connections stay open once the server has stopped to accept: requests may be on their way.
    constexpr Duration lastRequestTime = std::chrono::milliseconds(100);

    constexpr int statusContinue = 100;
    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;
    constexpr int badRequest = 400;
    constexpr int requestTimeout = 408;
    constexpr int bodyTooLarge = 413;
    constexpr int headerTooLarge = 431;
    constexpr int serviceUnavailable = 503;
    /// Time after which a caller that was refused for lack of memory may come again: some requests have ended then.
    constexpr std::string_view memoryRetrySeconds = "1";

    bool isFramingField(std::string_view name)
    {
        return name == "connection" || name == "keep-alive" || name == "transfer-encoding" || name == "content-length";
    }

    bool hasNoBody(int status) { return status / 100 == 1 || status == statusNoContent || status == statusNotModified; }

} // namespace

Http1Connection::Http1Connection(ServerCore& core, h2o_socket_t* socket)
    : core(core)
    , socket(socket)
    , idleTime(core.limits().idleTimeout)
{
    this->socket->data = this;
    this->deadline = monotonicNow() + this->idleTime + idleMargin;
}

Http1Connection::~Http1Connection()
{
    this->core.eventLoop().cancelTimer(this->timer);
    this->core.eventLoop().cancelTimer(this->flushTimer);
}

void Http1Connection::start()
{
    this->armTimer(this->deadline);
    // The library reads without a bound.
    h2o_socket_dont_read(this->socket, 1);
    h2o_socket_read_start(this->socket, onReadable);
}

Http1Connection::Received Http1Connection::receive()
{
    std::size_t received = 0;
    while (received < maxReadBytes) {
        const h2o_iovec_t buffer = h2o_buffer_reserve(&this->socket->input, leastReadBytes);
        if (buffer.base == nullptr)
            return Received::End;
        const std::size_t space = std::min(buffer.len, maxReadBytes - received);
        const ssize_t count = recv(h2o_socket_get_fd(this->socket), buffer.base, space, 0);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return Received::All;
        // After some bytes, the next event tells the end again.
        if (count <= 0)
            return received > 0 ? Received::All : Received::End;
        this->socket->input->size += static_cast<std::size_t>(count);
        received += static_cast<std::size_t>(count);
        if (static_cast<std::size_t>(count) < space)
            return Received::All;
    }
    return Received::Part;
}

void Http1Connection::onReadable(h2o_socket_t* socket, const char* error)
{
    auto* self = static_cast<Http1Connection*>(socket->data);
    self->core.eventLoop().nameWork("request read");
    for (int reads = 0; reads < readsPerEvent; ++reads) {
        if (self->state == State::Answering && socket->input->size > maxPipelinedBytes) {
            h2o_socket_read_stop(socket);
            return;
        }
        const Received received = error == nullptr ? self->receive() : Received::End;
        self->onReceived(received);
        if (received != Received::Part || self->state == State::Closed)
            return;
    }
}

void Http1Connection::onReceived(Received received)
{
    if (this->state == State::Lingering) {
        if (this->socket->input->size > 0)
            this->noteDropped("it arrived after the server had ended its side");
        h2o_buffer_consume(&this->socket->input, this->socket->input->size);
        if (received == Received::End)
            this->close();
        return;
    }
    if (received == Received::End)
        this->breakOff();
    else if (this->state != State::Answering)
        this->readRequests();
}

void Http1Connection::readRequests()
{
    // Each answered request may leave the next one in the buffer.
    while ((this->state == State::Idle || this->state == State::Reading) && this->readRequest())
        continue;
}

bool Http1Connection::handOverToHttp2()
{
    const std::string_view bytes { this->socket->input->bytes, this->socket->input->size };
    if (!bytes.starts_with(http2Preface))
        return false;
    h2o_socket_read_stop(this->socket);
    h2o_socket_dont_read(this->socket, 0);
    h2o_socket_t* handedOver = std::exchange(this->socket, nullptr);
    this->state = State::Closed;
    this->core.acceptHttp2(handedOver);
    return true;
}

bool Http1Connection::readRequest()
{
    const std::string_view bytes { this->socket->input->bytes, this->socket->input->size };
    if (bytes.empty())
        return false;
    if (this->first && http2Preface.starts_with(bytes.substr(0, http2Preface.size()))) {
        if (bytes.size() < http2Preface.size())
            return false;
        this->handOverToHttp2();
        return false;
    }
    this->first = false;
    if (!this->parser) {
        const HttpServerLimits& limits = this->core.limits();
        this->maxLineBytes = limits.maxHeaderBytes;
        this->parser.emplace(RequestLimits { limits.maxHeaderBytes, this->core.maxHeaderFields(), limits.maxBodyBytes,
            this->core.refusesDotSegments() });
        this->memory = this->core.bodyBudget().reservation();
        this->state = State::Reading;
        this->sawContinue = false;
        this->lateReads = 0;
        this->extendDeadline(limits.requestTimeout);
    }
    std::size_t used = 0;
    RequestParser::Progress progress = this->parser->put(bytes, used);
    h2o_buffer_consume(&this->socket->input, used);
    // The head's limit does not cover the lines between chunks and after the last one.
    if (progress == RequestParser::Progress::NeedsMore && this->parser->hasHeader()
        && this->socket->input->size > this->maxLineBytes)
        progress = RequestParser::Progress::Malformed;
    const bool isValid = progress == RequestParser::Progress::NeedsMore || progress == RequestParser::Progress::Done;
    // Bytes behind a whole request belong to the next one.
    const std::size_t unparsed = progress == RequestParser::Progress::NeedsMore ? this->socket->input->size : 0;
    if (isValid && !this->reserveMemory(unparsed)) {
        this->refuseForMemory();
        return false;
    }
    switch (progress) {
    case RequestParser::Progress::NeedsMore:
        if (this->parser->hasHeader() && this->parser->expectsContinue() && !this->sawContinue) {
            this->sawContinue = true;
            this->pending += fmt::format("HTTP/1.1 {} Continue\r\n\r\n", statusContinue);
            this->flush();
        }
        return false;
    case RequestParser::Progress::Done:
        this->dispatch();
        return true;
    case RequestParser::Progress::Malformed:
        this->refuse(badRequest, "the request is malformed");
        return false;
    case RequestParser::Progress::HeaderTooLarge:
        this->refuse(headerTooLarge, "the header fields are larger than the limit");
        return false;
    case RequestParser::Progress::BodyTooLarge:
        this->refuse(bodyTooLarge, "the body is larger than the limit");
        return false;
    }
    return false;
}

bool Http1Connection::reserveMemory(std::size_t unparsedBytes)
{
    std::size_t head = this->parser->headerBytes() + unparsedBytes;
    head -= std::min(head, freeHeadBytes);
    std::size_t body = this->parser->bodyBytes();
    if (this->parser->hasHeader() && this->parser->announcedBytes()) {
        const std::size_t announced = *this->parser->announcedBytes();
        const ByteBudget& budget = this->core.bodyBudget();
        if (body == 0 && announced + head > this->memory.bytes() + budget.total() - budget.used())
            return false;
        body = std::min(announced, std::max(leastBodyReservation, bodyReservationFactor * body));
    }
    return this->memory.resize(body + head);
}

void Http1Connection::dispatch()
{
    this->state = State::Answering;
    this->answerDone = false;
    this->version10 = this->parser->isVersion10();
    this->closeAfterAnswer = !this->parser->keepsAlive();
    std::shared_ptr<const void> guard;
    if (this->memory.bytes() > 0)
        guard = std::make_shared<const ByteBudget::Reservation>(std::move(this->memory));
    HttpRequest request = this->parser->take(std::move(guard));
    this->parser.reset();
    this->headRequest = request.method == "HEAD";
    this->exchange = std::make_shared<Http1Exchange>(*this, std::move(request));
    this->core.exchangeOpened(this->exchange.get());
    this->core.handle(this->exchange);
}

void Http1Connection::refuseForMemory()
{
    this->core.countBodyWithoutMemory();
    this->refuse(serviceUnavailable, "open requests take all the memory",
        { { "retry-after", std::string(memoryRetrySeconds) } });
}

void Http1Connection::refuse(int status, std::string_view reason, HttpHeaders headers)
{
    this->state = State::Answering;
    this->closeAfterAnswer = true;
    this->parser.reset();
    this->memory = {};
    this->core.countRefused(status, reason);
    this->version10 = false;
    this->headRequest = false;
    const std::string body = fmt::format(R"({{"error":{{"code":"rejected","message":"{}"}}}})", reason);
    headers.add("content-type", "application/json");
    this->startAnswer(status, headers, body.size());
    this->write(body);
    this->completeAnswer();
}

void Http1Connection::startAnswer(int status, const HttpHeaders& headers, std::optional<std::size_t> length)
{
    const bool noBody = this->headRequest || hasNoBody(status);
    this->framing = noBody ? Framing::NoBody
        : length           ? Framing::Length
        : this->version10  ? Framing::EndOfConnection
                           : Framing::Chunked;
    // A request that is here already is answered, and announces the close.
    if (this->framing == Framing::EndOfConnection || (this->core.closing() && !this->hasNextRequest()))
        this->closeAfterAnswer = true;
    this->pending += fmt::format("HTTP/1.1 {} {}\r\n", status, statusText(status));
    for (const HttpHeader& field : headers.all()) {
        if (!isFramingField(field.name) && isValidField(field.name, field.value))
            this->pending.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (length && !hasNoBody(status))
        this->pending += fmt::format("content-length: {}\r\n", *length);
    else if (this->framing == Framing::Chunked)
        this->pending += "transfer-encoding: chunked\r\n";
    this->announcedClose = this->closeAfterAnswer;
    if (this->closeAfterAnswer)
        this->pending += "connection: close\r\n";
    else if (this->version10)
        this->pending += "connection: keep-alive\r\n";
    this->pending += "\r\n";
}

void Http1Connection::write(std::string_view bytes)
{
    if (this->framing == Framing::NoBody || bytes.empty())
        return;
    if (this->framing == Framing::Chunked)
        this->pending += fmt::format("{:x}\r\n", bytes.size());
    this->pending.append(bytes);
    if (this->framing == Framing::Chunked)
        this->pending += "\r\n";
    this->flush();
}

void Http1Connection::finish()
{
    if (this->framing == Framing::Chunked)
        this->pending += "0\r\n\r\n";
    this->core.exchangeClosed(this->exchange.get());
    this->exchange.reset();
    this->completeAnswer();
}

void Http1Connection::abort(bool keepPending)
{
    this->core.exchangeClosed(this->exchange.get());
    this->exchange.reset();
    this->resetOnClose = this->framing == Framing::EndOfConnection;
    this->closeAfterAnswer = true;
    if (!keepPending || this->pendingBytes() == 0) {
        if (this->hasNextRequest())
            this->noteDropped("it waited behind an answer that was cut");
        this->close();
        return;
    }
    this->completeAnswer();
}

void Http1Connection::completeAnswer()
{
    this->answerDone = true;
    this->expectProgress();
    this->flush();
}

void Http1Connection::expectProgress() { this->extendDeadline(this->idleTime + idleMargin); }

void Http1Connection::flush()
{
    if (!this->sending.empty() || this->state == State::Closed)
        return;
    if (this->pending.empty()) {
        this->onFlushed();
        return;
    }
    this->sending.swap(this->pending);
    this->sentBytes = 0;
    this->writeNext();
}

std::size_t Http1Connection::writeSize() const
{
    return std::min(maxWriteBytes, this->sending.size() - this->sentBytes);
}

void Http1Connection::writeNext()
{
    h2o_iovec_t buffer = h2o_iovec_init(this->sending.data() + this->sentBytes, this->writeSize());
    // A finished answer has no owner that would notice a client that stopped to read.
    if (this->answerDone)
        this->expectProgress();
    h2o_socket_write(this->socket, &buffer, 1, onWritten);
}

void Http1Connection::flushSoon()
{
    // The head leaves in one system call with what is written in the same round.
    this->flushTimer = this->core.eventLoop().addTimer(Duration(0), [this] {
        this->flushTimer = 0;
        if (this->state == State::Answering && !this->answerDone && !this->pending.empty())
            this->flush();
    });
}

void Http1Connection::onWritten(h2o_socket_t* socket, const char* error)
{
    auto* self = static_cast<Http1Connection*>(socket->data);
    self->core.eventLoop().nameWork("answer written");
    self->sentBytes += self->writeSize();
    if (error == nullptr && self->sentBytes < self->sending.size()) {
        self->writeNext();
        return;
    }
    self->sending.clear();
    self->sentBytes = 0;
    if (error != nullptr)
        self->breakOff();
    else
        self->flush();
}

void Http1Connection::onFlushed()
{
    if (this->answerDone && this->state == State::Answering)
        this->endAnswer();
}

void Http1Connection::endAnswer()
{
    this->answerDone = false;
    if (this->resetOnClose)
        this->close();
    else if (this->closeAfterAnswer)
        this->linger();
    else
        this->nextRequest();
}

void Http1Connection::nextRequest()
{
    this->state = State::Idle;
    this->idleTime = this->core.limits().idleTimeout;
    this->undeliveredBytes = std::numeric_limits<std::size_t>::max();
    this->extendDeadline(this->core.accepts() ? this->idleTime + idleMargin : lastRequestTime);
    h2o_socket_read_start(this->socket, onReadable);
    if (this->socket->input->size > 0)
        this->readRequests();
}

void Http1Connection::linger()
{
    // Closing with unread bytes would reset the connection and could destroy the answer on its way.
    this->state = State::Lingering;
    shutdown(h2o_socket_get_fd(this->socket), SHUT_WR);
    if (this->socket->input->size > 0)
        this->noteDropped("it waited behind the last answer");
    h2o_buffer_consume(&this->socket->input, this->socket->input->size);
    this->undeliveredBytes = this->kernelBytes();
    this->extendDeadline(lingerTime);
    h2o_socket_read_start(this->socket, onReadable);
}

std::size_t Http1Connection::kernelBytes() const
{
    int bytes = 0;
    if (ioctl(h2o_socket_get_fd(this->socket), SIOCOUTQ, &bytes) != 0)
        return 0;
    return static_cast<std::size_t>(std::max(bytes, 0));
}

bool Http1Connection::isReceiving() const
{
    if (this->state == State::Reading)
        return true;
    return this->state == State::Idle && this->hasNextRequest();
}

bool Http1Connection::hasUnreadBytes() const
{
    char byte = 0;
    return recv(h2o_socket_get_fd(this->socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Http1Connection::hasNextRequest() const { return this->socket->input->size > 0 || this->hasUnreadBytes(); }

void Http1Connection::noteDropped(std::string_view reason)
{
    if (this->announcedClose || std::exchange(this->notedDropped, true))
        return;
    this->core.countDroppedRequest();
    logLine(LogLevel::Warning, "request dropped without an answer",
        { { "port", this->core.port() }, { "reason", reason } });
}

std::size_t Http1Connection::unsentBytes() const
{
    return this->state == State::Closed ? 0 : this->pendingBytes() + this->kernelBytes();
}

void Http1Connection::closeWhenIdle()
{
    // An answer that has begun may not have announced the close; after it, the connection is idle again.
    if (this->state == State::Idle)
        this->extendDeadline(lastRequestTime);
}

void Http1Connection::closeIfIdle()
{
    if (this->state == State::Idle && !this->isReceiving())
        this->close();
}

void Http1Connection::endWithServer()
{
    if (this->isReceiving())
        this->noteDropped("the server ended before it was read");
    this->breakOff();
}

void Http1Connection::breakOff()
{
    if (this->state == State::Closed)
        return;
    if (const std::shared_ptr<Http1Exchange> open = std::exchange(this->exchange, nullptr)) {
        this->core.exchangeClosed(open.get());
        this->resetOnClose = this->framing == Framing::EndOfConnection;
        this->state = State::Lingering;
        open->connectionGone();
    }
    this->close();
}

void Http1Connection::close()
{
    if (this->state == State::Closed)
        return;
    this->state = State::Closed;
    const bool isCut = this->framing == Framing::EndOfConnection && this->pendingBytes() > 0;
    if (this->resetOnClose || isCut) {
        // An orderly end would mark an HTTP/1.0 answer without length as complete.
        const struct linger reset {
            1, 0
        };
        setsockopt(h2o_socket_get_fd(this->socket), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    h2o_socket_t* closing = std::exchange(this->socket, nullptr);
    this->core.connectionClosed(closing);
    h2o_socket_close(closing);
}

void Http1Connection::armTimer(Instant due)
{
    if (this->timer != 0 && this->timerDue <= due)
        return;
    this->core.eventLoop().cancelTimer(this->timer);
    this->timerDue = due;
    const Duration delay = due - monotonicNow();
    this->timer = this->core.eventLoop().addTimer(delay, [this] { this->onTimer(); });
}

void Http1Connection::onTimer()
{
    this->timer = 0;
    // While an answer is open the owner of the exchange watches the time.
    if (this->state == State::Closed || (this->state == State::Answering && !this->answerDone))
        return;
    if (this->core.eventLoop().polledAt >= this->deadline)
        this->onDeadline();
    else
        this->armTimer(this->deadline);
}

void Http1Connection::onDeadline()
{
    if (this->state == State::Reading) {
        // The rest may have arrived in time.
        if (this->hasUnreadBytes() && this->lateReads < maxLateReads) {
            ++this->lateReads;
            this->extendDeadline(unreadRecheckTime);
            return;
        }
        this->refuse(requestTimeout, "the request did not arrive in time");
        return;
    }
    if (this->state == State::Idle && this->staysOpen())
        return;
    if (this->state == State::Lingering && this->isDelivering()) {
        // A client that sends more bytes resets a closed connection, and with it what the kernel still has to send.
        this->extendDeadline(lingerTime);
        return;
    }
    if (this->state == State::Answering) {
        this->core.countCutAnswer();
        logLine(LogLevel::Info, "caller stopped reading its answer", { { "unsentBytes", this->pendingBytes() } });
    }
    this->close();
}

bool Http1Connection::staysOpen()
{
    if (this->hasUnreadBytes()) {
        this->extendDeadline(unreadRecheckTime);
        return true;
    }
    if (!this->core.closing() && this->core.limits().idleTimeout > this->idleTime) {
        // The limit was raised meanwhile, and clients may rely on the new one.
        this->idleTime = this->core.limits().idleTimeout;
        this->deadline += this->idleTime;
        this->armTimer(this->deadline);
        return true;
    }
    if (!this->isDelivering())
        return false;
    this->extendDeadline(lingerTime);
    return true;
}

bool Http1Connection::isDelivering()
{
    const std::size_t left = this->kernelBytes();
    return left > 0 && left < std::exchange(this->undeliveredBytes, left);
}

void Http1Connection::extendDeadline(Duration time)
{
    this->deadline = monotonicNow() + time;
    this->armTimer(this->deadline);
}

void Http1Exchange::reply(HttpReply reply)
{
    if (!this->connection)
        return;
    TEASELSHORE_ASSERT(!this->started, "an answer was already started");
    this->started = true;
    Http1Connection* target = std::exchange(this->connection, nullptr);
    target->startAnswer(reply.status, reply.headers, reply.body.size());
    target->write(reply.body);
    target->finish();
}

void Http1Exchange::startStream(int status, HttpHeaders headers)
{
    if (!this->connection)
        return;
    TEASELSHORE_ASSERT(!this->started, "an answer was already started");
    this->started = true;
    std::optional<std::size_t> length;
    if (const auto text = headers.find("content-length"))
        length = static_cast<std::size_t>(std::strtoull(text->c_str(), nullptr, 10));
    this->connection->startAnswer(status, headers, length);
    this->connection->flushSoon();
}

void Http1Exchange::write(std::string_view bytes)
{
    if (!this->connection)
        return;
    TEASELSHORE_ASSERT(this->started, "write() needs a running stream");
    this->connection->write(bytes);
}

void Http1Exchange::finish()
{
    if (!this->connection)
        return;
    TEASELSHORE_ASSERT(this->started, "finish() needs a running stream");
    std::exchange(this->connection, nullptr)->finish();
}

void Http1Exchange::abort()
{
    if (this->connection)
        std::exchange(this->connection, nullptr)->abort(false);
}

void Http1Exchange::finishIncomplete()
{
    if (this->connection)
        std::exchange(this->connection, nullptr)->abort(true);
}

void Http1Exchange::connectionGone()
{
    this->connection = nullptr;
    if (const auto handler = std::exchange(this->closedHandler, nullptr))
        handler();
}

} // namespace teaselshore
