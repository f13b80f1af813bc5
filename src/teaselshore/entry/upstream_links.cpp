#include "teaselshore/entry/upstream_links.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    /// Upstreams in trouble within the trouble window that are needed for a suspicion. With one upstream, one is
    /// enough.
    constexpr std::size_t suspectUpstreams = 2;
    constexpr Duration troubleWindow = std::chrono::seconds(1);
    /// Time without any response, while attempts wait, that is needed for a suspicion. Connections that hang show no
    /// other sign. A sound upstream may be silent for longer, but not all of them at once.
    constexpr Duration silence = std::chrono::milliseconds(600);
    /// Upstreams that are checked on a suspicion. A zone's worth of them may have failed at once.
    constexpr std::size_t suspicionChecks = 4;
    /// Upstreams that are checked at a time while the links are lost.
    constexpr std::size_t recoveryChecks = 2;
    /// Time between two rounds of checks. The result of one is known after half of it.
    constexpr Duration checkPeriod = std::chrono::milliseconds(500);
    /// Time between a round that reached an upstream and the next one.
    constexpr Duration soundPeriod = std::chrono::milliseconds(1500);
    /// Time after which a check without a result does not hold up the next round.
    constexpr Duration checkTimeout = std::chrono::seconds(1);

} // namespace

UpstreamLinks::UpstreamLinks(std::uint64_t seed)
    : random(seed)
{
}

void UpstreamLinks::onAttemptStarted(AttemptId attempt, const UpstreamId& upstream, Instant now)
{
    this->unanswered.insert_or_assign(attempt, Unanswered { upstream, now });
}

void UpstreamLinks::onAnswered(AttemptId attempt, Instant now)
{
    const auto node = this->unanswered.extract(attempt);
    if (node.empty())
        return;
    this->addContact(node.mapped().upstream, now);
    this->answeredAt = now;
}

void UpstreamLinks::onNotConnected(AttemptId attempt, Instant now) { this->addTrouble(attempt, now); }

void UpstreamLinks::onBroken(AttemptId attempt, Instant now) { this->addTrouble(attempt, now); }

void UpstreamLinks::addTrouble(AttemptId attempt, Instant now)
{
    const auto node = this->unanswered.extract(attempt);
    if (!node.empty())
        this->troubles.push_back({ node.mapped().upstream, now });
}

void UpstreamLinks::addContact(const UpstreamId& upstream, Instant now)
{
    if (this->latest && this->latest->upstream != upstream)
        this->latestOther = std::move(this->latest);
    this->latest = Contact { upstream, now };
}

void UpstreamLinks::onChecked(const UpstreamId& upstream, bool isReached, Instant now)
{
    if (isReached) {
        this->addContact(upstream, now);
        this->lost = false;
    }
    if (this->checking.erase(upstream) == 0)
        return;
    this->isReachedByChecks = this->isReachedByChecks || isReached;
    if (!this->checking.empty())
        return;
    if (this->isReachedByChecks)
        this->nextChecks = now + soundPeriod;
    else
        this->lost = true;
}

void UpstreamLinks::onNoUpstreams()
{
    this->troubles.clear();
    this->checking.clear();
    this->lost = false;
}

bool UpstreamLinks::areChecksDue(std::size_t known, Instant now)
{
    while (!this->troubles.empty() && this->troubles.front().at + troubleWindow < now)
        this->troubles.pop_front();
    if (now < this->nextChecks || known == 0)
        return false;
    if (!this->checking.empty() && now < this->checksSentAt + checkTimeout)
        return false;
    return this->lost || this->isSuspect(known, now);
}

std::vector<UpstreamId> UpstreamLinks::takeChecks(std::vector<UpstreamId> upstreams, Instant now)
{
    const std::size_t count = std::min(upstreams.size(), this->lost ? recoveryChecks : suspicionChecks);
    for (std::size_t index = 0; index < count; ++index)
        std::swap(upstreams[index], upstreams[index + this->random.below(upstreams.size() - index)]);
    upstreams.resize(count);
    this->checking = { upstreams.begin(), upstreams.end() };
    this->checksSentAt = now;
    this->isReachedByChecks = false;
    this->nextChecks = now + checkPeriod;
    return upstreams;
}

bool UpstreamLinks::isSuspect(std::size_t known, Instant now)
{
    const std::size_t needed = std::min(suspectUpstreams, known);
    std::set<UpstreamId> inTrouble;
    for (const Trouble& trouble : this->troubles)
        inTrouble.insert(trouble.upstream);
    if (inTrouble.size() >= needed)
        return true;
    if (this->latest && now < this->latest->at + silence)
        return false;
    for (const auto& [attempt, waiting] : this->unanswered) {
        if (now < waiting.startedAt + silence || inTrouble.size() >= needed)
            break;
        inTrouble.insert(waiting.upstream);
    }
    return inTrouble.size() >= needed;
}

bool UpstreamLinks::areAnswering(Instant now) const { return this->answeredAt && now < *this->answeredAt + silence; }

bool UpstreamLinks::hasReachedAnotherSince(const UpstreamId& upstream, Instant since) const
{
    const auto isOther = [&](const std::optional<Contact>& contact) {
        return contact && contact->upstream != upstream && contact->at >= since;
    };
    return isOther(this->latest) || isOther(this->latestOther);
}

std::optional<Instant> UpstreamLinks::lastReached() const
{
    return this->latest ? std::optional(this->latest->at) : std::nullopt;
}

} // namespace teaselshore
