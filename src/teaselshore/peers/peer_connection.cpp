#include "peer_connection.hpp"

#include <utility>

namespace teaselshore {

namespace {

    constexpr int reconnectMilliseconds = 100;
    constexpr int reconnectMaximumMilliseconds = 1000;
    constexpr int connectTimeoutMilliseconds = 2000;
    /// Time after which TCP gives up data that the peer does not acknowledge.
    constexpr int unacknowledgedMilliseconds = 10000;
    constexpr int keepaliveIdleSeconds = 60;
    /// Time without accepting a message after which a connection is closed. ZeroMQ would otherwise try to reconnect to
    /// each dead peer for good, which exceeds the traffic budget in a large cluster.
    constexpr Duration blockedTimeout = std::chrono::seconds(10);

} // namespace

PeerConnection::PeerConnection(
    zmq::context_t& context, const std::string& address, const PeersSettings& settings, Instant now)
    : dealer(context, zmq::socket_type::dealer)
    , waitingLimit(settings.waitingLimit)
    , usedAt(now)
    , writableAt(now)
{
    this->dealer.set(zmq::sockopt::linger, 0);
    // Messages are given only to an established connection, so that the others are known to be not sent.
    this->dealer.set(zmq::sockopt::immediate, true);
    this->dealer.set(zmq::sockopt::sndhwm, settings.highWaterMark);
    this->dealer.set(zmq::sockopt::reconnect_ivl, reconnectMilliseconds);
    this->dealer.set(zmq::sockopt::reconnect_ivl_max, reconnectMaximumMilliseconds);
    this->dealer.set(zmq::sockopt::connect_timeout, connectTimeoutMilliseconds);
    this->dealer.set(zmq::sockopt::tcp_maxrt, unacknowledgedMilliseconds);
    this->dealer.set(zmq::sockopt::tcp_keepalive, 1);
    this->dealer.set(zmq::sockopt::tcp_keepalive_idle, keepaliveIdleSeconds);
    this->dealer.connect("tcp://" + address);
}

bool PeerConnection::send(OutgoingMessage& message, Instant now)
{
    this->usedAt = now;
    if (this->waiting.empty() && this->transmit(message.bytes, now))
        return true;
    if (this->waiting.size() >= this->waitingLimit)
        return false;
    this->waiting.push_back(std::move(message));
    return true;
}

void PeerConnection::flush(Instant now)
{
    while (!this->waiting.empty() && this->transmit(this->waiting.front().bytes, now))
        this->waiting.pop_front();
}

void PeerConnection::expire(Instant now, const NotSent& notSent)
{
    while (!this->waiting.empty() && this->waiting.front().expiresAt <= now) {
        notSent(std::move(this->waiting.front().message));
        this->waiting.pop_front();
        this->unreachable = !this->connected;
    }
}

void PeerConnection::clear(const NotSent& notSent)
{
    for (OutgoingMessage& message : this->waiting)
        notSent(std::move(message.message));
    this->waiting.clear();
}

void PeerConnection::checkWritable(Instant now)
{
    if ((this->dealer.get(zmq::sockopt::events) & ZMQ_POLLOUT) == 0)
        return;
    this->connected = true;
    this->writableAt = now;
}

bool PeerConnection::isDisposable(Instant now, const PeersSettings& settings) const
{
    if (!this->waiting.empty())
        return false;
    return this->unreachable || now - this->writableAt > blockedTimeout || now - this->usedAt > settings.idleTimeout;
}

void PeerConnection::setLinger(Duration linger)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(linger);
    this->dealer.set(zmq::sockopt::linger, static_cast<int>(milliseconds.count()));
}

bool PeerConnection::transmit(const std::string& bytes, Instant now)
{
    if (!this->dealer.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
        return false;
    this->connected = true;
    this->unreachable = false;
    this->writableAt = now;
    this->sentMessages += 1;
    this->sentBytes += bytes.size();
    return true;
}

} // namespace teaselshore
