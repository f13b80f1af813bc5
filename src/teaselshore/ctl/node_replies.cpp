#include "node_replies.hpp"

#include <algorithm>

namespace teaselshore {

bool isPathSegment(const std::string& id)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    };
    return !id.empty() && id.front() != '.' && std::all_of(id.begin(), id.end(), isAllowed);
}

} // namespace teaselshore
