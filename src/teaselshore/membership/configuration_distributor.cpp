#include "teaselshore/membership/configuration_distributor.hpp"

#include <algorithm>
#include <deque>
#include <utility>

#include "text_chunks.hpp"

namespace teaselshore {

namespace {

    using Commands = std::vector<ConfigurationCommand>;

    /// Maximum number of announcements queued while a request is pending.
    constexpr std::size_t maximumAnnouncements = 8;
    /// Maximum number of rejected versions remembered, which are neither requested nor validated again.
    constexpr std::size_t maximumRejected = 16;
    /// A node without a configuration sends digests this many times as often.
    constexpr int startupDigestFactor = 4;

    /// @brief Digests of a text that was in effect earlier and of its chunks.
    struct EarlierText {
        Fingerprint digest = 0;
        std::vector<Fingerprint> chunkDigests;
    };

    /// @brief Announcement of a higher version by a peer.
    struct Announcement {
        std::string sender;
        ConfigurationDigest digest;
    };

    /// @brief Request sent to a peer whose response is awaited.
    struct PendingRequest {
        Announcement announcement;
        Instant expiresAt {};
        bool requestedCompleteText = false;
    };

    std::vector<ConfigurationPiece> completeTextPieces(const std::string& text) { return { ConfigurationPiece(text) }; }

} // namespace

struct ConfigurationDistributor::Impl {
    void requestNext(Instant now, Commands& commands);
    void sendRequest(
        Announcement announcement, ConfigurationRequest request, bool completeText, Instant now, Commands& commands);
    void recordAnnouncement(const std::string& sender, const ConfigurationDigest& digest);
    void validateAndAdopt(ConfigurationVersion newVersion, std::string newText, Commands& commands);
    void adopt(ConfigurationVersion newVersion, std::string newText, Fingerprint digest, Commands& commands);
    void sendDigest(std::size_t count, Commands& commands);
    bool wasRejected(const ConfigurationDigest& digest) const;
    const std::vector<Fingerprint>* findChunkDigests(Fingerprint digest) const;
    ConfigurationDigest currentDigest() const { return { this->version, this->digest }; }

    Member self;
    DistributorSettings settings;
    ConfigurationCheck check;
    RandomSource random;

    ConfigurationVersion version = 0;
    std::string text;
    Fingerprint digest = 0;
    std::vector<Fingerprint> currentChunkDigests;
    std::deque<EarlierText> earlierTexts;

