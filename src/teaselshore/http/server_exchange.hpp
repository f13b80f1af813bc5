#pragma once

#include <functional>
#include <memory>
#include <string>

#include "h2o.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

class ServerCore;

/// @brief ServerExchange over a request of an HTTP/2 connection. h2o's request pool holds one reference; detach() ends
/// the use of h2o.
class H2oExchange : public ServerExchange, public std::enable_shared_from_this<H2oExchange> {
public:
    /// @brief Copies the request and attaches the exchange to it.
    static std::shared_ptr<H2oExchange> attach(ServerCore& core, h2o_req_t* request);

    H2oExchange(ServerCore& core, h2o_req_t* request);
    ~H2oExchange() override;

    const HttpRequest& request() const override { return this->content; }
    void reply(HttpReply reply) override;
    void startStream(int status, HttpHeaders headers) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t pendingBytes() const override { return this->pending.size() + this->sending.size(); }
    void finishIncomplete() override { this->abort(); }
    void onClosed(std::function<void()> handler) override { this->closedHandler = std::move(handler); }

private:
    /// Object in h2o's request pool: links h2o's callbacks with the exchange.
    struct Anchor {
        h2o_generator_t generator;
        h2o_timeout_entry_t flushEntry;
        std::shared_ptr<H2oExchange> exchange;
    };

    static void onProceed(h2o_generator_t* generator, h2o_req_t* request);
    static void onStop(h2o_generator_t* generator, h2o_req_t* request);
    static void onFlush(h2o_timeout_entry_t* entry);
    static void onDispose(void* anchor);

    /// @brief Sets status, fields and length (SIZE_MAX if not known); h2o chooses the framing by them.
    void startResponse(int status, HttpHeaders headers, std::size_t contentLength);
    void flush();
    void scheduleFlush();
    void closeConnection();
    void detach();
    void settle();
    void notifyClosed();

    ServerCore& core;
    HttpRequest content;
    h2o_req_t* h2oRequest;
    Anchor* anchor = nullptr;
    HttpHeaders replyHeaders;
    std::string pending;
    std::string sending;
    std::function<void()> closedHandler;
    bool isHead = false;
    bool started = false;
    bool inFlight = false;
    bool finishing = false;
    bool aborting = false;
    /// The answer is finished or cannot be finished any more.
    bool settled = false;
};

} // namespace teaselshore
