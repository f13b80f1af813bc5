#include "teaselshore/http/http_server.hpp"

#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "event_loop_impl.hpp"
#include "server_core.hpp"

namespace teaselshore {

namespace {

    void report(HttpError* error, HttpError::Kind kind, std::string detail)
    {
        if (error != nullptr)
            *error = HttpError { kind, std::move(detail), false };
    }

    std::string systemError(const char* call) { return fmt::format("{}: {}", call, std::strerror(errno)); }

    /// Returns the listening socket, or -1.
    int openListener(const sockaddr_in& address)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (descriptor < 0)
            return -1;
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        // Accepted connections inherit the option.
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const bool bound = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        if (bound && ::listen(descriptor, SOMAXCONN) == 0)
            return descriptor;
        const int reason = errno;
        close(descriptor);
        errno = reason;
        return -1;
    }

    std::uint16_t boundPort(int descriptor)
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

} // namespace

struct HttpServer::Impl {
    ServerCore* core;
    std::uint16_t port;
};

std::unique_ptr<HttpServer> HttpServer::listen(
    EventLoop& loop, const HttpServerSettings& settings, HttpHandler handler, HttpError* error)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings.port);
    if (inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr) != 1) {
        report(error, HttpError::Kind::AddressInvalid, fmt::format("not an IPv4 address: {}", settings.address));
        return nullptr;
    }
    const int descriptor = openListener(address);
    if (descriptor < 0) {
        report(error, HttpError::Kind::ListenFailed, systemError("listen"));
        return nullptr;
    }
    HttpServerSettings bound = settings;
    bound.port = boundPort(descriptor);
    // Deletes itself after abandon().
    auto* core = new ServerCore(loop.implementation(), bound, std::move(handler), descriptor);
    return std::unique_ptr<HttpServer>(new HttpServer(std::make_unique<Impl>(Impl { core, bound.port })));
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

HttpServer::~HttpServer() { this->impl->core->abandon(); }

std::uint16_t HttpServer::port() const { return this->impl->port; }

void HttpServer::setLimits(const HttpServerLimits& limits) { this->impl->core->setLimits(limits); }

void HttpServer::shareBodyBudget(const HttpServer& other)
{
    this->impl->core->setBodyBudget(other.impl->core->bodyBudget());
}

void HttpServer::announceClose() { this->impl->core->announceClose(); }

std::uint64_t HttpServer::refusedRequests() const { return this->impl->core->refusedRequests(); }

UnsentAnswers HttpServer::unsentAnswers() const { return this->impl->core->unsentAnswers(); }

std::size_t HttpServer::arrivingRequests() const { return this->impl->core->arrivingRequests(); }

void HttpServer::closeIdleConnections() { this->impl->core->closeIdleConnections(); }

std::uint64_t HttpServer::cutAnswers() const { return this->impl->core->cutAnswers(); }

std::uint64_t HttpServer::droppedRequests() const { return this->impl->core->droppedRequests(); }

BodyMemory HttpServer::bodyMemory() const { return this->impl->core->bodyMemory(); }

void HttpServer::stopAccepting() { this->impl->core->stopAccepting(); }

std::size_t HttpServer::openExchanges() const { return this->impl->core->openExchanges(); }

} // namespace teaselshore
