#include "client_call.hpp"

#include <charconv>

namespace teaselshore {

namespace {

    constexpr std::string_view timeoutParameter = "timeout=";

    std::optional<Duration> keepAliveTime(const HttpHeaders& headers)
    {
        const std::optional<std::string> text = headers.find("keep-alive");
        const std::size_t start = text ? text->find(timeoutParameter) : std::string::npos;
        if (start == std::string::npos)
            return std::nullopt;
        std::int64_t seconds = 0;
        const char* first = text->data() + start + timeoutParameter.size();
        if (std::from_chars(first, text->data() + text->size(), seconds).ec != std::errc())
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace

bool ClientCall::onReplyHead(int status, const HttpHeaders& headers, bool endsWithConnection)
{
    if (endsWithConnection && !this->call.acceptUnframedReply) {
        this->refusal = HttpError { HttpError::Kind::MalformedReply, "reply has neither length nor chunks", true };
        return false;
    }
    if (const auto& echo = this->call.expectedEcho) {
        const std::optional<std::string> value = headers.find(echo->name);
        this->foreignReply = value && *value != echo->value;
        if (this->foreignReply)
            return true;
    }
    this->keepAlive = keepAliveTime(headers);
    if (this->handlers.onHead)
        this->handlers.onHead(status, headers);
    return !this->cancelled;
}

bool ClientCall::onReplyBytes(std::string_view bytes)
{
    if (this->foreignReply)
        return true;
    if (this->handlers.onData)
        this->handlers.onData(bytes);
    return !this->cancelled;
}

} // namespace teaselshore
