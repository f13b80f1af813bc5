#include "client_call.hpp"

#include <charconv>

namespace teaselshore {

namespace {

    /// An upstream has few requests open on a connection, and each of their replies can come late once.
    constexpr std::size_t mostSkippedReplies = 16;
    constexpr std::size_t mostSkippedBytes = std::size_t { 4 } * 1024 * 1024;
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
        return toStatedTime(std::chrono::seconds(seconds));
    }

} // namespace

bool ClientCall::onReplyHead(int status, const HttpHeaders& headers, bool endsWithConnection)
{
    if (endsWithConnection && !this->call.acceptUnframedReply) {
        return this->refuse("reply has neither length nor chunks");
    }
    const Attribution attribution = this->call.expectedEcho ? this->attribute(headers) : Attribution::Own;
    if (attribution == Attribution::Unclear)
        return this->refuse("reply does not name one request");
    this->foreignReply = attribution == Attribution::Earlier;
    if (this->foreignReply)
        return this->skipReply(status, headers);
    this->keepAlive = keepAliveTime(headers);
    if (this->handlers.onHead)
        this->handlers.onHead(status, headers);
    return !this->cancelled;
}

ClientCall::Attribution ClientCall::attribute(const HttpHeaders& headers) const
{
    const bool isOnlyRequest = this->connection->sentEchoes.count() == 1;
    // Such a request shares no connection.
    if (this->call.expectedEcho->value.empty() && isOnlyRequest)
        return Attribution::Own;
    bool hasOwn = false;
    bool hasOther = false;
    for (const HttpHeader& field : headers.all()) {
        if (field.name != this->call.expectedEcho->name)
            continue;
        (field.value == this->call.expectedEcho->value ? hasOwn : hasOther) = true;
    }
    if (hasOwn != hasOther)
        return hasOwn ? Attribution::Own : Attribution::Earlier;
    return !hasOwn && isOnlyRequest ? Attribution::Own : Attribution::Unclear;
}

bool ClientCall::skipReply(int status, const HttpHeaders& headers)
{
    if (++this->skippedReplies > mostSkippedReplies)
        return this->refuse("too many replies to other requests");
    if (this->handlers.onSkippedReply)
        this->handlers.onSkippedReply(status, headers);
    return !this->cancelled;
}

bool ClientCall::refuse(const char* reason)
{
    this->refusal = HttpError { HttpError::Kind::MalformedReply, reason, true };
    return false;
}

bool ClientCall::onReplyBytes(std::string_view bytes)
{
    if (this->foreignReply) {
        this->skippedBytes += bytes.size();
        return this->skippedBytes <= mostSkippedBytes || this->refuse("replies to other requests are too long");
    }
    if (this->handlers.onData)
        this->handlers.onData(bytes);
    return !this->cancelled;
}

} // namespace teaselshore
