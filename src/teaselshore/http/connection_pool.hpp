#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <netinet/in.h>

#include "h2o.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief One connection that h2o's client uses for one call after the other.
///
/// Holds an h2o_socketpool_t for at most one connection. h2o's client only accepts sockets from such a pool, while a
/// shared one neither closes idle connections without a timer of its own per authority, nor lets the caller test a
/// connection before the request is written.
class PooledConnection {
public:
    explicit PooledConnection(h2o_loop_t* loop, const sockaddr_in& address);
    ~PooledConnection();
    PooledConnection(const PooledConnection&) = delete;
    PooledConnection& operator=(const PooledConnection&) = delete;

    h2o_socketpool_t* pool() { return &this->sockets; }
    /// @brief Remembers the descriptor of the established connection.
    void connected(h2o_socket_t* socket);
    /// @brief Returns whether h2o returned the connection after a call, instead of closing it.
    bool isReturned();
    /// @brief Returns whether h2o returned the connection and the peer neither closed it nor sent bytes unasked.
    bool isUsable();

    Instant idleSince;

private:
    h2o_socketpool_t sockets {};
    sockaddr_in address;
    int descriptor = -1;
};

/// @brief Idle connections by authority. Pure bookkeeping; time is passed in.
class ConnectionPool {
public:
    /// @brief Returns the address of "a.b.c.d:port", or nothing.
    static std::optional<sockaddr_in> parseAuthority(const std::string& authority);

    /// @brief Returns the most recently used idle connection, or a new unconnected one.
    std::unique_ptr<PooledConnection> take(h2o_loop_t* loop, const std::string& authority, const sockaddr_in& address);
    /// @brief Keeps a connection for later calls, if h2o has returned it.
    void put(const std::string& authority, std::unique_ptr<PooledConnection> connection, Instant now);
    /// @brief Closes connections that are idle since before the instant.
    void prune(Instant idleBefore);
    bool empty() const { return this->idle.empty(); }

private:
    std::unordered_map<std::string, std::vector<std::unique_ptr<PooledConnection>>> idle;
};

} // namespace teaselshore
