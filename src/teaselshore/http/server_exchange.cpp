#include "server_exchange.hpp"

#include <charconv>
#include <new>

#include <sys/socket.h>

#include "request_text.hpp"
#include "server_core.hpp"
#include "status_text.hpp"
#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    std::string toString(const h2o_iovec_t& bytes) { return { bytes.base, bytes.len }; }

    HttpRequest copyRequest(const h2o_req_t& request)
    {
        HttpRequest copy;
        copy.method = toString(request.input.method);
        copy.path = toString(request.input.path);
        copy.body = request.entity.base != nullptr ? toString(request.entity) : std::string();
        // h2o keeps the host apart from the other fields.
        copy.headers.add("host", toString(request.input.authority));
        for (std::size_t index = 0; index < request.headers.size; ++index) {
            const h2o_header_t& field = request.headers.entries[index];
            copy.headers.add({ field.name->base, field.name->len }, toString(field.value));
        }
        return copy;
    }

    /// h2o writes these fields itself.
    bool isFramingField(const std::string& name)
    {
        return name == "connection" || name == "keep-alive" || name == "transfer-encoding" || name == "content-length"
            || name == "date" || name == "server";
    }

    std::size_t contentLength(const HttpHeaders& headers)
    {
        const std::optional<std::string> text = headers.find("content-length");
        std::size_t length = SIZE_MAX;
        if (text)
            std::from_chars(text->data(), text->data() + text->size(), length);
        return length;
    }

} // namespace

std::shared_ptr<H2oExchange> H2oExchange::attach(ServerCore& core, h2o_req_t* request)
{
    auto exchange = std::make_shared<H2oExchange>(core, request);
    void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(Anchor), onDispose);
    auto* anchor = new (memory) Anchor {};
    anchor->generator = { onProceed, onStop };
    anchor->flushEntry.cb = onFlush;
    anchor->exchange = exchange;
    exchange->anchor = anchor;
    core.exchangeOpened(exchange.get());
    return exchange;
}

H2oExchange::H2oExchange(ServerCore& core, h2o_req_t* request)
    : core(core)
    , content(copyRequest(*request))
    , h2oRequest(request)
    , isHead(this->content.method == "HEAD")
{
}

H2oExchange::~H2oExchange() = default;

void H2oExchange::reply(HttpReply reply)
{
    if (this->settled)
        return;
    TEASELSHORE_ASSERT(!this->started, "an answer was already started");
    this->startResponse(reply.status, std::move(reply.headers), reply.body.size());
    if (!this->isHead)
        this->pending = std::move(reply.body);
    this->finishing = true;
    this->flush();
}

void H2oExchange::startStream(int status, HttpHeaders headers)
{
    if (this->settled)
        return;
    TEASELSHORE_ASSERT(!this->started, "an answer was already started");
    const std::size_t length = contentLength(headers);
    this->startResponse(status, std::move(headers), length);
    this->scheduleFlush();
}

void H2oExchange::write(std::string_view bytes)
{
    if (this->settled || this->isHead)
        return;
    TEASELSHORE_ASSERT(this->started && !this->finishing, "write() needs a running stream");
    this->pending.append(bytes);
    this->scheduleFlush();
}

void H2oExchange::finish()
{
    if (this->settled)
        return;
    TEASELSHORE_ASSERT(this->started && !this->finishing, "finish() needs a running stream");
    this->finishing = true;
    if (!this->inFlight)
        this->flush();
}

void H2oExchange::abort()
{
    if (this->settled)
        return;
    this->settle();
    this->closeConnection();
}

void H2oExchange::startResponse(int status, HttpHeaders headers, std::size_t contentLength)
{
    this->started = true;
    this->replyHeaders = std::move(headers);
    h2o_req_t* request = this->h2oRequest;
    request->res.status = status;
    request->res.content_length = contentLength;
    request->res.reason = statusText(status);
    for (const HttpHeader& field : this->replyHeaders.all()) {
        if (isFramingField(field.name) || !isValidField(field.name, field.value))
            continue;
        h2o_add_header_by_str(&request->pool, &request->res.headers, field.name.data(), field.name.size(), 1, nullptr,
            field.value.data(), field.value.size());
    }
    h2o_start_response(request, &this->anchor->generator);
}

void H2oExchange::flush()
{
    const auto self = this->shared_from_this();
    h2o_timeout_unlink(&this->anchor->flushEntry);
    this->sending.swap(this->pending);
    this->pending.clear();
    this->inFlight = true;
    h2o_iovec_t buffer = h2o_iovec_init(this->sending.data(), this->sending.size());
    const h2o_send_state_t state = this->finishing ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;
    if (this->finishing)
        this->settle();
    h2o_send(this->h2oRequest, &buffer, buffer.len == 0 ? 0 : 1, state);
}

void H2oExchange::scheduleFlush()
{
    // The head and the chunks of one loop round leave in one system call.
    if (this->inFlight || h2o_timeout_is_linked(&this->anchor->flushEntry))
        return;
    h2o_context_t* context = this->h2oRequest->conn->ctx;
    h2o_timeout_link(context->loop, &context->zero_timeout, &this->anchor->flushEntry);
}

void H2oExchange::closeConnection()
{
    // A callback of h2o, possibly inside this function, releases the request.
    const auto self = this->shared_from_this();
    this->aborting = true;
    h2o_req_t* request = this->h2oRequest;
    h2o_timeout_unlink(&this->anchor->flushEntry);
    if (this->inFlight)
        return;
    if (!this->started)
        this->startResponse(500, {}, 0);
    h2o_send(request, nullptr, 0, H2O_SEND_STATE_ERROR);
}

void H2oExchange::settle()
{
    if (this->settled)
        return;
    this->settled = true;
    this->core.exchangeClosed(this);
}

void H2oExchange::notifyClosed()
{
    if (this->settled)
        return;
    this->settle();
    const std::function<void()> handler = std::move(this->closedHandler);
    this->closedHandler = nullptr;
    if (handler)
        handler();
}

void H2oExchange::detach()
{
    const auto self = this->shared_from_this();
    h2o_timeout_unlink(&this->anchor->flushEntry);
    this->notifyClosed();
    this->closedHandler = nullptr;
    this->pending.clear();
    this->sending.clear();
    this->anchor = nullptr;
    this->h2oRequest = nullptr;
}

void H2oExchange::onProceed(h2o_generator_t* generator, h2o_req_t* request)
{
    H2oExchange& exchange = *reinterpret_cast<Anchor*>(generator)->exchange;
    exchange.inFlight = false;
    exchange.sending.clear();
    if (exchange.aborting) {
        h2o_send(request, nullptr, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    if (!exchange.pending.empty() || exchange.finishing)
        exchange.flush();
}

void H2oExchange::onStop(h2o_generator_t* generator, h2o_req_t*)
{
    reinterpret_cast<Anchor*>(generator)->exchange->notifyClosed();
}

void H2oExchange::onFlush(h2o_timeout_entry_t* entry)
{
    H2O_STRUCT_FROM_MEMBER(Anchor, flushEntry, entry)->exchange->flush();
}

void H2oExchange::onDispose(void* memory)
{
    auto* anchor = static_cast<Anchor*>(memory);
    anchor->exchange->detach();
    anchor->~Anchor();
}

} // namespace teaselshore
