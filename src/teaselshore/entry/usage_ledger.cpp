#include "teaselshore/entry/usage_ledger.hpp"

namespace teaselshore {

UsageLedger::UsageLedger(Duration window)
    : window(window)
{
}

void UsageLedger::onStarted(const WorkspaceName& workspace, Duration sinceEpoch)
{
    ++this->counts[this->windowAt(sinceEpoch)][workspace];
}

void UsageLedger::merge(const std::map<std::int64_t, WorkspaceCounts>& earlier)
{
    for (const auto& [window, workspaces] : earlier) {
        for (const auto& [workspace, count] : workspaces)
            this->counts[window][workspace] += count;
    }
}

void UsageLedger::dropBefore(std::int64_t window)
{
    this->counts.erase(this->counts.begin(), this->counts.lower_bound(window));
}

} // namespace teaselshore
