#include "teaselshore/peers/peers_task.hpp"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include "peer_connection.hpp"
#include "teaselshore/base/clock.hpp"
#include "teaselshore/base/log.hpp"

namespace teaselshore {

namespace {

    using namespace std::chrono_literals;

    /// Wake-up without any event, for idle connections.
    constexpr std::chrono::milliseconds idlePoll = 1000ms;
    /// Wake-up while messages wait for a connection, which sets the precision of their time limit.
    constexpr std::chrono::milliseconds waitingPoll = 20ms;
    constexpr int keepaliveIdleSeconds = 60;
    constexpr Duration checkPeriod = 3s;
    /// Received messages handled before messages to be sent get their turn.
    constexpr int receiveBurst = 200;
    constexpr Duration stopTimeout = 1s;
    constexpr Duration stopLinger = 500ms;

    struct SendOrder {
        std::string address;
        PeerMessage message;
    };

    struct ForgetOrder {
        std::string address;
    };

    using Order = std::variant<SendOrder, ForgetOrder>;

    PeersError toPeersError(const zmq::error_t& error)
    {
        switch (error.num()) {
        case EADDRINUSE:
            return PeersError::AddressInUse;
        case EINVAL:
        case ENODEV:
        case EADDRNOTAVAIL:
            return PeersError::InvalidAddress;
        default:
            return PeersError::Other;
        }
    }

} // namespace

struct PeersTask::Impl {
    Impl(PeersSettings settings, PeersHandlers handlers)
        : settings(std::move(settings))
        , handlers(std::move(handlers))
        , router(this->context, zmq::socket_type::router)
        , wakeUp(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }
    ~Impl() { close(this->wakeUp); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void bind();
    bool enqueue(Order order);
    void signal();

    // All below runs in the peers thread.
    void run();
    void poll(std::chrono::milliseconds timeout);
    void takeOrders();
    void perform(SendOrder& order);
    void perform(const ForgetOrder& order);
    PeerConnection* connection(const std::string& address);
    void receive();
    void accept(std::string_view bytes);
    void reportNotSent(const std::string& address, PeerMessage message);
    void serveWaiting();
    void closeUnused();
    void collect(PeerConnection& connection);
    void finish();

    const PeersSettings settings;
    const PeersHandlers handlers;
    zmq::context_t context { 1 };
    zmq::socket_t router;
    const int wakeUp;
    std::string address;
    std::thread thread;

    std::mutex mutex;
    std::vector<Order> orders;
    bool stopping = false;

    std::atomic<std::uint64_t> messagesSent { 0 };
    std::atomic<std::uint64_t> bytesSent { 0 };
    std::atomic<std::uint64_t> messagesReceived { 0 };
    std::atomic<std::uint64_t> bytesReceived { 0 };
    std::atomic<std::uint64_t> notSent { 0 };
    std::atomic<std::uint64_t> refused { 0 };
    std::atomic<std::uint64_t> connectionCount { 0 };

    std::map<std::string, PeerConnection> connections;
    /// Addresses of the connections with waiting messages.
    std::set<std::string> waiting;
    Instant nextCheck {};
};

void PeersTask::Impl::bind()
{
    this->router.set(zmq::sockopt::linger, 0);
    this->router.set(zmq::sockopt::rcvhwm, this->settings.highWaterMark);
    this->router.set(zmq::sockopt::maxmsgsize, this->settings.maximumMessageBytes);
    // Connections of peers that vanished without closing them.
    this->router.set(zmq::sockopt::tcp_keepalive, 1);
    this->router.set(zmq::sockopt::tcp_keepalive_idle, keepaliveIdleSeconds);
    this->router.bind("tcp://" + this->settings.address);
    const std::string endpoint = this->router.get(zmq::sockopt::last_endpoint);
    this->address = endpoint.substr(std::string_view("tcp://").size());
}

bool PeersTask::Impl::enqueue(Order order)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping || this->orders.size() >= this->settings.queueLimit)
            return false;
        this->orders.push_back(std::move(order));
        // The thread takes all orders at once: only the first one has to wake it.
        if (this->orders.size() > 1)
            return true;
    }
    this->signal();
    return true;
}

