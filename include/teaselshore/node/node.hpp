#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/configuration/configuration.hpp"
#include "teaselshore/control/rollout_record.hpp"
#include "teaselshore/journal/slot_owner.hpp"
#include "teaselshore/membership/membership.hpp"
#include "teaselshore/node/node_command.hpp"
#include "teaselshore/node/node_event.hpp"
#include "teaselshore/node/node_settings.hpp"
#include "teaselshore/node/node_statistics.hpp"
#include "teaselshore/routing/router.hpp"

namespace teaselshore {

/// @brief All decisions of one daemon: (state, event, now) -> commands.
///
/// Does no I/O, reads no clock and starts no thread; a daemon, a test or a bench carries out the commands and feeds the
/// results back as events. Not thread-safe.
class Node {
public:
    explicit Node(NodeSettings settings);
    ~Node();
    Node(Node&&) noexcept;
    Node& operator=(Node&&) noexcept;

    /// @brief Returns a new id for a caller's request, for RequestArrived.
    RequestId nextRequestId();

    /// @brief Handles one event. now must not decrease.
    NodeCommands handle(NodeEvent event, Instant now);

    /// @brief Returns when the next Tick is due at the latest.
    Instant nextTick() const;

    const NodeSettings& settings() const;
    /// @brief Configuration in effect; null before the first one.
    std::shared_ptr<const Configuration> configuration() const;
    ConfigurationVersion configurationVersion() const;
    /// @brief Newest configuration that was refused since the last accepted one.
    const std::optional<ReportInvalid>& refusedConfiguration() const;
    bool stopping() const;
    const Membership& membership() const;
    const Router& router() const;
    const SlotOwner& slotOwner() const;
    const NodeStatistics& statistics() const;
    /// @brief State of the service's version rollout as this node knows it; null if there is none.
    const RolloutRecord* move(const ServiceName& service) const;
    /// @brief Routing decisions for the attempts of a request, if it is remembered.
    std::vector<RoutingDecision> decisions(const RequestId& request) const;
    std::size_t openRequests() const;
    /// @brief Requests that wait for admission.
    std::size_t queuedRequests() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
