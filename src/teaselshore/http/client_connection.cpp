#include "client_connection.hpp"

#include <array>
#include <cerrno>
#include <charconv>
#include <iterator>
#include <utility>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace teaselshore {

ClientConnection::ClientConnection(
    h2o_loop_t* loop, std::string authority, const sockaddr_in& address, h2o_socket_cb established)
    : peer(std::move(authority))
{
    sockaddr_in copy = address;
    this->handle = h2o_socket_connect(loop, reinterpret_cast<sockaddr*>(&copy), sizeof(copy), established);
    if (this->handle != nullptr)
        this->handle->data = this;
}

ClientConnection::~ClientConnection()
{
    if (this->handle != nullptr)
        h2o_socket_close(this->handle);
}

void ClientConnection::configure() const
{
    const int on = 1;
    setsockopt(h2o_socket_get_fd(this->handle), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool ClientConnection::isQuiet() const
{
    char byte = 0;
    const ssize_t count = recv(h2o_socket_get_fd(this->handle), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool ClientConnection::hasDeliveredAll() const
{
    int unacknowledged = 0;
    return ioctl(h2o_socket_get_fd(this->handle), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

bool ClientConnection::takeError() const
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(h2o_socket_get_fd(this->handle), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

bool ClientConnection::hasPeerEnded() const
{
    pollfd state { h2o_socket_get_fd(this->handle), POLLRDHUP, 0 };
    return poll(&state, 1, 0) > 0;
}

std::optional<std::size_t> ClientConnection::write(std::string_view first, std::string_view second) const
{
    std::array<iovec, 2> parts { { { const_cast<char*>(first.data()), first.size() },
        { const_cast<char*>(second.data()), second.size() } } };
    msghdr message {};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    ssize_t count = 0;
    do
        count = sendmsg(h2o_socket_get_fd(this->handle), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    while (count < 0 && errno == EINTR);
    if (count >= 0)
        return static_cast<std::size_t>(count);
    if (errno == EAGAIN || errno == EWOULDBLOCK)
        return 0;
    return std::nullopt;
}

void ClientConnection::limitUnsent(int bytes) const
{
    setsockopt(h2o_socket_get_fd(this->handle), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof(bytes));
}

std::unique_ptr<ClientConnection> ConnectionPool::take(
    const std::string& authority, const std::optional<HttpHeader>& echo, Instant now)
{
    const auto found = this->idle.find(authority);
    if (found == this->idle.end())
        return nullptr;
    std::vector<std::unique_ptr<ClientConnection>>& connections = found->second;
    for (auto position = connections.end(); position != connections.begin();) {
        --position;
        if (echo && !(*position)->sentEchoes.canDistinguish(echo->value))
            continue;
        std::unique_ptr<ClientConnection> connection = std::move(*position);
        position = connections.erase(position);
        if (now < connection->usableUntil && connection->isQuiet())
            return connection;
    }
    // The new connection takes the place of one, or a value that is sent again and again would open one each time.
    if (!connections.empty())
        connections.erase(connections.begin());
    return nullptr;
}

void ConnectionPool::put(std::unique_ptr<ClientConnection> connection, Instant usableUntil)
{
    connection->usableUntil = usableUntil;
    const std::string& authority = connection->authority();
    this->idle[authority].push_back(std::move(connection));
}

void ConnectionPool::drop(const ClientConnection& connection)
{
    const auto found = this->idle.find(connection.authority());
    if (found != this->idle.end())
        std::erase_if(found->second, [&connection](const auto& entry) { return entry.get() == &connection; });
}

void ConnectionPool::prune(Instant now)
{
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(entry->second, [now](const auto& connection) { return connection->usableUntil <= now; });
        entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

std::optional<sockaddr_in> parseAuthority(const std::string& authority)
{
    const std::size_t colon = authority.find(':');
    if (colon == std::string::npos)
        return std::nullopt;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    if (inet_pton(AF_INET, authority.substr(0, colon).c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* end = authority.data() + authority.size();
    const auto parsed = std::from_chars(authority.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    address.sin_port = htons(port);
    return address;
}

} // namespace teaselshore