void PeersTask::Impl::signal()
{
    const std::uint64_t one = 1;
    // Fails only if the counter is full, and then the thread wakes up anyway.
    [[maybe_unused]] const ssize_t written = write(this->wakeUp, &one, sizeof(one));
}

void PeersTask::Impl::run()
{
    while (true) {
        this->poll(!this->waiting.empty() ? waitingPoll : idlePoll);
        this->takeOrders();
        this->receive();
        this->serveWaiting();
        this->closeUnused();
        const std::lock_guard lock(this->mutex);
        if (this->stopping)
            break;
    }
    this->finish();
}

void PeersTask::Impl::poll(std::chrono::milliseconds timeout)
{
    std::vector<zmq::pollitem_t> items;
    items.push_back({ this->router.handle(), 0, ZMQ_POLLIN, 0 });
    items.push_back({ nullptr, this->wakeUp, ZMQ_POLLIN, 0 });
    // Idle connections are not polled, so that the cost does not grow with the size of the cluster.
    for (const std::string& address : this->waiting)
        items.push_back({ this->connections.at(address).socket().handle(), 0, ZMQ_POLLOUT, 0 });
    try {
        zmq::poll(items, timeout);
    } catch (const zmq::error_t& error) {
        if (error.num() != EINTR)
            logLine(LogLevel::Error, "polling peer sockets failed", { { "error", error.what() } });
    }
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t got = read(this->wakeUp, &count, sizeof(count));
}

void PeersTask::Impl::takeOrders()
{
    std::vector<Order> taken;
    {
        const std::lock_guard lock(this->mutex);
        taken.swap(this->orders);
    }
    for (Order& order : taken)
        std::visit([this](auto& content) { this->perform(content); }, order);
}

void PeersTask::Impl::perform(SendOrder& order)
{
    PeerConnection* peer = this->connection(order.address);
    if (!peer) {
        this->reportNotSent(order.address, std::move(order.message));
        return;
    }
    const Instant now = monotonicNow();
    Envelope envelope { this->settings.node, this->address, this->settings.cluster, std::move(order.message) };
    std::string bytes = encode(envelope);
    OutgoingMessage message { std::move(envelope.message), std::move(bytes), now + this->settings.waitingTimeout };
    const bool taken = peer->send(message, now);
    this->collect(*peer);
    if (peer->isWaiting())
        this->waiting.insert(order.address);
    if (!taken)
        this->reportNotSent(order.address, std::move(message.message));
}

void PeersTask::Impl::perform(const ForgetOrder& order)
{
    const auto found = this->connections.find(order.address);
    if (found == this->connections.end())
        return;
    found->second.clear([&](PeerMessage message) { this->reportNotSent(order.address, std::move(message)); });
    this->connections.erase(found);
    this->waiting.erase(order.address);
    this->connectionCount = this->connections.size();
}

PeerConnection* PeersTask::Impl::connection(const std::string& address)
{
    const auto found = this->connections.find(address);
    if (found != this->connections.end())
        return &found->second;
    try {
        const auto added
            = this->connections.try_emplace(address, this->context, address, this->settings, monotonicNow());
        this->connectionCount = this->connections.size();
        return &added.first->second;
    } catch (const zmq::error_t& error) {
        logLine(LogLevel::Warning, "cannot connect to peer", { { "address", address }, { "error", error.what() } });
        return nullptr;
    }
}

void PeersTask::Impl::receive()
{
    for (int count = 0; count < receiveBurst; ++count) {
        zmq::message_t part;
        std::string_view content;
        // The first part is the connection's identity; the last one is the message.
        if (!this->router.recv(part, zmq::recv_flags::dontwait))
            return;
        while (part.more()) {
            if (!this->router.recv(part, zmq::recv_flags::dontwait))
                return;
        }
        content = part.to_string_view();
        this->messagesReceived += 1;
        this->bytesReceived += content.size();
        this->accept(content);
    }
}

