#include "teaselshore/emulators/host_list.hpp"

#include <utility>

namespace teaselshore {

void HostList::onChange(HostChange change, Instant now)
{
    if (change.host && change.host->state == HostState::Starting)
        return;
    this->pending.push_back({ now, std::move(change) });
}

std::vector<Host> HostList::view(Instant now)
{
    while (!this->pending.empty() && this->pending.front().at + this->lag <= now) {
        HostChange& change = this->pending.front().change;
        if (change.host)
            this->visible.insert_or_assign(change.id, std::move(*change.host));
        else
            this->visible.erase(change.id);
        this->pending.pop_front();
    }
    std::vector<Host> result;
    for (const auto& [id, host] : this->visible)
        result.push_back(host);
    return result;
}

} // namespace teaselshore
