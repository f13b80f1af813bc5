#include "load_digest_exchange.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    constexpr Duration digestPeriod = std::chrono::milliseconds(200);
    /// Peers that get a digest. With the period, 10 messages per second, which leaves 400 bytes for each of them if a
    /// node spends at most 4 KB per second.
    constexpr std::size_t receiverCount = 2;
    /// Peers among which the receivers are drawn, and the time after which one of them is replaced. Connections to
    /// peers stay open for ten minutes, so that a node keeps at most 70 for its digests.
    constexpr std::size_t neighbourCount = 8;
    constexpr Duration neighbourTime = std::chrono::seconds(10);
    /// Bounds a message to 390 bytes, envelope included.
    constexpr std::size_t maximumEntries = 18;
    /// Age from which a statement is neither sent nor adopted. Requests hold their slots for 0.1 to 2 s.
    constexpr Duration maximumAge = std::chrono::seconds(1);
    /// Added to the age of a received statement: the delay between zones, and the wait for the receiver's next event.
    constexpr Duration transferTime = std::chrono::milliseconds(5);
    /// In fleets with fewer nodes, each of them hears from each engine several times per second.
    constexpr std::size_t minimumNodes = 16;
    /// Bounds of the time that requests hold their slots, for the comparison with the age of own information.
    constexpr Duration shortestHold = std::chrono::milliseconds(100);
    constexpr Duration longestHold = std::chrono::seconds(2);
    /// Time for which a digest shows that its sender needs information.
    constexpr Duration demandTime = std::chrono::seconds(2);
    /// Multiple of the slots that a plausible number of waiting requests does not exceed.
    constexpr std::uint32_t maximumWaitingPerSlot = 4;
    /// Largest plausible sum of a peer's outstanding prompt tokens at one upstream.
    constexpr std::uint32_t maximumPeerTokens = 500'000;
    /// Unit of LoadDigest::Entry::rate.
    constexpr double rateUnit = 100;
    constexpr Duration ratePeriod = std::chrono::seconds(1);

} // namespace

std::uint32_t LoadDigest::key(const UpstreamId& upstream)
{
    return static_cast<std::uint32_t>(fingerprint(upstream.value()));
}

LoadDigestExchange::LoadDigestExchange(EntryState& state)
    : state(state)
{
}

void LoadDigestExchange::onUpstreams()
{
    this->services.clear();
    if (!this->state.table) {
        this->statements.clear();
        return;
    }
    for (const EntryService& service : this->state.table->configuration().services) {
        if (service.isEngine)
            this->services.push_back(service.name);
    }
    std::unordered_map<std::uint32_t, Statement> current;
    std::set<std::uint32_t> ambiguous;
    for (const RegisteredUpstream& upstream : this->state.directory.upstreams()) {
        const bool isEngine
            = std::find(this->services.begin(), this->services.end(), upstream.service) != this->services.end();
        if (!isEngine || !this->state.instances.contains(upstream.id()))
            continue;
        const std::uint32_t key = LoadDigest::key(upstream.id());
        const auto known = this->statements.find(key);
        Statement statement
            = known != this->statements.end() && known->second.upstream == upstream.id() ? known->second : Statement {};
        statement.upstream = upstream.id();
        statement.slots = upstream.slots;
        if (!current.emplace(key, std::move(statement)).second)
            ambiguous.insert(key);
    }
    for (const std::uint32_t key : ambiguous)
        current.erase(key);
    this->statements = std::move(current);
}

void LoadDigestExchange::onLoad(const UpstreamId& upstream, const ResponseFacts::Load& load, Instant now)
{
    const auto found = this->statements.find(LoadDigest::key(upstream));
    if (found == this->statements.end() || found->second.upstream != upstream)
        return;
    Statement& statement = found->second;
    statement.running = load.running;
    statement.waiting = load.waiting;
    statement.slowness = load.slowness;
    statement.at = now;
    ++this->ownReports;
}

void LoadDigestExchange::onDigest(const std::string& senderAddress, const LoadDigest& digest, Instant now)
{
    if (digest.isWanted)
        this->lastWanted = now;
    ++this->state.statistics.receivedLoadDigests;
    const std::uint64_t peer = fingerprint(senderAddress);
    for (std::size_t i = 0; i < std::min(digest.entries.size(), maximumEntries); ++i) {
        const LoadDigest::Entry& entry = digest.entries[i];
        const auto found = this->statements.find(entry.upstream);
        const Duration age = std::max(Duration::zero(), entry.age) + transferTime;
        if (found == this->statements.end() || age >= maximumAge)
            continue;
        Statement& statement = found->second;
        this->addPeerTokens(statement, peer, std::min(entry.promptTokens, maximumPeerTokens), now);
        const Instant at = now - age;
        if (at <= statement.at)
            continue;
        statement.running = std::min(entry.running, statement.slots);
        statement.waiting = std::min(entry.waiting, maximumWaitingPerSlot * statement.slots);
        statement.slowness = entry.slowness;
        statement.at = at;
        this->state.router.onPeerLoadReport(
            { statement.upstream, statement.waiting, statement.running, age, 0,
                static_cast<float>(statement.slowness) / 100, static_cast<float>(entry.rate * rateUnit) },
            now);
    }
}

