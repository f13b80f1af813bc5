#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teaselshore/entry/limit_statement.hpp"
#include "teaselshore/entry/quota_loan.hpp"
#include "teaselshore/entry/registered_upstream.hpp"
#include "teaselshore/reliability/crash_history.hpp"

namespace teaselshore {

/// @brief Report of a node that cannot write to the platform; the receiver writes it on the node's behalf.
struct RelayedReport {
    /// NodeReport in encoded form.
    std::string report;

    auto operator<=>(const RelayedReport&) const = default;
};

/// @brief Crashes that the sender has seen, and crashes that proved to be void.
struct CrashReport {
    std::vector<RequestCrash> crashes;

    auto operator<=>(const CrashReport&) const = default;
};

/// @brief Decision of the lease holder on a rollout. Nodes apply it before they read it from the platform.
struct RolloutDecision {
    ServiceName service;
    VersionName target;
    RolloutOrder::State state = RolloutOrder::State::Running;
    /// Fraction of the traffic that goes to the target.
    double share = 0;

    auto operator<=>(const RolloutDecision&) const = default;
};

/// @brief Asks for the configuration in effect at the receiver if it is newer than that of the sender, which cannot
/// read it from the platform.
struct NewerConfigurationRequest {
    /// Version in effect at the sender; 0 for none.
    std::uint64_t version = 0;

    auto operator<=>(const NewerConfigurationRequest&) const = default;
};

/// @brief Configuration that the sender has read, as the platform encodes it.
struct ConfigurationCopy {
    std::uint64_t version = 0;
    std::string text;

    auto operator<=>(const ConfigurationCopy&) const = default;
};

/// @brief How many requests of the sender each upstream accepted and refused since its last report.
struct RefusalReport {
    struct Results {
        UpstreamId upstream;
        std::uint32_t accepted = 0;
        std::uint32_t refused = 0;

        auto operator<=>(const Results&) const = default;
    };
    std::vector<Results> results;

    auto operator<=>(const RefusalReport&) const = default;
};

/// @brief Limits of upstreams that changed according to responses to the sender.
struct LimitReport {
    std::vector<LimitStatement> statements;

    auto operator<=>(const LimitReport&) const = default;
};

/// @brief What upstreams stated in responses to the sender about the time for which they are cold.
struct ColdReport {
    struct Statement {
        UpstreamId upstream;
        /// Remaining time when the message was sent; zero if the upstream is warm.
        Duration left {};
        /// Time since the response.
        Duration age {};

        auto operator<=>(const Statement&) const = default;
    };
    std::vector<Statement> statements;

    auto operator<=>(const ColdReport&) const = default;
};

/// @brief What the sender has learned from responses of brittle services, whose upstreams fail if they must refuse many
/// requests.
struct BrittlenessReport {
    struct Service {
        ServiceName service;
        /// Refusals per second that each upstream bears; nothing if the service is no longer brittle.
        std::optional<double> allowance;
        /// Time since the response that said so.
        Duration age {};

        auto operator<=>(const Service&) const = default;
    };
    struct Upstream {
        UpstreamId upstream;
        /// Requests of the sender that the upstream has just refused.
        std::uint32_t refused = 0;
        /// Requests that run or wait at the upstream, as it has just reported.
        std::optional<std::uint32_t> outstanding;

        auto operator<=>(const Upstream&) const = default;
    };
    std::vector<Service> services;
    std::vector<Upstream> upstreams;

    auto operator<=>(const BrittlenessReport&) const = default;
};

/// @brief Asks since when the platform answers the receiver.
struct PlatformContactRequest {
    auto operator<=>(const PlatformContactRequest&) const = default;
};

/// @brief Since when the platform has answered the sender without an outage.
struct PlatformContact {
    /// Time since the first answer after the last outage, or after the start of the process.
    Duration sinceFirstAnswer {};
    Duration sinceLastAnswer {};
    /// Time since the last answer before that outage, if there was one.
    std::optional<Duration> sinceEarlierAnswer;

    auto operator<=>(const PlatformContact&) const = default;
};

/// @brief What the sender knows of evacuated zones.
struct EvacuationReport {
    struct Zone {
        AvailabilityZone zone;
        /// False if the evacuation has ended.
        bool isEvacuated = true;
        std::uint64_t revision = 0;
        /// Time since a node read the change from the platform.
        Duration age {};
        /// Time for which an evacuation remains in effect that is missing at a restored platform.
        std::optional<Duration> missingFor {};

        auto operator<=>(const Zone&) const = default;
    };
    std::vector<Zone> zones;
    /// Revision up to which the sender knows all changes; nothing if it has not read them yet.
    std::optional<std::uint64_t> revision;
    /// Whether the receiver is to answer if it knows more.
    bool wantsAnswer = false;

    auto operator<=>(const EvacuationReport&) const = default;
};

/// @brief Messages between the nodes of `teaselshore-entry`.
using EntryMessage = std::variant<QuotaLoanRequest, QuotaLoan, QuotaReturn, RelayedReport, CrashReport, RolloutDecision,
    NewerConfigurationRequest, ConfigurationCopy, RefusalReport, LimitReport, BrittlenessReport, PlatformContactRequest,
    PlatformContact, EvacuationReport, ColdReport>;

} // namespace teaselshore
