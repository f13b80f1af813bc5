#pragma once

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teaselshore/base/shared_bytes.hpp"

namespace teaselshore {

/// @brief One header field. Names are lower case.
struct HttpHeader {
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader&) const = default;
};

/// @brief Ordered list of header fields.
class HttpHeaders {
public:
    /// Fields of a message that is read. Each is kept as two strings, which take some 20 times the bytes of the
    /// shortest fields.
    static constexpr std::size_t maxFields = 256;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields);

    /// @brief Appends a field; the name is stored in lower case.
    void add(std::string_view name, std::string value);

    /// @brief Returns the value of the first field with this name, compared without case.
    std::optional<std::string> find(std::string_view name) const;

    const std::vector<HttpHeader>& all() const { return this->fields; }

    auto operator<=>(const HttpHeaders&) const = default;

private:
    std::vector<HttpHeader> fields;
};

/// @brief Request as a server received it. The path includes the query string.
struct HttpRequest {
    std::string method;
    std::string path;
    HttpHeaders headers;
    SharedBytes body;

    auto operator<=>(const HttpRequest&) const = default;
};

/// @brief Complete reply.
struct HttpReply {
    int status = 200;
    HttpHeaders headers;
    std::string body;

    auto operator<=>(const HttpReply&) const = default;
};

} // namespace teaselshore
