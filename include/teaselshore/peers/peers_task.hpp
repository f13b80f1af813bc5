#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/protocol/codec.hpp"

namespace teaselshore {

/// @brief Addresses and limits of the peers task.
struct PeersSettings {
    NodeId node;
    std::string cluster;
    /// "address:port" on which to listen and that peers use to answer. Port 0 picks a free port.
    std::string address;
    /// Messages queued per peer connection, in each direction.
    int highWaterMark = 1000;
    /// Messages that wait for one peer while the connection is being set up or is full.
    std::size_t waitingLimit = 200;
    /// Time after which a message that still waits is reported as not sent.
    Duration waitingTimeout = std::chrono::milliseconds(1000);
    /// Messages from other threads that the task has not yet taken.
    std::size_t queueLimit = 20000;
    /// Time without a message to a peer after which its connection is closed.
    Duration idleTimeout = std::chrono::minutes(10);
    /// Largest accepted message; a larger one closes the connection.
    std::int64_t maximumMessageBytes = 64'000'000;

    auto operator<=>(const PeersSettings&) const = default;
};

/// @brief Callbacks of the peers task. They run in its thread: hand the values to the owner's loop and return.
struct PeersHandlers {
    std::function<void(Envelope)> onMessage;
    /// The message certainly did not leave this process. Messages that are not reported may still be lost.
    std::function<void(std::string address, PeerMessage message)> onNotSent;
};

/// @brief Why the peers task did not start.
enum class PeersError {
    InvalidAddress,
    AddressInUse,
    Other,
};

/// @brief Counters since the start.
struct PeersCounters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    /// Dropped because the queue, the connection or the wait for it was full or timed out.
    std::uint64_t notSent = 0;
    /// Received, but malformed, of another protocol version or of another cluster.
    std::uint64_t refused = 0;
    /// Currently open outgoing connections.
    std::uint64_t connections = 0;

    auto operator<=>(const PeersCounters&) const = default;
};

/// @brief Thread with the ZeroMQ sockets that carry messages between nodes.
///
/// One ROUTER socket receives; one DEALER socket per peer sends. Never blocks a caller: a message to a slow or
/// unreachable peer is dropped and reported. Messages to one peer arrive in order, some may be lost. Thread-safe.
class PeersTask {
public:
    /// @brief Binds the address and starts the thread. Returns null and sets the error if that fails.
    static std::unique_ptr<PeersTask> start(PeersSettings settings, PeersHandlers handlers, PeersError& error);

    /// @brief Calls stop().
    ~PeersTask();
    PeersTask(const PeersTask&) = delete;
    PeersTask& operator=(const PeersTask&) = delete;

    /// @brief Queues a message to the peer at the address. Returns false if the queue is full: it was not sent.
    bool send(std::string address, PeerMessage message);

    /// @brief Closes the connection to a peer that is gone. Waiting messages are reported as not sent.
    void forget(std::string address);

    /// @brief Sends what was queued before, for at most one second, then ends the thread. Callbacks have ended when it
    /// returns. Must not be called from a callback.
    void stop();

    /// @brief Returns the address on which it listens, with the actual port.
    const std::string& address() const;

    PeersCounters counters() const;

private:
    struct Impl;
    explicit PeersTask(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
