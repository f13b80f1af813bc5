#include "client_call.hpp"

namespace teaselshore {

bool ClientCall::onReplyHead(int status, const HttpHeaders& headers, bool endsWithConnection)
{
    if (endsWithConnection && !this->call.acceptUnframedReply) {
        this->refusal = HttpError { HttpError::Kind::MalformedReply, "reply has neither length nor chunks", true };
        return false;
    }
    if (this->handlers.onHead)
        this->handlers.onHead(status, headers);
    return !this->cancelled;
}

bool ClientCall::onReplyBytes(std::string_view bytes)
{
    if (this->handlers.onData)
        this->handlers.onData(bytes);
    return !this->cancelled;
}

} // namespace teaselshore
