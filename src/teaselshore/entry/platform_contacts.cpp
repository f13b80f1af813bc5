#include "platform_contacts.hpp"

#include <fmt/format.h>

namespace teaselshore {

namespace {

    /// Peers that are asked; several, since some may have been cut off as well.
    constexpr std::size_t askedPeers = 3;

} // namespace

PlatformContacts::PlatformContacts(EntryState& state)
    : state(state)
{
}

void PlatformContacts::onAnswered(Instant now)
{
    if (!this->firstAnswer)
        this->firstAnswer = now;
    this->lastAnswer = now;
}

void PlatformContacts::onReturned(const PlatformReturned& event, Instant now)
{
    this->earlierAnswer = now - event.longestOutage;
    this->firstAnswer = now;
    this->lastAnswer = now;
    this->state.directory.onPlatformReturned(event.longestOutage, now);
    if (!this->state.directory.keepsMissingEntries(now))
        return;
    for (const std::string& address : this->state.borrower.samplePeers(askedPeers))
        this->state.commands.emplace_back(SendEntryMessage { address, PlatformContactRequest {} });
}

void PlatformContacts::onRequest(const std::string& senderAddress, Instant now)
{
    if (!this->firstAnswer)
        return;
    PlatformContact contact { now - *this->firstAnswer, now - this->lastAnswer, std::nullopt };
    if (this->earlierAnswer)
        contact.sinceEarlierAnswer = now - *this->earlierAnswer;
    this->state.commands.emplace_back(SendEntryMessage { senderAddress, contact });
}

void PlatformContacts::onContact(const std::string& senderAddress, const PlatformContact& contact, Instant now)
{
    const bool kept = this->state.directory.keepsMissingEntries(now);
    this->state.directory.onPlatformAnsweredPeer(now - contact.sinceFirstAnswer, now - contact.sinceLastAnswer);
    if (contact.sinceEarlierAnswer)
        this->state.directory.onPlatformAnsweredPeer(
            now - *contact.sinceEarlierAnswer, now - *contact.sinceEarlierAnswer);
    this->state.log(LogLevel::Info, "peer told since when the platform answers it",
        { { "peer", senderAddress },
            { "answersForSeconds", fmt::format("{:.3f}", toSeconds(contact.sinceFirstAnswer)) },
            { "lastAnswerSecondsAgo", fmt::format("{:.3f}", toSeconds(contact.sinceLastAnswer)) },
            { "keptMissingBefore", kept ? "true" : "false" },
            { "keepsMissing", this->state.directory.keepsMissingEntries(now) ? "true" : "false" } });
}

} // namespace teaselshore
