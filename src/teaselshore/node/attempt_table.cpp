#include "teaselshore/node/attempt_table.hpp"

#include <utility>

namespace teaselshore {

AttemptId AttemptTable::add(RunningAttempt attempt)
{
    attempt.id = ++this->last;
    this->byUpstream[attempt.upstream].insert(attempt.id);
    this->attempts.emplace(attempt.id, std::move(attempt));
    return this->last;
}

void AttemptTable::onFirstByte(AttemptId id, Instant now)
{
    const auto found = this->attempts.find(id);
    if (found != this->attempts.end() && !found->second.firstByteAt)
        found->second.firstByteAt = now;
}

const RunningAttempt* AttemptTable::find(AttemptId id) const
{
    const auto found = this->attempts.find(id);
    return found == this->attempts.end() ? nullptr : &found->second;
}

std::optional<RunningAttempt> AttemptTable::take(AttemptId id)
{
    auto node = this->attempts.extract(id);
    if (node.empty())
        return std::nullopt;
    const auto upstream = this->byUpstream.find(node.mapped().upstream);
    upstream->second.erase(id);
    if (upstream->second.empty())
        this->byUpstream.erase(upstream);
    return std::move(node.mapped());
}

std::vector<AttemptId> AttemptTable::onUpstream(const UpstreamId& upstream) const
{
    const auto found = this->byUpstream.find(upstream);
    if (found == this->byUpstream.end())
        return {};
    return { found->second.begin(), found->second.end() };
}

} // namespace teaselshore
