#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <utility>

#include <zmq.hpp>

#include "teaselshore/base/time.hpp"
#include "teaselshore/peers/peers_task.hpp"

namespace teaselshore {

/// @brief Message with its wire form, for one peer.
struct OutgoingMessage {
    PeerMessage message;
    std::string bytes;
    Instant expiresAt {};
};

/// @brief Outgoing connection to one peer, and the messages that wait for it. Belongs to the peers thread.
class PeerConnection {
public:
    using NotSent = std::function<void(PeerMessage)>;

    /// @brief Starts to connect. Throws zmq::error_t if the address is invalid.
    PeerConnection(zmq::context_t& context, const std::string& address, const PeersSettings& settings, Instant now);

    /// @brief Sends the message, or queues it while the connection is being set up or full. Returns false, and leaves
    /// the message as it was, if it can do neither.
    bool send(OutgoingMessage& message, Instant now);

    /// @brief Sends waiting messages as far as the connection takes them.
    void flush(Instant now);

    /// @brief Removes waiting messages whose time is over.
    void expire(Instant now, const NotSent& notSent);

    /// @brief Removes all waiting messages.
    void clear(const NotSent& notSent);

    /// @brief Updates how long the connection has not accepted messages; called every few seconds.
    void checkWritable(Instant now);

    /// @brief Returns whether the connection is of no use: unreachable, blocked for long, or not used for long.
    bool isDisposable(Instant now, const PeersSettings& settings) const;

    /// @brief Lets ZeroMQ send what it has taken, for up to this time after the socket is closed.
    void setLinger(Duration linger);

    bool isWaiting() const { return !this->waiting.empty(); }
    zmq::socket_ref socket() { return this->dealer; }

    /// @brief Numbers since the last call.
    std::size_t takeSentMessages() { return std::exchange(this->sentMessages, 0); }
    std::size_t takeSentBytes() { return std::exchange(this->sentBytes, 0); }

private:
    bool transmit(const std::string& bytes, Instant now);

    zmq::socket_t dealer;
    std::size_t waitingLimit;
    std::deque<OutgoingMessage> waiting;
    bool connected = false;
    bool unreachable = false;
    Instant usedAt {};
    Instant writableAt {};
    std::size_t sentMessages = 0;
    std::size_t sentBytes = 0;
};

} // namespace teaselshore
