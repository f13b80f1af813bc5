#include "configuration_relay.hpp"

namespace teaselshore {

namespace {

    /// Time between two rounds of requests while the platform does not answer; a small part of the time within which a
    /// configuration must be in effect.
    constexpr Duration requestPeriod = std::chrono::milliseconds(250);
    /// Time after a start or a restore for which the configuration at the platform may be an older one: the operator
    /// writes the newest again within some seconds.
    constexpr Duration doubtfulTime = std::chrono::seconds(5);
    /// Peers that are asked in each round; several, since the platform may turn them away as well.
    constexpr std::size_t askedPeers = 2;

} // namespace

ConfigurationRelay::ConfigurationRelay(EntryState& state)
    : state(state)
{
}

std::uint64_t ConfigurationRelay::currentVersion() const
{
    return this->state.table ? this->state.table->configuration().version : 0;
}

void ConfigurationRelay::onWatchChanged(const ConfigurationWatchChanged& event, Instant now)
{
    this->isAnswered = event.isAnswered;
    this->nextRequest = now;
    this->onTick(now);
}

void ConfigurationRelay::onPlatformRestored(Instant now)
{
    this->askUntil = now + doubtfulTime;
    this->nextRequest = now;
}

void ConfigurationRelay::onRequest(const std::string& senderAddress, const NewerConfigurationRequest& request)
{
    if (request.version >= this->currentVersion() || this->text.empty())
        return;
    this->state.commands.emplace_back(
        SendEntryMessage { senderAddress, ConfigurationCopy { this->currentVersion(), this->text } });
}

void ConfigurationRelay::onCopy(const std::string& senderAddress, const ConfigurationCopy& copy)
{
    if (copy.version <= this->currentVersion())
        return;
    this->state.log(LogLevel::Info, "configuration received from a peer",
        { { "version", std::to_string(copy.version) }, { "inEffect", std::to_string(this->currentVersion()) },
            { "peer", senderAddress } });
    this->state.commands.emplace_back(DecodeConfiguration { copy.text });
}

void ConfigurationRelay::onTick(Instant now)
{
    if (!this->askUntil)
        this->askUntil = now + doubtfulTime;
    if ((this->isAnswered && now >= *this->askUntil) || now < this->nextRequest || !this->state.borrower.hasPeers())
        return;
    this->nextRequest = now + requestPeriod;
    for (const std::string& address : this->state.borrower.samplePeers(askedPeers))
        this->state.commands.emplace_back(
            SendEntryMessage { address, NewerConfigurationRequest { this->currentVersion() } });
}

} // namespace teaselshore
