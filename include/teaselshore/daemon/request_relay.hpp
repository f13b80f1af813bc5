#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "teaselshore/http/http_client.hpp"
#include "teaselshore/http/http_server.hpp"
#include "teaselshore/node/request_command.hpp"
#include "teaselshore/node/request_event.hpp"

namespace teaselshore {

/// @brief What the relay reports to the node's decisions.
using RelayEvent = std::variant<CallerGone, AttemptStarted, AttemptFinished, AttemptFailed>;

/// @brief Counters of a RequestRelay since its start.
struct RelayCounters {
    std::uint64_t relayedBytes = 0;
    /// Responses whose request or attempt header named another request.
    std::uint64_t misdirectedResponses = 0;
    /// Responses to earlier requests on the same connection.
    std::uint64_t skippedResponses = 0;
    /// Callers that read a stream too slowly for the limit of pending bytes.
    std::uint64_t slowCallers = 0;
    /// Responses given up since they, or one of their events, had no end.
    std::uint64_t endlessResponses = 0;

    auto operator<=>(const RelayCounters&) const = default;
};

/// @brief Streams of upstreams that end with a `[DONE]` event. The caller gets a head of this system, and an error
/// event in place of the final one if the stream cannot be completed.
struct DoneEventStreams {
    auto operator<=>(const DoneEventStreams&) const = default;
};

/// @brief Streams whose end is the end of the response's body. The caller gets the upstream's head unchanged, and a
/// broken connection if the stream cannot be completed.
struct FramedStreams {
    /// Header field that the head of a usable response has.
    std::string requiredField;

    auto operator<=>(const FramedStreams&) const = default;
};

using StreamRules = std::variant<DoneEventStreams, FramedStreams>;

/// @brief Carries out the request path's commands: starts calls to upstreams and answers callers.
///
/// Streams go from the upstream to the caller without a decision per event. All methods belong to the event loop's
/// thread. Events are emitted from the loop, never from inside a method called by the owner.
class RequestRelay {
public:
    /// @brief Limits of the relay.
    struct Settings {
        /// A caller that leaves more bytes unread than this is disconnected.
        std::size_t maxPendingStreamBytes = std::size_t { 4 } * 1024 * 1024;
        /// Unread bytes of all callers; beyond it, the caller with the most is disconnected.
        std::size_t maxPendingTotal = std::size_t { 64 } * 1024 * 1024;
        /// Longest response that is collected before it is passed on.
        std::size_t maxCollectedBytes = std::size_t { 16 } * 1024 * 1024;
        /// Bytes of all responses that are being collected and of events whose end is missing; beyond it, the longest
        /// one is given up.
        std::size_t maxCollectedTotal = std::size_t { 64 } * 1024 * 1024;
        StreamRules streams = DoneEventStreams {};

        auto operator<=>(const Settings&) const = default;
    };

    RequestRelay(EventLoop& loop, const Settings& settings, std::function<void(RelayEvent)> emit);
    ~RequestRelay();
    RequestRelay(const RequestRelay&) = delete;
    RequestRelay& operator=(const RequestRelay&) = delete;

    /// @brief Registers the caller of a request. Precondition: the id is not registered.
    void addCaller(const RequestId& request, std::shared_ptr<ServerExchange> exchange);

    void execute(StartAttempt command);
    void execute(const CancelAttempt& command);
    void execute(const InterruptAttempt& command);
    void execute(Respond command);
    void execute(const FailStream& command);

    std::size_t openCallers() const;
    std::size_t openAttempts() const;
    RelayCounters counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace teaselshore
