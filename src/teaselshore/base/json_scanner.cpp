#include "json_scanner.hpp"

#include <algorithm>
#include <string>

namespace teaselshore {

namespace {

    constexpr std::string_view space = " \t\r\n";
    /// Bytes that end a number or a word.
    constexpr std::string_view delimiters = " \t\r\n\"{}[],:";
    /// Tokens besides the brackets, commas and colons, which stand for themselves.
    constexpr char stringToken = '"';
    constexpr char scalarToken = 's';
    /// Bounds the time for texts in which values are opened again and again.
    constexpr std::size_t maxDepth = 64;

    /// What may come next inside a value.
    enum class Expected {
        Value,
        ValueOrEnd,
        Key,
        KeyOrEnd,
        Colon,
        CommaOrEnd,
    };

    bool isOpening(char letter) { return letter == '[' || letter == '{'; }
    bool isClosing(char letter) { return letter == ']' || letter == '}'; }

    char tokenAt(std::string_view text, std::size_t position)
    {
        const char letter = text[position];
        return letter == stringToken || delimiters.find(letter) != std::string_view::npos ? letter : scalarToken;
    }

    std::size_t tokenEnd(std::string_view text, std::size_t position, char token)
    {
        if (token == stringToken)
            return jsonStringEnd(text, position);
        return token == scalarToken ? std::min(text.find_first_of(delimiters, position), text.size()) : position + 1;
    }

    /// Brackets that are open, and what may come next.
    class Nesting {
    public:
        /// @brief Returns whether the token may come next, and takes it if so.
        bool take(char token)
        {
            if (isClosing(token))
                return this->close(token);
            if (this->expected == Expected::Colon || this->expected == Expected::CommaOrEnd)
                return this->separate(token);
            if (this->expected == Expected::Key || this->expected == Expected::KeyOrEnd) {
                this->expected = Expected::Colon;
                return token == stringToken;
            }
            if (isOpening(token)) {
                this->open += token;
                this->expected = token == '{' ? Expected::KeyOrEnd : Expected::ValueOrEnd;
                return this->open.size() <= maxDepth;
            }
            this->expected = Expected::CommaOrEnd;
            return token == stringToken || token == scalarToken;
        }

        bool isClosed() const { return this->open.empty(); }

    private:
        bool close(char token)
        {
            const bool mayEnd = this->expected == Expected::CommaOrEnd || this->expected == Expected::ValueOrEnd
                || this->expected == Expected::KeyOrEnd;
            if (!mayEnd || this->open.empty() || token != (this->open.back() == '[' ? ']' : '}'))
                return false;
            this->open.pop_back();
            this->expected = Expected::CommaOrEnd;
            return true;
        }

        bool separate(char token)
        {
            const bool isColon = this->expected == Expected::Colon;
            this->expected = isColon || this->open.back() == '[' ? Expected::Value : Expected::Key;
            return token == (isColon ? ':' : ',');
        }

        std::string open;
        Expected expected = Expected::Value;
    };

} // namespace

std::size_t skipJsonSpace(std::string_view text, std::size_t position)
{
    return std::min(text.find_first_not_of(space, position), text.size());
}

std::size_t jsonStringEnd(std::string_view text, std::size_t position)
{
    for (std::size_t index = position + 1; index < text.size(); ++index) {
        if (text[index] == '\\')
            ++index;
        else if (text[index] == '"')
            return index + 1;
    }
    return text.size();
}

std::optional<std::size_t> jsonValueEnd(std::string_view text, std::size_t position)
{
    Nesting nesting;
    while ((position = skipJsonSpace(text, position)) < text.size()) {
        const char token = tokenAt(text, position);
        if (!nesting.take(token))
            return std::nullopt;
        position = tokenEnd(text, position, token);
        if (nesting.isClosed())
            return position;
    }
    return std::nullopt;
}

} // namespace teaselshore
