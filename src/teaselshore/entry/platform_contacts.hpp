#pragma once

#include <optional>

#include "entry_state.hpp"

namespace teaselshore {

/// @brief Learns from peers when the platform returned from an outage.
///
/// A node that gets no answer cannot tell whether the platform was down, so that entries expired, or only this node was
/// cut off, and it notices the return late. Its peers know more, so it asks some of them after each outage that was
/// long enough for entries to expire. Not thread-safe.
class PlatformContacts {
public:
    explicit PlatformContacts(EntryState& state);

    void onAnswered(Instant now);
    void onReturned(const PlatformReturned& event, Instant now);
    void onRequest(const std::string& senderAddress, Instant now);
    void onContact(const std::string& senderAddress, const PlatformContact& contact, Instant now);

private:
    EntryState& state;
    /// First answer after the last outage; nothing before the first one of the process.
    std::optional<Instant> firstAnswer;
    Instant lastAnswer {};
    /// Last answer before the last outage.
    std::optional<Instant> earlierAnswer;
};

} // namespace teaselshore
