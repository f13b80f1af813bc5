#include "client_call.hpp"

#include <cstring>
#include <string_view>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace teaselshore {

std::optional<ReplyFraming> replyFraming(const HttpHeaders& headers)
{
    std::optional<std::string> length;
    bool chunked = false;
    for (const HttpHeader& field : headers.all()) {
        if (field.name == "transfer-encoding")
            chunked = true;
        if (field.name != "content-length")
            continue;
        if (length && *length != field.value)
            return std::nullopt;
        length = field.value;
    }
    if (chunked && length)
        return std::nullopt;
    if (chunked)
        return ReplyFraming::Chunked;
    return length ? ReplyFraming::ContentLength : ReplyFraming::EndOfConnection;
}

HttpError convertError(const char* text, bool requestMayHaveBeenSent)
{
    const std::string_view detail(text);
    HttpError::Kind kind = HttpError::Kind::ConnectionClosed;
    if (detail.find("parse") != std::string_view::npos || detail.find("invalid") != std::string_view::npos
        || detail.find("unexpected type") != std::string_view::npos)
        kind = HttpError::Kind::MalformedReply;
    if (detail.find("timeout") != std::string_view::npos)
        kind = HttpError::Kind::Timeout;
    return HttpError { kind, std::string(detail), requestMayHaveBeenSent };
}

bool endedOrderly(h2o_socket_t* socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return false;
    return info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace teaselshore
