#include "teaselshore/protocol/codec.hpp"

#include <limits>
#include <utility>

#include "wire_conversions.hpp"

namespace teaselshore {

namespace {

    std::optional<PeerMessage> messageFromWire(const wire::Envelope& envelope, ProtocolError& error)
    {
        error = ProtocolError::InvalidValue;
        switch (envelope.message_case()) {
        case wire::Envelope::kPing:
        case wire::Envelope::kPingRequest:
        case wire::Envelope::kAck:
            return membershipFromWire(envelope);
        case wire::Envelope::kConfigurationDigest:
        case wire::Envelope::kConfigurationRequest:
        case wire::Envelope::kConfigurationText:
            return configurationFromWire(envelope);
        case wire::Envelope::kQuotaLoanRequest:
        case wire::Envelope::kQuotaLoan:
        case wire::Envelope::kQuotaReturn:
        case wire::Envelope::kCrashReport:
        case wire::Envelope::kRolloutDecision:
        case wire::Envelope::kRelayedReport:
        case wire::Envelope::kNewerConfigurationRequest:
        case wire::Envelope::kConfigurationCopy:
        case wire::Envelope::kRefusalReport:
        case wire::Envelope::kLimitReport:
        case wire::Envelope::kBrittlenessReport:
        case wire::Envelope::kPlatformContactRequest:
        case wire::Envelope::kPlatformContact:
        case wire::Envelope::kLoadDigest:
            return entryFromWire(envelope);
        case wire::Envelope::MESSAGE_NOT_SET:
            error = ProtocolError::UnknownMessage;
            return std::nullopt;
        default:
            return requestFromWire(envelope);
        }
    }

} // namespace

std::string encode(const Envelope& envelope)
{
    wire::Envelope result;
    result.set_protocol_version(protocolVersion);
    result.set_sender(envelope.sender.value());
    result.set_sender_address(envelope.senderAddress);
    result.set_cluster(envelope.cluster);
    std::visit([&](const auto& group) { toWire(group, result); }, envelope.message);
    return result.SerializeAsString();
}

std::optional<Envelope> decode(std::string_view bytes, ProtocolError& error)
{
    error = ProtocolError::Malformed;
    wire::Envelope envelope;
    constexpr std::size_t limit = std::numeric_limits<int>::max();
    if (bytes.size() > limit || !envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (envelope.protocol_version() != protocolVersion) {
        error = ProtocolError::UnsupportedVersion;
        return std::nullopt;
    }
    std::optional<PeerMessage> message = messageFromWire(envelope, error);
    if (!message)
        return std::nullopt;
    return Envelope { NodeId(envelope.sender()), envelope.sender_address(), envelope.cluster(), *std::move(message) };
}

} // namespace teaselshore
