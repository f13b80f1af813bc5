#include "reply_parser.hpp"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

namespace teaselshore {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr std::uint32_t maxHeadBytes = 64 * 1024;
    /// Longest chunk or announced body. The peer cannot mean it, and waiting for the rest would last until the
    /// deadline.
    constexpr std::uint64_t maxAnnouncedBytes = std::uint64_t { 64 } * 1024 * 1024 * 1024;
    /// Informational replies (1xx) before the final one.
    constexpr std::size_t maxInformational = 16;
    constexpr int switchingProtocols = 101;
    /// Statuses outside of these have no meaning in HTTP, and callers could take them for any other.
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;

    /// Returns whether a status line begins inside a line of a head. A peer that breaks off a reply and goes on with
    /// the next one joins their heads, so that the status of one comes with the fields of the other.
    bool holdsStatusLine(beast::string_view line)
    {
        constexpr std::string_view protocol = "HTTP/1.";
        const std::string_view text(line.data(), line.size());
        for (std::size_t at = text.find(protocol); at != std::string_view::npos; at = text.find(protocol, at + 1)) {
            const std::string_view rest = text.substr(at + protocol.size());
            if (rest.size() >= 2 && rest[0] >= '0' && rest[0] <= '9' && rest[1] == ' ')
                return true;
        }
        return false;
    }

} // namespace

/// Parser of one message; an informational reply (1xx) and the final one are two messages.
class ReplyParser::Message : public http::basic_parser<false> {
public:
    Message(ReplySink& sink, bool isHeadRequest)
        : sink(sink)
    {
        this->header_limit(maxHeadBytes);
        // The limit applies to memory use, and the body is not stored here.
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
        this->eager(true);
        this->skip(isHeadRequest);
    }

    bool isInformational() const { return this->status / 100 == 1; }
    bool isStopped() const { return this->stopped; }

private:
    void on_request_impl(http::verb, beast::string_view, beast::string_view, int, beast::error_code&) override { }

    void on_response_impl(int code, beast::string_view reason, int, beast::error_code& error) override
    {
        this->status = code;
        // No request asks for another protocol.
        if (code < firstStatus || code > lastStatus || code == switchingProtocols)
            error = http::error::bad_status;
        else if (holdsStatusLine(reason))
            error = http::error::bad_reason;
    }

    void on_field_impl(
        http::field name, beast::string_view text, beast::string_view value, beast::error_code& error) override
    {
        if (this->headers.all().size() == HttpHeaders::maxFields) {
            error = http::error::header_limit;
            return;
        }
        if (holdsStatusLine(value))
            error = http::error::bad_value;
        // Requests allow no other encoding than chunked.
        if (name == http::field::transfer_encoding && (++this->encodings > 1 || !beast::iequals(value, "chunked")))
            error = http::error::bad_transfer_encoding;
        this->headers.add({ text.data(), text.size() }, std::string(value.data(), value.size()));
    }

    void on_header_impl(beast::error_code& error) override
    {
        if (this->content_length().value_or(0) > maxAnnouncedBytes) {
            error = http::error::bad_content_length;
            return;
        }
        if (!this->isInformational())
            this->stopUnless(this->sink.onReplyHead(this->status, this->headers, this->need_eof()), error);
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, beast::error_code&) override { }

    std::size_t on_body_impl(beast::string_view bytes, beast::error_code& error) override
    {
        this->stopUnless(this->sink.onReplyBytes({ bytes.data(), bytes.size() }), error);
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t size, beast::string_view, beast::error_code& error) override
    {
        if (size > maxAnnouncedBytes)
            error = http::error::bad_chunk;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, beast::error_code& error) override
    {
        if (!bytes.empty())
            this->stopUnless(this->sink.onReplyBytes({ bytes.data(), bytes.size() }), error);
        return bytes.size();
    }

    void on_finish_impl(beast::error_code&) override { }

    void stopUnless(bool goOn, beast::error_code& error)
    {
        if (goOn)
            return;
        this->stopped = true;
        error = http::error::end_of_stream;
    }

    ReplySink& sink;
    HttpHeaders headers;
    int status = 0;
    int encodings = 0;
    bool stopped = false;
};

ReplyParser::ReplyParser(ReplySink& sink, bool isHeadRequest)
    : message(std::make_unique<Message>(sink, isHeadRequest))
    , sink(sink)
    , isHeadRequest(isHeadRequest)
{
}

ReplyParser::~ReplyParser() = default;

ReplyParser::Progress ReplyParser::put(std::string_view bytes, std::size_t& used)
{
    used = 0;
    while (used < bytes.size()) {
        beast::error_code error;
        used += this->message->put({ bytes.data() + used, bytes.size() - used }, error);
        if (this->message->isStopped())
            return Progress::Stopped;
        if (error == http::error::need_more)
            return Progress::NeedsMore;
        if (error)
            return Progress::Malformed;
        if (!this->message->is_done())
            continue;
        if (!this->message->isInformational())
            return Progress::Done;
        if (++this->informational > maxInformational)
            return Progress::Malformed;
        this->message = std::make_unique<Message>(this->sink, this->isHeadRequest);
    }
    return Progress::NeedsMore;
}

ReplyParser::Progress ReplyParser::putEnd()
{
    if (!this->message->got_some())
        return Progress::BrokenOff;
    beast::error_code error;
    this->message->put_eof(error);
    return error ? Progress::BrokenOff : Progress::Done;
}

bool ReplyParser::keepsAlive() const { return this->message->keep_alive(); }

} // namespace teaselshore
