#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/emulators/answer_check.hpp"
#include "teaselshore/emulators/load_plan.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Send this request after the delay.
struct FlowSend {
    Duration delay {};
    std::size_t entry = 0;
    HttpRequest request;

    auto operator<=>(const FlowSend&) const = default;
};

/// @brief The request has ended.
struct FlowDone {
    CheckedAnswer answer;

    auto operator<=>(const FlowDone&) const = default;
};

using FlowStep = std::variant<FlowSend, FlowDone>;

/// @brief Delays of a caller.
struct FlowSettings {
    std::size_t entries = 1;
    Duration firstRetry = std::chrono::milliseconds(50);
    Duration longestRetry = std::chrono::seconds(1);
    Duration pollInterval = std::chrono::milliseconds(200);

    auto operator<=>(const FlowSettings&) const = default;
};

/// @brief Behaviour of one caller: sends a request, attaches to another node when the connection breaks, polls for
/// asynchronous results, and checks the answer.
///
/// Pure: no I/O. Not thread-safe.
class CallerFlow {
public:
    CallerFlow(PlannedRequest planned, const FlowSettings& settings, Instant now);

    /// @brief Returns the first request to send.
    FlowSend first() const;

    void onHead(int status, const HttpHeaders& headers, Instant now);
    void onData(std::string_view bytes, Instant now);
    FlowStep onEnd(Instant now);
    FlowStep onError(const HttpError& error, Instant now);

    const PlannedRequest& request() const { return this->planned; }
    /// @brief Returns whether a connection broke after the request may have been sent.
    bool mayHaveRunUnseen() const { return this->brokenAfterSend; }
    std::uint64_t reattached() const { return this->retries; }
    Duration elapsed(Instant now) const { return now - this->begin; }
    /// @brief Returns the time until the first token of a stream, or the head of another answer.
    std::optional<Duration> firstByte() const { return this->firstByteTime; }
    /// @brief Returns the times between tokens of a stream, in milliseconds.
    const std::vector<double>& tokenGaps() const { return this->gaps; }

private:
    bool isStreamed() const;
    FlowStep poll(Instant now);
    FlowStep again(Instant now);
    FlowStep giveUp() const;
    CheckedAnswer checkBody() const;

    PlannedRequest planned;
    FlowSettings settings;
    Instant begin;
    Instant deadline;
    std::size_t entry;
    StreamChecker stream;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    /// Set once the request was accepted for asynchronous execution.
    std::optional<std::string> location;
    bool brokenAfterSend = false;
    std::uint64_t retries = 0;
    std::optional<Duration> firstByteTime;
    Instant lastToken {};
    std::vector<double> gaps;
};

} // namespace teaselshore
