#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "teaselshore/base/name.hpp"
#include "teaselshore/entry/entry_message.hpp"
#include "teaselshore/membership/configuration_distributor.hpp"
#include "teaselshore/membership/member.hpp"
#include "teaselshore/node/peer_message.hpp"

namespace teaselshore {

/// @brief Version of the protocol between nodes. Messages of another version are refused.
inline constexpr std::uint32_t protocolVersion = 1;

/// @brief Any message between two nodes, grouped by the module that handles it.
using PeerMessage = std::variant<MembershipMessage, ConfigurationMessage, RequestMessage, EntryMessage>;

/// @brief Message with its sender.
struct Envelope {
    NodeId sender;
    /// Peer address at which the sender listens, "address:port".
    std::string senderAddress;
    /// Name of the sender's cluster. Nodes of different clusters ignore each other.
    std::string cluster;
    PeerMessage message;

    auto operator<=>(const Envelope&) const = default;
};

/// @brief Why bytes were not a message.
enum class ProtocolError {
    Malformed,
    UnsupportedVersion,
    /// The message type is unknown or missing.
    UnknownMessage,
    /// A field holds a value that the core types do not have.
    InvalidValue,
};

/// @brief Returns the wire form (protobuf) of an envelope. Thread-safe.
std::string encode(const Envelope& envelope);

/// @brief Parses the wire form. Returns nothing and sets the error if it is not a valid message. Thread-safe.
std::optional<Envelope> decode(std::string_view bytes, ProtocolError& error);

} // namespace teaselshore
