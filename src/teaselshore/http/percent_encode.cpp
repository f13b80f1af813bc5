#include "teaselshore/http/percent_encode.hpp"

#include <fmt/format.h>

namespace teaselshore {

std::string percentEncode(std::string_view text, bool keepsSlashes)
{
    std::string result;
    result.reserve(text.size());
    for (const char letter : text) {
        const bool isAlphanumeric
            = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
        const bool isUnreserved = isAlphanumeric || std::string_view("-._~").find(letter) != std::string_view::npos;
        if (isUnreserved || (keepsSlashes && letter == '/'))
            result += letter;
        else
            result += fmt::format("%{:02X}", static_cast<unsigned char>(letter));
    }
    return result;
}

} // namespace teaselshore
