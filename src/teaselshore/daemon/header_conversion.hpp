#pragma once

#include "teaselshore/base/header_list.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Returns the header fields of the HTTP layer as decision code uses them.
inline HeaderList toHeaderList(const HttpHeaders& headers)
{
    HeaderList list;
    list.reserve(headers.all().size());
    for (const HttpHeader& field : headers.all())
        list.emplace_back(field.name, field.value);
    return list;
}

} // namespace teaselshore
