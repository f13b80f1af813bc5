#include "text_chunks.hpp"

#include <unordered_map>

namespace teaselshore {

namespace {

    /// Mean number of lines in a chunk: a line ends its chunk if its fingerprint is divisible by this number.
    constexpr Fingerprint meanLinesPerChunk = 4;
    /// A chunk ends at the latest with the line that makes it reach this size.
    constexpr std::size_t maximumChunkBytes = 4096;

    void appendCopiedChunk(std::vector<ConfigurationPiece>& pieces, std::uint32_t index)
    {
        CopiedChunks* last = pieces.empty() ? nullptr : std::get_if<CopiedChunks>(&pieces.back());
        if (last && last->first + last->count == index)
            last->count += 1;
        else
            pieces.emplace_back(CopiedChunks { index, 1 });
    }

    void appendText(std::vector<ConfigurationPiece>& pieces, std::string_view text)
    {
        std::string* last = pieces.empty() ? nullptr : std::get_if<std::string>(&pieces.back());
        if (last)
            last->append(text);
        else
            pieces.emplace_back(std::string(text));
    }

    /// @brief Returns the index of the chunk after the last copied one, which is the most likely match.
    std::uint32_t nextExpectedChunk(const std::vector<ConfigurationPiece>& pieces)
    {
        const CopiedChunks* last = pieces.empty() ? nullptr : std::get_if<CopiedChunks>(&pieces.back());
        return last ? last->first + last->count : 0;
    }

} // namespace

std::vector<std::string_view> splitChunks(std::string_view text)
{
    std::vector<std::string_view> chunks;
    std::size_t start = 0;
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t newline = text.find('\n', position);
        const std::size_t end = newline == std::string_view::npos ? text.size() : newline + 1;
        const bool boundary = fingerprint(text.substr(position, end - position)) % meanLinesPerChunk == 0;
        position = end;
        if (!boundary && end - start < maximumChunkBytes && end < text.size())
            continue;
        chunks.push_back(text.substr(start, end - start));
        start = end;
    }
    return chunks;
}

std::vector<Fingerprint> chunkDigests(std::string_view text)
{
    std::vector<Fingerprint> digests;
    for (const std::string_view chunk : splitChunks(text))
        digests.push_back(fingerprint(chunk));
    return digests;
}

std::vector<ConfigurationPiece> differenceFrom(const std::vector<Fingerprint>& base, std::string_view text)
{
    std::unordered_map<Fingerprint, std::uint32_t> positions;
    positions.reserve(base.size());
    for (std::uint32_t index = 0; index < base.size(); ++index)
        positions.emplace(base[index], index);

    std::vector<ConfigurationPiece> pieces;
    for (const std::string_view chunk : splitChunks(text)) {
        const Fingerprint digest = fingerprint(chunk);
        const std::uint32_t next = nextExpectedChunk(pieces);
        if (next < base.size() && base[next] == digest) {
            appendCopiedChunk(pieces, next);
            continue;
        }
        const auto found = positions.find(digest);
        if (found == positions.end())
            appendText(pieces, chunk);
        else
            appendCopiedChunk(pieces, found->second);
    }
    return pieces;
}

std::optional<std::string> assembleText(std::string_view base, const std::vector<ConfigurationPiece>& pieces)
{
    const std::vector<std::string_view> chunks = splitChunks(base);
    std::string text;
    for (const ConfigurationPiece& piece : pieces) {
        if (const std::string* added = std::get_if<std::string>(&piece)) {
            text += *added;
            continue;
        }
        const CopiedChunks& copied = std::get<CopiedChunks>(piece);
        if (copied.count == 0)
            continue;
        if (copied.first >= chunks.size() || copied.count > chunks.size() - copied.first)
            return std::nullopt;
        const std::string_view last = chunks[copied.first + copied.count - 1];
        const char* begin = chunks[copied.first].data();
        text.append(begin, last.data() + last.size());
    }
    return text;
}

} // namespace teaselshore