void LoadDigestExchange::addPeerTokens(Statement& statement, std::uint64_t peer, std::uint32_t tokens, Instant now)
{
    PeerTokens* place = &statement.peers.front();
    for (PeerTokens& known : statement.peers) {
        if (known.peer == peer) {
            place = &known;
            break;
        }
        if (known.at < place->at)
            place = &known;
    }
    *place = { peer, tokens, now };
    std::uint64_t sum = 0;
    for (const PeerTokens& known : statement.peers)
        sum += known.at != Instant::min() && now - known.at < maximumAge ? known.tokens : 0;
    this->state.router.onPeerWork(statement.upstream, static_cast<double>(sum), now);
}

bool LoadDigestExchange::hearsTooSeldom() const
{
    Duration hold = shortestHold;
    for (const ServiceName& service : this->services)
        hold = std::max(hold, std::min(longestHold, this->state.router.meanHoldTime(service)));
    return static_cast<double>(this->statements.size()) > toSeconds(hold) * this->ownReportRate;
}

LoadDigest LoadDigestExchange::youngest(Instant now) const
{
    std::vector<const Statement*> young;
    for (const auto& [key, statement] : this->statements) {
        if (statement.at != Instant::min() && now - statement.at < maximumAge)
            young.push_back(&statement);
    }
    const std::size_t count = std::min(young.size(), maximumEntries);
    std::partial_sort(young.begin(), young.begin() + static_cast<std::ptrdiff_t>(count), young.end(),
        [](const Statement* first, const Statement* second) { return first->at > second->at; });
    LoadDigest digest;
    for (std::size_t i = 0; i < count; ++i) {
        const Statement& statement = *young[i];
        digest.entries.push_back({ LoadDigest::key(statement.upstream), statement.running, statement.waiting,
            statement.slowness, this->state.router.outstandingWork(statement.upstream),
            static_cast<std::uint32_t>(this->state.router.measuredRate(statement.upstream, now) / rateUnit),
            std::max(Duration::zero(), now - statement.at) });
    }
    return digest;
}

std::vector<std::string> LoadDigestExchange::receivers(Instant now)
{
    const std::vector<std::string>& peers = this->state.peerAddresses;
    std::erase_if(this->neighbours,
        [&peers](const std::string& address) { return std::find(peers.begin(), peers.end(), address) == peers.end(); });
    if (now >= this->nextNeighbour) {
        this->nextNeighbour = now + neighbourTime;
        if (!this->neighbours.empty())
            this->neighbours.erase(this->neighbours.begin());
    }
    if (this->neighbours.size() < neighbourCount) {
        for (std::string& address : this->state.borrower.samplePeers(neighbourCount)) {
            const bool isNew
                = std::find(this->neighbours.begin(), this->neighbours.end(), address) == this->neighbours.end();
            if (isNew && this->neighbours.size() < neighbourCount)
                this->neighbours.push_back(std::move(address));
        }
    }
    std::vector<std::string> drawn = this->neighbours;
    while (drawn.size() > receiverCount)
        drawn.erase(drawn.begin() + static_cast<std::ptrdiff_t>(this->state.random.below(drawn.size())));
    return drawn;
}

void LoadDigestExchange::onTick(Instant now)
{
    if (now >= this->nextCount) {
        this->ownReportRate = std::exchange(this->ownReports, 0);
        this->nextCount = now + ratePeriod;
    }
    if (now < this->nextDigest || this->statements.empty() || this->state.liveNodes < minimumNodes)
        return;
    const bool isWanted = this->hearsTooSeldom();
    const bool isWantedByPeers = this->lastWanted != Instant::min() && now - this->lastWanted < demandTime;
    if (!isWanted && !isWantedByPeers)
        return;
    this->nextDigest = now + digestPeriod;
    LoadDigest digest = this->youngest(now);
    digest.isWanted = isWanted;
    if (digest.entries.empty())
        return;
    for (const std::string& address : this->receivers(now)) {
        this->state.commands.emplace_back(SendEntryMessage { address, digest });
        ++this->state.statistics.sentLoadDigests;
    }
}

} // namespace teaselshore
