#include "connection_pool.hpp"

#include <cerrno>
#include <charconv>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace teaselshore {

namespace {

    /// Idle connections are closed by ConnectionPool::prune() long before.
    constexpr std::uint64_t libraryIdleMilliseconds = 24ULL * 3600 * 1000;

} // namespace

// The pool's private fields are set by hand: h2o_socketpool_connect() reads the loop's time through them, while
// h2o_socketpool_set_timeout() would register one timer per connection, all of which each loop round visits.
static_assert(H2O_LIBRARY_VERSION_MAJOR == 0 && H2O_LIBRARY_VERSION_MINOR == 13, "check h2o_socketpool_t");

PooledConnection::PooledConnection(h2o_loop_t* loop, const sockaddr_in& address)
    : address(address)
{
    h2o_socketpool_init_by_address(
        &this->sockets, reinterpret_cast<sockaddr*>(&this->address), sizeof(this->address), 0, 1);
    this->sockets.timeout = libraryIdleMilliseconds;
    this->sockets._interval_cb.loop = loop;
}

PooledConnection::~PooledConnection()
{
    this->sockets._interval_cb.loop = nullptr;
    h2o_socketpool_dispose(&this->sockets);
}

void PooledConnection::connected(h2o_socket_t* socket)
{
    if (this->descriptor >= 0)
        return;
    this->descriptor = h2o_socket_get_fd(socket);
    const int on = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool PooledConnection::isReturned() { return !h2o_linklist_is_empty(&this->sockets._shared.sockets); }

bool PooledConnection::isUsable()
{
    if (!this->isReturned())
        return false;
    char byte = 0;
    const ssize_t count = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<sockaddr_in> ConnectionPool::parseAuthority(const std::string& authority)
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

std::unique_ptr<PooledConnection> ConnectionPool::take(
    h2o_loop_t* loop, const std::string& authority, const sockaddr_in& address)
{
    const auto found = this->idle.find(authority);
    while (found != this->idle.end() && !found->second.empty()) {
        std::unique_ptr<PooledConnection> connection = std::move(found->second.back());
        found->second.pop_back();
        if (connection->isUsable())
            return connection;
    }
    return std::make_unique<PooledConnection>(loop, address);
}

void ConnectionPool::put(const std::string& authority, std::unique_ptr<PooledConnection> connection, Instant now)
{
    if (!connection->isReturned())
        return;
    connection->idleSince = now;
    this->idle[authority].push_back(std::move(connection));
}

void ConnectionPool::prune(Instant idleBefore)
{
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(
            entry->second, [idleBefore](const auto& connection) { return connection->idleSince < idleBefore; });
        entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

} // namespace teaselshore
