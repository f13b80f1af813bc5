#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <netinet/in.h>

#include "h2o.hpp"
#include "sent_echoes.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

struct ClientCall;

/// @brief One TCP connection of the client. Closes its socket on destruction.
class ClientConnection {
public:
    /// @brief Starts to connect; established is called later. socket() is null if the attempt failed at once.
    ClientConnection(h2o_loop_t* loop, std::string authority, const sockaddr_in& address, h2o_socket_cb established);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// @brief Returns the connection that owns the socket.
    static ClientConnection& of(h2o_socket_t* socket) { return *static_cast<ClientConnection*>(socket->data); }

    h2o_socket_t* socket() const { return this->handle; }
    const std::string& authority() const { return this->peer; }
    /// @brief Sets TCP_NODELAY.
    void configure() const;
    /// @brief Returns whether nothing arrived and the peer did not close; for an idle connection.
    bool isQuiet() const;
    /// @brief Returns whether the peer acknowledged all that was written.
    bool hasDeliveredAll() const;
    /// @brief Returns whether the socket has a pending error, and clears it.
    bool takeError() const;
    /// @brief Returns whether the end of the peer's side has arrived; bytes may wait unread before it.
    bool hasPeerEnded() const;
    /// @brief Hands as much of these parts, one after the other, to the socket as it takes, which may be nothing.
    /// Returns nothing if the connection broke.
    std::optional<std::size_t> write(std::string_view first, std::string_view second) const;
    /// @brief Lets the socket take more bytes only while it has fewer than this that it could not send. 0 sets the
    /// system's value.
    void limitUnsent(int bytes) const;

    void* owner = nullptr;
    /// Null while the connection is idle.
    ClientCall* call = nullptr;
    /// The connection must not be used from then on.
    Instant usableUntil;
    SentEchoes sentEchoes;

private:
    std::string peer;
    h2o_socket_t* handle;
};

/// @brief Idle connections by authority. The time is passed in.
class ConnectionPool {
public:
    /// @brief Returns the most recently used idle connection that is still quiet, or nothing. With an echo, only one
    /// on which the replies to it can be told from those to earlier requests.
    std::unique_ptr<ClientConnection> take(
        const std::string& authority, const std::optional<HttpHeader>& echo, Instant now);
    void put(std::unique_ptr<ClientConnection> connection, Instant usableUntil);
    /// @brief Closes one idle connection.
    void drop(const ClientConnection& connection);
    /// @brief Closes connections that must not be used any more.
    void prune(Instant now);
    /// @brief Closes all of them.
    void clear() { this->idle.clear(); }
    bool empty() const { return this->idle.empty(); }

private:
    std::unordered_map<std::string, std::vector<std::unique_ptr<ClientConnection>>> idle;
};

/// @brief Returns the address of "a.b.c.d:port", or nothing.
std::optional<sockaddr_in> parseAuthority(const std::string& authority);

} // namespace teaselshore
