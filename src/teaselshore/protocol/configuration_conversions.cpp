#include "wire_conversions.hpp"

namespace teaselshore {

namespace {

    void fill(const ConfigurationDigest& digest, wire::Envelope& envelope)
    {
        wire::ConfigurationDigest& result = *envelope.mutable_configuration_digest();
        result.set_version(digest.version);
        result.set_text(digest.textDigest);
    }

    void fill(const ConfigurationRequest& request, wire::Envelope& envelope)
    {
        wire::ConfigurationRequest& result = *envelope.mutable_configuration_request();
        result.set_version(request.version);
        result.set_text(request.textDigest);
        result.mutable_chunks()->Add(request.chunkDigests.begin(), request.chunkDigests.end());
    }

    void fill(const CopiedChunks& copied, wire::ConfigurationPiece& result)
    {
        result.mutable_copied()->set_first(copied.first);
        result.mutable_copied()->set_count(copied.count);
    }

    void fill(const std::string& text, wire::ConfigurationPiece& result) { result.set_text(text); }

    void fill(const ConfigurationText& text, wire::Envelope& envelope)
    {
        wire::ConfigurationText& result = *envelope.mutable_configuration_text();
        result.set_version(text.version);
        result.set_text(text.textDigest);
        result.set_base(text.baseDigest);
        result.set_needs_chunks(text.needsChunks);
        for (const ConfigurationPiece& piece : text.pieces)
            std::visit([&](const auto& content) { fill(content, *result.add_pieces()); }, piece);
    }

    std::optional<ConfigurationMessage> fromWire(const wire::ConfigurationDigest& digest)
    {
        return ConfigurationDigest { digest.version(), digest.text() };
    }

    std::optional<ConfigurationMessage> fromWire(const wire::ConfigurationRequest& request)
    {
        return ConfigurationRequest { request.version(), request.text(),
            { request.chunks().begin(), request.chunks().end() } };
    }

    std::optional<ConfigurationMessage> fromWire(const wire::ConfigurationText& text)
    {
        ConfigurationText result { text.version(), text.text(), text.base(), text.needs_chunks(), {} };
        result.pieces.reserve(static_cast<std::size_t>(text.pieces_size()));
        for (const wire::ConfigurationPiece& piece : text.pieces()) {
            if (piece.has_copied())
                result.pieces.emplace_back(CopiedChunks { piece.copied().first(), piece.copied().count() });
            else if (piece.has_text())
                result.pieces.emplace_back(piece.text());
            else
                return std::nullopt;
        }
        return result;
    }

} // namespace

void toWire(const ConfigurationMessage& message, wire::Envelope& envelope)
{
    std::visit([&](const auto& content) { fill(content, envelope); }, message);
}

std::optional<ConfigurationMessage> configurationFromWire(const wire::Envelope& envelope)
{
    switch (envelope.message_case()) {
    case wire::Envelope::kConfigurationDigest:
        return fromWire(envelope.configuration_digest());
    case wire::Envelope::kConfigurationRequest:
        return fromWire(envelope.configuration_request());
    case wire::Envelope::kConfigurationText:
        return fromWire(envelope.configuration_text());
    default:
        return std::nullopt;
    }
}

} // namespace teaselshore
