#pragma once

#include <optional>

#include <peer.pb.h>

#include "teaselshore/protocol/codec.hpp"

namespace teaselshore {

/// @brief Fills the message field of a wire envelope.
void toWire(const MembershipMessage& message, wire::Envelope& envelope);
void toWire(const ConfigurationMessage& message, wire::Envelope& envelope);
void toWire(const RequestMessage& message, wire::Envelope& envelope);
void toWire(const EntryMessage& message, wire::Envelope& envelope);
void toWire(const VersionEvidence& evidence, wire::VersionEvidence& result);
void toWire(const VersionReport& report, wire::VersionReport& result);

/// @brief Convert the message field of a wire envelope. Nothing if a field has a value that the core type lacks.
/// Precondition: the field holds a message of this group.
std::optional<MembershipMessage> membershipFromWire(const wire::Envelope& envelope);
std::optional<ConfigurationMessage> configurationFromWire(const wire::Envelope& envelope);
std::optional<RequestMessage> requestFromWire(const wire::Envelope& envelope);
std::optional<EntryMessage> entryFromWire(const wire::Envelope& envelope);
std::optional<VersionEvidence> versionEvidenceFromWire(const wire::VersionEvidence& evidence);
std::optional<VersionReport> versionReportFromWire(const wire::VersionReport& report);

} // namespace teaselshore
