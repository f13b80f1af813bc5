#include "teaselshore/emulators/answer_check.hpp"

#include <fmt/format.h>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/emulators/json_reply.hpp"
#include "teaselshore/emulators/target.hpp"

namespace teaselshore {

namespace {

    using nlohmann::json;

    std::optional<CallerOutcome> outcomeOfCode(const std::string& code)
    {
        if (code == "not_run")
            return CallerOutcome::NotRun;
        if (code == "outcome_unknown")
            return CallerOutcome::OutcomeUnknown;
        if (code == "rejected")
            return CallerOutcome::Rejected;
        if (code == "failed")
            return CallerOutcome::Failed;
        return std::nullopt;
    }

    bool statusFits(CallerOutcome outcome, int status)
    {
        switch (outcome) {
        case CallerOutcome::NotRun:
            return status == 503;
        case CallerOutcome::OutcomeUnknown:
            return status == 504;
        case CallerOutcome::Failed:
            return status == 502;
        default:
            return status >= 400 && status < 500;
        }
    }

    /// Outcome of a document {"error":{"code","message"}}.
    std::optional<CallerOutcome> errorOutcome(const json& document)
    {
        const auto error = document.find("error");
        if (error == document.end() || !error->is_object() || memberText(*error, "message").empty())
            return std::nullopt;
        return outcomeOfCode(memberText(*error, "code"));
    }

    /// Content of the only choice of an answer; nothing if there is none.
    std::optional<std::string> choiceContent(const json& document, const char* part)
    {
        const auto choices = document.find("choices");
        if (choices == document.end() || !choices->is_array() || choices->size() != 1 || !choices->front().is_object())
            return std::nullopt;
        const auto holder = choices->front().find(part);
        if (holder == choices->front().end() || !holder->is_object())
            return std::nullopt;
        const auto content = holder->find("content");
        if (content == holder->end() || !content->is_string())
            return std::nullopt;
        return content->get<std::string>();
    }

    CheckedAnswer wrong(std::string detail) { return { CallerOutcome::Wrong, std::move(detail) }; }

    /// Start of a text, short enough for a log line.
    std::string_view excerpt(std::string_view text) { return text.substr(0, 160); }

} // namespace

std::string_view outcomeName(CallerOutcome outcome)
{
    switch (outcome) {
    case CallerOutcome::Ok:
        return "ok";
    case CallerOutcome::NotRun:
        return "not_run";
    case CallerOutcome::OutcomeUnknown:
        return "outcome_unknown";
    case CallerOutcome::Rejected:
        return "rejected";
    case CallerOutcome::Failed:
        return "failed";
    case CallerOutcome::Wrong:
        return "wrong";
    case CallerOutcome::Cut:
        return "cut";
    case CallerOutcome::Lost:
        break;
    }
    return "lost";
}

CheckedAnswer checkError(int status, const HttpHeaders& headers, std::string_view body)
{
    const auto document = parseObject(body);
    const auto outcome = document ? errorOutcome(*document) : std::nullopt;
    if (!outcome)
        return wrong(fmt::format("status {} without a known error code: {}", status, excerpt(body)));
    if (!statusFits(*outcome, status))
        return wrong(fmt::format("status {} does not fit code {}", status, outcomeName(*outcome)));
    if (*outcome == CallerOutcome::NotRun && !headers.find("retry-after"))
        return wrong("not_run without Retry-After");
    return { *outcome, {} };
}

CheckedAnswer checkCompletion(PromptKey prompt, std::uint64_t maxTokens, std::string_view body)
{
    const auto document = parseObject(body);
    const auto content = document ? choiceContent(*document, "message") : std::nullopt;
    if (!content)
        return wrong(fmt::format("no completion: {}", excerpt(body)));
    if (*content != generatedText(prompt, 0, maxTokens))
        return wrong(fmt::format("completion differs from the generated text: {}", excerpt(*content)));
    return {};
}

CheckedAnswer checkServiceAnswer(
    const IdempotencyKey& key, std::string_view path, std::string_view requestBody, std::string_view body)
{
    const auto document = parseObject(body);
    if (!document)
        return wrong(fmt::format("answer is no JSON object: {}", excerpt(body)));
    if (!key.empty() && memberText(*document, "key") != key.value())
        return wrong(fmt::format("answer for another key: {}", excerpt(body)));
    if (memberText(*document, "path") != path)
        return wrong(fmt::format("answer for another path: {}", excerpt(body)));
    if (memberText(*document, "checksum") != fmt::format("{:016x}", fingerprint(requestBody)))
        return wrong(fmt::format("answer for another body: {}", excerpt(body)));
    if (!key.empty() && document->value("count", json()) != 1)
        return wrong(fmt::format("the key had not run exactly once: {}", excerpt(body)));
    return {};
}

StreamChecker::StreamChecker(PromptKey prompt, std::uint64_t maxTokens)
    : prompt(prompt)
    , maxTokens(maxTokens)
{
}

void StreamChecker::onConnection() { this->buffer.clear(); }

std::uint64_t StreamChecker::onBytes(std::string_view bytes)
{
    const std::uint64_t before = this->tokens;
    this->buffer += bytes;
    std::size_t begin = 0;
    for (std::size_t end = this->buffer.find("\n\n"); end != std::string::npos;
         end = this->buffer.find("\n\n", begin)) {
        this->onEvent(std::string_view(this->buffer).substr(begin, end - begin));
        begin = end + 2;
    }
    this->buffer.erase(0, begin);
    return this->tokens - before;
}

void StreamChecker::onEvent(std::string_view event)
{
    std::optional<std::uint64_t> id;
    std::string data;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (line.starts_with("id: "))
            id = parseNumber(line.substr(4));
        else if (line.starts_with("data: "))
            data += line.substr(6);
    }
    // Events without data are comments that keep the connection open.
    if (!data.empty())
        this->onData(id, data);
}

void StreamChecker::onData(std::optional<std::uint64_t> id, std::string_view data)
{
    if (this->answer) {
        this->fail("event after the end of the stream");
        return;
    }
    if (data == "[DONE]") {
        if (this->tokens == this->maxTokens)
            this->answer = CheckedAnswer {};
        else
            this->fail(fmt::format("stream ended after {} of {} tokens", this->tokens, this->maxTokens));
        return;
    }
    const auto document = parseObject(data);
    if (!document) {
        this->fail(fmt::format("event is no JSON object: {}", excerpt(data)));
        return;
    }
    if (document->contains("error")) {
        const auto outcome = errorOutcome(*document);
        if (outcome)
            this->answer = CheckedAnswer { *outcome, {} };
        else
            this->fail(fmt::format("malformed error event: {}", excerpt(data)));
        return;
    }
    if (const auto content = choiceContent(*document, "delta"))
        this->onContent(id, *content);
}

void StreamChecker::onContent(std::optional<std::uint64_t> id, const std::string& content)
{
    if (id != this->tokens) {
        this->fail(fmt::format("event id {} where token {} was due", id ? std::to_string(*id) : "none", this->tokens));
        return;
    }
    if (content != generatedToken(this->prompt, this->tokens)) {
        this->fail(fmt::format("token {} differs from the generated text: {}", this->tokens, excerpt(content)));
        return;
    }
    ++this->tokens;
}

void StreamChecker::fail(std::string detail)
{
    if (!this->answer || this->answer->outcome != CallerOutcome::Wrong)
        this->answer = wrong(std::move(detail));
}

} // namespace teaselshore
