#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "teaselshore/base/name.hpp"
#include "teaselshore/emulators/generated_text.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief How a request ended for its caller.
enum class CallerOutcome {
    Ok,
    NotRun,
    OutcomeUnknown,
    Rejected,
    Failed,
    /// The answer differs from what it must be, or is malformed.
    Wrong,
    /// The answer began and did not become complete before the deadline.
    Cut,
    /// No answer came before the deadline.
    Lost,
};
constexpr std::size_t callerOutcomes = 8;

/// @brief Returns the outcome's name in reports.
std::string_view outcomeName(CallerOutcome outcome);

/// @brief Verified end of a request.
struct CheckedAnswer {
    CallerOutcome outcome = CallerOutcome::Ok;
    /// What was wrong; empty if the answer is well-formed.
    std::string detail;

    auto operator<=>(const CheckedAnswer&) const = default;
};

/// @brief Checks an error answer: a known code, its status, and Retry-After for not_run.
CheckedAnswer checkError(int status, const HttpHeaders& headers, std::string_view body);

/// @brief Checks a complete chat completion of exactly maxTokens tokens.
CheckedAnswer checkCompletion(PromptKey prompt, std::uint64_t maxTokens, std::string_view body);

/// @brief Checks an answer of a plain service: path, key and checksum of the request's body are echoed, and the key ran
/// once. For a request without a key, key and count are not checked, because a node may add a key.
CheckedAnswer checkServiceAnswer(
    const IdempotencyKey& key, std::string_view path, std::string_view requestBody, std::string_view body);

/// @brief Checks a streamed chat completion event by event, over several connections.
class StreamChecker {
public:
    StreamChecker(PromptKey prompt, std::uint64_t maxTokens);

    /// @brief Starts over with a new connection; an incomplete event of the last one is dropped.
    void onConnection();

    /// @brief Reads body bytes. Returns the number of tokens that became complete.
    std::uint64_t onBytes(std::string_view bytes);

    /// @brief Returns the number of tokens received over all connections.
    std::uint64_t received() const { return this->tokens; }

    /// @brief Returns the result; nothing while the stream is incomplete.
    std::optional<CheckedAnswer> result() const { return this->answer; }

private:
    void onEvent(std::string_view event);
    void onData(std::optional<std::uint64_t> id, std::string_view data);
    void onContent(std::optional<std::uint64_t> id, const std::string& content);
    void fail(std::string detail);

    PromptKey prompt;
    std::uint64_t maxTokens;
    std::uint64_t tokens = 0;
    std::string buffer;
    std::optional<CheckedAnswer> answer;
};

} // namespace teaselshore
