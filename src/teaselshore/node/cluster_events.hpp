#pragma once

#include <string>
#include <vector>

#include "durable_requests.hpp"
#include "node_state.hpp"

namespace teaselshore {

/// @brief Connects membership and configuration distribution with peers, platform and the other decisions.
///
/// Not thread-safe.
class ClusterEvents {
public:
    ClusterEvents(NodeState& state, DurableRequests& durable);

    void onMembershipMessage(const MembershipMessage& message, Instant now);
    void onConfigurationMessage(const std::string& sender, const ConfigurationMessage& message, Instant now);
    void onConfigurationRead(ConfigurationRead read, Instant now);
    void onHostList(const HostListRead& read, Instant now);
    void onTick(Instant now);
    void leave(Instant now);

private:
    void execute(const std::vector<MembershipCommand>& commands, Instant now);
    void execute(const std::vector<ConfigurationCommand>& commands, Instant now);
    void onMemberChanged(const MemberChanged& change, Instant now);
    void adopt(const AdoptConfiguration& adopted, Instant now);
    void pollPlatform(Instant now);
    /// @brief Tells a random member of the recent crash suspects, in case it missed a report.
    void repeatSuspects(Instant now);

    NodeState& state;
    DurableRequests& durable;
    bool watching = false;
    Instant nextHostList {};
    Instant nextNotices {};
    Instant nextSuspects {};
};

} // namespace teaselshore
