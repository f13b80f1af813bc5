#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/name.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/emulators/version_behaviour.hpp"

namespace teaselshore {

/// @brief Identifies one request inside one service; chosen by the user of ServiceModel and never used again.
using ServiceCallId = std::uint64_t;

/// @brief Request to a plain service.
struct ServiceRequest {
    std::string method;
    std::string path;
    /// Empty if the request carries none.
    IdempotencyKey key;
    std::string body;

    auto operator<=>(const ServiceRequest&) const = default;
};

/// @brief Faults of a plain service. Shares are in [0, 1].
struct ServiceFaults {
    /// Share of requests refused with the guarantee that nothing ran.
    double refuse = 0;
    /// Share of requests that run but whose connection closes without an answer.
    double loseAnswers = 0;
    /// Share of answers that are held back by lateDelay.
    double late = 0;
    Duration lateDelay = std::chrono::seconds(5);

    auto operator<=>(const ServiceFaults&) const = default;
};

/// @brief Properties of one plain service.
struct ServiceSettings {
    VersionName version { "v1" };
    VersionBehaviour behaviour;
    /// Mean of the exponentially distributed work time.
    Duration meanWork = std::chrono::milliseconds(20);
    std::size_t maxRunning = 64;
    std::size_t maxQueued = 1024;
    ServiceFaults faults;

    auto operator<=>(const ServiceSettings&) const = default;
};

/// @brief Reason why a request was not run.
enum class ServiceRefusal {
    QueueFull,
    RefusedByFault,
    VersionFault,
};

/// @brief Returns whether the refusal guarantees that nothing ran.
constexpr bool guaranteesNotRun(ServiceRefusal refusal) { return refusal != ServiceRefusal::VersionFault; }

/// @brief What happens to the answer of a request that ran.
enum class AnswerFate {
    Sent,
    Lost,
};

/// @brief End of a request that ran; the answer leaves after the delay.
struct ServiceAnswer {
    ServiceCallId call = 0;
    IdempotencyKey key;
    std::string path;
    /// How often the key has run, with this run. 0 for requests without a key.
    std::uint64_t executions = 0;
    Fingerprint checksum = 0;
    AnswerFate fate = AnswerFate::Sent;
    Duration delay {};

    auto operator<=>(const ServiceAnswer&) const = default;
};

/// @brief Executions of one key.
struct ExecutionRecord {
    std::uint64_t started = 0;
    std::uint64_t running = 0;
    Fingerprint checksum = 0;

    auto operator<=>(const ExecutionRecord&) const = default;
};

/// @brief Load and counters of a plain service.
struct ServiceStatistics {
    std::uint64_t queued = 0;
    std::uint64_t running = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t versionFaults = 0;
    std::uint64_t answersLost = 0;
    std::uint64_t withoutKey = 0;

    auto operator<=>(const ServiceStatistics&) const = default;
};

/// @brief Model of a plain service that runs each request it takes and counts the runs of each idempotency key.
///
/// It does not deduplicate, so that a key that runs twice is visible. A run counts from its start, whether or not its
/// answer arrives. Pure: no I/O; not thread-safe.
class ServiceModel {
public:
    ServiceModel(ServiceSettings settings, std::uint64_t seed, Instant now);

    /// @brief Queues a request; returns the reason if it does not run.
    std::optional<ServiceRefusal> onRequest(ServiceCallId call, ServiceRequest request, Instant now);

    /// @brief Ends the runs whose work time has passed and starts waiting requests.
    std::vector<ServiceAnswer> onTick(Instant now);
    std::optional<Instant> nextTick() const;

    /// @brief Returns the keys of the runs that started since the last call, in order.
    std::vector<IdempotencyKey> takeStarted();

    /// @brief Counts a run from before a restart.
    void restoreExecution(const IdempotencyKey& key) { ++this->records[key].started; }

    void setFaults(const ServiceFaults& faults) { this->settings.faults = faults; }
    void setBehaviour(VersionBehaviour behaviour, Instant now);

    /// @brief Returns the executions of a key; all zero if it never ran.
    ExecutionRecord executions(const IdempotencyKey& key) const;
    const std::map<IdempotencyKey, ExecutionRecord>& allExecutions() const { return this->records; }

    ServiceStatistics statistics() const;
    const ServiceFaults& faults() const { return this->settings.faults; }
    const VersionName& version() const { return this->settings.version; }

private:
    struct Work {
        ServiceCallId call = 0;
        ServiceRequest request;
        std::uint64_t executions = 0;
        Fingerprint checksum = 0;
    };

    void start(Work work, Instant at);
    ServiceAnswer finish(const Work& work);

    ServiceSettings settings;
    RandomSource random;
    Instant behaviourSince;
    std::uint64_t requestsSinceBehaviour = 0;
    std::map<IdempotencyKey, ExecutionRecord> records;
    std::deque<Work> waiting;
    std::multimap<Instant, Work> running;
    std::vector<IdempotencyKey> newlyStarted;
    ServiceStatistics counters;
};

} // namespace teaselshore