    std::vector<std::string> peers;
    bool watches = true;
    std::vector<Announcement> announcements;
    std::optional<PendingRequest> pendingRequest;
    std::deque<ConfigurationDigest> rejected;
    Instant nextDigest {};
};

bool ConfigurationDistributor::Impl::wasRejected(const ConfigurationDigest& digest) const
{
    return std::find(this->rejected.begin(), this->rejected.end(), digest) != this->rejected.end();
}

const std::vector<Fingerprint>* ConfigurationDistributor::Impl::findChunkDigests(Fingerprint digest) const
{
    if (digest == this->digest)
        return &this->currentChunkDigests;
    for (const EarlierText& text : this->earlierTexts) {
        if (text.digest == digest)
            return &text.chunkDigests;
    }
    return nullptr;
}

void ConfigurationDistributor::Impl::recordAnnouncement(const std::string& sender, const ConfigurationDigest& digest)
{
    if (digest.version <= this->version || this->wasRejected(digest))
        return;
    std::erase_if(this->announcements, [&](const Announcement& known) { return known.sender == sender; });
    if (this->announcements.size() >= maximumAnnouncements)
        this->announcements.erase(this->announcements.begin());
    this->announcements.push_back({ sender, digest });
}

void ConfigurationDistributor::Impl::requestNext(Instant now, Commands& commands)
{
    if (this->pendingRequest)
        return;
    std::erase_if(this->announcements, [&](const Announcement& announcement) {
        return announcement.digest.version <= this->version || this->wasRejected(announcement.digest);
    });
    const auto best = std::max_element(this->announcements.begin(), this->announcements.end(),
        [](const Announcement& first, const Announcement& second) {
            return first.digest.version < second.digest.version;
        });
    if (best == this->announcements.end())
        return;
    Announcement announcement = std::move(*best);
    this->announcements.erase(best);
    this->sendRequest(std::move(announcement), { this->version, this->digest, {} }, false, now, commands);
}

void ConfigurationDistributor::Impl::sendRequest(
    Announcement announcement, ConfigurationRequest request, bool completeText, Instant now, Commands& commands)
{
    commands.emplace_back(RequestConfiguration { announcement.sender, std::move(request) });
    this->pendingRequest
        = PendingRequest { std::move(announcement), now + this->settings.requestTimeout, completeText };
}

void ConfigurationDistributor::Impl::validateAndAdopt(
    ConfigurationVersion newVersion, std::string newText, Commands& commands)
{
    const ConfigurationDigest candidate { newVersion, fingerprint(newText) };
    if (newVersion <= this->version || this->wasRejected(candidate))
        return;
    std::optional<std::string> problem = this->check(newText);
    if (!problem) {
        this->adopt(newVersion, std::move(newText), candidate.textDigest, commands);
        return;
    }
    this->rejected.push_back(candidate);
    if (this->rejected.size() > maximumRejected)
        this->rejected.pop_front();
    commands.emplace_back(ReportInvalid { newVersion, *std::move(problem) });
}

void ConfigurationDistributor::Impl::adopt(
    ConfigurationVersion newVersion, std::string newText, Fingerprint digest, Commands& commands)
{
    if (this->version != 0 && digest != this->digest)
        this->earlierTexts.push_front({ this->digest, std::move(this->currentChunkDigests) });
    if (this->earlierTexts.size() > this->settings.rememberedTexts)
        this->earlierTexts.pop_back();
    this->version = newVersion;
    this->digest = digest;
    this->text = std::move(newText);
    this->currentChunkDigests = chunkDigests(this->text);
    commands.emplace_back(AdoptConfiguration { this->version, this->text });
    this->sendDigest(this->settings.pushFanout, commands);
}

void ConfigurationDistributor::Impl::sendDigest(std::size_t count, Commands& commands)
{
    const std::size_t chosen = std::min(count, this->peers.size());
    for (std::size_t index = 0; index < chosen; ++index) {
        std::swap(this->peers[index], this->peers[index + this->random.below(this->peers.size() - index)]);
        commands.emplace_back(SendDigest { this->peers[index], this->currentDigest() });
    }
}

ConfigurationDistributor::ConfigurationDistributor(
    Member self, DistributorSettings settings, ConfigurationCheck check, RandomSource random)
    : impl(std::make_unique<Impl>(
        Impl { .self = std::move(self), .settings = settings, .check = std::move(check), .random = random }))
{
}

ConfigurationDistributor::~ConfigurationDistributor() = default;
ConfigurationDistributor::ConfigurationDistributor(ConfigurationDistributor&&) noexcept = default;
ConfigurationDistributor& ConfigurationDistributor::operator=(ConfigurationDistributor&&) noexcept = default;

std::vector<ConfigurationCommand> ConfigurationDistributor::onObjectVersion(
    ConfigurationVersion version, std::string text, Instant now)
{
    Commands commands;
    this->impl->validateAndAdopt(version, std::move(text), commands);
    this->impl->requestNext(now, commands);
    return commands;
}

std::vector<ConfigurationCommand> ConfigurationDistributor::onDigest(
    const std::string& sender, const ConfigurationDigest& digest, Instant now)
{
    Commands commands;
    if (digest.version < this->impl->version) {
        commands.emplace_back(SendDigest { sender, this->impl->currentDigest() });
        return commands;
    }
    this->impl->recordAnnouncement(sender, digest);
    this->impl->requestNext(now, commands);
    return commands;
}

std::vector<ConfigurationCommand> ConfigurationDistributor::onRequest(
    const std::string& sender, const ConfigurationRequest& request, Instant)
{
    Impl& state = *this->impl;
    Commands commands;
    if (state.version == 0 || request.version >= state.version)
        return commands;
    ConfigurationText reply { state.version, state.digest, request.textDigest, false, {} };
    const std::vector<Fingerprint>* base
        = request.chunkDigests.empty() ? state.findChunkDigests(request.textDigest) : &request.chunkDigests;
    if (request.version == 0)
        reply.pieces = completeTextPieces(state.text);
    else if (base)
        reply.pieces = differenceFrom(*base, state.text);
    else
        reply.needsChunks = true;
    commands.emplace_back(SendConfiguration { sender, std::move(reply) });
    return commands;
}

std::vector<ConfigurationCommand> ConfigurationDistributor::onText(
    const std::string& sender, const ConfigurationText& text, Instant now)
{
    Impl& state = *this->impl;
    Commands commands;
    std::optional<PendingRequest> answeredRequest;
    if (state.pendingRequest && state.pendingRequest->announcement.sender == sender)
        answeredRequest = std::exchange(state.pendingRequest, std::nullopt);
    const ConfigurationDigest digest { text.version, text.textDigest };
    if (text.version <= state.version || state.wasRejected(digest)) {
        state.requestNext(now, commands);
        return commands;
    }
    if (text.needsChunks) {
        if (answeredRequest)
            state.sendRequest(
                { sender, digest }, { state.version, state.digest, state.currentChunkDigests }, false, now, commands);
        return commands;
    }
    const bool baseMatches = text.baseDigest == 0 || text.baseDigest == state.digest;
    std::optional<std::string> assembled = baseMatches ? assembleText(state.text, text.pieces) : std::nullopt;
    if (assembled && fingerprint(*assembled) == text.textDigest) {
        state.validateAndAdopt(text.version, *std::move(assembled), commands);
    } else if (baseMatches && answeredRequest && !answeredRequest->requestedCompleteText) {
        // A chunk digest collided or the response is damaged: request the complete text instead of a difference.
        state.sendRequest({ sender, digest }, {}, true, now, commands);
    } else if (!baseMatches) {
        state.recordAnnouncement(sender, digest);
    }
    state.requestNext(now, commands);
    return commands;
}

std::vector<ConfigurationCommand> ConfigurationDistributor::onTick(Instant now)
{
    Impl& state = *this->impl;
    Commands commands;
    if (state.pendingRequest && now >= state.pendingRequest->expiresAt)
        state.pendingRequest.reset();
    state.requestNext(now, commands);
    if (now < state.nextDigest)
        return commands;
    const Duration period
        = state.version == 0 ? state.settings.digestPeriod / startupDigestFactor : state.settings.digestPeriod;
    // Jitter between half and one and a half periods keeps nodes that started together from sending simultaneously.
    state.nextDigest = now + fromSeconds(toSeconds(period) * (0.5 + state.random.uniform()));
    state.sendDigest(1, commands);
    return commands;
}

void ConfigurationDistributor::onMembers(const std::vector<Member>& members)
{
    Impl& state = *this->impl;
    // Rendezvous hashing: nodes with equal member lists select the same watchers without coordination.
    const auto score = [](const NodeId& id) { return fingerprint({ "configuration watcher", id.value() }); };
    const Fingerprint ownScore = score(state.self.id);
    std::size_t higherScores = 0;
    state.peers.clear();
    for (const Member& member : members) {
        if (!isLive(member) || member.id == state.self.id)
            continue;
        state.peers.push_back(member.address);
        if (member.region == state.self.region && score(member.id) > ownScore)
            higherScores += 1;
    }
    state.watches = higherScores < state.settings.watchersPerRegion;
}

bool ConfigurationDistributor::shouldWatch() const { return this->impl->watches; }

ConfigurationVersion ConfigurationDistributor::version() const { return this->impl->version; }

const std::string& ConfigurationDistributor::text() const { return this->impl->text; }

} // namespace teaselshore
