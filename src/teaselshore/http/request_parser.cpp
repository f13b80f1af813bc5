#include "request_parser.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

namespace teaselshore {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr int http10 = 10;
    constexpr std::string_view hexDot = "%2e";

    std::string_view view(beast::string_view text) { return { text.data(), text.size() }; }

    /// Replaces encoded dots, so that "/%2e%2E/" is seen as "/../".
    std::string withPlainDots(std::string_view path)
    {
        std::string plain;
        while (!path.empty()) {
            const bool encoded = path.size() >= hexDot.size() && beast::iequals({ path.data(), hexDot.size() }, "%2e");
            plain.push_back(encoded ? '.' : path.front());
            path.remove_prefix(encoded ? hexDot.size() : 1);
        }
        return plain;
    }

    bool hasDotSegment(std::string_view target)
    {
        const std::string path = withPlainDots(target.substr(0, target.find('?'))) + "/";
        return path.find("/./") != std::string::npos || path.find("/../") != std::string::npos;
    }

    bool isTarget(std::string_view target, bool refuseDotSegments)
    {
        const bool visible = std::all_of(target.begin(), target.end(), [](char letter) {
            const auto byte = static_cast<unsigned char>(letter);
            return byte > 0x20 && byte != 0x7f;
        });
        return visible && target.starts_with('/') && !(refuseDotSegments && hasDotSegment(target));
    }

} // namespace

class RequestParser::Message : public http::basic_parser<true> {
public:
    explicit Message(const RequestLimits& limits)
        : maxFields(limits.maxHeaderFields)
        , refuseDotSegments(limits.refuseDotSegments)
    {
        this->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        this->body_limit(limits.maxBodyBytes);
        this->eager(true);
    }

    HttpRequest request;
    std::size_t headerBytes = 0;
    std::string body;
    bool isVersion10 = false;
    bool expectsContinue = false;

private:
    void on_request_impl(http::verb, beast::string_view method, beast::string_view target, int version,
        beast::error_code& error) override
    {
        this->request.method = std::string(method);
        this->request.path = std::string(target);
        this->isVersion10 = version == http10;
        if (!isTarget(this->request.path, this->refuseDotSegments))
            error = http::error::bad_target;
    }

    void on_response_impl(int, beast::string_view, int, beast::error_code&) override { }

    void on_field_impl(
        http::field name, beast::string_view text, beast::string_view value, beast::error_code& error) override
    {
        if (this->request.headers.all().size() == this->maxFields) {
            error = http::error::header_limit;
            return;
        }
        this->headerBytes += sizeof(HttpHeader) + text.size() + value.size();
        if (name == http::field::content_length && ++this->lengths > 1)
            error = http::error::bad_content_length;
        if (name == http::field::transfer_encoding && (++this->encodings > 1 || !beast::iequals(value, "chunked")))
            error = http::error::bad_transfer_encoding;
        if (name == http::field::host)
            ++this->hosts;
        if (name == http::field::expect)
            this->expectsContinue = beast::iequals(value, "100-continue");
        this->request.headers.add(view(text), std::string(value));
    }

    void on_header_impl(beast::error_code& error) override
    {
        const bool twoLengths = this->lengths > 0 && this->encodings > 0;
        // HTTP/1.0 has no transfer encodings; a proxy in front might take the chunks for the next request.
        if (twoLengths || (this->isVersion10 && this->encodings > 0))
            error = http::error::bad_transfer_encoding;
        else if (this->hosts > 1 || (this->hosts == 0 && !this->isVersion10))
            error = http::error::bad_field;
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, beast::error_code&) override
    {
        if (length)
            this->body.reserve(static_cast<std::size_t>(*length));
    }

    std::size_t on_body_impl(beast::string_view bytes, beast::error_code&) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, beast::error_code&) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(beast::error_code&) override { }

    std::size_t maxFields;
    bool refuseDotSegments;
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
};

RequestParser::RequestParser(const RequestLimits& limits)
    : message(std::make_unique<Message>(limits))
{
}

RequestParser::~RequestParser() = default;

RequestParser::Progress RequestParser::put(std::string_view bytes, std::size_t& used)
{
    used = 0;
    while (used < bytes.size()) {
        beast::error_code error;
        used += this->message->put({ bytes.data() + used, bytes.size() - used }, error);
        if (error == http::error::need_more)
            return Progress::NeedsMore;
        if (error == http::error::header_limit)
            return Progress::HeaderTooLarge;
        if (error == http::error::body_limit)
            return Progress::BodyTooLarge;
        if (error)
            return Progress::Malformed;
        if (this->message->is_done())
            return Progress::Done;
    }
    return Progress::NeedsMore;
}

bool RequestParser::hasHeader() const { return this->message->is_header_done(); }
bool RequestParser::expectsContinue() const { return this->message->expectsContinue; }
bool RequestParser::keepsAlive() const { return this->message->keep_alive(); }
bool RequestParser::isVersion10() const { return this->message->isVersion10; }
std::size_t RequestParser::headerBytes() const { return this->message->headerBytes; }
std::size_t RequestParser::bodyBytes() const { return this->message->body.size(); }
std::optional<std::size_t> RequestParser::announcedBytes() const
{
    const boost::optional<std::uint64_t> length = this->message->content_length();
    return length ? std::optional(static_cast<std::size_t>(*length)) : std::nullopt;
}
HttpRequest RequestParser::take(std::shared_ptr<const void> bodyGuard)
{
    this->message->request.body = SharedBytes(std::move(this->message->body), std::move(bodyGuard));
    return std::move(this->message->request);
}

} // namespace teaselshore
