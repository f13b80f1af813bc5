#include "test_support.hpp"

#include <algorithm>
#include <cerrno>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselshore {

namespace {

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int connectTo(int port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        EXPECT_EQ(connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
        return descriptor;
    }

} // namespace

HttpFixture::HttpFixture(HttpHandler handler, const HttpServerSettings& settings)
    : loop(EventLoop::create())
{
    HttpError error;
    this->server = HttpServer::listen(*this->loop, settings, std::move(handler), &error);
    EXPECT_TRUE(this->server) << error.detail;
    this->client = HttpClient::create(*this->loop);
}

HttpCall HttpFixture::call(std::string method, std::string path, std::string body) const
{
    HttpCall call;
    call.authority = this->authority();
    call.request = { std::move(method), std::move(path), {}, std::move(body) };
    return call;
}

CallId HttpFixture::start(HttpCall call, CallRecord& record)
{
    HttpCallHandlers handlers;
    handlers.onHead = [&record](int status, const HttpHeaders& headers) {
        record.status = status;
        record.headers = headers;
    };
    handlers.onData = [&record](std::string_view bytes) {
        record.body.append(bytes);
        record.chunks.emplace_back(bytes);
    };
    handlers.onEnd = [&record] { record.ended = true; };
    handlers.onError = [&record](const HttpError& error) { record.error = error; };
    return this->client->start(std::move(call), std::move(handlers));
}

CallRecord HttpFixture::run(HttpCall call)
{
    CallRecord record;
    this->start(std::move(call), record);
    EXPECT_FALSE(record.isDone()) << "callback ran inside start()";
    EXPECT_TRUE(this->runUntil([&record] { return record.isDone(); }));
    return record;
}

bool HttpFixture::runUntil(const std::function<bool()>& condition, Duration limit)
{
    const Instant deadline = this->loop->now() + limit;
    bool held = false;
    std::function<void()> check = [&] {
        held = condition();
        if (held || this->loop->now() > deadline)
            this->loop->stop();
        else
            this->loop->runAfter(std::chrono::milliseconds(1), check);
    };
    this->loop->post(check);
    this->loop->run();
    return held;
}

RawConnection::RawConnection(int port)
    : descriptor(connectTo(port))
{
}

RawConnection::RawConnection(int descriptor, bool)
    : descriptor(descriptor)
{
}

RawConnection::~RawConnection() { this->close(); }

void RawConnection::send(const std::string& bytes) const
{
    EXPECT_EQ(::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
}

bool RawConnection::trySend(const std::string& bytes) const
{
    return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
}

std::string RawConnection::receive(bool& ended) const
{
    std::string bytes;
    char buffer[4096];
    while (true) {
        const ssize_t count = recv(this->descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count <= 0) {
            this->resetSeen = count < 0 && errno == ECONNRESET;
            ended = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            return bytes;
        }
        bytes.append(buffer, static_cast<std::size_t>(count));
    }
}

std::string RawConnection::receiveAtMost(std::size_t size) const
{
    std::string bytes(size, '\0');
    const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return bytes;
}

std::size_t RawConnection::unreadBytes() const
{
    int bytes = 0;
    EXPECT_EQ(ioctl(this->descriptor, FIONREAD, &bytes), 0);
    return static_cast<std::size_t>(bytes);
}

void RawConnection::endSending() const { EXPECT_EQ(shutdown(this->descriptor, SHUT_WR), 0); }

void RawConnection::reset()
{
    const linger immediately { 1, 0 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    this->close();
}

void RawConnection::close()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
    this->descriptor = -1;
}

RawServer::RawServer()
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
    EXPECT_EQ(listen(this->descriptor, 16), 0);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
}

RawServer::~RawServer() { close(this->descriptor); }

std::unique_ptr<RawConnection> RawServer::accept() const
{
    const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    const int on = 1;
    // Small pieces would wait for the acknowledgement of the one before.
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return accepted < 0 ? nullptr : std::make_unique<RawConnection>(accepted, true);
}

} // namespace teaselshore
