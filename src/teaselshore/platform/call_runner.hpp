#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

#include "teaselshore/http/http_client.hpp"
#include "teaselshore/platform/platform_client.hpp"

namespace teaselshore {

/// @brief Error of a call that was not sent.
struct CallNotSent {
    PlatformError error;
};

/// @brief How a call ended: the platform replied, it was sent and got no reply, or it was not sent.
using CallOutcome = std::variant<HttpReply, PlatformError, CallNotSent>;
using PlatformReplyHandler = std::function<void(CallOutcome outcome)>;

/// @brief Sends requests within the call budget and collects the replies.
class CallRunner {
public:
    CallRunner(EventLoop& loop, const PlatformClientSettings& settings);
    ~CallRunner();
    CallRunner(const CallRunner&) = delete;
    CallRunner& operator=(const CallRunner&) = delete;

    PlatformCallId start(PlatformRequest request, PlatformReplyHandler handler);
    /// @brief Fails a call that cannot be sent, in a later round of the loop.
    PlatformCallId refuse(PlatformError error, PlatformReplyHandler handler);
    void cancel(PlatformCallId id);
    void setBudget(const CallBudgetLimits& limits);
    /// @brief Makes the next calls open new connections.
    void closeIdleConnections() { this->client->closeIdleConnections(); }
    /// @brief Counts a call whose reply was an error.
    void countFailure(PlatformCallKind kind);
    void countUnreadableObjects(PlatformCallKind kind, std::size_t count);

    const PlatformCallCounts& counts(PlatformCallKind kind) const;
    std::size_t waitingWatches() const { return this->watches; }

private:
    struct Call {
        PlatformRequest request;
        PlatformReplyHandler handler;
        HttpReply reply;
        Instant deadline;
        TimerId timer = 0;
        /// 0 until the request is sent.
        CallId httpCall = 0;
    };
    /// Calls that wait for a token, in the order of their start.
    struct Lane {
        TokenBucket bucket;
        std::deque<PlatformCallId> queue;
        TimerId timer = 0;
    };

    Lane& lane(PlatformCallKind kind);
    void pump(Lane& lane);
    void send(PlatformCallId id, Call& call);
    void onData(PlatformCallId id, std::string_view bytes);
    void onDeadline(PlatformCallId id);
    /// @brief Removes the call and returns it; the caller runs the handler.
    std::unique_ptr<Call> remove(PlatformCallId id);
    void fail(PlatformCallId id, const PlatformError& error);

    EventLoop& loop;
    PlatformClientSettings settings;
    std::unique_ptr<HttpClient> client;
    Lane reads;
    Lane writes;
    std::unordered_map<PlatformCallId, std::unique_ptr<Call>> calls;
    std::array<PlatformCallCounts, platformCallKinds> statistics {};
    PlatformCallId lastCall = 0;
    std::size_t watches = 0;
};

} // namespace teaselshore
