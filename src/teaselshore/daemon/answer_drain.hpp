#pragma once

#include <functional>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

/// @brief Times of an AnswerDrain.
struct DrainTimes {
    /// Not before: messages to peers and answers that are being written leave meanwhile.
    Instant earliest {};
    /// Not after, whatever is left. Goes before the earliest time.
    Instant deadline {};

    auto operator<=>(const DrainTimes&) const = default;
};

/// @brief What a process owes callers though no request is open.
struct OwedToCallers {
    UnsentAnswers unsent;
    /// Requests of which bytes have arrived.
    std::size_t arriving = 0;

    auto operator<=>(const OwedToCallers&) const = default;
};

/// @brief Returns whether a process that has answered all requests that it knows of may end.
bool mayEnd(const OwedToCallers& owed, const DrainTimes& times, Instant now);

/// @brief Holds up the end of a process while answers are on their way to callers, or requests on theirs to the
/// process.
///
/// A request counts as answered when its answer is handed to the connection, but a caller with a slow line needs
/// seconds for it; and it counts as open once it is read whole. Belongs to the event loop's thread. Loop and servers
/// must outlive it.
class AnswerDrain {
public:
    AnswerDrain(EventLoop& loop, std::vector<HttpServer*> servers);
    ~AnswerDrain();
    AnswerDrain(const AnswerDrain&) = delete;
    AnswerDrain& operator=(const AnswerDrain&) = delete;

    /// @brief Runs the function once the process may end and idle connections are closed, and logs what is left unsent.
    /// Precondition: not started yet.
    void start(const DrainTimes& limits, std::function<void()> onEnd);

private:
    void check();
    OwedToCallers owed() const;

    EventLoop& loop;
    std::vector<HttpServer*> servers;
    DrainTimes times;
    std::function<void()> onEnd;
    TimerId timer = 0;
};

} // namespace teaselshore
