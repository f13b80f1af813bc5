#include "teaselshore/configuration/text_file.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>

#include <fmt/format.h>

namespace teaselshore {

std::optional<std::string> readTextFile(const std::string& path, std::size_t maxBytes, std::string& error)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    // One byte more than allowed tells a file of the largest size from a longer one, without reading all of it.
    std::string text(maxBytes + 1, '\0');
    if (file)
        file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.fail() && !file.eof())) {
        error = fmt::format("{}: cannot be read: {}", path, errno != 0 ? std::strerror(errno) : "not a text file");
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() <= maxBytes)
        return text;
    error = fmt::format("{}: larger than {} bytes", path, maxBytes);
    return std::nullopt;
}

} // namespace teaselshore
