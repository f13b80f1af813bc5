#include "yaml_document.hpp"

#include <algorithm>
#include <exception>
#include <sstream>

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace teaselshore {

namespace {

    /// The deepest valid configuration has 6 levels.
    constexpr std::size_t maxDepth = 16;
    /// 5,300 engines need about 90,000 values; the limit bounds the memory that a hostile text can take.
    constexpr std::size_t maxValues = 200'000;

    TextPosition positionOf(const YAML::Mark& mark)
    {
        return { static_cast<std::size_t>(std::max(mark.line, 0)) + 1,
            static_cast<std::size_t>(std::max(mark.column, 0)) + 1 };
    }

    /// Ends yaml-cpp's parsing from within an event.
    struct Refused : std::exception {
        Refused(TextPosition position, std::string message)
            : position(position)
            , message(std::move(message))
        {
        }
        TextPosition position;
        std::string message;
    };

    class TreeBuilder : public YAML::EventHandler {
    public:
        std::optional<YamlNode> root;

        void OnDocumentStart(const YAML::Mark& mark) override
        {
            if (this->root)
                throw Refused(positionOf(mark), "the text must hold a single YAML document");
        }
        void OnDocumentEnd() override { }

        void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
        {
            this->checkValue(mark, "", anchor);
            this->attach({ positionOf(mark), YamlNull {} });
        }

        void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
        {
            throw Refused(positionOf(mark), "aliases are not supported");
        }

        void OnScalar(
            const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value) override
        {
            this->checkValue(mark, tag, anchor);
            this->attach({ positionOf(mark), YamlScalar { value, tag == "!" } });
        }

        void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
            YAML::EmitterStyle::value /*style*/) override
        {
            this->checkValue(mark, tag, anchor);
            this->open({ positionOf(mark), YamlSequence {} });
        }
        void OnSequenceEnd() override { this->close(); }

        void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
            YAML::EmitterStyle::value /*style*/) override
        {
            this->checkValue(mark, tag, anchor);
            this->open({ positionOf(mark), YamlMap {} });
        }
        void OnMapEnd() override { this->close(); }

    private:
        /// Collection whose end has not been read, and the key that waits for its value if it is a map.
        struct OpenCollection {
            YamlNode node;
            std::optional<YamlNode> key;
        };

        void checkValue(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor)
        {
            if (anchor != YAML::NullAnchor)
                throw Refused(positionOf(mark), "anchors are not supported");
            if (!tag.empty() && tag != "?" && tag != "!")
                throw Refused(positionOf(mark), fmt::format("tags are not supported: {}", quoted(tag)));
            if (++this->values > maxValues)
                throw Refused(positionOf(mark), fmt::format("more than {} values", maxValues));
        }

        void open(YamlNode node)
        {
            if (this->collections.size() >= maxDepth)
                throw Refused(node.position, fmt::format("nested more than {} levels deep", maxDepth));
            this->collections.push_back({ std::move(node), std::nullopt });
        }

        void close()
        {
            YamlNode node = std::move(this->collections.back().node);
            this->collections.pop_back();
            this->attach(std::move(node));
        }

        void attach(YamlNode node)
        {
            if (this->collections.empty()) {
                this->root = std::move(node);
                return;
            }
            OpenCollection& parent = this->collections.back();
            if (auto* sequence = std::get_if<YamlSequence>(&parent.node.content)) {
                sequence->items.push_back(std::move(node));
                return;
            }
            if (!parent.key) {
                parent.key = std::move(node);
                return;
            }
            // yaml-cpp places an absent value at the token that follows, which can be many lines further on.
            if (std::holds_alternative<YamlNull>(node.content))
                node.position = parent.key->position;
            std::get<YamlMap>(parent.node.content).entries.push_back({ std::move(*parent.key), std::move(node) });
            parent.key.reset();
        }

        std::vector<OpenCollection> collections;
        std::size_t values = 0;
    };

    /// Returns the length of the UTF-8 character at the start of the text, or 0 if it is not valid.
    std::size_t characterLength(std::string_view text)
    {
        const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(text[index]); };
        const auto continues = [&](std::size_t index) { return index < text.size() && (byte(index) & 0xc0) == 0x80; };
        if (byte(0) < 0x80)
            return 1;
        if (byte(0) >= 0xc2 && byte(0) <= 0xdf)
            return continues(1) ? 2 : 0;
        if (byte(0) >= 0xe0 && byte(0) <= 0xef) {
            const bool overlong = byte(0) == 0xe0 && text.size() > 1 && byte(1) < 0xa0;
            const bool surrogate = byte(0) == 0xed && text.size() > 1 && byte(1) >= 0xa0;
            return continues(1) && continues(2) && !overlong && !surrogate ? 3 : 0;
        }
        if (byte(0) >= 0xf0 && byte(0) <= 0xf4) {
            const bool overlong = byte(0) == 0xf0 && text.size() > 1 && byte(1) < 0x90;
            const bool tooLarge = byte(0) == 0xf4 && text.size() > 1 && byte(1) >= 0x90;
            return continues(1) && continues(2) && continues(3) && !overlong && !tooLarge ? 4 : 0;
        }
        return 0;
    }

    /// yaml-cpp takes byte 0x04 for the end of the text and guesses other encodings, so that the rest of a text could
    /// go unread. Only UTF-8 without control characters reaches it.
    std::optional<Refused> checkCharacters(std::string_view text)
    {
        TextPosition position;
        for (std::size_t index = 0; index < text.size();) {
            const auto byte = static_cast<unsigned char>(text[index]);
            const std::size_t length = characterLength(text.substr(index));
            if (length == 0)
                return Refused(position, fmt::format("byte 0x{:02x} is not valid UTF-8", byte));
            if ((byte < 0x20 && byte != '\n' && byte != '\r' && byte != '\t') || byte == 0x7f)
                return Refused(position, fmt::format("control character 0x{:02x}", byte));
            index += length;
            position.column += length;
            if (byte == '\n')
                position = { position.line + 1, 1 };
        }
        return std::nullopt;
    }

    YamlNode parseDocument(std::string_view text)
    {
        std::istringstream stream { std::string(text) };
        YAML::Parser parser(stream);
        TreeBuilder builder;
        while (parser.HandleNextDocument(builder)) { }
        if (!builder.root)
            throw Refused(TextPosition {}, "the text is empty");
        return std::move(*builder.root);
    }

} // namespace

std::optional<YamlNode> parseYaml(std::string_view text, std::size_t maxBytes, ProblemList& problems)
{
    if (text.size() > maxBytes) {
        problems.add({}, "", fmt::format("the text has {} bytes; at most {} are allowed", text.size(), maxBytes));
        return std::nullopt;
    }
    if (const std::optional<Refused> refused = checkCharacters(text)) {
        problems.add(refused->position, "", refused->message);
        return std::nullopt;
    }
    try {
        return parseDocument(text);
    } catch (const Refused& refused) {
        problems.add(refused.position, "", refused.message);
    } catch (const YAML::Exception& error) {
        problems.add(positionOf(error.mark), "", fmt::format("syntax error: {}", error.msg));
    } catch (const std::exception& error) {
        problems.add({}, "", fmt::format("the text cannot be read: {}", error.what()));
    }
    return std::nullopt;
}

} // namespace teaselshore