void PeersTask::Impl::accept(std::string_view bytes)
{
    ProtocolError error {};
    std::optional<Envelope> envelope = decode(bytes, error);
    if (!envelope || envelope->cluster != this->settings.cluster) {
        this->refused += 1;
        return;
    }
    this->handlers.onMessage(*std::move(envelope));
}

void PeersTask::Impl::reportNotSent(const std::string& address, PeerMessage message)
{
    this->notSent += 1;
    this->handlers.onNotSent(address, std::move(message));
}

void PeersTask::Impl::serveWaiting()
{
    const Instant now = monotonicNow();
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
        const std::string& address = *entry;
        PeerConnection& connection = this->connections.at(address);
        connection.flush(now);
        connection.expire(now, [&](PeerMessage message) { this->reportNotSent(address, std::move(message)); });
        this->collect(connection);
        entry = connection.isWaiting() ? std::next(entry) : this->waiting.erase(entry);
    }
}

void PeersTask::Impl::closeUnused()
{
    const Instant now = monotonicNow();
    if (now < this->nextCheck)
        return;
    this->nextCheck = now + checkPeriod;
    for (auto entry = this->connections.begin(); entry != this->connections.end();) {
        PeerConnection& connection = entry->second;
        connection.checkWritable(now);
        entry = connection.isDisposable(now, this->settings) ? this->connections.erase(entry) : std::next(entry);
    }
    this->connectionCount = this->connections.size();
}

void PeersTask::Impl::collect(PeerConnection& connection)
{
    this->messagesSent += connection.takeSentMessages();
    this->bytesSent += connection.takeSentBytes();
}

void PeersTask::Impl::finish()
{
    this->takeOrders();
    const Instant end = monotonicNow() + stopTimeout;
    while (!this->waiting.empty() && monotonicNow() < end) {
        this->poll(waitingPoll);
        this->serveWaiting();
    }
    for (auto& [address, connection] : this->connections) {
        connection.clear([&, &peer = address](PeerMessage message) { this->reportNotSent(peer, std::move(message)); });
        connection.setLinger(stopLinger);
    }
    this->connections.clear();
    this->connectionCount = 0;
    this->router.close();
    this->context.close();
}

std::unique_ptr<PeersTask> PeersTask::start(PeersSettings settings, PeersHandlers handlers, PeersError& error)
{
    try {
        auto impl = std::make_unique<Impl>(std::move(settings), std::move(handlers));
        impl->bind();
        Impl& task = *impl;
        task.thread = std::thread([&task] { task.run(); });
        return std::unique_ptr<PeersTask>(new PeersTask(std::move(impl)));
    } catch (const zmq::error_t& failure) {
        error = toPeersError(failure);
        return nullptr;
    }
}

PeersTask::PeersTask(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

PeersTask::~PeersTask() { this->stop(); }

bool PeersTask::send(std::string address, PeerMessage message)
{
    const bool queued = this->impl->enqueue(SendOrder { std::move(address), std::move(message) });
    if (!queued)
        this->impl->notSent += 1;
    return queued;
}

void PeersTask::forget(std::string address) { this->impl->enqueue(ForgetOrder { std::move(address) }); }

void PeersTask::stop()
{
    {
        const std::lock_guard lock(this->impl->mutex);
        this->impl->stopping = true;
    }
    this->impl->signal();
    if (this->impl->thread.joinable())
        this->impl->thread.join();
}

const std::string& PeersTask::address() const { return this->impl->address; }

PeersCounters PeersTask::counters() const
{
    return { this->impl->messagesSent, this->impl->bytesSent, this->impl->messagesReceived, this->impl->bytesReceived,
        this->impl->notSent, this->impl->refused, this->impl->connectionCount };
}

} // namespace teaselshore
